// Package retry decides whether a failed request may be sent once more, and where: by what its class allows, by what is known of
// its attempts so far, and within a retry budget. It is pure.
package retry

import "snowquay/balancer"

// Outcome of an attempt that brought no answer.
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

const (
	rememberedAttempts = 4    // servers that a request has been sent to
	minTimeLeft        = 0.02 // seconds until the deadline, below which a retry cannot be answered in time
)

// Request is what is known of a request's attempts. Times are clock times in seconds.
type Request struct {
	Class          balancer.RequestClass
	Policy         balancer.RetryPolicy // as the coordinator or the settings order
	Deadline       float64              // when its client gives up
	HasKey         bool                 // it carries a key by which servers recognise a retry
	Attempts       int                  // so far
	MaybeExecuted  bool                 // one of them may have been executed
	FirstExecution Location             // the first that may have been executed
	FirstSentAt    float64              // when that one was sent
	tried          [rememberedAttempts]balancer.Server
}

// RecordAttempt records that the request was sent to a server.
func (r *Request) RecordAttempt(server balancer.Server) {
	r.tried[r.Attempts%rememberedAttempts] = server
	r.Attempts++
}

// RecordFailure records how the latest attempt ended. sentAt is the clock time in seconds at which it was sent.
func (r *Request) RecordFailure(location Location, sentAt float64, outcome Outcome) {
	if outcome != MaybeExecuted || r.MaybeExecuted {
		return
	}
	r.MaybeExecuted = true
	r.FirstExecution = location
	r.FirstSentAt = sentAt
}

// Tried reports whether a server has had the request already.
func (r *Request) Tried(server balancer.Server) bool {
	for i := range min(r.Attempts, rememberedAttempts) {
		if r.tried[i] == server {
			return true
		}
	}
	return false
}

// MayRetry reports whether a request whose latest attempt ended with this outcome may be sent once more now. It prevents effects
// that happen twice: a request that is not idempotent is retried only if it is proved that no attempt was executed; one with an
// idempotency key only under that key, and while servers still remember the first attempt.
func (r *Request) MayRetry(now float64, last Outcome) bool {
	if r.Policy == balancer.RetryNever {
		return false
	}
	maxRetries := 1
	if r.Policy == balancer.RetryTwice {
		maxRetries = 2
	}
	if r.Attempts > maxRetries || r.Deadline-now < minTimeLeft {
		return false
	}
	if last == MaybeExecuted && r.Policy == balancer.RetryIfNotExecuted {
		return false
	}
	if !r.MaybeExecuted {
		return true
	}
	switch r.Class.Idempotency {
	case balancer.Idempotent:
		return true
	case balancer.Keyed:
		return r.HasKey && now < r.FirstSentAt+r.Class.DedupWindow
	}
	return false
}

// AllowedAt reports whether a retry may go to a server: once an attempt may have been executed, only to servers that recognise it.
func (r *Request) AllowedAt(location Location) bool {
	if r.Class.Idempotency == balancer.Idempotent || !r.MaybeExecuted {
		return true
	}
	if r.Class.Idempotency == balancer.NonIdempotent {
		return false
	}
	switch r.Class.DedupScope {
	case balancer.SameZone:
		return location.Zone == r.FirstExecution.Zone
	case balancer.SameFailureDomain:
		return location.FailureDomain == r.FirstExecution.FailureDomain
	}
	return true
}
