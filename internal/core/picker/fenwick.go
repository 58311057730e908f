package picker

// fenwickTree holds weights and finds the one in whose part of the cumulative sum a number falls, in logarithmic time (Fenwick, "A new
// data structure for cumulative frequency tables", 1994).
type fenwickTree struct {
	nodes []float64 // node i, from 1, is the sum of the weights i-lowestBit(i) to i-1; node 0 is unused
	total float64
}

func newFenwickTree(entries []Entry) fenwickTree {
	tree := fenwickTree{nodes: make([]float64, len(entries)+1)}
	for index, entry := range entries {
		tree.add(index, entry.Weight)
	}
	return tree
}

func lowestBit(node int) int { return node & -node }

// add changes a weight by a difference.
func (t *fenwickTree) add(index int, change float64) {
	t.total += change
	for node := index + 1; node < len(t.nodes); node += lowestBit(node) {
		t.nodes[node] += change
	}
}

// push adds a weight at the end.
func (t *fenwickTree) push(weight float64) {
	node := len(t.nodes)
	covered := 0.0 // the sum of the other weights of the new node
	for child := node - 1; child > node-lowestBit(node); child -= lowestBit(child) {
		covered += t.nodes[child]
	}
	t.nodes = append(t.nodes, covered+weight)
	t.total += weight
}

// removeLast removes the last weight, which is given. No other node covers it.
func (t *fenwickTree) removeLast(weight float64) {
	t.total -= weight
	t.nodes = t.nodes[:len(t.nodes)-1]
}

// search returns the index of the weight in whose part of the cumulative sum a number falls. The tree must not be empty.
func (t *fenwickTree) search(sum float64) int {
	step := 1
	for step*2 < len(t.nodes) {
		step *= 2
	}
	index := 0
	for ; step > 0; step /= 2 {
		next := index + step
		if next < len(t.nodes) && t.nodes[next] <= sum {
			index = next
			sum -= t.nodes[next]
		}
	}
	return min(index, len(t.nodes)-2) // rounding may leave a remainder after the last weight
}
