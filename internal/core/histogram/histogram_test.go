package histogram

import (
	"math"
	"testing"
)

var testScale = Scale{Min: 0.2, Growth: 1.5, HalveAbove: 64}

func TestMeanIsAccurateToOneBin(t *testing.T) {
	for _, value := range []float64{0.01, 0.2, 3, 40, 1e9} {
		var h Histogram
		for range 200 {
			h.Add(testScale, value)
		}
		bounded := min(max(value, 0.2), 0.2*math.Pow(1.5, 15))
		if ratio := h.Mean() / bounded; ratio < 1/1.5 || ratio > 1.5 {
			t.Errorf("mean of a single repeated value %v is %.3f", value, h.Mean())
		}
	}
}

func TestEmptyHistogramHasNoMean(t *testing.T) {
	var h Histogram
	if h.Mean() != 0 || h.Count() != 0 {
		t.Errorf("empty histogram has the mean %v and the count %v, want 0", h.Mean(), h.Count())
	}
}

func TestOldValuesDecay(t *testing.T) {
	var h Histogram
	for range 64 {
		h.Add(testScale, 1)
	}
	for range 200 {
		h.Add(testScale, 20)
	}
	if h.Mean() < 15 || h.Count() > 64 {
		t.Errorf("mean %.1f and count %.0f after 200 values of 20, want a mean of at least 15 and a count of at most 64", h.Mean(), h.Count())
	}
}
