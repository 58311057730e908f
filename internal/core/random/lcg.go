package random

// LCG is the state of a linear congruential generator modulo 2^64 with the constants of Knuth's MMIX. It is smaller and
// faster than PCG, for draws whose quality matters less. Equal states give equal sequences. It is not safe for concurrent
// use, and not for secrets.
type LCG uint64

// NewLCG returns a generator for a seed.
func NewLCG(seed uint64) LCG { return LCG(seed*2 + 1) }

// Float returns a uniformly distributed number in [0, 1) with 53 bits.
func (g *LCG) Float() float64 {
	return float64(g.step()>>11) / (1 << 53)
}

// Float24 returns a uniformly distributed number in [0, 1) with 24 bits.
func (g *LCG) Float24() float64 {
	return float64(g.step()>>40) / (1 << 24)
}

func (g *LCG) step() uint64 {
	*g = *g*multiplier + increment
	return uint64(*g)
}
