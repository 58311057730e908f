// Package waterfill shares an amount among takers that are bounded. It is pure.
package waterfill

import "slices"

const (
	largestFactor = 1e6  // that Factor finds
	precision     = 1e-9 // of it
)

// Factor is the least factor on all wants at which they make up a total, each at most its bound; if they never do, the largest.
func Factor(wants, bounds []float64, total float64) float64 {
	factor := largestFactor
	for step := factor / 2; step > precision; step /= 2 {
		sum := 0.0
		for i := range wants {
			sum += min((factor-step)*wants[i], bounds[i])
		}
		if sum >= total {
			factor -= step
		}
	}
	return factor
}

// Cap is the bound on each of some amounts at which they make up a total; false where they do not exceed it together. Amounts under it
// are given whole, and the others share what is left. The amounts are put in order.
func Cap(amounts []float64, total float64) (bound float64, needed bool) {
	slices.Sort(amounts)
	for i, amount := range amounts {
		if each := total / float64(len(amounts)-i); amount > each {
			return each, true
		}
		total -= amount
	}
	return 0, false
}
