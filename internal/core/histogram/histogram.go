// Package histogram keeps the distribution of a positive quantity in bins that grow by a constant ratio. It forgets by
// halving: the older a value, the less it counts. It does no I/O and reads no clock.
package histogram

import "math"

// binCount is the number of bins; the last one holds all values above it.
const binCount = 16

// Scale says where the bins begin. One histogram always uses the same scale.
type Scale struct {
	Min        float64 // start of the first bin; smaller values count as this one
	Growth     float64 // ratio of the starts of two neighbouring bins, over 1
	HalveAbove float64 // number of values after which all count half
}

// Histogram holds values on one scale. Its zero value is empty.
type Histogram struct {
	counts [binCount]float64
	total  float64
	mean   float64 // computed with each value: it is read far more often
}

// Add adds a value.
func (h *Histogram) Add(scale Scale, value float64) {
	bin := math.Log(max(value, scale.Min)/scale.Min) / math.Log(scale.Growth)
	h.counts[int(min(bin, binCount-1))]++
	h.total++
	for h.total > scale.HalveAbove {
		h.halve()
	}
	h.mean = 0
	for i, count := range h.counts {
		h.mean += count / max(h.total, 1) * scale.Min * math.Pow(scale.Growth, float64(i)+0.5)
	}
}

func (h *Histogram) halve() {
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

// Count returns the number of values, older ones counted in part.
func (h *Histogram) Count() float64 { return h.total }

// Mean returns the mean of all values by the middle of their bins, and 0 if there are none.
func (h *Histogram) Mean() float64 { return h.mean }
