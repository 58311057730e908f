package longpoll

import (
	"fmt"
	"math"
	"testing"

	"snowquay/internal/core/controlplane"
)

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
		t.Errorf("the answer with a drain is %+v", h.latest)
	}
	if s.fleet.UpToDate() != 1 {
		t.Error("the next poll did not acknowledge it")
	}
	for range 3 { // three changes while no poll is parked: one entry
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
	s.server.PollClosed(s.now, s.lastPoll) // its connection broke, and it polls for a second
	s.poll("a", 1)
	end := s.now + 1
	for s.now+0.05 < end {
		s.step(0.02)
	}
	s.drain(1, true)
	s.fleet.RunRound(end + 0.001)
	s.now = end + 0.03 // the wait ends in the tick in which the change is due
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
		t.Error("it counts as up to date though the answer was lost")
	}
	full := s.proxies["a"].full
	s.advance(0.2, "a")
	if s.expectCurrent("a"); s.proxies["a"].full != full || s.server.Stats.LostAnswers != 1 {
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

// A version that was never sent to this proxy is not believed: a future one, or one of another epoch or proxy.
func TestUnknownVersionGetsFullState(t *testing.T) {
	for _, without := range [][]controlplane.Guard{nil, {controlplane.GuardVersions}} {
		wrong := 0
		for _, false1 := range []func(h *testProxy){
			func(h *testProxy) { h.version += 7 },
			func(h *testProxy) { h.version = 0 },
			func(h *testProxy) { h.epoch++ },
			func(h *testProxy) { *h = testProxy{weights: map[string]float64{}, admissions: h.admissions} }, // it restarted
			func(h *testProxy) { h.version = math.MaxUint64 },
		} {
			s := newFixture(t, testSite(1, without...), DefaultLimits)
			s.advance(1, "a")
			s.server.PollClosed(s.now, s.lastPoll)
			h := s.proxies["a"]
			h.polling = false
			h.weights = map[string]float64{}
			false1(h)
			s.advance(0.5, "a")
			wrong += boolToInt(s.check("a") != "")
		}
		if (wrong > 0) != (without != nil) {
			t.Errorf("without %v, %d of 5 proxies hold wrong tables", without, wrong)
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
	if s.fleet.UpToDate() != 200 || s.server.Stats.UnknownVersions != 200 {
		t.Errorf("%d hold the tables, %d named an unknown version", s.fleet.UpToDate(), s.server.Stats.UnknownVersions)
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
	s.now -= 1800 // a monotonic clock never does this; nothing breaks all the same
	s.advance(0.5, "a")
	s.now += 1801
	s.drain(2, true)
	s.advance(0.5, "a")
	s.expectCurrent("a")
}

// Answers carry the ownership epoch, and a coordinator does not serve a proxy that has followed a newer one.
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
	s.uids[s.lastPoll] = "relay-1"
	s.pollers[s.lastPoll] = s.proxy("relay-1")
	s.server.HandlePoll(s.now, s.lastPoll, Poll{UID: "relay-1", Wait: 5, OwnershipEpoch: 8})
	if r := s.rejected["relay-1"]; len(r) != 1 || r[0] != EpochOutdated {
		t.Errorf("a proxy that has followed epoch 8: %v", r)
	}
	lead = 8
	s.lastPoll++
	s.uids[s.lastPoll] = "relay-1"
	s.pollers[s.lastPoll] = s.proxy("relay-1")
	s.server.HandlePoll(s.now, s.lastPoll, Poll{UID: "relay-1", Wait: 5, OwnershipEpoch: 8})
	s.advance(1)
	if len(s.rejected["relay-1"]) != 1 || s.proxies["relay-1"].latest == nil || s.proxies["relay-1"].latest.OwnershipEpoch != 8 {
		t.Errorf("after the coordinator knows epoch 8: %v", s.rejected["relay-1"])
	}
}
