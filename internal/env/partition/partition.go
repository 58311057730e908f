// Package partition tracks which zones of a test network can't reach each other.
package partition

// Zones holds the partitions between the zones of a network, which are numbered from 0. The zero value has no partitions.
type Zones struct {
	partitioned map[zonePair]bool
}

// zonePair is a pair of zones, the lower number first.
type zonePair struct{ lower, higher int }

func pairOf(a, b int) zonePair { return zonePair{lower: min(a, b), higher: max(a, b)} }

// Isolate partitions a zone from all others if on is true; otherwise it ends these partitions. zones is the total number of
// zones.
func (z *Zones) Isolate(zone, zones int, on bool) {
	if z.partitioned == nil {
		z.partitioned = map[zonePair]bool{}
	}
	for other := range zones {
		if other != zone {
			z.partitioned[pairOf(zone, other)] = on
		}
	}
}

// Between reports whether there is a partition between two zones.
func (z *Zones) Between(a, b int) bool { return z.partitioned[pairOf(a, b)] }
