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
		possible := 0.0
		for _, b := range bounds {
			possible += b
		}
		total := rapid.Float64Range(0.01, 1).Draw(t, "part") * possible
		factor, sum := Factor(wants, bounds, total), 0.0
		for i := range wants {
			sum += min(factor*wants[i], bounds[i])
		}
		if math.Abs(sum-total) > 1e-3*total+1e-6 {
			t.Fatalf("with a factor of %v they make up %v of %v", factor, sum, total)
		}
	})
	if got := Factor([]float64{1}, []float64{2}, 3); got != largestFactor {
		t.Errorf("a total out of reach has the factor %v", got)
	}
}

func TestCapSharesWhatSmallOnesLeave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amounts := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 20).Draw(t, "amounts")
		sum, all := 0.0, slices.Clone(amounts)
		for _, a := range amounts {
			sum += a
		}
		total := rapid.Float64Range(0, 1.5).Draw(t, "part") * sum
		bound, needed := Cap(all, total)
		if !needed {
			if sum > total+1e-6 {
				t.Fatalf("%v exceed %v and are not bounded", sum, total)
			}
			return
		}
		let := 0.0
		for _, a := range amounts {
			let += min(a, bound)
		}
		if math.Abs(let-total) > 1e-6 {
			t.Fatalf("bounded by %v they make up %v of %v", bound, let, total)
		}
	})
}
