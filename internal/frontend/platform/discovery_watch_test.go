package platform

import (
	"strings"
	"testing"

	"snowquay/internal/wire/discovery"
)

// A line of the watch that can't be read, or an entry in one: what it told is asked for again, and not lost when versions go on.
func TestUnreadablePartsOfListsAreRefetched(t *testing.T) {
	for what, bad := range map[string]string{"a line": `{"version":1,"servers":[{"id":"s-3","state":"dra`,
		"an entry": `{"version":1,"full":false,"servers":[{"id":"s-3","state":"drained?","zone":"a"}]}`,
		"a type":   `{"version":1,"full":false,"servers":[{"id":"s-2","state":"ready","zone":"a","weight":1},{"id":3,"state":"draining"}]}`} {
		sim := simulate(t, 1, 256)
		sim.relay.join(1, "a")
		sim.net.Run(1002)
		sim.discovery.firstLine = encodeList(2, false, server("s-3", "draining"), server("s-2", "ready")) // all after version 0, as it then is
		for c := range sim.discovery.watchers {
			sim.discovery.sendChunk(c, bad+"\n")
		}
		sim.discovery.list.Version = 1
		sim.discovery.publish(false, server("s-2", "ready"))
		sim.net.Run(1003)
		if _, there := sim.relay.weights["s-3"]; there || !strings.Contains(sim.discovery.watchRequests[len(sim.discovery.watchRequests)-1], "index=0 ") {
			t.Errorf("%s: a second later s-3 is in the table: %v; asked for %q", what, there, sim.discovery.watchRequests)
		}
	}
}

// Lists that never can be read whole are not asked for in a loop, and the rest of them counts.
func TestListsThatStayMalformedAreRefetchedWithBackoff(t *testing.T) {
	sim := simulate(t, 1, 256)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	strange := server("s-9", "ready")
	strange.Zone = "nowhere"
	sim.discovery.firstLine = encodeList(1, false, strange, server("s-3", "draining"))
	before := len(sim.discovery.watchRequests)
	for c := range sim.discovery.watchers {
		sim.discovery.sendChunk(c, sim.discovery.firstLine+"\n")
	}
	sim.net.Run(1062)
	if n := len(sim.discovery.watchRequests) - before; n < 5 || n > 16 {
		t.Errorf("in a minute it was asked %d times", n)
	}
	if _, there := sim.relay.weights["s-3"]; there {
		t.Error("s-3 drains, as was told beside what can't be read, and is in the table")
	}
	for c := range sim.discovery.watchers { // and what comes between is heard at once
		sim.discovery.sendChunk(c, encodeList(2, false, server("s-2", "draining"))+"\n")
	}
	sim.net.Run(1062.1)
	if _, there := sim.relay.weights["s-2"]; there || len(sim.discovery.watchers) == 0 {
		t.Errorf("a drain told on the watch is not obeyed; %d watches", len(sim.discovery.watchers))
	}
}

// A new discovery counts its versions anew, or goes on after a list that we never had: the whole list is asked for, and what
// changes then is not ignored as old.
func TestNewDiscoveryHasItsOwnVersions(t *testing.T) {
	for _, version := range []int64{2, 41} {
		sim := simulate(t, 1, 256)
		sim.relay.join(1, "a")
		for range 40 {
			sim.discovery.publish(false, server("s-1", "ready"))
		}
		sim.net.Run(1002)
		newDiscovery := &fakeDiscovery{list: discovery.List{Version: version, Full: true, Servers: []discovery.Server{server("s-1", "ready"), server("s-2", "ready")}}}
		newDiscovery.firstLine = encodeList(version, false)
		sim.net.Add(otherDiscovery.Addr(), 0, false).Start(newDiscovery)
		sim.program.SetAddresses(sim.net.Now(), otherDiscovery, relayAddress)
		sim.net.Run(1003)
		if _, there := sim.relay.weights["s-3"]; there || newDiscovery.fullLists != 1 {
			t.Errorf("version %d: s-3, which the new list does not have, is in the table: %v; %d whole lists", version, there, newDiscovery.fullLists)
		}
		newDiscovery.publish(false, server("s-2", "draining"))
		sim.net.Run(1003.2)
		if _, there := sim.relay.weights["s-2"]; there {
			t.Errorf("version %d: a drain that the new discovery told is ignored", version)
		}
	}
}

// A whole list that can't be read at first is asked for until it can, and not in a loop; no watch is built on what was not read.
func TestUnreadableFullListIsRefetched(t *testing.T) {
	sim := simulate(t, 1, 256)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	next := &fakeDiscovery{list: discovery.List{Version: 9, Servers: []discovery.Server{server("s-1", "ready")}}, truncated: true}
	sim.net.Add(otherDiscovery.Addr(), 0, false).Start(next)
	sim.program.SetAddresses(sim.net.Now(), otherDiscovery, relayAddress)
	if sim.net.Run(1007); next.fullLists < 5 || next.fullLists > 30 || len(next.watchRequests) > 0 || len(sim.relay.weights) != 3 {
		t.Errorf("in 5 s it was asked for %d times, %d watches; the table is %v", next.fullLists, len(next.watchRequests), sim.relay.weights)
	}
	next.truncated = false
	if sim.net.Run(1008.5); len(next.watchers) != 1 || len(sim.relay.weights) != 1 {
		t.Errorf("then %d watches, the table is %v", len(next.watchers), sim.relay.weights)
	}
}

// The same where an agent has begun anew at the same address: its first line has a version below the known one.
func TestRestartedDiscoveryIsAskedForTheFullList(t *testing.T) {
	sim := simulate(t, 1, 256)
	sim.relay.join(1, "a")
	for range 40 {
		sim.discovery.publish(false, server("s-1", "ready"))
	}
	sim.net.Run(1002)
	sim.discovery.list = discovery.List{Version: 3, Full: true, Servers: []discovery.Server{server("s-1", "ready")}}
	sim.discovery.firstLine = encodeList(3, false)
	for c := range sim.discovery.watchers {
		sim.discovery.io.Close(c)
		sim.discovery.Closed(1002, c)
	}
	sim.net.Run(1004)
	if len(sim.relay.weights) != 1 || sim.discovery.fullLists != 1 {
		t.Errorf("the table is %v, %d whole lists were asked for", sim.relay.weights, sim.discovery.fullLists)
	}
}
