package proxy

import (
	"fmt"
	"slices"
	"testing"
)

func limitConnections(count int) func(*Config) {
	return func(config *Config) { config.Limits.MaxConnections = count }
}

// closedCount returns the number of clients whose connections the proxy has closed.
func closedCount(clients []*testClient) int {
	count := 0
	for _, client := range clients {
		if client.closed {
			count++
		}
	}
	return count
}

// Guards against clients that send no request and keep all places, and against clients with a request in flight that lose theirs.
func TestWaitingClientsMakeRoom(t *testing.T) {
	const limit = 16
	e := newTestEnvironment(t, 1, limitConnections(limit))
	served := e.newClient(get("/search/a"), 0)
	e.runFor(0.2)
	e.expectReceived(served, "HTTP/1.1 200 ")
	e.servers[0].behavior = "silent"
	inFlight := e.newClient(get("/search/b"), 0)
	var silent []*testClient
	for e.proxy.HasRoom() {
		silent = append(silent, e.newClient("GET /sea", 0))
		e.runFor(0.01)
	}
	e.proxy.MakeRoom(e.net.Now())
	e.runFor(minWaitNew / 10)
	if closed := closedCount(silent); closed != 0 || e.proxy.HasRoom() {
		t.Errorf("%d clients were closed at once, want none; there is room: %v", closed, e.proxy.HasRoom())
	}
	e.runFor(minWaitNew)
	e.proxy.MakeRoom(e.net.Now())
	e.runFor(0.05)
	const step = limit / 8
	if closed := closedCount(silent); closed != step || !silent[0].closed || !silent[1].closed || !e.proxy.HasRoom() {
		t.Errorf("%d clients were closed, want the first %d; there is room: %v", closed, step, e.proxy.HasRoom())
	}
	e.expectReceived(silent[0], "HTTP/1.1 503 ", "Retry-After")
	for range silent {
		e.proxy.MakeRoom(e.net.Now())
	}
	e.runFor(0.05)
	if closed := closedCount(silent); closed != len(silent) || served.closed || inFlight.closed {
		t.Errorf("%d of %d silent clients were closed, want all; served one: %v, one in flight: %v; want neither",
			closed, len(silent), served.closed, inFlight.closed)
	}
	e.runFor(minWaitServed)
	e.proxy.MakeRoom(e.net.Now())
	e.runFor(0.05)
	if !served.closed || inFlight.closed {
		t.Errorf("closed are the served client: %v, the one in flight: %v; want only the first", served.closed, inFlight.closed)
	}
}

// Guards against requests that take more connections to servers than the process has descriptors for.
func TestRequestsWithoutRoomAreRejected(t *testing.T) {
	const limit = 6
	var logged []string
	e := newTestEnvironment(t, 1, func(config *Config) {
		config.Limits.MaxConnections = limit
		config.Log = func(event string, pairs ...any) { logged = append(logged, fmt.Sprint(event, pairs)) }
	})
	e.servers[0].behavior = "silent"
	var clients []*testClient
	for range limit {
		clients = append(clients, e.newClient(get("/search"), 0))
		e.runFor(0.02)
	}
	rejected := 0
	for _, client := range clients {
		if client.received != "" {
			rejected++
			e.expectReceived(client, "HTTP/1.1 503 ", "Retry-After: 1")
		}
	}
	if rejected != e.proxy.Stats.RejectedRequests || rejected == 0 {
		t.Errorf("%d requests were rejected, %d are counted; want some", rejected, e.proxy.Stats.RejectedRequests)
	}
	if sent := len(e.servers[0].requests); sent == 0 || sent+rejected != limit {
		t.Errorf("%d requests were sent to the server and %d rejected, want %d together", sent, rejected, limit)
	}
	e.runFor(1.5)
	if want := fmt.Sprintf("too many connections are open[closed_clients 0 rejected_requests %d]", rejected); !slices.Equal(logged, []string{want}) {
		t.Errorf("logged %q, want %q", logged, want)
	}
}

// Idle connections to servers leave room for clients.
func TestIdleServerConnectionsAreLimited(t *testing.T) {
	const limit = 64
	e := newTestEnvironment(t, 1, limitConnections(limit))
	for range 20 {
		e.newClient(get("/search"), 0)
	}
	e.runFor(3)
	if idle := len(e.proxy.connections) - len(e.proxy.attempts); idle > limit/8 {
		t.Errorf("%d connections to the server are idle, want at most %d", idle, limit/8)
	}
	if e.proxy.Stats.Dials <= limit/8 {
		t.Errorf("%d connections to the server were dialed, want more than %d, or the test shows nothing", e.proxy.Stats.Dials, limit/8)
	}
}
