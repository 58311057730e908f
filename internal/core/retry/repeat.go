// Package retry decides whether a query that failed may be sent once more, and where: by what its class allows, by what is
// known of the tries so far, and within a budget. It is pure.
package retry

import "snowquay/balancer"

// Outcome of a try that brought no answer.
type Outcome int

// What is known of a failed attempt.
const (
	NotExecuted   Outcome = iota // it is proved that the server never began with it
	MaybeExecuted                // it failed after the server may have had it
)

// Location of a server.
type Location struct {
	Server        balancer.Server
	Zone          balancer.Zone
	FailureDomain balancer.FailureDomain
}

// Request is what is known of a query's tries.
type Request struct {
	Class          balancer.RequestClass
	Policy         balancer.RetryPolicy // that the coordinator orders, or the settings
	Deadline       float64              // clock time at which its client gives it up
	HasKey         bool                 // it carries a key by which servers know a repeat
	Attempts       int                  // so far
	MaybeExecuted  bool                 // one of them may have run
	FirstExecution Location             // the first that may have run
	FirstSentAt    float64              // when that one was sent
	tried          [keptTried]balancer.Server
}

const (
	keptTried = 4    // servers that a query has been at
	leastLeft = 0.02 // seconds that a client must still wait for a repeat to make sense: a way there and back, and a little work
)

// RecordAttempt notes a try.
func (q *Request) RecordAttempt(s balancer.Server) {
	q.tried[q.Attempts%keptTried] = s
	q.Attempts++
}

// RecordFailure notes how the latest try ended.
func (q *Request) RecordFailure(at Location, sent float64, o Outcome) {
	if o == MaybeExecuted && !q.MaybeExecuted {
		q.MaybeExecuted, q.FirstExecution, q.FirstSentAt = true, at, sent
	}
}

// Tried tells whether a server had the query already.
func (q *Request) Tried(s balancer.Server) bool {
	for i := range min(q.Attempts, keptTried) {
		if q.tried[i] == s {
			return true
		}
	}
	return false
}

// MayRetry tells whether a query whose latest try ended so may be sent once more now. Guards against effects that happen twice: a
// single-shot query is repeated only on proof that no try of it has run; a guarded one only under its key, to servers that
// drop each other's repeats, and while they still know the first. It does harm to those who would rather have had two
// effects than none.
func (q *Request) MayRetry(now float64, last Outcome) bool {
	most := 1
	switch q.Policy {
	case balancer.RetryNever:
		return false
	case balancer.RetryTwice:
		most = 2
	}
	if q.Attempts > most || q.Deadline-now < leastLeft || last == MaybeExecuted && q.Policy == balancer.RetryIfNotExecuted {
		return false
	}
	if !q.MaybeExecuted {
		return true
	}
	switch q.Class.Idempotency {
	case balancer.Idempotent:
		return true
	case balancer.Keyed:
		return q.HasKey && now < q.FirstSentAt+q.Class.DedupWindow
	}
	return false
}

// AllowedAt tells whether a repeat may go to a server.
func (q *Request) AllowedAt(p Location) bool {
	if q.Class.Idempotency == balancer.Idempotent || !q.MaybeExecuted {
		return true
	}
	if q.Class.Idempotency == balancer.NonIdempotent {
		return false
	}
	switch q.Class.DedupScope {
	case balancer.SameZone:
		return p.Zone == q.FirstExecution.Zone
	case balancer.SameFailureDomain:
		return p.FailureDomain == q.FirstExecution.FailureDomain
	}
	return true
}

// Budget keeps repeats under a part of all first tries, so that a fleet in trouble is not sent more than it is asked.
type Budget struct {
	Ratio float64 // repeats for each first try
	Burst float64 // that may come at once
	left  float64
	begun bool
}

// DefaultBudget is what settings start from.
var DefaultBudget = Budget{Ratio: 0.2, Burst: 10}

// RecordRequest notes a query's first try.
func (b *Budget) RecordRequest() {
	if !b.begun {
		b.begun, b.left = true, b.Burst
	}
	b.left = min(b.Burst, b.left+b.Ratio)
}

// TryRetry asks for a repeat.
func (b *Budget) TryRetry() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
