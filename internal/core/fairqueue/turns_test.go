package fairqueue

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// play lets keys that are always due share a loop for some seconds; each look takes what its key is given.
func play(t *Queue[int], takes []float64, seconds float64, urgent int) (spent []float64) {
	for now := 1000.0; now < 1000+seconds; now += 0.005 {
		for k := range takes {
			t.MarkDue(now, k, k == urgent)
		}
		for {
			k, ok := t.Next(now)
			if !ok {
				break
			}
			t.Charge(k, takes[k])
			t.MarkDue(now, k, k == urgent)
		}
	}
	for k := range takes {
		s, _ := t.Usage(k)
		spent = append(spent, s)
	}
	return spent
}

func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		terms := DefaultConfig
		x := New[int](1000, terms)
		n := rapid.IntRange(2, 8).Draw(r, "keys")
		takes, weights, all := make([]float64, n), make([]float64, n), 0.0
		for k := range n {
			takes[k] = rapid.Float64Range(1e-5, 2e-3).Draw(r, "takes")
			weights[k] = float64(rapid.IntRange(1, 8).Draw(r, "weight"))
			all += weights[k]
			x.Set(1000, k, weights[k])
		}
		spent := play(x, takes, 20, -1)
		sum := 0.0
		for _, s := range spent {
			sum += s
		}
		if sum > terms.Rate*20+terms.Burst+2e-3 || sum < terms.Rate*20*0.95 {
			r.Fatalf("%.2f s of work were spent in 20 s at %.2f", sum, terms.Rate)
		}
		for k, s := range spent {
			if want := sum * weights[k] / all; math.Abs(s-want) > 0.05*want+5e-3 {
				r.Fatalf("key %d of weight %v has %.3f of %.3f, %.3f are its part", k, weights[k], s, sum, want)
			}
		}
	})
}

// One that asks for little has its turn at once, however much others ask for.
func TestLittleWaitsForNobody(t *testing.T) {
	x := New[int](1000, DefaultConfig)
	for k := range 21 {
		x.Set(1000, k, 1)
	}
	longest := 0.0
	asked := 0.0
	for now := 1000.0; now < 1020; now += 0.005 {
		for k := range 20 {
			x.MarkDue(now, k, false)
		}
		if int(now*1000)%250 < 5 && asked == 0 {
			x.MarkDue(now, 20, false)
			asked = now
		}
		for {
			k, ok := x.Next(now)
			if !ok {
				break
			}
			if k == 20 {
				longest, asked = max(longest, now-asked), 0
				x.Charge(k, 1e-4)
				continue
			}
			x.Charge(k, 2e-3)
			x.MarkDue(now, k, false)
		}
	}
	if longest > 0.011 {
		t.Errorf("it waited %.3f s", longest)
	}
}

// Urgent looks go first, but not all the time: a tenant that orders nothing but drains has no more than its part of them.
func TestUrgentIsBounded(t *testing.T) {
	x := New[int](1000, DefaultConfig)
	for k := range 10 {
		x.Set(1000, k, 1)
	}
	takes := make([]float64, 10)
	for k := range takes {
		takes[k] = 1e-3
	}
	spent := play(x, takes, 20, 3)
	if most := 20*DefaultConfig.Rate/10 + 22*DefaultConfig.Urgent; spent[3] > most {
		t.Errorf("it took %.2f s, at most %.2f are its part", spent[3], most)
	}
	// Work is used up, and still a drain is looked at.
	y := New[int](1000, DefaultConfig)
	y.Set(1000, 1, 1)
	y.Set(1000, 2, 1)
	y.Charge(1, DefaultConfig.Burst)
	y.MarkDue(1000, 1, false)
	y.MarkDue(1000, 2, true)
	if k, ok := y.Next(1000); !ok || k != 2 {
		t.Errorf("%v %v has the turn, not the drain", k, ok)
	}
	y.Charge(2, 1e-3)
	if k, ok := y.Next(1000); ok {
		t.Errorf("%v has a turn though the work is used up", k)
	}
}

func TestWokenAndRemoved(t *testing.T) {
	x := New[string](1000, DefaultConfig)
	x.Set(1000, "a", 1)
	x.ScheduleAt("a", 1000.5)
	x.ScheduleAt("b", 1000.1) // nobody
	if _, ok := x.Next(1000.4); ok {
		t.Error("it has its turn before it is due")
	}
	if k, ok := x.Next(1000.51); !ok || k != "a" {
		t.Error("it is not due")
	}
	x.Charge("a", 0)
	x.MarkDue(1001, "a", false)
	x.Remove("a")
	if k, ok := x.Next(1002); ok || x.Len() != 0 {
		t.Errorf("%q has a turn after its end", k)
	}
}

// scan is the plain way: all are looked through for the one that is furthest behind.
type scan struct {
	due  []bool
	virt []float64
}

func (s *scan) next() int {
	best := -1
	for k, d := range s.due {
		if d && (best < 0 || s.virt[k] < s.virt[best]) {
			best = k
		}
	}
	return best
}

func BenchmarkTurn(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprintf("heap-%d", n), func(b *testing.B) {
			terms := DefaultConfig
			terms.Rate, terms.Burst = 1e9, 1e9
			x := New[int](1000, terms)
			for k := range n {
				x.Set(1000, k, 1)
				x.MarkDue(1000, k, false)
			}
			for b.Loop() {
				k, _ := x.Next(1000)
				x.Charge(k, 1e-5)
				x.MarkDue(1000, k, false)
			}
		})
		b.Run(fmt.Sprintf("scan-%d", n), func(b *testing.B) {
			x := &scan{make([]bool, n), make([]float64, n)}
			for k := range n {
				x.due[k] = true
			}
			for b.Loop() {
				x.virt[x.next()] += 1e-5
			}
		})
	}
}

// Ten tenants ask for as much as they can, ten for little: how long do the latter wait, beside one after the other in the order in which
// they came? Time passes as looks take it.
func TestAgainstOneAfterTheOther(t *testing.T) {
	const heavy, light = 5e-3, 1e-4
	longest := func(fair bool) (worst float64) {
		terms := DefaultConfig
		terms.Rate, terms.Burst = 1, 0.01
		x := New[int](1000, terms)
		var line []int
		due := map[int]float64{}
		in := map[int]bool{}
		for k := range 20 {
			x.Set(1000, k, 1)
		}
		stir := func(now float64, k int) {
			if !in[k] {
				in[k], line = true, append(line, k)
			}
			x.MarkDue(now, k, false)
		}
		for now := 1000.0; now < 1010; {
			for k := range 20 {
				if k < 10 {
					stir(now, k)
				} else if now >= due[k] && !in[k] {
					due[k] = now
					stir(now, k)
				}
			}
			k := line[0]
			if fair {
				var ok bool
				if k, ok = x.Next(now); !ok {
					now += 1e-4
					continue
				}
			}
			for i, o := range line {
				if o == k {
					line = append(line[:i], line[i+1:]...)
					break
				}
			}
			in[k] = false
			took := heavy
			if k >= 10 {
				took = light
				if now > 1001 {
					worst = max(worst, now-due[k])
				}
				due[k] = now + 0.02
			}
			x.Charge(k, took)
			now += took
		}
		return worst
	}
	plain, fair := longest(false), longest(true)
	t.Logf("waited at most %.1f ms, in the order of coming %.1f ms", fair*1000, plain*1000)
	if fair > plain/3 {
		t.Errorf("waited %.1f ms, in the order of coming %.1f ms", fair*1000, plain*1000)
	}
}
