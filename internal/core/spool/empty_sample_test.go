package spool

import "testing"

// If the first sample on a connection has no values, the samples after it are still discarded once they are
// delivered. Such a sample has no bytes whose delivery is reported, so it could block the removal of all later ones.
func TestEmptySampleIsForgotten(t *testing.T) {
	const now = 1000.0
	s := NewSender(now, DefaultConfig, func() float64 { return 0.5 })
	s.Tick(now)
	s.ConnectionEstablished(now)
	s.Add(now, nil)
	for i := range 5 {
		s.Add(now+1+float64(i), values(2, 1))
	}
	sent := 0
	for at := now + 10; at < now+20; at++ {
		sample, ok := s.Next(at)
		if !ok {
			break
		}
		size := 10 * len(sample.Values)
		sent += size
		s.RecordWrite(at, size)
	}
	s.Delivered(now+21, uint64(sent))
	s.Tick(now + 21 + DefaultConfig.Overlap + 1)
	if waiting := s.Unacknowledged(); waiting != 0 {
		t.Errorf("%d samples would still be resent although they were delivered longer ago than the overlap", waiting)
	}
}
