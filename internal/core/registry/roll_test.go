package registry

import (
	"errors"
	"fmt"
	"testing"

	"snowquay/balancer"
)

func phase(t *testing.T, r *Registry, s balancer.Server, want balancer.Phase) {
	t.Helper()
	if got, _ := r.Phase(s); got != want {
		t.Errorf("%s is in phase %d, want %d", s, got, want)
	}
}

func TestAConnectionThatBreaksIsNoDeath(t *testing.T) {
	r := New(2.5, 10, false)
	r.Register(100, "a", 1)
	r.ConnectionLost(110, "a")
	r.ExpireHolds(112)
	phase(t, r, "a", balancer.Ready)
	r.ExpireHolds(112.5)
	phase(t, r, "a", balancer.Removed)
	if _, told := r.Phase("a"); told != 112.5 {
		t.Errorf("told at %v", told)
	}
	if r.SetDrain(113, "a", true) {
		t.Error("a server that is gone was drained")
	}
}

func TestStarts(t *testing.T) {
	started := func(r *Registry) float64 { rec, _ := r.Find("a"); return rec.Started }
	for _, ageless := range []bool{false, true} {
		r := New(2.5, 10, ageless)
		r.Register(100, "a", 0)
		if ageless != (started(r) == 0) {
			t.Errorf("ageless %t: it started at %v", ageless, started(r))
		}
		if ageless {
			continue
		}
		r.ObserveUptime(101, "a", 500) // it was older than could be known
		if got := started(r); got != -399 {
			t.Errorf("after its uptime: %v", got)
		}
		r.ObserveUptime(105, "a", 500) // frozen
		r.ObserveUptime(106, "a", -1)
		r.ObserveUptime(106, "b", 3)
		r.ConnectionLost(110, "a")
		r.Register(111, "a", 0) // the connection came again, of the same process or of another
		if got := started(r); got != 111 {
			t.Errorf("after a break: %v", got)
		}
		r.ObserveUptime(112, "a", 511)
		if got := started(r); got != -399 {
			t.Errorf("the same process: %v", got)
		}
		r.ObserveUptime(120, "a", 0.2) // another one, whose registration was not seen to be new
		if got := started(r); got != 119.8 || !r.WarmingUp(121, "a", 10) {
			t.Errorf("another process: %v", got)
		}
	}
}

func TestDrainsOutliveTheCoordinator(t *testing.T) {
	r := New(2.5, 10, false)
	r.Register(100, "a", 0)
	r.Register(100, "b", 0)
	r.SetDrain(120, "a", true)
	kept := r.ChangedRecords()
	r.TakeChanges()

	r = New(2.5, 10, false)
	if err := r.Restore(130, kept); err != nil {
		t.Fatal(err)
	}
	r.Register(131, "a", 0) // its process says nothing of the drain
	phase(t, r, "a", balancer.Draining)
	if rec, _ := r.Find("a"); rec.NotifiedAt != 120 || rec.Started != 100 {
		t.Errorf("restored as %+v", rec)
	}
	r.ExpireHolds(133) // b was not heard of again
	phase(t, r, "b", balancer.Removed)
	r.ConnectionLost(140, "a") // a cut
	r.ExpireHolds(143)
	phase(t, r, "a", balancer.Removed)
	r.Register(150, "a", 0) // it has healed
	phase(t, r, "a", balancer.Draining)
	r.ConnectionLost(160, "a")
	r.ExpireHolds(163)
	if !r.SetDrain(164, "a", false) || r.SetDrain(165, "a", false) { // the drain is ended while it is away, once
		t.Error("a drain can't be ended while the server is away")
	}
	r.Register(170, "a", 0)
	phase(t, r, "a", balancer.Ready)
	r.SetDrain(171, "a", true)
	r.Deregister(172, "a") // it goes for good
	r.Register(173, "a", 0)
	phase(t, r, "a", balancer.Ready)
}

func TestTheRollIsBounded(t *testing.T) {
	r := New(1, 3, false)
	for i := range 5 {
		s := balancer.Server(fmt.Sprint(i))
		if err := r.Register(100, s, 0); (err != nil) != (i >= 3) || err != nil && !errors.Is(err, ErrFull) {
			t.Errorf("server %d: %v", i, err)
		}
	}
	r.Deregister(110, "1")
	if err := r.Register(110+forgetsAfter+1, "9", 0); err != nil || r.Len() != 3 {
		t.Errorf("no room was made: %v, %d", err, r.Len())
	}
}

func TestBalancersVouch(t *testing.T) {
	r := New(1, 3, false)
	r.AdjustVouchers(100, "a", 2, 1)
	r.AdjustVouchers(101, "a", 2, 1)
	r.AdjustVouchers(102, "a", 2, -1)
	phase(t, r, "a", balancer.Ready)
	r.AdjustVouchers(103, "a", 2, -1)
	phase(t, r, "a", balancer.Removed)
}

func TestWhatTheModuleIsTold(t *testing.T) {
	r := New(1, 1000, false)
	r.Configure(100, ServerConfig{Server: "a", Zone: 1, Weight: 2, Static: true})
	r.Configure(100, ServerConfig{Server: "b", Weight: 1})
	e, whole := r.TakeChanges()
	if len(e) != 1 || !whole || e[0].Server != "a" || e[0].Zone != 1 || e[0].Weight != 2 {
		t.Errorf("%+v, whole %t", e, whole)
	}
	r.Register(101, "b", 7)
	if e, whole = r.TakeChanges(); len(e) != 1 || whole || e[0].Server != "b" || e[0].Zone != 0 {
		t.Errorf("%+v, whole %t", e, whole)
	}
	for i := range tellAtMost + 1 {
		r.Register(102, balancer.Server(fmt.Sprint(i)), 0)
	}
	if e, whole = r.TakeChanges(); len(e) != tellAtMost+3 || !whole {
		t.Errorf("%d entries, whole %t", len(e), whole)
	}
	if e, _ = r.TakeChanges(); len(e) != 0 {
		t.Errorf("told twice: %+v", e)
	}
}

// What another coordinator has heard of a start makes a server cold here too, never warm.
func TestAStartThatOthersHaveHeard(t *testing.T) {
	r := New(2.5, 10, false)
	if err := r.Register(1000, "a", 0); err != nil {
		t.Fatal(err)
	}
	r.ObserveUptime(1001, "a", 500)
	r.ObserveLaterStart("a", 400)
	if rec, _ := r.Find("a"); rec.Started != 501 {
		t.Errorf("an older start is taken: %v", rec.Started)
	}
	r.ObserveLaterStart("a", 1010)
	if rec, _ := r.Find("a"); rec.Started != 1010 || !r.WarmingUp(1012, "a", 18) {
		t.Errorf("a younger start is not taken: %v", rec.Started)
	}
	r.ObserveLaterStart("b", 1010) // nobody knows it
	if r.ObserveUptime(1012, "a", 511); r.WarmingUp(1012, "a", 18) {
		t.Error("its own word does not warm it again")
	}
}
