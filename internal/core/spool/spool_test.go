package spool

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// values returns the value v for each of n series, which are alternately gauges and counters.
func values(n int, v float64) []Value {
	var all []Value
	for i := range n {
		all = append(all, Value{ID: ID(i), Kind: Kind(i % 2), Mean: v, Min: v, Max: v})
	}
	return all
}

// The capacity is never exceeded, samples are in chronological order and cover the whole time, counters have their
// last value, and gauges have their extremes and their mean over all samples.
func TestSpoolCoversTheWholeTime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		config := DefaultConfig
		config.MaxValues = rapid.IntRange(20, 400).Draw(r, "values")
		config.MaxPerSize = rapid.IntRange(2, 10).Draw(r, "size")
		s := New(config)
		n := rapid.IntRange(1, 5).Draw(r, "series")
		count := 0
		sum := 0.0
		lowest := math.Inf(1)
		highest := math.Inf(-1)
		for i := range rapid.IntRange(1, 600).Draw(r, "samples") {
			v := rapid.Float64Range(-100, 100).Draw(r, "value")
			s.Add(float64(1000+10*i), values(n, v))
			count++
			sum += v
			lowest = min(lowest, v)
			highest = max(highest, v)
			samples, kept := s.Len()
			if kept > config.MaxValues || samples == 0 {
				r.Fatalf("the spool has %d samples with %d values, want at least 1 sample and at most %d values",
					samples, kept, config.MaxValues)
			}
			covered := 0
			at := 0.0
			gaugeSum := 0.0
			gaugeMin := math.Inf(1)
			gaugeMax := math.Inf(-1)
			for k, sample := range s.Samples() {
				overlaps := sample.At <= at || k > 0 && sample.From <= at
				if overlaps || sample.From > sample.At || k > 0 && sample.Size > s.Samples()[k-1].Size {
					r.Fatalf("sample %d of size %d covers %v to %v, but the previous one ends at %v or is smaller",
						k, sample.Size, sample.From, sample.At, at)
				}
				at = sample.At
				covered += sample.Size
				gauge := sample.Values[0]
				gaugeSum += gauge.Mean * float64(sample.Size)
				gaugeMin = min(gaugeMin, gauge.Min)
				gaugeMax = max(gaugeMax, gauge.Max)
			}
			if covered != count || s.Samples()[0].From != 1000 || at != float64(1000+10*i) {
				r.Fatalf("%d of %d samples are covered, from %v to %v", covered, count, s.Samples()[0].From, at)
			}
			tolerance := 1e-6*math.Max(1, math.Abs(sum)) + 1e-6
			if math.Abs(gaugeSum-sum) > tolerance || gaugeMin != lowest || gaugeMax != highest {
				r.Fatalf("gauge has sum %v, minimum %v, maximum %v, want %v, %v, %v",
					gaugeSum, gaugeMin, gaugeMax, sum, lowest, highest)
			}
			if n > 1 {
				if counter := s.Samples()[len(s.Samples())-1].Values[1]; counter.Mean != v {
					r.Fatalf("last value of the counter is %v, want %v", counter.Mean, v)
				}
			}
		}
	})
}

func TestMergeOfDifferentSeries(t *testing.T) {
	s := New(Config{MaxValues: 4, MaxPerSize: 2})
	s.Add(1, []Value{{ID: 1, Mean: 1, Min: 1, Max: 1}, {ID: 3, Mean: 5, Min: 5, Max: 5}})
	s.Add(2, []Value{{ID: 2, Mean: 2, Min: 2, Max: 2}, {ID: 3, Mean: 7, Min: 7, Max: 7}, {ID: 4, Mean: math.NaN()}})
	s.Add(3, []Value{{ID: 3, Mean: 9, Min: 9, Max: 9}})
	merged := s.Samples()[0].Values
	if len(merged) != 3 || merged[0].ID != 1 || merged[1].ID != 2 || merged[2].Mean != 6 && merged[2].Mean != 7 {
		t.Errorf("unexpected merged values %+v", merged)
	}
	s.Add(4, values(9, 1))
	if _, n := s.Len(); n > 4 || s.Stats.Dropped != 5 {
		t.Errorf("spool has %d values and %d were dropped, want at most 4 and 5 dropped", n, s.Stats.Dropped)
	}
}

// All samples arrive at a receiver that fails, stalls and loses data that it has not read, and the limit of bytes in
// flight is respected.
func TestSenderDeliversEverySample(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const sampleBytes = 100
		config := DefaultConfig
		config.MaxInFlightBytes = 400
		config.Overlap = 5
		config.MaxRate = 200
		config.StallTimeout = 3
		s := NewSender(1000, config, func() float64 { return 0.5 })
		arrived := map[float64]bool{} // by time of the sample
		now := 1000.0
		nextSampleAt := 1000.0
		connected := false
		sent := uint64(0)      // bytes sent on this connection
		delivered := uint64(0) // bytes of them that were delivered
		type inFlight struct {
			at          float64
			deliveredAt float64
		}
		var unread []inFlight // samples sent on this connection that the receiver has not read
		added := 0
		for step := range 3000 {
			now += 0.05
			if now >= nextSampleAt && step < 2000 {
				s.Add(now, values(3, float64(step)))
				nextSampleAt = now + 1
				added++
			}
			recovered := step > 2200 // no further faults are injected
			switch s.Tick(now) {
			case Dial:
				if recovered || rapid.IntRange(0, 3).Draw(r, "reached") > 0 {
					s.ConnectionEstablished(now)
					connected = true
					sent = 0
					delivered = 0
					unread = nil
				} else {
					s.ConnectionLost(now)
				}
			case CloseConnection:
				connected = false
				unread = nil
			}
			for {
				sample, ok := s.Next(now)
				if !ok {
					break
				}
				if !connected || sent-delivered >= uint64(config.MaxInFlightBytes) {
					r.Fatal("a sample is sent without a connection or beyond the limit of bytes in flight")
				}
				sent += sampleBytes
				unread = append(unread, inFlight{at: sample.At})
				s.RecordWrite(now, sampleBytes)
			}
			if connected && !recovered && rapid.IntRange(0, 99).Draw(r, "breaks") == 0 {
				connected = false
				unread = nil // the receiver loses the data that it has not read
				s.ConnectionLost(now)
			}
			if connected && (recovered || rapid.IntRange(0, 9).Draw(r, "takes") < 7) {
				delivered = sent
				s.Delivered(now, delivered)
				for i := range unread {
					if unread[i].deliveredAt == 0 {
						unread[i].deliveredAt = now
					}
				}
			}
			// The receiver reads each sample half a second after its delivery, which is well within the overlap.
			for len(unread) > 0 && unread[0].deliveredAt > 0 && (recovered || now-unread[0].deliveredAt > 0.5) {
				arrived[unread[0].at] = true
				unread = unread[1:]
			}
		}
		if len(arrived) != added {
			r.Fatalf("%d of %d samples arrived", len(arrived), added)
		}
	})
}

// ring is a buffer that drops the oldest samples. The tests compare the spool with it.
type ring struct {
	samples   []*Sample
	values    int
	maxValues int
}

func (r *ring) add(at float64, v []Value) {
	r.samples = append(r.samples, &Sample{At: at, From: at, Size: 1, Values: append([]Value(nil), v...)})
	r.values += len(v)
	for r.values > r.maxValues {
		r.values -= len(r.samples[0].Values)
		r.samples = r.samples[1:]
	}
}

// With a capacity for ten minutes, a ring covers only the last ten minutes of an hour, but the spool covers the
// whole hour.
func TestSpoolCoversAnHourInTenMinutesCapacity(t *testing.T) {
	config := DefaultConfig
	config.MaxValues = 60 * 100 // 60 samples of 100 series: ten minutes at intervals of ten seconds
	config.MaxPerSize = 12
	s := New(config)
	plain := &ring{maxValues: config.MaxValues}
	for i := range 360 {
		s.Add(float64(10*i), values(100, float64(i)))
		plain.add(float64(10*i), values(100, float64(i)))
	}
	spans := s.Samples()[len(s.Samples())-1].At - s.Samples()[0].From
	plainSpan := plain.samples[len(plain.samples)-1].At - plain.samples[0].At
	t.Logf("the spool covers %.0f s in %d samples, of which the coarsest covers %.0f s; the ring covers %.0f s",
		spans, len(s.Samples()), s.LongestSpan(), plainSpan)
	if spans != 3590 || plainSpan > 600 || s.LongestSpan() > 300 {
		t.Errorf("the spool covers %.0f s, its coarsest sample %.0f s, the ring %.0f s; want 3590, at most 300 and at most 600",
			spans, s.LongestSpan(), plainSpan)
	}
	whole := New(DefaultConfig)
	for i := range 360 {
		whole.Add(float64(10*i), values(300, float64(i)))
	}
	if whole.Stats.Merged > 0 {
		t.Errorf("an hour of 300 series exceeds the default capacity: %d merges, want none", whole.Stats.Merged)
	}
}

func BenchmarkAdd(b *testing.B) {
	for _, n := range []int{100, 10000} {
		v := values(n, 1)
		b.Run(fmt.Sprint("spool-", n), func(b *testing.B) {
			config := DefaultConfig
			config.MaxValues = 60 * n
			s := New(config)
			for i := 0; b.Loop(); i++ {
				s.Add(float64(i), v)
			}
		})
		b.Run(fmt.Sprint("ring-", n), func(b *testing.B) {
			r := &ring{maxValues: 60 * n}
			for i := 0; b.Loop(); i++ {
				r.add(float64(i), v)
			}
		})
	}
}
