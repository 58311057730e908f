package balancer

import (
	"math"
	"testing"
)

// Lost responses do not indicate overload: rejecting requests would not reduce the losses.
func TestLostResponsesDoNotRestrictAdmission(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	h.runSeconds(20, 100, partlyFailing(0.25, 0.25))
	if h.balancer.minAdmitted() < 1 || h.balancer.overloaded {
		t.Errorf("admitted fractions are %.2f, want no restriction and no overload", h.balancer.admitted)
	}
	// Then only half of the servers lose responses.
	h.runSeconds(30, 100, func(server Server, share, requests float64) UpstreamReport {
		if server[len(server)-4]%2 == 1 {
			return partlyFailing(0.2, 0.25)(server, share, requests)
		}
		return healthy(server, share, requests)
	})
	if got := h.share(serverName(5)); got < 0.12 {
		t.Errorf("a server that loses responses has a share of %.3f, want about 1/6, at least 0.12", got)
	}
}

// overloadedServer completes 17 requests per second with a latency far above the objective.
func overloadedServer(server Server, _, _ float64) UpstreamReport {
	return UpstreamReport{Server: server, Attempts: 17, Latency: 2.5}
}

func TestOverloadRejectsTheLowestPriorityFirst(t *testing.T) {
	for name, mode := range map[string]AdmissionMode{"fraction": AdmissionFraction, "rate": AdmissionRate} {
		t.Run(name, func(t *testing.T) {
			s := defaultSite()
			s.dataPlane.Admission = mode
			h := startSettled(t, s, 6)
			h.runSeconds(6, 160, overloadedServer)
			low := h.admissions[1][0]
			high := h.admissions[1][1]
			if low == 0 || high == 0 || low > 0.2*high {
				t.Errorf("admission rate is %v for the lowest priority and %v for the highest, want at most a fifth for the lowest, and neither 0",
					low, high)
			}
			lowest := &h.balancer.admitted[0]
			for lowest.wanted < 1 && h.now < 200 { // growth is limited because reports may be late
				before := lowest.wanted
				h.runSeconds(1, 100, healthy)
				if lowest.wanted > math.Max(before, admissionGrowthBase)*(1+admissionGrowth)+1e-9 {
					t.Fatalf("admitted fraction grew too fast, from %.2f to %.2f", before, lowest.wanted)
				}
			}
			h.runSeconds(5, 100, healthy)
			if h.admissions[1][0] != unlimitedAdmission {
				t.Errorf("admission rate is %v after the overload, want unlimited", h.admissions[1][0])
			}
		})
	}
}

// Guards against a coordinator that starts during an overload and admits nothing because it has not yet
// observed the capacity of its servers.
func TestRestartDuringOverloadAdmitsSomething(t *testing.T) {
	h := defaultSite().start()
	h.listAndJoin(6)
	h.runSeconds(8, 160, overloadedServer)
	h.runSeconds(10, 160, func(server Server, _, _ float64) UpstreamReport {
		return UpstreamReport{Server: server, Attempts: 6, Latency: 2.5}
	})
	admitted := 0.0
	for class, fraction := range h.balancer.admitted {
		admitted += fraction.wanted * offeredRate(h.balancer.proxies, nil, 1<<class)
	}
	if admitted < 30 {
		t.Errorf("of 100 requests per second that the servers can handle, %.1f are admitted, want at least 30",
			admitted)
	}
}

// Guards against excluding servers that fail most attempts from the overload detection: if most servers of
// the fleet did so, the overload remained undetected.
func TestFleetThatFailsMostAttemptsIsOverloaded(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	h.runSeconds(5, 160, func(server Server, _, _ float64) UpstreamReport {
		return UpstreamReport{Server: server, Attempts: 80, Failed: 70, Latency: 1.5}
	})
	if got := h.balancer.admitted[0].wanted; got > 0.5 {
		t.Errorf("admitted fraction of the lowest priority is %v, want at most 0.5", got)
	}
	admissions := h.balancer.groups[0].tables[0].admissions
	if got := admissions[1].retry; got != RetryNever { // retries would overload the servers that still work
		t.Errorf("retry policy is %v during the overload, want RetryNever", got)
	}
	h.runSeconds(20, 100, healthy)
	want := admissionSetting{rate: unlimitedAdmission, retry: RetryIfNotExecuted}
	if got := admissions[1]; got != want {
		t.Errorf("admission setting is %v after recovery, want %v", got, want)
	}
}

// runAboveTargetLatency runs rounds of one second each. The reports describe 100 attempts per second with a
// latency slightly above the overload limit, and the demand of the first eight proxies.
func (h *harness) runAboveTargetLatency(requests float64, seconds int) {
	respond := withLatency(0.45)
	for range seconds {
		var events Events
		for i := range 6 {
			report := respond(serverName(i), h.share(serverName(i)), 100)
			report.Interval = 1
			events.Upstreams = append(events.Upstreams, report)
		}
		for proxy := range 8 {
			for class, fraction := range []float64{0.8, 0.2} {
				events.Demands = append(events.Demands, DemandReport{
					Proxy:    Proxy(proxy),
					Class:    Class(class),
					Requests: requests / 8 * fraction,
					Interval: 1,
				})
			}
		}
		h.reconcile(h.now+1, events)
	}
}

// Guards against rejecting requests that the servers could handle, while proxies that have just moved from
// another coordinator have demand, but their attempts are not reported yet.
func TestJoiningProxiesDoNotRestrictAdmission(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	h.runAboveTargetLatency(100, 20)
	var events Events
	for i := range 24 {
		events.ProxyEvents = append(events.ProxyEvents, joined(Proxy(100+i), 12))
	}
	h.reconcile(h.now+0.5, events)
	proxies := h.balancer.proxies
	mix := offeredRate(proxies, nil, 2) / offeredRate(proxies, nil, allClasses)
	if math.Abs(mix-0.2) > 0.02 {
		t.Errorf("%.2f of the expected demand has the higher priority, want 0.20 as for the other proxies", mix)
	}
	for range 3 {
		h.runAboveTargetLatency(100, 1)
		if !h.balancer.overloaded || h.balancer.minAdmitted() < 0.7 {
			t.Errorf("admitted fractions are %.2f, overloaded: %v, want at least 0.7 and overloaded",
				h.balancer.admitted, h.balancer.overloaded)
		}
	}
}
