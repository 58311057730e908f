// Package pacing schedules messages to proxies over a channel with a rate limit: it says which proxy is sent its
// message next, and when.
//
// The queue holds no messages, only which proxies wait and for how many table entries. A message is built when its
// proxy's turn comes, so that a slow proxy gets the newest state instead of a queue of old ones. The package is pure:
// times are arguments, in seconds.
package pacing

import (
	"math"

	"snowquay/balancer"
	"snowquay/internal/core/indexedheap"
)

// burstSeconds is for how many seconds entries may be sent at once after a pause: about a round, so that a few entries
// do not wait for the next one.
const burstSeconds = 0.05

// Priority of a waiting proxy. A higher one goes first.
type Priority int

// The priorities, lowest first.
const (
	Normal Priority = iota // weights, joins
	Urgent                 // drains, servers that are warming up
	priorities
)

// Queue holds the proxies that wait for a message. Use New. It is not safe for concurrent use.
type Queue struct {
	channel  balancer.Channel
	unpaced  bool
	waiters  map[balancer.Proxy]*waiter
	ready    [priorities]waiterList
	delayed  indexedheap.Heap[*waiter] // by the message limit
	entries  float64                   // that wait, with the overhead of their messages
	peak     float64                   // the most entries that ever waited
	tokens   float64                   // entries that may be sent now; below 0 after a large message
	refillAt float64                   // of the last refill of tokens
}

// New makes a queue for a channel. With unpaced, its rate and message limits do not hold, for tests of that safeguard.
func New(channel balancer.Channel, unpaced bool) *Queue {
	return &Queue{channel: channel, unpaced: unpaced, waiters: map[balancer.Proxy]*waiter{}}
}

// Add queues some more entries for a proxy. A proxy that waits already keeps its place, unless the priority is higher
// than what it had.
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

// Suspend says that a proxy can't be sent a message now. What it waits for is kept until Resume.
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

// Forget removes a proxy and its message history: if it comes back, the message limit starts anew.
func (q *Queue) Forget(proxy balancer.Proxy) {
	w := q.waiters[proxy]
	if w == nil {
		return
	}
	q.dequeue(w)
	delete(q.waiters, proxy)
}

// Drop says that a proxy needs no message after all. Its earlier ones still count for the message limit.
func (q *Queue) Drop(proxy balancer.Proxy) {
	if w := q.waiters[proxy]; w != nil {
		q.dequeue(w)
	}
}

// Next is the proxy whose turn it is: the highest priority first, then the longest waiting. ok is false while the rate
// allows no message, or no proxy waits. The caller sends the message and calls MarkSent, or calls Suspend, Drop or
// Forget.
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

// MarkSent says that a proxy was sent a message with some entries, whether it waited for one or not.
func (q *Queue) MarkSent(now float64, proxy balancer.Proxy, entries float64) {
	q.refill(now)
	w := q.waiter(proxy)
	q.dequeue(w)
	q.tokens -= entries + q.channel.MessageOverhead
	w.markSent(now, q.channel.MaxMessages)
}

// MessagesLeft is how many messages the message limit still allows a proxy in the present window.
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

// IsUrgent tells whether an urgent message waits for a proxy.
func (q *Queue) IsUrgent(proxy balancer.Proxy) bool {
	return q.IsQueued(proxy) && q.waiters[proxy].priority == Urgent
}

// IsQueued tells whether a proxy waits for entries.
func (q *Queue) IsQueued(proxy balancer.Proxy) bool { return q.QueuedEntries(proxy) > 0 }

// QueuedEntries is the number of entries that a proxy waits for, without the overhead of their message.
func (q *Queue) QueuedEntries(proxy balancer.Proxy) float64 {
	w := q.waiters[proxy]
	if w == nil {
		return 0
	}
	return w.entries
}

// TotalQueued is the number of entries that wait, with the overhead of their messages, and the most that ever did.
func (q *Queue) TotalQueued() (entries, peak float64) { return q.entries, q.peak }

// waiter finds the state of a proxy, and makes it if there is none.
func (q *Queue) waiter(proxy balancer.Proxy) *waiter {
	w := q.waiters[proxy]
	if w == nil {
		w = &waiter{proxy: proxy}
		q.waiters[proxy] = w
	}
	return w
}

// schedule puts a waiter where it belongs, unless it is there already or has nothing to wait for.
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

// limitedUntil is when the message limit allows a proxy one more message.
func (q *Queue) limitedUntil(w *waiter) float64 {
	limit := q.channel.MaxMessages
	if limit <= 0 || q.unpaced || w.sentCount < limit {
		return 0
	}
	return w.sentAt[w.nextSent] + q.channel.MessageWindow
}

// dequeue removes a waiter from the queue, and what it waits for.
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
