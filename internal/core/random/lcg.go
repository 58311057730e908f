package random

// LCG is the state of a linear congruential generator modulo 2^64 with the constants of Knuth's MMIX. It is smaller and
// faster than PCG, for uses where the statistical quality matters less. Equal states yield equal sequences. It is not
// safe for concurrent use, and not suitable for secrets.
type LCG uint64

// NewLCG returns a generator with a seed. Equal seeds yield equal sequences.
func NewLCG(seed uint64) LCG { return LCG(seed*2 + 1) }

// Float returns a uniformly distributed number in [0, 1) with a precision of 53 bits.
func (g *LCG) Float() float64 {
	return float64(g.next()>>11) / (1 << 53)
}

// Float24 returns a uniformly distributed number in [0, 1) with a precision of 24 bits.
func (g *LCG) Float24() float64 {
	return float64(g.next()>>40) / (1 << 24)
}

// next advances the state and returns it.
func (g *LCG) next() uint64 {
	*g = *g*multiplier + increment
	return uint64(*g)
}
