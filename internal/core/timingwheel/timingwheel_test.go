package timingwheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	testStart = 1000.0 // clock time in seconds
	testTick  = 0.01   // seconds
)

// wheelModel compares a wheel with a plain map of the times at which timers are due.
type wheelModel struct {
	wheel  *Wheel[int]
	timers []Timer[int]
	due    map[int]float64 // clock times in seconds of the timers that are set
	now    float64         // clock time in seconds
}

func newWheelModel(timers int) *wheelModel {
	model := &wheelModel{
		wheel:  New[int](testStart, testTick),
		timers: make([]Timer[int], timers),
		due:    map[int]float64{},
		now:    testStart,
	}
	for i := range model.timers {
		model.timers[i].Value = i
	}
	return model
}

func (m *wheelModel) set(timer int, in float64) {
	at := m.now + in
	m.wheel.Set(&m.timers[timer], at)
	m.due[timer] = max(at, m.now)
}

func (m *wheelModel) cancel(timer int) {
	m.wheel.Cancel(&m.timers[timer])
	delete(m.due, timer)
}

// advance fails the test if a timer expires that is not due, or out of order, or if one that is due does not expire.
func (m *wheelModel) advance(t *rapid.T, seconds float64) {
	m.now += seconds
	previous := -1.0
	m.wheel.Advance(m.now, func(timer int) {
		at, set := m.due[timer]
		if !set || at > m.now+1e-6 {
			t.Fatalf("timer %d expired at %v, due at %v (set %t)", timer, m.now, at, set)
		}
		if at < previous-testTick*1.01 && at > m.now {
			t.Fatalf("timer %d expired after one due at %v", timer, previous)
		}
		previous = at
		delete(m.due, timer)
	})
	for timer, at := range m.due {
		if at < m.now-2*testTick {
			t.Fatalf("timer %d was due at %v and has not expired at %v", timer, at, m.now)
		}
	}
}

// The same timers expire, in the same tick, as with a plain list, whatever is set, moved and cancelled.
func TestExpiresLikePlainList(t *testing.T) {
	delays := []float64{-1, 0, 0.003, 0.5, 0.64, 3, 40.96, 41, 3000, 1e5}
	steps := []float64{0, 0.01, 0.3, 0.64, 2, 41, 2700, 50000}
	rapid.Check(t, func(t *rapid.T) {
		model := newWheelModel(40)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			timer := rapid.IntRange(0, len(model.timers)-1).Draw(t, "timer")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				model.set(timer, rapid.SampledFrom(delays).Draw(t, "delay"))
			case 2:
				model.cancel(timer)
			default:
				model.advance(t, rapid.SampledFrom(steps).Draw(t, "seconds"))
			}
			if model.wheel.Len() != len(model.due) {
				t.Fatalf("%d timers are set, the length is %d", len(model.due), model.wheel.Len())
			}
		}
	})
}

// entry is a timer of a heap, to compare with.
type entry struct {
	at    float64 // clock time in seconds
	index int
}

// byTime is a heap.Interface of entries by time.
type byTime []*entry

func (h byTime) Len() int           { return len(h) }
func (h byTime) Less(i, j int) bool { return h[i].at < h[j].at }

func (h byTime) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *byTime) Push(x any) {
	added := x.(*entry)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *byTime) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// A long poll is mostly answered before its wait ends: its timer is moved, beside those of all other polls.
func BenchmarkMove(b *testing.B) {
	for _, timers := range []int{10_000, 1_000_000} {
		random := rand.New(rand.NewPCG(1, 2))
		b.Run(fmt.Sprint("wheel/", timers), func(b *testing.B) { benchmarkWheel(b, timers, random) })
		b.Run(fmt.Sprint("heap/", timers), func(b *testing.B) { benchmarkHeap(b, timers, random) })
		b.Run(fmt.Sprint("runtime/", timers), func(b *testing.B) { benchmarkRuntime(b, timers, random) })
	}
}

func benchmarkWheel(b *testing.B, count int, random *rand.Rand) {
	wheel := New[int](testStart, testTick)
	timers := make([]Timer[int], count)
	for i := range timers {
		wheel.Set(&timers[i], testStart+30*random.Float64())
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		wheel.Set(&timers[i%count], testStart+30*random.Float64())
	}
}

func benchmarkHeap(b *testing.B, count int, random *rand.Rand) {
	var timers byTime
	entries := make([]*entry, count)
	for i := range entries {
		entries[i] = &entry{at: 30 * random.Float64()}
		heap.Push(&timers, entries[i])
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		moved := entries[i%count]
		moved.at = 30 * random.Float64()
		heap.Fix(&timers, moved.index)
	}
}

func benchmarkRuntime(b *testing.B, count int, random *rand.Rand) {
	randomDelay := func() time.Duration { return time.Hour + time.Duration(random.Int64N(int64(time.Hour))) }
	timers := make([]*time.Timer, count)
	for i := range timers {
		timers[i] = time.AfterFunc(randomDelay(), func() {})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		timers[i%count].Reset(randomDelay())
	}
	b.StopTimer()
	for _, timer := range timers {
		timer.Stop()
	}
}
