package pacing

import "snowquay/balancer"

const notInHeap = -1

// waiter is the state of one proxy. It is in the ready list of its priority, in the heap of delayed waiters, or in
// neither.
type waiter struct {
	proxy     balancer.Proxy
	priority  Priority
	entries   float64 // that it waits for; 0: none
	suspended bool

	ready          bool // it is in a ready list
	previous, next *waiter

	heapIndex    int // in the heap of delayed waiters, or notInHeap
	delayedUntil float64

	sentAt    []float64 // times of the latest messages, a ring as long as the message limit
	nextSent  int       // place of the next message in the ring; the oldest one is there now
	sentCount int       // messages in the ring
}

// markSent adds a message to the ring. A limit of 0 is none.
func (w *waiter) markSent(now float64, limit int) {
	if limit <= 0 {
		return
	}
	if w.sentAt == nil {
		w.sentAt = make([]float64, limit)
	}
	w.sentAt[w.nextSent] = now
	w.nextSent = (w.nextSent + 1) % limit
	w.sentCount = min(w.sentCount+1, limit)
}

// waiterList is a linked list of the waiters of one priority that may be sent a message now, longest waiting first.
type waiterList struct {
	head *waiter
	tail *waiter
}

func (l *waiterList) push(w *waiter) {
	w.previous = l.tail
	w.next = nil
	w.ready = true
	if l.tail != nil {
		l.tail.next = w
	} else {
		l.head = w
	}
	l.tail = w
}

func (l *waiterList) remove(w *waiter) {
	if w.previous != nil {
		w.previous.next = w.next
	} else {
		l.head = w.next
	}
	if w.next != nil {
		w.next.previous = w.previous
	} else {
		l.tail = w.previous
	}
	w.previous = nil
	w.next = nil
	w.ready = false
}

// delayHeap is a container/heap of the waiters that the message limit delays, first due on top.
type delayHeap []*waiter

// Len implements heap.Interface.
func (h delayHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h delayHeap) Less(i, j int) bool { return h[i].delayedUntil < h[j].delayedUntil }

// Swap implements heap.Interface.
func (h delayHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *delayHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *delayHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	w.heapIndex = notInHeap
	*h = (*h)[:last]
	return w
}
