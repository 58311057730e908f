package random

import "testing"

// The sequence of a seed must not change, because seeded runs are compared with each other.
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
			t.Fatalf("24-bit number %d is %v, want %v", i, got, want)
		}
	}
}
