// Package fairqueue schedules the work of many tenants on one event loop by start-time fair queueing, within a CPU budget: a tenant
// that uses much CPU time waits for those that use little. Urgent turns, which are for drains, go first as long as the tenant has not
// used up its share of them. The package does no I/O and reads no clock.
//
// A timing wheel holds the times at which tenants become due, and a heap holds the due tenants by start tag. A turn costs one heap
// operation; a tenant that is not due costs nothing.
package fairqueue

import (
	"snowquay/internal/core/indexedheap"
	"snowquay/internal/core/timingwheel"
)

// Config configures a Queue. Work is in seconds of CPU time.
type Config struct {
	Rate       float64 // work per second
	Burst      float64 // work that may be done at once after a pause; it also limits how long others wait
	Reserve    float64 // work in excess of the budget that only urgent turns may do
	UrgentRate float64 // average work per second in urgent turns of a tenant with weight 1
	IdleCredit float64 // lead in work of a tenant with weight 1 after it was idle, so that light tenants do not wait
	Tick       float64 // resolution of the timing wheel in seconds
}

// DefaultConfig leaves three tenths of a core to input, which is receiving data and answering calls.
var DefaultConfig = Config{Rate: 0.7, Burst: 0.014, Reserve: 0.007, UrgentRate: 0.02, IdleCredit: 0.005, Tick: 0.005}

// urgentBurstSeconds is the number of seconds over which a tenant's budget for urgent work may accrue.
const urgentBurstSeconds = 2.0

// Stats are totals since the queue was created, for metrics.
type Stats struct {
	Turns           int
	Urgent          int // urgent turns
	BudgetExhausted int // calls of Next with a due key that got no turn because the budget was used up
}

// Queue schedules the turns of keys, for instance tenants. Create one with New. All times are clock times in seconds.
type Queue[K comparable] struct {
	// Stats are the totals for metrics.
	Stats Stats

	config          Config
	entries         map[K]*entry[K]
	wheel           *timingwheel.Wheel[*entry[K]]
	due             indexedheap.Heap[*entry[K]]
	virtualTime     float64 // highest start tag of a turn that was not urgent, in work divided by weight
	budget          float64 // work that may be done now; negative after an overrun
	budgetUpdatedAt float64
}

// New returns an empty queue with a full budget.
func New[K comparable](now float64, config Config) *Queue[K] {
	return &Queue[K]{
		config:          config,
		entries:         map[K]*entry[K]{},
		wheel:           timingwheel.New[*entry[K]](now, config.Tick),
		budget:          config.Burst,
		budgetUpdatedAt: now,
	}
}

// Set adds a key with a weight greater than 0, or changes its weight. A new key is not due.
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

// ScheduleAt makes a key due at a clock time, which replaces the time that was set before.
func (q *Queue[K]) ScheduleAt(key K, at float64) {
	scheduled := q.entries[key]
	if scheduled != nil {
		q.wheel.Set(&scheduled.timer, at)
	}
}

// MarkDue makes a key due now. If urgent is true, its turn precedes those that are not urgent, unless its budget of urgent work is used up.
func (q *Queue[K]) MarkDue(now float64, key K, urgent bool) {
	marked := q.entries[key]
	if marked != nil {
		q.markDue(now, marked, urgent)
	}
}

// markDue implements MarkDue for an entry.
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

// earliestStartTag returns a key's start tag, raised to at least the virtual time less the idle credit, which limits the work that a key
// accrues while it is idle.
func (q *Queue[K]) earliestStartTag(e *entry[K]) float64 {
	return max(e.startTag, q.virtualTime-q.config.IdleCredit/e.weight)
}

// Next returns the key whose turn it is. ok is false if no key is due or the budget is used up. The caller does the key's work and then
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

// Charge charges a key for work in seconds, which was done in its turn or for its input.
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

// Usage returns the work of a key since it was added and its longest wait from becoming due to its turn, both in seconds.
func (q *Queue[K]) Usage(key K) (work, longestWait float64) {
	used := q.entries[key]
	if used == nil {
		return 0, 0
	}
	return used.work, used.longestWait
}

// HasBudget adds the budget that has accrued and reports whether work may be done now.
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
