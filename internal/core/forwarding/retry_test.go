package forwarding

import (
	"errors"
	"fmt"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/core/retry"
)

func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	p := newTestProxy(t, 4, nil)
	first := sendRequest(t, p, 1000, Request{Class: idempotent})
	second := expectRetry(t, p, 1000.1, first.Attempt, retry.MaybeExecuted)
	if second.Server == first.Server {
		t.Error("request is retried at the same server")
	}
	failed := expectFailure(t, p, 1000.2, second.Attempt, retry.MaybeExecuted)
	if !errors.Is(failed.Err, ErrAttemptsFailed) || p.InFlight() != 0 {
		t.Errorf("%d requests in flight, action %+v; want none and ErrAttemptsFailed", p.InFlight(), failed)
	}
	if _, _, ok := p.AttemptSucceeded(1001, second.Attempt); ok {
		t.Error("success of an attempt that has already ended is accepted")
	}
}

func TestNonIdempotentRequestIsRetriedOnlyIfNotExecuted(t *testing.T) {
	p := newTestProxy(t, 4, nil)
	first := sendRequest(t, p, 1000, Request{Class: nonIdempotent})
	expectFailure(t, p, 1000.1, first.Attempt, retry.MaybeExecuted)

	first = sendRequest(t, p, 1001, Request{Class: nonIdempotent})
	second := expectRetry(t, p, 1001.1, first.Attempt, retry.NotExecuted)
	expectFailure(t, p, 1001.2, second.Attempt, retry.NotExecuted) // the policy allows one retry

	sendRequest(t, p, 1002, Request{Class: nonIdempotent})
	if actions := p.Tick(1003.5); len(actions) != 0 {
		t.Errorf("actions after the latency objective: %+v, want none", actions)
	}
}

// Retries by the proxy and by the client are sent only to servers that recognize the request by its key.
func TestKeyedRequestStaysInItsDedupScope(t *testing.T) {
	p := newTestProxy(t, 8, func(config *Config) { config.Budget.Burst = 100 })
	for i := range 20 {
		now := 1000 + float64(i)*20
		request := Request{Class: keyed, IdempotencyKey: fmt.Sprint("k", i), Fingerprint: 1}
		first := sendRequest(t, p, now, request)
		second := expectRetry(t, p, now+0.1, first.Attempt, retry.MaybeExecuted)
		domain := p.location(first.Server).FailureDomain
		if p.location(second.Server).FailureDomain != domain || second.Server == first.Server {
			t.Fatalf("request is retried at %s after an attempt at %s, want another server of the same failure domain", second.Server, first.Server)
		}
		if _, _, ok := p.AttemptSucceeded(now+0.2, second.Attempt); !ok {
			t.Fatal("success of the retry is not accepted")
		}

		third := sendRequest(t, p, now+1, request) // the client retries because it has not received the response
		if p.location(third.Server).FailureDomain != domain {
			t.Fatal("retry by the client is sent to another failure domain")
		}
		p.AttemptSucceeded(now+1.1, third.Attempt)

		request.Fingerprint = 2
		_, actions := p.HandleRequest(now+2, request)
		rejected := onlyAction(t, actions, Reject)
		if !errors.Is(rejected.Err, ErrKeyReused) {
			t.Errorf("reuse of the key for another request: %+v, want ErrKeyReused", rejected)
		}
	}
}

func TestKeyedRequestIsNotRetriedWithoutDeduplication(t *testing.T) {
	p := newTestProxy(t, 8, nil)
	withoutKey := sendRequest(t, p, 5000, Request{Class: keyed})
	expectFailure(t, p, 5000.1, withoutKey.Attempt, retry.MaybeExecuted)

	late := sendRequest(t, p, 6000, Request{Class: keyed, IdempotencyKey: "late", Fingerprint: 1})
	expectFailure(t, p, 6000+keyedDedupWindow+0.5, late.Attempt, retry.MaybeExecuted)
}

// If the other servers of the failure domain are drained between an attempt and its retry, a keyed request is retried at the same server.
func TestKeyedRequestStaysInItsDedupScopeDuringDrain(t *testing.T) {
	p := newTestProxy(t, 8, nil)
	first := sendRequest(t, p, 7000, Request{Class: keyed, IdempotencyKey: "drained", Fingerprint: 1})
	var remaining []int
	for i := range 8 {
		sameDomain := p.location(serverName(i)).FailureDomain == p.location(first.Server).FailureDomain
		if !sameDomain || serverName(i) == first.Server {
			remaining = append(remaining, i)
		}
	}
	applyTables(t, p, 7000.05, testTables(true, 2, remaining...))
	second := expectRetry(t, p, 7000.1, first.Attempt, retry.MaybeExecuted)
	if second.Server != first.Server {
		t.Errorf("request is retried at %s, which does not recognize it", second.Server)
	}
}

func TestRetryBudget(t *testing.T) {
	p := newTestProxy(t, 6, func(config *Config) { config.Budget = retry.Budget{Ratio: 0.1, Burst: 2} })
	for i := range 100 {
		now := 1000 + float64(i)
		_, actions := p.HandleRequest(now, Request{Class: idempotent})
		for len(actions) == 1 && actions[0].Kind == Send {
			actions = p.AttemptFailed(now+0.01, actions[0].Attempt, retry.MaybeExecuted)
		}
	}
	if p.Stats.Retries > 13 || p.Stats.Retries < 8 || p.Stats.OverBudget == 0 {
		t.Errorf("%d retries of 100 requests with a budget of a tenth, want 8 to 13 and some over budget", p.Stats.Retries)
	}
}

// A failing server is ejected for some time. If all servers are ejected, requests are sent to them nevertheless.
func TestFailingServersAreEjected(t *testing.T) {
	p := newTestProxy(t, 3, nil)
	failing := serverName(1)
	sent := map[balancer.Server]int{}
	for i := range 300 {
		now := 1000 + float64(i)*0.01
		attempt := sendRequest(t, p, now, Request{Class: nonIdempotent})
		sent[attempt.Server]++
		if attempt.Server == failing {
			p.AttemptFailed(now, attempt.Attempt, retry.MaybeExecuted)
		} else {
			p.AttemptSucceeded(now, attempt.Attempt)
		}
	}
	if sent[failing] > 5 || p.Outliers.Ejections != 1 {
		t.Errorf("failing server received %d of 300 requests and was ejected %d times, want at most 5 and exactly 1", sent[failing], p.Outliers.Ejections)
	}

	for i := range 100 {
		now := 1100 + float64(i)*0.01
		attempt := sendRequest(t, p, now, Request{Class: nonIdempotent})
		p.AttemptFailed(now, attempt.Attempt, retry.MaybeExecuted)
	}
	failures := 0.0
	p.Reports(
		func(_ balancer.Server, totals loadreport.Totals) { failures += totals.Failed },
		func(balancer.Class, loadreport.Totals) {},
	)
	if failures < 100 {
		t.Errorf("%v failures reported, want at least 100", failures)
	}
}
