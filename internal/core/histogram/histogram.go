// Package histogram records the distribution of a positive quantity in bins that grow by a constant ratio. Values decay by
// halving of all counts: the older a value, the less it counts. It does no I/O and reads no clock.
package histogram

import "math"

// binCount is the number of bins. The last bin also holds all larger values.
const binCount = 16

// Scale determines the bins and the decay of a histogram. All values of a histogram must be added with the same scale.
type Scale struct {
	Min        float64 // start of the first bin; smaller values are added as this value
	Growth     float64 // ratio of the starts of two adjacent bins, greater than 1
	HalveAbove float64 // total count above which all counts are halved
}

// Histogram holds the counts of values on a scale. The zero value is empty.
type Histogram struct {
	counts [binCount]float64
	total  float64
	mean   float64 // updated whenever a value is added, because it is read far more often
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

// halve halves all counts.
func (h *Histogram) halve() {
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

// Count returns the number of values, weighted by their decay.
func (h *Histogram) Count() float64 { return h.total }

// Mean returns the mean of the values, each approximated by the middle of its bin, or 0 if there are none.
func (h *Histogram) Mean() float64 { return h.mean }
