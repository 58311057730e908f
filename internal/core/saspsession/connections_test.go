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
		t.Errorf("at once: %s, the first is closed: %t", code, p.closed[first])
	}
	p.advance(1.5)
	p.stalled[first] = true // it breaks during an update, unnoticed
	p.server.fleet.Registry.SetDrain(p.now, balancer.Server(address(1).String()), true)
	p.advance(0.2)
	third := p.relay("r1", allFlags, 0, 1, 2)
	p.advance(1)
	if !p.closed[first] || p.closed[third] || p.fleet.Joined() != 1 {
		t.Errorf("the first is closed: %t, the newest: %t, %d joined", p.closed[first], p.closed[third], p.fleet.Joined())
	}
	if w, ok := p.weights[third]["search 10.0.0.1:80"]; !ok || w != 0 {
		t.Errorf("the drain was not sent again: %v", p.weights[third])
	}
	if p.countWeights(third, "search") != 3 {
		t.Errorf("its weights are %v", p.weights[third])
	}
}

func TestClosedConnectionLeavesNoState(t *testing.T) {
	p := startDefault(t)
	c := p.dial("10.9.0.1")
	b := sasp.Append(nil, message(sasp.Registration, 1, "r1/search", 0, 1, 2))
	p.server.Receive(p.now, c, sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("r1"), Flags: allFlags}))
	for i := range b[:len(b)/2] { // one byte at a time, and only half of them
		p.server.Receive(p.now, c, b[i:i+1])
	}
	if _, buffered := p.server.Connections(); buffered != len(b)/2 {
		t.Errorf("%d bytes are buffered of %d", buffered, len(b)/2)
	}
	p.server.Closed(p.now, c)
	p.advance(0.2)
	n, buffered := p.server.Connections()
	if n+buffered+p.fleet.Joined()+len(p.server.balancers) != 0 {
		t.Errorf("%d connections, %d bytes, %d joined, %d balancers are left", n, buffered, p.fleet.Joined(), len(p.server.balancers))
	}
}

// stallRelay runs a relay that receives nothing for ten seconds while drains and weights change.
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
		t.Errorf("%d messages of %d bytes wait for a stalled relay", p.pushes-before, p.sentBytes[c]-sent)
	}
	return p, c
}

func TestSlowReaderGetsNewestState(t *testing.T) {
	p, c := stallRelay(t, controlplane.GuardOverdue)
	if p.closed[c] {
		t.Fatalf("it was disconnected: %q", p.log)
	}
	p.stalled[c] = false
	pushes := p.pushes
	p.fleet.Registry.SetDrain(p.now, balancer.Server(address(2).String()), true)
	p.advance(0.5)
	if p.pushes-pushes > 3 {
		t.Errorf("%d messages to catch up", p.pushes-pushes)
	}
	if p.weights[c]["search 10.0.0.2:80"] != 0 || p.countWeights(c, "search") == 0 {
		t.Errorf("its weights are %v", p.weights[c])
	}
}

func TestRelayThatDoesNotReceiveDrainIsDisconnected(t *testing.T) {
	p, c := stallRelay(t)
	if !p.closed[c] || p.fleet.Stats.Overdue != 1 || !strings.Contains(strings.Join(p.log, "\n"), "a drain has waited") {
		t.Errorf("disconnected: %t, %+v, %q", p.closed[c], p.fleet.Stats, p.log)
	}
}

func TestStalledRelayIsDisconnected(t *testing.T) {
	p := startDefault(t)
	c := p.relay("r1", allFlags, 0)
	p.stalled[c] = true
	p.advance(DefaultLimits.IdentifyTimeout)
	if p.closed[c] {
		t.Fatalf("too early: %q", p.log)
	}
	p.advance(1.5)
	if !p.closed[c] || p.fleet.Stats.Stalled != 1 {
		t.Errorf("disconnected: %t, %q", p.closed[c], p.log)
	}
}

// Updates of relays that connect at once are paced by the channel, and a drain does not wait for them.
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
				t.Errorf("without the guard only %v rows were sent at once", most)
			}
			continue
		}
		if p.fleet.UpToDate() != 460 || most > 400 {
			t.Errorf("%d have the newest tables after 5 s; up to %v rows at once", p.fleet.UpToDate(), most)
		}
		for _, c := range conns {
			if p.weights[c]["search 10.0.0.1:80"] != 0 {
				t.Fatalf("relay %d sends to a draining server", c)
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
	bad := func(why string, bytes ...[]byte) {
		t.Helper()
		c := p.dial("10.6.6.6")
		for _, b := range bytes {
			p.server.Receive(p.now, c, b)
		}
		if !p.closed[c] || !strings.Contains(p.log[len(p.log)-1], why) {
			t.Errorf("closed: %t; the log says %q, wanted %q", p.closed[c], p.log[len(p.log)-1], why)
		}
	}
	frame := func(m *sasp.Message) []byte { return sasp.Append(nil, m) }
	lying := frame(message(sasp.Registration, 1, "r2/search", 0))
	lying[5] = 0x7f
	lying[6] = 0xff
	bad("exceeds the size limit", lying)
	bad("not a SASP message", []byte("GET / HTTP/1.1\r\n"))
	bad("as a manager", frame(&sasp.Message{Kind: sasp.SendWeights}))
	unknown := frame(&sasp.Message{Kind: sasp.SetMemberReply})
	unknown[13] = 0x77
	bad("unknown message", unknown)
	var flood []byte
	for range 500 {
		flood = append(flood, frame(&sasp.Message{Kind: sasp.GetWeights})...)
	}
	bad("floods", flood)
	half := make([]byte, 60<<10)
	copy(half, frame(message(sasp.Registration, 1, "r2/search", 0)))
	half[7] = 0xff
	half[8] = 0xff
	for range 17 { // many connections with an incomplete message
		p.server.Receive(p.now, p.dial("10.6.6.6"), half)
	}
	if n, buffered := p.server.Connections(); buffered > limits.MaxBuffered {
		t.Errorf("%d bytes are buffered for %d connections", buffered, n)
	}
	for range 10000 { // silent connections
		p.dial("10.6.6.6")
	}
	if n, _ := p.server.Connections(); n != limits.MaxConnections {
		t.Errorf("%d connections are open", n)
	}
	p.advance(DefaultLimits.IdentifyTimeout + 1)
	if n, _ := p.server.Connections(); n != 1 || p.closed[good] || p.fleet.UpToDate() != 1 {
		t.Errorf("%d connections are left; the good one is closed: %t", n, p.closed[good])
	}
	odd := frame(message(sasp.Registration, 1, "r1/search", 2))
	odd[16] = 99 // a component's length
	before := p.server.Stats.Replied
	p.server.Receive(p.now, good, odd)
	if p.server.Stats.Replied != before+1 ||
		p.received[good][len(p.received[good])-1].Code != sasp.NotUnderstood || p.closed[good] {
		t.Errorf("a malformed body: %v", p.received[good][len(p.received[good])-1])
	}
	if code := p.request(good, message(sasp.Registration, 1, "r1/search", 2)); code != sasp.OK {
		t.Errorf("the next message is not understood: %s", code)
	}
}

// Measurements alone do not disconnect a relay: not those of unknown senders, nor those that come late.
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
			report(p.now - 500) // its clock differs
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
			t.Errorf("reports %v s late: disconnected %t, %q", late, p.closed[c], p.log)
		}
		if p.fleet.Stats.UnknownProxy == 0 || p.fleet.Stats.UnknownServer == 0 {
			t.Errorf("unknown senders were not counted: %+v", p.fleet.Stats)
		}
	}
}

// A relay whose UID another connection claimed just before is told so and disconnected, so that it dials again and is served.
func TestRelayThatClaimsTooSoonIsDisconnected(t *testing.T) {
	p := startDefault(t)
	p.relay("r1", allFlags, 0) // its process ended, and the connection is not known to be broken
	p.advance(0.1)
	second := p.dial("10.9.0.1")
	if code := p.request(second, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("r1"), Flags: allFlags}); code != sasp.NotAccepted {
		t.Errorf("answered with %s", code)
	}
	if !p.closed[second] {
		t.Error("it is left connected, and waits for weights that never come")
	}
	p.advance(DefaultLimits.TakeoverInterval)
	third := p.relay("r1", allFlags, 0)
	p.advance(1)
	if p.closed[third] || p.countWeights(third, "search") == 0 {
		t.Errorf("after it has dialled again: closed %t, weights %v", p.closed[third], p.weights[third])
	}
}
