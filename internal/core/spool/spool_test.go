package spool

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func values(n int, v float64) (all []Value) {
	for i := range n {
		all = append(all, Value{ID: ID(i), Kind: Kind(i % 2), Mean: v, Min: v, Max: v})
	}
	return all
}

// Whatever is added: the bound holds, samples are in the order of time and cover all of it, totals end where they ended, gauges keep
// their extremes and their mean over all.
func TestSpoolCoversTheWholeTime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		terms := DefaultConfig
		terms.MaxValues, terms.MaxPerSize = rapid.IntRange(20, 400).Draw(r, "values"), rapid.IntRange(2, 10).Draw(r, "size")
		s := New(terms)
		n := rapid.IntRange(1, 5).Draw(r, "series")
		count, sum, least, most := 0, 0.0, math.Inf(1), math.Inf(-1)
		for i := range rapid.IntRange(1, 600).Draw(r, "samples") {
			v := rapid.Float64Range(-100, 100).Draw(r, "value")
			s.Add(float64(1000+10*i), values(n, v))
			count, sum, least, most = count+1, sum+v, min(least, v), max(most, v)
			samples, kept := s.Len()
			if kept > terms.MaxValues || samples == 0 {
				r.Fatalf("%d values are kept, %d may be", kept, terms.MaxValues)
			}
			all, at := 0, 0.0
			gauge, lo, hi := 0.0, math.Inf(1), math.Inf(-1)
			for k, x := range s.Samples() {
				if x.At <= at || x.From > x.At || k > 0 && x.From <= at || k > 0 && x.Size > s.Samples()[k-1].Size {
					r.Fatalf("sample %d of size %d from %v to %v, the one before ends at %v", k, x.Size, x.From, x.At, at)
				}
				at = x.At
				all += x.Size
				g := x.Values[0]
				gauge, lo, hi = gauge+g.Mean*float64(x.Size), min(lo, g.Min), max(hi, g.Max)
			}
			if all != count || s.Samples()[0].From != 1000 || at != float64(1000+10*i) {
				r.Fatalf("%d of %d samples, from %v to %v", all, count, s.Samples()[0].From, at)
			}
			if math.Abs(gauge-sum) > 1e-6*math.Max(1, math.Abs(sum))+1e-6 || lo != least || hi != most {
				r.Fatalf("the gauge's sum is %v, least %v, most %v; they were %v, %v, %v", gauge, lo, hi, sum, least, most)
			}
			if n > 1 {
				if last := s.Samples()[len(s.Samples())-1].Values[1]; last.Mean != v {
					r.Fatalf("a total ends at %v, it was %v", last.Mean, v)
				}
			}
		}
	})
}

func TestSeriesComeAndGo(t *testing.T) {
	s := New(Config{MaxValues: 4, MaxPerSize: 2})
	s.Add(1, []Value{{ID: 1, Mean: 1, Min: 1, Max: 1}, {ID: 3, Mean: 5, Min: 5, Max: 5}})
	s.Add(2, []Value{{ID: 2, Mean: 2, Min: 2, Max: 2}, {ID: 3, Mean: 7, Min: 7, Max: 7}, {ID: 4, Mean: math.NaN()}})
	s.Add(3, []Value{{ID: 3, Mean: 9, Min: 9, Max: 9}})
	x := s.Samples()[0]
	if len(x.Values) != 3 || x.Values[0].ID != 1 || x.Values[1].ID != 2 || x.Values[2].Mean != 6 && x.Values[2].Mean != 7 {
		t.Errorf("%+v", x)
	}
	s.Add(4, values(9, 1))
	if _, n := s.Len(); n > 4 || s.Stats.Dropped != 5 {
		t.Errorf("%d values, %d dropped", n, s.Stats.Dropped)
	}
}

// A sender against receivers that come, go, stall and lose what they have not read: all samples arrive, in order but for those that go
// again, and nothing is sent beside window and pace.
func TestSenderDeliversEverySample(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		terms := DefaultConfig
		terms.MaxInFlightBytes, terms.Overlap, terms.MaxRate, terms.StallTimeout = 400, 5, 200, 3
		c := NewSender(1000, terms, func() float64 { return 0.5 })
		arrived := map[float64]bool{}
		now, next := 1000.0, 1000.0
		up, bytes, taken := false, uint64(0), uint64(0)
		type way struct {
			at  float64
			end uint64
			in  float64 // when the host took it
		}
		var on []way // sent on this connection, and not read by the program
		added := 0
		for step := range 3000 {
			now += 0.05
			if now >= next && step < 2000 {
				c.Add(now, values(3, float64(step)))
				next, added = now+1, added+1
			}
			quiet := step > 2200 // in the end all is well
			switch c.Tick(now) {
			case Dial:
				if quiet || rapid.IntRange(0, 3).Draw(r, "reached") > 0 {
					c.ConnectionEstablished(now)
					up, bytes, taken, on = true, 0, 0, nil
				} else {
					c.ConnectionLost(now)
				}
			case CloseConnection:
				up, on = false, nil
			}
			for {
				x, ok := c.Next(now)
				if !ok {
					break
				}
				if !up || bytes-taken >= uint64(terms.MaxInFlightBytes) {
					r.Fatal("it is sent though there is no room")
				}
				bytes += 100
				on = append(on, way{x.At, bytes, 0})
				c.RecordWrite(now, 100)
			}
			if up && !quiet && rapid.IntRange(0, 99).Draw(r, "breaks") == 0 {
				up, on = false, nil // what was not read is lost
				c.ConnectionLost(now)
			}
			if up && (quiet || rapid.IntRange(0, 9).Draw(r, "takes") < 7) {
				taken = bytes
				c.Delivered(now, taken)
				for i := range on {
					if on[i].in == 0 {
						on[i].in = now
					}
				}
			}
			for len(on) > 0 && on[0].in > 0 && (quiet || now-on[0].in > 0.5) { // read half a second later, well within the overlap
				arrived[on[0].at] = true
				on = on[1:]
			}
		}
		if len(arrived) != added {
			r.Fatalf("%d of %d samples arrived", len(arrived), added)
		}
	})
}

// ring is the plain way: the oldest is dropped.
type ring struct {
	samples []*Sample
	values  int
	most    int
}

func (r *ring) add(at float64, v []Value) {
	r.samples = append(r.samples, &Sample{At: at, From: at, Size: 1, Values: append([]Value(nil), v...)})
	r.values += len(v)
	for r.values > r.most {
		r.values -= len(r.samples[0].Values)
		r.samples = r.samples[1:]
	}
}

// An hour's absence in memory for ten minutes: the plain ring has the last ten minutes, the spool the whole hour.
func TestAnHourInTenMinutesMemory(t *testing.T) {
	terms := DefaultConfig
	terms.MaxValues, terms.MaxPerSize = 60*100, 12 // 60 samples of 100 series: ten minutes at one each ten seconds
	s, plain := New(terms), &ring{most: terms.MaxValues}
	for i := range 360 {
		s.Add(float64(10*i), values(100, float64(i)))
		plain.add(float64(10*i), values(100, float64(i)))
	}
	spans := s.Samples()[len(s.Samples())-1].At - s.Samples()[0].From
	plainSpan := plain.samples[len(plain.samples)-1].At - plain.samples[0].At
	t.Logf("the spool spans %.0f s in %d samples, the coarsest of %.0f s; the ring %.0f s", spans, len(s.Samples()), s.Coarsest(), plainSpan)
	if spans != 3590 || plainSpan > 600 || s.Coarsest() > 300 {
		t.Errorf("the spool spans %.0f s, the coarsest %.0f s; the ring %.0f s", spans, s.Coarsest(), plainSpan)
	}
	whole := New(DefaultConfig)
	for i := range 360 {
		whole.Add(float64(10*i), values(300, float64(i)))
	}
	if whole.Stats.Merged > 0 {
		t.Errorf("an hour of 300 series is not kept whole: %d merged", whole.Stats.Merged)
	}
}

func BenchmarkAdd(b *testing.B) {
	for _, n := range []int{100, 10000} {
		v := values(n, 1)
		b.Run(fmt.Sprint("spool-", n), func(b *testing.B) {
			terms := DefaultConfig
			terms.MaxValues = 60 * n
			s := New(terms)
			for i := 0; b.Loop(); i++ {
				s.Add(float64(i), v)
			}
		})
		b.Run(fmt.Sprint("ring-", n), func(b *testing.B) {
			r := &ring{most: 60 * n}
			for i := 0; b.Loop(); i++ {
				r.add(float64(i), v)
			}
		})
	}
}
