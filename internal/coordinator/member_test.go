package coordinator_test

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"testing"

	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/membership"
	"snowquay/internal/env/simnet"
)

// Three members over a net that splits what is sent, each with a store on disk: killed, frozen and cut off in turn.
func TestMembersOverANet(t *testing.T) {
	net := simnet.New(5, 1000)
	net.Faults.Split = 0.1
	dir, order := t.TempDir(), []membership.MemberID{1, 2, 3}
	at := map[membership.MemberID]netip.AddrPort{}
	for _, id := range order {
		at[id] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 7000)
	}
	hosts, members, files := map[membership.MemberID]*simnet.Host{}, map[membership.MemberID]*coordinator.Member{}, map[membership.MemberID]*consensus.FileStorage{}
	life := uint64(0)
	start := func(id membership.MemberID, key string) {
		f, err := consensus.OpenFileStorage(filepath.Join(dir, fmt.Sprint(id)), consensus.ID(id))
		if err != nil {
			t.Fatal(err)
		}
		life++
		files[id] = f
		members[id] = coordinator.NewMember(coordinator.GroupConfig{Self: id, Weight: 1, Members: at,
			Key: []byte(key), Consensus: consensus.DefaultConfig, Lease: membership.DefaultLeaseConfig}, f, life, func(string, ...any) {})
		hosts[id].Start(members[id])
	}
	kill := func(id membership.MemberID) {
		hosts[id].Kill()
		if err := files[id].Close(); err != nil {
			t.Fatal(err)
		}
	}
	defer func() {
		for _, f := range files {
			_ = f.Close() // some are closed already
		}
	}()
	for i, id := range order {
		hosts[id] = net.Add(at[id].Addr(), i, false)
		start(id, "key")
	}
	double, led := "", 0
	look := func() {
		led = 0
		for i := range 20 {
			uid, n := fmt.Sprint("relay-", i), 0
			for _, id := range order {
				if hosts[id].Up() && members[id].Owns(net.Now(), uid) {
					n++
				}
			}
			if led += min(n, 1); n > 1 {
				double = fmt.Sprintf("at %.2f %s is led by %d", net.Now(), uid, n)
			}
		}
	}
	play := func(seconds float64) {
		for end := net.Now() + seconds; net.Now() < end; look() {
			net.Run(net.Now() + 0.05)
		}
	}
	if play(5); led != 20 {
		t.Fatalf("%d of 20 proxies are led at the start", led)
	}
	kill(1)
	if play(7); led != 20 {
		t.Errorf("%d are led after a death", led)
	}
	start(1, "key")
	play(3)
	hosts[2].Freeze(6)
	play(9)
	net.Cut(2, 3, true) // the third is alone in its zone
	play(8)
	if members[3].Owns(net.Now(), "relay-1") || members[3].Group.Lease.Valid(net.Now()) {
		t.Error("one without a majority goes on leading")
	}
	net.Cut(2, 3, false)
	if play(6); led != 20 || double != "" {
		t.Errorf("%d are led in the end; %s", led, double)
	}
	kill(2)
	start(2, "another key")
	epoch := members[1].Group.State.Epoch
	if play(8); members[2].Group.Lease.Valid(net.Now()) || led != 20 || members[1].Group.State.Epoch == epoch {
		t.Error("one with another key takes part")
	}
}
