package balancer

import "testing"

// Connections from every proxy to every server would exceed the connection limits of the servers, so the servers
// are divided among proxy groups.
func TestServersAreDividedAmongGroups(t *testing.T) {
	s := defaultSite()
	s.dataPlane.MinConnections = 8
	h := s.start()
	h.listAndJoin(12)
	used := map[Server]bool{}
	entries := 0
	for _, group := range h.balancer.groups {
		for server := range group.tables[0].weights {
			used[server] = true
			entries++
		}
	}
	if len(h.balancer.groups) != 4 || len(used) != 12 || entries > 18 {
		t.Errorf("%d groups use %d of 12 servers in %d entries, want 4 groups, all servers and at most 18 entries",
			len(h.balancer.groups), len(used), entries)
	}
}

func TestClassesWithZonesHaveTheirOwnTables(t *testing.T) {
	s := defaultSite()
	s.classes[1].AllowedZones = []Zone{1}
	h := startSettled(t, s, 6)
	allZones := h.assigned[0][0]
	oneZone := h.assigned[0][1]
	if allZones == oneZone || len(h.tables[allZones]) != 6 || len(h.tables[oneZone]) != 3 {
		t.Errorf("tables are %v, want separate ones with 6 and 3 entries", h.tables)
	}
}

func TestZoneLocalClassesUseServersOfTheProxysZone(t *testing.T) {
	s := defaultSite()
	s.classes[1] = RequestClass{PriorityWeight: 1, LatencyObjective: 1, ZoneLocal: true}
	h := s.start()
	h.listAndJoin(4)
	remote := joined(90, 3)
	remote.Zone = 1
	h.reconcile(101, Events{ProxyEvents: []ProxyEvent{remote}})
	localTable := h.assigned[0][1]
	remoteTable := h.assigned[90][1]
	if localTable == remoteTable || h.tables[remoteTable][serverName(0)] != 0 || h.tables[remoteTable][serverName(1)] == 0 {
		t.Errorf("tables are %v, assigned as %v; want only servers of zone 1 in the table of proxy 90",
			h.tables, h.assigned)
	}
}

// The whole table of a large fleet exceeds what the channel may queue for all proxies, so updates are sent in parts.
func TestLargeFleetKeepsTheQueueShort(t *testing.T) {
	s := defaultSite()
	s.dataPlane.Proxies = 60
	h := startSettled(t, s, 40)
	h.runSeconds(40, 100, func(server Server, share, requests float64) UpstreamReport {
		lastDigit := server[len(server)-4] - '0'
		return UpstreamReport{Server: server, Attempts: share * requests, Latency: 0.1 * float64(1+lastDigit%5)}
	})
	fastest := h.share(serverName(30))
	slowest := h.share(serverName(34))
	if fastest < 2*slowest || h.violation != "" {
		t.Errorf("fastest server has a share of %.4f, slowest one %.4f, want a factor of at least 2; %s",
			fastest, slowest, h.violation)
	}
}
