package proxy

import (
	"fmt"
	"strings"
	"testing"

	"snowquay/internal/core/retry"
	"snowquay/internal/wire/http1"
)

func TestRequestsAreForwarded(t *testing.T) {
	e := newTestEnvironment(t, 2, nil)
	client := e.newClient(get("/search?q=1")+get("/search?q=2")+post("/introduce", "", "body")+get("/nowhere"), 0)
	e.runFor(1)
	e.expectReceived(client, "s0", "s1", "404")
	if succeeded := strings.Count(client.received, "HTTP/1.1 200"); succeeded != 3 {
		t.Errorf("%d of 3 requests succeeded, want all; the client received %s", succeeded, client.received)
	}
	if client.closed || e.proxy.Clients() != 1 {
		t.Error("client connection was closed")
	}
	if e.proxy.Stats.Reused != 1 {
		t.Errorf("%d attempts reused a connection, want 1", e.proxy.Stats.Reused)
	}

	closing := e.newClient("GET /search HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 0)
	e.runFor(1)
	e.expectReceived(closing, "Connection: close")
	if !closing.closed {
		t.Error("client connection stays open after a request with Connection: close")
	}

	for _, server := range e.servers {
		server.behavior = "unframed"
	}
	client = e.newClient(get("/search"), 0)
	e.runFor(1)
	e.expectReceived(client, "Content-Length: 2")
}

// If a server fails, idempotent requests succeed on another server in time, and each non-idempotent request reaches a server that executes it
// exactly once.
func TestFaultyServers(t *testing.T) {
	for _, behavior := range []string{"silent", "reset", "drip", "fails", "full", "twice"} {
		t.Run(behavior, func(t *testing.T) {
			e := newTestEnvironment(t, 2, nil)
			e.servers[0].behavior = behavior
			var clients []*testClient
			for range 6 {
				clients = append(clients, e.newClient(get("/search"), 0))
			}
			e.runFor(3)
			for _, client := range clients {
				e.expectReceived(client, "HTTP/1.1 200")
				if strings.Count(client.received, "HTTP/1.1") != 1 {
					t.Errorf("client received %q, want exactly one response", client.received)
				}
			}
			for i := range 6 {
				e.newClient(post("/once", "", fmt.Sprint("once-", i)), 0)
			}
			e.runFor(8)
			e.expectExecutedOnce(6)
			if e.proxy.Core.InFlight() != 0 || len(e.proxy.requests) != 0 || len(e.proxy.attempts) != 0 {
				t.Errorf("%d requests are still in flight, want none, and no request or attempt that is still tracked", e.proxy.Core.InFlight())
			}
		})
	}
}

// expectExecutedOnce checks that the given number of non-idempotent requests reached a server that executes them, each exactly once.
func (e *testEnvironment) expectExecutedOnce(requests int) {
	e.t.Helper()
	executions := map[string]int{}
	for _, server := range e.servers {
		for _, request := range server.requests {
			if strings.HasPrefix(request, "POST") && server.behavior != "full" {
				executions[request]++
			}
		}
	}
	for request, count := range executions {
		if count > 1 {
			e.t.Errorf("%q was executed %d times, want once", request, count)
		}
	}
	if len(executions) != requests {
		e.t.Errorf("%d of %d requests reached a server that executes them, want all", len(executions), requests)
	}
}

func TestUnreachableServers(t *testing.T) {
	e := newTestEnvironment(t, 2, nil)
	e.serverHosts[0].Kill() // a refused connection proves that the request was not executed
	for i := range 6 {
		client := e.newClient(post("/once", "", fmt.Sprint(i)), 0)
		e.runFor(0.5)
		e.expectReceived(client, "HTTP/1.1 200")
	}
	e.servers[1].behavior = "fails"
	client := e.newClient(get("/search"), 0)
	e.runFor(2)
	e.expectReceived(client, "500", "oops") // the response of the server
	e.serverHosts[1].Kill()
	client = e.newClient(get("/search"), 0)
	e.runFor(2)
	e.expectReceived(client, "HTTP/1.1 502")
}

// When a client closes its connection, its attempts are cancelled by closing their connections to servers, so that the servers notice.
func TestClientClosesConnection(t *testing.T) {
	e := newTestEnvironment(t, 1, nil)
	e.servers[0].behavior = "silent"
	e.newClient(get("/search"), 0.3)
	e.runFor(0.6)
	if e.servers[0].closed != 1 {
		t.Errorf("%d connections to the server were closed, want 1", e.servers[0].closed)
	}
	if e.proxy.Core.InFlight() != 0 || len(e.proxy.requests) != 0 || e.proxy.Clients() != 0 {
		t.Errorf("%d requests in flight, %d clients; want none", e.proxy.Core.InFlight(), e.proxy.Clients())
	}
}

// limitClients sets limits that tests can reach with little data and few clients.
func limitClients(config *Config) {
	config.Limits.HTTP = http1.Limits{Head: 500, Body: 1000, Fields: 20}
	config.Limits.MaxClients = 3
	config.Limits.IdleTimeout = 5
}

func TestMalformedRequests(t *testing.T) {
	tests := map[string]struct {
		request string
		status  string
	}{
		"two lengths": {"POST /search HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		"long head":   {"GET /search HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 600) + "\r\n\r\n", "431"},
		"long body":   {post("/search", "", strings.Repeat("x", 2000)), "413"},
		"no HTTP":     {"hello\r\n\r\n", "400"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestEnvironment(t, 1, limitClients)
			client := e.newClient(test.request+get("/search"), 0)
			e.runFor(0.5)
			e.expectReceived(client, "HTTP/1.1 "+test.status, "Connection: close")
			if !client.closed || strings.Count(client.received, "HTTP/1.1") != 1 {
				t.Errorf("client received %q, want one response and a closed connection", client.received)
			}
			if len(e.servers[0].requests) != 0 {
				t.Errorf("server received %q, want no requests", e.servers[0].requests)
			}
		})
	}
}

func TestIdempotencyKeyReused(t *testing.T) {
	e := newTestEnvironment(t, 1, limitClients)
	request := post("/introduce", "k1", "one")
	client := e.newClient(request+request+post("/introduce", "k1", "another"), 0)
	e.runFor(1)
	e.expectReceived(client, "HTTP/1.1 422")
	if strings.Count(client.received, "HTTP/1.1 200") != 2 {
		t.Errorf("the two equal requests did not both succeed: %q", client.received)
	}
}

func TestExpectContinue(t *testing.T) {
	e := newTestEnvironment(t, 1, limitClients)
	client := e.newClient("POST /search HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", 0)
	e.runFor(0.5)
	e.expectReceived(client, "100 Continue")
	client.io.Send(client.conn, []byte("ok"))
	e.runFor(0.5)
	e.expectReceived(client, "HTTP/1.1 200")
}

func TestClientLimits(t *testing.T) {
	e := newTestEnvironment(t, 1, limitClients)
	e.newClient(get("/search"), 0)
	e.newClient(get("/search"), 0)
	e.runFor(0.5)
	third := e.newClient("", 0)
	e.runFor(0.5)
	fourth := e.newClient("", 0)
	e.runFor(0.5)
	if third.closed || !fourth.closed {
		t.Error("client limit is 3, but the third client was rejected or the fourth accepted")
	}
	e.runFor(7)
	if !third.closed {
		t.Error("idle client stays connected after the idle timeout")
	}
}

// While all servers fail, each request ends within its client timeout and retries stay within their budget. Once the servers have recovered,
// requests succeed immediately.
func TestAllServersFail(t *testing.T) {
	e := newTestEnvironment(t, 3, func(config *Config) { config.Forwarding.Budget = retry.Budget{Ratio: 0.1, Burst: 5} })
	for _, server := range e.servers {
		server.behavior = "fails"
	}
	var clients []*testClient
	for range 100 {
		clients = append(clients, e.newClient(get("/search"), 0))
		e.runFor(0.05)
	}
	for _, client := range clients {
		e.expectReceived(client, "HTTP/1.1 500")
	}
	stats := e.proxy.Core.Stats
	if stats.Retries > 16 || stats.OverBudget == 0 || e.proxy.Core.InFlight() != 0 {
		t.Errorf("%d requests in flight, want 0; want at most 16 retries and some over budget: %+v", e.proxy.Core.InFlight(), stats)
	}
	for _, server := range e.servers {
		server.behavior = ""
	}
	client := e.newClient(get("/search"), 0)
	e.runFor(0.1)
	e.expectReceived(client, "HTTP/1.1 200")
}
