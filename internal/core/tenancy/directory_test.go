package tenancy

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// requirements has the same number of everything.
func requirements(v float64) Requirements {
	return Requirements{Memory: v, EntriesPerSecond: v, Connections: v, CPU: v}
}

func testCommand(kind CommandKind, name Name, now float64) Command {
	return Command{Kind: kind, Name: name, Time: now, Settings: []byte("x"), Weight: 1, Requirements: requirements(1)}
}

// mustApply applies a command and checks its error.
func mustApply(t *testing.T, d *Directory, c Command, want error) Outcome {
	t.Helper()
	outcome := d.Apply(c)
	if err := outcome.Err(); !errors.Is(err, want) {
		t.Errorf("%+v: %v, wanted %v", c, err, want)
	}
	return outcome
}

func newDirectory() *Directory {
	return &Directory{Capacity: Capacity{Requirements: requirements(3), CPUOvercommit: 1, MaxTenants: 10}}
}

func TestCreate(t *testing.T) {
	d := newDirectory()
	mustApply(t, d, testCommand(Create, "a", 1), nil)
	mustApply(t, d, testCommand(Create, "a", 2), ErrExists)
	mustApply(t, d, testCommand(Create, "B", 2), ErrInvalidCommand)
	large := testCommand(Create, "large", 2)
	large.Requirements = requirements(2.5)
	outcome := mustApply(t, d, large, ErrNoCapacity)
	if !strings.Contains(outcome.Err().Error(), "memory") {
		t.Errorf("it does not say what is missing: %v", outcome.Err())
	}
}

// Of two callers that change a tenant by the version that they saw, the later one is rejected.
func TestChangeAndRemoveCheckTheVersion(t *testing.T) {
	d := newDirectory()
	created := mustApply(t, d, testCommand(Create, "a", 1), nil)
	change := testCommand(Change, "a", 3)
	change.IfVersion = created.Version
	change.Settings = []byte("first")
	changed := mustApply(t, d, change, nil)
	change.Settings = []byte("second")
	mustApply(t, d, change, ErrVersionMismatch)
	if tenant, _ := d.Get("a"); string(tenant.Settings) != "first" || changed.Incarnation != created.Incarnation {
		t.Errorf("%+v", tenant)
	}
	mustApply(t, d, testCommand(Change, "none", 3), ErrNotFound)
	mustApply(t, d, testCommand(Remove, "none", 3), ErrNotFound)
	remove := testCommand(Remove, "a", 5)
	remove.IfVersion = created.Version
	mustApply(t, d, remove, ErrVersionMismatch)
	remove.IfVersion = changed.Version
	mustApply(t, d, remove, nil)
}

func TestRemovedNameIsQuarantined(t *testing.T) {
	d := newDirectory()
	created := mustApply(t, d, testCommand(Create, "a", 1), nil)
	mustApply(t, d, testCommand(Remove, "a", 5), nil)
	mustApply(t, d, testCommand(Create, "a", 5+NameQuarantine-0.1), ErrNameQuarantined)
	again := mustApply(t, d, testCommand(Create, "a", 5+NameQuarantine), nil)
	if again.Incarnation == created.Incarnation {
		t.Error("another tenant has the removed one's incarnation")
	}
}

func TestInvalidCommandsAreRejected(t *testing.T) {
	d := newDirectory()
	mustApply(t, d, testCommand(Create, "a", 1), nil)
	for name, command := range map[string]Command{
		"kind":         {Kind: 9, Name: "a", Weight: 1, Settings: []byte("x")},
		"weight":       {Kind: Create, Name: "c", Weight: -1, Settings: []byte("x")},
		"requirements": {Kind: Create, Name: "c", Weight: 1, Requirements: requirements(-1), Settings: []byte("x")},
		"settings":     {Kind: Create, Name: "c", Weight: 1},
	} {
		t.Run(name, func(t *testing.T) { mustApply(t, d, command, ErrInvalidCommand) })
	}
}

// directoryModel is what a directory must hold after the commands so far.
type directoryModel struct {
	capacity     Capacity
	commandIDs   map[Name]uint64 // of each tenant, the command that created or changed it last
	outcomes     map[uint64]Outcome
	fingerprints map[uint64]uint64
	incarnations map[Incarnation]bool
}

// repeated checks the outcome of a command whose ID was used before.
func (m *directoryModel) repeated(r *rapid.T, c Command, outcome Outcome) {
	earlier := m.outcomes[c.ID]
	if m.fingerprints[c.ID] == c.Fingerprint {
		if !reflect.DeepEqual(outcome, earlier) {
			r.Fatalf("command %d again: %+v, its outcome was %+v", c.ID, outcome, earlier)
		}
	} else if !errors.Is(outcome.Err(), ErrKeyReused) {
		r.Fatalf("command %d with another content: %+v, its outcome was %+v", c.ID, outcome, earlier)
	}
}

// applied takes a command that was applied for the first time.
func (m *directoryModel) applied(r *rapid.T, c Command, outcome Outcome) {
	m.outcomes[c.ID] = outcome
	m.fingerprints[c.ID] = c.Fingerprint
	switch c.Kind {
	case Create:
		if m.incarnations[outcome.Incarnation] {
			r.Fatal("an incarnation is given twice")
		}
		m.incarnations[outcome.Incarnation] = true
		m.commandIDs[c.Name] = c.ID
	case Change:
		m.commandIDs[c.Name] = c.ID
	case Remove:
		delete(m.commandIDs, c.Name)
	}
}

// check compares a directory with the model.
func (m *directoryModel) check(r *rapid.T, d *Directory) {
	sum := 0.0
	for _, tenant := range d.All() {
		sum += tenant.Requirements.Memory
	}
	if len(d.Tenants) != len(m.commandIDs) || sum > m.capacity.Memory || d.Used().Memory != sum {
		r.Fatalf("%d tenants that require %v, %d in the model; %v is counted as used",
			len(d.Tenants), sum, len(m.commandIDs), d.Used().Memory)
	}
}

func snapshotOf(r *rapid.T, d *Directory) string {
	snapshot, err := d.Snapshot()
	if err != nil {
		r.Fatal(err)
	}
	return string(snapshot)
}

// drawCommand generates a command with one of a few names and IDs, so that they are often repeated.
func drawCommand(r *rapid.T, now float64) Command {
	name := Name(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(r, "name"))
	command := testCommand(CommandKind(rapid.IntRange(1, 3).Draw(r, "kind")), name, now)
	command.Requirements = requirements(float64(rapid.IntRange(1, 3).Draw(r, "requirements")))
	command.ID = uint64(rapid.IntRange(1, 40).Draw(r, "id"))
	command.Fingerprint = uint64(rapid.IntRange(1, 2).Draw(r, "fingerprint"))
	return command
}

// Commands with IDs, in any order and repeated, take effect once. A snapshot, and a change that is rolled back, leave a
// directory that goes on in the same way.
func TestDirectoryModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		model := &directoryModel{
			capacity:     Capacity{Requirements: requirements(6), CPUOvercommit: 1, MaxTenants: 4},
			commandIDs:   map[Name]uint64{},
			outcomes:     map[uint64]Outcome{},
			fingerprints: map[uint64]uint64{},
			incarnations: map[Incarnation]bool{},
		}
		d := &Directory{Capacity: model.capacity}
		now := 1.0
		for range rapid.IntRange(1, 60).Draw(r, "commands") {
			now += rapid.Float64Range(0, 6).Draw(r, "later")
			command := drawCommand(r, now)
			before := snapshotOf(r, d)
			checkpoint := d.Checkpoint(command.Name)
			outcome := d.Apply(command)
			after := snapshotOf(r, d)
			if _, repeated := model.outcomes[command.ID]; repeated {
				model.repeated(r, command, outcome)
				if before != after {
					r.Fatal("a repeated command changes something")
				}
				continue
			}
			if outcome.Err() != nil {
				if before != after {
					r.Fatalf("a rejected command has changed something: %v", outcome.Err())
				}
				continue
			}
			if rapid.IntRange(0, 5).Draw(r, "rolled back") == 0 {
				d.Rollback(checkpoint)
				if got := snapshotOf(r, d); got != before || d.Version != checkpoint.version {
					r.Fatalf("the rollback leaves\n%s\nnot\n%s", got, before)
				}
				continue
			}
			model.applied(r, command, outcome)
			if rapid.IntRange(0, 3).Draw(r, "restored") == 0 {
				restored := &Directory{Capacity: model.capacity}
				if err := restored.Restore([]byte(after)); err != nil {
					r.Fatal(err)
				}
				d = restored
			}
			model.check(r, d)
		}
	})
}

func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	d := &Directory{Capacity: DefaultCapacity}
	mustApply(t, d, testCommand(Create, "a", 1), nil)
	for _, snapshot := range []string{
		"",
		"{",
		`{"tenants":{"x":null}}`,
		`{"tenants":{"x":{"name":"y","weight":1}}}`,
		`{"tenants":{"x":{"name":"x","weight":1,"incarnation":3}}}`,
	} {
		if err := d.Restore([]byte(snapshot)); err == nil {
			t.Errorf("%q is taken", snapshot)
		}
	}
	if _, ok := d.Get("a"); !ok {
		t.Error("a rejected snapshot has changed something")
	}
}
