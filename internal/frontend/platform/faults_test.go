package platform

import (
	"testing"

	"pgregory.net/rapid"

	"snowquay/internal/env"
	"snowquay/internal/wire/discovery"
	"snowquay/internal/wire/lines"
)

// Whatever becomes of calls, lists and links, the relay ends with what discovery said last, and with every proxy bound.
func TestFaultsEndWithTheRightTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := simulate(t, rapid.Uint64Range(0, 1000).Draw(t, "seed"), 256)
		sim.net.Faults.Split = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "pieces")
		sim.relay.join(0, "a")
		now, state := 1000.5, map[string]discovery.State{"s-1": "ready", "s-2": "ready", "s-3": "ready"}
		for range rapid.IntRange(3, 12).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				sim.relay.join(rapid.IntRange(0, 8).Draw(t, "proxy"), "a")
			case 2, 3:
				id := rapid.SampledFrom([]string{"s-2", "s-3"}).Draw(t, "server")
				state[id] = rapid.SampledFrom([]discovery.State{"ready", "draining", "gone"}).Draw(t, "state")
				sim.discovery.publish(false, server(id, state[id]))
			case 4:
				spoilt := rapid.SampledFrom([]string{"", "reset", `"result":{}`, `"error":"limit"`, `"nothing":0`}).Draw(t, "answer")
				done := rapid.Bool().Draw(t, "done") && spoilt != `"error":"limit"`
				sim.relay.respond = func(uint64, int) (string, bool) { return spoilt, done }
			case 5:
				for c := range sim.relay.subscribers {
					sim.relay.io.Close(c)
					sim.relay.Closed(now, c)
					break
				}
			case 6:
				for c := range sim.discovery.watchers {
					sim.discovery.io.Close(c)
					sim.discovery.Closed(now, c)
				}
			case 7:
				sim.discovery.silent = !sim.discovery.silent
			case 8:
				sim.hosts["relay"].Stall(rapid.Float64Range(0.1, 4).Draw(t, "stall"))
			case 9:
				sim.relay.io.Send(oldestConn(sim.relay.readers), []byte("what is this\n"))
			}
			now += rapid.Float64Range(0.01, 3).Draw(t, "pause")
			sim.net.Run(now)
		}
		sim.relay.respond, sim.discovery.silent = nil, false
		var all []discovery.Server
		for _, id := range []string{"s-1", "s-2", "s-3"} {
			if state[id] != "gone" {
				all = append(all, server(id, state[id]))
			}
		}
		sim.discovery.publish(true, all...)
		sim.net.Run(now + 25)
		for id, v := range state {
			if _, there := sim.relay.weights[id]; there != (v == "ready") {
				t.Fatalf("%s is %s, in the table %v", id, v, there)
			}
		}
		for p := range sim.relay.zones {
			if sim.relay.assignedAt[p] == 0 {
				t.Fatalf("proxy %d was never bound", p)
			}
		}
		if n := len(sim.relay.readers); n > 3 {
			t.Fatalf("%d links to the relay are open", n)
		}
	})
}

func oldestConn(m map[env.Conn]*lines.Reader) (least env.Conn) {
	for c := range m {
		if least == 0 || c < least {
			least = c
		}
	}
	return least
}
