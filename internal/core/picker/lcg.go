package picker

// lcg is the state of a linear congruential generator with Knuth's MMIX constants. Equal seeds give equal sequences.
type lcg uint64

func newLCG(seed uint64) lcg { return lcg(seed*2 + 1) }

// next returns a uniformly distributed number in [0, 1).
func (g *lcg) next() float64 {
	*g = *g*6364136223846793005 + 1442695040888963407
	return float64(*g>>11) / (1 << 53)
}
