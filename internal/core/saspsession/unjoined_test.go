package saspsession

import (
	"testing"

	"snowquay/internal/wire/sasp"
)

// A balancer that has deregistered its last group is connected, but no proxy of the fleet; a member may register with it
// all the same, and its state may be set.
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
		t.Errorf("the balancer's set member state is answered with %s", code)
	}
	if joined := p.fleet.Joined(); joined != 0 {
		t.Errorf("%d proxies are joined", joined)
	}
	if code := p.request(balancer, message(sasp.Registration, sasp.FromBalancer, "r1/search", 1)); code != sasp.OK {
		t.Errorf("it is not registered again: %s", code)
	}
	p.advance(1)
	if joined := p.fleet.Joined(); joined != 1 || p.countWeights(balancer, "search") == 0 {
		t.Errorf("after its registration %d proxies are joined, its weights are %v", joined, p.weights[balancer])
	}
}
