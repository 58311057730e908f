// Package waterfill divides an amount among takers with bounds. It does no I/O and keeps no state.
package waterfill

import "slices"

const (
	// maxFactor is the largest factor that Factor finds.
	maxFactor = 1e6
	// precision of the factor that Factor finds.
	precision = 1e-9
)

// Consumer wants an amount and takes no more than its bound.
type Consumer struct {
	Demand float64
	Limit  float64
}

// Factor returns the least factor on all wants at which the takers, each up to its bound, take the total. It
// returns the largest factor if they never do.
func Factor(takers []Consumer, total float64) float64 {
	factor := maxFactor
	for step := factor / 2; step > precision; step /= 2 {
		sum := 0.0
		for _, taker := range takers {
			sum += min((factor-step)*taker.Demand, taker.Limit)
		}
		if sum >= total {
			factor -= step
		}
	}
	return factor
}

// Cap returns the bound at which amounts make up the total: those below it are given whole, and the others share
// what is left. It returns false if the amounts do not exceed the total together. It sorts the amounts.
func Cap(amounts []float64, total float64) (bound float64, needed bool) {
	slices.Sort(amounts)
	left := total
	for i, amount := range amounts {
		share := left / float64(len(amounts)-i)
		if amount > share {
			return share, true
		}
		left -= amount
	}
	return 0, false
}
