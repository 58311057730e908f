package forwarding

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/core/retry"
)

const modelServerCount = 6

type modelAttempt struct {
	request RequestID
	server  balancer.Server
	sentAt  float64
}

// model applies random events to a proxy and records their expected effects.
type model struct {
	t        *rapid.T
	proxy    *Proxy
	now      float64
	version  uint64
	inTable  map[balancer.Server]bool
	classes  map[RequestID]balancer.Class
	inFlight map[AttemptID]modelAttempt
	executed map[RequestID][]modelAttempt // attempts that may have been executed
	ended    map[RequestID]int            // how often each request has ended
}

// For any sequence of events, each request ends exactly once, no state is left over, no request takes effect twice because the proxy
// retried it, and no request is sent to a server that is not in the table.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{
			t:        r,
			proxy:    newTestProxy(t, modelServerCount, func(config *Config) { config.HedgeAfter = 0.2 }),
			now:      1000,
			version:  1,
			inTable:  map[balancer.Server]bool{},
			classes:  map[RequestID]balancer.Class{},
			inFlight: map[AttemptID]modelAttempt{},
			executed: map[RequestID][]modelAttempt{},
			ended:    map[RequestID]int{},
		}
		for i := range modelServerCount {
			m.inTable[serverName(i)] = true
		}
		for range rapid.IntRange(1, 60).Draw(r, "events") {
			m.now += rapid.Float64Range(0, 0.6).Draw(r, "time")
			m.randomEvent()
			m.perform(m.proxy.Tick(m.now))
		}
		m.now += 10
		m.perform(m.proxy.Tick(m.now))
		m.checkEnd()
	})
}

func (m *model) randomEvent() {
	event := rapid.IntRange(0, 7).Draw(m.t, "event")
	if event <= 2 {
		m.request()
		return
	}
	if event == 3 {
		m.changeTable()
		return
	}
	oldest := m.oldestAttempt()
	if oldest == 0 {
		return
	}
	attempt := m.inFlight[oldest]
	switch event {
	case 4:
		delete(m.inFlight, oldest)
		_, actions, ok := m.proxy.AttemptSucceeded(m.now, oldest)
		if ok {
			m.ended[attempt.request]++
			m.perform(actions)
		}
	case 5:
		delete(m.inFlight, oldest)
		m.executed[attempt.request] = append(m.executed[attempt.request], attempt)
		m.perform(m.proxy.AttemptFailed(m.now, oldest, retry.MaybeExecuted))
	case 6:
		delete(m.inFlight, oldest)
		m.perform(m.proxy.AttemptFailed(m.now, oldest, retry.NotExecuted))
	default:
		if rapid.Bool().Draw(m.t, "client gone") {
			m.ended[attempt.request]++
			m.perform(m.proxy.ClientGone(attempt.request))
		}
	}
}

func (m *model) request() {
	class := balancer.Class(rapid.IntRange(0, 2).Draw(m.t, "class"))
	next := m.proxy.lastRequest + 1
	m.classes[next] = class
	key := ""
	if class == keyed {
		key = fmt.Sprint("k", next)
	}
	_, actions := m.proxy.HandleRequest(m.now, Request{Class: class, IdempotencyKey: key})
	m.perform(actions)
}

func (m *model) changeTable() {
	var servers []int
	clear(m.inTable)
	for i := range modelServerCount {
		if rapid.Bool().Draw(m.t, "in table") {
			servers = append(servers, i)
			m.inTable[serverName(i)] = true
		}
	}
	m.version++
	if _, _, err := m.proxy.Tables.Apply(m.now, testTables(true, m.version, servers...)); err != nil {
		m.t.Fatal(err)
	}
}

func (m *model) oldestAttempt() AttemptID {
	var oldest AttemptID
	for attempt := range m.inFlight {
		if oldest == 0 || attempt < oldest {
			oldest = attempt
		}
	}
	return oldest
}

func (m *model) perform(actions []Action) {
	for _, action := range actions {
		switch action.Kind {
		case Send:
			m.checkSend(action)
			m.inFlight[action.Attempt] = modelAttempt{request: action.Request, server: action.Server, sentAt: m.now}
		case Cancel: // the cancelled attempt may have been executed nevertheless
			m.executed[action.Request] = append(m.executed[action.Request], m.inFlight[action.Attempt])
			delete(m.inFlight, action.Attempt)
		default:
			m.ended[action.Request]++
		}
	}
}

func (m *model) checkSend(action Action) {
	if !m.inTable[action.Server] {
		m.t.Fatalf("request %d was sent to %s, which is not in the table", action.Request, action.Server)
	}
	if m.ended[action.Request] > 0 {
		m.t.Fatalf("request %d was sent to %s after it ended", action.Request, action.Server)
	}
	class := m.classes[action.Request]
	for _, earlier := range m.executed[action.Request] {
		recognized := m.proxy.location(earlier.server).FailureDomain == m.proxy.location(action.Server).FailureDomain &&
			m.now <= earlier.sentAt+keyedDedupWindow
		if class == nonIdempotent || class == keyed && !recognized {
			m.t.Fatalf("request %d of class %d, which may have been executed at %s, was sent to %s", action.Request, class, earlier.server, action.Server)
		}
	}
}

func (m *model) checkEnd() {
	for request := range m.classes {
		if m.ended[request] != 1 {
			m.t.Fatalf("request %d ended %d times, want once", request, m.ended[request])
		}
	}
	p := m.proxy
	if p.InFlight() != 0 || len(p.attempts) != 0 || p.Admission.InFlight() != 0 || len(m.inFlight) != 0 {
		m.t.Fatalf("still in flight: %d requests, %d attempts, %d admitted requests, %d attempts in the model; want none",
			p.InFlight(), len(p.attempts), p.Admission.InFlight(), len(m.inFlight))
	}
}
