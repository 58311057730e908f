package forwarding

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/retry"
)

// minHedgeDelay is the delay in seconds that HedgeAfter must exceed for requests to be hedged, so that a hedge is never sent immediately.
const minHedgeDelay = 0.0001

// location returns the location of a server. An unconfigured server shares no zone or failure domain with a configured one.
func (p *Proxy) location(server balancer.Server) retry.Location {
	if location, ok := p.config.Locations[server]; ok {
		return location
	}
	return retry.Location{Server: server, Zone: -1, FailureDomain: -1}
}

// fallback specifies which servers a pick may choose in addition to the preferred ones.
type fallback struct {
	ejected bool // servers ejected by outlier detection
	tried   bool // servers that the request has already been sent to
}

// fallbacks lists the fallbacks in the order in which pick tries them.
var fallbacks = []fallback{
	{},
	{ejected: true},
	{tried: true},
	{ejected: true, tried: true},
}

// pick selects a server for the next attempt of a request. ok is false if no server is eligible.
func (p *Proxy) pick(now float64, req *request) (server balancer.Server, ok bool) {
	table := p.Tables.Table(req.received.Class)
	for _, allowed := range fallbacks {
		server, ok = table.Pick(func(server balancer.Server) bool { return p.isEligible(now, req, server, allowed) })
		if ok {
			return server, true
		}
	}
	return "", false
}

// isEligible reports whether a request may be sent to a server, given the fallback.
func (p *Proxy) isEligible(now float64, req *request, server balancer.Server, allowed fallback) bool {
	if !p.Admission.HasCapacity(server) {
		return false
	}
	if !allowed.ejected && p.Outliers.Ejected(now, server) {
		return false
	}
	if !allowed.tried && req.state.Tried(server) {
		return false
	}
	return req.state.AllowedAt(p.location(server))
}

// sendAttempt starts the next attempt of a request. It returns false if no server is eligible.
func (p *Proxy) sendAttempt(now float64, req *request) bool {
	server, ok := p.pick(now, req)
	if !ok {
		return false
	}
	p.lastAttempt++
	a := &attempt{id: p.lastAttempt, server: server, sentAt: now}
	req.attempts = append(req.attempts, a)
	req.state.RecordAttempt(server)
	p.attempts[a.id] = req
	p.Admission.BeginAttempt(server)
	p.Stats.Attempts++
	if totals := p.totalsOf(server); totals != nil {
		totals.Attempts++
	}
	slowAfter := req.state.Class.LatencyObjective
	if p.hedges(req) {
		slowAfter = p.config.HedgeAfter
	}
	p.slowTimers.Set(&req.slowTimer, now+slowAfter)
	p.actions = append(p.actions, Action{Kind: Send, Request: req.id, Attempt: a.id, Server: server})
	return true
}

// attempt returns the in-flight attempt with the given ID, or nil if there is none.
func (r *request) attempt(id AttemptID) *attempt {
	for _, a := range r.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// endAttempt removes an attempt from the attempts in flight.
func (p *Proxy) endAttempt(req *request, ended *attempt) {
	delete(p.attempts, ended.id)
	p.Admission.EndAttempt(ended.server)
	if i := slices.Index(req.attempts, ended); i >= 0 {
		req.attempts = slices.Delete(req.attempts, i, i+1)
	}
}

// AttemptSucceeded ends an attempt that received a response, together with its request. ok is false if the attempt is no longer in
// flight.
func (p *Proxy) AttemptSucceeded(now float64, id AttemptID) (request RequestID, actions []Action, ok bool) {
	req := p.attempts[id]
	if req == nil {
		return 0, nil, false
	}
	a := req.attempt(id)
	p.endAttempt(req, a)
	p.Outliers.RecordSuccess(a.server)
	if totals := p.totalsOf(a.server); totals != nil {
		totals.LatencySum += now - a.sentAt
	}
	p.recordExecution(req, a)
	p.Stats.Answered++
	p.endRequest(req)
	return req.id, p.takeActions(), true
}

// AttemptFailed ends an attempt that received no response. The request is retried if that is allowed, and fails otherwise.
func (p *Proxy) AttemptFailed(now float64, id AttemptID, outcome retry.Outcome) []Action {
	req := p.attempts[id]
	if req == nil {
		return nil
	}
	p.handleFailedAttempt(now, req, req.attempt(id), outcome)
	return p.takeActions()
}

// handleFailedAttempt ends a failed attempt and retries the request, or fails it if no other attempt is in flight and it cannot be retried.
func (p *Proxy) handleFailedAttempt(now float64, req *request, a *attempt, outcome retry.Outcome) {
	p.endAttempt(req, a)
	p.recordServerFailure(now, a.server)
	req.state.RecordFailure(p.location(a.server), a.sentAt, outcome)
	if outcome == retry.MaybeExecuted {
		p.recordExecution(req, a)
	}
	if len(req.attempts) > 0 { // the other attempt of a hedged request is still in flight
		return
	}
	if !p.retry(now, req, outcome) {
		p.failRequest(req, ErrAttemptsFailed)
	}
}

// retry sends a request again if its retry policy and the retry budget of its class allow this. It reports whether it was sent.
func (p *Proxy) retry(now float64, req *request, outcome retry.Outcome) bool {
	if !req.state.MayRetry(now, outcome) {
		return false
	}
	if !p.budgets[req.received.Class].TryRetry() {
		p.Stats.OverBudget++
		return false
	}
	if !p.sendAttempt(now, req) {
		return false
	}
	p.Stats.Retries++
	return true
}
