// Package waterfill divides an amount among consumers with limits. It does no I/O and has no state.
package waterfill

import "slices"

const (
	// maxFactor is the largest factor that Factor returns.
	maxFactor = 1e6
	// precision is the precision of the factor that Factor returns.
	precision = 1e-9
)

// Consumer demands an amount, but receives at most its limit.
type Consumer struct {
	Demand float64
	Limit  float64
}

// Factor returns the smallest factor such that the demands multiplied by it, each capped at the limit of its consumer,
// sum up to the total. It returns maxFactor if no factor suffices.
func Factor(consumers []Consumer, total float64) float64 {
	factor := maxFactor
	for step := factor / 2; step > precision; step /= 2 {
		sum := 0.0
		for _, consumer := range consumers {
			sum += min((factor-step)*consumer.Demand, consumer.Limit)
		}
		if sum >= total {
			factor -= step
		}
	}
	return factor
}

// Cap returns the bound at which the capped amounts sum up to the total: amounts below it are allotted in full, and the
// others share the rest equally. needed is false if the sum of the amounts does not exceed the total. Cap sorts amounts.
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
