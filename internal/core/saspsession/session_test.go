package saspsession

import (
	"testing"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

func TestRelayReceivesItsTables(t *testing.T) {
	p := startDefault(t)
	c := p.relay("r1", allFlags, 0, 1)
	p.advance(1)
	if p.countWeights(c, "search") != 4 || p.countWeights(c, "introduce") != 4 || p.fleet.UpToDate() != 1 {
		t.Errorf("the relay has the weights %v, want 4 per group", p.weights[c])
	}
	if w := p.weights[c]["search 10.0.0.0:80"]; w != 128*257 {
		t.Errorf("the weight of an unchanged server is %d, want 128*257", w)
	}
	pushes := p.pushes
	p.advance(3)
	if p.pushes != pushes {
		t.Errorf("%d messages were pushed without a change, want none", p.pushes-pushes)
	}
}

func TestResponseCodes(t *testing.T) {
	p := startDefault(t)
	c := p.relay("r1", allFlags, 0, 1)
	m := p.dial("10.0.0.4")
	distrusts := p.relay("r2", sasp.Push, 0, 1)
	other := p.dial("10.9.0.9")
	for i, x := range []struct {
		conn Conn
		m    *sasp.Message
		want sasp.Code
	}{
		{c, message(sasp.Registration, 1, "r1/search", 1), sasp.AlreadyRegistered},
		{c, message(sasp.Registration, 1, "r1/search", 2, 2), sasp.DuplicateMember},
		{c, message(sasp.Registration, 1, "r1/search", 2, "r1/search", 3), sasp.DuplicateGroup},
		{c, message(sasp.Registration, 1, "r1/unknown", 2), sasp.InvalidGroup},
		{c, message(sasp.Registration, 1, "r1/", 2), sasp.InvalidGroupName},
		{c, message(sasp.Registration, 1, "/search", 2), sasp.InvalidBalancer},
		{c, message(sasp.Registration, 1, "r3/search", 2), sasp.NotAccepted},
		{c, message(sasp.Registration, 0, "r1/search", 2), sasp.NotAccepted},
		{c, message(sasp.Registration, 1, "r1/search", 2, "r1/introduce"), sasp.OK},
		{c, message(sasp.Deregistration, 1, "r1/unknown"), sasp.UnknownGroup},
		{c, message(sasp.Deregistration, 1, "r1/search", 5), sasp.NotRegistered},
		{c, message(sasp.Deregistration, 1, "r1/search", 2), sasp.OK},
		{c, message(sasp.SetMember, 1, "r1/search", 2), sasp.NotRegistered},
		{c, message(sasp.GetWeights, 0, "r1/unknown"), sasp.UnknownGroup},
		{c, message(sasp.GetWeights, 0, "r2/search"), sasp.NotAccepted},
		{c, message(sasp.GetWeights, 0, "r1/search", "r1/search"), sasp.DuplicateGroup},
		{c, message(sasp.GetWeights, 0), sasp.OK},
		{c, &sasp.Message{Kind: sasp.SetBalancer}, sasp.InvalidBalancer},
		{c, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("r2")}, sasp.NotAccepted},
		{other, message(sasp.GetWeights, 0, "r1/search"), sasp.UnknownBalancer},
		{other, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("fleet")}, sasp.NotAccepted},
		{m, message(sasp.Registration, 0, "r9/search", 4), sasp.BalancerNotConnected},
		{m, message(sasp.Registration, 0, "r2/search", 4), sasp.NotAccepted}, // r2 does not trust members
		{m, message(sasp.Registration, 0, "r1/search", 5), sasp.NotAccepted}, // the member is on another host
		{m, message(sasp.Registration, 0, "r1/search", 4), sasp.OK},
		{m, message(sasp.Registration, 0, "r1/search", 4), sasp.AlreadyRegistered},
		{m, message(sasp.Registration, 0, "fleet/introduce", 4), sasp.OK},
		{m, message(sasp.SetMember, 0, "r1/search", 4), sasp.OK},
		{m, message(sasp.Deregistration, 0, "r1/search", 4), sasp.OK},
		{m, message(sasp.Deregistration, 0, "r1/search", 4), sasp.NotRegistered},
		{distrusts, message(sasp.Deregistration, 1), sasp.OK},
	} {
		if got := p.request(x.conn, x.m); got != x.want {
			t.Errorf("message %d: kind %#x was answered with %q, want %q", i, uint16(x.m.Kind), got, x.want)
		}
	}
	if p.fleet.Joined() != 1 {
		t.Errorf("%d relays are joined, want 1", p.fleet.Joined())
	}
}

func TestMemberRegistersItself(t *testing.T) {
	p := startDefault(t)
	trusts := p.relay("r1", allFlags, 0, 1)
	distrusts := p.relay("r2", sasp.Push, 0, 1)
	p.advance(1)
	m := p.dial("10.0.0.5")
	p.request(m, message(sasp.Registration, 0, "fleet/search", 5))
	p.advance(7)
	const s = "search 10.0.0.5:80"
	if w, ok := p.weights[trusts][s]; !ok || w == 0 || w >= p.weights[trusts]["search 10.0.0.0:80"] {
		t.Errorf("the weight of a warming member at a trusting relay is %d (present: %t), want it above 0 and below that of a warm server", w, ok)
	}
	if _, ok := p.weights[distrusts][s]; ok || p.countWeights(distrusts, "search") != 2 {
		t.Errorf("a relay that does not trust members got the member, or lost its own members: %v", p.weights[distrusts])
	}
	p.request(m, &sasp.Message{Kind: sasp.SetMember, Groups: []sasp.Group{{UID: []byte("fleet"), Name: []byte("search"), To: 1}},
		Rows: []sasp.Row{{Address: sasp.AddressOf(address(5)), Flags: sasp.Quiesce}}})
	p.advance(0.3)
	if p.weights[trusts][s] != 0 {
		t.Errorf("the drain of the member was not delivered")
	}
}

// No member of a relay that does not trust members has an entry in its table. The relay must get those members that
// are ready all the same, or it would have no server.
func TestUntrustingRelayFallsBackToReadyMembers(t *testing.T) {
	p := startDefault(t)
	c := p.relay("r1", sasp.Push, 4, 5) // the members have not registered themselves, so they have no weight
	p.advance(0.5)
	if p.countWeights(c, "search") != 0 {
		t.Errorf("the relay got weights for absent servers: %v", p.weights[c])
	}
	for _, i := range []int{4, 5} {
		p.request(p.dial(address(i).Addr().String()), message(sasp.Registration, 0, "fleet/search", i))
	}
	p.advance(0.3)
	if p.countWeights(c, "search") == 0 {
		t.Errorf("the relay has no weights, though its members are ready: %v", p.weights[c])
	}
}

func TestDrainOfLastServerEmptiesTable(t *testing.T) {
	site := testSite()
	site.Servers = site.Servers[:1]
	p := start(t, site, DefaultLimits, Policy{FleetUID: "fleet", AnyAgent: true})
	c := p.relay("r1", allFlags) // a group without members
	p.advance(1)
	if p.countWeights(c, "search") != 1 {
		t.Fatalf("the relay has the weights %v, want 1", p.weights[c])
	}
	drain := message(sasp.SetMember, 0, "fleet/search", 0)
	drain.Rows[0].Flags = sasp.Quiesce
	if code := p.request(p.dial("10.9.9.9"), drain); code != sasp.OK {
		t.Fatal(code)
	}
	p.advance(0.3)
	if p.countWeights(c, "search") != 0 {
		t.Errorf("the drained server still has a weight: %v", p.weights[c])
	}
}

func TestPollingRelay(t *testing.T) {
	p := startDefault(t)
	c := p.relay("r1", sasp.Trust, 0, 1)
	p.advance(1)
	if p.pushes != 0 {
		t.Errorf("%d messages were sent without a poll, want none", p.pushes)
	}
	if code := p.request(c, message(sasp.GetWeights, 0)); code != sasp.OK || p.countWeights(c, "search") != 4 {
		t.Errorf("the poll is answered with %s, weights %v; want OK, 4 weights", code, p.weights[c])
	}
	if reply := p.received[c][len(p.received[c])-1]; reply.Interval < 1 || reply.Interval > 2 {
		t.Errorf("the poll interval is %d s, want 1 or 2", reply.Interval)
	}
	p.advance(0.2)
	p.fleet.Registry.SetDrain(p.now, balancer.Server(address(1).String()), true)
	p.advance(1.5)
	if p.closed[c] {
		t.Errorf("the relay was disconnected before its poll was due: %q", p.log)
	}
	p.advance(1)
	if !p.closed[c] {
		t.Errorf("the relay is still connected, though it has not polled within the drain deadline")
	}
}
