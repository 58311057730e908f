package membership

import (
	"errors"
	"fmt"
	"testing"
)

// proxyOwnedBy returns a proxy whose owner is the peer.
func proxyOwnedBy(s *State, peer Peer) string {
	for i := 0; ; i++ {
		uid := fmt.Sprint("relay-", i)
		if owner, _ := s.Owner(uid); owner == peer {
			return uid
		}
	}
}

// A coordinator claims a proxy that keeps contacting it although another one owns it. Claims end with the lease of the claiming
// coordinator. A claim by a proposer that did not know of a newer claim is ignored.
func TestMisroutedProxiesAreClaimed(t *testing.T) {
	s := newGroup(t, 1, 1, 1)
	uid := proxyOwnedBy(s, "c0")
	misrouted := NewMisroutedProxies()
	now := 100.0
	for ; now < 105; now++ {
		if misrouted.Observe(now, uid); len(misrouted.DueClaims(now, "c1", s)) > 0 {
			t.Fatalf("the proxy is claimed after %v s of contacts, which is too early", now-100)
		}
	}
	now += 4 // the proxy reaches its owner for a while, then contacts c1 again
	for from := now; ; now++ {
		misrouted.Observe(now, uid)
		if due := misrouted.DueClaims(now, "c1", s); len(due) > 0 {
			if now-from < claimAfter {
				t.Errorf("the proxy is claimed again after %v s of contacts, want at least claimAfter", now-from)
			}
			conflicting := due[0]
			conflicting.Peer = "c2"
			if ownersChanged, err := s.Apply(due[0]); !ownersChanged || err != nil {
				t.Fatal(ownersChanged, err)
			}
			if owner, _ := s.Owner(uid); owner != "c1" || !s.Contested(uid, "c1") {
				t.Errorf("the owner is %s, want c1, contested while the former owner does not know of the claim", owner)
			}
			if ownersChanged, _ := s.Apply(conflicting); ownersChanged {
				t.Error("a claim by a proposer that did not know of the first claim takes effect")
			}
			break
		}
		if now-from > 20 {
			t.Fatal("the proxy is not claimed after 20 s of contacts")
		}
	}
	for i, peer := range []Peer{"c0", "c2"} {
		apply(t, s, Command{Kind: RenewLease, Peer: peer, Weight: 1, Renewal: uint64(9 + i), SeenEpoch: s.Epoch})
	}
	if s.Contested(uid, "c1") {
		t.Error("the proxy is contested although all coordinators know of the claim")
	}
	snapshot, err := s.Snapshot()
	var again State
	if err != nil || again.Restore(snapshot) != nil {
		t.Fatal(err)
	}
	if owner, _ := again.Owner(uid); owner != "c1" {
		t.Error("the claim is missing after a snapshot was restored")
	}
	apply(t, s, Command{Kind: ExpireLease, Peer: "c1", Renewal: 1})
	if owner, _ := s.Owner(uid); owner != "c0" || len(s.Claims) != 0 {
		t.Errorf("after the expiry of the claiming coordinator's lease, the owner is %s, want c0 and no claims", owner)
	}
	if _, err := s.Apply(Command{Kind: ClaimProxies, Peer: "c1", UIDs: []string{"x"}}); !errors.Is(err, ErrInvalidCommand) {
		t.Errorf("a claim by a coordinator without a lease: %v, want ErrInvalidCommand", err)
	}
	for i := range maxMisroutedProxies + 10 {
		misrouted.Observe(now, fmt.Sprint("x", i))
	}
	if len(misrouted.proxies) > maxMisroutedProxies {
		t.Errorf("%d proxies are observed, more than the maximum", len(misrouted.proxies))
	}
}
