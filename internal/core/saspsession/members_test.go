package saspsession

import (
	"testing"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// returningMember is the server that registers itself in these tests.
const returningMember = 4

// inService reports whether the fleet uses the returning member.
func (p *peers) inService() bool {
	phase, _ := p.fleet.Registry.Phase(balancer.Server(address(returningMember).String()))
	return phase == balancer.Ready
}

// A server that has dialled again and registered stays in service when its earlier connection is found to be broken.
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
		t.Error("it is out of service, though its newer connection stands")
	}
	p.server.Closed(p.now, newer)
	p.advance(30)
	if p.inService() {
		t.Error("it is in service without a connection")
	}
}

// A server that deregistered on one connection and registers again on another one that it had registered on is in service.
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
		t.Error("it is out of service though its registration was accepted")
	}
}

// A server that has deregistered, or whose connection has ended for good, may register with its balancer's group again, and
// is no member of the group until then.
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
			t.Error("it is a member of the group after it has left")
		}
		again := p.dial(address(returningMember).Addr().String())
		if code := p.request(again, message(sasp.Registration, 0, "r1/search", returningMember)); code != sasp.OK {
			t.Errorf("its next registration is answered with %s", code)
		}
		if p.advance(1); !p.inService() {
			t.Error("it is out of service")
		}
	}
}
