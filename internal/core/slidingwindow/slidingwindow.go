// Package slidingwindow counts events within the last seconds. It is pure: time is an argument.
package slidingwindow

// Counter counts events. Its zero value has seen none.
type Counter struct {
	times []float64 // oldest first
}

// Add notes an event, and forgets those that are older than a span.
func (c *Counter) Add(now, span float64) {
	c.Count(now, span)
	c.times = append(c.times, now)
}

// Count is how many events there were within the last span; older ones are forgotten.
func (c *Counter) Count(now, span float64) int {
	old := 0
	for old < len(c.times) && c.times[old] <= now-span {
		old++
	}
	c.times = append(c.times[:0], c.times[old:]...)
	return len(c.times)
}

// Since is the time since the latest event that is remembered; false if there is none.
func (c *Counter) Since(now float64) (seconds float64, ok bool) {
	if len(c.times) == 0 {
		return 0, false
	}
	return now - c.times[len(c.times)-1], true
}
