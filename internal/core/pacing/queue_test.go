package pacing

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var testChannel = balancer.Channel{
	EntriesPerSecond: 100,
	MessageOverhead:  3,
	MaxQueued:        1000,
	MaxMessages:      3,
	MessageWindow:    10,
}

// sendAll sends a message with some entries to every proxy that is due.
func sendAll(q *Queue, now, entries float64) (sent []balancer.Proxy) {
	for {
		proxy, ok := q.Next(now)
		if !ok {
			return sent
		}
		sent = append(sent, proxy)
		q.MarkSent(now, proxy, entries)
	}
}

func TestNextIsByPriorityThenByWait(t *testing.T) {
	q := New(testChannel, false)
	q.Add(1, 1, 2, Normal)
	q.Add(1, 2, 2, Normal)
	q.Add(1, 3, 2, Urgent)
	q.Add(1, 2, 2, Urgent) // raises the priority of proxy 2
	var order []balancer.Proxy
	for now := 1.0; now < 2; now += 0.1 {
		order = append(order, sendAll(q, now, 2)...)
	}
	if !slices.Equal(order, []balancer.Proxy{3, 2, 1}) {
		t.Errorf("order %v, want [3 2 1]", order)
	}
	if entries, peak := q.TotalQueued(); entries != 0 || peak != 2+3+2+3+2+3+2 {
		t.Errorf("%v entries are queued, want 0; peak %v, want 17", entries, peak)
	}
}

func TestSuspendedProxyKeepsItsEntries(t *testing.T) {
	q := New(testChannel, false)
	q.Suspend(1)
	q.Add(1, 1, 5, Urgent)
	if got := sendAll(q, 1, 5); len(got) != 0 || !q.IsUrgent(1) {
		t.Errorf("proxies %v were sent messages while suspended, or the entries are not urgent", got)
	}
	q.Resume(2, 1)
	if got := sendAll(q, 2, 5); len(got) != 1 {
		t.Errorf("proxies %v were sent messages after Resume, want one", got)
	}
}

func TestMessageLimit(t *testing.T) {
	for _, unpaced := range []bool{false, true} {
		q := New(testChannel, unpaced)
		var sentAt []float64
		for now := 1.0; now < 25; now += 0.25 {
			q.Add(now, 1, 1, Urgent)
			for range sendAll(q, now, 1) {
				sentAt = append(sentAt, now)
			}
		}
		worst := 0 // maximum number of messages in one window
		for i, at := range sentAt {
			inWindow := 0
			for _, other := range sentAt[i:] {
				if other < at+testChannel.MessageWindow {
					inWindow++
				}
			}
			worst = max(worst, inWindow)
		}
		if unpaced != (worst > testChannel.MaxMessages) || !unpaced && len(sentAt) < 7 {
			t.Errorf("unpaced %t: up to %d messages in a window, %d in total", unpaced, worst, len(sentAt))
		}
	}
}

// sending is a message that was sent.
type sending struct {
	at      float64
	entries float64 // with the overhead of the message
}

// For any sequence of calls, the rate limit holds over any period, and the count of queued entries is correct.
func TestRateAndCount(t *testing.T) {
	channel := testChannel
	channel.MaxMessages = 0
	rapid.Check(t, func(rt *rapid.T) {
		q := New(channel, false)
		now := 10.0
		var sent []sending
		waiting := map[balancer.Proxy]float64{}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			proxy := balancer.Proxy(rapid.IntRange(0, 5).Draw(rt, "proxy"))
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0, 1:
				entries := float64(rapid.IntRange(1, 9).Draw(rt, "entries"))
				q.Add(now, proxy, entries, Priority(rapid.IntRange(0, 1).Draw(rt, "priority")))
				waiting[proxy] += entries
			case 2:
				q.Suspend(proxy)
			case 3:
				q.Resume(now, proxy)
			case 4:
				q.Forget(proxy)
				delete(waiting, proxy)
			default:
				now += rapid.Float64Range(0, 0.3).Draw(rt, "seconds")
				sent = append(sent, sendWaiting(rt, q, now, waiting)...)
			}
			sum := 0.0
			for _, entries := range waiting {
				sum += entries + channel.MessageOverhead
			}
			if got, _ := q.TotalQueued(); math.Abs(got-sum) > 1e-6 {
				rt.Fatalf("%v entries are queued, TotalQueued returns %v", sum, got)
			}
		}
		checkRate(rt, channel, sent)
	})
}

// sendWaiting sends to every proxy that is due all entries that it is waiting for.
func sendWaiting(rt *rapid.T, q *Queue, now float64, waiting map[balancer.Proxy]float64) (sent []sending) {
	for {
		proxy, ok := q.Next(now)
		if !ok {
			return sent
		}
		if waiting[proxy] == 0 {
			rt.Fatalf("proxy %d is due without queued entries", proxy)
		}
		sent = append(sent, sending{at: now, entries: waiting[proxy] + testChannel.MessageOverhead})
		q.MarkSent(now, proxy, waiting[proxy])
		delete(waiting, proxy)
	}
}

// checkRate checks that in no period more entries are sent than the rate and the burst allow.
func checkRate(rt *rapid.T, channel balancer.Channel, sent []sending) {
	burst := max(channel.EntriesPerSecond*burstSeconds, 1)
	for i, first := range sent {
		entries := 0.0
		for _, s := range sent[i:] {
			if allowed := (s.at-first.at)*channel.EntriesPerSecond + burst; entries > allowed+1e-6 {
				rt.Fatalf("%v entries were sent within %v s, at most %v are allowed", entries, s.at-first.at, allowed)
			}
			entries += s.entries
		}
	}
}
