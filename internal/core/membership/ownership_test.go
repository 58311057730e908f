package membership

import (
	"fmt"
	"math"
	"testing"
)

func TestLossMovesOnlyProxiesOfLostPeer(t *testing.T) {
	s := newGroup(t, 1, 1, 2)
	before := map[string]Peer{}
	counts := map[Peer]float64{}
	const proxies = 5000
	for i := range proxies {
		uid := fmt.Sprint("relay-", i)
		owner, ok := s.Owner(uid)
		if !ok {
			t.Fatal("a proxy has no owner")
		}
		before[uid] = owner
		counts[owner]++
	}
	for peer, want := range map[Peer]float64{"c0": proxies / 4, "c1": proxies / 4, "c2": proxies / 2} {
		if math.Abs(counts[peer]-want) > proxies/25 {
			t.Errorf("%s owns %v of %d proxies, want %v by its weight", peer, counts[peer], proxies, want)
		}
	}
	epoch := s.Epoch
	if ownersChanged, _ := s.Apply(Command{Kind: ExpireLease, Peer: "c2", Renewal: 1}); !ownersChanged || s.Epoch != epoch+1 {
		t.Error("the loss of a peer starts no new epoch")
	}
	gained := map[Peer]int{}
	for uid, former := range before {
		owner, _ := s.Owner(uid)
		if former != "c2" && owner != former {
			t.Fatalf("%s moved from %s to %s, although both are alive", uid, former, owner)
		}
		if former == "c2" {
			gained[owner]++
		}
	}
	if math.Abs(float64(gained["c0"]-gained["c1"])) > proxies/20 {
		t.Errorf("the lost peer's proxies are distributed unevenly: %v", gained)
	}
}
