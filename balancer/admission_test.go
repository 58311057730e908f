package balancer

import (
	"math"
	"testing"
)

// Answers that get lost on the way are no overload: to reject requests would not bring them back.
func TestLostAnswersDoNotRestrictAdmission(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	h.runSeconds(20, 100, partlyFailing(0.25, 0.25))
	if h.balancer.minAdmitted() < 1 || h.balancer.overloaded {
		t.Errorf("admitted: %.2f", h.balancer.admitted)
	}
	h.runSeconds(30, 100, func(server Server, share, requests float64) UpstreamReport { // then half of them lose some
		if server[len(server)-4]%2 == 1 {
			return partlyFailing(0.2, 0.25)(server, share, requests)
		}
		return healthy(server, share, requests)
	})
	if got := h.share(serverName(5)); got < 0.12 {
		t.Errorf("one of them has a share of %.3f, want about 1/6", got)
	}
}

// overloadedServer answers 17 requests a second, far too late.
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
				t.Errorf("the lowest priority is admitted at %v, the highest at %v", low, high)
			}
			lowest := &h.balancer.admitted[0]
			for lowest.wanted < 1 && h.now < 200 { // reports may be late: no leaps
				before := lowest.wanted
				h.runSeconds(1, 100, healthy)
				if lowest.wanted > math.Max(before, admissionGrowthBase)*(1+admissionGrowth)+1e-9 {
					t.Fatalf("the admitted fraction leaps from %.2f to %.2f", before, lowest.wanted)
				}
			}
			h.runSeconds(5, 100, healthy)
			if h.admissions[1][0] != unlimitedAdmission {
				t.Errorf("after the overload the admission rate is %v", h.admissions[1][0])
			}
		})
	}
}

// A coordinator that started during an overload admitted nothing, as it had never seen what its servers do.
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
		t.Errorf("of 100 requests a second that the servers can do it admits %.1f", admitted)
	}
}

// Servers that fail most attempts were left out, so that a fleet that failed most was left to itself.
func TestFleetThatFailsMostAttemptsIsOverloaded(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	h.runSeconds(5, 160, func(server Server, _, _ float64) UpstreamReport {
		return UpstreamReport{Server: server, Attempts: 80, Failed: 70, Latency: 1.5}
	})
	if got := h.balancer.admitted[0].wanted; got > 0.5 {
		t.Errorf("the lowest priority is admitted at %v", got)
	}
	admissions := h.balancer.groups[0].tables[0].admissions
	if got := admissions[1].retry; got != RetryNever { // retries would pile up on those that still stand
		t.Errorf("the retry policy is %v", got)
	}
	h.runSeconds(20, 100, healthy)
	want := admissionSetting{rate: unlimitedAdmission, retry: RetryIfNotExecuted}
	if got := admissions[1]; got != want {
		t.Errorf("once all is well the setting is %v, want %v", got, want)
	}
}

// runAboveTargetLatency plays seconds with reports of 100 attempts a second that take a little longer than the latency
// objective allows, and of the demand of the first eight proxies.
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
			for class, part := range []float64{0.8, 0.2} {
				events.Demands = append(events.Demands, DemandReport{
					Proxy:    Proxy(proxy),
					Class:    Class(class),
					Requests: requests / 8 * part,
					Interval: 1,
				})
			}
		}
		h.reconcile(h.now+1, events)
	}
}

// Guards against rejecting what servers could answer, in the seconds in which proxies that came from another
// coordinator have requests whose answers are not reported yet.
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
		t.Errorf("%.2f of the expected demand is of the higher priority, want 0.20 as of the others", mix)
	}
	for range 3 {
		h.runAboveTargetLatency(100, 1)
		if !h.balancer.overloaded || h.balancer.minAdmitted() < 0.7 {
			t.Errorf("a second on, admitted: %.2f, overloaded: %v", h.balancer.admitted, h.balancer.overloaded)
		}
	}
}
