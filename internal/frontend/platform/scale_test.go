package platform

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"snowquay/internal/wire/discovery"
	"snowquay/internal/wire/jsonrpc"
)

// largeSettings returns the settings of a deployment of many coordinators, with a limit on messages and a channel that
// holds ten seconds of messages at its rate.
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

// TestLargeDeployment simulates a deployment of 350 coordinators and 1,024 servers. Proxies join the coordinator and half
// of the servers are replaced. Every proxy must end with a table without drained servers, no call may exceed its size
// limit and no command may be dropped.
func TestLargeDeployment(t *testing.T) {
	const (
		servers       = 1024
		proxies       = 24 // joined at the start of the test
		joiners       = 60
		steps         = 4
		drainDeadline = 11.3 // seconds; the drain deadline in the settings
	)
	all := manyServers(servers)
	sim := simulateWith(t, 1, 1024, largeSettings(350, 2400), all...)
	sim.relay.acknowledges = true
	for i := range proxies {
		sim.relay.join(i*39, []string{"a", "b"}[i%2])
	}
	conn := sim.client.dial(slices.Concat(readinessCheck, hello("a")))
	sim.net.Run(1010)
	if got := sim.client.received[conn]; got != readyResponse {
		t.Fatalf("response to the readiness check is %q, want hb_ok", got)
	}
	drained := map[string]bool{}
	at := 1010.0
	for step := range steps {
		var changes []discovery.Server
		for i := step; i < servers/2; i += steps {
			leaving := all[i]
			leaving.State = discovery.Draining
			drained[leaving.ID] = true
			replacement := server(fmt.Sprintf("n-%04d", i), discovery.Ready)
			replacement.Zone = leaving.Zone
			replacement.StartedMS = at * 1000
			changes = append(changes, leaving, replacement)
		}
		sim.discovery.publish(false, changes...)
		for i := range joiners / steps {
			sim.relay.join(3+39*(step*joiners/steps+i), []string{"a", "b"}[i%2])
		}
		at += 3
		sim.net.Run(at)
	}
	sim.net.Run(at + drainDeadline)
	if joined := len(sim.program.proxies.JoinEvents()); joined != proxies+joiners {
		t.Errorf("%d proxies are joined, want %d", joined, proxies+joiners)
	}
	checkTables(t, sim.relay, drained)
	if sim.relay.largestCall > jsonrpc.MaxCallBytes || sim.program.commands.Dropped > 0 {
		t.Errorf("largest call has %d bytes, want jsonrpc.MaxCallBytes at most; %d commands were dropped, want none", sim.relay.largestCall, sim.program.commands.Dropped)
	}
	if malformed := sim.program.counts.malformed + sim.program.endpoints.Malformed; malformed > 0 {
		t.Errorf("%d malformed messages, want none", malformed)
	}
}

// checkTables checks that every proxy has a table without drained servers.
func checkTables(t *testing.T, relay *fakeRelay, drained map[string]bool) {
	t.Helper()
	for proxy := range relay.zones {
		table := relay.tables[relay.tableOf[proxy]]
		if relay.tableOf[proxy] == 0 || len(table) == 0 {
			t.Errorf("proxy %d has no table or an empty one: %d entries", proxy, len(table))
		}
		for id := range table {
			if drained[id] {
				t.Errorf("table of proxy %d contains %s, which is draining", proxy, id)
				break
			}
		}
	}
}

// BenchmarkRound measures a round in an idle deployment of three sizes.
func BenchmarkRound(b *testing.B) {
	for _, servers := range []int{24, 200, 1024} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			sim := simulateWith(b, 1, 1024, largeSettings(5, 2400), manyServers(servers)...)
			sim.relay.acknowledges = true
			for proxy := range 480 {
				sim.relay.join(proxy, []string{"a", "b"}[proxy%2])
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
