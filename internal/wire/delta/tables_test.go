package delta

import (
	"errors"
	"math"
	"testing"
)

// Guards against tables whose numbers leave the finite numbers: sums of weights, and times that never come.
func TestNumbersOutOfRangeAreRejected(t *testing.T) {
	for _, value := range []float64{math.NaN(), math.Inf(1), -1, 1e13, math.MaxFloat64} {
		for name, tables := range map[string]Tables{
			"poll within": {PollWithin: value},
			"weight":      {Classes: []Class{{Class: "c", Entries: []Entry{{Server: "s", Weight: value}}}}},
			"admission":   {Classes: []Class{{Class: "c", Admission: &value}}},
			"retry after": {Classes: []Class{{Class: "c", RetryAfter: &value}}},
		} {
			encoded, err := Append(nil, CBOR, &tables)
			if err != nil {
				t.Fatal(err)
			}
			var decoded Tables
			if err := Decode(encoded, CBOR, &decoded); !errors.Is(err, ErrInvalidTables) {
				t.Errorf("%s %v: error %v, want ErrInvalidTables", name, value, err)
			}
		}
	}
}
