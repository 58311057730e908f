package forwarding

import (
	"snowquay/balancer"
	"snowquay/internal/core/retry"
)

// HandleRequest takes a client's request.
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
	req := p.begin(now, id, received, key)
	if !p.send(now, req) {
		p.Stats.NoServer++
		p.end(req)
		p.classTotals[received.Class].Failed++
		return id, append(p.takeActions(), Action{Kind: Reject, Request: id, Err: ErrNoServer, RetryAfter: noServerRetryAfter})
	}
	return id, p.takeActions()
}

// begin records an admitted request.
func (p *Proxy) begin(now float64, id RequestID, received Request, key *keyRecord) *request {
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
	if key != nil && key.maybeExecuted { // its client retries: it goes where the first attempt may have been executed
		req.state.MaybeExecuted = true
		req.state.FirstExecution = key.location
		req.state.FirstSentAt = key.sentAt
	}
	p.requests[id] = req
	req.deadline.Value = req
	req.slow.Value = req
	p.deadlines.Set(&req.deadline, req.state.Deadline)
	p.budgets[received.Class].RecordRequest()
	return req
}

// end forgets a request and cancels its attempts.
func (p *Proxy) end(req *request) {
	for len(req.attempts) > 0 {
		a := req.attempts[0]
		p.endAttempt(req, a)
		p.cancel(req, a)
	}
	p.deadlines.Cancel(&req.deadline)
	p.slowTimers.Cancel(&req.slow)
	delete(p.requests, req.id)
	p.Admission.EndRequest()
}

func (p *Proxy) cancel(req *request, a *attempt) {
	p.actions = append(p.actions, Action{Kind: Cancel, Request: req.id, Attempt: a.id, Server: a.server})
}

func (p *Proxy) fail(req *request, err error) {
	p.Stats.Failed++
	p.classTotals[req.received.Class].Failed++
	p.end(req)
	p.actions = append(p.actions, Action{Kind: Fail, Request: req.id, Err: err})
}

// ClientGone ends a request whose client has closed its connection.
func (p *Proxy) ClientGone(id RequestID) []Action {
	req := p.requests[id]
	if req == nil {
		return nil
	}
	p.Stats.ClientsGone++
	p.end(req)
	return p.takeActions()
}

// Tick fails requests whose deadline has passed, and retries or hedges those whose latest attempt is slow.
func (p *Proxy) Tick(now float64) []Action {
	p.deadlines.Advance(now, func(req *request) { p.deadlinePassed(now, req) })
	p.slowTimers.Advance(now, func(req *request) { p.attemptSlow(now, req) })
	return p.takeActions()
}

func (p *Proxy) deadlinePassed(now float64, req *request) {
	p.Stats.DeadlineExceeded++
	for _, a := range req.attempts { // a server that does not answer counts as one that fails
		p.recordServerFailure(now, a.server)
		p.rememberExecution(req, a)
	}
	p.fail(req, ErrDeadlineExceeded)
}

// hedges reports whether a request is to be hedged once its first attempt is slow.
func (p *Proxy) hedges(req *request) bool {
	return p.config.HedgeAfter > minHedgeDelay && !req.hedged && req.state.Class.Idempotency == balancer.Idempotent
}

// attemptSlow handles a request whose latest attempt has taken longer than the hedging delay, or than the latency objective. In the
// second case the attempt is cancelled if the request may be retried; otherwise its answer is waited for.
func (p *Proxy) attemptSlow(now float64, req *request) {
	if p.hedges(req) {
		req.hedged = true
		if len(req.attempts) == 1 && p.budgets[req.received.Class].TryRetry() && p.send(now, req) {
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
	p.cancel(req, a)
	p.attemptFailed(now, req, a, retry.MaybeExecuted)
}
