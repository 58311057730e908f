package balancer

import "testing"

func TestLastServersAreDrained(t *testing.T) {
	h := startSettled(t, defaultSite(), 2)
	h.reconcile(h.now+0.1, Events{Lists: fullList()})
	if len(h.tables[1]) != 0 || h.violation != "" {
		t.Errorf("table is %v, want no entries; %s", h.tables[1], h.violation)
	}
}

// Guards against removing servers that are missing from an incorrect list but are still running.
func TestAdvisoryRemovalAppliesOnceServerStopsResponding(t *testing.T) {
	s := defaultSite()
	s.guarantees.RemovalIsAdvisory = true
	h := startSettled(t, s, 4)
	removed := Endpoint{Server: serverName(3), Phase: Removed}
	delete(h.endpoints, serverName(3)) // so that the harness does not expect a drain
	h.reconcile(h.now+1, Events{Lists: deltaList(removed)})
	h.endpoints[serverName(3)] = removed
	delete(h.drainingSince, serverName(3))
	h.runSeconds(10, 100, healthy)
	shareWhileResponding := h.share(serverName(3))
	if shareWhileResponding < 0.2 {
		t.Errorf("delisted server that still responds has a share of %.3f, want about 1/4", shareWhileResponding)
	}
	h.runSeconds(10, 100, healthyExcept(serverName(3), failing))
	if h.tables[1][serverName(3)] != 0 {
		t.Errorf("delisted server that fails has a share of %.3f, want none", h.share(serverName(3)))
	}
}

// Guards against unbounded memory growth: servers are continually replaced while the coordinator runs.
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
		t.Errorf("%d servers are known and %d are in the ordered list, want the same number, at most 12; %s",
			known, len(h.balancer.servers), h.violation)
	}
}
