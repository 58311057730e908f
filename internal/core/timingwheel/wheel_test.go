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

// Held against a plain list: the same timers fire, in the same tick, whatever is set, moved and taken back.
func TestAgainstAPlainList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const tick = 0.01
		now := 1000.0
		w := New[int](now, tick)
		timers, plain := make([]Timer[int], 40), map[int]float64{}
		for i := range timers {
			timers[i].Value = i
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(timers)-1).Draw(rt, "timer")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				at := now + rapid.SampledFrom([]float64{-1, 0, 0.003, 0.5, 0.64, 3, 40.96, 41, 3000, 1e5}).Draw(rt, "in")
				w.Set(&timers[i], at)
				plain[i] = max(at, now)
			case 2:
				w.Cancel(&timers[i])
				delete(plain, i)
			default:
				now += rapid.SampledFrom([]float64{0, 0.01, 0.3, 0.64, 2, 41, 2700, 50000}).Draw(rt, "seconds")
				last := -1.0
				w.Advance(now, func(i int) {
					at, ok := plain[i]
					if !ok || at > now+1e-6 {
						rt.Fatalf("%d fired at %v, due at %v (set %t)", i, now, at, ok)
					}
					if at < last-tick*1.01 && at > now {
						rt.Fatalf("%d fired after one due at %v", i, last)
					}
					last = at
					delete(plain, i)
				})
				for i, at := range plain {
					if at < now-2*tick {
						rt.Fatalf("%d was due at %v and has not fired at %v", i, at, now)
					}
				}
			}
			if w.Len() != len(plain) {
				rt.Fatalf("%d are set, it says %d", len(plain), w.Len())
			}
		}
	})
}

type entry struct {
	at    float64
	index int
}
type byTime []*entry

func (h byTime) Len() int           { return len(h) }
func (h byTime) Less(i, j int) bool { return h[i].at < h[j].at }
func (h byTime) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *byTime) Push(x any)        { e := x.(*entry); e.index = len(*h); *h = append(*h, e) }
func (h *byTime) Pop() any          { e := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; return e }

// A poll is answered before its wait ends: its timer is taken back and set anew. So many waits stand meanwhile.
func BenchmarkMove(b *testing.B) {
	for _, n := range []int{10_000, 1_000_000} {
		chance := rand.New(rand.NewPCG(1, 2))
		b.Run(fmt.Sprint("wheel/", n), func(b *testing.B) {
			w, timers := New[int](1000, 0.01), make([]Timer[int], n)
			for i := range timers {
				w.Set(&timers[i], 1000+30*chance.Float64())
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				w.Set(&timers[i%n], 1000+30*chance.Float64())
			}
		})
		b.Run(fmt.Sprint("heap/", n), func(b *testing.B) {
			var h byTime
			all := make([]*entry, n)
			for i := range all {
				all[i] = &entry{at: 30 * chance.Float64()}
				heap.Push(&h, all[i])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e := all[i%n]
				e.at = 30 * chance.Float64()
				heap.Fix(&h, e.index)
			}
		})
		b.Run(fmt.Sprint("runtime/", n), func(b *testing.B) {
			all := make([]*time.Timer, n)
			for i := range all {
				all[i] = time.AfterFunc(time.Hour+time.Duration(chance.Int64N(int64(time.Hour))), func() {})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				all[i%n].Reset(time.Hour + time.Duration(chance.Int64N(int64(time.Hour))))
			}
			b.StopTimer()
			for _, t := range all {
				t.Stop()
			}
		})
	}
}
