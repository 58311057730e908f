// Package retry decides whether a failed request may be retried, and at which servers, according to its class, its previous attempts and
// a retry budget. It does no I/O and reads no clock.
package retry

import "snowquay/balancer"

// Outcome is the outcome of an attempt that received no response.
type Outcome int

// The possible outcomes of a failed attempt.
const (
	NotExecuted   Outcome = iota // it is certain that the server never started to execute the request
	MaybeExecuted                // the attempt failed after the server may have received the request
)

// Location identifies a server with its zone and failure domain.
type Location struct {
	Server        balancer.Server
	Zone          balancer.Zone
	FailureDomain balancer.FailureDomain
}

const (
	maxTriedServers  = 4    // number of servers that are remembered as tried
	minRemainingTime = 0.02 // seconds; with less time until the deadline, a retry cannot complete in time
)

// Request holds the retry state of a request. Times are clock times in seconds.
type Request struct {
	Class          balancer.RequestClass
	Policy         balancer.RetryPolicy // set by the coordinator or the settings
	Deadline       float64              // time at which the client gives up
	HasKey         bool                 // whether it carries an idempotency key by which servers recognize a retry
	Attempts       int                  // number of attempts so far
	MaybeExecuted  bool                 // whether an attempt may have been executed
	FirstExecution Location             // server of the first attempt that may have been executed
	FirstSentAt    float64              // time at which that attempt was sent
	tried          [maxTriedServers]balancer.Server
}

// RecordAttempt records that the request was sent to a server.
func (r *Request) RecordAttempt(server balancer.Server) {
	r.tried[r.Attempts%maxTriedServers] = server
	r.Attempts++
}

// RecordFailure records the outcome of the latest attempt, which was sent to the location at the clock time sentAt in seconds.
func (r *Request) RecordFailure(location Location, sentAt float64, outcome Outcome) {
	if outcome != MaybeExecuted || r.MaybeExecuted {
		return
	}
	r.MaybeExecuted = true
	r.FirstExecution = location
	r.FirstSentAt = sentAt
}

// Tried reports whether the request has already been sent to a server.
func (r *Request) Tried(server balancer.Server) bool {
	for i := range min(r.Attempts, maxTriedServers) {
		if r.tried[i] == server {
			return true
		}
	}
	return false
}

// MayRetry reports whether a request whose latest attempt ended with the given outcome may be retried now. It prevents requests from taking
// effect twice: a non-idempotent request is retried only if it is certain that no attempt was executed, and a keyed request only
// with its key and only while servers still remember the first attempt.
func (r *Request) MayRetry(now float64, last Outcome) bool {
	if r.Policy == balancer.RetryNever {
		return false
	}
	maxRetries := 1
	if r.Policy == balancer.RetryTwice {
		maxRetries = 2
	}
	if r.Attempts > maxRetries || r.Deadline-now < minRemainingTime {
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

// AllowedAt reports whether a retry may be sent to a server. Once an attempt may have been executed, only servers that recognize the
// request are allowed.
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
