package forwarding

import (
	"errors"
	"testing"
)

func TestHedging(t *testing.T) {
	p := newTestProxy(t, 6, func(config *Config) { config.HedgeAfter = 0.3 })
	id, actions := p.HandleRequest(1000, Request{Class: idempotent})
	first := onlyAction(t, actions, Send)
	second := onlyAction(t, p.Tick(1000.35), Send)
	if second.Server == first.Server {
		t.Error("the hedge goes to the same server")
	}
	answered, actions, ok := p.AttemptSucceeded(1000.4, second.Attempt)
	canceled := onlyAction(t, actions, Cancel)
	if !ok || answered != id || canceled.Attempt != first.Attempt {
		t.Errorf("request %d answered: %t, %+v", answered, ok, canceled)
	}

	sendRequest(t, p, 1001, Request{Class: keyed, IdempotencyKey: "k"})
	if actions := p.Tick(1001.5); len(actions) != 0 {
		t.Errorf("a keyed request is hedged: %+v", actions)
	}
}

// The server does not respond: the request is retried after its latency objective, and fails at its client timeout.
func TestDeadlines(t *testing.T) {
	p := newTestProxy(t, 6, nil)
	first := sendRequest(t, p, 1000, Request{Class: idempotent})
	actions := p.Tick(1001.05)
	if len(actions) != 2 {
		t.Fatalf("after the latency objective: %+v", actions)
	}
	canceled := onlyAction(t, actions[:1], Cancel)
	second := onlyAction(t, actions[1:], Send)
	if canceled.Attempt != first.Attempt || second.Server == first.Server {
		t.Fatalf("after the latency objective: %+v", actions)
	}

	actions = p.Tick(1005.1)
	if len(actions) != 2 {
		t.Fatalf("after the client timeout: %+v", actions)
	}
	onlyAction(t, actions[:1], Cancel)
	failed := onlyAction(t, actions[1:], Fail)
	if !errors.Is(failed.Err, ErrDeadlineExceeded) {
		t.Errorf("after the client timeout: %+v", failed)
	}
	if p.InFlight() != 0 || p.Admission.InFlight() != 0 {
		t.Errorf("%d and %d requests are still in flight", p.InFlight(), p.Admission.InFlight())
	}
}

func TestClientGone(t *testing.T) {
	p := newTestProxy(t, 6, nil)
	id, _ := p.HandleRequest(1010, Request{Class: idempotent})
	onlyAction(t, p.ClientGone(id), Cancel)
	if p.ClientGone(id) != nil || p.InFlight() != 0 {
		t.Error("a request whose client has gone is still in flight")
	}
}
