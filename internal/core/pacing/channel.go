// Package pacing is the way out: which proxy gets its message next, at what pace. It holds no messages, only who
// waits: what a proxy is sent is made when its turn comes, so that a slow one gets the newest state and never a queue
// of old ones. It is pure.
package pacing

import (
	"container/heap"
	"math"

	"snowquay/balancer"
)

// burstFor is how many seconds of lines may leave at once after a pause: a round's worth, so that what little there
// is does not wait for the next one.
const burstFor = 0.05

// Priority says how much a waiting proxy's message matters.
type Priority int

const (
	Ordinary Priority = iota // weights, joins
	Urgent                   // drains, cold servers
)

type waiter struct {
	proxy       balancer.Proxy
	turn        Priority
	lines       float64
	prev, next  *waiter
	queued      bool
	held        bool      // it can't be sent anything now: its last message is under way
	until       float64   // the message limit holds it back until then
	index       int       // in the heap; -1: not there
	sent        []float64 // times of its latest messages, a ring as long as the limit
	at, written int
}

type list struct{ head, tail *waiter }

func (l *list) push(w *waiter) {
	w.prev, w.next, w.queued = l.tail, nil, true
	if l.tail != nil {
		l.tail.next = w
	} else {
		l.head = w
	}
	l.tail = w
}

func (l *list) remove(w *waiter) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		l.head = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		l.tail = w.prev
	}
	w.prev, w.next, w.queued = nil, nil, false
}

// Queue of the proxies that wait for a message. Use New.
type Queue struct {
	limits  balancer.Channel
	unpaced bool
	waiters map[balancer.Proxy]*waiter
	lists   [2]list // by turn
	later   heldBack
	lines   float64 // that wait, heads included
	tokens  float64
	at      float64
	peak    float64
}

// New makes a queue for a channel. unpaced leaves the pace out, for tests of that guard.
func New(c balancer.Channel, unpaced bool) *Queue {
	return &Queue{limits: c, unpaced: unpaced, waiters: map[balancer.Proxy]*waiter{}}
}

// Add says that a proxy waits for some more lines. A proxy that waits already keeps its place, and moves up if the
// turn is more urgent.
func (q *Queue) Add(now float64, p balancer.Proxy, lines float64, turn Priority) {
	w := q.waiters[p]
	if w == nil {
		w = &waiter{proxy: p, index: -1}
		q.waiters[p] = w
	}
	if w.lines == 0 {
		q.lines += q.limits.MessageOverhead
		w.turn = turn
	}
	w.lines += lines
	q.lines += lines
	q.peak = max(q.peak, q.lines)
	if turn > w.turn {
		if w.queued {
			q.lists[w.turn].remove(w)
		}
		w.turn = turn
	}
	q.place(now, w)
}

func (q *Queue) place(now float64, w *waiter) {
	switch {
	case w.held || w.queued || w.index >= 0 || w.lines <= 0:
	case q.freeAt(w) > now:
		w.until = q.freeAt(w)
		heap.Push(&q.later, w)
	default:
		q.lists[w.turn].push(w)
	}
}

// freeAt is when the limit on messages lets the proxy have one more.
func (q *Queue) freeAt(w *waiter) float64 {
	if n := q.limits.MaxMessages; n > 0 && !q.unpaced && w.written >= n {
		return w.sent[w.at] + q.limits.MessageWindow
	}
	return 0
}

// Suspend says that a proxy can't take a message now; it keeps what it waits for.
func (q *Queue) Suspend(p balancer.Proxy) {
	w := q.waiters[p]
	if w == nil {
		w = &waiter{proxy: p, index: -1}
		q.waiters[p] = w
	}
	if w.held = true; w.queued {
		q.lists[w.turn].remove(w)
	}
}

// Resume ends a Hold.
func (q *Queue) Resume(now float64, p balancer.Proxy) {
	if w := q.waiters[p]; w != nil {
		w.held = false
		q.place(now, w)
	}
}

// Forget forgets a proxy, its messages among them: a proxy that comes back counts from its joining.
func (q *Queue) Forget(p balancer.Proxy) {
	w := q.waiters[p]
	if w == nil {
		return
	}
	q.unqueue(w)
	delete(q.waiters, p)
}

// Drop says that a proxy needs no message after all; its earlier ones still count.
func (q *Queue) Drop(p balancer.Proxy) {
	if w := q.waiters[p]; w != nil {
		q.unqueue(w)
	}
}

func (q *Queue) unqueue(w *waiter) {
	if w.queued {
		q.lists[w.turn].remove(w)
	}
	if w.index >= 0 {
		heap.Remove(&q.later, w.index)
	}
	q.settle(w)
}

func (q *Queue) settle(w *waiter) {
	if w.lines > 0 {
		q.lines -= w.lines + q.limits.MessageOverhead
	}
	w.lines = 0
}

func (q *Queue) refill(now float64) {
	most := max(q.limits.EntriesPerSecond*burstFor, 1)
	q.tokens = min(most, q.tokens+max(0, now-q.at)*q.limits.EntriesPerSecond)
	q.at = now
}

// Next is the proxy whose turn it is, urgent ones first, else in the order in which they came to wait. ok is false
// while the pace allows none, or nobody waits. The caller sends and says Sent, or says Hold or Leave.
func (q *Queue) Next(now float64) (p balancer.Proxy, ok bool) {
	for len(q.later) > 0 && q.later[0].until <= now {
		w := heap.Pop(&q.later).(*waiter)
		q.place(now, w)
	}
	if q.refill(now); q.tokens <= 0 && !q.unpaced {
		return 0, false
	}
	for _, turn := range []Priority{Urgent, Ordinary} {
		if w := q.lists[turn].head; w != nil {
			return w.proxy, true
		}
	}
	return 0, false
}

// MarkSent says that a proxy got its message of so many lines, whether it waited or asked for it.
func (q *Queue) MarkSent(now float64, p balancer.Proxy, lines float64) {
	q.refill(now)
	w := q.waiters[p]
	if w == nil {
		w = &waiter{proxy: p, index: -1}
		q.waiters[p] = w
	}
	q.unqueue(w)
	q.tokens -= lines + q.limits.MessageOverhead
	if n := q.limits.MaxMessages; n > 0 {
		if w.sent == nil {
			w.sent = make([]float64, n)
		}
		w.sent[w.at], w.at, w.written = now, (w.at+1)%n, min(w.written+1, n)
	}
}

// MessagesLeft is how many messages the limit lets a proxy have before its oldest ones no longer count.
func (q *Queue) MessagesLeft(p balancer.Proxy) int {
	if w := q.waiters[p]; w != nil && q.limits.MaxMessages > 0 {
		n := 0
		for _, at := range w.sent {
			if at > 0 && at > q.at-q.limits.MessageWindow {
				n++
			}
		}
		return q.limits.MaxMessages - n
	}
	return math.MaxInt
}

// IsUrgent tells whether an urgent message waits for a proxy.
func (q *Queue) IsUrgent(p balancer.Proxy) bool {
	w := q.waiters[p]
	return w != nil && w.lines > 0 && w.turn == Urgent
}

// IsQueued tells whether a proxy waits for lines.
func (q *Queue) IsQueued(p balancer.Proxy) bool {
	w := q.waiters[p]
	return w != nil && w.lines > 0
}

// QueuedEntries that wait for a proxy.
func (q *Queue) QueuedEntries(p balancer.Proxy) float64 {
	if w := q.waiters[p]; w != nil {
		return w.lines
	}
	return 0
}

// TotalQueued is the number of lines that wait, heads included, and the most that ever did.
func (q *Queue) TotalQueued() (lines, peak float64) { return q.lines, q.peak }

// heldBack is a heap of proxies that the limit on messages holds back, first due on top.
type heldBack []*waiter

func (h heldBack) Len() int           { return len(h) }
func (h heldBack) Less(i, j int) bool { return h[i].until < h[j].until }
func (h heldBack) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *heldBack) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}
func (h *heldBack) Pop() any {
	w := (*h)[len(*h)-1]
	w.index = -1
	*h = (*h)[:len(*h)-1]
	return w
}
