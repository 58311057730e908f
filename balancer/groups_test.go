package balancer

import "testing"

// A connection from every proxy to every server would fill the servers: groups share a part of them each.
func TestGroupsShareTheServers(t *testing.T) {
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
		t.Errorf("%d groups use %d servers of 12 in %d entries", len(h.balancer.groups), len(used), entries)
	}
}

func TestClassesWithZonesHaveTheirOwnTables(t *testing.T) {
	s := defaultSite()
	s.classes[1].AllowedZones = []Zone{1}
	h := startSettled(t, s, 6)
	all := h.assigned[0][0]
	ofZone := h.assigned[0][1]
	if all == ofZone || len(h.tables[all]) != 6 || len(h.tables[ofZone]) != 3 {
		t.Errorf("tables %v", h.tables)
	}
}

func TestZoneLocalClassesUseServersOfTheProxysZone(t *testing.T) {
	s := defaultSite()
	s.classes[1] = RequestClass{PriorityWeight: 1, LatencyObjective: 1, ZoneLocal: true}
	h := s.start()
	h.listAndJoin(4)
	far := joined(90, 3)
	far.Zone = 1
	h.reconcile(101, Events{ProxyEvents: []ProxyEvent{far}})
	near := h.assigned[0][1]
	ofFar := h.assigned[90][1]
	if near == ofFar || h.tables[ofFar][serverName(0)] != 0 || h.tables[ofFar][serverName(1)] == 0 {
		t.Errorf("tables %v of %v", h.tables, h.assigned)
	}
}

// A large fleet's table does not fit into the channel: what all proxies are sent goes out in parts.
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
		t.Errorf("the fastest has a share of %.4f, the slowest of %.4f; %s", fastest, slowest, h.violation)
	}
}
