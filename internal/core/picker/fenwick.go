package picker

// fenwickTree stores a sequence of weights. It updates a weight, and finds the weight whose interval of the cumulative sum contains a number,
// in logarithmic time (Fenwick, "A new data structure for cumulative frequency tables", 1994).
type fenwickTree struct {
	nodes []float64 // node i, counted from 1, is the sum of the weights i-lowestBit(i) to i-1; node 0 is unused
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

// add adds a difference to a weight.
func (t *fenwickTree) add(index int, change float64) {
	t.total += change
	for node := index + 1; node < len(t.nodes); node += lowestBit(node) {
		t.nodes[node] += change
	}
}

// push appends a weight.
func (t *fenwickTree) push(weight float64) {
	node := len(t.nodes)
	covered := 0.0 // sum of the other weights that the new node covers
	for child := node - 1; child > node-lowestBit(node); child -= lowestBit(child) {
		covered += t.nodes[child]
	}
	t.nodes = append(t.nodes, covered+weight)
	t.total += weight
}

// removeLast removes the last weight, whose value is passed. No node except the last covers it.
func (t *fenwickTree) removeLast(weight float64) {
	t.total -= weight
	t.nodes = t.nodes[:len(t.nodes)-1]
}

// search returns the index of the weight whose interval of the cumulative sum contains a number. The tree must not be empty.
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
	return min(index, len(t.nodes)-2) // due to rounding, sum may lie after the last weight
}
