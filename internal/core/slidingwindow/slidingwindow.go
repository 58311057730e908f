// Package slidingwindow counts the events within a span of time that ends now. It does no I/O and reads no clock: the
// time is an argument, in seconds, and never goes back from one call to the next.
package slidingwindow

// Counter counts events. Its zero value has counted none.
type Counter struct {
	times []float64 // oldest first
}

// Add counts an event, and forgets those that are at least span seconds old.
func (c *Counter) Add(now, span float64) {
	c.forget(now, span)
	c.times = append(c.times, now)
}

// Count returns the number of events within the last span seconds, and forgets the others.
func (c *Counter) Count(now, span float64) int {
	c.forget(now, span)
	return len(c.times)
}

func (c *Counter) forget(now, span float64) {
	old := 0
	for old < len(c.times) && c.times[old] <= now-span {
		old++
	}
	c.times = append(c.times[:0], c.times[old:]...)
}

// SinceLatest returns the seconds since the latest event, and false if none is remembered.
func (c *Counter) SinceLatest(now float64) (seconds float64, ok bool) {
	if len(c.times) == 0 {
		return 0, false
	}
	return now - c.times[len(c.times)-1], true
}
