package platform

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"

	"snowquay/internal/deployment"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
	"snowquay/internal/wire/discovery"
)

// A relay that is out of reach is dialled three times a second: what waits is ordered as soon as it is back.
func TestPendingCommandsGoOutWhenTheRelayReturns(t *testing.T) {
	sim := simulate(t, 1, 256)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	sim.hosts["relay"].Shun(func(a netip.Addr) bool { return a == selfAddress.Addr() })
	sim.net.Run(1004)
	sim.discovery.publish(false, server("s-3", "draining"))
	for at := 1004.0; at < 1011; at += 0.5 {
		sim.net.Run(at)
		sim.discovery.publish(false, server("s-1", "ready")) // nothing new: rounds go on
	}
	sim.net.Run(1011)
	sim.hosts["relay"].Shun(nil)
	sim.net.Run(1011.6)
	if _, there := sim.relay.weights["s-3"]; there {
		t.Error("0.6 s after the relay is back s-3, which drains, is in the table")
	}
}

// What is written to a relay that is out of reach may arrive all the same: it is not written again and again.
func TestUnreachableRelayGetsFewCalls(t *testing.T) {
	sim := simulate(t, 1, 256)
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
	if n := sim.relay.calls - before; n < 1 || n > 2 {
		t.Errorf("in six seconds %d calls were written", n)
	}
	sim.discovery.publish(false, server("s-2", "draining"))
	sim.relay.unreachable = false
	sim.net.Run(1010)
	if len(sim.relay.weights) != 1 || sim.relay.weights["s-1"] == 0 {
		t.Errorf("two seconds after it is back its table is %v", sim.relay.weights)
	}
}

// While orders do not reach the channel the module decides none, and what it decided is not held to have left.
func TestBalancerKnowsThatTheChannelIsStalled(t *testing.T) {
	sim := simulate(t, 1, 256)
	sim.relay.join(1, "a")
	if sim.net.Run(1002); sim.program.stalled(1002) {
		t.Fatal("a relay that answers is held to be out of reach")
	}
	sim.relay.unreachable = true
	sim.discovery.publish(false, server("s-3", "draining"))
	sim.net.Run(1002.02)
	if !sim.program.commands.InFlight() || sim.program.stalled(1002.02) {
		t.Error("a call that may still be answered is given up")
	}
	sim.net.Run(1004)
	waiting := sim.program.commands.Pending()
	sim.discovery.publish(false, server("s-2", "draining"))
	if sim.net.Run(1005); !sim.program.stalled(1005) || sim.program.commands.Pending() > waiting || !sim.program.relay.stalled {
		t.Errorf("%d orders wait, %d before; held %v", sim.program.commands.Pending(), waiting, sim.program.relay.stalled)
	}
}

// Links change while a call is out: its answer is taken from the old link, which then goes, and nothing is sent twice.
func TestResponseOnReplacedConnectionCounts(t *testing.T) {
	sim := simulate(t, 1, 256)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	relay := newFakeRelay()
	relay.zones, relay.weights, relay.assignedAt = sim.relay.zones, sim.relay.weights, sim.relay.assignedAt
	sim.net.Add(otherRelay.Addr(), 0, false).Start(relay)
	var send func()
	sim.relay.delay = func(f func()) { send = f }
	sim.discovery.publish(false, server("s-3", "draining"))
	for at := 1002.0; send == nil && at < 1003; at += 0.001 {
		sim.net.Run(at)
	}
	if send == nil {
		t.Fatal("no call came")
	}
	sim.program.SetAddresses(sim.net.Now(), discoveryAddress, otherRelay)
	for at := sim.net.Now(); len(relay.subscribers) < 2 && at < 1003.2; at += 0.001 {
		sim.net.Run(at)
	}
	if len(relay.subscribers) != 2 || !sim.program.commands.InFlight() || len(sim.relay.readers) != 1 {
		t.Fatalf("%d new links, %d old ones, a call is out: %v", len(relay.subscribers), len(sim.relay.readers), sim.program.commands.InFlight())
	}
	send()
	sim.net.Run(sim.net.Now() + 0.05)
	if sim.program.commands.InFlight() || sim.program.commands.Resends != 0 || len(sim.relay.readers) != 0 {
		t.Errorf("after the answer a call is out: %v; %d went again, %d old links", sim.program.commands.InFlight(), sim.program.commands.Resends, len(sim.relay.readers))
	}
}

// SIGHUP moves the relay while the old links stand: nobody is bound anew, at whatever time after the last sign of life it comes.
func TestMovedConnectionsCauseNoAssignments(t *testing.T) {
	for _, after := range []float64{0.05, 0.3, 0.6, 0.95} {
		sim := simulate(t, 1, 256)
		sim.relay.join(1, "a")
		sim.relay.join(2, "b")
		sim.net.Run(1003 + after)
		relay := newFakeRelay()
		relay.zones, relay.weights = sim.relay.zones, sim.relay.weights
		sim.net.Add(otherRelay.Addr(), 0, false).Start(relay)
		sim.program.SetAddresses(sim.net.Now(), discoveryAddress, otherRelay)
		if sim.net.Run(1006); len(relay.subscribers) != 2 || len(relay.assignedAt) > 0 {
			t.Errorf("%.2f s after a second: %d new links, %d proxies bound anew", after, len(relay.subscribers), len(relay.assignedAt))
		}
		relay.join(3, "a")
		if sim.net.Run(1006.1); len(relay.assignedAt) != 1 {
			t.Errorf("then one joins: %v are bound", relay.assignedAt)
		}
	}
}

// SIGHUP while dials to the old addresses are made, or links there do not answer: they are not waited for.
func TestCandidatesAreGivenUpForNewAddresses(t *testing.T) {
	sim := simulate(t, 1, 256)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	sim.relay.unreachable, sim.discovery.silent = true, true
	for _, all := range []map[env.Conn]bool{sim.relay.subscribers, sim.discovery.watchers} {
		for c := range all {
			sim.net.At(1002, func() { sim.relay.io.Close(c) })
			delete(all, c)
		}
	}
	for c := range sim.program.connections {
		sim.program.disconnect(sim.net.Now(), sim.program.connections[c])
	}
	sim.net.Run(1002.3)
	if n := sim.program.relay.primary.candidate; n == nil || !n.established {
		t.Fatalf("no link is in the making: %+v", n)
	}
	relay, newDiscovery := newFakeRelay(), &fakeDiscovery{list: sim.discovery.list}
	relay.zones = sim.relay.zones
	sim.net.Add(otherRelay.Addr(), 0, false).Start(relay)
	sim.net.Add(otherDiscovery.Addr(), 0, false).Start(newDiscovery)
	sim.program.SetAddresses(sim.net.Now(), otherDiscovery, otherRelay)
	if sim.net.Run(1002.5); len(relay.subscribers) != 2 || len(newDiscovery.watchers) != 1 {
		t.Errorf("0.2 s after SIGHUP %d links to the new relay, %d to discovery", len(relay.subscribers), len(newDiscovery.watchers))
	}
}

// Proxies that join before any server is known wait for the first list: groups are made by the zones of servers.
func TestJoinsWaitForTheFirstList(t *testing.T) {
	d, err := deployment.Read([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	d.DataPlane.ZoneLocalClasses = []bool{true}
	sim := &simulation{net: simnet.New(1, 1000), relay: newFakeRelay(), discovery: &fakeDiscovery{silent: true}, client: newFakeClient(), hosts: map[string]*simnet.Host{}}
	sim.program = New(Config{Discovery: discoveryAddress, Relay: relayAddress, MaxDescriptors: 256, Seed: 7, Deployment: d}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	sim.net.Add(relayAddress.Addr(), 0, false).Start(sim.relay)
	sim.net.Add(discoveryAddress.Addr(), 0, false).Start(sim.discovery)
	sim.net.Add(selfAddress.Addr(), 0, false).Start(sim.program)
	for p := range 6 {
		sim.relay.join(p, []string{"a", "b"}[p%2])
	}
	sim.net.Run(1002)
	sim.relay.zones[6] = "b"
	for c := range sim.relay.subscribers {
		sim.relay.sendJoin(c, 6)
		sim.relay.io.Send(c, []byte(`{"jsonrpc":"2.0","method":"detach","params":{"sidecar":0}}`+"\n"))
	}
	sim.net.Run(1003)
	north, south := server("s-1", "ready"), server("s-2", "ready")
	south.Zone = "b"
	sim.discovery.silent, sim.discovery.list = false, discovery.List{Version: 5, Full: true, Servers: []discovery.Server{north, south}}
	sim.net.Run(1009)
	for p := 1; p < 7; p++ {
		want := map[string]string{"a": "s-1", "b": "s-2"}[sim.relay.zones[p]]
		if table := sim.relay.tables[sim.relay.tableOf[p]]; len(table) != 1 || table[want] == 0 {
			t.Errorf("proxy %d of zone %s has the table %v", p, sim.relay.zones[p], table)
		}
	}
	if sim.relay.assignedAt[0] > 0 {
		t.Error("a proxy that has left is bound")
	}
}

func TestNewAddressesReplaceOldOnes(t *testing.T) {
	sim := simulate(t, 1, 256)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	relay, newDiscovery := newFakeRelay(), &fakeDiscovery{list: sim.discovery.list}
	relay.zones, relay.weights, relay.assignedAt = sim.relay.zones, sim.relay.weights, sim.relay.assignedAt
	sim.net.Add(otherRelay.Addr(), 0, false).Start(relay)
	sim.net.Add(otherDiscovery.Addr(), 0, false).Start(newDiscovery)
	sim.program.SetAddresses(sim.net.Now(), otherDiscovery, otherRelay)
	sim.net.Run(1003)
	if len(sim.relay.readers) != 0 || len(sim.discovery.watchers) != 0 || len(relay.subscribers) != 2 || len(newDiscovery.watchers) != 1 {
		t.Fatalf("old links %d and %d, new ones %d and %d", len(sim.relay.readers), len(sim.discovery.watchers), len(relay.subscribers), len(newDiscovery.watchers))
	}
	newDiscovery.publish(false, server("s-3", "draining"))
	sim.net.Run(1003.1)
	if _, there := relay.weights["s-3"]; there || relay.calls == 0 {
		t.Errorf("%d calls at the new relay; s-3 in the table %v", relay.calls, there)
	}
}
