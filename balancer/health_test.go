package balancer

import "testing"

func TestRemainingServersAreNotOverloaded(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	h.runSeconds(20, 100, func(server Server, share, requests float64) UpstreamReport {
		if server <= serverName(3) {
			return failing(server, share, requests)
		}
		return healthy(server, share, requests)
	})
	if got := h.share(serverName(5)); got > 0.35 || got < 0.2 {
		t.Errorf("with four of six failing another has a share of %.3f, want 1.6 times 1/6", got)
	}
}

// Guards against a warming server that inherits the load of failing ones, and against retries.
func TestWarmingServerIsProtectedWhileOthersFail(t *testing.T) {
	s := defaultSite()
	h := startSettled(t, s, 6)
	started := h.now
	h.reconcile(h.now+0.1, Events{Lists: deltaList(Endpoint{Server: serverName(0), Weight: 1, Started: started})})
	for range 10 {
		h.runSeconds(1, 150, func(server Server, share, requests float64) UpstreamReport {
			if server >= serverName(1) && server <= serverName(3) {
				return failing(server, share, requests)
			}
			return healthy(server, share, requests)
		})
		warm := h.balancer.warmupFraction(h.now, h.balancer.serverByAddress[serverName(0)])
		got := h.share(serverName(0)) * 150
		limit := 2.0 / 3 * s.guarantees.OverloadFactor * warm * 100 / 6
		if got > limit {
			t.Fatalf("after %.0f s it gets %.1f requests a second, over %.1f", h.now-started, got, limit)
		}
	}
}

// Proxies that come back from an outage may eject every server but the one they have not met.
func TestWarmingServerWaitsForReconnectedProxies(t *testing.T) {
	s := defaultSite()
	s.dataPlane.EjectAfterFailures = 8
	h := startSettled(t, s, 6)
	h.reconcile(h.now+0.1, Events{
		Lists:       deltaList(Endpoint{Server: serverName(0), Weight: 1, Started: h.now}),
		ProxyEvents: []ProxyEvent{{Proxy: 3}, {Proxy: 4}},
	})
	for h.runSeconds(2, 100, healthy); h.now < 141; h.runSeconds(1, 100, healthy) {
		if len(h.balancer.disconnected) > 0 {
			h.reconcile(h.now, Events{ProxyEvents: []ProxyEvent{joined(3, 9), joined(4, 9)}})
		}
		_, held := h.tables[1][serverName(0)]
		if held && h.now < 132+reconnectSettleTime {
			t.Fatalf("at %.0f s it has an entry", h.now)
		}
	}
	h.runSeconds(4, 100, healthy)
	if h.tables[1][serverName(0)] == 0 {
		t.Error("once they have settled it has no entry")
	}
}

// Where many attempts fail proxies eject servers, and the warming one would draw what is left.
func TestWarmingServerHasNoEntryAtHighFailureRate(t *testing.T) {
	s := defaultSite()
	s.dataPlane.EjectAfterFailures = 8
	h := startSettled(t, s, 6)
	h.runSeconds(3, 100, partlyFailing(0.1, 0.25))
	h.reconcile(h.now, Events{Lists: deltaList(Endpoint{Server: serverName(0), Started: h.now})})
	h.runSeconds(4, 100, partlyFailing(0.1, 0.25))
	if h.tables[1][serverName(0)] != 0 {
		t.Errorf("a warming server has the share %.3f", h.share(serverName(0)))
	}
	h.runSeconds(8, 100, healthy)
	if h.tables[1][serverName(0)] == 0 {
		t.Error("once all is well it has no entry")
	}
}

func TestZoneRecoveryRestoresServers(t *testing.T) {
	h := startSettled(t, defaultSite(), 6) // servers 1, 3, 5 in zone 1
	back := ProxyEvent{Proxy: 40, Zone: 1, ExpectedRate: 50, Joined: true}
	h.reconcile(h.now, Events{ProxyEvents: []ProxyEvent{back}})
	h.reconcile(h.now, Events{ProxyEvents: []ProxyEvent{{Proxy: 40, Zone: 1}}})
	h.runSeconds(12, 50, healthyExcept(serverName(1), failing))
	before := h.share(serverName(1))
	h.reconcile(h.now, Events{ProxyEvents: []ProxyEvent{back}})
	h.runSeconds(1, 100, healthyExcept(serverName(1), failing)) // still a report of the outage
	if got := h.share(serverName(1)); before > 0.03 || got < 2*before || got < 0.06 {
		t.Errorf("its share went from %.3f to %.3f, want about half of 1/6", before, got)
	}
}
