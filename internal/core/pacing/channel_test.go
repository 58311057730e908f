package pacing

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var limits = balancer.Channel{EntriesPerSecond: 100, MessageOverhead: 3, MaxQueued: 1000, MaxMessages: 3, MessageWindow: 10}

func drain(q *Queue, now float64, lines float64) (got []balancer.Proxy) {
	for {
		p, ok := q.Next(now)
		if !ok {
			return got
		}
		got = append(got, p)
		q.MarkSent(now, p, lines)
	}
}

func TestUrgentFirstThenByAge(t *testing.T) {
	q := New(limits, false)
	q.Add(1, 1, 2, Ordinary)
	q.Add(1, 2, 2, Ordinary)
	q.Add(1, 3, 2, Urgent)
	q.Add(1, 2, 2, Urgent) // it moves up
	var order []balancer.Proxy
	for now := 1.0; now < 2; now += 0.1 {
		order = append(order, drain(q, now, 2)...)
	}
	if len(order) != 3 || order[0] != 3 || order[1] != 2 || order[2] != 1 {
		t.Errorf("%v", order)
	}
	if lines, peak := q.TotalQueued(); lines != 0 || peak != 2+3+2+3+2+3+2 {
		t.Errorf("%v lines wait, %v did", lines, peak)
	}
}

func TestAHeldProxyKeepsWhatItWaitsFor(t *testing.T) {
	q := New(limits, false)
	q.Suspend(1)
	q.Add(1, 1, 5, Urgent)
	if got := drain(q, 1, 5); len(got) != 0 || !q.IsUrgent(1) {
		t.Errorf("%v was sent to", got)
	}
	q.Resume(2, 1)
	if got := drain(q, 2, 5); len(got) != 1 {
		t.Errorf("%v", got)
	}
}

func TestTheMessageLimitHoldsBack(t *testing.T) {
	for _, unpaced := range []bool{false, true} {
		q, sent := New(limits, unpaced), []float64{}
		for now := 1.0; now < 25; now += 0.25 {
			q.Add(now, 1, 1, Urgent)
			for range drain(q, now, 1) {
				sent = append(sent, now)
			}
		}
		worst := 0
		for i, at := range sent {
			n := 0
			for _, other := range sent[i:] {
				if other < at+limits.MessageWindow {
					n++
				}
			}
			worst = max(worst, n)
		}
		if unpaced != (worst > limits.MaxMessages) || !unpaced && len(sent) < 7 {
			t.Errorf("unpaced %t: %d messages in a window, %d in all", unpaced, worst, len(sent))
		}
	}
}

// Whatever is done in whatever order: the pace is kept over any stretch, and the count of waiting lines is right.
func TestPaceAndCount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := limits
		l.MaxMessages = 0
		q, now := New(l, false), 10.0
		type sending struct{ at, lines float64 }
		var sent []sending
		waits := map[balancer.Proxy]float64{}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			p := balancer.Proxy(rapid.IntRange(0, 5).Draw(rt, "proxy"))
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0, 1:
				n := float64(rapid.IntRange(1, 9).Draw(rt, "lines"))
				q.Add(now, p, n, Priority(rapid.IntRange(0, 1).Draw(rt, "turn")))
				waits[p] += n
			case 2:
				q.Suspend(p)
			case 3:
				q.Resume(now, p)
			case 4:
				q.Forget(p)
				delete(waits, p)
			default:
				now += rapid.Float64Range(0, 0.3).Draw(rt, "seconds")
				for {
					p, ok := q.Next(now)
					if !ok {
						break
					}
					if waits[p] == 0 {
						rt.Fatalf("proxy %d waits for nothing", p)
					}
					sent = append(sent, sending{now, waits[p] + l.MessageOverhead})
					q.MarkSent(now, p, waits[p])
					delete(waits, p)
				}
			}
			sum := 0.0
			for _, n := range waits {
				sum += n + l.MessageOverhead
			}
			if got, _ := q.TotalQueued(); math.Abs(got-sum) > 1e-6 {
				rt.Fatalf("%v lines wait, it says %v", sum, got)
			}
		}
		for i := range sent {
			lines := 0.0
			for _, s := range sent[i:] {
				if may := (s.at-sent[i].at)*l.EntriesPerSecond + max(l.EntriesPerSecond*burstFor, 1); lines > may+1e-6 {
					rt.Fatalf("%v lines had left within %v s, %v may", lines, s.at-sent[i].at, may)
				}
				lines += s.lines
			}
		}
	})
}
