package retry

// Budget limits retries to a fraction of the requests, so that retries do not multiply the load of servers that are failing. It is
// a token bucket that requests fill.
type Budget struct {
	Ratio   float64 // retries for each request
	Burst   float64 // retries that may be sent at once
	tokens  float64
	started bool
}

// DefaultBudget is the budget when the settings have none.
var DefaultBudget = Budget{Ratio: 0.2, Burst: 10}

// RecordRequest records a request's first attempt.
func (b *Budget) RecordRequest() {
	if !b.started {
		b.started = true
		b.tokens = b.Burst
	}
	b.tokens = min(b.Burst, b.tokens+b.Ratio)
}

// TryRetry takes a retry from the budget. It reports whether there was one left.
func (b *Budget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
