package platform

import (
	"fmt"
	"strings"
	"testing"

	"snowquay/internal/wire/discovery"
	"snowquay/internal/wire/jsonrpc"
	"snowquay/internal/wire/resp"
)

// largeSettings are those of a deployment of many coordinators: a limit on messages, a channel whose limit is ten seconds of its pace.
func largeSettings(coordinators, proxies int) string {
	large := strings.NewReplacer(`"balancers":1`, fmt.Sprintf(`"balancers":%d`, coordinators),
		`"data-plane-size":9`, fmt.Sprintf(`"data-plane-size":%d`, proxies), `"pending-max":1600`, `"pending-max":16000`,
		`"update-window":10`, `"update-window":10,"reloads-max":12,"smallest-conn-table":300`, `"stop-sending-within":2.3`,
		`"stop-sending-within":11.3`)
	return large.Replace(settings)
}

func manyServers(n int) (list []discovery.Server) {
	for i := range n {
		x := server(fmt.Sprintf("s-%04d", i), "ready")
		x.Zone = string(rune('a' + i%2))
		list = append(list, x)
	}
	return list
}

// 350 coordinators and 1,024 servers: proxies join here and come from coordinators that restart, half of the servers are replaced, and
// no list has a cap on the way.
func TestLargeDeployment(t *testing.T) {
	const servers, own, joiners, steps, window = 1024, 24, 60, 4, 10
	all := manyServers(servers)
	sim := simulateWith(t, 1, 1024, largeSettings(350, 2400), all...)
	sim.relay.acknowledges = true
	for p := range own {
		sim.relay.join(p*39, []string{"a", "b"}[p%2])
	}
	c := sim.client.dial(append(resp.Append(nil, "hb"), resp.Append(nil, "telemetry", "az", "a")...))
	sim.net.Run(1010)
	if got := sim.client.received[c]; got != string(resp.Append(nil, "hb_ok")) {
		t.Fatalf("the collector was answered %q", got)
	}
	drained := map[string]bool{}
	at := 1010.0
	for step := range steps {
		var list []discovery.Server
		for i := step; i < servers/2; i += steps {
			x := all[i]
			x.State = "draining"
			drained[x.ID] = true
			n := server(fmt.Sprintf("n-%04d", i), "ready")
			n.Zone, n.StartedMS = x.Zone, (at)*1000
			list = append(list, x, n)
		}
		sim.discovery.publish(false, list...)
		for p := range joiners / steps {
			sim.relay.join(3+39*(step*joiners/steps+p), []string{"a", "b"}[p%2])
		}
		at += 3
		sim.net.Run(at)
	}
	sim.net.Run(at + 11.3)
	if n := len(sim.program.proxies.JoinEvents()); n != own+joiners {
		t.Errorf("%d proxies are held to have joined, want %d", n, own+joiners)
	}
	for p := range sim.relay.zones {
		table := sim.relay.tables[sim.relay.tableOf[p]]
		if sim.relay.tableOf[p] == 0 || len(table) == 0 {
			t.Errorf("proxy %d has a table of %d lines", p, len(table))
		}
		for id := range table {
			if drained[id] {
				t.Errorf("proxy %d holds %s, which drains", p, id)
				break
			}
		}
	}
	if sim.relay.largestCall > jsonrpc.MaxCallBytes || sim.program.commands.Dropped > 0 || sim.program.counts.malformed+sim.program.endpoints.Malformed > 0 {
		t.Errorf("a call of %d bytes, %d orders dropped, %d messages spoilt", sim.relay.largestCall, sim.program.commands.Dropped, sim.program.counts.malformed)
	}
}

// A round at three sizes of a deployment: what a row of reports costs once everything stands.
func BenchmarkRound(b *testing.B) {
	for _, servers := range []int{24, 200, 1024} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			sim := simulateWith(b, 1, 1024, largeSettings(5, 2400), manyServers(servers)...)
			sim.relay.acknowledges = true
			for p := range 480 {
				sim.relay.join(p, []string{"a", "b"}[p%2])
			}
			sim.net.Run(1030)
			now := 1030.0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += 0.05
				sim.program.round(now)
			}
		})
	}
}
