package waterfill

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestScaledDemandsReachTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amounts := rapid.SliceOfN(rapid.Float64Range(0.1, 100), 1, 20)
		demands := amounts.Draw(t, "demands")
		limits := rapid.SliceOfN(rapid.Float64Range(0.1, 100), len(demands), len(demands)).Draw(t, "limits")
		consumers := make([]Consumer, len(demands))
		possible := 0.0
		for i := range consumers {
			consumers[i] = Consumer{Demand: demands[i], Limit: limits[i]}
			possible += limits[i]
		}
		total := rapid.Float64Range(0.01, 1).Draw(t, "part") * possible
		factor := Factor(consumers, total)
		sum := 0.0
		for _, consumer := range consumers {
			sum += min(factor*consumer.Demand, consumer.Limit)
		}
		if math.Abs(sum-total) > 1e-3*total+1e-6 {
			t.Fatalf("with a factor of %v the capped demands sum up to %v, want %v", factor, sum, total)
		}
	})
}

func TestFactorForUnreachableTotal(t *testing.T) {
	if got := Factor([]Consumer{{Demand: 1, Limit: 2}}, 3); got != maxFactor {
		t.Errorf("factor is %v, want %v", got, maxFactor)
	}
}

func TestCappedAmountsReachTotal(t *testing.T) {
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
				t.Fatalf("amounts with the sum %v exceed the total %v but are not capped", sum, total)
			}
			return
		}
		bounded := 0.0
		for _, amount := range amounts {
			bounded += min(amount, bound)
		}
		if math.Abs(bounded-total) > 1e-6 {
			t.Fatalf("capped at %v, the amounts sum up to %v, want %v", bound, bounded, total)
		}
	})
}
