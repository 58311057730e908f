// Package indexedheap is a binary heap whose elements know their positions, so that one that changes is moved, and one that goes is
// removed, in logarithmic time. It is pure.
package indexedheap

// Position is embedded by value in the struct of an element. The zero value is not in a heap. An element is in one heap at a time.
type Position struct {
	number int // index in the heap + 1; 0: not in a heap
}

// InHeap reports whether the element is in a heap.
func (p *Position) InHeap() bool { return p.number > 0 }

func (p *Position) position() *Position { return p }

// Element is a pointer to a struct that embeds Position.
type Element[E any] interface {
	// Less orders the elements of a heap.
	Less(other E) bool
	position() *Position
}

// Heap holds elements; the least one is first. The zero value is empty.
type Heap[E Element[E]] struct {
	elements []E
}

// Len returns the number of elements.
func (h *Heap[E]) Len() int { return len(h.elements) }

// First returns the least element. The heap must not be empty.
func (h *Heap[E]) First() E { return h.elements[0] }

// Push adds an element, which must not be in a heap.
func (h *Heap[E]) Push(element E) {
	h.elements = append(h.elements, element)
	h.place(len(h.elements)-1, element)
	h.Fix(element)
}

// Remove removes an element. One that is not in the heap is left alone.
func (h *Heap[E]) Remove(element E) {
	position := element.position()
	if !position.InHeap() {
		return
	}
	index := position.number - 1
	last := len(h.elements) - 1
	moved := h.elements[last]
	var none E
	h.elements[last] = none
	h.elements = h.elements[:last]
	position.number = 0
	if index < last {
		h.place(index, moved)
		h.Fix(moved)
	}
}

// Fix restores the order after an element of the heap has changed. One that is not in the heap is left alone.
func (h *Heap[E]) Fix(element E) {
	position := element.position()
	if !position.InHeap() {
		return
	}
	index := h.up(position.number-1, element)
	h.down(index, element)
}

// up moves an element towards the root and returns its index.
func (h *Heap[E]) up(index int, element E) int {
	for index > 0 {
		parent := (index - 1) / 2
		if !element.Less(h.elements[parent]) {
			break
		}
		h.place(index, h.elements[parent])
		index = parent
	}
	h.place(index, element)
	return index
}

// down moves an element away from the root.
func (h *Heap[E]) down(index int, element E) {
	for {
		child := h.leastChild(index)
		if child < 0 || !h.elements[child].Less(element) {
			break
		}
		h.place(index, h.elements[child])
		index = child
	}
	h.place(index, element)
}

// leastChild returns the index of the least child; negative if there is none.
func (h *Heap[E]) leastChild(index int) int {
	left := 2*index + 1
	right := left + 1
	if left >= len(h.elements) {
		return -1
	}
	if right < len(h.elements) && h.elements[right].Less(h.elements[left]) {
		return right
	}
	return left
}

func (h *Heap[E]) place(index int, element E) {
	h.elements[index] = element
	element.position().number = index + 1
}
