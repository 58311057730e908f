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
		t.Error("hedge is sent to the same server as the first attempt")
	}
	answered, actions, ok := p.AttemptSucceeded(1000.4, second.Attempt)
	canceled := onlyAction(t, actions, Cancel)
	if !ok || answered != id || canceled.Attempt != first.Attempt {
		t.Errorf("response for request %d: success %t, action %+v; want a cancellation of the first attempt", answered, ok, canceled)
	}

	sendRequest(t, p, 1001, Request{Class: keyed, IdempotencyKey: "k"})
	if actions := p.Tick(1001.5); len(actions) != 0 {
		t.Errorf("keyed request is hedged: %+v", actions)
	}
}

// A request whose server does not respond is retried after its latency objective, and fails at its client timeout.
func TestDeadlines(t *testing.T) {
	p := newTestProxy(t, 6, nil)
	first := sendRequest(t, p, 1000, Request{Class: idempotent})
	actions := p.Tick(1001.05)
	if len(actions) != 2 {
		t.Fatalf("actions after the latency objective: %+v, want a cancellation and a retry", actions)
	}
	canceled := onlyAction(t, actions[:1], Cancel)
	second := onlyAction(t, actions[1:], Send)
	if canceled.Attempt != first.Attempt || second.Server == first.Server {
		t.Fatalf("actions after the latency objective: %+v, want the first attempt cancelled and a retry at another server", actions)
	}

	actions = p.Tick(1005.1)
	if len(actions) != 2 {
		t.Fatalf("actions after the client timeout: %+v, want a cancellation and a failure", actions)
	}
	onlyAction(t, actions[:1], Cancel)
	failed := onlyAction(t, actions[1:], Fail)
	if !errors.Is(failed.Err, ErrDeadlineExceeded) {
		t.Errorf("action after the client timeout: %+v, want ErrDeadlineExceeded", failed)
	}
	if p.InFlight() != 0 || p.Admission.InFlight() != 0 {
		t.Errorf("requests still in flight: %d in the proxy, %d in admission control; want none", p.InFlight(), p.Admission.InFlight())
	}
}

func TestClientDisconnects(t *testing.T) {
	p := newTestProxy(t, 6, nil)
	id, _ := p.HandleRequest(1010, Request{Class: idempotent})
	onlyAction(t, p.ClientGone(id), Cancel)
	if p.ClientGone(id) != nil || p.InFlight() != 0 {
		t.Error("request of a disconnected client is still in flight")
	}
}
