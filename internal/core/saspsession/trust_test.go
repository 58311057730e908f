package saspsession

import (
	"testing"

	"snowquay/internal/wire/sasp"
)

// A balancer that trusts members but has registered nothing itself sets the state of a member that registered itself.
// The balancer is not a proxy of the fleet then, which must not cause a panic.
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
			t.Errorf("the server panics: %v", cause)
		}
	}()
	if code := p.request(balancer, message(sasp.SetMember, sasp.FromBalancer, "r1/search", 0)); code != sasp.OK {
		t.Errorf("the balancer's member state is answered with %s, want OK", code)
	}
}
