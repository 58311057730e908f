package longpoll

import (
	"fmt"
	"slices"
	"testing"

	"snowquay/internal/core/controlplane"
)

// 5,000 proxies poll at once after their connections have broken. The retries of the rejected ones are spread over
// time, all proxies are served, and only the join rate and the channel determine how long it takes.
func TestReconnectingProxiesAreSpread(t *testing.T) {
	const n = 5000
	limits := DefaultLimits
	site := testSite(n)
	site.Channel.EntriesPerSecond = 20000
	site.Channel.MaxQueued = 30000
	f := newFixture(t, site, limits)
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint("p", i))
		f.poll(all[i], 55)
	}
	rejected := n - int(limits.JoinBurst)
	if len(f.retryDelays) != rejected {
		t.Fatalf("%d polls were rejected, want all beyond the burst of joins", len(f.retryDelays))
	}
	slices.Sort(f.retryDelays)
	if f.retryDelays[0] < limits.RetryAfter || f.retryDelays[rejected-1] > 2*limits.RetryAfter {
		t.Errorf("rejected proxies retry after %v to %v s, want one to two times RetryAfter", f.retryDelays[0], f.retryDelays[rejected-1])
	}
	for i := range 10 { // about 450 in each tenth of the interval
		count := 0
		for _, delay := range f.retryDelays {
			if from := limits.RetryAfter * (1 + float64(i)/10); delay >= from && delay < from+limits.RetryAfter/10 {
				count++
			}
		}
		if count < 350 || count > 550 {
			t.Errorf("%d of %d rejected proxies retry in one tenth of the interval, want 350 to 550", count, rejected)
		}
	}
	start := f.now
	entries := 0
	for f.fleet.UpToDate() < n && f.now < start+60 {
		for _, uid := range all {
			if proxy := f.proxies[uid]; !proxy.polling && f.now >= f.retryAt[uid] {
				f.poll(uid, 55)
			}
		}
		f.step(0.02)
	}
	for _, uid := range all {
		entries += len(f.proxies[uid].weights) + 3
	}
	elapsed := f.now - start
	minimum := max(float64(entries)/site.Channel.EntriesPerSecond, float64(rejected)/limits.JoinRate)
	if f.fleet.UpToDate() != n || elapsed > 1.5*minimum+2*limits.RetryAfter {
		t.Errorf("%d proxies are up to date after %.1f s, want all 5000; join rate and channel allow %.1f s, of which 1.5 times and two retry times are accepted", f.fleet.UpToDate(), elapsed, minimum)
	}
	t.Logf("all %d proxies are up to date after %.1f s; join rate and channel allow %.1f s", n, elapsed, minimum)
}

// Half of the proxies have no parked poll when a drain starts, and do not poll for 2.7 seconds. They are dropped before the
// drain deadline of 3 seconds, and get the newest tables when they poll again.
func TestDrainBetweenPolls(t *testing.T) {
	f := newFixture(t, testSite(4), DefaultLimits)
	f.advance(1, "a", "b", "c", "d")
	for _, uid := range []string{"a", "b"} { // their connections break
		for id, sender := range f.uids {
			if sender == uid {
				f.server.PollClosed(f.now, id)
			}
		}
		f.proxies[uid].polling = false
	}
	f.drain(1, true)
	f.advance(0.2, "c", "d")
	f.expectCurrent("c")
	drained := f.now
	for f.now < drained+2.5 {
		f.advance(0.1, "c", "d")
	}
	if f.fleet.Joined() != 2 || len(f.dropped) != 2 {
		t.Errorf("%d proxies are joined 2.7 s after the start of the drain; the two that cannot be notified must not be", f.fleet.Joined())
	}
	f.advance(1, "a", "b", "c", "d")
	for _, uid := range []string{"a", "b", "c", "d"} {
		f.expectCurrent(uid)
	}
}

type otherFrontend struct {
	displaced int
	sent      int
	fleet     *controlplane.Fleet
}

func (f *otherFrontend) Deliver(now float64, proxy *controlplane.Proxy) {
	f.sent++
	f.fleet.MarkSent(now, proxy, 1)
	f.fleet.MarkDelivered(now, proxy)
}
func (f *otherFrontend) Displaced(float64, *controlplane.Proxy) { f.displaced++ }

func TestProxyMovesBetweenFrontends(t *testing.T) {
	f := newFixture(t, testSite(1), DefaultLimits)
	other := &otherFrontend{fleet: f.fleet}
	if _, err := f.fleet.Join(f.now, "a", other, true); err != nil {
		t.Fatal(err)
	}
	f.advance(0.5)
	f.drain(1, true)
	f.step(0.01)
	f.advance(0.5, "a") // the drain is in progress
	if f.expectCurrent("a"); other.displaced != 1 || f.fleet.Joined() != 1 {
		t.Errorf("%d proxies were displaced from the other frontend, %d are joined; want 1, 1", other.displaced, f.fleet.Joined())
	}
	if _, err := f.fleet.Join(f.now, "a", other, true); err != nil {
		t.Fatal(err)
	}
	if got := f.rejected["a"]; len(got) != 1 || got[0] != JoinedElsewhere {
		t.Errorf("its poll was rejected with %v, want JoinedElsewhere", got)
	}
	sent := other.sent
	f.advance(0.5)
	if other.sent == sent || f.fleet.Joined() != 1 {
		t.Errorf("the other frontend sent %d messages, want some; %d proxies are joined, want 1", other.sent-sent, f.fleet.Joined())
	}
}

// Drains are sent even when the limit on unacknowledged answers is reached, up to the reserve. A new proxy can join
// meanwhile, and a proxy that polls without pause is rejected.
func TestDrainReserve(t *testing.T) {
	limits := DefaultLimits
	limits.MaxUnacknowledged = 3
	limits.DrainReserve = 100
	f := newFixture(t, testSite(20), limits)
	var all []string
	for i := range 20 {
		all = append(all, fmt.Sprint("p", i))
		f.poll(all[i], 30)
	}
	f.advance(0.5)
	if _, unacknowledged := f.server.Parked(); unacknowledged != 3 {
		t.Fatalf("%d answers are unacknowledged, want 3", unacknowledged)
	}
	f.advance(3, all...)
	for _, uid := range all {
		f.expectCurrent(uid)
	}
	f.drain(1, true)
	f.step(0.06) // no proxy polls again; the drain is sent to all of them
	if _, unacknowledged := f.server.Parked(); unacknowledged != 20 {
		t.Errorf("the drain was sent to %d proxies, want 20", unacknowledged)
	}
	if f.poll("x", 1); f.server.Stats.Joins != 21 {
		t.Error("a new proxy could not join")
	}
	for range 40 {
		f.poll("x", 1)
	}
	if !slices.Contains(f.rejected["x"], PollRateExceeded) {
		t.Error("a proxy that polls without pause is not rejected")
	}
}
