// Package random generates pseudo-random numbers that depend only on the seed. It does no I/O.
package random

// Multiplier and increment of the linear congruential step, as in the reference implementation of PCG.
const (
	multiplier = 6364136223846793005
	increment  = 1442695040888963407
)

// PCG is the state of a permuted congruential generator (PCG-XSH-RR 64/32). It is not safe for concurrent use, and
// not suitable for secrets.
type PCG uint64

// New returns a generator with a seed. Equal seeds yield equal sequences.
func New(seed uint64) PCG { return PCG(seed*multiplier + increment) }

// Float returns a uniformly distributed number in [0, 1).
func (p *PCG) Float() float64 {
	state := uint64(*p)
	*p = PCG(state*multiplier + increment)
	shifted := uint32(((state >> 18) ^ state) >> 27)
	rotation := uint32(state >> 59)
	rotated := shifted>>rotation | shifted<<(-rotation&31)
	return float64(rotated) / (1 << 32)
}
