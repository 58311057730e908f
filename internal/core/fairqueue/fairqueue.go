// Package fairqueue schedules the work of many tenants on one event loop by start-time fair queueing, within a CPU budget: a tenant
// that uses much CPU time waits for those that use little. Urgent turns, which are for drains, go first as long as a tenant has not
// used up its share of them. It is pure.
//
// Times at which tenants are due are kept in a timing wheel, those that are due in a heap by start tag. A turn costs a heap operation,
// a tenant that is not due costs nothing.
package fairqueue

import (
	"snowquay/internal/core/indexedheap"
	"snowquay/internal/core/timingwheel"
)

// Config configures a Queue. Work is in seconds of CPU time.
type Config struct {
	Rate       float64 // work per second
	Burst      float64 // work that may be done at once after a pause; it also bounds how long others wait
	Reserve    float64 // work beyond the burst, for urgent turns only
	UrgentRate float64 // work per second in urgent turns of a tenant with weight 1, on average
	IdleCredit float64 // work by which a tenant with weight 1 is ahead of others after it was idle, so that light ones do not wait
	Tick       float64 // seconds of the timing wheel
}

// DefaultConfig leaves three tenths of a core to input: receiving data and answering calls.
var DefaultConfig = Config{Rate: 0.7, Burst: 0.014, Reserve: 0.007, UrgentRate: 0.02, IdleCredit: 0.005, Tick: 0.005}

// urgentBurstSeconds is the seconds over which a tenant may save up urgent work.
const urgentBurstSeconds = 2.0

// Stats are totals since the start, for metrics.
type Stats struct {
	Turns           int
	Urgent          int // turns that were urgent
	BudgetExhausted int // calls of Next for which a key was due and the budget was used up
}

// Queue schedules keys. Use New. All times are clock times in seconds.
type Queue[K comparable] struct {
	// Stats are totals for metrics.
	Stats Stats

	config          Config
	entries         map[K]*entry[K]
	wheel           *timingwheel.Wheel[*entry[K]]
	due             indexedheap.Heap[*entry[K]]
	virtualTime     float64 // start tag of the latest turn that was not urgent, in work over weight
	budget          float64 // work that may be done now
	budgetUpdatedAt float64
}

// New returns an empty queue with its full budget.
func New[K comparable](now float64, config Config) *Queue[K] {
	return &Queue[K]{
		config:          config,
		entries:         map[K]*entry[K]{},
		wheel:           timingwheel.New[*entry[K]](now, config.Tick),
		budget:          config.Burst,
		budgetUpdatedAt: now,
	}
}

// Set adds a key with a weight greater than 0, or changes its weight. A key that was added is not due.
func (q *Queue[K]) Set(now float64, key K, weight float64) {
	existing := q.entries[key]
	if existing != nil {
		existing.weight = weight
		return
	}
	added := &entry[K]{
		key:                   key,
		weight:                weight,
		startTag:              q.virtualTime,
		urgentBudget:          q.config.UrgentRate * weight * urgentBurstSeconds,
		urgentBudgetUpdatedAt: now,
	}
	added.timer.Value = added
	q.entries[key] = added
}

// Remove removes a key.
func (q *Queue[K]) Remove(key K) {
	removed := q.entries[key]
	if removed == nil {
		return
	}
	q.wheel.Cancel(&removed.timer)
	q.due.Remove(removed)
	delete(q.entries, key)
}

// ScheduleAt makes a key due at a clock time, in place of the time that was set before.
func (q *Queue[K]) ScheduleAt(key K, at float64) {
	scheduled := q.entries[key]
	if scheduled != nil {
		q.wheel.Set(&scheduled.timer, at)
	}
}

// MarkDue makes a key due now. If urgent is set, it gets its turn before others unless its share of urgent work is used up.
func (q *Queue[K]) MarkDue(now float64, key K, urgent bool) {
	marked := q.entries[key]
	if marked != nil {
		q.markDue(now, marked, urgent)
	}
}

func (q *Queue[K]) markDue(now float64, marked *entry[K], urgent bool) {
	if urgent && !marked.urgent && marked.refillUrgentBudget(now, q.config.UrgentRate) {
		marked.urgent = true
		q.due.Fix(marked)
	}
	if marked.InHeap() {
		return
	}
	marked.startTag = q.earliestStartTag(marked)
	marked.dueSince = now
	q.due.Push(marked)
}

// earliestStartTag is at most the idle credit behind the virtual time: a key does not save up more work while it is idle.
func (q *Queue[K]) earliestStartTag(e *entry[K]) float64 {
	return max(e.startTag, q.virtualTime-q.config.IdleCredit/e.weight)
}

// Next returns the key whose turn it is. ok is false if none is due or the budget is used up. The caller does the key's work and then
// calls Charge.
func (q *Queue[K]) Next(now float64) (key K, ok bool) {
	q.wheel.Advance(now, func(expired *entry[K]) { q.markDue(now, expired, false) })
	hasBudget := q.HasBudget(now)
	if q.due.Len() == 0 {
		return key, false
	}
	next := q.due.First()
	mayUseReserve := next.urgent && q.budget > -q.config.Reserve
	if !hasBudget && !mayUseReserve {
		q.Stats.BudgetExhausted++
		return key, false
	}
	q.Stats.Turns++
	if next.urgent {
		q.Stats.Urgent++
	} else {
		q.virtualTime = max(q.virtualTime, next.startTag)
	}
	next.longestWait = max(next.longestWait, now-next.dueSince)
	q.due.Remove(next)
	next.hasUrgentTurn = next.urgent
	next.urgent = false
	return next.key, true
}

// Charge charges a key with work in seconds, which it did in its turn or for input.
func (q *Queue[K]) Charge(key K, work float64) {
	q.budget -= work
	charged := q.entries[key]
	if charged == nil {
		return
	}
	if charged.hasUrgentTurn {
		charged.urgentBudget -= work
		charged.hasUrgentTurn = false
	}
	charged.work += work
	charged.startTag = q.earliestStartTag(charged) + work/charged.weight
	q.due.Fix(charged)
}

// Usage returns the work of a key since it was added, and the longest time that it was due before its turn, in seconds.
func (q *Queue[K]) Usage(key K) (work, longestWait float64) {
	used := q.entries[key]
	if used == nil {
		return 0, 0
	}
	return used.work, used.longestWait
}

// HasBudget reports whether work may be done now.
func (q *Queue[K]) HasBudget(now float64) bool {
	elapsed := max(now-q.budgetUpdatedAt, 0)
	q.budget = min(q.config.Burst, q.budget+elapsed*q.config.Rate)
	q.budgetUpdatedAt = max(now, q.budgetUpdatedAt)
	return q.budget > 0
}

// Len returns the number of keys.
func (q *Queue[K]) Len() int { return len(q.entries) }

// DueLen returns the number of keys that are due.
func (q *Queue[K]) DueLen() int { return q.due.Len() }
