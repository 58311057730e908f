// Package random is a small generator of random numbers whose sequence hangs on its seed alone. It is pure.
package random

const (
	multiplier = 6364136223846793005
	increment  = 1442695040888963407
)

// PCG is a permuted congruential generator (PCG-XSH-RR 64/32).
type PCG uint64

// New makes a generator.
func New(seed uint64) PCG { return PCG(seed*multiplier + increment) }

// Float draws evenly from 0 to 1.
func (p *PCG) Float() float64 {
	old := uint64(*p)
	*p = PCG(old*multiplier + increment)
	shifted := uint32(((old >> 18) ^ old) >> 27)
	rotation := uint32(old >> 59)
	return float64(shifted>>rotation|shifted<<(-rotation&31)) / (1 << 32)
}
