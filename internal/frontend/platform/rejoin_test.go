package platform

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"snowquay/internal/env"
	"snowquay/internal/wire/discovery"
)

// Times in seconds.
const (
	earliestRedial = 0.11 // after the end of its stream, a proxy opens another one
	latestRedial   = 2.4
)

// rejoinScenario is a simulation of nine proxies whose streams, and the program's connections to the relay, fail. The
// relay can be reached at two addresses.
type rejoinScenario struct {
	*simulation
	now    float64
	relays [2]*fakeRelay
}

func newRejoinScenario(t fataler, seed uint64) *rejoinScenario {
	sim := simulate(t, seed)
	other := newReplacementRelay(sim.relay)
	other.joinedAt = sim.relay.joinedAt
	other.assignedAt = sim.relay.assignedAt
	other.tableOf = sim.relay.tableOf
	sim.start(otherRelay, other)
	scenario := &rejoinScenario{simulation: sim, now: simulationReady, relays: [2]*fakeRelay{sim.relay, other}}
	scenario.relay.acknowledges = true
	other.acknowledges = true
	for proxy := range 9 {
		scenario.open(proxy)
	}
	scenario.run(3)
	return scenario
}

func (s *rejoinScenario) run(seconds float64) {
	s.now += seconds
	s.net.Run(s.now)
}

// open opens a proxy's stream unless it is open.
func (s *rejoinScenario) open(proxy int) {
	if s.relay.zones[proxy] != "" {
		return
	}
	zone := []string{"a", "b"}[proxy%2]
	s.relay.zones[proxy] = zone
	s.relay.joinedAt[proxy] = s.net.Now()
	for _, relay := range s.relays {
		relay.broadcast(joinLine(proxy, zone))
	}
}

// breakStream ends a proxy's stream. The proxy opens another one after the given number of seconds.
func (s *rejoinScenario) breakStream(proxy int, redialAfter float64) {
	if s.relay.zones[proxy] == "" {
		return
	}
	delete(s.relay.zones, proxy)
	for _, relay := range s.relays {
		relay.broadcast(leaveLine(proxy))
	}
	s.net.At(s.net.Now()+redialAfter, func() { s.open(proxy) })
}

// relayConnection is an open connection of the program with the relay that it leads to.
type relayConnection struct {
	relay *fakeRelay
	conn  env.Conn
}

func (s *rejoinScenario) connections() []relayConnection {
	var open []relayConnection
	for _, relay := range s.relays {
		for _, conn := range slices.Sorted(maps.Keys(relay.subscribers)) {
			open = append(open, relayConnection{relay, conn})
		}
	}
	return open
}

func (s *rejoinScenario) resetConnections() {
	for _, c := range s.connections() {
		c.relay.reset(s.now, c.conn)
	}
}

// checkAssignments reports a proxy that was not assigned a table on its present stream.
func (s *rejoinScenario) checkAssignments(t fataler) {
	for proxy := range 9 {
		if s.relay.zones[proxy] == "" || s.relay.assignedAt[proxy] < s.relay.joinedAt[proxy] {
			t.Fatal("proxy", proxy, "joined at", s.relay.joinedAt[proxy], "and was last assigned a table at", s.relay.assignedAt[proxy])
		}
	}
}

// Guards against proxies that join again right after a reset and never get a table: both connections to the relay and the
// streams of the proxies are reset at one moment, at any time after a heartbeat.
func TestProxiesThatRejoinAfterAResetGetTables(t *testing.T) {
	for _, after := range []float64{0.001, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 0.9, 0.99} {
		s := newRejoinScenario(t, 1)
		s.run(after)
		s.resetConnections()
		for proxy := range 8 {
			s.breakStream(proxy, earliestRedial+float64(proxy)*(latestRedial-earliestRedial)/7)
		}
		s.run(10)
		s.checkAssignments(t)
		s.discovery.publish(false, server("s-3", discovery.Draining))
		s.run(3)
		if s.relay.inTable("s-3") {
			t.Errorf("reset %.3f s after a heartbeat: draining server s-3 is still in a table", after)
		}
	}
}

// Guards against proxies that keep no table of their present stream, whatever fails, together or one after the other:
// streams, connections that are reset or silent, the program's host, the relay's address.
func TestRejoinedProxiesGetTablesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRejoinScenario(t, rapid.Uint64Range(0, 1000).Draw(t, "seed"))
		s.net.Faults.SplitProbability = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "pieces")
		for range rapid.IntRange(2, 14).Draw(t, "events") {
			s.fault(t)
			if rapid.Bool().Draw(t, "later") {
				s.run(rapid.Float64Range(0.001, 1.5).Draw(t, "pause"))
			}
		}
		for _, c := range s.connections() { // a silent connection delivers late or is reset, it does not stay silent
			if _, silent := c.relay.held[c.conn]; silent {
				c.relay.reset(s.now, c.conn)
			}
		}
		s.run(12)
		s.checkAssignments(t)
	})
}

func (s *rejoinScenario) fault(t *rapid.T) {
	open := s.connections()
	choose := func() relayConnection { return rapid.SampledFrom(open).Draw(t, "connection") }
	switch kind := rapid.IntRange(0, 8).Draw(t, "fault"); {
	case kind <= 2:
		for proxy := range 9 {
			if rapid.Bool().Draw(t, "breaks") {
				s.breakStream(proxy, rapid.Float64Range(earliestRedial, latestRedial).Draw(t, "redial"))
			}
		}
	case kind == 3:
		s.resetConnections()
	case kind == 4 && len(open) > 0:
		c := choose()
		c.relay.reset(s.now, c.conn)
	case kind == 5 && len(open) > 0:
		c := choose()
		c.relay.hold(c.conn)
	case kind == 6:
		for _, c := range open {
			if _, silent := c.relay.held[c.conn]; silent {
				c.relay.release(c.conn)
			}
		}
	case kind == 7:
		s.programHost.Freeze(rapid.Float64Range(0.1, 2).Draw(t, "stall"))
	case kind == 8:
		address := relayAddress
		if rapid.Bool().Draw(t, "other") {
			address = otherRelay
		}
		s.program.SetAddresses(s.now, discoveryAddress, address)
	}
}
