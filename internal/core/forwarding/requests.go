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
	r := p.begin(now, id, received, key)
	if !p.send(now, r) {
		p.Stats.NoServer++
		p.end(r)
		p.classTotals[received.Class].Failed++
		return id, append(p.takeActions(), Action{Kind: Reject, Request: id, Err: ErrNoServer, RetryAfter: noServerRetryAfter})
	}
	return id, p.takeActions()
}

// begin records an admitted request.
func (p *Proxy) begin(now float64, id RequestID, received Request, key *keyRecord) *request {
	class := p.config.Classes[received.Class]
	r := &request{
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
		r.state.MaybeExecuted = true
		r.state.FirstExecution = key.location
		r.state.FirstSentAt = key.sentAt
	}
	p.requests[id] = r
	r.deadline.Value = r
	r.slow.Value = r
	p.deadlines.Set(&r.deadline, r.state.Deadline)
	p.budgets[received.Class].RecordRequest()
	return r
}

// end forgets a request and cancels its attempts.
func (p *Proxy) end(r *request) {
	for len(r.attempts) > 0 {
		a := r.attempts[0]
		p.endAttempt(r, a)
		p.cancel(r, a)
	}
	p.deadlines.Cancel(&r.deadline)
	p.slowTimers.Cancel(&r.slow)
	delete(p.requests, r.id)
	p.Admission.Done()
}

func (p *Proxy) cancel(r *request, a *attempt) {
	p.actions = append(p.actions, Action{Kind: Cancel, Request: r.id, Attempt: a.id, Server: a.server})
}

func (p *Proxy) fail(r *request, err error) {
	p.Stats.Failed++
	p.classTotals[r.received.Class].Failed++
	p.end(r)
	p.actions = append(p.actions, Action{Kind: Fail, Request: r.id, Err: err})
}

// ClientGone ends a request whose client has closed its connection.
func (p *Proxy) ClientGone(id RequestID) []Action {
	r := p.requests[id]
	if r == nil {
		return nil
	}
	p.Stats.ClientsGone++
	p.end(r)
	return p.takeActions()
}

// Tick fails requests whose deadline has passed, and retries or hedges those whose latest attempt is slow.
func (p *Proxy) Tick(now float64) []Action {
	p.deadlines.Advance(now, func(r *request) { p.deadlinePassed(now, r) })
	p.slowTimers.Advance(now, func(r *request) { p.attemptSlow(now, r) })
	return p.takeActions()
}

func (p *Proxy) deadlinePassed(now float64, r *request) {
	p.Stats.Late++
	for _, a := range r.attempts { // a server that does not answer counts as one that fails
		p.recordServerFailure(now, a.server)
		p.rememberExecution(r, a)
	}
	p.fail(r, ErrDeadlineExceeded)
}

// hedges reports whether a request is to be hedged once its first attempt is slow.
func (p *Proxy) hedges(r *request) bool {
	return p.config.HedgeAfter > minHedgeDelay && !r.hedged && r.state.Class.Idempotency == balancer.Idempotent
}

// attemptSlow handles a request whose latest attempt has taken longer than the hedging delay, or than the latency objective. In the
// second case the attempt is cancelled if the request may be retried; otherwise its answer is waited for.
func (p *Proxy) attemptSlow(now float64, r *request) {
	if p.hedges(r) {
		r.hedged = true
		if len(r.attempts) == 1 && p.budgets[r.received.Class].TryRetry() && p.send(now, r) {
			p.Stats.Hedges++
			return
		}
	}
	if len(r.attempts) != 1 {
		return
	}
	a := r.attempts[0]
	afterFailure := r.state
	afterFailure.RecordFailure(p.location(a.server), a.sentAt, retry.MaybeExecuted)
	if !afterFailure.MayRetry(now, retry.MaybeExecuted) {
		return
	}
	p.cancel(r, a)
	p.attemptFailed(now, r, a, retry.MaybeExecuted)
}
