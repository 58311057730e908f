package platform

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"snowquay/internal/wire/discovery"
)

// faultDay is a simulation with what discovery has published in it.
type faultDay struct {
	*simulation
	now    float64
	states map[string]discovery.State
}

// Whatever happens to calls, lists and connections, the relay ends with the servers that discovery published
// last, and every proxy has a table.
func TestFaultsEndWithTheRightTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		day := &faultDay{
			simulation: simulate(t, rapid.Uint64Range(0, 1000).Draw(t, "seed")),
			now:        simulationReady,
			states:     map[string]discovery.State{"s-1": "ready", "s-2": "ready", "s-3": "ready"},
		}
		day.net.Faults.SplitProbability = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "pieces")
		day.relay.join(0, "a")
		for range rapid.IntRange(3, 12).Draw(t, "events") {
			day.event(t)
			day.now += rapid.Float64Range(0.01, 3).Draw(t, "pause")
			day.net.Run(day.now)
		}
		day.recover()
		day.check(t)
	})
}

// event draws a change or a fault.
func (d *faultDay) event(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1:
		d.relay.join(rapid.IntRange(0, 8).Draw(t, "proxy"), "a")
	case 2, 3:
		id := rapid.SampledFrom([]string{"s-2", "s-3"}).Draw(t, "server")
		d.states[id] = rapid.SampledFrom([]discovery.State{"ready", "draining", "gone"}).Draw(t, "state")
		d.discovery.publish(false, server(id, d.states[id]))
	case 4:
		members := rapid.SampledFrom([]string{"", closeConnection, `"result":{}`, `"error":"limit"`, `"nothing":0`}).Draw(t, "response")
		applied := rapid.Bool().Draw(t, "applied") && members != `"error":"limit"`
		d.relay.respond = func(uint64, int) (string, bool) { return members, applied }
	case 5:
		for conn := range d.relay.subscribers {
			d.relay.io.Close(conn)
			d.relay.Closed(d.now, conn)
			break
		}
	case 6:
		for conn := range d.discovery.watchers {
			d.discovery.io.Close(conn)
			d.discovery.Closed(d.now, conn)
		}
	case 7:
		d.discovery.silent = !d.discovery.silent
	case 8:
		d.relayHost.Stall(rapid.Float64Range(0.1, 4).Draw(t, "stall"))
	case 9:
		if conns := slices.Sorted(maps.Keys(d.relay.readers)); len(conns) > 0 {
			d.relay.io.Send(conns[0], []byte("what is this\n"))
		}
	}
}

// recover ends all faults, publishes the full list, and gives the program time to follow.
func (d *faultDay) recover() {
	d.relay.respond = nil
	d.discovery.silent = false
	var all []discovery.Server
	for _, id := range []string{"s-1", "s-2", "s-3"} {
		if d.states[id] != discovery.Removed {
			all = append(all, server(id, d.states[id]))
		}
	}
	d.discovery.publish(true, all...)
	d.net.Run(d.now + 25)
}

func (d *faultDay) check(t *rapid.T) {
	for id, state := range d.states {
		if d.relay.inTable(id) != (state == discovery.Ready) {
			t.Fatalf("%s is %s, in the table: %v", id, state, d.relay.inTable(id))
		}
	}
	for proxy := range d.relay.zones {
		if d.relay.assignedAt[proxy] == 0 {
			t.Fatalf("proxy %d was never assigned a table", proxy)
		}
	}
	if connections := len(d.relay.readers); connections > 3 {
		t.Fatalf("%d connections to the relay are open", connections)
	}
}
