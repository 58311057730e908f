package random

import "testing"

func TestFloatsAreUniformAndReproducible(t *testing.T) {
	first := New(7)
	second := New(7)
	sum := 0.0
	for range 10000 {
		number := first.Float()
		if number != second.Float() || number < 0 || number >= 1 {
			t.Fatalf("drew %v, want the number of an equal seed in [0, 1)", number)
		}
		sum += number
	}
	if mean := sum / 10000; mean < 0.48 || mean > 0.52 {
		t.Errorf("mean of 10,000 numbers is %.3f, want 0.48 to 0.52", mean)
	}
}

func TestDifferentSeedsYieldDifferentNumbers(t *testing.T) {
	first := New(7)
	second := New(8)
	if first.Float() == second.Float() {
		t.Error("generators with different seeds draw the same number")
	}
}
