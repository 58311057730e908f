package proxy

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/retry"
	"snowquay/internal/env/simnet"
	"snowquay/internal/wire/http1"
)

func TestRequestsAreForwarded(t *testing.T) {
	w := newTestEnvironment(t, 2, nil)
	u := w.newClient(get("/search?q=1")+get("/search?q=2")+post("/introduce", "", "body")+get("/nowhere"), 0)
	w.runFor(1)
	w.expectReceived(u, "s0", "s1", "404")
	if n := strings.Count(u.received, "HTTP/1.1 200"); n != 3 || u.closed || w.proxy.Clients() != 1 {
		t.Errorf("%d answers, ended %t: %s", n, u.closed, u.received)
	}
	if w.proxy.Stats.Reused != 1 {
		t.Errorf("%d connections were used again", w.proxy.Stats.Reused)
	}
	if u = w.newClient("GET /search HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 0); true {
		w.runFor(1)
		w.expectReceived(u, "Connection: close")
	}
	if !u.closed {
		t.Error("the connection stands")
	}
	w.servers[0].behavior, w.servers[1].behavior = "unframed", "unframed"
	u = w.newClient(get("/search"), 0)
	w.runFor(1)
	w.expectReceived(u, "Content-Length: 2")
}

// Servers that behave badly in any way: free queries are answered by another one in time, others as far as it is safe.
func TestFaultyServers(t *testing.T) {
	for _, how := range []string{"silent", "reset", "drip", "fails", "full", "twice"} {
		w := newTestEnvironment(t, 2, nil)
		w.servers[0].behavior = how
		var users []*testClient
		for range 6 {
			users = append(users, w.newClient(get("/search"), 0))
		}
		w.runFor(3)
		for _, u := range users {
			w.expectReceived(u, "HTTP/1.1 200")
			if strings.Count(u.received, "HTTP/1.1") != 1 {
				t.Errorf("%s: %q", how, u.received)
			}
		}
		once := 0
		for i := range 6 {
			w.newClient(post("/once", "", fmt.Sprint("once-", i)), 0)
		}
		w.runFor(8)
		ran := map[string]int{}
		for _, s := range w.servers {
			for _, x := range s.requests {
				if strings.HasPrefix(x, "POST") && s.behavior != "full" {
					ran[x]++
				}
			}
		}
		for x, n := range ran {
			if once++; n > 1 {
				t.Errorf("%s: %q ran %d times", how, x, n)
			}
		}
		if once != 6 {
			t.Errorf("%s: %d of 6 single-shot queries reached a server", how, once)
		}
		if w.proxy.Core.InFlight() != 0 || len(w.proxy.requests) != 0 || len(w.proxy.attempts) != 0 {
			t.Errorf("%s: %d queries are left", how, w.proxy.Core.InFlight())
		}
	}
	w := newTestEnvironment(t, 2, nil)
	w.hosts[0].Kill() // it refuses connections: proof enough for anything
	for i := range 6 {
		u := w.newClient(post("/once", "", fmt.Sprint(i)), 0)
		w.runFor(0.5)
		w.expectReceived(u, "HTTP/1.1 200")
	}
	w.servers[1].behavior = "fails"
	u := w.newClient(get("/search"), 0)
	w.runFor(2)
	w.expectReceived(u, "500", "owch") // the server's own words
	w.hosts[1].Kill()
	u = w.newClient(get("/search"), 0)
	w.runFor(2)
	w.expectReceived(u, "HTTP/1.1 502")
}

// A client that leaves in the middle: what is under way for it is cut off, so that the server notices.
func TestClientClosesConnection(t *testing.T) {
	w := newTestEnvironment(t, 1, nil)
	w.servers[0].behavior = "silent"
	w.newClient(get("/search"), 0.3)
	w.runFor(0.6)
	if w.servers[0].closed != 1 || w.proxy.Core.InFlight() != 0 || len(w.proxy.requests) != 0 || w.proxy.Clients() != 0 {
		t.Errorf("%d connections closed, %d under way", w.servers[0].closed, w.proxy.Core.InFlight())
	}
}

func TestFaultyClients(t *testing.T) {
	w := newTestEnvironment(t, 1, func(s *Config) {
		s.Limits.HTTP = http1.Limits{Head: 500, Body: 1000, Fields: 20}
		s.Limits.MaxClients, s.Limits.IdleTimeout = 3, 5
	})
	for send, status := range map[string]string{
		"POST /search HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": "400",
		"GET /search HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 600) + "\r\n\r\n":                       "431",
		post("/search", "", strings.Repeat("x", 2000)):                                                         "413",
		"hello\r\n\r\n": "400"} {
		u := w.newClient(send+get("/search"), 0)
		w.runFor(0.5)
		w.expectReceived(u, "HTTP/1.1 "+status, "Connection: close")
		if !u.closed || strings.Count(u.received, "HTTP/1.1") != 1 {
			t.Errorf("%.40q: it goes on: %q", send, u.received)
		}
	}
	if len(w.servers[0].requests) != 0 {
		t.Errorf("the server has seen %q", w.servers[0].requests)
	}
	key := post("/introduce", "k1", "one")
	u := w.newClient(key+key+post("/introduce", "k1", "another"), 0)
	w.runFor(1)
	w.expectReceived(u, "HTTP/1.1 422")
	if strings.Count(u.received, "HTTP/1.1 200") != 2 {
		t.Errorf("%q", u.received)
	}
	cont := w.newClient("POST /search HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", 0)
	w.runFor(0.5)
	w.expectReceived(cont, "100 Continue")
	cont.io.Send(cont.conn, []byte("ok"))
	w.runFor(0.5)
	w.expectReceived(cont, "HTTP/1.1 200")
	a, b := w.newClient("", 0), w.newClient("", 0)
	w.runFor(0.5)
	if a.closed || !b.closed {
		t.Error("a fourth client is let in, or a third is not")
	}
	if w.runFor(7); !a.closed {
		t.Error("a silent client stays")
	}
}

// Tables are followed; a drained server gets no new query and its kept connections are closed, while what is in progress
// there ends; an older epoch of another coordinator is refused; without coordinators, and after its own restart, the proxy
// goes on by what it held.
func TestTablesOfCoordinatorsAreApplied(t *testing.T) {
	at := []netip.AddrPort{netip.MustParseAddrPort("10.0.3.1:3000"), netip.MustParseAddrPort("10.0.3.2:3000")}
	var shelf memoryStore
	change := func(s *Config) {
		s.Coordinators, s.DefaultServers, s.Store, s.Seed = at, nil, &shelf, 7
	}
	w := newTestEnvironment(t, 3, change)
	desks, hosts := []*testCoordinator{{}, {}}, []*simnet.Host{}
	for i := range at {
		hosts = append(hosts, w.net.Add(at[i].Addr(), 0, false))
		hosts[i].Start(desks[i])
	}
	w.runFor(2.5)
	first := desks[0]
	if len(first.polls) == 0 {
		first = desks[1]
	}
	if len(first.polls) == 0 {
		t.Fatal("it asks nobody")
	}
	first.sendTables(testTables(1, 5, 0, 1))
	w.runFor(0.2)
	if joined, _ := w.proxy.Coordinator(); !joined || !strings.Contains(first.polls[len(first.polls)-1], "lead=5") {
		t.Fatalf("joined %t, asked %q", joined, first.polls)
	}
	for range 4 {
		w.newClient(get("/search"), 0)
	}
	w.runFor(0.2)
	w.servers[1].behavior = "silent" // a query in progress
	busy := w.newClient(get("/search"), 0)
	busy2 := w.newClient(get("/search"), 0)
	w.runFor(0.2)
	closed := w.servers[1].closed
	first.sendTables(testTables(2, 5, 0, 2))
	w.runFor(0.1)
	if w.servers[1].closed <= closed {
		t.Error("kept connections to a server that drains stay open")
	}
	seen := len(w.servers[1].requests)
	for range 10 {
		w.newClient(get("/search"), 0)
	}
	w.runFor(0.3)
	if len(w.servers[1].requests) != seen {
		t.Error("a server that drains gets new queries")
	}
	w.runFor(2)
	w.expectReceived(busy, "HTTP/1.1 200")
	w.expectReceived(busy2, "HTTP/1.1 200")
	other := desks[0]
	if other == first {
		other = desks[1]
	}
	for i, d := range desks {
		if d == first {
			hosts[i].Kill()
		}
	}
	w.runFor(3)
	if len(other.polls) == 0 || !strings.Contains(other.polls[0], "version=2") {
		t.Fatalf("the other coordinator was asked %q", other.polls)
	}
	other.sendTables(testTables(9, 4, 1)) // it has not heard that the proxy changed hands
	w.runFor(0.2)
	if s := w.proxy.Core.Tables.Table(0); s.Weight(balancer.Server(serverAt(1).String())) != 0 || s.Len() != 2 {
		t.Error("a table of an older epoch is followed")
	}
	for i := range desks {
		hosts[i].Kill()
	}
	w.runFor(5)
	w.host.Kill() // its own restart, with all coordinators gone
	s := testConfig(3)
	change(&s)
	w.proxy = New(w.net.Now(), s)
	w.host.Start(w.proxy)
	u := w.newClient(get("/search"), 0)
	w.runFor(0.5)
	w.expectReceived(u, "HTTP/1.1 200")
	if w.proxy.Core.Tables.Table(0).Len() != 2 {
		t.Error("it has forgotten its table")
	}
}

// Orders that come while the proxy stalls over a former one are taken in their order, and the newest counts; a delta that
// builds on one that was lost is not applied.
func TestTablesDuringStall(t *testing.T) {
	at := netip.MustParseAddrPort("10.0.3.1:3000")
	w := newTestEnvironment(t, 3, func(s *Config) { s.Coordinators = []netip.AddrPort{at} })
	d := &testCoordinator{}
	w.net.Add(at.Addr(), 0, false).Start(d)
	w.runFor(3)
	w.host.Freeze(2)
	for v := uint64(1); v <= 5; v++ {
		d.sendTables(testTables(v, 0, int(v)%3))
	}
	w.runFor(1)
	if w.proxy.Core.Tables.Table(0).Len() != 3 {
		t.Error("it applies what it has not read")
	}
	w.runFor(2)
	if l := w.proxy.Core.Tables.Table(0).Entries(); len(l) != 1 || l[0].Server != balancer.Server(serverAt(2).String()) {
		t.Errorf("after the stall it holds %v", l)
	}
	late := testTables(9, 0, 0)
	late.Base = 8
	asked := len(d.polls)
	d.sendTables(late)
	w.runFor(1)
	if _, v, _ := w.proxy.Core.Tables.HeldVersion(); v != 0 || len(d.polls) <= asked || strings.Contains(d.polls[len(d.polls)-1], "version=") {
		t.Errorf("it holds version %d and asked %q", v, d.polls[asked:])
	}
}

// All servers fail at once: each query ends within its client timeout, repeats stay within their budget, and when the servers
// are well again queries are answered at once.
func TestAllServersFail(t *testing.T) {
	w := newTestEnvironment(t, 3, func(s *Config) { s.Forwarding.Budget = retry.Budget{Ratio: 0.1, Burst: 5} })
	for _, s := range w.servers {
		s.behavior = "fails"
	}
	var users []*testClient
	for range 100 {
		users = append(users, w.newClient(get("/search"), 0))
		w.runFor(0.05)
	}
	for _, u := range users {
		w.expectReceived(u, "HTTP/1.1 500")
	}
	if c := w.proxy.Core.Stats; c.Retries > 16 || c.OverBudget == 0 || w.proxy.Core.InFlight() != 0 {
		t.Errorf("%+v", c)
	}
	for _, s := range w.servers {
		s.behavior = ""
	}
	u := w.newClient(get("/search"), 0)
	w.runFor(0.1)
	w.expectReceived(u, "HTTP/1.1 200")
}
