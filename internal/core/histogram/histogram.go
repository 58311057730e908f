// Package histogram keeps the distribution of a positive figure in bins that grow by a constant ratio, and forgets by halving: the
// older an entry, the less it counts. It is pure.
package histogram

import "math"

// bins in a histogram; the last one holds all that is larger.
const bins = 16

// Scale says where the bins begin.
type Scale struct {
	Least  float64 // the first bin begins here; smaller figures count as this
	Growth float64 // ratio of two bins
	Halve  float64 // entries after which all count half
}

// Histogram holds figures on one scale. Its zero value is empty.
type Histogram struct {
	counts [bins]float64
	total  float64
	mean   float64 // worked out with each entry: it is asked for far more often
}

// Add notes a figure.
func (h *Histogram) Add(scale Scale, figure float64) {
	bin := math.Log(max(figure, scale.Least)/scale.Least) / math.Log(scale.Growth)
	h.counts[int(min(bin, bins-1))]++
	for h.total++; h.total > scale.Halve; h.total /= 2 {
		for i := range h.counts {
			h.counts[i] /= 2
		}
	}
	h.mean = 0
	for i, n := range h.counts {
		h.mean += n / max(h.total, 1) * scale.Least * math.Pow(scale.Growth, float64(i)+0.5)
	}
}

// Entries is how many there are, older ones counting in part.
func (h *Histogram) Entries() float64 { return h.total }

// Mean is the mean of all entries by the middle of their bins; 0 where there is none.
func (h *Histogram) Mean() float64 { return h.mean }
