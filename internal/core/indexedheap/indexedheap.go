// Package indexedheap implements a binary heap whose elements store their positions, so that an element can be reordered after a change or
// removed in logarithmic time. It does no I/O.
package indexedheap

// Position is the position of an element in a heap, and is embedded by value in the element's struct. The zero value means that the element
// is in no heap. An element can be in only one heap at a time.
type Position struct {
	number int // index in the heap plus 1; 0 if not in a heap
}

// InHeap reports whether the element is in a heap.
func (p *Position) InHeap() bool { return p.number > 0 }

func (p *Position) position() *Position { return p }

// Element is the constraint for elements: pointers to structs that embed Position.
type Element[E any] interface {
	// Less reports whether the element precedes another one.
	Less(other E) bool
	position() *Position
}

// Heap is a min-heap of elements. The zero value is empty.
type Heap[E Element[E]] struct {
	elements []E
}

// Len returns the number of elements.
func (h *Heap[E]) Len() int { return len(h.elements) }

// First returns the smallest element. The heap must not be empty.
func (h *Heap[E]) First() E { return h.elements[0] }

// Push adds an element. It must not be in a heap already.
func (h *Heap[E]) Push(element E) {
	h.elements = append(h.elements, element)
	h.place(len(h.elements)-1, element)
	h.Fix(element)
}

// Remove removes an element. It does nothing if the element is not in a heap.
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

// Fix restores the heap order after an element has changed. It does nothing if the element is not in a heap.
func (h *Heap[E]) Fix(element E) {
	position := element.position()
	if !position.InHeap() {
		return
	}
	index := h.siftUp(position.number-1, element)
	h.siftDown(index, element)
}

// siftUp moves an element towards the root and returns its index.
func (h *Heap[E]) siftUp(index int, element E) int {
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

// siftDown moves an element away from the root.
func (h *Heap[E]) siftDown(index int, element E) {
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

// leastChild returns the index of the smallest child, or -1 if there is none.
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

// place stores an element at an index.
func (h *Heap[E]) place(index int, element E) {
	h.elements[index] = element
	element.position().number = index + 1
}
