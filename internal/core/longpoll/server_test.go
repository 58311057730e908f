package longpoll

import (
	"fmt"
	"math"
	"testing"

	"snowquay/internal/core/controlplane"
)

func TestPollWaitsForChange(t *testing.T) {
	f := newFixture(t, testSite(2), DefaultLimits)
	f.advance(1, "a")
	proxy := f.proxies["a"]
	if f.expectCurrent("a"); proxy.answers != 1 || proxy.full != 2 || !proxy.polling {
		t.Errorf("after the first answer the proxy is %+v, want one answer with two full tables, and a parked poll", proxy)
	}
	f.drain(1, true)
	f.advance(0.2, "a")
	if f.expectCurrent("a"); proxy.answers != 2 || proxy.full != 2 || len(proxy.latest.Classes[0].Entries) != 1 || !proxy.latest.Classes[0].Entries[0].Draining {
		t.Errorf("the answer with a drain is %+v, want a second answer, a delta with one entry that drains", proxy.latest)
	}
	if f.fleet.UpToDate() != 1 {
		t.Error("the next poll did not acknowledge the drain")
	}
	for range 3 { // the changes while no poll is parked are combined
		f.drain(2, true)
		f.step(0.06)
		f.drain(2, false)
		f.step(0.06)
	}
	f.advance(8, "a")
	f.expectCurrent("a")
}

func TestChangeWhenWaitExpires(t *testing.T) {
	f := newFixture(t, testSite(1), DefaultLimits)
	f.advance(1, "a")
	f.server.PollClosed(f.now, f.lastPoll) // its connection breaks, and it polls again with a wait of one second
	f.poll("a", 1)
	end := f.now + 1
	for f.now+0.05 < end {
		f.step(0.02)
	}
	f.drain(1, true)
	f.fleet.RunRound(end + 0.001)
	f.now = end + 0.03 // the wait expires in the tick in which the change is due
	f.server.Tick(f.now)
	if proxy := f.proxies["a"]; proxy.polling || proxy.weights["0 "+string(serverName(1))] != 0 || len(proxy.latest.Classes) == 0 {
		t.Errorf("the answer when the wait expired does not contain the change: %+v", proxy.latest)
	}
}

func TestLostAnswerIsSentAgain(t *testing.T) {
	f := newFixture(t, testSite(1), DefaultLimits)
	f.advance(1, "a")
	before := f.proxies["a"].version
	f.loseAnswer["a"] = true
	f.drain(1, true)
	f.advance(0.1)
	if f.proxies["a"].version != before || f.proxies["a"].polling {
		t.Fatal("the answer was not lost")
	}
	if f.fleet.UpToDate() != 0 {
		t.Error("the proxy counts as up to date although the answer was lost")
	}
	full := f.proxies["a"].full
	f.advance(0.2, "a")
	if f.expectCurrent("a"); f.proxies["a"].full != full || f.server.Stats.LostAnswers != 1 {
		t.Errorf("%d full tables were sent after the loss of a delta, want 0; counters %+v", f.proxies["a"].full-full, f.server.Stats)
	}
}

func TestNewerPollSupersedesParkedOne(t *testing.T) {
	f := newFixture(t, testSite(1), DefaultLimits)
	f.advance(1, "a")
	f.poll("a", 30)
	if got := f.rejected["a"]; len(got) != 1 || got[0] != Superseded {
		t.Errorf("the parked poll was rejected with %v, want Superseded", got)
	}
	f.drain(1, true)
	f.advance(0.2, "a")
	f.expectCurrent("a")
	if parked, _ := f.server.Parked(); parked != 1 {
		t.Errorf("%d polls are parked, want 1", parked)
	}
}

// A proxy that names a version that was never sent to it, such as a future one or one of another epoch or proxy, gets
// full tables. With the guard disabled, some of these proxies must end up with wrong tables.
func TestUnknownVersionGetsFullState(t *testing.T) {
	for _, disabled := range [][]controlplane.Guard{nil, {controlplane.GuardVersions}} {
		wrong := 0
		for _, alter := range []func(p *testProxy){
			func(p *testProxy) { p.version += 7 },
			func(p *testProxy) { p.version = 0 },
			func(p *testProxy) { p.epoch++ },
			func(p *testProxy) { *p = testProxy{weights: map[string]float64{}, admissions: p.admissions} }, // the proxy has restarted
			func(p *testProxy) { p.version = math.MaxUint64 },
		} {
			f := newFixture(t, testSite(1, disabled...), DefaultLimits)
			f.advance(1, "a")
			f.server.PollClosed(f.now, f.lastPoll)
			p := f.proxies["a"]
			p.polling = false
			p.weights = map[string]float64{}
			alter(p)
			f.advance(0.5, "a")
			wrong += boolToInt(f.check("a") != "")
		}
		if (wrong > 0) != (disabled != nil) {
			t.Errorf("with disabled guards %v, %d of 5 proxies hold wrong tables; want some if a guard is disabled, none otherwise", disabled, wrong)
		}
	}
}

func TestRestartWithAllPollsParked(t *testing.T) {
	site := testSite(200)
	f := newFixture(t, site, DefaultLimits)
	var all []string
	for i := range 200 {
		all = append(all, fmt.Sprint("p", i))
	}
	f.advance(3, all...)
	f.startCoordinator(site, DefaultLimits)
	f.advance(4, all...)
	for _, uid := range all {
		f.expectCurrent(uid)
	}
	if f.fleet.UpToDate() != 200 || f.server.Stats.UnknownVersions != 200 {
		t.Errorf("%d proxies are up to date, %d polls named an unknown version; want 200 of each", f.fleet.UpToDate(), f.server.Stats.UnknownVersions)
	}
}

func TestClockJumps(t *testing.T) {
	f := newFixture(t, testSite(1), DefaultLimits)
	f.advance(1, "a")
	f.now += 3600
	f.advance(0.5, "a")
	f.drain(1, true)
	f.advance(0.3, "a")
	f.expectCurrent("a")
	f.now -= 1800 // a monotonic clock never does this, but the server tolerates it
	f.advance(0.5, "a")
	f.now += 1801
	f.drain(2, true)
	f.advance(0.5, "a")
	f.expectCurrent("a")
}

// Answers carry the ownership epoch, and a coordinator does not serve a proxy that has followed a newer one.
func TestOwnershipEpoch(t *testing.T) {
	f := newFixture(t, testSite(2), DefaultLimits)
	epoch := uint64(7)
	f.fleet.SetOwnership(func(float64, string) bool { return true }, func() uint64 { return epoch }, nil)
	f.poll("relay-0", 5)
	f.advance(1)
	first := f.proxies["relay-0"]
	if first.latest == nil || first.latest.OwnershipEpoch != 7 {
		t.Fatalf("the answer is %+v, want ownership epoch 7", first.latest)
	}
	f.lastPoll++
	f.uids[f.lastPoll] = "relay-1"
	f.pollers[f.lastPoll] = f.proxy("relay-1")
	f.server.HandlePoll(f.now, f.lastPoll, Poll{UID: "relay-1", Wait: 5, OwnershipEpoch: 8})
	if reasons := f.rejected["relay-1"]; len(reasons) != 1 || reasons[0] != EpochOutdated {
		t.Errorf("the poll of a proxy that has followed epoch 8 was rejected with %v, want EpochOutdated", reasons)
	}
	epoch = 8
	f.lastPoll++
	f.uids[f.lastPoll] = "relay-1"
	f.pollers[f.lastPoll] = f.proxy("relay-1")
	f.server.HandlePoll(f.now, f.lastPoll, Poll{UID: "relay-1", Wait: 5, OwnershipEpoch: 8})
	f.advance(1)
	if len(f.rejected["relay-1"]) != 1 || f.proxies["relay-1"].latest == nil || f.proxies["relay-1"].latest.OwnershipEpoch != 8 {
		t.Errorf("the poll was not answered in epoch 8; rejections: %v", f.rejected["relay-1"])
	}
}
