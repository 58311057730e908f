package platformstate

import (
	"testing"

	"snowquay/balancer"
	"snowquay/internal/wire/discovery"
)

func entry(id string, state discovery.State) discovery.Server {
	return discovery.Server{ID: id, Address: "127.0.0.1:1", Zone: "a", State: state, Weight: 1}
}

func fullList(version int64, servers ...discovery.Server) *discovery.List {
	return &discovery.List{Version: version, Full: true, Servers: servers}
}

func changes(version int64, servers ...discovery.Server) *discovery.List {
	return &discovery.List{Version: version, Servers: servers}
}

// applyTest is an endpoint set with the events of the list that was applied last.
type applyTest struct {
	*EndpointSet
	events *balancer.Events
}

func newApplyTest() *applyTest {
	return &applyTest{EndpointSet: NewEndpointSet([]string{"a"}, nil), events: &balancer.Events{}}
}

// apply applies a list and checks afterwards whether the set is complete and which version is complete.
func (a *applyTest) apply(t *testing.T, list *discovery.List, first, complete bool, version int64) {
	t.Helper()
	*a.events = balancer.Events{}
	got := a.Apply(list, first, a.events)
	if got != complete || a.CompleteVersion() != version {
		t.Errorf("after version %d: complete %v, complete version %d; want %v, %d", list.Version, got, a.CompleteVersion(), complete, version)
	}
}

// The complete version does not advance past an entry that cannot be used, so that the entry is requested again. The
// draining state is applied even if the rest of the entry is invalid.
func TestUnusableEntryLeavesTheSetIncomplete(t *testing.T) {
	set := newApplyTest()
	set.apply(t, fullList(4, entry("x", "ready"), entry("y", "ready")), true, true, 4)

	draining := entry("x", "draining")
	draining.Weight = -1
	unknownZone := entry("z", "ready")
	unknownZone.Zone = "nowhere"
	set.apply(t, changes(5, draining, unknownZone), false, false, 4)
	if set.NewestVersion() != 5 || set.Malformed != 2 {
		t.Errorf("newest version %d, %d malformed entries; want 5, 2", set.NewestVersion(), set.Malformed)
	}
	if endpoints := set.events.Lists[0].Endpoints; len(endpoints) != 1 {
		t.Errorf("reported endpoints %+v, want only x", endpoints)
	} else if x := endpoints[0]; x.Server != "x" || x.Phase != balancer.Draining || x.Weight != 1 {
		t.Errorf("reported endpoint %+v, want x draining with weight 1", x)
	}

	// A later list without errors does not replace the missing entry.
	set.apply(t, changes(6, entry("y", "ready")), false, false, 4)
}

// A server that seems absent from a full list may belong to an entry that cannot be parsed.
func TestFullListWithUnreadableEntryRemovesNoServer(t *testing.T) {
	set := newApplyTest()
	set.apply(t, fullList(4, entry("x", "ready"), entry("y", "ready")), true, true, 4)
	list := fullList(6, entry("x", "draining"))
	list.Malformed = 1
	set.apply(t, list, false, false, 4)
	if !set.Contains("y") || set.events.Lists[0].Scope != balancer.DeltaList {
		t.Errorf("y is listed: %v, want true; reported lists, which should be deltas: %+v", set.Contains("y"), set.events.Lists)
	}
	list.Malformed = 0
	set.apply(t, list, false, true, 6)
	if set.Contains("y") {
		t.Error("y is still listed after a complete full list without it")
	}
}

func TestFirstListOfAConnectionCompletesTheSet(t *testing.T) {
	set := newApplyTest()
	set.apply(t, fullList(6, entry("x", "ready")), true, true, 6)
	set.MarkIncomplete()
	set.apply(t, changes(7), false, false, 6)
	set.apply(t, changes(7), true, true, 7)
}

func TestOlderListsAreIgnored(t *testing.T) {
	set := newApplyTest()
	set.LoadCached(fullList(4, entry("a", "ready"), entry("b", "ready"), entry("c", "ready")), set.events)
	set.apply(t, changes(6, entry("a", "gone")), true, true, 6)
	set.apply(t, changes(5, entry("a", "ready")), false, true, 6)
	if set.Contains("a") || !set.Contains("b") || len(set.events.Lists) != 0 {
		t.Errorf("old list was applied; it reported %d lists, want none", len(set.events.Lists))
	}
	set.apply(t, fullList(1, entry("a", "ready")), false, true, 6) // not the first list of its connection
	if set.Contains("a") {
		t.Error("old full list was applied")
	}
	set.apply(t, fullList(1, entry("a", "ready")), true, true, 1) // discovery has restarted
	if !set.Contains("a") || set.Contains("b") || set.events.Lists[0].Scope != balancer.FullList {
		t.Error("full list of a new connection was not applied")
	}
}

func TestUnusableEntriesOfUnknownServersAreSkipped(t *testing.T) {
	set := newApplyTest()
	set.apply(t, fullList(1, entry("a", "ready")), true, true, 1)
	unknownZone := entry("y", "ready")
	unknownZone.Zone = "elsewhere"
	set.apply(t, changes(2, entry("x", "strange"), unknownZone, entry("", "gone")), false, false, 1)
	if set.Malformed != 3 || set.Len() != 1 || len(set.events.Lists[0].Endpoints) != 0 {
		t.Errorf("%d malformed entries, %d servers listed, reported %+v; want 3, 1 and no endpoints", set.Malformed, set.Len(), set.events.Lists)
	}
}
