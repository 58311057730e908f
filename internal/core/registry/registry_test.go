package registry

import (
	"errors"
	"fmt"
	"testing"

	"snowquay/balancer"
)

func expectPhase(t *testing.T, r *Registry, address balancer.Server, want balancer.Phase) {
	t.Helper()
	if got, _ := r.Phase(address); got != want {
		t.Errorf("%s is in phase %d, want %d", address, got, want)
	}
}

func register(t *testing.T, r *Registry, now float64, address balancer.Server, zone balancer.Zone) {
	t.Helper()
	if err := r.Register(now, address, zone); err != nil {
		t.Fatal(err)
	}
}

func startOfA(r *Registry) float64 {
	record, _ := r.Find("a")
	return record.Started
}

func TestBrokenConnectionIsHeld(t *testing.T) {
	r := New(2.5, 10, false)
	register(t, r, 100, "a", 1)
	r.ConnectionLost(110, "a")
	r.ExpireHolds(112)
	expectPhase(t, r, "a", balancer.Ready)
	r.ExpireHolds(112.5)
	expectPhase(t, r, "a", balancer.Removed)
	if _, notifiedAt := r.Phase("a"); notifiedAt != 112.5 {
		t.Errorf("removed at %v", notifiedAt)
	}
	if r.SetDrain(113, "a", true) {
		t.Error("a server that is gone was drained")
	}
}

func TestStartFollowsUptime(t *testing.T) {
	r := New(2.5, 10, false)
	register(t, r, 100, "a", 0)
	if startOfA(r) == 0 {
		t.Error("it has no start")
	}
	r.ObserveUptime(101, "a", 500) // it was older than could be known
	if got := startOfA(r); got != -399 {
		t.Errorf("after its uptime: %v", got)
	}
	r.ObserveUptime(105, "a", 500) // frozen
	r.ObserveUptime(106, "a", -1)
	r.ObserveUptime(106, "b", 3)
	r.ConnectionLost(110, "a")
	register(t, r, 111, "a", 0) // the same process or another
	if got := startOfA(r); got != 111 {
		t.Errorf("after a broken connection: %v", got)
	}
	r.ObserveUptime(112, "a", 511)
	if got := startOfA(r); got != -399 {
		t.Errorf("the same process: %v", got)
	}
	r.ObserveUptime(120, "a", 0.2) // another one, whose registration was not seen to be new
	if got := startOfA(r); got != 119.8 || !r.WarmingUp(121, "a", 10) {
		t.Errorf("another process: %v", got)
	}
}

func TestStartsCanBeIgnored(t *testing.T) {
	r := New(2.5, 10, true)
	register(t, r, 100, "a", 0)
	if got := startOfA(r); got != 0 {
		t.Errorf("it started at %v", got)
	}
}

// What another coordinator has heard of a start makes a server warm up here too, and never ends its warm-up.
func TestLaterStartFromAnotherCoordinator(t *testing.T) {
	r := New(2.5, 10, false)
	register(t, r, 1000, "a", 0)
	r.ObserveUptime(1001, "a", 500)
	r.ObserveLaterStart("a", 400)
	if got := startOfA(r); got != 501 {
		t.Errorf("an earlier start is taken: %v", got)
	}
	r.ObserveLaterStart("a", 1010)
	if got := startOfA(r); got != 1010 || !r.WarmingUp(1012, "a", 18) {
		t.Errorf("a later start is not taken: %v", got)
	}
	r.ObserveLaterStart("b", 1010) // an unknown server
	if r.ObserveUptime(1012, "a", 511); r.WarmingUp(1012, "a", 18) {
		t.Error("its own report does not end the warm-up")
	}
}

func TestDrainSurvivesRestart(t *testing.T) {
	r := New(2.5, 10, false)
	register(t, r, 100, "a", 0)
	register(t, r, 100, "b", 0)
	r.SetDrain(120, "a", true)
	stored := r.ChangedRecords()
	r.TakeChanges()

	r = New(2.5, 10, false)
	if err := r.Restore(130, stored); err != nil {
		t.Fatal(err)
	}
	register(t, r, 131, "a", 0) // its process says nothing of the drain
	expectPhase(t, r, "a", balancer.Draining)
	if record, _ := r.Find("a"); record.NotifiedAt != 120 || record.Started != 100 {
		t.Errorf("restored as %+v", record)
	}
	r.ExpireHolds(133) // b was not heard of again
	expectPhase(t, r, "b", balancer.Removed)
	r.ConnectionLost(140, "a")
	r.ExpireHolds(143)
	expectPhase(t, r, "a", balancer.Removed)
	register(t, r, 150, "a", 0)
	expectPhase(t, r, "a", balancer.Draining)
	r.ConnectionLost(160, "a")
	r.ExpireHolds(163)
	if !r.SetDrain(164, "a", false) || r.SetDrain(165, "a", false) { // the drain is ended while it is away, once
		t.Error("a drain can't be ended while the server is away")
	}
	register(t, r, 170, "a", 0)
	expectPhase(t, r, "a", balancer.Ready)
	r.SetDrain(171, "a", true)
	r.Deregister(172, "a")
	register(t, r, 173, "a", 0)
	expectPhase(t, r, "a", balancer.Ready)
}

func TestRegistryIsBounded(t *testing.T) {
	r := New(1, 3, false)
	for i := range 5 {
		address := balancer.Server(fmt.Sprint(i))
		if err := r.Register(100, address, 0); (err != nil) != (i >= 3) || err != nil && !errors.Is(err, ErrFull) {
			t.Errorf("server %d: %v", i, err)
		}
	}
	r.Deregister(110, "1")
	if err := r.Register(110+evictAfter+1, "9", 0); err != nil || r.Len() != 3 {
		t.Errorf("no room was made: %v, %d", err, r.Len())
	}
}

func TestBalancersVouch(t *testing.T) {
	r := New(1, 3, false)
	adjust := func(now float64, n int) {
		t.Helper()
		if err := r.AdjustListings(now, "a", 2, n); err != nil {
			t.Fatal(err)
		}
	}
	adjust(100, 1)
	adjust(101, 1)
	adjust(102, -1)
	expectPhase(t, r, "a", balancer.Ready)
	adjust(103, -1)
	expectPhase(t, r, "a", balancer.Removed)
}

func TestChangesAreTakenOnce(t *testing.T) {
	r := New(1, 1000, false)
	for _, config := range []ServerConfig{{Server: "a", Zone: 1, Weight: 2, Static: true}, {Server: "b", Weight: 1}} {
		if err := r.Configure(100, config); err != nil {
			t.Fatal(err)
		}
	}
	entries, full := r.TakeChanges()
	if len(entries) != 1 || !full || entries[0].Server != "a" || entries[0].Zone != 1 || entries[0].Weight != 2 {
		t.Errorf("%+v, full %t", entries, full)
	}
	register(t, r, 101, "b", 7)
	if entries, full = r.TakeChanges(); len(entries) != 1 || full || entries[0].Server != "b" || entries[0].Zone != 0 {
		t.Errorf("%+v, full %t", entries, full)
	}
	for i := range maxIncrementalChanges + 1 {
		register(t, r, 102, balancer.Server(fmt.Sprint(i)), 0)
	}
	if entries, full = r.TakeChanges(); len(entries) != maxIncrementalChanges+3 || !full {
		t.Errorf("%d entries, full %t", len(entries), full)
	}
	if entries, _ = r.TakeChanges(); len(entries) != 0 {
		t.Errorf("taken twice: %+v", entries)
	}
}
