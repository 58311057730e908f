package random

import "testing"

// Runs are seeded and compared, so that the sequence of a seed must stay.
func TestLCGSequence(t *testing.T) {
	state := uint64(7*2 + 1)
	next := func() uint64 {
		state = state*6364136223846793005 + 1442695040888963407
		return state
	}
	g := NewLCG(7)
	for i := range 100 {
		if got, want := g.Float(), float64(next()>>11)/(1<<53); got != want {
			t.Fatalf("number %d is %v, want %v", i, got, want)
		}
		if got, want := g.Float24(), float64(next()>>40)/(1<<24); got != want {
			t.Fatalf("number %d of 24 bits is %v, want %v", i, got, want)
		}
	}
}
