package slidingwindow

import "testing"

func TestEmptyCounterHasNoEvents(t *testing.T) {
	var c Counter
	if _, ok := c.SinceLatest(5); ok || c.Count(5, 10) != 0 {
		t.Error("empty counter has events")
	}
}

func TestEventsExpire(t *testing.T) {
	var c Counter
	for i := range 20 {
		c.Add(float64(i), 100)
	}
	if n := c.Count(19, 10); n != 10 { // those at 10 to 19; the one at 9 is exactly as old as the window is long
		t.Errorf("%d events in a window of 10 s, want 10", n)
	}
	if since, ok := c.SinceLatest(21.5); !ok || since != 2.5 {
		t.Errorf("latest event was %v s ago, want 2.5", since)
	}
	if n := c.Count(100, 10); n != 0 || len(c.times) != 0 {
		t.Errorf("%d events are stored after all have expired", len(c.times))
	}
}

// Memory must not grow without bound if events are added but never counted.
func TestAddEvictsExpiredEvents(t *testing.T) {
	var c Counter
	for i := range 10000 {
		c.Add(float64(i), 10)
	}
	if len(c.times) > 10 {
		t.Errorf("%d events are stored, want at most 10 of the last 10 s", len(c.times))
	}
}
