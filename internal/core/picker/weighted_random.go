package picker

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/random"
)

const (
	maxRandomDraws = 8       // draws before a pick looks at all servers for those that are allowed
	rebuildAfter   = 1 << 16 // changes after which sums are computed anew, so that rounding errors do not accumulate
)

// WeightedRandom picks at random, each server with a probability in proportion to its weight, by inverse transform sampling over a
// tree of cumulative weights. Use NewWeightedRandom.
type WeightedRandom struct {
	indexes map[balancer.Server]int
	entries []Entry
	weights fenwickTree // of entries
	random  random.LCG
	changes int // since the tree was built
}

// NewWeightedRandom returns an empty table. The picks follow from the seed.
func NewWeightedRandom(seed uint64) *WeightedRandom {
	return &WeightedRandom{
		indexes: map[balancer.Server]int{},
		weights: newFenwickTree(nil),
		random:  random.NewLCG(seed),
	}
}

// Set implements Table.
func (t *WeightedRandom) Set(server balancer.Server, weight float64) {
	index, known := t.indexes[server]
	switch {
	case !validWeight(weight):
		if known {
			t.remove(index)
		}
	case known:
		change := weight - t.entries[index].Weight
		t.entries[index].Weight = weight
		t.addWeight(index, change)
	default:
		t.indexes[server] = len(t.entries)
		t.entries = append(t.entries, Entry{Server: server, Weight: weight})
		t.weights.push(weight)
	}
}

// remove removes an entry; the last one takes its index.
func (t *WeightedRandom) remove(index int) {
	lastIndex := len(t.entries) - 1
	last := t.entries[lastIndex]
	removed := t.entries[index]
	t.weights.add(index, last.Weight-removed.Weight)
	t.weights.removeLast(last.Weight)
	t.entries[index] = last
	t.indexes[last.Server] = index
	delete(t.indexes, removed.Server)
	t.entries = t.entries[:lastIndex]
	if len(t.entries) == 0 {
		t.rebuild()
		return
	}
	t.countChange()
}

func (t *WeightedRandom) addWeight(index int, change float64) {
	t.weights.add(index, change)
	t.countChange()
}

// countChange computes the sums anew when it is time. Entries and sums must agree.
func (t *WeightedRandom) countChange() {
	t.changes++
	if t.changes >= rebuildAfter {
		t.rebuild()
	}
}

func (t *WeightedRandom) rebuild() {
	t.changes = 0
	t.weights = newFenwickTree(t.entries)
}

// Weight implements Table.
func (t *WeightedRandom) Weight(server balancer.Server) float64 {
	if index, ok := t.indexes[server]; ok {
		return t.entries[index].Weight
	}
	return 0
}

// Len implements Table.
func (t *WeightedRandom) Len() int { return len(t.entries) }

// Entries implements Table.
func (t *WeightedRandom) Entries() []Entry {
	all := slices.Clone(t.entries)
	sortByServer(all)
	return all
}

// Pick implements Table. If the first draws hit no server that is allowed, it draws among those that are.
func (t *WeightedRandom) Pick(allowed func(balancer.Server) bool) (server balancer.Server, ok bool) {
	if len(t.entries) == 0 {
		return "", false
	}
	for range maxRandomDraws {
		entry := t.entries[t.weights.search(t.random.Float()*t.weights.total)]
		if allowed == nil || allowed(entry.Server) {
			return entry.Server, true
		}
	}
	return t.pickAmong(allowed)
}

// pickAmong draws among the servers that are allowed, by a scan of all entries.
func (t *WeightedRandom) pickAmong(allowed func(balancer.Server) bool) (server balancer.Server, ok bool) {
	sum := 0.0
	for _, entry := range t.entries {
		if allowed(entry.Server) {
			sum += entry.Weight
		}
	}
	if sum == 0 {
		return "", false
	}
	remaining := t.random.Float() * sum
	for _, entry := range t.entries {
		if !allowed(entry.Server) {
			continue
		}
		server = entry.Server // rounding may leave a remainder after the last one
		if remaining < entry.Weight {
			break
		}
		remaining -= entry.Weight
	}
	return server, true
}
