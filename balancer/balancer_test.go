package balancer

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestFailedDiscoveryPollIsRetried(t *testing.T) {
	s := defaultSite()
	s.discovery.Polled = true
	h := s.start()
	failedPolls := 0
	for i := range 400 {
		failed := []EndpointList{{Scope: ListFailed}}[:len(h.polledAt)-failedPolls]
		failedPolls = len(h.polledAt)
		h.reconcile(100+float64(i)/10, Events{Lists: failed})
	}
	if polls := len(h.polledAt); polls < 25 || polls > 70 {
		t.Errorf("%d polls in 40 s, want 25 to 70, for one per sixteenth to eighth of the poll deadline", polls)
	}
}

func TestUnusualEventsAreAccepted(t *testing.T) {
	s := defaultSite()
	s.reporting.Period = 0
	h := s.start()
	h.reconcile(0, Events{})
	h.reconcile(0, Events{Lists: []EndpointList{
		{},
		{Scope: FullList},
		{Scope: DeltaList, Endpoints: []Endpoint{{Server: "x", Phase: Removed}}},
	}})
	h.reconcile(1, Events{
		ProxyEvents: []ProxyEvent{{Proxy: 1, Joined: true}, {Proxy: 1}, {Proxy: 1, Joined: true}, {Proxy: 9}},
		Lists:       fullList(Endpoint{Server: "a"}, Endpoint{Server: "a"}),
	})
	for i := range 20 {
		h.reconcile(2+float64(i)/4, Events{
			Upstreams:    []UpstreamReport{{Server: "a"}, {Server: "none", Attempts: 3}, {Server: "a", Attempts: 8, Failed: 99}},
			Demands:      []DemandReport{{Proxy: 1}, {Proxy: 77, Requests: 4, Interval: 1}, {Proxy: 1, Class: 40, Requests: 1, Interval: 1}},
			Acks:         []Ack{{ID: 12}},
			HealthChecks: []HealthCheckResult{{Server: "none"}},
		})
	}
	if h.violation != "" || h.tables[1]["a"] <= 0 {
		t.Errorf("table is %v, want a positive weight of server a; %s", h.tables[1], h.violation)
	}
}

// Random runs keep all guarantees, and the same events produce the same commands.
func TestRandomRunsKeepGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSite(t)
		h := s.start()
		second := s.start()
		servers := rapid.IntRange(2, 9).Draw(t, "servers")
		h.listAndJoin(servers)
		second.listAndJoin(servers)
		for range rapid.IntRange(10, 60).Draw(t, "rounds") {
			pause := rapid.SampledFrom([]float64{0, 0.004, 0.3, 1, 1, 1, 7}).Draw(t, "pause")
			events := drawEvents(t, h, servers, pause)
			now := h.now + pause
			h.reconcile(now, events)
			second.reconcile(now, events)
			if h.violation != "" {
				t.Fatal(h.violation)
			}
			if h.log != second.log {
				t.Fatal("the same events produced different commands")
			}
			checkWarmingServers(t, h)
		}
	})
}

func drawSite(t *rapid.T) site {
	s := defaultSite()
	s.dataPlane.Admission = AdmissionMode(rapid.IntRange(0, 2).Draw(t, "admission"))
	s.dataPlane.DefaultRetry = RetryPolicy(rapid.IntRange(0, 3).Draw(t, "retry"))
	s.reporting.Period = rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "period")
	s.dataPlane.MinConnections = rapid.SampledFrom([]float64{0, 12}).Draw(t, "connections") // 12 results in several groups
	s.channel.MaxMessages = rapid.SampledFrom([]int{0, 12}).Draw(t, "messages")
	// 260 has room for the urgent updates twice.
	s.channel.MaxQueued = rapid.SampledFrom([]float64{260, 2000}).Draw(t, "entries")
	s.channel.EntriesPerSecond = s.channel.MaxQueued / 1.5
	if rapid.Bool().Draw(t, "zones") {
		s.classes[1].AllowedZones = []Zone{1}
	}
	return s
}

// drawEvents draws the events of the given number of seconds: at most one change, and reports of the traffic.
func drawEvents(t *rapid.T, h *harness, servers int, seconds float64) Events {
	i := rapid.IntRange(0, servers-1).Draw(t, "server")
	endpoint := Endpoint{Server: serverName(i), Weight: 1, Zone: Zone(i % 2)}
	endpoint.Started = h.endpoints[endpoint.Server].Started
	proxy := Proxy(rapid.IntRange(0, 11).Draw(t, "proxy"))
	acksDelayed := false
	var events Events
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		endpoint.Phase = Draining
		events.Lists = deltaList(endpoint)
	case 1:
		endpoint.Phase = Removed
		events.Lists = deltaList(endpoint)
	case 2:
		endpoint.Started = h.now
		events.Lists = deltaList(endpoint)
	case 3:
		events.ProxyEvents = []ProxyEvent{{Proxy: proxy, ExpectedRate: 12}}
	case 4:
		events.ProxyEvents = []ProxyEvent{joined(proxy, 12)}
	case 5:
		for p := range Proxy(8) { // all connections are replaced at once
			events.ProxyEvents = append(events.ProxyEvents, ProxyEvent{Proxy: p}, joined(p, 12))
		}
	case 6:
		acksDelayed = true
	}
	if !acksDelayed {
		events.Acks = h.arrivedAcks(h.now + seconds)
	}
	events.Upstreams = drawUpstreams(t, h, servers, seconds)
	events.Demands = drawDemands(t, h, servers)
	return events
}

func drawUpstreams(t *rapid.T, h *harness, servers int, seconds float64) []UpstreamReport {
	var reports []UpstreamReport
	severity := rapid.IntRange(0, 3).Draw(t, "fault")
	for i := range servers {
		attempts := 15 * seconds * h.share(serverName(i)) * float64(servers)
		failedFraction := rapid.SampledFrom([]float64{0, 0, 0, 1, 0.5}).Draw(t, "failed") * float64(min(severity, 1))
		reports = append(reports, UpstreamReport{
			Server:   serverName(i),
			Attempts: attempts,
			Failed:   attempts * failedFraction,
			Interval: seconds,
			Latency:  rapid.Float64Range(0.1, 0.3+float64(severity)).Draw(t, "latency"),
		})
	}
	return reports
}

func drawDemands(t *rapid.T, h *harness, servers int) []DemandReport {
	var reports []DemandReport
	for proxy := range Proxy(12) {
		for class := range h.site.classes {
			requests := rapid.Float64Range(0.5, 1).Draw(t, "demand") * float64(servers)
			reports = append(reports, DemandReport{Proxy: proxy, Class: Class(class), Interval: 1, Requests: requests})
		}
	}
	return reports
}

// checkWarmingServers checks that the tables send no warming server more attempts than it can handle. It checks
// only if there is a single table, at least one warm server that is ready, and enough data on completion rates.
func checkWarmingServers(t *rapid.T, h *harness) {
	b := h.balancer
	someWarm := slices.ContainsFunc(b.servers, func(s *server) bool { return b.isWarmAndReady(h.now, s) })
	oneTable := len(b.eligibilitySets) == 1 && len(b.groups) <= 1
	if !someWarm || !oneTable || b.completionRates.Count() < 20 {
		return
	}
	for _, s := range b.servers {
		fraction := b.warmupFraction(h.now, s)
		if s.Phase != Ready || fraction >= 1 {
			continue
		}
		attempts := h.share(s.Server) * math.Max(b.attemptRate, offeredRate(b.proxies, nil, allClasses))
		limit := b.guarantees.OverloadFactor * 1.5 * math.Max(fraction*b.completionRates.Mean(), 1)
		if attempts > limit {
			t.Fatalf("%s has %.2f of its capacity and gets %.1f attempts per second, want at most %.1f",
				s.Server, fraction, attempts, limit)
		}
	}
}
