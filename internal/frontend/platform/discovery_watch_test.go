package platform

import (
	"strings"
	"testing"

	"snowquay/internal/wire/discovery"
)

// The changes in a line or an entry that cannot be parsed are requested again, and are not lost when the version
// advances.
func TestUnreadablePartsOfListsAreRefetched(t *testing.T) {
	for what, unreadable := range map[string]string{
		"line":  `{"version":1,"servers":[{"id":"s-3","state":"dra`,
		"entry": `{"version":1,"full":false,"servers":[{"id":"s-3","state":"drained?","zone":"a"}]}`,
		"type":  `{"version":1,"full":false,"servers":[{"id":"s-2","state":"ready","zone":"a","weight":1},{"id":3,"state":"draining"}]}`,
	} {
		sim := simulate(t, 1)
		sim.relay.join(1, "a")
		sim.net.Run(1002)
		sim.discovery.firstLine = encodeList(2, false, server("s-3", "draining"), server("s-2", "ready")) // everything after version 0
		sim.discovery.sendToWatchers(unreadable + "\n")
		sim.discovery.list.Version = 1
		sim.discovery.publish(false, server("s-2", "ready"))
		sim.net.Run(1003)
		if sim.relay.inTable("s-3") || !strings.Contains(sim.discovery.lastWatchRequest(), "index=0 ") {
			t.Errorf("unreadable %s: after a second s-3 is in the table: %v, want false; watch requests %q, want index=0 in the last", what, sim.relay.inTable("s-3"), sim.discovery.watchRequests)
		}
	}
}

// A list that stays malformed is requested again with backoff, and its readable entries are applied.
func TestListsThatStayMalformedAreRefetchedWithBackoff(t *testing.T) {
	sim := simulate(t, 1)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	unknownZone := server("s-9", "ready")
	unknownZone.Zone = "nowhere"
	sim.discovery.firstLine = encodeList(1, false, unknownZone, server("s-3", "draining"))
	before := len(sim.discovery.watchRequests)
	sim.discovery.sendToWatchers(sim.discovery.firstLine + "\n")
	sim.net.Run(1062)
	if requests := len(sim.discovery.watchRequests) - before; requests < 5 || requests > 16 {
		t.Errorf("%d requests in a minute, want 5 to 16", requests)
	}
	if sim.relay.inTable("s-3") {
		t.Error("s-3 is in the table although a valid entry of a list with an unusable entry reports it as draining")
	}
	// Lists that arrive on the connection in the meantime are applied immediately.
	sim.discovery.sendToWatchers(encodeList(2, false, server("s-2", "draining")) + "\n")
	sim.net.Run(1062.1)
	if sim.relay.inTable("s-2") || len(sim.discovery.watchers) == 0 {
		t.Errorf("draining server s-2 is in the table: %v, want false; %d watches are open, want some", sim.relay.inTable("s-2"), len(sim.discovery.watchers))
	}
}

// A new discovery service may start at a lower version, or continue after a list that the program has not received: the
// full list is requested, and the changes after it are not ignored as old.
func TestNewDiscoveryHasItsOwnVersions(t *testing.T) {
	for _, version := range []int64{2, 41} {
		sim := simulate(t, 1)
		sim.relay.join(1, "a")
		for range 40 {
			sim.discovery.publish(false, server("s-1", "ready"))
		}
		sim.net.Run(1002)
		servers := []discovery.Server{server("s-1", "ready"), server("s-2", "ready")}
		newDiscovery := &fakeDiscovery{list: discovery.List{Version: version, Full: true, Servers: servers}}
		newDiscovery.firstLine = encodeList(version, false)
		sim.start(otherDiscovery, newDiscovery)
		sim.program.SetAddresses(sim.net.Now(), otherDiscovery, relayAddress)
		sim.net.Run(1003)
		if sim.relay.inTable("s-3") || newDiscovery.fullLists != 1 {
			t.Errorf("version %d: s-3, which is absent from the new list, is in the table: %v; %d requests for the full list, want 1", version,
				sim.relay.inTable("s-3"), newDiscovery.fullLists)
		}
		newDiscovery.publish(false, server("s-2", "draining"))
		sim.net.Run(1003.2)
		if sim.relay.inTable("s-2") {
			t.Errorf("version %d: s-2, which the new discovery reports as draining, is in the table", version)
		}
	}
}

// A full list that cannot be parsed is requested again with backoff, and no watch is requested until one has been
// parsed.
func TestUnreadableFullListIsRefetched(t *testing.T) {
	sim := simulate(t, 1)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	next := &fakeDiscovery{list: discovery.List{Version: 9, Servers: []discovery.Server{server("s-1", "ready")}}, truncated: true}
	sim.start(otherDiscovery, next)
	sim.program.SetAddresses(sim.net.Now(), otherDiscovery, relayAddress)
	sim.net.Run(1007)
	if next.fullLists < 5 || next.fullLists > 30 || len(next.watchRequests) > 0 || len(sim.relay.weights) != 3 {
		t.Errorf("%d requests in 5 s, want 5 to 30; %d watch requests, want none; weights %v, want 3", next.fullLists, len(next.watchRequests), sim.relay.weights)
	}
	next.truncated = false
	sim.net.Run(1008.5)
	if len(next.watchers) != 1 || len(sim.relay.weights) != 1 {
		t.Errorf("after a readable list: %d watches, weights %v; want one of each", len(next.watchers), sim.relay.weights)
	}
}

// A discovery that has restarted at the same address is detected by the version of its first line, which is lower than
// the known version.
func TestRestartedDiscoveryIsAskedForTheFullList(t *testing.T) {
	sim := simulate(t, 1)
	sim.relay.join(1, "a")
	for range 40 {
		sim.discovery.publish(false, server("s-1", "ready"))
	}
	sim.net.Run(1002)
	sim.discovery.list = discovery.List{Version: 3, Full: true, Servers: []discovery.Server{server("s-1", "ready")}}
	sim.discovery.firstLine = encodeList(3, false)
	for conn := range sim.discovery.watchers {
		sim.discovery.io.Close(conn)
		sim.discovery.Closed(1002, conn)
	}
	sim.net.Run(1004)
	if len(sim.relay.weights) != 1 || sim.discovery.fullLists != 1 {
		t.Errorf("weights %v, %d requests for the full list; want one of each", sim.relay.weights, sim.discovery.fullLists)
	}
}
