package platform

import (
	"strings"
	"testing"

	"snowquay/internal/wire/discovery"
)

// The changes in a line or an entry that cannot be read are requested again, and not lost when the versions go
// on.
func TestUnreadablePartsOfListsAreRefetched(t *testing.T) {
	for what, unreadable := range map[string]string{
		"a line":   `{"version":1,"servers":[{"id":"s-3","state":"dra`,
		"an entry": `{"version":1,"full":false,"servers":[{"id":"s-3","state":"drained?","zone":"a"}]}`,
		"a type":   `{"version":1,"full":false,"servers":[{"id":"s-2","state":"ready","zone":"a","weight":1},{"id":3,"state":"draining"}]}`,
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
			t.Errorf("%s: a second later s-3 is in the table: %v; requests %q", what, sim.relay.inTable("s-3"), sim.discovery.watchRequests)
		}
	}
}

// Lists that stay malformed are not requested in a loop, and their readable entries count.
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
		t.Errorf("%d requests in a minute", requests)
	}
	if sim.relay.inTable("s-3") {
		t.Error("s-3, which is draining by an entry beside an unusable one, is in the table")
	}
	// What comes on the connection meanwhile counts at once.
	sim.discovery.sendToWatchers(encodeList(2, false, server("s-2", "draining")) + "\n")
	sim.net.Run(1062.1)
	if sim.relay.inTable("s-2") || len(sim.discovery.watchers) == 0 {
		t.Errorf("s-2, which is draining, is in the table: %v; %d watches", sim.relay.inTable("s-2"), len(sim.discovery.watchers))
	}
}

// A new discovery may start at a lower version, or go on after a list that the program has not had: the full
// list is requested, and the changes after it are not ignored as old.
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
			t.Errorf("version %d: s-3, which the new list lacks, is in the table: %v; %d requests for the full list", version,
				sim.relay.inTable("s-3"), newDiscovery.fullLists)
		}
		newDiscovery.publish(false, server("s-2", "draining"))
		sim.net.Run(1003.2)
		if sim.relay.inTable("s-2") {
			t.Errorf("version %d: s-2, which is draining by the new discovery, is in the table", version)
		}
	}
}

// A full list that cannot be read is requested again, and not in a loop; there is no watch before it has been
// read.
func TestUnreadableFullListIsRefetched(t *testing.T) {
	sim := simulate(t, 1)
	sim.relay.join(1, "a")
	sim.net.Run(1002)
	next := &fakeDiscovery{list: discovery.List{Version: 9, Servers: []discovery.Server{server("s-1", "ready")}}, truncated: true}
	sim.start(otherDiscovery, next)
	sim.program.SetAddresses(sim.net.Now(), otherDiscovery, relayAddress)
	sim.net.Run(1007)
	if next.fullLists < 5 || next.fullLists > 30 || len(next.watchRequests) > 0 || len(sim.relay.weights) != 3 {
		t.Errorf("%d requests in 5 s, %d watches; the weights are %v", next.fullLists, len(next.watchRequests), sim.relay.weights)
	}
	next.truncated = false
	sim.net.Run(1008.5)
	if len(next.watchers) != 1 || len(sim.relay.weights) != 1 {
		t.Errorf("after it can be read %d watches; the weights are %v", len(next.watchers), sim.relay.weights)
	}
}

// A discovery that has started anew at the same address is recognized by the version of its first line, which
// is below the known one.
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
		t.Errorf("the weights are %v, %d requests for the full list", sim.relay.weights, sim.discovery.fullLists)
	}
}
