package saspsession

import (
	"testing"

	"snowquay/internal/wire/sasp"
)

// A balancer that has deregistered its last group stays connected, but is no longer a proxy of the fleet. A member may
// still register with it, the balancer may set the member's state, and it joins again with its next registration.
func TestStateOfMemberAfterItsBalancerDeregistered(t *testing.T) {
	p := startDefault(t)
	balancer := p.relay("r1", allFlags, 1)
	if code := p.request(balancer, message(sasp.Deregistration, sasp.FromBalancer)); code != sasp.OK {
		t.Fatal(code)
	}
	member := p.dial(address(0).Addr().String())
	if code := p.request(member, message(sasp.Registration, 0, "r1/search", 0)); code != sasp.OK {
		t.Fatal(code)
	}
	if code := p.request(balancer, message(sasp.SetMember, sasp.FromBalancer, "r1/search", 0)); code != sasp.OK {
		t.Errorf("the balancer's member state is answered with %s, want OK", code)
	}
	if joined := p.fleet.Joined(); joined != 0 {
		t.Errorf("%d proxies are joined, want 0", joined)
	}
	if code := p.request(balancer, message(sasp.Registration, sasp.FromBalancer, "r1/search", 1)); code != sasp.OK {
		t.Errorf("the balancer's next registration is answered with %s, want OK", code)
	}
	p.advance(1)
	if joined := p.fleet.Joined(); joined != 1 || p.countWeights(balancer, "search") == 0 {
		t.Errorf("after the next registration %d proxies are joined, want 1; the balancer has the weights %v, want some", joined, p.weights[balancer])
	}
}
