package saspsession

import (
	"testing"

	"snowquay/internal/wire/sasp"
)

// A trusting balancer that has registered nothing itself sets the state of a member that registered by itself.
func TestStateOfMemberBeforeItsBalancerRegisters(t *testing.T) {
	p := startDefault(t)
	balancer := p.dial("10.9.0.1")
	if code := p.request(balancer, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("r1"), Flags: sasp.Push | sasp.Trust}); code != sasp.OK {
		t.Fatal(code)
	}
	member := p.dial(address(0).Addr().String())
	if code := p.request(member, message(sasp.Registration, 0, "r1/search", 0)); code != sasp.OK {
		t.Fatal(code)
	}
	defer func() {
		if cause := recover(); cause != nil {
			t.Errorf("the coordinator panics: %v", cause)
		}
	}()
	if code := p.request(balancer, message(sasp.SetMember, sasp.FromBalancer, "r1/search", 0)); code != sasp.OK {
		t.Errorf("the balancer's word is answered with %s", code)
	}
}
