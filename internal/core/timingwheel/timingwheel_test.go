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

// wheelModel compares a wheel with a map of the times at which the timers are due.
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

// advance advances the wheel. It fails the test if a timer expires early or out of order, or if a timer that is due does not expire.
func (m *wheelModel) advance(t *rapid.T, seconds float64) {
	m.now += seconds
	previous := -1.0
	m.wheel.Advance(m.now, func(timer int) {
		at, set := m.due[timer]
		if !set || at > m.now+1e-6 {
			t.Fatalf("timer %d expired at %v, due at %v (set %t)", timer, m.now, at, set)
		}
		if at < previous-testTick*1.01 && at > m.now {
			t.Fatalf("timer %d expired out of order, after one due at %v", timer, previous)
		}
		previous = at
		delete(m.due, timer)
	})
	for timer, at := range m.due {
		if at < m.now-2*testTick {
			t.Fatalf("timer %d was due at %v but has not expired at %v", timer, at, m.now)
		}
	}
}

// For any sequence of operations, the wheel expires the same timers at the same ticks as a map of their times.
func TestExpirationMatchesModel(t *testing.T) {
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
				t.Fatalf("%d timers are set, but the length is %d", len(model.due), model.wheel.Len())
			}
		}
	})
}

// heapTimer is a timer in a timerHeap, which the benchmarks compare with the wheel.
type heapTimer struct {
	at    float64 // clock time in seconds
	index int
}

// timerHeap implements heap.Interface. Its timers are ordered by time.
type timerHeap []*heapTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *timerHeap) Push(x any) {
	added := x.(*heapTimer)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// Measures rescheduling a timer among many others. Most long polls are answered before their wait ends, which reschedules their timers.
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
	var timers timerHeap
	entries := make([]*heapTimer, count)
	for i := range entries {
		entries[i] = &heapTimer{at: 30 * random.Float64()}
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
