package platform

import (
	"slices"
	"strings"
	"testing"

	"snowquay/internal/env"
	"snowquay/internal/wire/resp"
)

// hello is the first message of a collector.
func hello(zone string) []byte { return resp.Append(nil, "telemetry", "az", zone) }

var (
	readinessCheck = resp.Append(nil, "hb")
	readyResponse  = string(resp.Append(nil, "hb_ok"))
)

func TestReportsAndListChangesAreHandled(t *testing.T) {
	sim := simulate(t, 1)
	sim.relay.join(4, "a")
	conn := sim.client.dial(slices.Concat(readinessCheck, hello("a")))
	sim.net.Run(1001.5)
	if sim.client.received[conn] != readyResponse || len(sim.relay.weights) != 3 || sim.relay.assignedAt[4] == 0 {
		t.Fatalf("response %q, %d weights set, proxy assigned a table at %g; want hb_ok, 3, and a time other than 0", sim.client.received[conn], len(sim.relay.weights), sim.relay.assignedAt[4])
	}
	sim.client.io.Send(conn, resp.Append(nil, "upstream_stats", "az", "a", "host", "s-1", "n", "12", "bad", "3", "avg", "41.7", "window", "1000.0",
		"report", "queue:7,util:0.61,other:2"))
	sim.client.io.Send(conn, resp.Append(nil, "client_stats", "sidecar", "4", "kind", "lookup", "n", "19", "bad", "0", "window", "1000.0"))
	sim.discovery.publish(false, server("s-2", "draining"))
	sim.net.Run(1001.6)
	if counts := sim.program.counts; counts.reports != 2 || counts.malformed != 0 {
		t.Errorf("%d reports accepted, %d malformed; want 2, 0", counts.reports, counts.malformed)
	}
	if sim.relay.inTable("s-2") {
		t.Error("s-2 is still in the table 0.1 s after it started to drain")
	}
}

func TestMalformedReportsAreSkipped(t *testing.T) {
	sim := simulate(t, 1)
	sim.relay.join(4, "a")
	conn := sim.client.dial(hello("a"))
	sim.net.Run(1001)
	good := []string{"upstream_stats", "az", "a", "host", "s-1", "n", "12", "bad", "3", "avg", "41.7", "window", "1000.0"}
	malformed := 0
	for i := 1; i < len(good); i += 2 {
		for _, value := range []string{"", "-1", "nan", "inf", "1e300", "x", "\x00"} {
			changed := slices.Clone(good)
			changed[i+1] = value
			sim.client.io.Send(conn, resp.Append(nil, changed...))
			sim.client.io.Send(conn, resp.Append(nil, slices.Concat(good[:i], good[i+2:])...))
			malformed += 2
		}
	}
	for _, message := range [][]string{
		{"client_stats", "sidecar", "5", "kind", "lookup", "n", "1", "bad", "0", "window", "1"},
		{"client_stats", "sidecar", "4", "kind", "other", "n", "1", "bad", "0", "window", "1"},
		{"client_stats", "sidecar", "4", "kind", "lookup", "n", "1", "bad", "2", "window", "1"},
		{"attach", "sidecar", "4"},
		{"share"},
		{"upstream_stats", "az"},
		append(slices.Clone(good), "report", "queue:x"),
		{"telemetry", "az", "q"},
	} {
		sim.client.io.Send(conn, resp.Append(nil, message...))
		malformed++
	}
	sim.client.io.Send(conn, resp.Append(nil, append(slices.Clone(good), "more", "1")...))
	sim.net.Run(1001.5)
	if got := sim.program.counts; got.malformed != uint64(malformed) || got.reports != 1 || sim.client.closedAt[conn] != 0 {
		t.Errorf("%d malformed, want %d; %d reports, want 1; connection closed at %g, want 0 for open", got.malformed, malformed, got.reports, sim.client.closedAt[conn])
	}
	sim.client.io.Send(conn, []byte("GET / HTTP/1.1\r\n\r\n"))
	sim.net.Run(1001.6)
	if sim.client.closedAt[conn] == 0 {
		t.Error("connection stays open after data that is not a RESP message")
	}
}

// Guards against one report with an interval near the smallest number that empties every table for good (review case 6).
func TestReportWithTinyIntervalKeepsTables(t *testing.T) {
	sim := simulate(t, 1)
	sim.relay.join(4, "a")
	conn := sim.client.dial(hello("a"))
	sim.net.Run(1001)
	demand := func(count, window string) {
		sim.client.io.Send(conn, resp.Append(nil, "client_stats", "sidecar", "4", "kind", "lookup", "n", count, "bad", "0", "window", window))
	}
	windows := []string{"5e-324", "2.2250738585072014e-308", "1e-302", "1e-6", "0.999"}
	for _, window := range windows {
		demand("1", window)
	}
	demand("1000000", "1") // a rate that no proxy has
	for i := range 20 {
		demand("5", "1000")
		for _, name := range []string{"s-1", "s-2", "s-3"} {
			sim.client.io.Send(conn, resp.Append(nil, "upstream_stats", "az", "a", "host", name, "n", "2", "bad", "0", "avg", "40", "window", "1000"))
		}
		sim.net.Run(1002 + float64(i))
	}
	if got := sim.program.counts; got.malformed != uint64(len(windows)+1) {
		t.Errorf("%d malformed reports, want %d", got.malformed, len(windows)+1)
	}
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		if !sim.relay.inTable(name) {
			t.Errorf("%s is in no table", name)
		}
	}
}

func TestUnidentifiedClientsAreRejectedInTime(t *testing.T) {
	sim := simulate(t, 1)
	long := string(hello(strings.Repeat("x", 100_000)))
	for _, greeting := range []string{
		"",
		"*",
		"*2\r\n$2\r\nhb",
		"*1\r\n$999999999\r\n",
		"*999999999\r\n",
		"*-1\r\n",
		"*1\r\n$-1\r\n",
		"GET / HTTP/1.1\r\n\r\n",
		"{}\n",
		"\x16\x03\x01\x02",
		string(readinessCheck),
		string(resp.Append(nil, "attach", "sidecar", "1", "az", "a")),
		long[:50_000],
		string(resp.Append(nil, "upstream_stats", "az", "a")),
		string(hello("nowhere")),
		string(resp.Append(nil, "share", "group", "1")),
		strings.Repeat(string(readinessCheck), 500),
	} {
		sim.client.dial([]byte(greeting))
	}
	sim.net.Run(1002)
	for _, conn := range sim.client.conns {
		closedAt := sim.client.closedAt[conn]
		if closedAt == 0 || closedAt-sim.client.openedAt[conn] > 1.05 {
			t.Errorf("client that sent %.30q was not closed within 1.05 s; closed at %g, 0 if still open", sim.client.greetings[conn], closedAt)
		}
	}
	if len(sim.program.clients) != 0 || len(sim.program.unidentified) != 0 || sim.relay.calls > 3 {
		t.Errorf("%d clients are left, want none, identified or not; the relay got %d calls, want 3 at most", len(sim.program.clients), sim.relay.calls)
	}
}

func TestSilentClientsDoNotExhaustDescriptors(t *testing.T) {
	const descriptors = 200
	sim := simulateWith(t, 1, descriptors, settings, server("s-1", "ready"), server("s-2", "ready"), server("s-3", "ready"))
	first := sim.client.dial(hello("b"))
	sim.net.Run(1000.6)
	for range 400 {
		sim.client.dial(nil)
	}
	sim.net.Run(1000.8)
	if clients := len(sim.program.clients); clients > descriptors-reservedDescriptors {
		t.Errorf("%d clients hold descriptors, more than are available to clients", clients)
	}
	late := sim.client.dial(hello("a"))
	sim.net.Run(1003)
	if sim.client.closedAt[first] != 0 || sim.client.closedAt[late] != 0 || len(sim.program.clients) != 2 {
		t.Errorf("%d clients are left, want the two collectors", len(sim.program.clients))
	}
}

// Guards against many clients, identified ones too, that stop half way through a large message: a process with hundreds of them
// exceeded its memory limit.
func TestIncompleteMessagesOfAllClientsAreBounded(t *testing.T) {
	sim := simulate(t, 1)
	half := append([]byte("*4\r\n$14\r\nupstream_stats\r\n$1000000\r\n"), make([]byte, 500_000)...)
	var large []env.Conn
	for range 60 {
		large = append(large, sim.client.dial(slices.Concat(hello("a"), half)))
	}
	small := sim.client.dial(slices.Concat(hello("a"), readinessCheck[:8]))
	sim.net.Run(1010)
	memory := 0
	for _, c := range sim.program.clients {
		memory += c.reader.Memory()
	}
	if limit := defaultMaxBuffered + defaultMaxBuffered/8 + 1<<20; memory > limit {
		t.Errorf("incomplete messages take %d bytes, want at most %d", memory, limit)
	}
	sim.client.io.Send(small, readinessCheck[8:])
	sim.net.Run(1011)
	if sim.client.received[small] != readyResponse {
		t.Errorf("the client with the smallest incomplete message got %q, want hb_ok", sim.client.received[small])
	}
	if closed := sim.client.closedAt[large[0]]; closed == 0 {
		t.Error("a client with half a large message stays, want the largest to be closed")
	}
}

// Guards against readiness checks without an answer because bytes that are not a message arrive together with them.
func TestReadinessCheckBeforeAFramingErrorIsAnswered(t *testing.T) {
	sim := simulate(t, 1)
	for _, greeting := range [][]byte{hello("a"), nil} { // of an identified and of an unidentified client
		conn := sim.client.dial(slices.Concat(greeting, readinessCheck, []byte("GET / HTTP/1.1\r\n\r\n")))
		sim.net.Run(sim.net.Now() + 0.5)
		if !strings.HasPrefix(sim.client.received[conn], readyResponse) || sim.client.closedAt[conn] == 0 {
			t.Errorf("client received %q, closed at %g; want hb_ok and a close", sim.client.received[conn], sim.client.closedAt[conn])
		}
	}
}
