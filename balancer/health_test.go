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
		t.Errorf("with four of six servers failing, another has a share of %.3f, want about 1.6 times 1/6, from 0.2 to 0.35", got)
	}
}

// Guards against overloading a warming server with the load of failing servers and with retries.
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
		fraction := h.balancer.warmupFraction(h.now, h.balancer.serverByAddress[serverName(0)])
		got := h.share(serverName(0)) * 150
		limit := 2.0 / 3 * s.guarantees.OverloadFactor * fraction * 100 / 6
		if got > limit {
			t.Fatalf("%.0f s after its start the warming server gets %.1f requests per second, want at most %.1f",
				h.now-started, got, limit)
		}
	}
}

// Reconnected proxies may have ejected every server except a warming one, which has no failures yet and would get
// all their requests.
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
		_, inTable := h.tables[1][serverName(0)]
		if inTable && h.now < 132+reconnectSettleTime {
			t.Fatalf("warming server has an entry at %.0f s, before reconnected proxies have settled", h.now)
		}
	}
	h.runSeconds(4, 100, healthy)
	if h.tables[1][serverName(0)] == 0 {
		t.Error("server has no entry after reconnected proxies have settled")
	}
}

// If many attempts fail, proxies eject servers, and a warming server would get the remaining load.
func TestWarmingServerHasNoEntryAtHighFailureRate(t *testing.T) {
	s := defaultSite()
	s.dataPlane.EjectAfterFailures = 8
	h := startSettled(t, s, 6)
	h.runSeconds(3, 100, partlyFailing(0.1, 0.25))
	h.reconcile(h.now, Events{Lists: deltaList(Endpoint{Server: serverName(0), Started: h.now})})
	h.runSeconds(4, 100, partlyFailing(0.1, 0.25))
	if h.tables[1][serverName(0)] != 0 {
		t.Errorf("warming server has a share of %.3f at a high failure rate, want none", h.share(serverName(0)))
	}
	h.runSeconds(8, 100, healthy)
	if h.tables[1][serverName(0)] == 0 {
		t.Error("server has no entry after the failures have ended")
	}
}

func TestZoneRecoveryRestoresServers(t *testing.T) {
	h := startSettled(t, defaultSite(), 6) // servers 1, 3 and 5 are in zone 1
	rejoined := ProxyEvent{Proxy: 40, Zone: 1, ExpectedRate: 50, Joined: true}
	h.reconcile(h.now, Events{ProxyEvents: []ProxyEvent{rejoined}})
	h.reconcile(h.now, Events{ProxyEvents: []ProxyEvent{{Proxy: 40, Zone: 1}}})
	h.runSeconds(12, 50, healthyExcept(serverName(1), failing))
	before := h.share(serverName(1))
	h.reconcile(h.now, Events{ProxyEvents: []ProxyEvent{rejoined}})
	h.runSeconds(1, 100, healthyExcept(serverName(1), failing)) // the report still describes the outage
	if got := h.share(serverName(1)); before > 0.03 || got < 2*before || got < 0.06 {
		t.Errorf("share of the server changed from %.3f to %.3f, want from at most 0.03 to at least 0.06 and twice the first", before, got)
	}
}
