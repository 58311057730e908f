package platform

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"snowquay/internal/wire/discovery"
)

// faultScenario is a simulation with the current time and the server states published by discovery.
type faultScenario struct {
	*simulation
	now    float64
	states map[string]discovery.State
}

// Regardless of faults in calls, lists and connections, the relay ends with the servers that discovery published last,
// and every proxy has a table.
func TestTablesAreCorrectAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scenario := &faultScenario{
			simulation: simulate(t, rapid.Uint64Range(0, 1000).Draw(t, "seed")),
			now:        simulationReady,
			states:     map[string]discovery.State{"s-1": "ready", "s-2": "ready", "s-3": "ready"},
		}
		scenario.net.Faults.SplitProbability = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "pieces")
		scenario.relay.join(0, "a")
		for range rapid.IntRange(3, 12).Draw(t, "events") {
			scenario.event(t)
			scenario.now += rapid.Float64Range(0.01, 3).Draw(t, "pause")
			scenario.net.Run(scenario.now)
		}
		scenario.recover()
		scenario.check(t)
	})
}

// event applies a randomly chosen change or fault.
func (s *faultScenario) event(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1:
		s.relay.join(rapid.IntRange(0, 8).Draw(t, "proxy"), "a")
	case 2, 3:
		id := rapid.SampledFrom([]string{"s-2", "s-3"}).Draw(t, "server")
		s.states[id] = rapid.SampledFrom([]discovery.State{"ready", "draining", "gone"}).Draw(t, "state")
		s.discovery.publish(false, server(id, s.states[id]))
	case 4:
		members := rapid.SampledFrom([]string{"", closeConnection, `"result":{}`, `"error":"limit"`, `"nothing":0`}).Draw(t, "response")
		applied := rapid.Bool().Draw(t, "applied") && members != `"error":"limit"`
		s.relay.respond = func(uint64, int) (string, bool) { return members, applied }
	case 5:
		for conn := range s.relay.subscribers {
			s.relay.io.Close(conn)
			s.relay.Closed(s.now, conn)
			break
		}
	case 6:
		for conn := range s.discovery.watchers {
			s.discovery.io.Close(conn)
			s.discovery.Closed(s.now, conn)
		}
	case 7:
		s.discovery.silent = !s.discovery.silent
	case 8:
		s.relayHost.Stall(rapid.Float64Range(0.1, 4).Draw(t, "stall"))
	case 9:
		if conns := slices.Sorted(maps.Keys(s.relay.readers)); len(conns) > 0 {
			s.relay.io.Send(conns[0], []byte("what is this\n"))
		}
	}
}

// recover ends all faults, publishes the full list, and lets the simulation run until the program has caught up.
func (s *faultScenario) recover() {
	s.relay.respond = nil
	s.discovery.silent = false
	var all []discovery.Server
	for _, id := range []string{"s-1", "s-2", "s-3"} {
		if s.states[id] != discovery.Removed {
			all = append(all, server(id, s.states[id]))
		}
	}
	s.discovery.publish(true, all...)
	s.net.Run(s.now + 25)
}

func (s *faultScenario) check(t *rapid.T) {
	for id, state := range s.states {
		if s.relay.inTable(id) != (state == discovery.Ready) {
			t.Fatalf("server %s is %s, in the table: %v; want only ready servers in it", id, state, s.relay.inTable(id))
		}
	}
	for proxy := range s.relay.zones {
		if s.relay.assignedAt[proxy] == 0 {
			t.Fatalf("proxy %d was never assigned a table", proxy)
		}
	}
	if connections := len(s.relay.readers); connections > 3 {
		t.Fatalf("%d connections to the relay are open, want 3 at most", connections)
	}
}
