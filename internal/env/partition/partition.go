// Package partition keeps which zones of a test network do not reach each other.
package partition

// Zones are the partitions between the zones of a network, which have numbers from 0. The zero value has no partition.
type Zones struct {
	partitioned map[zonePair]bool
}

// zonePair are two zones, the lower number first.
type zonePair struct{ lower, higher int }

func pairOf(a, b int) zonePair { return zonePair{lower: min(a, b), higher: max(a, b)} }

// Isolate partitions a zone from all others, of which there are zones in all, or ends these partitions.
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

// Between reports whether two zones do not reach each other.
func (z *Zones) Between(a, b int) bool { return z.partitioned[pairOf(a, b)] }
