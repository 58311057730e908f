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
	if answered := strings.Count(client.received, "HTTP/1.1 200"); answered != 3 {
		t.Errorf("%d of 3 requests are answered: %s", answered, client.received)
	}
	if client.closed || e.proxy.Clients() != 1 {
		t.Error("the connection is closed")
	}
	if e.proxy.Stats.Reused != 1 {
		t.Errorf("%d connections were used again, want 1", e.proxy.Stats.Reused)
	}

	closing := e.newClient("GET /search HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 0)
	e.runFor(1)
	e.expectReceived(closing, "Connection: close")
	if !closing.closed {
		t.Error("the connection stays open after Connection: close")
	}

	for _, server := range e.servers {
		server.behavior = "unframed"
	}
	client = e.newClient(get("/search"), 0)
	e.runFor(1)
	e.expectReceived(client, "Content-Length: 2")
}

// An idempotent request is answered by another server in time; one that is not is executed once at most.
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
					t.Errorf("not one response: %q", client.received)
				}
			}
			for i := range 6 {
				e.newClient(post("/once", "", fmt.Sprint("once-", i)), 0)
			}
			e.runFor(8)
			e.expectExecutedOnce(6)
			if e.proxy.Core.InFlight() != 0 || len(e.proxy.requests) != 0 || len(e.proxy.attempts) != 0 {
				t.Errorf("%d requests are still in flight", e.proxy.Core.InFlight())
			}
		})
	}
}

// expectExecutedOnce checks that a number of requests, which are not idempotent, reached a server that executes them, and each once.
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
			e.t.Errorf("%q was executed %d times", request, count)
		}
	}
	if len(executions) != requests {
		e.t.Errorf("%d of %d requests reached a server", len(executions), requests)
	}
}

func TestUnreachableServers(t *testing.T) {
	e := newTestEnvironment(t, 2, nil)
	e.hosts[0].Kill() // a refused connection proves that nothing was executed
	for i := range 6 {
		client := e.newClient(post("/once", "", fmt.Sprint(i)), 0)
		e.runFor(0.5)
		e.expectReceived(client, "HTTP/1.1 200")
	}
	e.servers[1].behavior = "fails"
	client := e.newClient(get("/search"), 0)
	e.runFor(2)
	e.expectReceived(client, "500", "owch") // the server's own response
	e.hosts[1].Kill()
	client = e.newClient(get("/search"), 0)
	e.runFor(2)
	e.expectReceived(client, "HTTP/1.1 502")
}

// The attempts of a client that closes its connection are cancelled, so that the server notices.
func TestClientClosesConnection(t *testing.T) {
	e := newTestEnvironment(t, 1, nil)
	e.servers[0].behavior = "silent"
	e.newClient(get("/search"), 0.3)
	e.runFor(0.6)
	if e.servers[0].closed != 1 {
		t.Errorf("%d connections to the server were closed, want 1", e.servers[0].closed)
	}
	if e.proxy.Core.InFlight() != 0 || len(e.proxy.requests) != 0 || e.proxy.Clients() != 0 {
		t.Errorf("%d requests in flight, %d clients", e.proxy.Core.InFlight(), e.proxy.Clients())
	}
}

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
				t.Errorf("requests after it are read: %q", client.received)
			}
			if len(e.servers[0].requests) != 0 {
				t.Errorf("the server got %q", e.servers[0].requests)
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
		t.Errorf("the same request is not answered twice: %q", client.received)
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
		t.Error("a fourth client is accepted, or a third is not")
	}
	e.runFor(7)
	if !third.closed {
		t.Error("an idle client stays connected")
	}
}

// All servers fail at once: each request ends within its client timeout and retries stay within their budget; when the servers have
// recovered, requests are answered at once.
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
		t.Errorf("%d in flight, %+v", e.proxy.Core.InFlight(), stats)
	}
	for _, server := range e.servers {
		server.behavior = ""
	}
	client := e.newClient(get("/search"), 0)
	e.runFor(0.1)
	e.expectReceived(client, "HTTP/1.1 200")
}
