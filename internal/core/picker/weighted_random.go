package picker

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/finite"
	"snowquay/internal/core/random"
)

const (
	maxRandomDraws       = 8       // draws before a pick scans all entries for allowed servers
	changesBeforeRebuild = 1 << 16 // changes after which the sums are recomputed, so that rounding errors do not accumulate
)

// WeightedRandom is a Table that picks at random, each server with a probability proportional to its weight, by inverse transform sampling
// over a tree of cumulative weights. It must be created with NewWeightedRandom.
type WeightedRandom struct {
	indexes map[balancer.Server]int
	entries []Entry
	weights fenwickTree // in the order of entries
	random  random.LCG
	changes int // number since the tree was built
}

// NewWeightedRandom returns an empty table. Its picks are determined by the seed.
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
	case !finite.Positive(weight):
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

// remove removes an entry and moves the last one to its index.
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
	t.recordChange()
}

func (t *WeightedRandom) addWeight(index int, change float64) {
	t.weights.add(index, change)
	t.recordChange()
}

// recordChange counts a change, and rebuilds the tree if it is due. The entries must already be consistent with the tree.
func (t *WeightedRandom) recordChange() {
	t.changes++
	if t.changes >= changesBeforeRebuild {
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

// Pick implements Table. If the first draws yield no allowed server, it draws from the allowed servers only.
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
	return t.pickFromAllowed(allowed)
}

// pickFromAllowed draws from the allowed servers only, by a scan of all entries.
func (t *WeightedRandom) pickFromAllowed(allowed func(balancer.Server) bool) (server balancer.Server, ok bool) {
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
		server = entry.Server // due to rounding, remaining may lie after the last one
		if remaining < entry.Weight {
			break
		}
		remaining -= entry.Weight
	}
	return server, true
}
