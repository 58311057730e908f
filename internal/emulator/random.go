package emulator

import "math/rand/v2"

// randomStream is the second half of the seed of every random source.
const randomStream = 0xc0ffee

// randomSource is a seeded source of random numbers.
type randomSource struct{ *rand.Rand }

func newRandomSource(seed uint64) randomSource {
	return randomSource{rand.New(rand.NewPCG(seed, randomStream))}
}

// uniform returns a uniformly distributed number in [0, 1).
func (s randomSource) uniform() float64 { return s.Float64() }

// drawClass returns the index of a randomly chosen class, weighted by Class.Share.
func drawClass(random randomSource, classes []Class) int {
	position := random.uniform()
	class := 0
	for class < len(classes)-1 && position >= classes[class].Share {
		position -= classes[class].Share
		class++
	}
	return class
}
