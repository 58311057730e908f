// Package slidingwindow counts the events within a period that ends now. It does no I/O and reads no clock: the time is
// passed in seconds, and must not decrease from one call to the next.
package slidingwindow

// Counter counts events. The zero value has no events.
type Counter struct {
	times []float64 // times of the stored events, oldest first
}

// Add adds an event at the time now, and removes the events that are at least span seconds old.
func (c *Counter) Add(now, span float64) {
	c.evict(now, span)
	c.times = append(c.times, now)
}

// Count returns the number of events within the last span seconds, and removes older ones.
func (c *Counter) Count(now, span float64) int {
	c.evict(now, span)
	return len(c.times)
}

// evict removes the events that are at least span seconds old.
func (c *Counter) evict(now, span float64) {
	old := 0
	for old < len(c.times) && c.times[old] <= now-span {
		old++
	}
	c.times = append(c.times[:0], c.times[old:]...)
}

// SinceLatest returns the seconds since the latest event. ok is false if no event is stored.
func (c *Counter) SinceLatest(now float64) (seconds float64, ok bool) {
	if len(c.times) == 0 {
		return 0, false
	}
	return now - c.times[len(c.times)-1], true
}
