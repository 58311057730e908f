package longpoll

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/registry"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// fixture is a counter with its clients: each keeps what it was told, and applies deltas as the API says.
type fixture struct {
	t           testing.TB
	now         float64
	fleet       *controlplane.Fleet
	server      *Server
	lastPoll    PollID
	uids        map[PollID]string
	pollers     map[PollID]*testProxy // the proxy's process that asked
	proxies     map[string]*testProxy
	rejected    map[string][]RejectReason
	retryDelays []float64
	dropped     []string
	latestPoll  map[string]PollID
	retryAt     map[string]float64
	loseAnswer  map[string]bool // the next answer to it is lost
}

type testProxy struct {
	epoch, version uint64
	weights        map[string]float64 // class and server
	admissions     map[balancer.Class]float64
	polling        bool
	answers, full  int
	latest         *Answer
}

func (s *fixture) Answer(w PollID, a *Answer) {
	uid := s.uids[w]
	h := s.pollers[w]
	h.polling = false
	if s.loseAnswer[uid] {
		delete(s.loseAnswer, uid)
		return
	}
	s.apply(h, a)
}

func (s *fixture) apply(h *testProxy, a *Answer) {
	if len(a.Classes) == 0 || a.From > 0 && (a.Epoch != h.epoch || a.From > h.version) {
		return // nothing is newer than what the poll named, or it is a delta to what is not held
	}
	h.answers++
	h.epoch, h.version = a.Epoch, a.Version
	kept := &Answer{Epoch: a.Epoch, Version: a.Version, OwnershipEpoch: a.OwnershipEpoch}
	for _, c := range a.Classes {
		if c.Full {
			h.full++
			for k := range h.weights {
				if k[:1] == fmt.Sprint(c.Class) {
					delete(h.weights, k)
				}
			}
		}
		for _, l := range c.Entries {
			k := fmt.Sprint(c.Class, " ", l.Server)
			if h.weights[k] = l.Weight; l.Weight == 0 {
				delete(h.weights, k)
			}
		}
		if c.HasAdmission {
			h.admissions[c.Class] = c.Admission
		}
		c.Entries = slices.Clone(c.Entries)
		kept.Classes = append(kept.Classes, c)
	}
	h.latest = kept
}

func (s *fixture) Reject(w PollID, why RejectReason, after float64) {
	uid := s.uids[w]
	s.rejected[uid] = append(s.rejected[uid], why)
	s.retryAt[uid] = s.now + after
	if s.retryDelays = append(s.retryDelays, after); s.latestPoll[uid] == w {
		s.pollers[w].polling = false
	}
}

func (s *fixture) Dropped(uid string) { s.dropped = append(s.dropped, uid) }
func (s *fixture) Log(string, ...any) {}

func testSite(proxies int, without ...controlplane.Guard) controlplane.Site {
	x := controlplane.Site{Seed: 3, ClassNames: []string{"search", "introduce"}, Zones: []string{"a"}, AllowUnlisted: true,
		Classes: []balancer.RequestClass{{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3},
			{PriorityWeight: 3, LatencyObjective: 1, ClientTimeout: 3, Idempotency: balancer.NonIdempotent}},
		DataPlane: balancer.DataPlane{Proxies: proxies, Coordinators: 1, DefaultRetry: balancer.RetryIfNotExecuted,
			Admission: balancer.AdmissionFraction},
		Channel: balancer.Channel{EntriesPerSecond: 2000, MessageOverhead: 3, MaxQueued: 4000, MeanDelay: 0.01, MaxDelay: 0.2},
		Guarantees: balancer.Guarantees{DrainDeadline: 3, EmptyTableDeadline: 2, WarmupStartFraction: 0.2, WarmupDuration: 10, OverloadFactor: 3,
			OverloadWindow: 2}, Reporting: balancer.Reporting{Period: 0.5}, Limits: controlplane.DefaultLimits,
		DisabledGuards: map[controlplane.Guard]bool{}}
	for _, g := range without {
		x.DisabledGuards[g] = true
	}
	for i := range 6 {
		x.Servers = append(x.Servers, registry.ServerConfig{Server: serverName(i), Weight: 1, Static: true})
	}
	return x
}

func serverName(i int) balancer.Server { return balancer.Server(fmt.Sprintf("10.0.0.%d:80", i)) }

func newFixture(t testing.TB, x controlplane.Site, limits Limits) *fixture {
	s := &fixture{t: t, now: 1000, uids: map[PollID]string{}, pollers: map[PollID]*testProxy{}, proxies: map[string]*testProxy{}, rejected: map[string][]RejectReason{},
		loseAnswer: map[string]bool{}, latestPoll: map[string]PollID{},
		retryAt: map[string]float64{}}
	s.startCoordinator(x, limits)
	return s
}

// startCoordinator starts a coordinator, or another one in its place: all connections break.
func (s *fixture) startCoordinator(x controlplane.Site, limits Limits) {
	f, err := controlplane.New(s.now, x, nil, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	s.fleet, s.server = f, New(s.now, uint64(s.now*1e6), f, s, limits)
	for _, h := range s.proxies {
		h.polling = false
	}
}

func (s *fixture) proxy(uid string) *testProxy {
	if s.proxies[uid] == nil {
		s.proxies[uid] = &testProxy{weights: map[string]float64{}, admissions: map[balancer.Class]float64{}}
	}
	return s.proxies[uid]
}

func (s *fixture) poll(uid string, wait float64) {
	h := s.proxy(uid)
	s.lastPoll++
	s.uids[s.lastPoll], s.pollers[s.lastPoll], s.latestPoll[uid], h.polling = uid, h, s.lastPoll, true
	s.server.HandlePoll(s.now, s.lastPoll, Poll{UID: uid, Epoch: h.epoch, Version: h.version, Wait: wait})
}

func (s *fixture) step(seconds float64) {
	s.now += seconds
	s.fleet.RunRound(s.now)
	s.server.Tick(s.now)
	s.fleet.SendDue(s.now)
}

// advance lets time go by; those who are named ask again as soon as they are answered.
func (s *fixture) advance(seconds float64, askers ...string) {
	for end := s.now + seconds; s.now < end; s.step(0.02) {
		for _, uid := range askers {
			if !s.proxy(uid).polling {
				s.poll(uid, 30)
			}
		}
	}
}

func (s *fixture) drain(i int, on bool) { s.fleet.Registry.SetDrain(s.now, serverName(i), on) }

// check compares what a proxy holds with the tables that the module wants.
func (s *fixture) check(uid string) string {
	h, p := s.proxies[uid], s.fleet.FindProxy(uid)
	n := 0
	for c := range balancer.Class(2) {
		for i := range 6 {
			want := s.fleet.Weight(p, c, serverName(i))
			if got := h.weights[fmt.Sprint(c, " ", serverName(i))]; got != want {
				return fmt.Sprintf("%s holds %v for %s of class %d, wanted %v", uid, got, serverName(i), c, want)
			}
			n += boolToInt(want > 0)
		}
	}
	if len(h.weights) != n {
		return fmt.Sprintf("%s holds %d lines, wanted %d", uid, len(h.weights), n)
	}
	return ""
}

func (s *fixture) expectCurrent(uid string) {
	s.t.Helper()
	if wrong := s.check(uid); wrong != "" {
		s.t.Error(wrong)
	}
}

func TestPollWaitsForChange(t *testing.T) {
	s := newFixture(t, testSite(2), DefaultLimits)
	s.advance(1, "a")
	h := s.proxies["a"]
	if s.expectCurrent("a"); h.answers != 1 || h.full != 2 || !h.polling {
		t.Errorf("%+v", h)
	}
	s.drain(1, true)
	s.advance(0.2, "a")
	if s.expectCurrent("a"); h.answers != 2 || h.full != 2 || len(h.latest.Classes[0].Entries) != 1 || !h.latest.Classes[0].Entries[0].Draining {
		t.Errorf("a drain came as %+v", h.latest)
	}
	if s.fleet.UpToDate() != 1 {
		t.Error("the next poll did not acknowledge it")
	}
	for range 3 { // moved three times while nobody waits: one line
		s.drain(2, true)
		s.step(0.06)
		s.drain(2, false)
		s.step(0.06)
	}
	s.advance(8, "a")
	s.expectCurrent("a")
}

func TestChangeAsWaitEnds(t *testing.T) {
	s := newFixture(t, testSite(1), DefaultLimits)
	s.advance(1, "a")
	s.server.PollClosed(s.now, s.lastPoll) // its connection broke, and it asks for a second
	s.poll("a", 1)
	end := s.now + 1
	for s.now+0.05 < end {
		s.step(0.02)
	}
	s.drain(1, true)
	s.fleet.RunRound(end + 0.001)
	s.now = end + 0.03 // the wait ends in the same look in which it is due
	s.server.Tick(s.now)
	if h := s.proxies["a"]; h.polling || h.weights["0 "+string(serverName(1))] != 0 || len(h.latest.Classes) == 0 {
		t.Errorf("its wait ended with %+v", h.latest)
	}
}

func TestLostAnswerIsSentAgain(t *testing.T) {
	s := newFixture(t, testSite(1), DefaultLimits)
	s.advance(1, "a")
	before := s.proxies["a"].version
	s.loseAnswer["a"] = true
	s.drain(1, true)
	s.advance(0.1)
	if s.proxies["a"].version != before || s.proxies["a"].polling {
		t.Fatal("the answer was not lost")
	}
	if s.fleet.UpToDate() != 0 {
		t.Error("it is held to have what was lost")
	}
	full := s.proxies["a"].full
	s.advance(0.2, "a")
	if s.expectCurrent("a"); s.proxies["a"].full != full || s.server.Stats.Lost != 1 {
		t.Errorf("%d full answers for a lost delta, %+v", s.proxies["a"].full-full, s.server.Stats)
	}
}

func TestNewerPollSupersedesParkedOne(t *testing.T) {
	s := newFixture(t, testSite(1), DefaultLimits)
	s.advance(1, "a")
	s.poll("a", 30)
	if got := s.rejected["a"]; len(got) != 1 || got[0] != Superseded {
		t.Errorf("%v", got)
	}
	s.drain(1, true)
	s.advance(0.2, "a")
	s.expectCurrent("a")
	if parked, _ := s.server.Parked(); parked != 1 {
		t.Errorf("%d polls wait", parked)
	}
}

// A version that was never sent to this proxy, of the future, of another life or of another proxy, is not believed.
func TestUnknownVersionGetsFullState(t *testing.T) {
	for _, without := range [][]controlplane.Guard{nil, {controlplane.GuardVersions}} {
		wrong := 0
		for _, false1 := range []func(h *testProxy){
			func(h *testProxy) { h.version += 7 },
			func(h *testProxy) { h.version = 0 },
			func(h *testProxy) { h.epoch++ },
			func(h *testProxy) { *h = testProxy{weights: map[string]float64{}, admissions: h.admissions} }, // it started anew
			func(h *testProxy) { h.version = math.MaxUint64 },
		} {
			s := newFixture(t, testSite(1, without...), DefaultLimits)
			s.advance(1, "a")
			s.server.PollClosed(s.now, s.lastPoll)
			h := s.proxies["a"]
			h.polling, h.weights = false, map[string]float64{}
			false1(h)
			s.advance(0.5, "a")
			wrong += boolToInt(s.check("a") != "")
		}
		if (wrong > 0) != (without != nil) {
			t.Errorf("without %v, %d of 5 proxies hold what they should not", without, wrong)
		}
	}
}

func TestRestartWithAllPollsParked(t *testing.T) {
	x := testSite(200)
	s := newFixture(t, x, DefaultLimits)
	var all []string
	for i := range 200 {
		all = append(all, fmt.Sprint("p", i))
	}
	s.advance(3, all...)
	s.startCoordinator(x, DefaultLimits)
	s.advance(4, all...)
	for _, uid := range all {
		s.expectCurrent(uid)
	}
	if s.fleet.UpToDate() != 200 || s.server.Stats.Unknown != 200 {
		t.Errorf("%d hold the tables, %d named a former life", s.fleet.UpToDate(), s.server.Stats.Unknown)
	}
}

// 5,000 proxies whose connections break at once: those turned away are told to come back spread out, all are served, and
// the time that it takes is that of the channel.
func TestReconnectingProxiesAreSpread(t *testing.T) {
	const n = 5000
	limits := DefaultLimits
	x := testSite(n)
	x.Channel.EntriesPerSecond, x.Channel.MaxQueued = 20000, 30000
	s := newFixture(t, x, limits)
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint("p", i))
		s.poll(all[i], 55)
	}
	away := n - int(limits.JoinBurst)
	if len(s.retryDelays) != away {
		t.Fatalf("%d were turned away", len(s.retryDelays))
	}
	slices.Sort(s.retryDelays)
	if s.retryDelays[0] < limits.RetryAfter || s.retryDelays[away-1] > 2*limits.RetryAfter {
		t.Errorf("they are to come back within %v to %v s", s.retryDelays[0], s.retryDelays[away-1])
	}
	for i := range 10 { // in each tenth of the time some 450
		k := 0
		for _, v := range s.retryDelays {
			if from := limits.RetryAfter * (1 + float64(i)/10); v >= from && v < from+limits.RetryAfter/10 {
				k++
			}
		}
		if k < 350 || k > 550 {
			t.Errorf("%d of %d come back in one tenth of the time", k, away)
		}
	}
	begun, lines := s.now, 0
	for s.fleet.UpToDate() < n && s.now < begun+60 {
		for _, uid := range all {
			if h := s.proxies[uid]; !h.polling && s.now >= s.retryAt[uid] {
				s.poll(uid, 55)
			}
		}
		s.step(0.02)
	}
	for _, uid := range all {
		lines += len(s.proxies[uid].weights) + 3
	}
	took, least := s.now-begun, max(float64(lines)/x.Channel.EntriesPerSecond, float64(away)/limits.JoinRate)
	if s.fleet.UpToDate() != n || took > 1.5*least+2*limits.RetryAfter {
		t.Errorf("%d hold the tables after %.1f s; joins and channel need %.1f s", s.fleet.UpToDate(), took, least)
	}
	t.Logf("%d proxies hold the tables after %.1f s; joins and channel need %.1f s", n, took, least)
}

// Half of the proxies are between polls when a drain comes, and not back for three seconds.
func TestDrainBetweenPolls(t *testing.T) {
	s := newFixture(t, testSite(4), DefaultLimits)
	s.advance(1, "a", "b", "c", "d")
	for _, uid := range []string{"a", "b"} { // their connections break
		for w, of := range s.uids {
			if of == uid {
				s.server.PollClosed(s.now, w)
			}
		}
		s.proxies[uid].polling = false
	}
	s.drain(1, true)
	s.advance(0.2, "c", "d")
	s.expectCurrent("c")
	drained := s.now
	for s.now < drained+2.5 {
		s.advance(0.1, "c", "d")
	}
	if s.fleet.Joined() != 2 || len(s.dropped) != 2 {
		t.Errorf("%d are joined 2.7 s after the drain: the two that can't know of it must not be", s.fleet.Joined())
	}
	s.advance(1, "a", "b", "c", "d")
	for _, uid := range []string{"a", "b", "c", "d"} {
		s.expectCurrent(uid)
	}
}

type otherFrontend struct {
	displaced int
	sent      int
	fleet     *controlplane.Fleet
}

func (p *otherFrontend) Deliver(now float64, x *controlplane.Proxy) {
	p.sent++
	p.fleet.MarkSent(now, x, 1)
	p.fleet.MarkDelivered(now, x)
}
func (p *otherFrontend) Displaced(float64, *controlplane.Proxy) { p.displaced++ }

func TestProxyMovesBetweenFrontends(t *testing.T) {
	s := newFixture(t, testSite(1), DefaultLimits)
	other := &otherFrontend{fleet: s.fleet}
	if _, err := s.fleet.Join(s.now, "a", other, true); err != nil {
		t.Fatal(err)
	}
	s.advance(0.5)
	s.drain(1, true)
	s.step(0.01)
	s.advance(0.5, "a") // in the middle of the drain
	if s.expectCurrent("a"); other.displaced != 1 || s.fleet.Joined() != 1 {
		t.Errorf("%d displaced, %d joined", other.displaced, s.fleet.Joined())
	}
	if _, err := s.fleet.Join(s.now, "a", other, true); err != nil {
		t.Fatal(err)
	}
	if got := s.rejected["a"]; len(got) != 1 || got[0] != JoinedElsewhere {
		t.Errorf("its poll ended with %v", got)
	}
	sent := other.sent
	if s.advance(0.5); other.sent == sent || s.fleet.Joined() != 1 {
		t.Errorf("%d messages by the other front, %d joined", other.sent-sent, s.fleet.Joined())
	}
}

func TestClockJumps(t *testing.T) {
	s := newFixture(t, testSite(1), DefaultLimits)
	s.advance(1, "a")
	s.now += 3600
	s.advance(0.5, "a")
	s.drain(1, true)
	s.advance(0.3, "a")
	s.expectCurrent("a")
	s.now -= 1800 // never by our clocks; nothing breaks all the same
	s.advance(0.5, "a")
	s.now += 1801
	s.drain(2, true)
	s.advance(0.5, "a")
	s.expectCurrent("a")
}

// A flood of polls by proxies of one kind leaves room for drains to the others.
func TestDrainsHaveAReserve(t *testing.T) {
	limits := DefaultLimits
	limits.MaxUnacknowledged, limits.DrainReserve = 3, 100
	s := newFixture(t, testSite(20), limits)
	var all []string
	for i := range 20 {
		all = append(all, fmt.Sprint("p", i))
		s.poll(all[i], 30)
	}
	s.advance(0.5)
	if _, under := s.server.Parked(); under != 3 {
		t.Fatalf("%d answers are under way", under)
	}
	s.advance(3, all...)
	for _, uid := range all {
		s.expectCurrent(uid)
	}
	s.drain(1, true)
	s.step(0.06) // nobody asks again, and the drain goes to all of them
	if _, under := s.server.Parked(); under != 20 {
		t.Errorf("a drain is under way to %d", under)
	}
	if s.poll("x", 1); s.server.Stats.Joins != 21 {
		t.Error("no room to join")
	}
	for range 40 {
		s.poll("x", 1)
	}
	if !slices.Contains(s.rejected["x"], PollRateExceeded) {
		t.Error("a proxy that asks all the time is not told so")
	}
}

// Whatever is lost, doubled, asked too early or by another life: in the end proxies hold what is wanted, and what they are
// held to have they have.
func TestProxiesConvergeToTables(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := testSite(3)
		s := newFixture(t, x, DefaultLimits)
		uids := []string{"a", "b", "c"}
		for range rapid.IntRange(5, 80).Draw(rt, "steps") {
			uid := rapid.SampledFrom(uids).Draw(rt, "proxy")
			switch rapid.IntRange(0, 8).Draw(rt, "what") {
			case 0, 1:
				s.poll(uid, rapid.SampledFrom([]float64{0, 0.01, 0.1, 30}).Draw(rt, "wait"))
			case 2:
				s.loseAnswer[uid] = true
			case 3:
				s.drain(rapid.IntRange(0, 5).Draw(rt, "server"), rapid.Bool().Draw(rt, "on"))
			case 4:
				s.server.ProxyLeft(s.now, uid)
			case 5:
				delete(s.proxies, uid) // it starts anew; its poll is not yet known to be broken
			case 6:
				if rapid.IntRange(0, 5).Draw(rt, "dies") == 0 {
					s.startCoordinator(x, DefaultLimits)
				}
			default:
				s.step(rapid.SampledFrom([]float64{0.001, 0.02, 0.06, 0.3, 3}).Draw(rt, "seconds"))
			}
		}
		clear(s.loseAnswer)
		s.advance(14, uids...)
		for _, uid := range uids {
			if wrong := s.check(uid); wrong != "" {
				rt.Error(wrong)
			}
		}
		if s.fleet.UpToDate() != 3 {
			for _, uid := range uids {
				p := s.fleet.FindProxy(uid)
				rt.Logf("%s %+v waits %t away %t behind %t", uid, p.Tables, s.proxies[uid].polling, p.InFlight(), s.fleet.NeedsUpdate(p))
			}
			rt.Errorf("%d of 3 are known to hold the newest tables", s.fleet.UpToDate())
		}
	})
}

// A history of drains and of what one proxy saw is linearizable: each answer shows a state that was wanted at some moment
// between the poll and the answer. Checked by porcupine; a planted fault (an old answer shown late) is caught.
func TestHistoriesAreLinearizable(t *testing.T) {
	type op struct {
		write bool
		set   uint64
	}
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, in, out any) (bool, any) {
			if o := in.(op); o.write {
				return true, o.set
			}
			return out.(uint64) == state.(uint64), state
		},
	}
	for seed := range uint64(20) {
		s := newFixture(t, testSite(1), DefaultLimits)
		s.advance(1, "a")
		var history []porcupine.Operation
		chance, drained := seed*2862933555777941757+3037000493, uint64(0)
		held := func() (set uint64) {
			for i := range 6 {
				if _, ok := s.proxies["a"].weights["0 "+string(serverName(i))]; !ok {
					set |= 1 << i
				}
			}
			return set
		}
		clock := func() int64 { return int64(s.now * 1e6) }
		for range 25 {
			chance = chance*6364136223846793005 + 1442695040888963407
			if i := int(chance>>33) % 5; drained>>i&1 == 0 { // each is drained once; its coming back is paced
				drained |= 1 << i
				call := clock()
				s.drain(i, true)
				s.step(0.06) // the decision
				history = append(history, porcupine.Operation{Input: op{true, drained}, Call: call, Return: clock()})
			}
			if chance>>60 < 4 {
				s.loseAnswer["a"] = true
			}
			call := clock()
			s.advance(0.1, "a")
			history = append(history, porcupine.Operation{ClientId: 1, Input: op{}, Output: held(), Call: call, Return: clock()})
		}
		if !porcupine.CheckOperations(model, history) {
			t.Errorf("seed %d: the history is not linearizable", seed)
		}
		for i := range history { // planted: the last answer shows the state of the first
			if o := history[i].Input.(op); !o.write {
				late := slices.Clone(history)
				late[len(late)-1].Output = history[i].Output
				if drained != history[i].Output.(uint64) && porcupine.CheckOperations(model, late) {
					t.Errorf("seed %d: an old answer was not caught", seed)
				}
				break
			}
		}
	}
}

// Answers say the epoch of who leads what, and a proxy that has followed a newer one is not served by a coordinator that
// has not heard of it.
func TestOwnershipEpoch(t *testing.T) {
	s := newFixture(t, testSite(2), DefaultLimits)
	lead := uint64(7)
	s.fleet.SetOwnership(func(float64, string) bool { return true }, func() uint64 { return lead }, nil)
	s.poll("relay-0", 5)
	s.advance(1)
	h := s.proxies["relay-0"]
	if h.latest == nil || h.latest.OwnershipEpoch != 7 {
		t.Fatalf("%+v", h.latest)
	}
	s.lastPoll++
	s.uids[s.lastPoll], s.pollers[s.lastPoll] = "relay-1", s.proxy("relay-1")
	s.server.HandlePoll(s.now, s.lastPoll, Poll{UID: "relay-1", Wait: 5, OwnershipEpoch: 8})
	if r := s.rejected["relay-1"]; len(r) != 1 || r[0] != EpochOutdated {
		t.Errorf("one that has followed epoch 8: %v", r)
	}
	lead = 8
	s.lastPoll++
	s.uids[s.lastPoll], s.pollers[s.lastPoll] = "relay-1", s.proxy("relay-1")
	s.server.HandlePoll(s.now, s.lastPoll, Poll{UID: "relay-1", Wait: 5, OwnershipEpoch: 8})
	if s.advance(1); len(s.rejected["relay-1"]) != 1 || s.proxies["relay-1"].latest == nil || s.proxies["relay-1"].latest.OwnershipEpoch != 8 {
		t.Errorf("after it has heard of it: %v", s.rejected["relay-1"])
	}
}
