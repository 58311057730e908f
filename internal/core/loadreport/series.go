package loadreport

import "snowquay/internal/core/finite"

const (
	maxGap      = 15.0 // seconds between two reports of a series; after a longer gap the series starts again
	minInterval = 0.01 // seconds between two reports; a shorter interval means that the clock was set back and forth
	maxRate     = 1e6  // requests per second of one proxy; a higher rate means a corrupted total
	maxLatency  = 60.0 // mean latency in seconds; a higher one means a corrupted sum
)

// series is the latest report of a proxy about a server or a request class.
type series struct {
	reportedAt float64 // time in seconds by the proxy's clock
	receivedAt float64 // time in seconds by the local clock
	totals     Totals
}

// change is the difference between two reports of a series.
type change struct {
	totals   Totals
	interval float64 // seconds between the reports
}

// advance replaces the latest report of a series and returns the difference from the previous one. ok is false if the report
// was rejected, which is counted in rejected. Only differences between two reports in order are used, so that duplicated,
// reordered and corrupted reports, and a restart of the proxy, do not distort the sums. The cost is that the reports of a
// proxy whose clock was set back are ignored until the clock has caught up, or for maxGap.
func (s *series) advance(now, at float64, totals Totals, rejected *RejectedCounts) (_ change, ok bool) {
	if at < s.reportedAt+minInterval && now-s.receivedAt < maxGap {
		rejected.Stale++
		return change{}, false
	}
	difference := change{
		totals: Totals{
			Attempts:   totals.Attempts - s.totals.Attempts,
			Failed:     totals.Failed - s.totals.Failed,
			LatencySum: totals.LatencySum - s.totals.LatencySum,
		},
		interval: at - s.reportedAt,
	}
	s.reportedAt = at
	s.receivedAt = now
	s.totals = totals
	switch {
	case difference.interval > maxGap || difference.interval < minInterval || difference.totals.isNegative():
		rejected.Baseline++ // after a gap or a restart of the proxy
		return change{}, false
	case !difference.plausible():
		rejected.Malformed++
		return change{}, false
	}
	return difference, true
}

// plausible reports whether the proxy can have measured the difference. The difference of two latency sums is not exact, so
// it may be above 0 without a successful attempt.
func (c *change) plausible() bool {
	return c.totals.Attempts <= maxRate*c.interval &&
		c.totals.Failed <= c.totals.Attempts &&
		c.totals.LatencySum <= maxLatency*max(c.totals.Attempts, 1)
}

func (t *Totals) add(other Totals) {
	t.Attempts += other.Attempts
	t.Failed += other.Failed
	t.LatencySum += other.LatencySum
}

func (t Totals) isNegative() bool { return t.Attempts < 0 || t.Failed < 0 || t.LatencySum < 0 }

func (t Totals) valid() bool {
	for _, value := range []float64{t.Attempts, t.Failed, t.LatencySum} {
		if !finite.NonNegative(value) {
			return false
		}
	}
	return true
}
