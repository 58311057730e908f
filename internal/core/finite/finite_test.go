package finite

import (
	"math"
	"testing"
)

func TestNumbers(t *testing.T) {
	for _, test := range []struct {
		value                         float64
		number, positive, nonNegative bool
	}{
		{math.NaN(), false, false, false},
		{math.Inf(1), false, false, false},
		{math.Inf(-1), false, false, false},
		{-math.SmallestNonzeroFloat64, true, false, false},
		{math.Copysign(0, -1), true, false, true},
		{0, true, false, true},
		{math.SmallestNonzeroFloat64, true, true, true},
		{math.MaxFloat64, true, true, true},
	} {
		if Number(test.value) != test.number || Positive(test.value) != test.positive || NonNegative(test.value) != test.nonNegative {
			t.Errorf("%v: number %v, positive %v, non-negative %v", test.value, Number(test.value), Positive(test.value), NonNegative(test.value))
		}
	}
}
