// Package finite tells numbers that can be calculated with from infinite ones and from those that are not a number (NaN). It does no
// I/O and has no state.
package finite

import "math"

// Number reports whether a value is finite.
func Number(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }

// Positive reports whether a value is finite and greater than 0, as weights have to be.
func Positive(value float64) bool { return value > 0 && !math.IsInf(value, 0) }

// NonNegative reports whether a value is finite and at least 0.
func NonNegative(value float64) bool { return value >= 0 && !math.IsInf(value, 0) }
