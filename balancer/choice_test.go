package balancer

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// begin starts a manager on a site with some warm servers and half a minute of ordinary reports.
func begin(t *testing.T, s site, servers int) (*Balancer, *recorder) {
	t.Helper()
	m, r := s.manager(), newRecorder(s)
	fleet(r, m, servers)
	play(r, m, 30, 100, well)
	if r.broken != "" {
		t.Fatal(r.broken)
	}
	return m, r
}

// but answers like well, save for one server.
func but(bad Server, as met) met {
	return func(s Server, share, queries float64) UpstreamReport {
		if s == bad {
			return as(s, share, queries)
		}
		return well(s, share, queries)
	}
}

func fails(s Server, share, queries float64) UpstreamReport { // at once, and every try
	return UpstreamReport{Server: s, Attempts: share * queries, Failed: share * queries}
}

func TestGainSolvesTheRiccatiEquation(t *testing.T) {
	for _, ratio := range []float64{0.01, 0.1, 1, 10} {
		k := gain(ratio)
		s := k / (1 - k) // with r = 1
		if math.Abs(s-(ratio+s-s*s/(1+s))) > 1e-9 {
			t.Errorf("gain(%v) = %v is no solution", ratio, k)
		}
	}
}

func TestListedWeightsStart(t *testing.T) {
	s := usualSite()
	m, r := s.manager(), newRecorder(s)
	r.round(m, 100, Events{Lists: []EndpointList{{Endpoints: []Endpoint{{Server: "a", Weight: 3}, {Server: "b", Weight: 1}}}},
		ProxyEvents: []ProxyEvent{{Proxy: 1, Joined: true, ExpectedRate: 5}}})
	if got := r.tables[1]["a"] / r.tables[1]["b"]; got != 3 {
		t.Errorf("weights stand as %v to 1, want 3", got)
	}
}

func TestSlowServerGetsLess(t *testing.T) {
	m, r := begin(t, usualSite(), 6)
	play(r, m, 30, 100, but(name(2), func(s Server, share, queries float64) UpstreamReport {
		return UpstreamReport{Server: s, Attempts: share * queries, Latency: 0.75}
	}))
	if got := r.share(name(2)); got > 0.08 || got == 0 {
		t.Errorf("a server three times slower has a share of %.3f, want about 1/16", got)
	}
}

// Guards against the sinkhole: errors come at once, so their server shows no work in process.
func TestFastErrorsDrawNothing(t *testing.T) {
	mostly := func(s Server, share, queries float64) UpstreamReport { // few good answers, quickly given, leave little work
		return UpstreamReport{Server: s, Attempts: share * queries, Failed: 0.8 * share * queries, Latency: 0.02}
	}
	for _, bad := range []met{fails, mostly} {
		m, r := begin(t, usualSite(), 6)
		play(r, m, 15, 100, but(name(2), bad))
		for range 20 {
			if play(r, m, 1, 100, but(name(2), bad)); r.share(name(2)) > 0.02 {
				t.Fatalf("a server that fails most tries has a share of %.3f", r.share(name(2)))
			}
		}
		if play(r, m, 40, 100, well); r.share(name(2)) < 0.1 {
			t.Errorf("once well again it has a share of %.3f, want about 1/6", r.share(name(2)))
		}
	}
}

// Guards against idling a server for as long as its bad past is in the window.
func TestCleanTriesEndThePast(t *testing.T) {
	m, r := begin(t, usualSite(), 6)
	play(r, m, 12, 100, but(name(2), fails))
	if play(r, m, 12, 100, well); r.share(name(2)) < 0.08 {
		t.Errorf("12 s after its outage it has a share of %.3f, want over half of 1/6", r.share(name(2)))
	}
}

// Guards against tables that lose their servers faster than new ones come, while joins fill the channel.
func TestARollingReleaseLeavesNoTableThin(t *testing.T) {
	s := usualSite()
	s.fleet.MinConnections, s.channel.MaxMessages = 8, 12
	m, r := begin(t, s, 24)
	for i := range 16 {
		l := EndpointList{Scope: DeltaList, Endpoints: []Endpoint{{Server: name(i), Zone: Zone(i % 2), Phase: Draining}}}
		r.round(m, r.now+0.3, Events{Lists: []EndpointList{l},
			ProxyEvents: []ProxyEvent{{Proxy: Proxy(100 + i), Joined: true, ExpectedRate: 12}}})
		for x, tables := range r.bound {
			if n := len(r.tables[tables[0]]); n < 2 || r.broken != "" {
				t.Fatalf("after %d drains proxy %d has %d lines; %s", i+1, x, n, r.broken)
			}
		}
	}
}

// Guards against a list that names servers which are none.
func TestManyNewServersGetLittleUntilTheyAreMet(t *testing.T) {
	m, r := begin(t, usualSite(), 6)
	l := EndpointList{Scope: DeltaList}
	for i := range 20 {
		l.Endpoints = append(l.Endpoints, Endpoint{Server: name(40 + i), Weight: 1})
	}
	r.round(m, r.now+1, Events{Lists: []EndpointList{l}})
	if play(r, m, 8, 100, well); r.share(name(45)) > 0.01 {
		t.Errorf("one of 20 servers that answer nothing has a share of %.3f", r.share(name(45)))
	}
}

// Answers that get lost on the way are no overload: to refuse queries would not bring them back.
func TestLostAnswersDoNotCutLevels(t *testing.T) {
	m, r := begin(t, usualSite(), 6)
	play(r, m, 20, 100, func(s Server, share, queries float64) UpstreamReport {
		return UpstreamReport{Server: s, Attempts: share * queries, Failed: 0.25 * share * queries, Latency: 0.25}
	})
	if m.minAdmitted() < 1 || m.overloaded {
		t.Errorf("levels are %.2f", m.admitted)
	}
	play(r, m, 30, 100, func(s Server, share, queries float64) UpstreamReport { // then half of the servers lose some
		lost := 0.2 * share * queries * float64(s[len(s)-4]%2)
		return UpstreamReport{Server: s, Attempts: share * queries, Failed: lost, Latency: 0.25}
	})
	if got := r.share(name(5)); got < 0.12 {
		t.Errorf("one of them has a share of %.3f, want about 1/6", got)
	}
}

func TestTheRestIsNotPushedOver(t *testing.T) {
	m, r := begin(t, usualSite(), 6)
	play(r, m, 20, 100, func(s Server, share, queries float64) UpstreamReport {
		if s <= name(3) {
			return fails(s, share, queries)
		}
		return well(s, share, queries)
	})
	if got := r.share(name(5)); got > 0.35 || got < 0.2 {
		t.Errorf("with four of six failing another has a share of %.3f, want 1.6 times 1/6", got)
	}
}

// The mean looks back five periods; work that is gone was corrected again and again.
func TestPastWorkIsNotCorrectedAgain(t *testing.T) {
	s := usualSite()
	s.reporting.Period = 2
	m, r := begin(t, s, 6)
	play(r, m, 6, 100, but(name(2), func(s Server, share, queries float64) UpstreamReport {
		return UpstreamReport{Server: s, Attempts: share * queries, Latency: 1}
	}))
	play(r, m, 2, 100, well)
	for was := r.share(name(2)); r.now < 150; play(r, m, 1, 100, well) {
		if got := r.share(name(2)); got < was {
			t.Fatalf("at %.0f s its share is %.3f, though it is well", r.now, got)
		}
	}
}

func TestReportsCountByTheTimeTheyCover(t *testing.T) {
	m, r := begin(t, usualSite(), 6)
	var news Events
	for i := range 6 {
		news.Upstreams = append(news.Upstreams, UpstreamReport{Server: name(i), Attempts: 1000 / 6, Latency: 0.25, Interval: 10})
	}
	if r.round(m, r.now+10, news); m.attemptRate < 70 || m.attemptRate > 130 {
		t.Errorf("100 tries a second over 10 s are read as %.0f", m.attemptRate)
	}
}

// A large fleet's table does not fit the channel: what all proxies are sent goes out in parts.
func TestALargeFleetKeepsTheQueueShort(t *testing.T) {
	s := usualSite()
	s.fleet.Proxies = 60
	m, r := begin(t, s, 40)
	play(r, m, 40, 100, func(s Server, share, queries float64) UpstreamReport {
		return UpstreamReport{Server: s, Attempts: share * queries, Latency: 0.1 * float64(1+(s[len(s)-4]-'0')%5)}
	})
	if a, b := r.share(name(30)), r.share(name(34)); a < 2*b || r.broken != "" {
		t.Errorf("the fastest has a share of %.4f, the slowest of %.4f; %s", a, b, r.broken)
	}
}

// A connection from every proxy to every server would fill the servers: groups share a part of them each.
func TestGroupsShareTheServers(t *testing.T) {
	s := usualSite()
	s.fleet.MinConnections = 8
	m, r := s.manager(), newRecorder(s)
	fleet(r, m, 12)
	used, lines := map[Server]bool{}, 0
	for _, g := range m.groups {
		for s := range g.tables[0].weights {
			used[s], lines = true, lines+1
		}
	}
	if len(m.groups) != 4 || len(used) != 12 || lines > 18 {
		t.Errorf("%d groups use %d servers of 12 in %d lines", len(m.groups), len(used), lines)
	}
}

func TestATableIsNeverEmptiedForWantOfPace(t *testing.T) {
	m, r := begin(t, usualSite(), 2)
	r.round(m, r.now+0.1, Events{Lists: []EndpointList{{Scope: FullList, Endpoints: []Endpoint{{Server: name(0), Weight: 1}}}}})
	r.round(m, r.now+0.1, Events{Lists: []EndpointList{{Scope: FullList, Endpoints: []Endpoint{{Server: "new:1", Weight: 1}}}}})
	if len(r.tables[1]) != 1 || r.tables[1]["new:1"] == 0 || r.broken != "" {
		t.Errorf("table %v, %s", r.tables[1], r.broken)
	}
}

func TestDrainLeavesAtOnceAndNeverComesToLaterJoins(t *testing.T) {
	m, r := begin(t, usualSite(), 3)
	drain := []Endpoint{{Server: name(1), Weight: 1, Phase: Draining}}
	r.round(m, r.now+0.1, Events{Lists: []EndpointList{{Scope: DeltaList, Endpoints: drain}},
		ProxyEvents: []ProxyEvent{{Proxy: 50, Joined: true, ExpectedRate: 5}}})
	if r.tables[1][name(1)] != 0 || r.bound[50][0] != 1 {
		t.Errorf("table %v, late proxy bound to %v", r.tables[1], r.bound[50])
	}
}

func TestLastServersDrain(t *testing.T) {
	m, r := begin(t, usualSite(), 2)
	r.round(m, r.now+0.1, Events{Lists: []EndpointList{{Scope: FullList}}})
	if len(r.tables[1]) != 0 || r.broken != "" {
		t.Errorf("table %v, %s", r.tables[1], r.broken)
	}
}

// Guards against a list that loses servers which still run.
func TestGoneAsAdviceCountsOnceItAnswersNothing(t *testing.T) {
	s := usualSite()
	s.promise.RemovalIsAdvisory = true
	m, r := begin(t, s, 4)
	delete(r.list, name(3)) // the recorder then expects no drain
	r.round(m, r.now+1, Events{Lists: []EndpointList{{Scope: DeltaList, Endpoints: []Endpoint{{Server: name(3), Phase: Removed}}}}})
	r.list[name(3)] = Endpoint{Server: name(3), Phase: Removed}
	delete(r.toldGone, name(3))
	play(r, m, 10, 100, well)
	answers := r.share(name(3))
	if play(r, m, 10, 100, but(name(3), fails)); answers < 0.2 || r.tables[1][name(3)] != 0 {
		t.Errorf("merely dropped, it has a share of %.3f while it answers, then %.3f", answers, r.share(name(3)))
	}
}

// Guards against a cold server that inherits the load of servers gone wrong, and against repeats.
func TestColdServerIsShieldedWhileOthersFail(t *testing.T) {
	s := usualSite()
	m, r := begin(t, s, 6)
	cold := Endpoint{Server: name(0), Weight: 1, Started: r.now}
	r.round(m, r.now+0.1, Events{Lists: []EndpointList{{Scope: DeltaList, Endpoints: []Endpoint{cold}}}})
	for range 10 {
		play(r, m, 1, 150, func(s Server, share, queries float64) UpstreamReport {
			if s == name(1) || s == name(2) || s == name(3) {
				return fails(s, share, queries)
			}
			return well(s, share, queries)
		})
		part := m.warmupFraction(r.now, m.serverByAddress[name(0)])
		if got, most := r.share(name(0))*150, 2.0/3*s.promise.OverloadFactor*part*100/6; got > most {
			t.Fatalf("after %.0f s it gets %.1f queries a second, over %.1f", r.now-cold.Started, got, most)
		}
	}
}

func overloaded(s Server, _, _ float64) UpstreamReport {
	return UpstreamReport{Server: s, Attempts: 17, Latency: 2.5}
}

func TestOverloadRefusesTheLeastBenefitFirst(t *testing.T) {
	for _, kind := range []AdmissionMode{AdmissionFraction, AdmissionRate} {
		s := usualSite()
		s.fleet.Admission = kind
		m, r := begin(t, s, 6)
		play(r, m, 6, 160, overloaded)
		low := r.levels[1][0]
		if high := r.levels[1][1]; low == 0 || high == 0 || low > 0.2*high {
			t.Errorf("the least benefit is let in at %v, the most at %v", low, high)
		}
		for before := m.admitted[0].wanted; m.admitted[0].wanted < 1 && r.now < 200; before = m.admitted[0].wanted { // reports may be late: no leaps
			if play(r, m, 1, 100, well); m.admitted[0].wanted > math.Max(before, admissionGrowthBase)*(1+admissionGrowth)+1e-9 {
				t.Fatalf("the level leaps from %.2f to %.2f", before, m.admitted[0].wanted)
			}
		}
		play(r, m, 5, 100, well)
		if r.levels[1][0] != unlimitedAdmission {
			t.Errorf("after the overload the level is %v", r.levels[1][0])
		}
	}
}

// A coordinator that starts amid an overload let in nothing, as it had never seen what its servers do.
func TestRestartAmidAnOverloadLetsSomethingIn(t *testing.T) {
	s := usualSite()
	m, r := s.manager(), newRecorder(s)
	fleet(r, m, 6)
	play(r, m, 8, 160, overloaded)
	play(r, m, 10, 160, func(s Server, _, _ float64) UpstreamReport {
		return UpstreamReport{Server: s, Attempts: 6, Latency: 2.5}
	})
	if got := m.admitted[0].wanted*offeredRate(m.proxies, nil, 1) + m.admitted[1].wanted*offeredRate(m.proxies, nil, 2); got < 30 {
		t.Errorf("of 100 queries a second that the servers can do it lets in %.1f", got)
	}
}

// Servers that lose most of their tries were out of the count, so that a fleet that lost most was left to itself.
func TestAFleetThatLosesMostOfItsTriesIsPressed(t *testing.T) {
	m, r := begin(t, usualSite(), 6)
	play(r, m, 5, 160, func(s Server, _, _ float64) UpstreamReport {
		return UpstreamReport{Server: s, Attempts: 80, Failed: 70, Latency: 1.5}
	})
	if m.admitted[0].wanted > 0.5 {
		t.Errorf("the least benefit is let in at %v", m.admitted[0].wanted)
	}
	if got := m.groups[0].tables[0].admissions[1].retry; got != RetryNever { // repeats would pile on those that still stand
		t.Errorf("proxies repeat in the way %v", got)
	}
	if play(r, m, 20, 100, well); m.groups[0].tables[0].admissions[1] != (admissionSetting{unlimitedAdmission, RetryIfNotExecuted}) {
		t.Errorf("once all is well the order stays %v", m.groups[0].tables[0].admissions[1])
	}
}

// Proxies that come back from an outage avoid every server but the one they have not met.
func TestColdServerWaitsForProxiesToSettle(t *testing.T) {
	s := usualSite()
	s.fleet.EjectAfterFailures = 8
	m, r := begin(t, s, 6)
	list := []EndpointList{{Scope: DeltaList, Endpoints: []Endpoint{{Server: name(0), Weight: 1, Started: r.now}}}}
	r.round(m, r.now+0.1, Events{Lists: list, ProxyEvents: []ProxyEvent{{Proxy: 3}, {Proxy: 4}}})
	for play(r, m, 2, 100, well); r.now < 141; play(r, m, 1, 100, well) {
		if len(m.disconnected) > 0 {
			r.round(m, r.now, Events{ProxyEvents: []ProxyEvent{{Proxy: 3, Joined: true, ExpectedRate: 9}, {Proxy: 4, Joined: true, ExpectedRate: 9}}})
		}
		if _, held := r.tables[1][name(0)]; held && r.now < 132+reconnectSettleTime {
			t.Fatalf("at %.0f s it has a line", r.now)
		}
	}
	if play(r, m, 4, 100, well); r.tables[1][name(0)] == 0 {
		t.Error("once they have settled it has no line")
	}
}

// Where tries are turned away proxies avoid servers, and the cold one would draw what is left.
func TestColdServerHasNoLineInALossyFleet(t *testing.T) {
	s := usualSite()
	s.fleet.EjectAfterFailures = 8
	m, r := begin(t, s, 6)
	lossy := func(s Server, share, queries float64) UpstreamReport {
		return UpstreamReport{Server: s, Attempts: share * queries, Failed: 0.1 * share * queries, Latency: 0.25}
	}
	play(r, m, 3, 100, lossy)
	r.round(m, r.now, Events{Lists: []EndpointList{{Scope: DeltaList, Endpoints: []Endpoint{{Server: name(0), Started: r.now}}}}})
	if play(r, m, 4, 100, lossy); r.tables[1][name(0)] != 0 {
		t.Errorf("a cold server has the share %.3f", r.share(name(0)))
	}
	if play(r, m, 8, 100, well); r.tables[1][name(0)] == 0 {
		t.Error("once all is well it has no line")
	}
}

func TestHealedCutBringsServersBack(t *testing.T) {
	m, r := begin(t, usualSite(), 6) // servers 1, 3, 5 in zone 1
	far := ProxyEvent{Proxy: 40, Zone: 1, ExpectedRate: 50, Joined: true}
	r.round(m, r.now, Events{ProxyEvents: []ProxyEvent{far}})
	r.round(m, r.now, Events{ProxyEvents: []ProxyEvent{{Proxy: 40, Zone: 1}}})
	play(r, m, 12, 50, but(name(1), fails))
	before := r.share(name(1))
	r.round(m, r.now, Events{ProxyEvents: []ProxyEvent{far}})
	play(r, m, 1, 100, but(name(1), fails)) // still a report of the cut
	if got := r.share(name(1)); before > 0.03 || got < 2*before || got < 0.06 {
		t.Errorf("its share went from %.3f to %.3f, want about half of 1/6", before, got)
	}
}

func TestClassesKeptToZonesHaveATableEach(t *testing.T) {
	s := usualSite()
	s.classes[1].AllowedZones = []Zone{1}
	_, r := begin(t, s, 6)
	if a, b := r.bound[0][0], r.bound[0][1]; a == b || len(r.tables[a]) != 6 || len(r.tables[b]) != 3 {
		t.Errorf("tables %v", r.tables)
	}
	s.classes[1] = RequestClass{PriorityWeight: 1, LatencyObjective: 1, ZoneLocal: true}
	m := s.manager()
	r = newRecorder(s)
	fleet(r, m, 4)
	r.round(m, 101, Events{ProxyEvents: []ProxyEvent{{Proxy: 90, Joined: true, Zone: 1, ExpectedRate: 3}}})
	if a, b := r.bound[0][1], r.bound[90][1]; a == b || r.tables[b][name(0)] != 0 || r.tables[b][name(1)] == 0 {
		t.Errorf("tables %v of %v", r.tables, r.bound)
	}
}

func TestDiscoveryIsAskedAgain(t *testing.T) {
	s := usualSite()
	s.discovery.Polled = true
	m, r := s.manager(), newRecorder(s)
	for i, asked := 0, 0; i < 400; i++ {
		failed := []EndpointList{{Scope: ListFailed}}[:len(r.watched)-asked]
		asked = len(r.watched)
		r.round(m, 100+float64(i)/10, Events{Lists: failed})
	}
	if n := len(r.watched); n < 25 || n > 70 {
		t.Errorf("asked %d times in 40 s, want once in a sixteenth to an eighth of the time allowed", n)
	}
}

// Guards against a channel that runs slower than promised, and a queue that so grows unseen.
func TestSlowChannelIsNoticed(t *testing.T) {
	m, r := begin(t, usualSite(), 6)
	for range 6 {
		r.round(m, r.now+1, Events{ProxyEvents: []ProxyEvent{{Proxy: 3, Joined: true, ExpectedRate: 5}}})
		if len(r.marks) > 0 {
			r.round(m, r.now+4, Events{Acks: []Ack{{Proxy: 3, ID: r.marks[len(r.marks)-1], Latency: 3}}})
		}
	}
	if m.channel.relativePace > 0.5 {
		t.Errorf("the pace is held to be %.2f of the promised one", m.channel.relativePace)
	}
}

func TestOddInputIsDecidedWithoutFault(t *testing.T) {
	s := usualSite()
	s.reporting.Period = 0
	m, r := s.manager(), newRecorder(s)
	r.round(m, 0, Events{})
	r.round(m, 0, Events{Lists: []EndpointList{{}, {Scope: FullList}, {Scope: DeltaList, Endpoints: []Endpoint{{Server: "x", Phase: Removed}}}}})
	r.round(m, 1, Events{ProxyEvents: []ProxyEvent{{Proxy: 1, Joined: true}, {Proxy: 1}, {Proxy: 1, Joined: true}, {Proxy: 9}},
		Lists: []EndpointList{{Scope: FullList, Endpoints: []Endpoint{{Server: "a"}, {Server: "a"}}}}})
	for i := range 20 {
		r.round(m, 2+float64(i)/4, Events{Upstreams: []UpstreamReport{{Server: "a"}, {Server: "none", Attempts: 3}, {Server: "a", Attempts: 8, Failed: 99}},
			Demands: []DemandReport{{Proxy: 1}, {Proxy: 77, Requests: 4, Interval: 1}, {Proxy: 1, Class: 40, Requests: 1, Interval: 1}},
			Acks:    []Ack{{ID: 12}}, HealthChecks: []HealthCheckResult{{Server: "none"}}})
	}
	if r.broken != "" || r.tables[1]["a"] <= 0 {
		t.Errorf("table %v, %s", r.tables[1], r.broken)
	}
}

// Any run keeps the rules, and the same run gives the same orders.
func TestRandomRunsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := usualSite()
		s.fleet.Admission = AdmissionMode(rapid.IntRange(0, 2).Draw(t, "levels"))
		s.fleet.DefaultRetry = RetryPolicy(rapid.IntRange(0, 3).Draw(t, "repeats"))
		s.reporting.Period = rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "period")
		s.fleet.MinConnections = rapid.SampledFrom([]float64{0, 12}).Draw(t, "connections") // 12: groups
		s.channel.MaxMessages = rapid.SampledFrom([]int{0, 12}).Draw(t, "messages")
		s.channel.MaxQueued = rapid.SampledFrom([]float64{260, 2000}).Draw(t, "lines") // what can't wait, twice
		s.channel.EntriesPerSecond = s.channel.MaxQueued / 1.5
		if rapid.Bool().Draw(t, "zones") {
			s.classes[1].AllowedZones = []Zone{1}
		}
		m, r := s.manager(), newRecorder(s)
		twin, twinRecorder := s.manager(), newRecorder(s)
		n := rapid.IntRange(2, 9).Draw(t, "servers")
		fleet(r, m, n)
		fleet(twinRecorder, twin, n)
		for range rapid.IntRange(10, 60).Draw(t, "rounds") {
			pause := rapid.SampledFrom([]float64{0, 0.004, 0.3, 1, 1, 1, 7}).Draw(t, "pause")
			news, now := randomNews(t, r, n, pause), r.now+pause
			r.round(m, now, news)
			twinRecorder.round(twin, now, news)
			if r.broken != "" {
				t.Fatal(r.broken)
			}
			if r.log != twinRecorder.log {
				t.Fatal("the same news gave other orders")
			}
			checkCold(t, m, r)
		}
	})
}

func randomNews(t *rapid.T, r *recorder, servers int, seconds float64) (news Events) {
	i := rapid.IntRange(0, servers-1).Draw(t, "server")
	e := Endpoint{Server: name(i), Weight: 1, Zone: Zone(i % 2), Started: r.list[name(i)].Started}
	x, held := ProxyEvent{Proxy: Proxy(rapid.IntRange(0, 11).Draw(t, "proxy")), ExpectedRate: 12}, false
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		e.Phase = Draining
		news.Lists = []EndpointList{{Scope: DeltaList, Endpoints: []Endpoint{e}}}
	case 1:
		e.Phase = Removed
		news.Lists = []EndpointList{{Scope: DeltaList, Endpoints: []Endpoint{e}}}
	case 2:
		e.Started = r.now
		news.Lists = []EndpointList{{Scope: DeltaList, Endpoints: []Endpoint{e}}}
	case 3:
		news.ProxyEvents = []ProxyEvent{x}
	case 4:
		x.Joined = true
		news.ProxyEvents = []ProxyEvent{x}
	case 5:
		for p := range 8 { // all streams break at once
			news.ProxyEvents = append(news.ProxyEvents, ProxyEvent{Proxy: Proxy(p)}, ProxyEvent{Proxy: Proxy(p), Joined: true, ExpectedRate: 12})
		}
	case 6: // answers are held up
		held = true
	}
	if !held {
		news.Acks = r.arrived(r.now + seconds)
	}
	worst := rapid.IntRange(0, 3).Draw(t, "trouble")
	for i := range servers {
		tries := 15 * seconds * r.share(name(i)) * float64(servers)
		lost := tries * rapid.SampledFrom([]float64{0, 0, 0, 1, 0.5}).Draw(t, "lost") * float64(min(worst, 1))
		news.Upstreams = append(news.Upstreams, UpstreamReport{Server: name(i), Attempts: tries, Failed: lost, Interval: seconds,
			Latency: rapid.Float64Range(0.1, 0.3+float64(worst)).Draw(t, "latency")})
	}
	for x := range 12 {
		for c := range r.site.classes {
			news.Demands = append(news.Demands, DemandReport{Proxy: Proxy(x), Class: Class(c), Interval: 1,
				Requests: rapid.Float64Range(0.5, 1).Draw(t, "demand") * float64(servers)})
		}
	}
	return news
}

// checkCold holds the tries that a cold server is led by fresh weights against what it can do.
func checkCold(t *rapid.T, m *Balancer, r *recorder) {
	for _, s := range m.servers {
		part := m.warmupFraction(r.now, s)
		warm := slices.ContainsFunc(m.servers, func(o *server) bool { return o.Phase == Ready && m.warmupFraction(r.now, o) >= 1 })
		if s.Phase != Ready || part >= 1 || !warm || m.completionRates.Entries() < 20 || len(m.eligibilitySets) > 1 || len(m.groups) > 1 {
			continue
		}
		led := r.share(s.Server) * math.Max(m.attemptRate, offeredRate(m.proxies, nil, allClasses))
		if most := m.guarantees.OverloadFactor * 1.5 * math.Max(part*m.completionRates.Mean(), 1); led > most {
			t.Fatalf("%s is cold (%.2f of its capacity) and led %.1f tries a second, over %.1f", s.Server, part, led, most)
		}
	}
}

// Guards against refusing what servers could answer, in the seconds in which proxies that came from another coordinator ask and
// what they are answered is not reported yet.
func TestProxiesThatJoinDoNotCutLevels(t *testing.T) {
	late := func(s Server, share, queries float64) UpstreamReport { // a little more work than the goal time bears
		return UpstreamReport{Server: s, Attempts: share * queries, Latency: 0.45}
	}
	steady := func(m *Balancer, r *recorder, asked float64, seconds int) {
		for range seconds {
			var news Events
			for i := range 6 {
				tr := late(name(i), r.share(name(i)), 100)
				tr.Interval = 1
				news.Upstreams = append(news.Upstreams, tr)
			}
			for x := range 8 {
				for c, part := range []float64{0.8, 0.2} {
					news.Demands = append(news.Demands, DemandReport{Proxy: Proxy(x), Class: Class(c), Requests: asked / 8 * part, Interval: 1})
				}
			}
			r.round(m, r.now+1, news)
		}
	}
	m, r := begin(t, usualSite(), 6)
	steady(m, r, 100, 20)
	var news Events
	for x := range 24 {
		news.ProxyEvents = append(news.ProxyEvents, ProxyEvent{Proxy: Proxy(100 + x), Joined: true, ExpectedRate: 12})
	}
	r.round(m, r.now+0.5, news)
	mix := offeredRate(m.proxies, nil, 2) / offeredRate(m.proxies, nil, allClasses)
	if math.Abs(mix-0.2) > 0.02 {
		t.Errorf("%.2f of what is expected of the new ones is the dearer class, want 0.20 as of the others", mix)
	}
	for range 3 {
		if steady(m, r, 100, 1); !m.overloaded || m.minAdmitted() < 0.7 {
			t.Errorf("a second on levels are %.2f, pressed %v", m.admitted, m.overloaded)
		}
	}
}

// Guards against a channel that becomes slow all of a sudden: nothing tells of it but answers that stay out.
func TestASlowChannelIsNotFilled(t *testing.T) {
	ch := Channel{EntriesPerSecond: 2700, MessageOverhead: 3, MaxQueued: 2700, MeanDelay: 0.4, MaxDelay: 1}
	for _, part := range []float64{0.03, 0.04, 0.05} {
		notFilled(t, ch, part)
	}
}

// notFilled plays a channel that goes at a part of the pace that it promises, and no mark of which is answered.
func notFilled(t *testing.T, ch Channel, part float64) {
	c, waiting, sent := channel{Channel: ch, drainDeadline: 3, relativePace: 1}, 0.0, 0.0
	for now := 100.0; now < 130; now += 0.5 {
		lines := min(c.available(now, urgencyNormal), 550) // as on the day on which it was seen
		if lines < 100 {
			lines = 0
		}
		if c.charge(now, lines); lines > 0 {
			sent = lines
			c.lastAckID++
			c.inFlight.MarkBatch(int(c.lastAckID), lines)
		}
		if waiting = max(0, waiting-0.5*part*ch.EntriesPerSecond) + lines; waiting > ch.MaxQueued {
			t.Fatalf("at %.2f %.0f lines wait", now, waiting)
		}
	}
	if c.acknowledge(Ack{ID: c.lastAckID, Latency: 0.3}, sent); c.available(140, urgencyNormal) < 0.4*ch.MaxQueued {
		t.Errorf("once a mark is answered in time there is room for %.0f lines", c.available(140, urgencyNormal))
	}
}

// Guards against a channel that is slow all at once while proxies join: its first answers to a mark come soon and tell
// of few of the lines before it, and what is put behind the mark meanwhile waits.
func TestASlowChannelIsKnownByItsLaterAnswers(t *testing.T) {
	for _, batch := range []float64{600, 1200, 2400} { // lines to a group of proxies
		for _, part := range []float64{0.05, 0.12, 0.2, 0.4, 1} { // 0.12: as on the day on which it was seen
			slowedWhileProxiesJoin(t, batch, part)
		}
	}
}

func slowedWhileProxiesJoin(t *testing.T, batch, part float64) {
	t.Helper()
	ch := Channel{EntriesPerSecond: 1500, MessageOverhead: 3, MaxQueued: 4400, MeanDelay: 0.3, MaxDelay: 1}
	c, left, waiting, refused := channel{Channel: ch, drainDeadline: 4, relativePace: 1}, 0.0, 0.0, 0
	type message struct {
		lines float64
		mark  AckID
		given float64
	}
	var queue []message // in the order in which it leaves
	var due []float64   // when the answers arrive
	var answers []Ack
	var sizes []float64
	put := func(m message) { queue, waiting = append(queue, m), waiting+m.lines }
	for i := range 600 {
		now := 100 + float64(i)*0.05
		for left += 0.05 * part * ch.EntriesPerSecond; len(queue) > 0 && queue[0].lines <= left; queue = queue[1:] {
			m := queue[0]
			left, waiting = left-m.lines, waiting-m.lines
			due = append(due, now+2*ch.MeanDelay)
			answers = append(answers, Ack{ID: m.mark, Latency: now + ch.MeanDelay - m.given})
			sizes = append(sizes, m.lines)
		}
		if len(queue) == 0 {
			left = 0
		}
		for len(due) > 0 && due[0] <= now {
			c.acknowledge(answers[0], sizes[0])
			due, answers, sizes = due[1:], answers[1:], sizes[1:]
		}
		mark, written := c.lastAckID+1, 0.0
		if lines := min(c.available(now, urgencyNormal), batch); i%10 == 0 && lines > 100 {
			c.charge(now, lines)
			written += lines
			for range 60 {
				put(message{lines / 60, mark, now})
			}
		}
		if c.mayJoin(now, 25) { // a proxy that joins
			c.charge(now, 25)
			written += 25
			put(message{25, mark, now})
		} else {
			refused++
		}
		if written > 0 {
			c.lastAckID = mark
			c.inFlight.MarkBatch(int(mark), written)
		}
		if waiting > ch.MaxQueued {
			t.Fatalf("at a part of %.2f, after %.2f s %.0f lines wait", part, now-100, waiting)
		}
	}
	if part == 1 && batch == 600 && (refused > 0 || c.relativePace < 0.9) {
		t.Errorf("a channel that keeps its pace is held to have %.2f of it; %d proxies waited", c.relativePace, refused)
	}
}

// Guards against a relay that is out of reach for seconds: what was ordered before and all that is decided meanwhile would
// come to the channel at once, while the account holds that it has long left.
func TestNothingIsOrderedWhileTheChannelIsStalled(t *testing.T) {
	s := usualSite()
	s.fleet.Proxies = 40
	m, r := begin(t, s, 6)
	streams := func(from int) (l []ProxyEvent) {
		for i := range 10 {
			l = append(l, ProxyEvent{Proxy: Proxy(from + i), Joined: true, ExpectedRate: 5})
		}
		return l
	}
	r.round(m, r.now+0.1, Events{ProxyEvents: streams(10)})
	waiting := m.channel.inFlight.Outstanding()
	if waiting < 50 {
		t.Fatalf("ten joins take %.0f lines", waiting)
	}
	r.log = ""
	for i := range 20 {
		r.round(m, r.now+0.25, Events{ChannelStalled: true, Lists: []EndpointList{{Scope: DeltaList, Endpoints: []Endpoint{{Server: name(i % 3),
			Phase: Draining}}}}, ProxyEvents: streams(20)[:i%10]})
	}
	if r.log != "" || m.channel.inFlight.Outstanding() < waiting {
		t.Errorf("%.0f lines are held to wait, %.0f before; ordered %q", m.channel.inFlight.Outstanding(), waiting, r.log)
	}
	if r.round(m, r.now+0.01, Events{}); r.tables[1][name(1)] > 0 || r.bound[20] == nil {
		t.Errorf("then the table is %v, proxy 20 bound to %v", r.tables[1], r.bound[20])
	}
}

// A mark given before the channel was out of reach is answered after it: nothing has left meanwhile but what the answer tells.
func TestAnAnswerAfterAStallCountsByWhatItTook(t *testing.T) {
	m, r := begin(t, usualSite(), 6)
	r.round(m, r.now+0.1, Events{ProxyEvents: []ProxyEvent{{Proxy: 40, Joined: true, ExpectedRate: 5}, {Proxy: 41, Joined: true, ExpectedRate: 5}}})
	c := &m.channel
	before := c.inFlight.Outstanding()
	for range 20 {
		r.round(m, r.now+0.25, Events{ChannelStalled: true})
	}
	if c.inFlight.Outstanding() != before {
		t.Errorf("%.0f lines are held to wait after the stall, want the %.0f of before it", c.inFlight.Outstanding(), before)
	}
	x := m.proxies[len(m.proxies)-2]
	c.acknowledge(Ack{Proxy: x.Proxy, ID: c.lastAckID, Latency: 5.05}, x.messageSize)
	if got := c.inFlight.Outstanding(); got != x.messageSize {
		t.Errorf("%.0f lines are held to wait after one of two answers, want the %.0f of the other", got, x.messageSize)
	}
}

// After a restart proxies still answer marks of the life before: these say nothing of this one's.
func TestMarksOfAFormerLifeAreNoAnswers(t *testing.T) {
	s := usualSite()
	lives := [2]AckID{}
	for i, seed := range []uint64{0x8c1f30d27a5be964, 0x1f30d27a5be9648c} {
		m, r := New(seed, s.classes, s.fleet, s.channel, s.promise, s.reporting, HealthChecking{}, s.discovery), newRecorder(s)
		fleet(r, m, 4)
		lives[i] = m.channel.lastAckID
		waiting := m.channel.inFlight.Outstanding()
		if waiting == 0 || len(r.marks) == 0 {
			t.Fatal("no mark was given")
		}
		r.round(m, r.now+0.01, Events{Acks: []Ack{{Proxy: 1, ID: lives[0], Latency: 9}}})
		if i == 1 && (m.channel.inFlight.Outstanding() < waiting-1 || m.channel.relativePace < 1) {
			t.Errorf("mark %d is answered by %d", lives[1], lives[0])
		}
	}
}

func TestOrdersThatGoAgainAreChargedAgain(t *testing.T) {
	m, r := begin(t, usualSite(), 6)
	users, lines := m.groups[0].boundProxies, m.joinSize(m.proxies[0])
	before, written := m.channel.inFlight.Outstanding(), m.groups[0].messages.Count(r.now, 10)
	m.chargeRedelivered(r.now, Redelivered{Tables: []Table{1, 1, 99}, Proxies: []Proxy{m.proxies[0].Proxy, 999}})
	if got := m.groups[0].messages.Count(r.now, 10) - written; got != 1 {
		t.Errorf("a call that goes twice counts as %d messages more, want 1", got)
	}
	if got, want := m.channel.inFlight.Outstanding()-before, users*(2+m.channel.messageCost())+lines; users < 1 || math.Abs(got-want) > 1e-9 {
		t.Errorf("%.0f lines for two weights to %.0f proxies and a join, want %.0f", got, users, want)
	}
}

func TestDemandOfARareClassIsNotOverrated(t *testing.T) {
	m, r := begin(t, usualSite(), 6)
	for i := range 40 { // one query in ten seconds, reported by the period it came in, and the nine before
		spans := []float64{1, 9}
		r.round(m, r.now+5, Events{Demands: []DemandReport{{Proxy: 3, Class: 1, Requests: 0.5, Interval: spans[i%2]}}})
	}
	x := m.proxies[slices.IndexFunc(m.proxies, func(x *proxy) bool { return x.Proxy == 3 })]
	if x.demand[1] > 0.15 {
		t.Errorf("a class of 0.10 queries a second counts as %.2f", x.demand[1])
	}
}

// Guards against growth: servers are replaced by new ones for as long as the coordinator runs.
func TestServersThatAreGoneForGoodAreForgotten(t *testing.T) {
	m, r := begin(t, usualSite(), 6)
	for i := range 2000 {
		l := EndpointList{Scope: DeltaList, Endpoints: []Endpoint{{Server: Server(rune('a'+i%26)) + name(100+i), Weight: 1}}}
		if i > 0 {
			l.Endpoints = append(l.Endpoints, Endpoint{Server: Server(rune('a'+(i-1)%26)) + name(99+i), Phase: Removed})
		}
		r.round(m, r.now+1, Events{Lists: []EndpointList{l}, Upstreams: []UpstreamReport{well(name(0), 0.2, 100)}})
	}
	if len(m.serverByAddress) > 12 || len(m.servers) != len(m.serverByAddress) || r.broken != "" {
		t.Errorf("%d servers and %d in order; %s", len(m.serverByAddress), len(m.servers), r.broken)
	}
}
