package forwarding

import (
	"errors"
	"testing"

	"snowquay/internal/core/admission"
	"snowquay/internal/core/retry"
)

func TestRejectionWhenAllServersAreAtCapacity(t *testing.T) {
	p := newTestProxy(t, 2, func(config *Config) { config.Limits = admission.Limits{MaxInFlight: 5, MaxPerServer: 2} })
	for range 4 {
		sendRequest(t, p, 1000, Request{Class: idempotent})
	}
	_, actions := p.HandleRequest(1000, Request{Class: idempotent})
	rejected := onlyAction(t, actions, Reject)
	if !errors.Is(rejected.Err, ErrNoServer) || rejected.RetryAfter <= 0 {
		t.Errorf("got %+v, want ErrNoServer with a retry time", rejected)
	}
}

func TestRejectionAtTheInFlightLimit(t *testing.T) {
	p := newTestProxy(t, 2, func(config *Config) { config.Limits = admission.Limits{MaxInFlight: 5, MaxPerServer: 50} })
	for range 5 {
		p.HandleRequest(1000, Request{Class: idempotent})
	}
	_, actions := p.HandleRequest(1000, Request{Class: idempotent})
	rejected := onlyAction(t, actions, Reject)
	if !errors.Is(rejected.Err, admission.ErrTooManyInFlight) {
		t.Errorf("got %+v, want ErrTooManyInFlight", rejected)
	}
}

func TestOrderedAdmissionAndRetryPolicy(t *testing.T) {
	p := newTestProxy(t, 2, nil)
	fraction := 0.3
	retryAfter := 2.0
	tables := testTables(false, 2)
	class := &tables.Classes[idempotent]
	class.Admission = &fraction
	class.RetryAfter = &retryAfter
	class.Retry = "none"
	applyTables(t, p, 1000, tables)
	admitted := 0
	for range 100 {
		_, actions := p.HandleRequest(1000, Request{Class: idempotent})
		if actions[0].Kind == Send {
			admitted++
			expectFailure(t, p, 1000, actions[0].Attempt, retry.NotExecuted)
			continue
		}
		rejected := onlyAction(t, actions, Reject)
		if rejected.RetryAfter != retryAfter || !errors.Is(rejected.Err, admission.ErrRateLimited) {
			t.Fatalf("got %+v, want ErrRateLimited with the ordered retry time", rejected)
		}
	}
	if admitted < 29 || admitted > 31 {
		t.Errorf("admitted %d of 100 requests at a fraction of 0.3, want 29 to 31", admitted)
	}
}

func TestOrderedRetryPolicyIsLimitedByTheClass(t *testing.T) {
	p := newTestProxy(t, 2, nil)
	tables := testTables(false, 2)
	tables.Classes[nonIdempotent].Retry = "failure"
	applyTables(t, p, 1000, tables)
	attempt := sendRequest(t, p, 1000, Request{Class: nonIdempotent})
	expectFailure(t, p, 1000.1, attempt.Attempt, retry.MaybeExecuted)
}
