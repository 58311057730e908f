package balancer

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// extremeNumbers are values at the limits of the number format and of what is plausible.
var extremeNumbers = []float64{
	0, math.Copysign(0, -1), math.SmallestNonzeroFloat64, 2.2250738585072014e-308, 1e-300, 1e-30, 1e-9, 1e-3, 1, 59,
	maxReportedLatency, maxReportedRate, maxReportedCount, maxListedWeight, 1e15, 1e30, 1e300, math.MaxFloat64, -1e-300, -1,
	-math.MaxFloat64, math.Inf(1), math.Inf(-1), math.NaN(),
}

func drawExtreme(t *rapid.T, label string) float64 {
	if rapid.Bool().Draw(t, label+" is any number") {
		return rapid.Float64().Draw(t, label)
	}
	return rapid.SampledFrom(extremeNumbers).Draw(t, label)
}

// drawSpoiltEvents returns events whose numbers are arbitrary. Servers and proxies exist.
func drawSpoiltEvents(t *rapid.T, h *harness, servers int) Events {
	server := serverName(rapid.IntRange(0, servers-1).Draw(t, "server"))
	proxy := Proxy(rapid.IntRange(0, h.site.dataPlane.Proxies-1).Draw(t, "proxy"))
	var events Events
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0:
		events.Upstreams = []UpstreamReport{{
			Server:   server,
			Attempts: drawExtreme(t, "attempts"),
			Failed:   drawExtreme(t, "failed"),
			Latency:  drawExtreme(t, "latency"),
			Interval: drawExtreme(t, "interval"),
		}}
	case 1:
		events.Demands = []DemandReport{{
			Proxy:    proxy,
			Class:    Class(rapid.IntRange(-2, 3).Draw(t, "class")),
			Requests: drawExtreme(t, "requests"),
			Failed:   drawExtreme(t, "failed"),
			Interval: drawExtreme(t, "interval"),
		}}
	case 2:
		events.ProxyEvents = []ProxyEvent{joined(proxy, drawExtreme(t, "rate"))}
	case 3:
		events.Acks = []Ack{{Proxy: proxy, ID: h.balancer.channel.lastAckID, Latency: drawExtreme(t, "latency")}}
	case 4:
		endpoint := h.endpoints[server]
		endpoint.Weight = drawExtreme(t, "weight")
		events.Lists = deltaList(endpoint)
	}
	return events
}

// Guards against a value from outside that spoils an average for good and empties all tables (review case 6).
func TestSpoiltNumbersLeaveTablesIntact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := defaultSite()
		zoneLocal := rapid.Bool().Draw(t, "zone local")
		s.classes[1].ZoneLocal = zoneLocal
		const servers = 6
		h := s.start()
		h.listAndJoin(servers)
		h.runSeconds(5, 100, healthy)
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			h.reconcile(h.now+0.5, drawSpoiltEvents(t, h, servers))
		}
		h.runSeconds(90, 100, healthy)
		if h.violation != "" {
			t.Fatal(h.violation)
		}
		if !zoneLocal { // with a table per zone, the harness reports traffic only for the first one
			checkRecovered(t, h, servers)
		}
	})
}

// checkRecovered checks that all servers are in the table again and that every estimate is finite and plausible.
func checkRecovered(t *rapid.T, h *harness, servers int) {
	b := h.balancer
	for i := range servers {
		if h.share(serverName(i)) < 0.01 {
			t.Fatalf("server %d has the share %v", i, h.share(serverName(i)))
		}
	}
	for _, p := range b.proxies {
		for class, demand := range p.demand {
			if !inRange(demand, 0, 100) {
				t.Fatalf("proxy %d has the demand %v for class %d, want about 6", p.Proxy, demand, class)
			}
		}
	}
	for _, srv := range b.servers {
		if !inRange(srv.intake, 0.1, 100) {
			t.Fatalf("server %s has the intake %v, want about 17", srv.Server, srv.intake)
		}
	}
	if !inRange(b.channel.relativePace, 0.01, 1) || !inRange(b.attemptRate, 50, 200) || b.minAdmitted() < 1 {
		t.Fatalf("relative pace %v, attempt rate %v, admitted fraction %v", b.channel.relativePace, b.attemptRate, b.minAdmitted())
	}
}

// Guards against settings at the limits of their ranges that make a decision infinite.
func TestExtremeSettingsKeepDecisionsFinite(t *testing.T) {
	small := []float64{0, math.SmallestNonzeroFloat64, 1e-300, 1e-9, 1, 1e12}
	for _, objective := range small {
		for _, connections := range small {
			s := defaultSite()
			s.classes[0].LatencyObjective = objective
			s.classes[1].LatencyObjective = objective
			s.dataPlane.MinConnections = connections
			h := s.start()
			h.listAndJoin(4)
			for _, latency := range []float64{0, math.SmallestNonzeroFloat64, 0.25} {
				h.runSeconds(5, 100, withLatency(latency))
			}
			if h.violation != "" {
				t.Errorf("objective %g s, connections %g: %s", objective, connections, h.violation)
			}
			for class, fraction := range h.balancer.admitted {
				if !inRange(fraction.wanted, 0, 1) || !inRange(fraction.observed, 0, 1) {
					t.Errorf("objective %g s, connections %g, class %d: admitted %+v", objective, connections, class, fraction)
				}
			}
		}
	}
}

// Guards against a server that is never warm because its listed start is far in the future.
func TestStartInTheFutureEndsAfterWarmup(t *testing.T) {
	h := startSettled(t, defaultSite(), 4)
	h.reconcile(h.now+1, Events{Lists: deltaList(Endpoint{Server: serverName(2), Weight: 1, Started: 1e15})})
	h.runSeconds(40, 100, healthy)
	if srv := h.balancer.serverByAddress[serverName(2)]; !h.balancer.isWarm(h.now, srv) {
		t.Error("the server still warms up 40 s after it was listed, want at most 15 s")
	}
}

// Guards against settings within their ranges, of whatever combination, that make a decision infinite, hang or panic.
func TestAnySettingsKeepDecisionsFinite(t *testing.T) {
	number := rapid.SampledFrom([]float64{0, math.SmallestNonzeroFloat64, 1e-300, 1e-9, 0.5, 1, 100, 1e12})
	rapid.Check(t, func(t *rapid.T) {
		s := defaultSite()
		for i := range s.classes {
			s.classes[i].PriorityWeight = number.Draw(t, "priority weight")
			s.classes[i].LatencyObjective = number.Draw(t, "objective")
			s.classes[i].ClientTimeout = number.Draw(t, "client timeout")
		}
		s.dataPlane.Proxies = rapid.SampledFrom([]int{0, 1, 8, 1000}).Draw(t, "proxies")
		s.dataPlane.Coordinators = rapid.IntRange(0, 3).Draw(t, "coordinators")
		s.dataPlane.MinConnections = number.Draw(t, "connections")
		s.dataPlane.EjectAfterFailures = rapid.IntRange(0, 2).Draw(t, "eject after")
		s.dataPlane.Admission = AdmissionMode(rapid.IntRange(0, 2).Draw(t, "admission"))
		s.channel = Channel{
			EntriesPerSecond: number.Draw(t, "entries per second"),
			MessageOverhead:  number.Draw(t, "overhead"),
			MaxQueued:        number.Draw(t, "queued"),
			MeanDelay:        number.Draw(t, "mean delay"),
			MaxDelay:         number.Draw(t, "delay"),
			MaxMessages:      rapid.IntRange(0, 4).Draw(t, "messages"),
			MessageWindow:    number.Draw(t, "window"),
		}
		s.guarantees = Guarantees{
			DrainDeadline:         number.Draw(t, "drain deadline"),
			EmptyTableDeadline:    number.Draw(t, "empty table deadline"),
			WarmupStartFraction:   number.Draw(t, "warm-up start"),
			WarmupDuration:        number.Draw(t, "warm-up"),
			OverloadFactor:        number.Draw(t, "overload factor"),
			OverloadWindow:        number.Draw(t, "overload window"),
			DiscoveryPollDeadline: number.Draw(t, "poll deadline"),
		}
		s.reporting.Period = number.Draw(t, "period")
		h := s.start()
		runExtremeSettings(t, h)
		for _, srv := range h.balancer.servers {
			if !inRange(srv.intake, 0, maxReportedRate) {
				t.Fatalf("server %s has the intake %v", srv.Server, srv.intake)
			}
		}
		for class, fraction := range h.balancer.admitted {
			if !inRange(fraction.wanted, 0, 1) || !inRange(fraction.observed, 0, 1) {
				t.Fatalf("class %d: admitted %+v", class, fraction)
			}
		}
		if !inRange(h.balancer.channel.relativePace, 0, 1) {
			t.Fatalf("relative pace %v", h.balancer.channel.relativePace)
		}
	})
}

// runExtremeSettings lets servers restart and proxies join and report, and checks that all commands have finite values. Extreme
// settings allow no other guarantee.
func runExtremeSettings(t *rapid.T, h *harness) {
	const servers = 4
	h.now = 100
	var list EndpointList
	for i := range servers {
		list.Endpoints = append(list.Endpoints, Endpoint{Server: serverName(i), Weight: 1, Zone: Zone(i % 2)})
	}
	events := Events{Lists: []EndpointList{list}}
	for proxy := range Proxy(3) {
		events.ProxyEvents = append(events.ProxyEvents, joined(proxy, 12))
	}
	for round := range 20 {
		h.balancer.Reconcile(h.now, events, h)
		h.now += 0.7
		events = Events{Acks: []Ack{{Proxy: 1, ID: h.balancer.channel.lastAckID, Latency: 0.3}}}
		if round%6 == 5 {
			events.Lists = deltaList(Endpoint{Server: serverName(round % servers), Weight: 1, Started: h.now})
		}
		for i := range servers {
			events.Upstreams = append(events.Upstreams, UpstreamReport{
				Server:   serverName(i),
				Attempts: 9,
				Failed:   float64(round % 3),
				Latency:  0.2,
				Interval: 1,
			})
		}
		for proxy := range Proxy(3) {
			events.Demands = append(events.Demands, DemandReport{Proxy: proxy, Requests: 12, Interval: 1})
		}
	}
	if h.violation != "" {
		t.Fatal(h.violation)
	}
}
