package platformstate

import (
	"fmt"
	"testing"

	"snowquay/balancer"
)

// Replacing an open connection causes no gap once it has delivered a message that must be newer than the next one's
// snapshot, so no proxy joins again. It is waited for as long as its heartbeat is not overdue; after a longer silence all
// proxies join again.
func TestReplacedConnectionLeavesNoGap(t *testing.T) {
	for _, tt := range []struct {
		silence    float64 // seconds without a message before the next connection is opened
		heardAfter float64 // seconds from then until the next message on the replaced connection; 0 if there is none
		waits      bool
		rejoined   int
	}{
		{0.1, 0, true, 1},
		{0.9, 0, true, 1},
		{1.2, 0, true, 1},
		{1.4, 0, false, 1},
		{3, 0, false, 1},
		{0.1, 0.4, true, 1},
		{0.1, 0.5, true, 0},
		{0.9, 1.1, true, 0},
		{1.2, 0.6, true, 0},
	} {
		r := NewProxyRegistry()
		events := &balancer.Events{}
		replaced := NewSource(10)
		r.SwitchSource(replaced, events)
		r.ProxyJoined(10, replaced, balancer.ProxyEvent{Proxy: 1, Zone: 0}, events)
		r.EndSnapshot(replaced, events)
		r.Touch(20, replaced)
		at := 20 + tt.silence
		next := NewSource(at)
		*events = balancer.Events{}
		if waits := replaced.MayOverlap(at, next); waits != tt.waits {
			t.Errorf("after %.1f s of silence the replaced connection is waited for: %v, want %v", tt.silence, waits, tt.waits)
		}
		if tt.heardAfter > 0 {
			r.Touch(at+tt.heardAfter, replaced)
		}
		r.SwitchSource(next, events)
		r.ProxyJoined(at, next, balancer.ProxyEvent{Proxy: 1, Zone: 0}, events)
		r.EndSnapshot(next, events)
		if len(events.ProxyEvents) != tt.rejoined || int(r.Rejoined) != tt.rejoined {
			t.Errorf("after %.1f s of silence and a message %.1f s later %d proxies rejoined, counted %d, want %d",
				tt.silence, tt.heardAfter, len(events.ProxyEvents), r.Rejoined, tt.rejoined)
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
	r.SwitchSource(primary, events)
	for _, source := range []*Source{primary, standby} {
		for p := range 3 {
			r.ProxyJoined(0.1, source, balancer.ProxyEvent{Proxy: balancer.Proxy(p), DefaultTable: true}, events)
		}
		r.EndSnapshot(source, events)
		r.Touch(1, source)
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
	r.SwitchSource(standby, events)
	if takeEvents(events) != "-0+1+3" || r.Len() != 3 {
		t.Error("events or proxy count after the switch do not match the changes")
	}
}

// However short the gap is, a proxy that left in it may have joined again in the snapshot of the new source.
func TestNewSourceAfterGapRejoinsAllProxies(t *testing.T) {
	for _, gap := range []float64{0.01, 5} {
		r := NewProxyRegistry()
		events := &balancer.Events{}
		first := NewSource(0)
		r.SwitchSource(first, events)
		for p := range 3 {
			r.ProxyJoined(0, first, balancer.ProxyEvent{Proxy: balancer.Proxy(p)}, events)
		}
		r.EndSnapshot(first, events)
		r.Touch(8, first)
		takeEvents(events)
		second := NewSource(8 + gap)
		r.SwitchSource(second, events)
		r.ProxyJoined(8+gap, second, balancer.ProxyEvent{Proxy: 1}, events)
		r.ProxyJoined(8+gap, second, balancer.ProxyEvent{Proxy: 2}, events)
		if got := takeEvents(events); got != "" {
			t.Errorf("gap of %g s: events %s before the snapshot has ended, want none", gap, got)
		}
		if second.SnapshotOverdue(8+gap+snapshotTimeout-0.01) || !second.SnapshotOverdue(8+gap+snapshotTimeout) {
			t.Errorf("gap of %g s: the snapshot is not overdue exactly from %g s on", gap, snapshotTimeout)
		}
		r.EndSnapshot(second, events)
		if got, want := takeEvents(events), "-0+1+2"; got != want {
			t.Errorf("gap of %g s: events %q, want %q", gap, got, want)
		}
	}
}

// Guards against a proxy that is reported twice in a snapshot, and has therefore joined again within it, and is taken for
// joined all the time.
func TestSecondReportWithinTheSnapshotIsAJoin(t *testing.T) {
	r := NewProxyRegistry()
	events := &balancer.Events{}
	source := NewSource(0)
	r.SwitchSource(source, events)
	r.ProxyJoined(0, source, balancer.ProxyEvent{Proxy: 1}, events)
	r.ProxyJoined(0.3, source, balancer.ProxyEvent{Proxy: 1}, events)
	r.EndSnapshot(source, events)
	if got := takeEvents(events); got != "+1+1" {
		t.Errorf("events are %s, want two joins of proxy 1", got)
	}
}

// Guards against a proxy that joins twice shortly after one another, the second time unnoticed by the connection that is
// lost then, and is taken for joined all the time.
func TestSecondJoinWithinTheSkewIsNotTakenForTheFirst(t *testing.T) {
	r := NewProxyRegistry()
	events := &balancer.Events{}
	primary := NewSource(0)
	standby := NewSource(0)
	r.SwitchSource(primary, events)
	for _, source := range []*Source{primary, standby} {
		r.EndSnapshot(source, events)
		r.Touch(1, source)
		r.ProxyJoined(2, source, balancer.ProxyEvent{Proxy: 1}, events)
		r.Touch(2, source)
	}
	r.ProxyLeft(standby, 1, events)
	r.ProxyJoined(2.3, standby, balancer.ProxyEvent{Proxy: 1}, events)
	r.Touch(2.3, standby)
	r.SwitchSource(standby, events)
	if got := takeEvents(events); got != "+1+1" {
		t.Errorf("events are %s, want two joins of proxy 1", got)
	}
}
