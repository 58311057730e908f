package proxy

import (
	"strings"
	"testing"
)

// Guards against hundreds of clients that stop half way through a large request: a process with them exceeded its memory limit.
func TestRequestsOfAllClientsAreBounded(t *testing.T) {
	const maxBuffered = 1 << 20
	e := newTestEnvironment(t, 2, func(config *Config) {
		config.Limits.HTTP.Body = 100_000
		config.Limits.MaxBuffered = maxBuffered
	})
	var clients []*testClient
	for range 60 {
		clients = append(clients, e.newClient("POST /search HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 50_000), 0))
	}
	small := e.newClient("GET /sea", 0)
	e.runFor(1)
	total := 0
	for _, bytes := range e.proxy.clientBytes() {
		total += bytes
	}
	if limit := maxBuffered + maxBuffered/8 + 100_000; total > limit {
		t.Errorf("requests of all clients take %d bytes, want at most %d", total, limit)
	}
	rejected := 0
	for _, client := range clients {
		if client.closed {
			rejected++
			e.expectReceived(client, "HTTP/1.1 503 ")
		}
	}
	if rejected == 0 || rejected != e.proxy.Stats.RejectedClients || rejected == len(clients) {
		t.Errorf("%d of %d clients were rejected, %d are counted", rejected, len(clients), e.proxy.Stats.RejectedClients)
	}
	small.io.Send(small.conn, []byte("rch HTTP/1.1\r\nHost: x\r\n\r\n"))
	e.runFor(1)
	e.expectReceived(small, "HTTP/1.1 200 ")
}

// Guards against a request that is sent on after its client was rejected: it was sent to another server when the first one failed.
func TestRequestOfARejectedClientIsCancelled(t *testing.T) {
	e := newTestEnvironment(t, 2, nil)
	for _, server := range e.servers {
		server.behavior = "silent"
	}
	client := e.newClient(get("/search/a"), 0)
	e.runFor(0.1)
	ahead := strings.Repeat(get("/search/b"), 2*DefaultLimits.HTTP.Body/len(get("/search/b")))
	client.io.Send(client.conn, []byte(ahead))
	e.runFor(0.5)
	e.expectReceived(client, "HTTP/1.1 413 ")
	sent := 0
	for i, server := range e.servers {
		sent += len(server.requests)
		e.serverHosts[i].Kill() // an attempt that still ran would be repeated
	}
	if !client.closed || sent != 1 || len(e.proxy.requests) != 0 || len(e.proxy.attempts) != 0 {
		t.Errorf("closed: %v; %d requests were sent, want 1; %d requests and %d attempts are in flight, want none",
			client.closed, sent, len(e.proxy.requests), len(e.proxy.attempts))
	}
}
