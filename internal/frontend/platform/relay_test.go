package platform

import (
	"net/netip"
	"testing"

	"snowquay/internal/deployment"
	"snowquay/internal/env"
	"snowquay/internal/wire/discovery"
)

// An unreachable relay is dialled three times a second, so that pending commands are sent soon after it is reachable
// again.
func TestPendingCommandsAreSentWhenTheRelayReturns(t *testing.T) {
	sim := simulate(t, 1)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	sim.relayHost.Isolate(func(a netip.Addr) bool { return a == selfAddress.Addr() })
	sim.net.Run(1004)
	sim.discovery.publish(false, server("s-3", "draining"))
	for at := 1004.0; at < 1011; at += 0.5 {
		sim.net.Run(at)
		sim.discovery.publish(false, server("s-1", "ready")) // changes nothing, but triggers a round
	}
	sim.net.Run(1011)
	sim.relayHost.Isolate(nil)
	sim.net.Run(1011.6)
	if sim.relay.inTable("s-3") {
		t.Error("draining server s-3 is in the table 0.6 s after the relay is reachable again")
	}
}

// Data written to an unreachable relay may still arrive, so commands are not written to it repeatedly.
func TestUnreachableRelayGetsFewCalls(t *testing.T) {
	sim := simulate(t, 1)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	sim.relay.unreachable = true
	before := sim.relay.calls
	sim.discovery.publish(false, server("s-3", "draining"))
	sim.net.Run(1002.2)
	for at := 1002.2; at < 1008; at += 0.5 {
		sim.discovery.publish(false, server("s-2", []discovery.State{"ready", "draining"}[int(at*2)%2]))
		sim.net.Run(at)
	}
	if calls := sim.relay.calls - before; calls < 1 || calls > 2 {
		t.Errorf("%d calls were written in six seconds, want 1 or 2", calls)
	}
	sim.discovery.publish(false, server("s-2", "draining"))
	sim.relay.unreachable = false
	sim.net.Run(1010)
	if len(sim.relay.weights) != 1 || sim.relay.weights["s-1"] == 0 {
		t.Errorf("weights two seconds after the relay is reachable again are %v, want only s-1", sim.relay.weights)
	}
}

// While commands do not reach the channel, the balancer makes no decisions and does not assume that earlier ones have
// left the channel.
func TestBalancerKnowsThatTheChannelIsStalled(t *testing.T) {
	sim := simulate(t, 1)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	if sim.program.channelStalled(1002) {
		t.Fatal("channel is reported as stalled although the relay responds")
	}
	sim.relay.unreachable = true
	sim.discovery.publish(false, server("s-3", "draining"))
	sim.net.Run(1002.02)
	if !sim.program.commands.InFlight() || sim.program.channelStalled(1002.02) {
		t.Error("call was abandoned, or the channel counts as stalled, while a response may still arrive")
	}
	sim.net.Run(1004)
	pending := sim.program.commands.Pending()
	sim.discovery.publish(false, server("s-2", "draining"))
	sim.net.Run(1005)
	if !sim.program.channelStalled(1005) || sim.program.commands.Pending() > pending || !sim.program.relay.channelStalled {
		t.Errorf("%d commands are pending, want no more than the %d before; latest round was given ChannelStalled: %v, want true", sim.program.commands.Pending(), pending, sim.program.relay.channelStalled)
	}
}

// The connections are replaced while a call is in flight: its response is accepted on the old connection, which is then
// closed, and nothing is sent twice.
func TestResponseOnReplacedConnectionCounts(t *testing.T) {
	sim := simulate(t, 1)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	relay := newReplacementRelay(sim.relay)
	relay.assignedAt = sim.relay.assignedAt
	sim.start(otherRelay, relay)
	var send func()
	sim.relay.delayResponse = func(sendResponse func()) { send = sendResponse }
	sim.discovery.publish(false, server("s-3", "draining"))
	for at := 1002.0; send == nil && at < 1003; at += 0.001 {
		sim.net.Run(at)
	}
	if send == nil {
		t.Fatal("no call was made")
	}
	sim.program.SetAddresses(sim.net.Now(), discoveryAddress, otherRelay)
	for at := sim.net.Now(); len(relay.subscribers) < 2 && at < 1003.2; at += 0.001 {
		sim.net.Run(at)
	}
	if len(relay.subscribers) != 2 || !sim.program.commands.InFlight() || len(sim.relay.readers) != 2 {
		t.Fatalf("%d new connections, %d old ones, call in flight: %v; want 2, 2 (the primary until its next heartbeat), true", len(relay.subscribers), len(sim.relay.readers), sim.program.commands.InFlight())
	}
	send()
	sim.net.Run(sim.net.Now() + 0.05)
	if sim.program.commands.InFlight() || len(sim.relay.readers) != 1 {
		t.Fatalf("after the response: call in flight: %v, %d old connections; want false and the primary", sim.program.commands.InFlight(), len(sim.relay.readers))
	}
	sim.net.Run(1003.2)
	if sim.program.commands.InFlight() || sim.program.commands.Resends != 0 || len(sim.relay.readers) != 0 {
		t.Errorf("after the heartbeat: call in flight: %v, %d calls resent, %d old connections; want none", sim.program.commands.InFlight(),
			sim.program.commands.Resends, len(sim.relay.readers))
	}
}

// SIGHUP changes the relay address while the old connections are open: no proxy is assigned its table again, regardless
// of the time since the last heartbeat.
func TestMovedConnectionsCauseNoAssignments(t *testing.T) {
	for _, after := range []float64{0.05, 0.3, 0.6, 0.95} {
		sim := simulate(t, 1)
		sim.relay.join(1, "a")
		sim.relay.join(2, "b")
		sim.net.Run(1003 + after)
		relay := newReplacementRelay(sim.relay)
		sim.start(otherRelay, relay)
		sim.program.SetAddresses(sim.net.Now(), discoveryAddress, otherRelay)
		sim.net.Run(1006)
		if len(relay.subscribers) != 2 || len(relay.assignedAt) > 0 {
			t.Errorf("%.2f s after a heartbeat: %d new connections, %d proxies assigned again; want 2, 0", after, len(relay.subscribers), len(relay.assignedAt))
		}
		relay.join(3, "a")
		sim.net.Run(1006.1)
		if len(relay.assignedAt) != 1 {
			t.Errorf("assignments after another join are %v, want one", relay.assignedAt)
		}
	}
}

// SIGHUP arrives while the old addresses are being dialled or connections to them get no response: the program does not
// wait for these connections.
func TestCandidatesAreAbandonedForNewAddresses(t *testing.T) {
	sim := simulate(t, 1)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	sim.relay.unreachable = true
	sim.discovery.silent = true
	for _, conns := range []map[env.Conn]bool{sim.relay.subscribers, sim.discovery.watchers} {
		for conn := range conns {
			sim.net.At(1002, func() { sim.relay.io.Close(conn) })
			delete(conns, conn)
		}
	}
	for _, connection := range sim.program.connections {
		sim.program.disconnect(sim.net.Now(), connection)
	}
	sim.net.Run(1002.3)
	if candidate := sim.program.relay.primary.candidate; candidate == nil || !candidate.established {
		t.Fatalf("candidate is missing or not established: %+v", candidate)
	}
	relay := newFakeRelay()
	relay.zones = sim.relay.zones
	newDiscovery := &fakeDiscovery{list: sim.discovery.list}
	sim.start(otherRelay, relay)
	sim.start(otherDiscovery, newDiscovery)
	sim.program.SetAddresses(sim.net.Now(), otherDiscovery, otherRelay)
	sim.net.Run(1002.5)
	if len(relay.subscribers) != 2 || len(newDiscovery.watchers) != 1 {
		t.Errorf("0.2 s after SIGHUP there are %d connections to the new relay and %d to discovery, want 2 and 1", len(relay.subscribers), len(newDiscovery.watchers))
	}
}

// Proxies are grouped by the zones of servers, so proxies that join before any server is known wait for the first list.
func TestJoinsWaitForTheFirstList(t *testing.T) {
	parsed, err := deployment.Read([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	parsed.DataPlane.ZoneLocalClasses = []bool{true}
	sim := newSimulation(1, Config{Discovery: discoveryAddress, Relay: relayAddress, MaxDescriptors: 256, Seed: 7, Deployment: parsed})
	sim.discovery.silent = true
	sim.startAll()
	for proxy := range 6 {
		sim.relay.join(proxy, []string{"a", "b"}[proxy%2])
	}
	sim.net.Run(1002)
	sim.relay.zones[6] = "b"
	for conn := range sim.relay.subscribers {
		sim.relay.sendJoin(conn, 6)
		sim.relay.io.Send(conn, []byte(leaveLine(0)))
	}
	sim.net.Run(1003)
	inA := server("s-1", "ready")
	inB := server("s-2", "ready")
	inB.Zone = "b"
	sim.discovery.silent = false
	sim.discovery.list = discovery.List{Version: 5, Full: true, Servers: []discovery.Server{inA, inB}}
	sim.net.Run(1009)
	for proxy := 1; proxy < 7; proxy++ {
		want := map[string]string{"a": "s-1", "b": "s-2"}[sim.relay.zones[proxy]]
		if table := sim.relay.tables[sim.relay.tableOf[proxy]]; len(table) != 1 || table[want] == 0 {
			t.Errorf("proxy %d of zone %s has table %v, want only the server of its zone", proxy, sim.relay.zones[proxy], table)
		}
	}
	if sim.relay.assignedAt[0] > 0 {
		t.Error("proxy that has left is assigned a table")
	}
}

func TestNewAddressesReplaceOldOnes(t *testing.T) {
	sim := simulate(t, 1)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	relay := newReplacementRelay(sim.relay)
	relay.assignedAt = sim.relay.assignedAt
	newDiscovery := &fakeDiscovery{list: sim.discovery.list}
	sim.start(otherRelay, relay)
	sim.start(otherDiscovery, newDiscovery)
	sim.program.SetAddresses(sim.net.Now(), otherDiscovery, otherRelay)
	sim.net.Run(1003.1) // the heartbeat at 1003 shows that the old primary has delivered everything
	if len(sim.relay.readers) != 0 || len(sim.discovery.watchers) != 0 || len(relay.subscribers) != 2 || len(newDiscovery.watchers) != 1 {
		t.Fatalf("old connections to relay and discovery: %d, %d; new ones: %d, %d; want 0, 0, 2, 1", len(sim.relay.readers), len(sim.discovery.watchers), len(relay.subscribers),
			len(newDiscovery.watchers))
	}
	newDiscovery.publish(false, server("s-3", "draining"))
	sim.net.Run(1003.2)
	if relay.inTable("s-3") || relay.calls == 0 {
		t.Errorf("%d calls to the new relay, want some; draining server s-3 is in the table: %v, want false", relay.calls, relay.inTable("s-3"))
	}
}
