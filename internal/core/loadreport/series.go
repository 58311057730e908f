package loadreport

import "math"

const (
	maxGap      = 15.0 // seconds between two reports of a series; after a longer gap the series starts anew
	minInterval = 0.01 // seconds between two reports; less is a clock that was set back and forth
	maxRate     = 1e6  // requests per second at one proxy; more is a corrupted total
)

// series is the latest report of a proxy about a server or a class.
type series struct {
	reportedAt float64 // by the proxy's clock
	receivedAt float64 // by ours
	totals     Totals
}

// change is the difference of two reports of a series.
type change struct {
	totals   Totals
	interval float64 // seconds between them
}

// advance takes the next report of a series and returns the difference. ok is false if the report was rejected, which is
// counted. Only differences of two reports in order are counted, so that duplicated, reordered and corrupted reports, and
// those of a proxy that restarted, do no harm. The cost is that a proxy whose clock runs backwards is ignored until it
// has caught up, or for maxGap.
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
		rejected.Baseline++ // a gap, or a restart of the proxy
		return change{}, false
	case difference.totals.Attempts > maxRate*difference.interval || difference.totals.Failed > difference.totals.Attempts:
		rejected.Malformed++
		return change{}, false
	}
	return difference, true
}

func (t *Totals) add(other Totals) {
	t.Attempts += other.Attempts
	t.Failed += other.Failed
	t.LatencySum += other.LatencySum
}

func (t Totals) isNegative() bool { return t.Attempts < 0 || t.Failed < 0 || t.LatencySum < 0 }

func (t Totals) valid() bool {
	for _, value := range []float64{t.Attempts, t.Failed, t.LatencySum} {
		if !isFinite(value) || value < 0 {
			return false
		}
	}
	return true
}

func isFinite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }
