// Package spool keeps figures that are on their way to a receiver which may be away for long: samples in the order of time, at full
// resolution while there is room, and coarser the older they are where there is not, so that an hour's absence leaves a picture of the
// whole hour and not of its last minutes. It also decides what is sent when, and what counts as arrived. It is pure.
//
// Samples are merged as buckets of an exponential histogram are: of each size there are at most so many, then the two oldest of a size
// become one of twice that. Totals that only grow lose nothing by it but when they grew; of gauges the mean, the least and the most are
// kept.
package spool

import (
	"math"
)

// ID of a series; names are the caller's.
type ID uint32

// Kind of a figure.
type Kind uint8

// Kinds of figures.
const (
	Gauge   Kind = iota // moves up and down
	Counter             // only grows
)

// Value of a series in a sample. Of one that was never merged the mean is the value, and so are the least and the most.
type Value struct {
	ID             ID
	Kind           Kind
	Mean, Min, Max float64
}

// Sample is all figures of a time, or of several that were merged.
type Sample struct {
	At     float64 // clock time; of merged ones the latest
	From   float64 // of merged ones the earliest
	Size   int     // samples that it was made of
	Values []Value // by ID
}

// Config of a spool.
type Config struct {
	MaxValues        int     // that are kept at most, over all samples
	MaxPerSize       int     // samples of one size, before the two oldest of it are merged; 2 at least
	Overlap          float64 // seconds: samples that were taken by the receiver's host so recently are sent anew after a break, since it may not have read them
	MaxInFlightBytes int     // bytes that may be on their way
	MaxRate          float64 // values a second that are sent at most: a receiver that comes back is not flooded
	MinBackoff       float64 // seconds until the second try to reach the receiver; doubled with each further one
	MaxBackoff       float64 // seconds between two tries at most
	StallTimeout     float64 // seconds in which nothing on its way was taken, after which the connection is given up
}

// DefaultConfig keep an hour of 300 series each ten seconds whole, in 4 MB.
var DefaultConfig = Config{MaxValues: 1 << 17, MaxPerSize: 64, Overlap: 30, MaxInFlightBytes: 64 << 10, MaxRate: 20000, MinBackoff: 0.5, MaxBackoff: 30, StallTimeout: 20}

// Spool of samples. Use New.
type Spool struct {
	terms   Config
	samples []*Sample // oldest first; larger ones are older
	values  int
	Stats   Stats
}

// Stats is what happened, for metrics.
type Stats struct {
	Samples, Merged int
	Dropped         int // values of samples that found no room even alone
}

// New makes an empty spool.
func New(t Config) *Spool {
	t.MaxPerSize = max(t.MaxPerSize, 2)
	return &Spool{terms: t}
}

// Add a sample. Its values are kept, sorted by ID; a value that is no number is left out.
func (s *Spool) Add(at float64, values []Value) {
	kept := make([]Value, 0, len(values))
	for _, v := range values {
		if math.IsNaN(v.Mean) || math.IsInf(v.Mean, 0) {
			continue
		}
		kept = append(kept, v)
	}
	if len(kept) > s.terms.MaxValues {
		s.Stats.Dropped += len(kept) - s.terms.MaxValues
		kept = kept[:s.terms.MaxValues]
	}
	s.Stats.Samples++
	s.samples = append(s.samples, &Sample{At: at, From: at, Size: 1, Values: kept})
	s.values += len(kept)
	for s.values > s.terms.MaxValues && s.merge() {
	}
}

// merge makes the two oldest samples of the smallest crowded size one. While none is crowded, the two oldest of the size that has most.
func (s *Spool) merge() bool {
	if len(s.samples) < 2 {
		return false
	}
	// From the newest: sizes grow towards the oldest, so each size is a run.
	best, crowd := -1, 0
	for end := len(s.samples); end > 0; {
		begin := end - 1
		for begin > 0 && s.samples[begin-1].Size == s.samples[end-1].Size {
			begin--
		}
		if n := end - begin; n >= 2 && (n > s.terms.MaxPerSize || n > crowd) {
			if best, crowd = begin, n; n > s.terms.MaxPerSize {
				break
			}
		}
		end = begin
	}
	if best < 0 { // every size is there once: the two newest of unlike size, which leaves the past as it is
		best = len(s.samples) - 2
	}
	a, b := s.samples[best], s.samples[best+1]
	m := join(a, b)
	s.values += len(m.Values) - len(a.Values) - len(b.Values)
	s.samples[best] = m
	s.samples = append(s.samples[:best+1], s.samples[best+2:]...)
	s.Stats.Merged++
	return true
}

// join makes two samples one, the later one second.
func join(a, b *Sample) *Sample {
	m := &Sample{At: b.At, From: a.From, Size: a.Size + b.Size, Values: make([]Value, 0, max(len(a.Values), len(b.Values)))}
	i, j := 0, 0
	for i < len(a.Values) || j < len(b.Values) {
		switch {
		case j == len(b.Values) || i < len(a.Values) && a.Values[i].ID < b.Values[j].ID:
			m.Values = append(m.Values, a.Values[i])
			i++
		case i == len(a.Values) || b.Values[j].ID < a.Values[i].ID:
			m.Values = append(m.Values, b.Values[j])
			j++
		default:
			v, w := a.Values[i], b.Values[j]
			part := float64(a.Size) / float64(m.Size)
			w.Min, w.Max = min(v.Min, w.Min), max(v.Max, w.Max)
			if w.Kind == Gauge { // a total is what it has grown to
				w.Mean = v.Mean*part + w.Mean*(1-part)
			}
			m.Values = append(m.Values, w)
			i, j = i+1, j+1
		}
	}
	return m
}

// Len is the number of samples and of values that wait.
func (s *Spool) Len() (samples, values int) { return len(s.samples), s.values }

// Samples that wait, oldest first. They must not be changed.
func (s *Spool) Samples() []*Sample { return s.samples }

// Coarsest is how many seconds the coarsest sample stands for.
func (s *Spool) Coarsest() (seconds float64) {
	for _, x := range s.samples {
		seconds = max(seconds, x.At-x.From)
	}
	return seconds
}

// take the oldest sample out.
func (s *Spool) take() *Sample {
	x := s.samples[0]
	s.samples = s.samples[1:]
	s.values -= len(x.Values)
	return x
}

// back puts samples that did not arrive before all others.
func (s *Spool) back(list []*Sample) {
	s.samples = append(append(make([]*Sample, 0, len(list)+len(s.samples)), list...), s.samples...)
	for _, x := range list {
		s.values += len(x.Values)
	}
	for s.values > s.terms.MaxValues && s.merge() {
	}
}
