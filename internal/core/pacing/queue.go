// Package pacing schedules messages to proxies over a channel with a rate limit: it determines which proxy is sent a
// message next, and when.
//
// The queue holds no messages, only the waiting proxies and the number of table entries that each waits for. A message is
// built when its proxy is due, so that a slow proxy receives the newest state instead of a series of outdated messages.
// The package performs no I/O and reads no clock: times are arguments, in seconds.
package pacing

import (
	"math"

	"snowquay/balancer"
	"snowquay/internal/core/indexedheap"
)

// burstSeconds is the size of the token bucket, in seconds at the full rate. It is about the interval between rounds, so
// that a few entries do not wait for the next round.
const burstSeconds = 0.05

// Priority is the priority of a waiting proxy. Higher priorities are sent first.
type Priority int

// The priorities in ascending order.
const (
	Normal Priority = iota // changes of weights, and joins
	Urgent                 // drains, and weight reductions of servers that are warming up
	priorities
)

// Queue holds the proxies that wait for a message. Create it with New. It is not safe for concurrent use.
type Queue struct {
	channel  balancer.Channel
	unpaced  bool
	waiters  map[balancer.Proxy]*waiter
	ready    [priorities]waiterList
	delayed  indexedheap.Heap[*waiter] // waiters held back by the message limit
	entries  float64                   // queued entries, including the overhead of their messages
	peak     float64                   // peak of entries
	tokens   float64                   // entries that may be sent now; below 0 after a large message
	refillAt float64                   // time of the last refill of tokens
}

// New creates a queue for a channel. If unpaced is true, the rate and message limits are not enforced; this serves tests
// of that safeguard.
func New(channel balancer.Channel, unpaced bool) *Queue {
	return &Queue{channel: channel, unpaced: unpaced, waiters: map[balancer.Proxy]*waiter{}}
}

// Add queues more entries for a proxy. A proxy that is already waiting keeps its position, unless the priority is higher
// than its previous one.
func (q *Queue) Add(now float64, proxy balancer.Proxy, entries float64, priority Priority) {
	w := q.waiter(proxy)
	if w.entries == 0 {
		q.entries += q.channel.MessageOverhead
		w.priority = priority
	}
	w.entries += entries
	q.entries += entries
	q.peak = max(q.peak, q.entries)
	if priority > w.priority {
		if w.ready {
			q.ready[w.priority].remove(w)
		}
		w.priority = priority
	}
	q.schedule(now, w)
}

// Suspend stops the scheduling of messages to a proxy until Resume. Its queued entries are retained.
func (q *Queue) Suspend(proxy balancer.Proxy) {
	w := q.waiter(proxy)
	w.suspended = true
	if w.ready {
		q.ready[w.priority].remove(w)
	}
}

// Resume ends a Suspend.
func (q *Queue) Resume(now float64, proxy balancer.Proxy) {
	if w := q.waiters[proxy]; w != nil {
		w.suspended = false
		q.schedule(now, w)
	}
}

// Forget removes a proxy and its message history. If the proxy is added again, its message limit starts from zero.
func (q *Queue) Forget(proxy balancer.Proxy) {
	w := q.waiters[proxy]
	if w == nil {
		return
	}
	q.dequeue(w)
	delete(q.waiters, proxy)
}

// Drop discards the queued entries of a proxy. Messages sent earlier still count towards the message limit.
func (q *Queue) Drop(proxy balancer.Proxy) {
	if w := q.waiters[proxy]; w != nil {
		q.dequeue(w)
	}
}

// Next returns the proxy that is due: the one with the highest priority, and among these the one that has waited longest.
// ok is false if the rate allows no message or no proxy is waiting. The caller sends the message and calls MarkSent, or
// calls Suspend, Drop or Forget.
func (q *Queue) Next(now float64) (proxy balancer.Proxy, ok bool) {
	for q.delayed.Len() > 0 && q.delayed.First().delayedUntil <= now {
		w := q.delayed.First()
		q.delayed.Remove(w)
		q.schedule(now, w)
	}
	q.refill(now)
	if q.tokens <= 0 && !q.unpaced {
		return 0, false
	}
	for priority := priorities - 1; priority >= 0; priority-- {
		if w := q.ready[priority].head; w != nil {
			return w.proxy, true
		}
	}
	return 0, false
}

// MarkSent records that a message with some entries was sent to a proxy, whether it was waiting for one or not.
func (q *Queue) MarkSent(now float64, proxy balancer.Proxy, entries float64) {
	q.refill(now)
	w := q.waiter(proxy)
	q.dequeue(w)
	q.tokens -= entries + q.channel.MessageOverhead
	w.markSent(now, q.channel.MaxMessages)
}

// MessagesLeft returns the number of messages that the message limit still allows a proxy in the current window.
func (q *Queue) MessagesLeft(proxy balancer.Proxy) int {
	w := q.waiters[proxy]
	if w == nil || q.channel.MaxMessages <= 0 {
		return math.MaxInt
	}
	sent := 0
	for _, at := range w.sentAt {
		if at > 0 && at > q.refillAt-q.channel.MessageWindow {
			sent++
		}
	}
	return q.channel.MaxMessages - sent
}

// IsUrgent reports whether a proxy is waiting with urgent priority.
func (q *Queue) IsUrgent(proxy balancer.Proxy) bool {
	return q.IsQueued(proxy) && q.waiters[proxy].priority == Urgent
}

// IsQueued reports whether a proxy is waiting for entries.
func (q *Queue) IsQueued(proxy balancer.Proxy) bool { return q.QueuedEntries(proxy) > 0 }

// QueuedEntries returns the number of entries that a proxy is waiting for, excluding the message overhead.
func (q *Queue) QueuedEntries(proxy balancer.Proxy) float64 {
	w := q.waiters[proxy]
	if w == nil {
		return 0
	}
	return w.entries
}

// TotalQueued returns the number of queued entries, including the overhead of their messages, and its peak.
func (q *Queue) TotalQueued() (entries, peak float64) { return q.entries, q.peak }

// waiter returns the state of a proxy, and creates it if there is none.
func (q *Queue) waiter(proxy balancer.Proxy) *waiter {
	w := q.waiters[proxy]
	if w == nil {
		w = &waiter{proxy: proxy}
		q.waiters[proxy] = w
	}
	return w
}

// schedule adds a waiter to the ready list or the delayed heap, unless it is in either, is suspended or has no queued
// entries.
func (q *Queue) schedule(now float64, w *waiter) {
	if w.suspended || w.ready || w.InHeap() || w.entries <= 0 {
		return
	}
	if until := q.limitedUntil(w); until > now {
		w.delayedUntil = until
		q.delayed.Push(w)
		return
	}
	q.ready[w.priority].push(w)
}

// limitedUntil returns the time from which the message limit allows a proxy another message.
func (q *Queue) limitedUntil(w *waiter) float64 {
	limit := q.channel.MaxMessages
	if limit <= 0 || q.unpaced || w.sentCount < limit {
		return 0
	}
	return w.sentAt[w.nextSent] + q.channel.MessageWindow
}

// dequeue removes a waiter from the ready list or the delayed heap, and discards its queued entries.
func (q *Queue) dequeue(w *waiter) {
	if w.ready {
		q.ready[w.priority].remove(w)
	}
	q.delayed.Remove(w)
	if w.entries > 0 {
		q.entries -= w.entries + q.channel.MessageOverhead
	}
	w.entries = 0
}

func (q *Queue) refill(now float64) {
	burst := max(q.channel.EntriesPerSecond*burstSeconds, 1)
	q.tokens = min(burst, q.tokens+max(0, now-q.refillAt)*q.channel.EntriesPerSecond)
	q.refillAt = now
}
