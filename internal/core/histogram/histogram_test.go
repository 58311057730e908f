package histogram

import (
	"math"
	"testing"
)

var testScale = Scale{Min: 0.2, Growth: 1.5, HalveAbove: 64}

func TestMeanIsWithinABin(t *testing.T) {
	for _, value := range []float64{0.01, 0.2, 3, 40, 1e9} {
		var h Histogram
		for range 200 {
			h.Add(testScale, value)
		}
		bounded := min(max(value, 0.2), 0.2*math.Pow(1.5, 15))
		if ratio := h.Mean() / bounded; ratio < 1/1.5 || ratio > 1.5 {
			t.Errorf("the mean of %v alone is %.3f", value, h.Mean())
		}
	}
}

func TestEmptyHistogramHasNoMean(t *testing.T) {
	var h Histogram
	if h.Mean() != 0 || h.Count() != 0 {
		t.Errorf("mean %v of %v entries", h.Mean(), h.Count())
	}
}

func TestOldValuesAreForgotten(t *testing.T) {
	var h Histogram
	for range 64 {
		h.Add(testScale, 1)
	}
	for range 200 {
		h.Add(testScale, 20)
	}
	if h.Mean() < 15 || h.Count() > 64 {
		t.Errorf("the mean is %.1f of %.0f entries after many of 20", h.Mean(), h.Count())
	}
}
