package pacing

import (
	"snowquay/balancer"
	"snowquay/internal/core/indexedheap"
)

// waiter is the state of one proxy. It is in the ready list of its priority, in the heap of delayed waiters, or in
// neither.
type waiter struct {
	indexedheap.Position // among the delayed waiters

	proxy     balancer.Proxy
	priority  Priority
	entries   float64 // that it waits for; 0: none
	suspended bool

	ready          bool // it is in a ready list
	previous, next *waiter

	delayedUntil float64

	sentAt    []float64 // times of the latest messages, a ring as long as the message limit
	nextSent  int       // place of the next message in the ring; the oldest one is there now
	sentCount int       // messages in the ring
}

// Less orders delayed waiters: the first due first.
func (w *waiter) Less(other *waiter) bool { return w.delayedUntil < other.delayedUntil }

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
