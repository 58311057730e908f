package random

import "testing"

func TestDrawsAreEvenAndRepeatable(t *testing.T) {
	a, b, sum := New(7), New(7), 0.0
	for range 10000 {
		v := a.Float()
		if v != b.Float() || v < 0 || v >= 1 {
			t.Fatalf("drew %v", v)
		}
		sum += v
	}
	if mean := sum / 10000; mean < 0.48 || mean > 0.52 {
		t.Errorf("the mean of 10,000 draws is %.3f", mean)
	}
	if c := New(8); c.Float() == func() float64 { d := New(7); return d.Float() }() {
		t.Error("two seeds draw the same")
	}
}
