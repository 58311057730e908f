package platformstate

import (
	"fmt"
	"testing"

	"snowquay/balancer"
)

// Replacing an open connection causes no gap as long as its heartbeat is not overdue, so no proxy joins again. After a
// longer silence all proxies join again.
func TestReplacedConnectionLeavesNoGap(t *testing.T) {
	for silence, rejoined := range map[float64]int{0.1: 0, 0.9: 0, 1.2: 0, 1.4: 1, 3: 1} {
		r := NewProxyRegistry()
		events := &balancer.Events{}
		replaced := NewSource(10)
		r.SwitchSource(10, replaced, events)
		r.ProxyJoined(10, replaced, balancer.ProxyEvent{Proxy: 1, Zone: 0}, events)
		r.EndSnapshot(10.1, replaced, events)
		r.Touch(20, replaced)
		at := 20 + silence
		next := NewSource(at)
		*events = balancer.Events{}
		r.MarkReplaced(at, replaced)
		r.SwitchSource(at, next, events)
		r.ProxyJoined(at, next, balancer.ProxyEvent{Proxy: 1, Zone: 0}, events)
		r.EndSnapshot(at+0.1, next, events)
		if len(events.ProxyEvents) != rejoined {
			t.Errorf("after %.1f s of silence %d proxies rejoined, want %d", silence, len(events.ProxyEvents), rejoined)
		}
	}
}

// takeEvents returns the proxy events in a short notation and clears them: "+1" is a join of proxy 1, "-1" its
// departure.
func takeEvents(events *balancer.Events) string {
	text := ""
	for _, event := range events.ProxyEvents {
		text += map[bool]string{true: "+", false: "-"}[event.Joined] + fmt.Sprint(event.Proxy)
	}
	*events = balancer.Events{}
	return text
}

func TestStandbySourceTakesOverWithoutRejoins(t *testing.T) {
	r := NewProxyRegistry()
	events := &balancer.Events{}
	primary := NewSource(0)
	standby := NewSource(0)
	r.SwitchSource(0, primary, events)
	for _, source := range []*Source{primary, standby} {
		for p := range 3 {
			r.ProxyJoined(0.1, source, balancer.ProxyEvent{Proxy: balancer.Proxy(p), DefaultTable: true}, events)
		}
		r.Touch(1, source)
		r.EndSnapshot(1, source, events)
	}
	if got := takeEvents(events); got != "+0+1+2" {
		t.Fatal(got)
	}
	// The primary receives no events while 0 leaves, 1 leaves and joins again, and 3 joins.
	r.ProxyLeft(standby, 0, events)
	r.ProxyLeft(standby, 1, events)
	r.ProxyJoined(2.5, standby, balancer.ProxyEvent{Proxy: 1}, events)
	r.ProxyJoined(2.6, standby, balancer.ProxyEvent{Proxy: 3}, events)
	r.Touch(2.6, standby)
	if takeEvents(events) != "" || !standby.Complete(2.7) || standby.Complete(9) {
		t.Fatal("standby source caused events before the switch, or is not complete at 2.7 s, or not stale at 9 s")
	}
	r.SwitchSource(2.7, standby, events)
	if takeEvents(events) != "-0+1+3" || r.Len() != 3 {
		t.Error("events or proxy count after the switch do not match the changes")
	}
}

func TestNewSourceAfterGapRejoinsAllProxies(t *testing.T) {
	for _, gap := range []float64{0.01, 5} {
		r := NewProxyRegistry()
		events := &balancer.Events{}
		first := NewSource(0)
		r.SwitchSource(0, first, events)
		for p := range 3 {
			r.ProxyJoined(0, first, balancer.ProxyEvent{Proxy: balancer.Proxy(p)}, events)
		}
		r.EndSnapshot(1, first, events)
		r.Touch(8, first)
		takeEvents(events)
		second := NewSource(8 + gap)
		r.SwitchSource(8+gap, second, events)
		r.ProxyJoined(8+gap, second, balancer.ProxyEvent{Proxy: 1}, events)
		r.ProxyJoined(8+gap, second, balancer.ProxyEvent{Proxy: 2}, events)
		if got := takeEvents(events); got != "" {
			t.Errorf("gap of %g s: events %s before the snapshot has ended, want none", gap, got)
		}
		if second.SnapshotOverdue(8+gap+snapshotTimeout-0.01) || !second.SnapshotOverdue(8+gap+snapshotTimeout) {
			t.Errorf("gap of %g s: the snapshot is not overdue exactly from %g s on", gap, snapshotTimeout)
		}
		r.EndSnapshot(8+gap+snapshotTimeout, second, events)
		if got, want := takeEvents(events), map[float64]string{0.01: "-0", 5: "-0+1+2"}[gap]; got != want {
			t.Errorf("gap of %g s: events %q, want %q", gap, got, want)
		}
	}
}
