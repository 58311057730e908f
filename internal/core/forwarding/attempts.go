package forwarding

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/retry"
)

const minHedgeDelay = 0.0001 // seconds; a hedge is never sent at once

func (p *Proxy) location(server balancer.Server) retry.Location {
	if location, ok := p.config.Locations[server]; ok {
		return location
	}
	return retry.Location{Server: server, Zone: -1, FailureDomain: -1} // unknown: it shares no group with another server
}

// fallback says which servers a pick may choose besides the preferred ones.
type fallback struct {
	ejected bool // those that are ejected
	tried   bool // those that have had the request
}

// fallbacks are tried in this order.
var fallbacks = []fallback{
	{},
	{ejected: true},
	{tried: true},
	{ejected: true, tried: true},
}

// pick picks a server for a request's next attempt; ok is false if none may take it.
func (p *Proxy) pick(now float64, req *request) (server balancer.Server, ok bool) {
	table := p.Tables.Table(req.received.Class)
	for _, allowed := range fallbacks {
		server, ok = table.Pick(func(server balancer.Server) bool { return p.mayUse(now, req, server, allowed) })
		if ok {
			return server, true
		}
	}
	return "", false
}

func (p *Proxy) mayUse(now float64, req *request, server balancer.Server, allowed fallback) bool {
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

// send begins a request's next attempt. It reports false if no server may take it.
func (p *Proxy) send(now float64, req *request) bool {
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
	p.slowTimers.Set(&req.slow, now+slowAfter)
	p.actions = append(p.actions, Action{Kind: Send, Request: req.id, Attempt: a.id, Server: server})
	return true
}

func (r *request) attempt(id AttemptID) *attempt {
	for _, a := range r.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

func (p *Proxy) endAttempt(req *request, ended *attempt) {
	delete(p.attempts, ended.id)
	p.Admission.EndAttempt(ended.server)
	if i := slices.Index(req.attempts, ended); i >= 0 {
		req.attempts = slices.Delete(req.attempts, i, i+1)
	}
}

// AttemptSucceeded ends an attempt that brought an answer, and its request; ok is false if the attempt is not in flight any more.
func (p *Proxy) AttemptSucceeded(now float64, id AttemptID) (request RequestID, actions []Action, ok bool) {
	req := p.attempts[id]
	if req == nil {
		return 0, nil, false
	}
	a := req.attempt(id)
	p.endAttempt(req, a)
	p.Outliers.RecordSuccess(a.server)
	if totals := p.totalsOf(a.server); totals != nil {
		totals.Seconds += now - a.sentAt
	}
	p.rememberExecution(req, a)
	p.Stats.Answered++
	p.end(req)
	return req.id, p.takeActions(), true
}

// AttemptFailed ends an attempt that brought no answer. The request is retried where that is allowed, and fails otherwise.
func (p *Proxy) AttemptFailed(now float64, id AttemptID, outcome retry.Outcome) []Action {
	req := p.attempts[id]
	if req == nil {
		return nil
	}
	p.attemptFailed(now, req, req.attempt(id), outcome)
	return p.takeActions()
}

func (p *Proxy) attemptFailed(now float64, req *request, a *attempt, outcome retry.Outcome) {
	p.endAttempt(req, a)
	p.recordServerFailure(now, a.server)
	req.state.RecordFailure(p.location(a.server), a.sentAt, outcome)
	if outcome == retry.MaybeExecuted {
		p.rememberExecution(req, a)
	}
	if len(req.attempts) > 0 { // the other attempt of a hedged request goes on
		return
	}
	if !p.retry(now, req, outcome) {
		p.fail(req, ErrAttemptsFailed)
	}
}

// retry sends a request again if that is allowed. It reports whether it was sent.
func (p *Proxy) retry(now float64, req *request, outcome retry.Outcome) bool {
	if !req.state.MayRetry(now, outcome) {
		return false
	}
	if !p.budgets[req.received.Class].TryRetry() {
		p.Stats.OverBudget++
		return false
	}
	if !p.send(now, req) {
		return false
	}
	p.Stats.Retries++
	return true
}
