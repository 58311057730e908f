package indexedheap

import (
	"testing"

	"pgregory.net/rapid"
)

type number struct {
	Position
	value int
}

func (n *number) Less(other *number) bool { return n.value < other.value }

// After any sequence of pushes, changes and removals, the first element is the smallest, and each element stores its own position.
func TestHeapInvariantsUnderRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		elements := make([]*number, 20)
		for i := range elements {
			elements[i] = &number{}
		}
		var heap Heap[*number]
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			element := rapid.SampledFrom(elements).Draw(t, "element")
			remove := rapid.Bool().Draw(t, "remove")
			if remove {
				heap.Remove(element)
			} else {
				element.value = rapid.IntRange(0, 10).Draw(t, "value")
				heap.Fix(element)
			}
			if !remove && !element.InHeap() {
				heap.Push(element)
			}
			checkHeap(t, &heap, elements)
		}
	})
}

func checkHeap(t *rapid.T, heap *Heap[*number], elements []*number) {
	count := 0
	for _, element := range elements {
		if !element.InHeap() {
			continue
		}
		count++
		if heap.elements[element.number-1] != element {
			t.Fatalf("element with value %d is not at its stored position %d", element.value, element.number-1)
		}
		if element.Less(heap.First()) {
			t.Fatalf("first value is %d, but the heap contains %d", heap.First().value, element.value)
		}
	}
	if heap.Len() != count {
		t.Fatalf("%d elements are in the heap, but its length is %d", count, heap.Len())
	}
}
