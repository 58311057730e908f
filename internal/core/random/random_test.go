package random

import "testing"

func TestNumbersAreUniformAndRepeatable(t *testing.T) {
	first := New(7)
	second := New(7)
	sum := 0.0
	for range 10000 {
		number := first.Float()
		if number != second.Float() || number < 0 || number >= 1 {
			t.Fatalf("drew %v", number)
		}
		sum += number
	}
	if mean := sum / 10000; mean < 0.48 || mean > 0.52 {
		t.Errorf("the mean of 10,000 numbers is %.3f", mean)
	}
}

func TestSeedsGiveDifferentSequences(t *testing.T) {
	first := New(7)
	second := New(8)
	if first.Float() == second.Float() {
		t.Error("two seeds draw the same")
	}
}
