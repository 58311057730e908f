package waterfill

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestFactorMakesUpTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amounts := rapid.SliceOfN(rapid.Float64Range(0.1, 100), 1, 20)
		wants := amounts.Draw(t, "wants")
		bounds := rapid.SliceOfN(rapid.Float64Range(0.1, 100), len(wants), len(wants)).Draw(t, "bounds")
		takers := make([]Consumer, len(wants))
		possible := 0.0
		for i := range takers {
			takers[i] = Consumer{Demand: wants[i], Limit: bounds[i]}
			possible += bounds[i]
		}
		total := rapid.Float64Range(0.01, 1).Draw(t, "part") * possible
		factor := Factor(takers, total)
		sum := 0.0
		for _, taker := range takers {
			sum += min(factor*taker.Demand, taker.Limit)
		}
		if math.Abs(sum-total) > 1e-3*total+1e-6 {
			t.Fatalf("with a factor of %v they take %v of %v", factor, sum, total)
		}
	})
}

func TestFactorOfATotalOutOfReachIsTheLargest(t *testing.T) {
	if got := Factor([]Consumer{{Demand: 1, Limit: 2}}, 3); got != maxFactor {
		t.Errorf("the factor is %v, want %v", got, maxFactor)
	}
}

func TestCapSharesWhatSmallAmountsLeave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amounts := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 20).Draw(t, "amounts")
		sum := 0.0
		for _, amount := range amounts {
			sum += amount
		}
		total := rapid.Float64Range(0, 1.5).Draw(t, "part") * sum
		bound, needed := Cap(slices.Clone(amounts), total)
		if !needed {
			if sum > total+1e-6 {
				t.Fatalf("%v exceed %v and are not bounded", sum, total)
			}
			return
		}
		bounded := 0.0
		for _, amount := range amounts {
			bounded += min(amount, bound)
		}
		if math.Abs(bounded-total) > 1e-6 {
			t.Fatalf("bounded by %v they make up %v of %v", bound, bounded, total)
		}
	})
}
