package forwarding

import (
	"snowquay/balancer"
	"snowquay/internal/core/retry"
)

// HandleRequest admits a client's request and starts its first attempt, or rejects it.
func (p *Proxy) HandleRequest(now float64, received Request) (RequestID, []Action) {
	p.Stats.Requests++
	p.lastRequest++
	id := p.lastRequest
	p.classTotals[received.Class].Attempts++
	class := p.config.Classes[received.Class]
	key, err := p.lookUpKey(now, received, class)
	if err != nil {
		p.Stats.KeysReused++
		return id, []Action{{Kind: Reject, Request: id, Err: err}}
	}
	retryAfter, err := p.Admission.Admit(now, received.Class)
	if err != nil {
		p.Stats.Rejected++
		return id, []Action{{Kind: Reject, Request: id, Err: err, RetryAfter: retryAfter}}
	}
	req := p.beginRequest(now, id, received, key)
	if !p.sendAttempt(now, req) {
		p.Stats.NoServer++
		p.endRequest(req)
		p.classTotals[received.Class].Failed++
		return id, append(p.takeActions(), Action{Kind: Reject, Request: id, Err: ErrNoServer, RetryAfter: noServerRetryAfter})
	}
	return id, p.takeActions()
}

// beginRequest registers an admitted request and sets its deadline timer.
func (p *Proxy) beginRequest(now float64, id RequestID, received Request, key *keyRecord) *request {
	class := p.config.Classes[received.Class]
	req := &request{
		id:       id,
		received: received,
		state: retry.Request{
			Class:    class,
			Policy:   p.retryPolicies[received.Class],
			Deadline: now + class.ClientTimeout,
			HasKey:   received.IdempotencyKey != "",
		},
	}
	if key != nil && key.maybeExecuted { // a retry by the client: send it only to servers that recognize it
		req.state.MaybeExecuted = true
		req.state.FirstExecution = key.location
		req.state.FirstSentAt = key.sentAt
	}
	p.requests[id] = req
	req.deadlineTimer.Value = req
	req.slowTimer.Value = req
	p.deadlineTimers.Set(&req.deadlineTimer, req.state.Deadline)
	p.budgets[received.Class].RecordRequest()
	return req
}

// endRequest removes a request and cancels its attempts and timers.
func (p *Proxy) endRequest(req *request) {
	for len(req.attempts) > 0 {
		a := req.attempts[0]
		p.endAttempt(req, a)
		p.cancelAttempt(req, a)
	}
	p.deadlineTimers.Cancel(&req.deadlineTimer)
	p.slowTimers.Cancel(&req.slowTimer)
	delete(p.requests, req.id)
	p.Admission.EndRequest()
}

// cancelAttempt adds the action that closes the connection of an attempt.
func (p *Proxy) cancelAttempt(req *request, a *attempt) {
	p.actions = append(p.actions, Action{Kind: Cancel, Request: req.id, Attempt: a.id, Server: a.server})
}

// failRequest ends a request and adds the action that responds with the error.
func (p *Proxy) failRequest(req *request, err error) {
	p.Stats.Failed++
	p.classTotals[req.received.Class].Failed++
	p.endRequest(req)
	p.actions = append(p.actions, Action{Kind: Fail, Request: req.id, Err: err})
}

// ClientGone ends a request after its client has closed the connection.
func (p *Proxy) ClientGone(id RequestID) []Action {
	req := p.requests[id]
	if req == nil {
		return nil
	}
	p.Stats.ClientsGone++
	p.endRequest(req)
	return p.takeActions()
}

// Tick fails requests whose deadline has passed, and retries or hedges those whose latest attempt is slow.
func (p *Proxy) Tick(now float64) []Action {
	p.deadlineTimers.Advance(now, func(req *request) { p.deadlinePassed(now, req) })
	p.slowTimers.Advance(now, func(req *request) { p.handleSlowAttempt(now, req) })
	return p.takeActions()
}

// deadlinePassed fails a request whose client timeout has expired.
func (p *Proxy) deadlinePassed(now float64, req *request) {
	p.Stats.DeadlineExceeded++
	for _, a := range req.attempts { // a server that does not respond in time counts as failed
		p.recordServerFailure(now, a.server)
		p.recordExecution(req, a)
	}
	p.failRequest(req, ErrDeadlineExceeded)
}

// hedges reports whether a request should be hedged when its attempt is slow.
func (p *Proxy) hedges(req *request) bool {
	return p.config.HedgeAfter > minHedgeDelay && !req.hedged && req.state.Class.Idempotency == balancer.Idempotent
}

// handleSlowAttempt handles a request whose latest attempt has exceeded the hedging delay or the latency objective. If no hedge is
// sent and the attempt is the only one, it is cancelled and handled as failed, provided that the request may then be retried. Otherwise
// the attempts in flight are waited for.
func (p *Proxy) handleSlowAttempt(now float64, req *request) {
	if p.hedges(req) {
		req.hedged = true
		if len(req.attempts) == 1 && p.budgets[req.received.Class].TryRetry() && p.sendAttempt(now, req) {
			p.Stats.Hedges++
			return
		}
	}
	if len(req.attempts) != 1 {
		return
	}
	a := req.attempts[0]
	afterFailure := req.state
	afterFailure.RecordFailure(p.location(a.server), a.sentAt, retry.MaybeExecuted)
	if !afterFailure.MayRetry(now, retry.MaybeExecuted) {
		return
	}
	p.cancelAttempt(req, a)
	p.handleFailedAttempt(now, req, a, retry.MaybeExecuted)
}
