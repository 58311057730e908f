package fairqueue

import (
	"snowquay/internal/core/indexedheap"
	"snowquay/internal/core/timingwheel"
)

// entry is the state of a key.
type entry[K comparable] struct {
	indexedheap.Position // among those that are due
	key                  K
	weight               float64
	startTag             float64 // virtual time at which its next turn starts, in work over weight
	timer                timingwheel.Timer[*entry[K]]

	dueSince    float64 // clock time in seconds
	longestWait float64 // seconds
	work        float64 // seconds since it was added

	urgent                bool // its next turn is
	hasUrgentTurn         bool // its turn is urgent and not charged yet
	urgentBudget          float64
	urgentBudgetUpdatedAt float64 // clock time in seconds
}

// Less orders keys that are due: urgent ones in the order in which they became due, then others by start tag.
func (e *entry[K]) Less(other *entry[K]) bool {
	if e.urgent != other.urgent {
		return e.urgent
	}
	if e.urgent {
		return e.dueSince < other.dueSince
	}
	return e.startTag < other.startTag || e.startTag == other.startTag && e.dueSince < other.dueSince
}

// refillUrgentBudget adds what has accrued at a rate per weight, and reports whether urgent work may be done. It keeps a tenant that
// orders one drain after the other from being always first.
func (e *entry[K]) refillUrgentBudget(now, ratePerWeight float64) bool {
	rate := ratePerWeight * e.weight
	elapsed := max(now-e.urgentBudgetUpdatedAt, 0)
	e.urgentBudget = min(rate*urgentBurstSeconds, e.urgentBudget+elapsed*rate)
	e.urgentBudgetUpdatedAt = now
	return e.urgentBudget > 0
}
