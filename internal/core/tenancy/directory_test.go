package tenancy

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// requirements returns requirements with the same value for every resource.
func requirements(v float64) Requirements {
	return Requirements{Memory: v, EntriesPerSecond: v, Connections: v, CPU: v}
}

func testCommand(kind CommandKind, name Name, now float64) Command {
	return Command{Kind: kind, Name: name, Time: now, Settings: []byte("x"), Weight: 1, Requirements: requirements(1)}
}

// applyExpecting applies a command and checks that its error wraps want.
func applyExpecting(t *testing.T, d *Directory, c Command, want error) Outcome {
	t.Helper()
	outcome := d.Apply(c)
	if err := outcome.Err(); !errors.Is(err, want) {
		t.Errorf("command %+v: error %v, want %v", c, err, want)
	}
	return outcome
}

func newDirectory() *Directory {
	return &Directory{Capacity: Capacity{Requirements: requirements(3), CPUOvercommit: 1, MaxTenants: 10}}
}

func TestCreate(t *testing.T) {
	d := newDirectory()
	applyExpecting(t, d, testCommand(Create, "a", 1), nil)
	applyExpecting(t, d, testCommand(Create, "a", 2), ErrExists)
	applyExpecting(t, d, testCommand(Create, "B", 2), ErrInvalidCommand)
	large := testCommand(Create, "large", 2)
	large.Requirements = requirements(2.5)
	outcome := applyExpecting(t, d, large, ErrNoCapacity)
	if !strings.Contains(outcome.Err().Error(), "memory") {
		t.Errorf("the error does not name the missing resource: %v", outcome.Err())
	}
}

// If two callers change a tenant based on the same version, the later change is rejected.
func TestChangeAndRemoveCheckTheVersion(t *testing.T) {
	d := newDirectory()
	created := applyExpecting(t, d, testCommand(Create, "a", 1), nil)
	change := testCommand(Change, "a", 3)
	change.IfVersion = created.Version
	change.Settings = []byte("first")
	changed := applyExpecting(t, d, change, nil)
	change.Settings = []byte("second")
	applyExpecting(t, d, change, ErrVersionMismatch)
	if tenant, _ := d.Get("a"); string(tenant.Settings) != "first" || changed.Incarnation != created.Incarnation {
		t.Errorf("the tenant is %+v, want the first change and the same incarnation", tenant)
	}
	applyExpecting(t, d, testCommand(Change, "none", 3), ErrNotFound)
	applyExpecting(t, d, testCommand(Remove, "none", 3), ErrNotFound)
	remove := testCommand(Remove, "a", 5)
	remove.IfVersion = created.Version
	applyExpecting(t, d, remove, ErrVersionMismatch)
	remove.IfVersion = changed.Version
	applyExpecting(t, d, remove, nil)
}

func TestRemovedNameIsQuarantined(t *testing.T) {
	d := newDirectory()
	created := applyExpecting(t, d, testCommand(Create, "a", 1), nil)
	applyExpecting(t, d, testCommand(Remove, "a", 5), nil)
	applyExpecting(t, d, testCommand(Create, "a", 5+NameQuarantine-0.1), ErrNameQuarantined)
	again := applyExpecting(t, d, testCommand(Create, "a", 5+NameQuarantine), nil)
	if again.Incarnation == created.Incarnation {
		t.Error("a new tenant has the incarnation of the removed one")
	}
}

func TestInvalidCommandsAreRejected(t *testing.T) {
	d := newDirectory()
	applyExpecting(t, d, testCommand(Create, "a", 1), nil)
	for name, command := range map[string]Command{
		"kind":         {Kind: 9, Name: "a", Weight: 1, Settings: []byte("x")},
		"weight":       {Kind: Create, Name: "c", Weight: -1, Settings: []byte("x")},
		"requirements": {Kind: Create, Name: "c", Weight: 1, Requirements: requirements(-1), Settings: []byte("x")},
		"settings":     {Kind: Create, Name: "c", Weight: 1},
	} {
		t.Run(name, func(t *testing.T) { applyExpecting(t, d, command, ErrInvalidCommand) })
	}
}

// directoryModel is the expected state of a directory after the commands so far.
type directoryModel struct {
	capacity     Capacity
	commandIDs   map[Name]uint64 // by tenant, the ID of the command that created or changed it last
	outcomes     map[uint64]Outcome
	fingerprints map[uint64]uint64
	incarnations map[Incarnation]bool
}

// repeated checks the outcome of a command whose ID was already used.
func (m *directoryModel) repeated(r *rapid.T, c Command, outcome Outcome) {
	earlier := m.outcomes[c.ID]
	if m.fingerprints[c.ID] == c.Fingerprint {
		if !reflect.DeepEqual(outcome, earlier) {
			r.Fatalf("repeated command %d: %+v, want its first outcome %+v", c.ID, outcome, earlier)
		}
	} else if !errors.Is(outcome.Err(), ErrKeyReused) {
		r.Fatalf("command %d repeated with different content: %+v, want ErrKeyReused; its first outcome was %+v", c.ID, outcome, earlier)
	}
}

// applied updates the model for a command that was applied for the first time.
func (m *directoryModel) applied(r *rapid.T, c Command, outcome Outcome) {
	m.outcomes[c.ID] = outcome
	m.fingerprints[c.ID] = c.Fingerprint
	switch c.Kind {
	case Create:
		if m.incarnations[outcome.Incarnation] {
			r.Fatal("an incarnation was assigned twice")
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
		r.Fatalf("%d tenants with a total requirement of %v, %d tenants in the model; used: %v; want equal numbers, and the total in use and within the capacity",
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

// drawCommand generates a command with one of a few names and IDs, so that names and IDs are often repeated.
func drawCommand(r *rapid.T, now float64) Command {
	name := Name(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(r, "name"))
	command := testCommand(CommandKind(rapid.IntRange(1, 3).Draw(r, "kind")), name, now)
	command.Requirements = requirements(float64(rapid.IntRange(1, 3).Draw(r, "requirements")))
	command.ID = uint64(rapid.IntRange(1, 40).Draw(r, "id"))
	command.Fingerprint = uint64(rapid.IntRange(1, 2).Draw(r, "fingerprint"))
	return command
}

// Commands with IDs take effect once, in any order and however often they are repeated. A directory restored from a snapshot,
// and one whose last change was rolled back, behave the same as before.
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
			now += rapid.Float64Range(0, 6).Draw(r, "elapsed")
			command := drawCommand(r, now)
			before := snapshotOf(r, d)
			checkpoint := d.Checkpoint(command.Name)
			outcome := d.Apply(command)
			after := snapshotOf(r, d)
			if _, repeated := model.outcomes[command.ID]; repeated {
				model.repeated(r, command, outcome)
				if before != after {
					r.Fatal("a repeated command changed the directory")
				}
				continue
			}
			if outcome.Err() != nil {
				if before != after {
					r.Fatalf("a rejected command changed the directory: %v", outcome.Err())
				}
				continue
			}
			if rapid.IntRange(0, 5).Draw(r, "rolled back") == 0 {
				d.Rollback(checkpoint)
				if got := snapshotOf(r, d); got != before || d.Version != checkpoint.version {
					r.Fatalf("after the rollback the directory is\n%s\nwant\n%s", got, before)
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
	applyExpecting(t, d, testCommand(Create, "a", 1), nil)
	for _, snapshot := range []string{
		"",
		"{",
		`{"tenants":{"x":null}}`,
		`{"tenants":{"x":{"name":"y","weight":1}}}`,
		`{"tenants":{"x":{"name":"x","weight":1,"incarnation":3}}}`,
	} {
		if err := d.Restore([]byte(snapshot)); err == nil {
			t.Errorf("invalid snapshot %q was restored without an error", snapshot)
		}
	}
	if _, ok := d.Get("a"); !ok {
		t.Error("a rejected snapshot changed the directory")
	}
}
