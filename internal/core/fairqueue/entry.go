package fairqueue

import (
	"snowquay/internal/core/indexedheap"
	"snowquay/internal/core/timingwheel"
)

// entry is the scheduling state of a key.
type entry[K comparable] struct {
	indexedheap.Position // position in Queue.due
	key                  K
	weight               float64
	startTag             float64 // virtual time at which its next turn starts, in work divided by weight
	timer                timingwheel.Timer[*entry[K]]

	dueSince    float64 // clock time in seconds at which it became due
	longestWait float64 // longest time in seconds between becoming due and the turn
	work        float64 // seconds of work charged since the key was added

	urgent                bool    // its next turn is urgent
	hasUrgentTurn         bool    // its latest turn was urgent and has not been charged yet
	urgentBudget          float64 // seconds of work that it may still do in urgent turns
	urgentBudgetUpdatedAt float64 // clock time in seconds
}

// Less orders due keys: urgent ones first, by the time at which they became due, then the others by start tag.
func (e *entry[K]) Less(other *entry[K]) bool {
	if e.urgent != other.urgent {
		return e.urgent
	}
	if e.urgent {
		return e.dueSince < other.dueSince
	}
	return e.startTag < other.startTag || e.startTag == other.startTag && e.dueSince < other.dueSince
}

// refillUrgentBudget adds the urgent work that has accrued at a rate per weight, and reports whether the budget permits an urgent turn.
// The budget prevents a tenant that orders one drain after another from always going first.
func (e *entry[K]) refillUrgentBudget(now, ratePerWeight float64) bool {
	rate := ratePerWeight * e.weight
	elapsed := max(now-e.urgentBudgetUpdatedAt, 0)
	e.urgentBudget = min(rate*urgentBurstSeconds, e.urgentBudget+elapsed*rate)
	e.urgentBudgetUpdatedAt = now
	return e.urgentBudget > 0
}
