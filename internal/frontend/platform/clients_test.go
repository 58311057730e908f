package platform

import (
	"strings"
	"testing"

	"snowquay/internal/wire/resp"
)

func TestCollectorsRelayAndDiscoveryAreServed(t *testing.T) {
	sim := simulate(t, 1, 256)
	sim.relay.join(4, "a")
	c := sim.client.dial(append(resp.Append(nil, "hb"), resp.Append(nil, "telemetry", "az", "a")...))
	sim.net.Run(1001.5)
	if sim.client.received[c] != string(resp.Append(nil, "hb_ok")) || len(sim.relay.weights) != 3 || sim.relay.assignedAt[4] == 0 {
		t.Fatalf("%q, %d lines, bound at %g", sim.client.received[c], len(sim.relay.weights), sim.relay.assignedAt[4])
	}
	sim.client.io.Send(c, resp.Append(nil, "upstream_stats", "az", "a", "host", "s-1", "n", "12", "bad", "3", "avg", "41.7", "window", "1000.0",
		"report", "queue:7,util:0.61,other:2"))
	sim.client.io.Send(c, resp.Append(nil, "client_stats", "sidecar", "4", "kind", "lookup", "n", "19", "bad", "0", "window", "1000.0"))
	sim.discovery.publish(false, server("s-2", "draining"))
	sim.net.Run(1001.6)
	if sim.program.counts.reports != 2 || sim.program.counts.malformed != 0 {
		t.Errorf("%d reports, %d spoilt", sim.program.counts.reports, sim.program.counts.malformed)
	}
	if _, there := sim.relay.weights["s-2"]; there {
		t.Error("a tenth of a second after it drains s-2 is in the table")
	}
}

func TestMalformedReportsAreSkipped(t *testing.T) {
	sim := simulate(t, 1, 256)
	sim.relay.join(4, "a")
	c := sim.client.dial(resp.Append(nil, "telemetry", "az", "a"))
	sim.net.Run(1001)
	good := []string{"upstream_stats", "az", "a", "host", "s-1", "n", "12", "bad", "3", "avg", "41.7", "window", "1000.0"}
	bad := 0
	for i := 1; i < len(good); i += 2 {
		for _, v := range []string{"", "-1", "nan", "inf", "1e300", "x", "\x00"} {
			m := append([]string(nil), good...)
			m[i+1] = v
			sim.client.io.Send(c, resp.Append(nil, m...))
			sim.client.io.Send(c, resp.Append(nil, append(append([]string(nil), good[:i]...), good[i+2:]...)...))
			bad += 2
		}
	}
	for _, m := range [][]string{{"client_stats", "sidecar", "5", "kind", "lookup", "n", "1", "bad", "0", "window", "1"}, {"client_stats", "sidecar", "4",
		"kind", "other", "n", "1", "bad", "0", "window", "1"}, {"client_stats", "sidecar", "4", "kind", "lookup", "n", "1", "bad", "2", "window", "1"},
		{"attach", "sidecar", "4"}, {"share"}, {"upstream_stats", "az"}, append(good, "report", "queue:x"), {"telemetry", "az", "q"}} {
		sim.client.io.Send(c, resp.Append(nil, m...))
		bad++
	}
	sim.client.io.Send(c, resp.Append(nil, append(good, "more", "1")...))
	sim.net.Run(1001.5)
	if got := sim.program.counts; got.malformed != uint64(bad) || got.reports != 1 || sim.client.closedAt[c] != 0 {
		t.Errorf("%d spoilt of %d, %d count, closed at %g", got.malformed, bad, got.reports, sim.client.closedAt[c])
	}
	sim.client.io.Send(c, []byte("GET / HTTP/1.1\r\n\r\n"))
	if sim.net.Run(1001.6); sim.client.closedAt[c] == 0 {
		t.Error("a connection that goes on with what cannot be read stays")
	}
}

func TestUnidentifiedClientsAreRejectedInTime(t *testing.T) {
	sim := simulate(t, 1, 256)
	long := resp.Append(nil, "telemetry", "az", strings.Repeat("x", 100_000))
	for _, b := range []string{"", "*", "*2\r\n$2\r\nhb", "*1\r\n$999999999\r\n", "*999999999\r\n", "*-1\r\n", "*1\r\n$-1\r\n", "GET / HTTP/1.1\r\n\r\n", "{}\n",
		"\x16\x03\x01\x02", string(resp.Append(nil, "hb")), string(resp.Append(nil, "attach", "sidecar", "1", "az", "a")), string(long[:50_000]),
		string(resp.Append(nil, "upstream_stats", "az", "a")), string(resp.Append(nil, "telemetry", "az", "nowhere")),
		string(resp.Append(nil, "share", "group", "1")), strings.Repeat(string(resp.Append(nil, "hb")), 500)} {
		sim.client.dial([]byte(b))
	}
	sim.net.Run(1002)
	for _, c := range sim.client.conns {
		if at := sim.client.closedAt[c]; at == 0 || at-sim.client.openedAt[c] > 1.05 {
			t.Errorf("%.30q was not closed within a second: %g", sim.client.greetings[c], at)
		}
	}
	if len(sim.program.clients) != 0 || len(sim.program.unidentified) != 0 || sim.relay.calls > 3 {
		t.Errorf("%d callers are left, %d calls went out", len(sim.program.clients), sim.relay.calls)
	}
}

func TestSilentClientsLeaveRoomForCollectors(t *testing.T) {
	sim := simulate(t, 1, 200)
	first := sim.client.dial(resp.Append(nil, "telemetry", "az", "b"))
	sim.net.Run(1000.6)
	for range 400 {
		sim.client.dial(nil)
	}
	sim.net.Run(1000.8)
	if n := len(sim.program.clients); n > 200-reservedDescriptors {
		t.Errorf("%d callers hold descriptors", n)
	}
	late := sim.client.dial(resp.Append(nil, "telemetry", "az", "a"))
	sim.net.Run(1003)
	if sim.client.closedAt[first] != 0 || sim.client.closedAt[late] != 0 || len(sim.program.clients) != 2 {
		t.Errorf("%d callers are left", len(sim.program.clients))
	}
}
