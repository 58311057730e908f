package saspsession

import (
	"testing"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// returningMember is the number of the server that registers itself in these tests.
const returningMember = 4

// inService reports whether returningMember is in the phase Ready.
func (p *peers) inService() bool {
	phase, _ := p.fleet.Registry.Phase(balancer.Server(address(returningMember).String()))
	return phase == balancer.Ready
}

// A server that has registered on a second connection stays in service when its first connection is found to be broken.
// The end of the older connection must not be taken for the end of the server.
func TestMemberOnNewerConnectionStaysInService(t *testing.T) {
	p := startDefault(t)
	older := p.dial(address(returningMember).Addr().String())
	newer := p.dial(address(returningMember).Addr().String())
	for _, conn := range []Conn{older, newer} {
		if code := p.request(conn, message(sasp.Registration, 0, "fleet/search", returningMember)); code != sasp.OK {
			t.Fatal(code)
		}
		p.advance(1)
	}
	p.server.Closed(p.now, older)
	p.advance(30)
	if !p.inService() {
		t.Error("the server is out of service, though its newer connection is open")
	}
	p.server.Closed(p.now, newer)
	p.advance(30)
	if p.inService() {
		t.Error("the server is in service without a connection")
	}
}

// A server that registered on one connection and deregistered on another one is in service again after it registers on
// the first connection. The server must not be taken for one that is still registered there.
func TestMemberRegistersAgainAfterDeregisteringElsewhere(t *testing.T) {
	p := startDefault(t)
	first := p.dial(address(returningMember).Addr().String())
	second := p.dial(address(returningMember).Addr().String())
	p.request(first, message(sasp.Registration, 0, "fleet/search", returningMember))
	p.request(second, message(sasp.Deregistration, 0, "fleet/search", returningMember))
	if code := p.request(first, message(sasp.Registration, 0, "fleet/search", returningMember)); code != sasp.OK {
		t.Fatal(code)
	}
	if p.advance(1); !p.inService() {
		t.Error("the server is out of service, though its registration was accepted")
	}
}

// A server that has deregistered, or whose connection ended and was not replaced, is removed from its balancer's group
// and can register in the group again.
func TestMemberRegistersWithItsBalancerAgain(t *testing.T) {
	for _, leave := range []func(p *peers, member Conn){
		func(p *peers, member Conn) {
			p.request(member, message(sasp.Deregistration, 0, "r1/search", returningMember))
		},
		func(p *peers, member Conn) { p.server.Closed(p.now, member) },
	} {
		p := startDefault(t)
		p.relay("r1", allFlags, 1)
		member := p.dial(address(returningMember).Addr().String())
		if code := p.request(member, message(sasp.Registration, 0, "r1/search", returningMember)); code != sasp.OK {
			t.Fatal(code)
		}
		p.advance(1)
		leave(p, member)
		p.advance(30)
		if p.server.balancers["r1"].groups["search"].members[balancer.Server(address(returningMember).String())] != nil {
			t.Error("the server is still a member of the group after it has left")
		}
		again := p.dial(address(returningMember).Addr().String())
		if code := p.request(again, message(sasp.Registration, 0, "r1/search", returningMember)); code != sasp.OK {
			t.Errorf("the next registration of the server is answered with %s, want OK", code)
		}
		if p.advance(1); !p.inService() {
			t.Error("the server is out of service after its next registration")
		}
	}
}
