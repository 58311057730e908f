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

// shop is a counter with its clients: each keeps what it was told, and applies deltas as the API says.
type shop struct {
	t       testing.TB
	now     float64
	fleet   *controlplane.Fleet
	counter *Server
	next    PollID
	of      map[PollID]string
	by      map[PollID]*holding // the proxy's process that asked
	holds   map[string]*holding
	refused map[string][]RejectReason
	after   []float64
	dropped []string
	last    map[string]PollID
	retry   map[string]float64
	lose    map[string]bool // the next answer to it is lost
}

type holding struct {
	epoch, version uint64
	lines          map[string]float64 // class and server
	levels         map[balancer.Class]float64
	waits          bool
	answers, full  int
	latest         *Answer
}

func (s *shop) Answer(w PollID, a *Answer) {
	uid := s.of[w]
	h := s.by[w]
	h.waits = false
	if s.lose[uid] {
		delete(s.lose, uid)
		return
	}
	s.apply(h, a)
}

func (s *shop) apply(h *holding, a *Answer) {
	if len(a.Classes) == 0 || a.From > 0 && (a.Epoch != h.epoch || a.From > h.version) {
		return // nothing is newer than what the poll named, or it is a delta to what is not held
	}
	h.answers++
	h.epoch, h.version = a.Epoch, a.Version
	kept := &Answer{Epoch: a.Epoch, Version: a.Version, OwnershipEpoch: a.OwnershipEpoch}
	for _, c := range a.Classes {
		if c.Full {
			h.full++
			for k := range h.lines {
				if k[:1] == fmt.Sprint(c.Class) {
					delete(h.lines, k)
				}
			}
		}
		for _, l := range c.Entries {
			k := fmt.Sprint(c.Class, " ", l.Server)
			if h.lines[k] = l.Weight; l.Weight == 0 {
				delete(h.lines, k)
			}
		}
		if c.HasAdmission {
			h.levels[c.Class] = c.Admission
		}
		c.Entries = slices.Clone(c.Entries)
		kept.Classes = append(kept.Classes, c)
	}
	h.latest = kept
}

func (s *shop) Reject(w PollID, why RejectReason, after float64) {
	uid := s.of[w]
	s.refused[uid] = append(s.refused[uid], why)
	s.retry[uid] = s.now + after
	if s.after = append(s.after, after); s.last[uid] == w {
		s.by[w].waits = false
	}
}

func (s *shop) Dropped(uid string) { s.dropped = append(s.dropped, uid) }
func (s *shop) Log(string, ...any) {}

func site(proxies int, without ...controlplane.Guard) controlplane.Site {
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
		x.Servers = append(x.Servers, registry.ServerConfig{Server: server(i), Weight: 1, Static: true})
	}
	return x
}

func server(i int) balancer.Server { return balancer.Server(fmt.Sprintf("10.0.0.%d:80", i)) }

func open(t testing.TB, x controlplane.Site, limits Limits) *shop {
	s := &shop{t: t, now: 1000, of: map[PollID]string{}, by: map[PollID]*holding{}, holds: map[string]*holding{}, refused: map[string][]RejectReason{},
		lose: map[string]bool{}, last: map[string]PollID{},
		retry: map[string]float64{}}
	s.life(x, limits)
	return s
}

// life starts a coordinator, or another one in its place: all connections break.
func (s *shop) life(x controlplane.Site, limits Limits) {
	f, err := controlplane.New(s.now, x, nil, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	s.fleet, s.counter = f, New(s.now, uint64(s.now*1e6), f, s, limits)
	for _, h := range s.holds {
		h.waits = false
	}
}

func (s *shop) hold(uid string) *holding {
	if s.holds[uid] == nil {
		s.holds[uid] = &holding{lines: map[string]float64{}, levels: map[balancer.Class]float64{}}
	}
	return s.holds[uid]
}

func (s *shop) ask(uid string, wait float64) {
	h := s.hold(uid)
	s.next++
	s.of[s.next], s.by[s.next], s.last[uid], h.waits = uid, h, s.next, true
	s.counter.HandlePoll(s.now, s.next, Poll{UID: uid, Epoch: h.epoch, Version: h.version, Wait: wait})
}

func (s *shop) step(seconds float64) {
	s.now += seconds
	s.fleet.RunRound(s.now)
	s.counter.Tick(s.now)
	s.fleet.SendDue(s.now)
}

// pass lets time go by; those who are named ask again as soon as they are answered.
func (s *shop) pass(seconds float64, askers ...string) {
	for end := s.now + seconds; s.now < end; s.step(0.02) {
		for _, uid := range askers {
			if !s.hold(uid).waits {
				s.ask(uid, 30)
			}
		}
	}
}

func (s *shop) drain(i int, on bool) { s.fleet.Registry.SetDrain(s.now, server(i), on) }

// check compares what a proxy holds with the tables that the module wants.
func (s *shop) check(uid string) string {
	h, p := s.holds[uid], s.fleet.FindProxy(uid)
	n := 0
	for c := range balancer.Class(2) {
		for i := range 6 {
			want := s.fleet.Weight(p, c, server(i))
			if got := h.lines[fmt.Sprint(c, " ", server(i))]; got != want {
				return fmt.Sprintf("%s holds %v for %s of class %d, wanted %v", uid, got, server(i), c, want)
			}
			n += boolToInt(want > 0)
		}
	}
	if len(h.lines) != n {
		return fmt.Sprintf("%s holds %d lines, wanted %d", uid, len(h.lines), n)
	}
	return ""
}

func (s *shop) wants(uid string) {
	s.t.Helper()
	if wrong := s.check(uid); wrong != "" {
		s.t.Error(wrong)
	}
}

func TestAPollWaitsForWhatIsNewer(t *testing.T) {
	s := open(t, site(2), DefaultLimits)
	s.pass(1, "a")
	h := s.holds["a"]
	if s.wants("a"); h.answers != 1 || h.full != 2 || !h.waits {
		t.Errorf("%+v", h)
	}
	s.drain(1, true)
	s.pass(0.2, "a")
	if s.wants("a"); h.answers != 2 || h.full != 2 || len(h.latest.Classes[0].Entries) != 1 || !h.latest.Classes[0].Entries[0].Draining {
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
	s.pass(8, "a")
	s.wants("a")
}

func TestAChangeAsTheWaitEnds(t *testing.T) {
	s := open(t, site(1), DefaultLimits)
	s.pass(1, "a")
	s.counter.PollClosed(s.now, s.next) // its connection broke, and it asks for a second
	s.ask("a", 1)
	end := s.now + 1
	for s.now+0.05 < end {
		s.step(0.02)
	}
	s.drain(1, true)
	s.fleet.RunRound(end + 0.001)
	s.now = end + 0.03 // the wait ends in the same look in which it is due
	s.counter.Tick(s.now)
	if h := s.holds["a"]; h.waits || h.lines["0 "+string(server(1))] != 0 || len(h.latest.Classes) == 0 {
		t.Errorf("its wait ended with %+v", h.latest)
	}
}

func TestALostAnswerIsGivenAgain(t *testing.T) {
	s := open(t, site(1), DefaultLimits)
	s.pass(1, "a")
	before := s.holds["a"].version
	s.lose["a"] = true
	s.drain(1, true)
	s.pass(0.1)
	if s.holds["a"].version != before || s.holds["a"].waits {
		t.Fatal("the answer was not lost")
	}
	if s.fleet.UpToDate() != 0 {
		t.Error("it is held to have what was lost")
	}
	full := s.holds["a"].full
	s.pass(0.2, "a")
	if s.wants("a"); s.holds["a"].full != full || s.counter.Stats.Lost != 1 {
		t.Errorf("%d full answers for a lost delta, %+v", s.holds["a"].full-full, s.counter.Stats)
	}
}

func TestTwoPollsOfOneProxy(t *testing.T) {
	s := open(t, site(1), DefaultLimits)
	s.pass(1, "a")
	s.ask("a", 30)
	if got := s.refused["a"]; len(got) != 1 || got[0] != Superseded {
		t.Errorf("%v", got)
	}
	s.drain(1, true)
	s.pass(0.2, "a")
	s.wants("a")
	if parked, _ := s.counter.Parked(); parked != 1 {
		t.Errorf("%d polls wait", parked)
	}
}

// A version that was never sent to this proxy, of the future, of another life or of another proxy, is not believed.
func TestAFalseVersionGetsTheFullState(t *testing.T) {
	for _, without := range [][]controlplane.Guard{nil, {controlplane.GuardVersions}} {
		wrong := 0
		for _, false1 := range []func(h *holding){
			func(h *holding) { h.version += 7 },
			func(h *holding) { h.version = 0 },
			func(h *holding) { h.epoch++ },
			func(h *holding) { *h = holding{lines: map[string]float64{}, levels: h.levels} }, // it started anew
			func(h *holding) { h.version = math.MaxUint64 },
		} {
			s := open(t, site(1, without...), DefaultLimits)
			s.pass(1, "a")
			s.counter.PollClosed(s.now, s.next)
			h := s.holds["a"]
			h.waits, h.lines = false, map[string]float64{}
			false1(h)
			s.pass(0.5, "a")
			wrong += boolToInt(s.check("a") != "")
		}
		if (wrong > 0) != (without != nil) {
			t.Errorf("without %v, %d of 5 proxies hold what they should not", without, wrong)
		}
	}
}

func TestARestartWithAllPollsParked(t *testing.T) {
	x := site(200)
	s := open(t, x, DefaultLimits)
	var all []string
	for i := range 200 {
		all = append(all, fmt.Sprint("p", i))
	}
	s.pass(3, all...)
	s.life(x, DefaultLimits)
	s.pass(4, all...)
	for _, uid := range all {
		s.wants(uid)
	}
	if s.fleet.UpToDate() != 200 || s.counter.Stats.Unknown != 200 {
		t.Errorf("%d hold the tables, %d named a former life", s.fleet.UpToDate(), s.counter.Stats.Unknown)
	}
}

// 5,000 proxies whose connections break at once: those turned away are told to come back spread out, all are served, and
// the time that it takes is that of the channel.
func TestACrowdIsSpread(t *testing.T) {
	const n = 5000
	limits := DefaultLimits
	x := site(n)
	x.Channel.EntriesPerSecond, x.Channel.MaxQueued = 20000, 30000
	s := open(t, x, limits)
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint("p", i))
		s.ask(all[i], 55)
	}
	away := n - int(limits.JoinBurst)
	if len(s.after) != away {
		t.Fatalf("%d were turned away", len(s.after))
	}
	slices.Sort(s.after)
	if s.after[0] < limits.RetryAfter || s.after[away-1] > 2*limits.RetryAfter {
		t.Errorf("they are to come back within %v to %v s", s.after[0], s.after[away-1])
	}
	for i := range 10 { // in each tenth of the time some 450
		k := 0
		for _, v := range s.after {
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
			if h := s.holds[uid]; !h.waits && s.now >= s.retry[uid] {
				s.ask(uid, 55)
			}
		}
		s.step(0.02)
	}
	for _, uid := range all {
		lines += len(s.holds[uid].lines) + 3
	}
	took, least := s.now-begun, max(float64(lines)/x.Channel.EntriesPerSecond, float64(away)/limits.JoinRate)
	if s.fleet.UpToDate() != n || took > 1.5*least+2*limits.RetryAfter {
		t.Errorf("%d hold the tables after %.1f s; joins and channel need %.1f s", s.fleet.UpToDate(), took, least)
	}
	t.Logf("%d proxies hold the tables after %.1f s; joins and channel need %.1f s", n, took, least)
}

// Half of the proxies are between polls when a drain comes, and not back for three seconds.
func TestADrainBetweenPolls(t *testing.T) {
	s := open(t, site(4), DefaultLimits)
	s.pass(1, "a", "b", "c", "d")
	for _, uid := range []string{"a", "b"} { // their connections break
		for w, of := range s.of {
			if of == uid {
				s.counter.PollClosed(s.now, w)
			}
		}
		s.holds[uid].waits = false
	}
	s.drain(1, true)
	s.pass(0.2, "c", "d")
	s.wants("c")
	drained := s.now
	for s.now < drained+2.5 {
		s.pass(0.1, "c", "d")
	}
	if s.fleet.Joined() != 2 || len(s.dropped) != 2 {
		t.Errorf("%d are joined 2.7 s after the drain: the two that can't know of it must not be", s.fleet.Joined())
	}
	s.pass(1, "a", "b", "c", "d")
	for _, uid := range []string{"a", "b", "c", "d"} {
		s.wants(uid)
	}
}

type plain struct {
	displaced int
	sent      int
	f         *controlplane.Fleet
}

func (p *plain) Deliver(now float64, x *controlplane.Proxy) {
	p.sent++
	p.f.MarkSent(now, x, 1)
	p.f.MarkDelivered(now, x)
}
func (p *plain) Displaced(float64, *controlplane.Proxy) { p.displaced++ }

func TestAProxyMovesBetweenFronts(t *testing.T) {
	s := open(t, site(1), DefaultLimits)
	other := &plain{f: s.fleet}
	if _, err := s.fleet.Join(s.now, "a", other, true); err != nil {
		t.Fatal(err)
	}
	s.pass(0.5)
	s.drain(1, true)
	s.step(0.01)
	s.pass(0.5, "a") // in the middle of the drain
	if s.wants("a"); other.displaced != 1 || s.fleet.Joined() != 1 {
		t.Errorf("%d displaced, %d joined", other.displaced, s.fleet.Joined())
	}
	if _, err := s.fleet.Join(s.now, "a", other, true); err != nil {
		t.Fatal(err)
	}
	if got := s.refused["a"]; len(got) != 1 || got[0] != JoinedElsewhere {
		t.Errorf("its poll ended with %v", got)
	}
	sent := other.sent
	if s.pass(0.5); other.sent == sent || s.fleet.Joined() != 1 {
		t.Errorf("%d messages by the other front, %d joined", other.sent-sent, s.fleet.Joined())
	}
}

func TestAClockThatJumps(t *testing.T) {
	s := open(t, site(1), DefaultLimits)
	s.pass(1, "a")
	s.now += 3600
	s.pass(0.5, "a")
	s.drain(1, true)
	s.pass(0.3, "a")
	s.wants("a")
	s.now -= 1800 // never by our clocks; nothing breaks all the same
	s.pass(0.5, "a")
	s.now += 1801
	s.drain(2, true)
	s.pass(0.5, "a")
	s.wants("a")
}

// A flood of polls by proxies of one kind leaves room for drains to the others.
func TestDrainsHaveAReserve(t *testing.T) {
	limits := DefaultLimits
	limits.MaxUnacknowledged, limits.DrainReserve = 3, 100
	s := open(t, site(20), limits)
	var all []string
	for i := range 20 {
		all = append(all, fmt.Sprint("p", i))
		s.ask(all[i], 30)
	}
	s.pass(0.5)
	if _, under := s.counter.Parked(); under != 3 {
		t.Fatalf("%d answers are under way", under)
	}
	s.pass(3, all...)
	for _, uid := range all {
		s.wants(uid)
	}
	s.drain(1, true)
	s.step(0.06) // nobody asks again, and the drain goes to all of them
	if _, under := s.counter.Parked(); under != 20 {
		t.Errorf("a drain is under way to %d", under)
	}
	if s.ask("x", 1); s.counter.Stats.Joins != 21 {
		t.Error("no room to join")
	}
	for range 40 {
		s.ask("x", 1)
	}
	if !slices.Contains(s.refused["x"], PollRateExceeded) {
		t.Error("a proxy that asks all the time is not told so")
	}
}

// Whatever is lost, doubled, asked too early or by another life: in the end proxies hold what is wanted, and what they are
// held to have they have.
func TestProxiesEndUpWithWhatIsWanted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := site(3)
		s := open(t, x, DefaultLimits)
		uids := []string{"a", "b", "c"}
		for range rapid.IntRange(5, 80).Draw(rt, "steps") {
			uid := rapid.SampledFrom(uids).Draw(rt, "proxy")
			switch rapid.IntRange(0, 8).Draw(rt, "what") {
			case 0, 1:
				s.ask(uid, rapid.SampledFrom([]float64{0, 0.01, 0.1, 30}).Draw(rt, "wait"))
			case 2:
				s.lose[uid] = true
			case 3:
				s.drain(rapid.IntRange(0, 5).Draw(rt, "server"), rapid.Bool().Draw(rt, "on"))
			case 4:
				s.counter.ProxyLeft(s.now, uid)
			case 5:
				delete(s.holds, uid) // it starts anew; its poll is not yet known to be broken
			case 6:
				if rapid.IntRange(0, 5).Draw(rt, "dies") == 0 {
					s.life(x, DefaultLimits)
				}
			default:
				s.step(rapid.SampledFrom([]float64{0.001, 0.02, 0.06, 0.3, 3}).Draw(rt, "seconds"))
			}
		}
		clear(s.lose)
		s.pass(14, uids...)
		for _, uid := range uids {
			if wrong := s.check(uid); wrong != "" {
				rt.Error(wrong)
			}
		}
		if s.fleet.UpToDate() != 3 {
			for _, uid := range uids {
				p := s.fleet.FindProxy(uid)
				rt.Logf("%s %+v waits %t away %t behind %t", uid, p.Tables, s.holds[uid].waits, p.InFlight(), s.fleet.NeedsUpdate(p))
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
		s := open(t, site(1), DefaultLimits)
		s.pass(1, "a")
		var history []porcupine.Operation
		chance, drained := seed*2862933555777941757+3037000493, uint64(0)
		held := func() (set uint64) {
			for i := range 6 {
				if _, ok := s.holds["a"].lines["0 "+string(server(i))]; !ok {
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
				s.lose["a"] = true
			}
			call := clock()
			s.pass(0.1, "a")
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
func TestTheEpochOfWhoLeads(t *testing.T) {
	s := open(t, site(2), DefaultLimits)
	lead := uint64(7)
	s.fleet.SetOwnership(func(float64, string) bool { return true }, func() uint64 { return lead }, nil)
	s.ask("relay-0", 5)
	s.pass(1)
	h := s.holds["relay-0"]
	if h.latest == nil || h.latest.OwnershipEpoch != 7 {
		t.Fatalf("%+v", h.latest)
	}
	s.next++
	s.of[s.next], s.by[s.next] = "relay-1", s.hold("relay-1")
	s.counter.HandlePoll(s.now, s.next, Poll{UID: "relay-1", Wait: 5, OwnershipEpoch: 8})
	if r := s.refused["relay-1"]; len(r) != 1 || r[0] != EpochOutdated {
		t.Errorf("one that has followed epoch 8: %v", r)
	}
	lead = 8
	s.next++
	s.of[s.next], s.by[s.next] = "relay-1", s.hold("relay-1")
	s.counter.HandlePoll(s.now, s.next, Poll{UID: "relay-1", Wait: 5, OwnershipEpoch: 8})
	if s.pass(1); len(s.refused["relay-1"]) != 1 || s.holds["relay-1"].latest == nil || s.holds["relay-1"].latest.OwnershipEpoch != 8 {
		t.Errorf("after it has heard of it: %v", s.refused["relay-1"])
	}
}
