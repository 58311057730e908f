package longpoll

import (
	"fmt"
	"slices"
	"testing"

	"snowquay/internal/core/controlplane"
)

// 5,000 proxies poll at once after their connections broke: the rejected ones come back spread out, all are served, and
// joins and channel alone determine how long it takes.
func TestReconnectingProxiesAreSpread(t *testing.T) {
	const n = 5000
	limits := DefaultLimits
	x := testSite(n)
	x.Channel.EntriesPerSecond = 20000
	x.Channel.MaxQueued = 30000
	s := newFixture(t, x, limits)
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint("p", i))
		s.poll(all[i], 55)
	}
	away := n - int(limits.JoinBurst)
	if len(s.retryDelays) != away {
		t.Fatalf("%d were rejected", len(s.retryDelays))
	}
	slices.Sort(s.retryDelays)
	if s.retryDelays[0] < limits.RetryAfter || s.retryDelays[away-1] > 2*limits.RetryAfter {
		t.Errorf("they come back after %v to %v s", s.retryDelays[0], s.retryDelays[away-1])
	}
	for i := range 10 { // about 450 in each tenth of the time
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
	begun := s.now
	lines := 0
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
	took := s.now - begun
	least := max(float64(lines)/x.Channel.EntriesPerSecond, float64(away)/limits.JoinRate)
	if s.fleet.UpToDate() != n || took > 1.5*least+2*limits.RetryAfter {
		t.Errorf("%d hold the tables after %.1f s; joins and channel need %.1f s", s.fleet.UpToDate(), took, least)
	}
	t.Logf("%d proxies hold the tables after %.1f s; joins and channel need %.1f s", n, took, least)
}

// Half of the proxies are between two polls when a drain comes, and do not poll for three seconds.
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
		t.Errorf("%d are joined 2.7 s after the drain: the two that cannot be notified must not be", s.fleet.Joined())
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
	s.advance(0.5, "a") // during the drain
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
	s.advance(0.5)
	if other.sent == sent || s.fleet.Joined() != 1 {
		t.Errorf("%d messages by the other frontend, %d joined", other.sent-sent, s.fleet.Joined())
	}
}

// Drains are sent beyond the limit of unacknowledged answers.
func TestDrainsHaveAReserve(t *testing.T) {
	limits := DefaultLimits
	limits.MaxUnacknowledged = 3
	limits.DrainReserve = 100
	s := newFixture(t, testSite(20), limits)
	var all []string
	for i := range 20 {
		all = append(all, fmt.Sprint("p", i))
		s.poll(all[i], 30)
	}
	s.advance(0.5)
	if _, under := s.server.Parked(); under != 3 {
		t.Fatalf("%d answers are unacknowledged", under)
	}
	s.advance(3, all...)
	for _, uid := range all {
		s.expectCurrent(uid)
	}
	s.drain(1, true)
	s.step(0.06) // nobody polls again, and the drain is sent to all of them
	if _, under := s.server.Parked(); under != 20 {
		t.Errorf("the drain was sent to %d", under)
	}
	if s.poll("x", 1); s.server.Stats.Joins != 21 {
		t.Error("a new proxy could not join")
	}
	for range 40 {
		s.poll("x", 1)
	}
	if !slices.Contains(s.rejected["x"], PollRateExceeded) {
		t.Error("a proxy that polls all the time is not rejected")
	}
}
