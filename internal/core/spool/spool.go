// Package spool buffers samples of metrics for a receiver that may be unreachable for a long time. Samples are
// stored at full resolution as long as the capacity suffices. Beyond that, older ones are merged, so that the
// buffer covers the whole outage and not only its last minutes. The package also decides when samples are sent
// and when they count as delivered. It does no I/O.
//
// Samples are merged like the buckets of an exponential histogram: the number of samples of each size is
// limited, and if there are more, the two oldest of a size are merged into one of twice the size. A merged
// counter has its last value; a merged gauge has its mean, minimum and maximum.
package spool

import (
	"math"
)

// ID identifies a series. The caller assigns it.
type ID uint32

// Kind is the kind of a series.
type Kind uint8

// Kinds of series.
const (
	Gauge   Kind = iota // can increase and decrease
	Counter             // can only increase
)

// Value is the value of a series in a sample. Before any merge, the mean, minimum and maximum are equal.
type Value struct {
	ID             ID
	Kind           Kind
	Mean, Min, Max float64
}

// Sample holds the values of all series at one time, or merged from several times.
type Sample struct {
	At     float64 // latest time, in seconds since 1970
	From   float64 // earliest time, in seconds since 1970
	Size   int     // number of samples that it was merged from
	Values []Value // sorted by ID
}

// Config is the configuration of a spool and its sender.
type Config struct {
	MaxValues        int     // maximum number of values in all samples
	MaxPerSize       int     // number of samples of one size above which its two oldest are merged first; at least 2
	Overlap          float64 // seconds after delivery in which samples are resent if the connection is lost, since they may be unread
	MaxInFlightBytes int     // number of sent but undelivered bytes from which on no further sample is sent
	MaxRate          float64 // maximum number of values sent per second, which protects a receiver that has just recovered
	MinBackoff       float64 // backoff in seconds after the first failure to connect; doubled after each further one
	MaxBackoff       float64 // maximum backoff in seconds
	StallTimeout     float64 // seconds without delivery of sent bytes after which a connection is closed
}

// DefaultConfig has the capacity for an hour of 300 series at intervals of ten seconds without merging, in 4 MB.
var DefaultConfig = Config{
	MaxValues:        1 << 17,
	MaxPerSize:       64,
	Overlap:          30,
	MaxInFlightBytes: 64 << 10,
	MaxRate:          20000,
	MinBackoff:       0.5,
	MaxBackoff:       30,
	StallTimeout:     20,
}

// minPerSize is the lower bound of Config.MaxPerSize: two samples are needed for a merge.
const minPerSize = 2

// Spool is a buffer of samples. It must be created by New.
type Spool struct {
	Stats Stats

	config  Config
	samples []*Sample // oldest first; sizes never increase from one to the next
	values  int       // number of values in all samples
}

// Stats counts events since the start, for metrics.
type Stats struct {
	Samples int // number of samples added
	Merged  int // number of merges of two samples
	Dropped int // number of values dropped because a single sample exceeded the capacity
}

// New returns an empty spool.
func New(config Config) *Spool {
	config.MaxPerSize = max(config.MaxPerSize, minPerSize)
	return &Spool{config: config}
}

// Add adds a sample. The values must be sorted by ID. Values that are not finite are ignored.
func (s *Spool) Add(at float64, values []Value) {
	finite := make([]Value, 0, len(values))
	for _, value := range values {
		if math.IsNaN(value.Mean) || math.IsInf(value.Mean, 0) {
			continue
		}
		finite = append(finite, value)
	}
	if len(finite) > s.config.MaxValues {
		s.Stats.Dropped += len(finite) - s.config.MaxValues
		finite = finite[:s.config.MaxValues]
	}
	s.Stats.Samples++
	s.samples = append(s.samples, &Sample{At: at, From: at, Size: 1, Values: finite})
	s.values += len(finite)
	s.shrink()
}

// Len returns the numbers of samples and values that are waiting to be sent.
func (s *Spool) Len() (samples, values int) { return len(s.samples), s.values }

// Samples returns the samples that are waiting to be sent, oldest first. They must not be modified.
func (s *Spool) Samples() []*Sample { return s.samples }

// LongestSpan returns the longest time in seconds that one sample covers, which is the coarsest resolution in
// the buffer.
func (s *Spool) LongestSpan() float64 {
	longest := 0.0
	for _, sample := range s.samples {
		longest = max(longest, sample.At-sample.From)
	}
	return longest
}

// dequeue removes and returns the oldest sample.
func (s *Spool) dequeue() *Sample {
	oldest := s.samples[0]
	s.samples = s.samples[1:]
	s.values -= len(oldest.Values)
	return oldest
}

// requeue inserts undelivered samples before all others.
func (s *Spool) requeue(undelivered []*Sample) {
	all := make([]*Sample, 0, len(undelivered)+len(s.samples))
	all = append(all, undelivered...)
	all = append(all, s.samples...)
	s.samples = all
	for _, sample := range undelivered {
		s.values += len(sample.Values)
	}
	s.shrink()
}
