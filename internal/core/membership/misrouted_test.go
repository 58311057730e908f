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

// A proxy that keeps contacting another coordinator than its owner is claimed by that one; claims end with the lease of their holder, and
// a claim that was decided too early is ignored.
func TestMisroutedProxiesAreClaimed(t *testing.T) {
	s := newGroup(t, 1, 1, 1)
	uid := proxyOwnedBy(s, "c0")
	misrouted := NewMisroutedProxies()
	now := 100.0
	for ; now < 105; now++ {
		if misrouted.Observe(now, uid); len(misrouted.DueClaims(now, "c1", s)) > 0 {
			t.Fatalf("it is claimed after %v s", now-100)
		}
	}
	now += 4 // it has found its owner, and loses it again
	for from := now; ; now++ {
		misrouted.Observe(now, uid)
		if due := misrouted.DueClaims(now, "c1", s); len(due) > 0 {
			if now-from < claimAfter {
				t.Errorf("claimed after %v s of contacts", now-from)
			}
			late := due[0]
			late.Peer = "c2"
			if moved, err := s.Apply(due[0]); !moved || err != nil {
				t.Fatal(moved, err)
			}
			if owner, _ := s.Owner(uid); owner != "c1" || !s.Contested(uid, "c1") {
				t.Errorf("%s owns it, before its former owner knows", owner)
			}
			if moved, _ := s.Apply(late); moved {
				t.Error("a claim that was decided before the other was known takes it away again")
			}
			break
		}
		if now-from > 20 {
			t.Fatal("it is never claimed")
		}
	}
	for i, peer := range []Peer{"c0", "c2"} {
		apply(t, s, Command{Kind: RenewLease, Peer: peer, Weight: 1, Renewal: uint64(9 + i), SeenEpoch: s.Epoch})
	}
	if s.Contested(uid, "c1") {
		t.Error("it is contested although all know")
	}
	snapshot, err := s.Snapshot()
	var again State
	if err != nil || again.Restore(snapshot) != nil {
		t.Fatal(err)
	}
	if owner, _ := again.Owner(uid); owner != "c1" {
		t.Error("a snapshot forgets the claim")
	}
	apply(t, s, Command{Kind: ExpireLease, Peer: "c1", Renewal: 1})
	if owner, _ := s.Owner(uid); owner != "c0" || len(s.Claims) != 0 {
		t.Errorf("after the claimer's death %s owns it", owner)
	}
	if _, err := s.Apply(Command{Kind: ClaimProxies, Peer: "c1", UIDs: []string{"x"}}); !errors.Is(err, ErrInvalidCommand) {
		t.Errorf("a dead coordinator claims: %v", err)
	}
	for i := range maxMisroutedProxies + 10 {
		misrouted.Observe(now, fmt.Sprint("x", i))
	}
	if len(misrouted.proxies) > maxMisroutedProxies {
		t.Errorf("%d are remembered", len(misrouted.proxies))
	}
}
