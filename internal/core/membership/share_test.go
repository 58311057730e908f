package membership

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

func group(t testing.TB, weights ...float64) *State {
	s := &State{}
	for i, w := range weights {
		if _, err := s.Apply(Command{Kind: RenewLease, Peer: Peer(fmt.Sprint("c", i)), Weight: w, Renewal: 1}); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func TestALossMovesOnlyTheLostOnes(t *testing.T) {
	s := group(t, 1, 1, 2)
	before, counts := map[string]Peer{}, map[Peer]float64{}
	const n = 5000
	for i := range n {
		uid := fmt.Sprint("relay-", i)
		p, ok := s.Owner(uid)
		if !ok {
			t.Fatal("nobody leads")
		}
		before[uid] = p
		counts[p]++
	}
	for p, want := range map[Peer]float64{"c0": n / 4, "c1": n / 4, "c2": n / 2} {
		if math.Abs(counts[p]-want) > n/25 {
			t.Errorf("%s leads %v of %d, by its weight %v", p, counts[p], n, want)
		}
	}
	epoch := s.Epoch
	if moved, _ := s.Apply(Command{Kind: ExpireLease, Peer: "c2", Renewal: 1}); !moved || s.Epoch != epoch+1 {
		t.Error("no new epoch")
	}
	gained := map[Peer]int{}
	for uid, was := range before {
		is, _ := s.Owner(uid)
		if was != "c2" && is != was {
			t.Fatalf("%s moved from %s to %s, which both live", uid, was, is)
		}
		if was == "c2" {
			gained[is]++
		}
	}
	if math.Abs(float64(gained["c0"]-gained["c1"])) > n/20 {
		t.Errorf("the lost one's proxies went to %v", gained)
	}
}

func TestCommandsInAnyStateAreHarmless(t *testing.T) {
	s := group(t, 1, 1)
	epoch := s.Epoch
	for _, c := range []Command{
		{Kind: RenewLease, Peer: "c0", Weight: 1, Renewal: 1}, // again
		{Kind: ExpireLease, Peer: "c0", Renewal: 0},           // it has renewed since
		{Kind: ExpireLease, Peer: "nobody", Renewal: 1}, {Kind: ReleaseLease, Peer: "nobody"},
	} {
		if moved, err := s.Apply(c); moved || err != nil || s.Epoch != epoch {
			t.Errorf("%+v: moved %t, %v", c, moved, err)
		}
	}
	for _, c := range []Command{{}, {Kind: 9}, {Kind: RenewLease, Peer: "x"}, {Kind: RenewLease, Weight: 1},
		{Kind: RenewLease, Peer: "x", Weight: math.Inf(1)}, {Kind: RenewLease, Peer: "x", Weight: math.NaN()}} {
		if _, err := s.Apply(c); !errors.Is(err, ErrInvalidCommand) || s.Epoch != epoch {
			t.Errorf("%+v: %v", c, err)
		}
	}
	if _, err := Decode([]byte("{")); !errors.Is(err, ErrInvalidCommand) {
		t.Errorf("%v", err)
	}
}

func TestADrainKeepsItsTime(t *testing.T) {
	s := group(t, 1)
	r := registry.Record{ServerConfig: registry.ServerConfig{Server: "a"}, Phase: balancer.Draining, NotifiedAt: 100, DrainOrdered: true}
	s.Apply(Command{Kind: StoreRecords, Records: []registry.Record{r}})
	r.NotifiedAt = 107 // a successor heard of it later
	s.Apply(Command{Kind: StoreRecords, Records: []registry.Record{r}})
	if got := s.ServerRecords()[0].NotifiedAt; got != 100 {
		t.Errorf("told at %v", got)
	}
	r.Phase, r.NotifiedAt, r.DrainOrdered = balancer.Ready, 0, false
	s.Apply(Command{Kind: StoreRecords, Records: []registry.Record{r}})
	r.Phase, r.NotifiedAt = balancer.Draining, 200
	s.Apply(Command{Kind: StoreRecords, Records: []registry.Record{r}})
	if got := s.ServerRecords()[0].NotifiedAt; got != 200 {
		t.Errorf("a new drain is told at %v", got)
	}
	b, err := s.Snapshot()
	var other State
	if err != nil || other.Restore(b) != nil {
		t.Fatal(err)
	}
	again, _ := other.Snapshot()
	if !bytes.Equal(b, again) || other.Restore([]byte("{\"epoch\":")) == nil || other.Epoch != s.Epoch {
		t.Error("a snapshot did not come back as it was")
	}
}

func TestALeaseEndsBeforeItsExpiry(t *testing.T) {
	s := &State{}
	a, b := NewLease(100, "a", 7, 1, 0, DefaultLeaseConfig), NewLease(9000, "b", 8, 1, 0, DefaultLeaseConfig) // clocks of their own
	c := a.DueCommands(100, s)[0]
	if a.Valid(100) {
		t.Error("it orders before its renewal is agreed on")
	}
	s.Apply(c)
	a.ObserveCommand(101, c, s)
	b.ObserveCommand(9001, c, s)
	if !a.Valid(102.9) || a.Valid(103) {
		t.Error("it may order for three seconds from its proposal")
	}
	expired := func(now float64) bool {
		for _, c := range b.DueCommands(now, s) {
			if c.Kind == ExpireLease {
				return true
			}
		}
		return false
	}
	if expired(9001+DefaultLeaseConfig.Duration) || !expired(9001+DefaultLeaseConfig.Duration*(1+DefaultLeaseConfig.MaxClockDrift)+DefaultLeaseConfig.SafetyMargin+0.01) {
		t.Error("it is held for dead at the wrong time")
	}
	old := c
	old.Renewal, old.Incarnation = 2, 6 // of a former process, under the number that comes next
	a.DueCommands(102, s)
	s.Apply(old)
	if a.ObserveCommand(102, old, s); a.Valid(103) {
		t.Error("a renewal of a former process lets it order")
	}
	// A former process's renewal 3 is agreed on first, and ours of the same number after it.
	ours := a.DueCommands(102.8, s)[0]
	theirs := ours
	theirs.Incarnation = 6
	s.Apply(theirs)
	a.ObserveCommand(102.9, theirs, s)
	s.Apply(ours)
	if a.ObserveCommand(102.9, ours, s); a.Valid(103.1) {
		t.Error("a renewal that did not count lets it order")
	}
	if c := a.Release(); a.Valid(101) || c.Kind != ReleaseLease {
		t.Error("it orders after it retired")
	}
}
