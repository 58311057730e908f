package pacing

import (
	"snowquay/balancer"
	"snowquay/internal/core/indexedheap"
)

// waiter is the scheduling state of one proxy. It is in the ready list of its priority, in the heap of delayed waiters,
// or in neither.
type waiter struct {
	indexedheap.Position // position in the heap of delayed waiters

	proxy     balancer.Proxy
	priority  Priority
	entries   float64 // queued entries; 0 if the proxy is not waiting
	suspended bool

	ready          bool // whether the waiter is in a ready list
	previous, next *waiter

	delayedUntil float64 // when the message limit allows the next message

	sentAt    []float64 // ring buffer of the send times of the latest messages, as long as the message limit
	nextSent  int       // index in sentAt of the next message, which is also that of the oldest one
	sentCount int       // number of messages in sentAt
}

// Less orders the delayed waiters by the time at which they are due.
func (w *waiter) Less(other *waiter) bool { return w.delayedUntil < other.delayedUntil }

// markSent records the send time of a message. A limit of 0 means no limit.
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

// waiterList is a linked list of the ready waiters of one priority. Those that have waited longest come first.
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
