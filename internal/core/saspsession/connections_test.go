package saspsession

import (
	"fmt"
	"strings"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/wire/sasp"
)

func TestNewerConnectionTakesOverUID(t *testing.T) {
	p := startDefault(t)
	first := p.relay("r1", allFlags, 0)
	second := p.dial("10.9.0.2")
	if code := p.request(second, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("r1")}); code != sasp.NotAccepted || p.closed[first] {
		t.Errorf("an immediate second claim is answered with %s, the first connection is closed: %t; want NotAccepted, false", code, p.closed[first])
	}
	p.advance(1.5)
	p.stalled[first] = true // the connection breaks during an update, and the server does not notice
	p.server.fleet.Registry.SetDrain(p.now, balancer.Server(address(1).String()), true)
	p.advance(0.2)
	third := p.relay("r1", allFlags, 0, 1, 2)
	p.advance(1)
	if !p.closed[first] || p.closed[third] || p.fleet.Joined() != 1 {
		t.Errorf("first connection closed: %t, newest closed: %t, %d relays joined, want true, false, 1", p.closed[first], p.closed[third], p.fleet.Joined())
	}
	if w, ok := p.weights[third]["search 10.0.0.1:80"]; !ok || w != 0 {
		t.Errorf("the drain was not sent again on the newest connection: %v", p.weights[third])
	}
	if p.countWeights(third, "search") != 3 {
		t.Errorf("the relay has the weights %v, want 3 positive ones", p.weights[third])
	}
}

func TestClosedConnectionLeavesNoState(t *testing.T) {
	p := startDefault(t)
	c := p.dial("10.9.0.1")
	b := sasp.Append(nil, message(sasp.Registration, 1, "r1/search", 0, 1, 2))
	p.server.Receive(p.now, c, sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("r1"), Flags: allFlags}))
	for i := range b[:len(b)/2] { // the first half of the message, one byte at a time
		p.server.Receive(p.now, c, b[i:i+1])
	}
	if _, buffered := p.server.Connections(); buffered != len(b)/2 {
		t.Errorf("%d bytes are buffered, want %d", buffered, len(b)/2)
	}
	p.server.Closed(p.now, c)
	p.advance(0.2)
	n, buffered := p.server.Connections()
	if n+buffered+p.fleet.Joined()+len(p.server.balancers) != 0 {
		t.Errorf("%d connections, %d bytes, %d joined, %d balancers are left, want none", n, buffered, p.fleet.Joined(), len(p.server.balancers))
	}
}

// stallRelay runs a relay that receives nothing for ten seconds while drains start and end and weights change.
func stallRelay(t *testing.T, without ...controlplane.Guard) (p *peers, c Conn) {
	site := testSite(without...)
	site.Limits.StallTimeout = 30
	p = start(t, site, DefaultLimits, Policy{FleetUID: "fleet"})
	c = p.relay("r1", allFlags, 0, 1, 2, 3)
	p.advance(1)
	before := p.pushes
	sent := p.sentBytes[c]
	p.stalled[c] = true
	for i := range 100 {
		s := balancer.Server(address(1 + i%3).String())
		p.fleet.Registry.SetDrain(p.now, s, i/3%2 == 0)
		p.advance(0.1)
	}
	if p.pushes-before > 1 || p.sentBytes[c]-sent > 600 {
		t.Errorf("%d messages with %d bytes were queued for a stalled relay, want at most 1 and 600", p.pushes-before, p.sentBytes[c]-sent)
	}
	return p, c
}

func TestSlowReaderGetsNewestState(t *testing.T) {
	p, c := stallRelay(t, controlplane.GuardOverdue)
	if p.closed[c] {
		t.Fatalf("the relay was disconnected: %q", p.log)
	}
	p.stalled[c] = false
	pushes := p.pushes
	p.fleet.Registry.SetDrain(p.now, balancer.Server(address(2).String()), true)
	p.advance(0.5)
	if p.pushes-pushes > 3 {
		t.Errorf("%d messages after the relay receives again, want at most 3", p.pushes-pushes)
	}
	if p.weights[c]["search 10.0.0.2:80"] != 0 || p.countWeights(c, "search") == 0 {
		t.Errorf("the relay has the weights %v, want no weight for the drained server", p.weights[c])
	}
}

func TestRelayThatDoesNotReceiveDrainIsDisconnected(t *testing.T) {
	p, c := stallRelay(t)
	if !p.closed[c] || p.fleet.Stats.Overdue != 1 || !strings.Contains(strings.Join(p.log, "\n"), "a drain has waited") {
		t.Errorf("relay disconnected: %t, stats %+v, log %q; want true, one overdue relay, and the reason in the log", p.closed[c], p.fleet.Stats, p.log)
	}
}

func TestStalledRelayIsDisconnected(t *testing.T) {
	p := startDefault(t)
	c := p.relay("r1", allFlags, 0)
	p.stalled[c] = true
	p.advance(DefaultLimits.IdentifyTimeout)
	if p.closed[c] {
		t.Fatalf("the relay was disconnected too early: %q", p.log)
	}
	p.advance(1.5)
	if !p.closed[c] || p.fleet.Stats.Stalled != 1 {
		t.Errorf("relay disconnected: %t, log %q; want true, counted as stalled", p.closed[c], p.log)
	}
}

// The channel paces the updates of relays that connect at the same time, and a drain does not wait behind these
// updates.
func TestJoiningRelaysArePaced(t *testing.T) {
	for _, without := range [][]controlplane.Guard{nil, {controlplane.GuardPacing}} {
		site := testSite(without...)
		site.DataPlane.Proxies = 460
		site.Channel.EntriesPerSecond = 4000
		site.Channel.MaxQueued = 9000
		p := start(t, site, DefaultLimits, Policy{FleetUID: "fleet"})
		var conns []Conn
		for i := range 460 {
			conns = append(conns, p.relay(fmt.Sprintf("r%d", i), allFlags, 0, 1))
		}
		p.rows = 0
		p.pushes = 0
		most := 0.0
		last := p.rows
		for i := range 125 {
			p.advance(0.04)
			if i == 10 {
				p.fleet.Registry.SetDrain(p.now, balancer.Server(address(1).String()), true)
			}
			most = max(most, p.rows-last)
			last = p.rows
		}
		if without != nil {
			if most < 1000 {
				t.Errorf("without GuardPacing at most %v rows were sent in one step, want at least 1000", most)
			}
			continue
		}
		if p.fleet.UpToDate() != 460 || most > 400 {
			t.Errorf("%d relays have the newest tables after 5 s, want 460; up to %v rows in one step, want at most 400", p.fleet.UpToDate(), most)
		}
		for _, c := range conns {
			if p.weights[c]["search 10.0.0.1:80"] != 0 {
				t.Fatalf("the relay on connection %d still has a weight for the draining server", c)
			}
		}
	}
}

func TestHostileConnections(t *testing.T) {
	limits := DefaultLimits
	limits.MaxConnections = 2000
	limits.MaxBuffered = 1 << 20
	limits.MaxMessageBytes = 64 << 10
	limits.MaxGroups = 2
	p := start(t, testSite(), limits, Policy{FleetUID: "fleet"})
	good := p.relay("r1", allFlags, 0)
	expectClosed := func(reason string, bytes ...[]byte) {
		t.Helper()
		c := p.dial("10.6.6.6")
		for _, b := range bytes {
			p.server.Receive(p.now, c, b)
		}
		if !p.closed[c] || !strings.Contains(p.log[len(p.log)-1], reason) {
			t.Errorf("connection closed: %t, last log entry %q, want reason %q", p.closed[c], p.log[len(p.log)-1], reason)
		}
	}
	frame := func(m *sasp.Message) []byte { return sasp.Append(nil, m) }
	oversized := frame(message(sasp.Registration, 1, "r2/search", 0))
	oversized[5] = 0x7f
	oversized[6] = 0xff
	expectClosed("exceeds the size limit", oversized)
	expectClosed("not a SASP message", []byte("GET / HTTP/1.1\r\n"))
	expectClosed("only the manager sends", frame(&sasp.Message{Kind: sasp.SendWeights}))
	unknown := frame(&sasp.Message{Kind: sasp.SetMemberReply})
	unknown[13] = 0x77
	expectClosed("unknown message", unknown)
	var flood []byte
	for range 500 {
		flood = append(flood, frame(&sasp.Message{Kind: sasp.GetWeights})...)
	}
	expectClosed("message rate limit exceeded", flood)
	half := make([]byte, 60<<10)
	copy(half, frame(message(sasp.Registration, 1, "r2/search", 0)))
	half[7] = 0xff
	half[8] = 0xff
	small := p.dial("10.6.6.6")
	var large []Conn
	for range 17 { // many connections with an incomplete message
		large = append(large, p.dial("10.6.6.6"))
		p.server.Receive(p.now, large[len(large)-1], half)
	}
	weights := frame(&sasp.Message{Kind: sasp.GetWeights})
	p.server.Receive(p.now, small, weights[:len(weights)-1])
	p.server.Receive(p.now, p.dial("10.6.6.6"), half)
	if p.closed[small] || !p.closed[large[0]] {
		t.Error("the connection with the smallest incomplete message was closed, want one with the largest")
	}
	if n, buffered := p.server.Connections(); buffered > limits.MaxBuffered {
		t.Errorf("%d bytes are buffered for %d connections, over the limit", buffered, n)
	}
	for range 10000 { // connections that send nothing
		p.dial("10.6.6.6")
	}
	if n, _ := p.server.Connections(); n != limits.MaxConnections {
		t.Errorf("%d connections are open, want the maximum of 2000", n)
	}
	p.advance(DefaultLimits.IdentifyTimeout + 1)
	if n, _ := p.server.Connections(); n != 1 || p.closed[good] || p.fleet.UpToDate() != 1 {
		t.Errorf("%d connections are left, want 1; the well-behaved relay was disconnected: %t, want false and the newest tables", n, p.closed[good])
	}
	malformed := frame(message(sasp.Registration, 1, "r1/search", 2))
	malformed[16] = 99 // the length of a component
	before := p.server.Stats.Replied
	p.server.Receive(p.now, good, malformed)
	if p.server.Stats.Replied != before+1 ||
		p.received[good][len(p.received[good])-1].Code != sasp.NotUnderstood || p.closed[good] {
		t.Errorf("a malformed body is answered with %v, want one reply NotUnderstood on an open connection", p.received[good][len(p.received[good])-1])
	}
	if code := p.request(good, message(sasp.Registration, 1, "r1/search", 2)); code != sasp.OK {
		t.Errorf("the message after the malformed one is answered with %s, want OK", code)
	}
}

// A relay whose current load reports show requests to a drained server is disconnected. Reports of unknown senders and
// late reports do not disconnect a relay.
func TestOnlyNoncompliantRelayIsDisconnected(t *testing.T) {
	for _, late := range []float64{0, 4} {
		p := startDefault(t)
		c := p.relay("r1", allFlags, 0, 1)
		p.advance(1)
		s := balancer.Server(address(1).String())
		tries := 0.0
		report := func(clock float64) {
			tries += 5
			p.fleet.ReportUpstream(p.now, clock, "r1", s, loadreport.Totals{Attempts: tries})
			p.fleet.ReportUpstream(p.now, clock, "nobody", s, loadreport.Totals{Attempts: tries})
			p.fleet.ReportUpstream(p.now, clock, "r1", "10.9.9.9:1", loadreport.Totals{Attempts: tries})
		}
		for range 6 {
			p.advance(0.5)
			report(p.now - 500) // the relay's clock differs from the coordinator's
		}
		p.fleet.Registry.SetDrain(p.now, s, true)
		drained := p.now
		for p.now < drained+3 {
			p.advance(0.5)
			if late == 0 || p.now-late < drained {
				report(p.now - 500 - late)
			}
		}
		if p.closed[c] != (late == 0) {
			t.Errorf("reports %v s late: relay disconnected: %t, want so only with 0 s; log %q", late, p.closed[c], p.log)
		}
		if p.fleet.Stats.UnknownProxy == 0 || p.fleet.Stats.UnknownServer == 0 {
			t.Errorf("reports of unknown proxies or for unknown servers were not counted: %+v", p.fleet.Stats)
		}
	}
}

// A relay that claims a UID soon after another connection did gets a negative reply and is disconnected. Otherwise it
// would stay connected without getting weights, instead of dialling again.
func TestRelayThatClaimsUIDTooSoonIsDisconnected(t *testing.T) {
	p := startDefault(t)
	p.relay("r1", allFlags, 0) // the relay's process ends, and the connection is not known to be broken
	p.advance(0.1)
	second := p.dial("10.9.0.1")
	if code := p.request(second, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("r1"), Flags: allFlags}); code != sasp.NotAccepted {
		t.Errorf("the second claim is answered with %s, want NotAccepted", code)
	}
	if !p.closed[second] {
		t.Error("the second connection stays open, without ever getting weights")
	}
	p.advance(DefaultLimits.TakeoverInterval)
	third := p.relay("r1", allFlags, 0)
	p.advance(1)
	if p.closed[third] || p.countWeights(third, "search") == 0 {
		t.Errorf("after the relay dialled again: connection closed: %t, want false; weights %v, want some", p.closed[third], p.weights[third])
	}
}

// Guards against strangers that hold connections while others wait: only the oldest ones are closed, and no relay.
func TestOldestUnidentifiedConnectionsAreClosed(t *testing.T) {
	p := startDefault(t)
	relay := p.relay("r1", allFlags, 0)
	var strangers []Conn
	for i := range 5 {
		strangers = append(strangers, p.dial(fmt.Sprint("10.9.0.", i+1)))
		p.advance(0.1)
	}
	if closed := p.server.CloseUnidentified(p.now, 0.15, 2); closed != 2 || !p.closed[strangers[0]] || !p.closed[strangers[1]] {
		t.Errorf("%d connections were closed, want the two oldest", closed)
	}
	if closed := p.server.CloseUnidentified(p.now, 0.15, 10); closed != 2 || p.closed[strangers[4]] || p.closed[relay] {
		t.Errorf("%d connections were closed, want 2; the newest is closed: %v, the relay's: %v; want neither", closed, p.closed[strangers[4]], p.closed[relay])
	}
	if closed := p.server.CloseUnidentified(p.now, 0, -1); closed != 0 {
		t.Errorf("%d connections were closed, want none", closed)
	}
}
