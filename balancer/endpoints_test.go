package balancer

import "testing"

func TestLastServersDrain(t *testing.T) {
	h := startSettled(t, defaultSite(), 2)
	h.reconcile(h.now+0.1, Events{Lists: fullList()})
	if len(h.tables[1]) != 0 || h.violation != "" {
		t.Errorf("table %v, %s", h.tables[1], h.violation)
	}
}

// Guards against a list that loses servers which still run.
func TestAdvisoryRemovalCountsOnceNothingIsAnswered(t *testing.T) {
	s := defaultSite()
	s.guarantees.RemovalIsAdvisory = true
	h := startSettled(t, s, 4)
	removed := Endpoint{Server: serverName(3), Phase: Removed}
	delete(h.endpoints, serverName(3)) // the harness then expects no drain
	h.reconcile(h.now+1, Events{Lists: deltaList(removed)})
	h.endpoints[serverName(3)] = removed
	delete(h.drainingSince, serverName(3))
	h.runSeconds(10, 100, healthy)
	whileAnswering := h.share(serverName(3))
	if whileAnswering < 0.2 {
		t.Errorf("merely delisted, it has a share of %.3f while it answers", whileAnswering)
	}
	h.runSeconds(10, 100, healthyExcept(serverName(3), failing))
	if h.tables[1][serverName(3)] != 0 {
		t.Errorf("delisted and failing, it has a share of %.3f", h.share(serverName(3)))
	}
}

// Guards against growth: servers are replaced by new ones for as long as the coordinator runs.
func TestRemovedServersAreForgotten(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	address := func(i int) Server { return Server(rune('a'+i%26)) + serverName(100+i) }
	for i := range 2000 {
		changed := []Endpoint{{Server: address(i), Weight: 1}}
		if i > 0 {
			changed = append(changed, Endpoint{Server: address(i - 1), Phase: Removed})
		}
		h.reconcile(h.now+1, Events{
			Lists:     deltaList(changed...),
			Upstreams: []UpstreamReport{healthy(serverName(0), 0.2, 100)},
		})
	}
	known := len(h.balancer.serverByAddress)
	if known > 12 || len(h.balancer.servers) != known || h.violation != "" {
		t.Errorf("%d servers are known, %d in order; %s", known, len(h.balancer.servers), h.violation)
	}
}
