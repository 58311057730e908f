package emulator

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	intervalSeconds        = 10.0
	maxLatencyMicroseconds = 60_000_000 // longer latencies are recorded as this value
	latencyDigits          = 2          // significant decimal digits of recorded latencies
	microsecondsPerSecond  = 1e6
	percent                = 100
	minIntervalLoad        = 0.1 // minimum load of an interval in WorstInterval, as a fraction of the mean load
)

// interval holds the total priority weight of the requests in an interval of a scenario, and of those that were answered
// on time.
type interval struct{ requested, onTime float64 }

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicroseconds, latencyDigits)
}

func (ic *InvariantChecker) requestStarted(now float64, class int) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.Requested[class]++
	ic.intervalAt(now).requested += ic.classes[class].Request.PriorityWeight
}

func (ic *InvariantChecker) requestAnswered(now float64, class int, latency float64) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.Answered[class]++
	if latency <= ic.classes[class].Request.LatencyObjective {
		ic.OnTime[class]++
		ic.intervalAt(now - latency).onTime += ic.classes[class].Request.PriorityWeight
	}
	// A value within the histogram's range is always recorded.
	_ = ic.latencies[class].RecordValue(min(int64(latency*microsecondsPerSecond), maxLatencyMicroseconds))
}

// intervalAt returns the interval that contains a time.
func (ic *InvariantChecker) intervalAt(at float64) *interval {
	if ic.firstRequestAt == 0 {
		ic.firstRequestAt = at
	}
	index := max(int((at-ic.firstRequestAt)/intervalSeconds), 0)
	for len(ic.intervals) <= index {
		ic.intervals = append(ic.intervals, interval{})
	}
	return &ic.intervals[index]
}

// Latencies returns the latencies of a class's answered requests, in microseconds.
func (ic *InvariantChecker) Latencies(class int) *hdrhistogram.Histogram { return ic.latencies[class] }

// WorstInterval returns the lowest service of any interval of ten seconds. It excludes intervals with less than a tenth of
// the mean load, and the last one, because its requests may still be in flight.
func (ic *InvariantChecker) WorstInterval() float64 {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	requested := 0.0
	for _, each := range ic.intervals {
		requested += each.requested
	}
	worst := 1.0
	for _, each := range ic.intervals[:max(len(ic.intervals)-1, 0)] {
		if each.requested > minIntervalLoad*requested/float64(len(ic.intervals)) {
			worst = min(worst, each.onTime/each.requested)
		}
	}
	return worst
}

// Service returns the fraction of requests that were answered on time, weighted by the priority weights of their classes.
func (ic *InvariantChecker) Service() float64 {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	onTime := 0.0
	requested := 0.0
	for i, class := range ic.classes {
		onTime += ic.OnTime[i] * class.Request.PriorityWeight
		requested += ic.Requested[i] * class.Request.PriorityWeight
	}
	return onTime / max(requested, 1)
}

// LatencyQuantile returns the given quantile, between 0 and 1, of all latencies in seconds, or NaN if no request was
// answered.
func (ic *InvariantChecker) LatencyQuantile(quantile float64) float64 {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	merged := newLatencyHistogram()
	for _, latencies := range ic.latencies {
		merged.Merge(latencies)
	}
	if merged.TotalCount() == 0 {
		return math.NaN()
	}
	return float64(merged.ValueAtQuantile(quantile*percent)) / microsecondsPerSecond
}
