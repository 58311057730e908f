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
		t.Errorf("server %s is in phase %d, want %d", address, got, want)
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

func TestServerStaysForHoldAfterConnectionLoss(t *testing.T) {
	r := New(2.5, 10, false)
	register(t, r, 100, "a", 1)
	r.ConnectionLost(110, "a")
	r.ExpireHolds(112)
	expectPhase(t, r, "a", balancer.Ready)
	r.ExpireHolds(112.5)
	expectPhase(t, r, "a", balancer.Removed)
	if _, notifiedAt := r.Phase("a"); notifiedAt != 112.5 {
		t.Errorf("removed at %v, want 112.5", notifiedAt)
	}
	if r.SetDrain(113, "a", true) {
		t.Error("SetDrain succeeded for a removed server")
	}
}

func TestStartFollowsUptime(t *testing.T) {
	r := New(2.5, 10, false)
	register(t, r, 100, "a", 0)
	if startOfA(r) == 0 {
		t.Error("start time is not set by the registration")
	}
	r.ObserveUptime(101, "a", 500) // the process started before it registered
	if got := startOfA(r); got != -399 {
		t.Errorf("start time after the first uptime report is %v, want -399", got)
	}
	r.ObserveUptime(105, "a", 500) // repeated
	r.ObserveUptime(106, "a", -1)
	r.ObserveUptime(106, "b", 3)
	r.ConnectionLost(110, "a")
	register(t, r, 111, "a", 0) // the same process or a new one
	if got := startOfA(r); got != 111 {
		t.Errorf("start time after a broken connection is %v, want 111", got)
	}
	r.ObserveUptime(112, "a", 511)
	if got := startOfA(r); got != -399 {
		t.Errorf("start time after an uptime report of the same process is %v, want -399", got)
	}
	r.ObserveUptime(120, "a", 0.2) // a new process, whose registration did not show the restart
	if got := startOfA(r); got != 119.8 || !r.WarmingUp(121, "a", 10) {
		t.Errorf("start time after an uptime report of a new process is %v, want 119.8 and a warm-up", got)
	}
}

func TestStartsCanBeIgnored(t *testing.T) {
	r := New(2.5, 10, true)
	register(t, r, 100, "a", 0)
	if got := startOfA(r); got != 0 {
		t.Errorf("start time is %v, want 0", got)
	}
}

// A later start time from another coordinator makes a server warm up here too; an earlier one does not end its warm-up.
func TestLaterStartFromAnotherCoordinator(t *testing.T) {
	r := New(2.5, 10, false)
	register(t, r, 1000, "a", 0)
	r.ObserveUptime(1001, "a", 500)
	r.ObserveLaterStart("a", 400)
	if got := startOfA(r); got != 501 {
		t.Errorf("start time after an earlier one from another coordinator is %v, want 501", got)
	}
	r.ObserveLaterStart("a", 1010)
	if got := startOfA(r); got != 1010 || !r.WarmingUp(1012, "a", 18) {
		t.Errorf("start time after a later one from another coordinator is %v, want 1010 and a warm-up", got)
	}
	r.ObserveLaterStart("b", 1010) // an unknown server
	if r.ObserveUptime(1012, "a", 511); r.WarmingUp(1012, "a", 18) {
		t.Error("the server's own uptime report does not end the warm-up")
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
	register(t, r, 131, "a", 0) // the registration carries no drain
	expectPhase(t, r, "a", balancer.Draining)
	if record, _ := r.Find("a"); record.NotifiedAt != 120 || record.Started != 100 {
		t.Errorf("restored record is %+v, want NotifiedAt 120 and Started 100", record)
	}
	r.ExpireHolds(133) // b has not registered again
	expectPhase(t, r, "b", balancer.Removed)
	r.ConnectionLost(140, "a")
	r.ExpireHolds(143)
	expectPhase(t, r, "a", balancer.Removed)
	register(t, r, 150, "a", 0)
	expectPhase(t, r, "a", balancer.Draining)
	r.ConnectionLost(160, "a")
	r.ExpireHolds(163)
	if !r.SetDrain(164, "a", false) || r.SetDrain(165, "a", false) { // the drain can be ended while the server is absent, but only once
		t.Error("want SetDrain to end the drain of an absent server once, and to fail the second time")
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
			t.Errorf("registration of server %d: %v", i, err)
		}
	}
	r.Deregister(110, "1")
	if err := r.Register(110+evictAfter+1, "9", 0); err != nil || r.Len() != 3 {
		t.Errorf("registration after the eviction age: error %v, %d servers; want no error, 3 servers", err, r.Len())
	}
}

func TestServerListedByBalancersIsReady(t *testing.T) {
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

func TestTakeChangesReturnsEachChangeOnce(t *testing.T) {
	r := New(1, 1000, false)
	for _, config := range []ServerConfig{{Server: "a", Zone: 1, Weight: 2, Static: true}, {Server: "b", Weight: 1}} {
		if err := r.Configure(100, config); err != nil {
			t.Fatal(err)
		}
	}
	entries, full := r.TakeChanges()
	if len(entries) != 1 || !full || entries[0].Server != "a" || entries[0].Zone != 1 || entries[0].Weight != 2 {
		t.Errorf("got %+v, full %t; want the entry of a, full true", entries, full)
	}
	register(t, r, 101, "b", 7)
	if entries, full = r.TakeChanges(); len(entries) != 1 || full || entries[0].Server != "b" || entries[0].Zone != 0 {
		t.Errorf("got %+v, full %t; want the entry of b with zone 0, full false", entries, full)
	}
	for i := range maxIncrementalChanges + 1 {
		register(t, r, 102, balancer.Server(fmt.Sprint(i)), 0)
	}
	if entries, full = r.TakeChanges(); len(entries) != maxIncrementalChanges+3 || !full {
		t.Errorf("got %d entries, full %t; want all, full true", len(entries), full)
	}
	if entries, _ = r.TakeChanges(); len(entries) != 0 {
		t.Errorf("entries are returned again: %+v", entries)
	}
}
