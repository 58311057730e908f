// Package picker chooses servers by weight: evenly, so that every stretch of picks is near the weights, or at random. Both
// structures change a line in logarithmic time, and neither bunches picks when a table changes. It is pure.
package picker

import (
	"cmp"
	"math"
	"slices"

	"snowquay/balancer"
)

// Entry of a table.
type Entry struct {
	Server balancer.Server `json:"Server"`
	Weight float64         `json:"Weight"` // above 0
}

// Table chooses. Set with a weight of 0 takes a line away.
type Table interface {
	Set(s balancer.Server, weight float64)
	Weight(s balancer.Server) float64
	Len() int
	Entries() []Entry // by server
	// Pick a server that may be taken; nil: all may. ok is false if none may.
	Pick(may func(balancer.Server) bool) (s balancer.Server, ok bool)
}

// Replace makes a table hold these lines and no others. Lines that stay keep their place in the rotation.
func Replace(t Table, lines []Entry) {
	keep := make(map[balancer.Server]bool, len(lines))
	for _, l := range lines {
		keep[l.Server] = true
		t.Set(l.Server, l.Weight)
	}
	for _, l := range t.Entries() {
		if !keep[l.Server] {
			t.Set(l.Server, 0)
		}
	}
}

// chance is a seeded source: drawn numbers follow from the seed.
type chance uint64

// float draws evenly from 0 to 1.
func (c *chance) float() float64 {
	*c = *c*6364136223846793005 + 1442695040888963407
	return float64(*c>>11) / (1 << 53)
}

type entry struct {
	server balancer.Server
	weight float64
	due    float64 // when it is its turn, in picks over weight
	at     int     // in the heap
}

// SmoothWeighted picks in turns: each line is due again after a stretch that is its weight's inverse, and the one that is due first is
// taken. Within any stretch of picks a line gets its part, give or take one. Use NewEven.
type SmoothWeighted struct {
	by     map[balancer.Server]*entry
	heap   []*entry
	clock  float64
	chance chance
	passed []*entry
}

// NewSmoothWeighted makes an empty table; seed spreads the first turns.
func NewSmoothWeighted(seed uint64) *SmoothWeighted {
	return &SmoothWeighted{by: map[balancer.Server]*entry{}, chance: chance(seed*2 + 1)}
}

// Set of Table. A new line starts anywhere within its stretch, and a changed one keeps its share of the stretch that is
// left. Guards against all proxies that are told of a line at once sending their next query there.
func (e *SmoothWeighted) Set(s balancer.Server, weight float64) {
	x := e.by[s]
	switch {
	case !(weight > 0) || math.IsInf(weight, 0):
		if x != nil {
			e.remove(x)
		}
	case x == nil:
		x = &entry{server: s, weight: weight, due: e.clock + e.chance.float()/weight, at: len(e.heap)}
		e.by[s] = x
		e.heap = append(e.heap, x)
		e.up(x.at)
	case x.weight != weight:
		x.due = e.clock + max(x.due-e.clock, 0)*x.weight/weight
		x.weight = weight
		e.fix(x.at)
	}
}

func (e *SmoothWeighted) remove(x *entry) {
	delete(e.by, x.server)
	i, last := x.at, len(e.heap)-1
	e.swap(i, last)
	if e.heap = e.heap[:last]; i < last {
		e.fix(i)
	}
}

// Weight of Table.
func (e *SmoothWeighted) Weight(s balancer.Server) float64 {
	if x := e.by[s]; x != nil {
		return x.weight
	}
	return 0
}

// Len of Table.
func (e *SmoothWeighted) Len() int { return len(e.heap) }

// Entries of Table.
func (e *SmoothWeighted) Entries() []Entry {
	all := make([]Entry, 0, len(e.heap))
	for _, x := range e.heap {
		all = append(all, Entry{x.server, x.weight})
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// Pick of Table. Lines that may not be taken keep their turn, but no more than one: once they may again, they do not get all
// at once what they missed.
func (e *SmoothWeighted) Pick(may func(balancer.Server) bool) (balancer.Server, bool) {
	if len(e.heap) == 0 {
		return "", false
	}
	if x := e.heap[0]; may == nil || may(x.server) {
		e.take(x)
		return x.server, true
	}
	e.passed = e.passed[:0]
	var found *entry
	for len(e.heap) > 0 && found == nil {
		x := e.heap[0]
		if may(x.server) {
			found = x
			break
		}
		e.swap(0, len(e.heap)-1)
		e.heap = e.heap[:len(e.heap)-1]
		e.down(0)
		e.passed = append(e.passed, x)
	}
	if found != nil {
		e.take(found)
	}
	for _, x := range e.passed {
		x.due = max(x.due, e.clock)
		x.at = len(e.heap)
		e.heap = append(e.heap, x)
		e.up(x.at)
	}
	if found == nil {
		return "", false
	}
	return found.server, true
}

func (e *SmoothWeighted) take(x *entry) {
	e.clock = max(e.clock, x.due)
	x.due = e.clock + 1/x.weight
	e.down(x.at)
}

func (e *SmoothWeighted) less(i, j int) bool {
	a, b := e.heap[i], e.heap[j]
	return a.due < b.due || a.due == b.due && a.server < b.server
}

func (e *SmoothWeighted) swap(i, j int) {
	h := e.heap
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

func (e *SmoothWeighted) fix(i int) {
	e.up(i)
	e.down(i)
}

func (e *SmoothWeighted) up(i int) {
	for i > 0 && e.less(i, (i-1)/2) {
		e.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (e *SmoothWeighted) down(i int) {
	for {
		least := i
		for _, k := range [...]int{2*i + 1, 2*i + 2} {
			if k < len(e.heap) && e.less(k, least) {
				least = k
			}
		}
		if least == i {
			return
		}
		e.swap(i, least)
		i = least
	}
}

const luckyTries = 8 // draws before all lines are looked at for one that may be taken

// WeightedRandom picks by chance, each line as likely as its weight, from a tree of sums. Use NewRandom.
type WeightedRandom struct {
	at     map[balancer.Server]int
	lines  []Entry
	sums   []float64 // Fenwick tree over the weights, from 1
	total  float64
	chance chance
	edits  int
}

// NewWeightedRandom makes an empty table.
func NewWeightedRandom(seed uint64) *WeightedRandom {
	return &WeightedRandom{at: map[balancer.Server]int{}, sums: make([]float64, 1), chance: chance(seed*2 + 1)}
}

const rebuildAfter = 1 << 16 // changes, after which sums are added up anew: rounding must not add up

func (r *WeightedRandom) add(i int, d float64) {
	r.total += d
	for i++; i < len(r.sums); i += i & -i {
		r.sums[i] += d
	}
	if r.edits++; r.edits >= rebuildAfter {
		r.rebuild()
	}
}

func (r *WeightedRandom) rebuild() {
	r.edits, r.total = 0, 0
	r.sums = make([]float64, len(r.lines)+1)
	for i, l := range r.lines {
		r.total += l.Weight
		for k := i + 1; k < len(r.sums); k += k & -k {
			r.sums[k] += l.Weight
		}
	}
}

// Set of Table.
func (r *WeightedRandom) Set(s balancer.Server, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 0) {
		weight = 0
	}
	i, known := r.at[s]
	switch {
	case !known && weight > 0:
		r.at[s] = len(r.lines)
		r.lines = append(r.lines, Entry{s, weight})
		n := len(r.lines)
		below := 0.0 // what the new node of the tree covers besides its own
		for k := n - 1; k > n-(n&-n); k -= k & -k {
			below += r.sums[k]
		}
		r.sums = append(r.sums, below+weight)
		r.total += weight
	case known && weight > 0:
		d := weight - r.lines[i].Weight
		r.lines[i].Weight = weight
		r.add(i, d)
	case known:
		last := len(r.lines) - 1
		r.add(i, r.lines[last].Weight-r.lines[i].Weight)
		r.total -= r.lines[last].Weight // the last node covers only itself and nodes before it
		r.lines[i] = r.lines[last]
		r.at[r.lines[i].Server] = i
		delete(r.at, s)
		r.lines, r.sums = r.lines[:last], r.sums[:last+1]
		if r.edits++; last == 0 {
			r.rebuild()
		}
	}
}

// Weight of Table.
func (r *WeightedRandom) Weight(s balancer.Server) float64 {
	if i, ok := r.at[s]; ok {
		return r.lines[i].Weight
	}
	return 0
}

// Len of Table.
func (r *WeightedRandom) Len() int { return len(r.lines) }

// Entries of Table.
func (r *WeightedRandom) Entries() []Entry {
	all := slices.Clone(r.lines)
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// find is the line into whose part of the sum x falls.
func (r *WeightedRandom) find(x float64) int {
	i, step := 0, 1
	for step*2 < len(r.sums) {
		step *= 2
	}
	for ; step > 0; step /= 2 {
		if k := i + step; k < len(r.sums) && r.sums[k] <= x {
			i, x = k, x-r.sums[k]
		}
	}
	return min(i, len(r.lines)-1)
}

// Pick of Table. Where few lines may be taken, all are looked at, so that those that may are as likely as their weights.
func (r *WeightedRandom) Pick(may func(balancer.Server) bool) (balancer.Server, bool) {
	if len(r.lines) == 0 {
		return "", false
	}
	for range luckyTries {
		if l := r.lines[r.find(r.chance.float()*r.total)]; may == nil || may(l.Server) {
			return l.Server, true
		}
	}
	sum := 0.0
	for _, l := range r.lines {
		if may(l.Server) {
			sum += l.Weight
		}
	}
	if sum == 0 {
		return "", false
	}
	left, last := r.chance.float()*sum, balancer.Server("")
	for _, l := range r.lines {
		if may(l.Server) {
			if last = l.Server; left < l.Weight {
				break
			}
			left -= l.Weight
		}
	}
	return last, true
}
