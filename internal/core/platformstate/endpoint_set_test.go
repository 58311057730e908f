package platformstate

import (
	"slices"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/wire/discovery"
)

// The complete version does not advance past an entry that cannot be used, so that it is requested again. Draining counts whatever else
// the entry says.
func TestUnusableEntryLeavesTheSetIncomplete(t *testing.T) {
	s := NewEndpointSet([]string{"a"}, nil)
	events := &balancer.Events{}
	entry := func(id string, state discovery.State) discovery.Server {
		return discovery.Server{ID: id, Address: "127.0.0.1:1", Zone: "a", State: state, Weight: 1}
	}
	if !s.Apply(&discovery.List{Version: 4, Full: true, Servers: []discovery.Server{entry("x", "ready"), entry("y", "ready")}}, true, events) {
		t.Fatal("the set is incomplete after a list without faults")
	}
	draining := entry("x", "draining")
	draining.Weight = -1
	unknownZone := entry("z", "ready")
	unknownZone.Zone = "nowhere"
	*events = balancer.Events{}
	if s.Apply(&discovery.List{Version: 5, Servers: []discovery.Server{draining, unknownZone}}, false, events) || s.CompleteVersion() != 4 || s.NewestVersion() != 5 || s.Malformed != 2 {
		t.Errorf("version %d, %d malformed", s.CompleteVersion(), s.Malformed)
	}
	if l := events.Lists[0]; len(l.Endpoints) != 1 || l.Endpoints[0].Server != "x" || l.Endpoints[0].Phase != balancer.Draining || l.Endpoints[0].Weight != 1 {
		t.Errorf("%+v", l)
	}
	if s.Apply(&discovery.List{Version: 6, Servers: []discovery.Server{entry("y", "ready")}}, false, events) || s.CompleteVersion() != 4 {
		t.Errorf("a list without faults makes up for the one before: version %d", s.CompleteVersion())
	}
	*events = balancer.Events{}
	full := &discovery.List{Version: 6, Full: true, Servers: []discovery.Server{entry("x", "draining")}, Malformed: 1} // perhaps that of y
	if s.Apply(full, false, events) || !s.Contains("y") || events.Lists[0].Scope != balancer.DeltaList {
		t.Errorf("y is listed: %v; %+v", s.Contains("y"), events.Lists)
	}
	full.Malformed = 0
	if !s.Apply(full, false, events) || s.Contains("y") || s.CompleteVersion() != 6 {
		t.Errorf("y is listed: %v at version %d", s.Contains("y"), s.CompleteVersion())
	}
	s.MarkIncomplete()
	if s.Apply(&discovery.List{Version: 7}, false, events) || s.CompleteVersion() != 6 || !s.Apply(&discovery.List{Version: 7}, true, events) || s.CompleteVersion() != 7 {
		t.Errorf("version %d after a line that could not be read and the first list of a new connection", s.CompleteVersion())
	}
}

func TestOlderListsChangeNothing(t *testing.T) {
	s := NewEndpointSet([]string{"z"}, nil)
	events := &balancer.Events{}
	list := func(version int64, full bool, state discovery.State, ids ...string) *discovery.List {
		l := &discovery.List{Version: version, Full: full}
		for _, id := range ids {
			l.Servers = append(l.Servers, discovery.Server{ID: id, Zone: "z", State: state, Address: "10.0.0.1:80"})
		}
		return l
	}
	s.LoadCached(list(4, true, "ready", "a", "b", "c"), events)
	s.Apply(list(6, false, "gone", "a"), true, events)
	s.Apply(list(5, false, "ready", "a"), false, events)
	if s.Contains("a") || !s.Contains("b") || s.CompleteVersion() != 6 || len(events.Lists) != 2 {
		t.Errorf("version %d, %d lists", s.CompleteVersion(), len(events.Lists))
	}
	s.Apply(list(1, true, "ready", "a"), false, events) // not the first list of its connection
	if s.Contains("a") {
		t.Error("an old list was applied")
	}
	s.Apply(list(1, true, "ready", "a"), true, events) // discovery has started anew
	if !s.Contains("a") || s.Contains("b") || events.Lists[2].Scope != balancer.FullList {
		t.Error("the full list of a new connection was not applied")
	}
	malformed := list(2, false, "strange", "x")
	malformed.Servers = append(malformed.Servers, discovery.Server{ID: "y", Zone: "elsewhere", State: "ready"}, discovery.Server{State: "gone"})
	s.Apply(malformed, false, events)
	if s.Malformed != 3 || s.Len() != 1 || len(slices.Collect(slices.Values(events.Lists[3].Endpoints))) != 0 {
		t.Errorf("%d malformed, %d listed", s.Malformed, s.Len())
	}
}
