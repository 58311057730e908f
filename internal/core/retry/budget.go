package retry

// Budget limits retries to a fraction of the requests, so that retries do not multiply the load on failing servers. It is a token bucket
// that is refilled by requests.
type Budget struct {
	Ratio   float64 // retries per request
	Burst   float64 // maximum number of retries that may be sent at once
	tokens  float64
	started bool
}

// DefaultBudget is the budget that is used if the settings specify none.
var DefaultBudget = Budget{Ratio: 0.2, Burst: 10}

// RecordRequest adds the tokens for one request to the budget. It is called once for each request, not for retries.
func (b *Budget) RecordRequest() {
	if !b.started {
		b.started = true
		b.tokens = b.Burst
	}
	b.tokens = min(b.Burst, b.tokens+b.Ratio)
}

// TryRetry takes a retry from the budget. It reports whether the budget allowed it.
func (b *Budget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
