package coordinator_test

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/membership"
	"snowquay/internal/frontend/eventloop"
)

// The same members on event loops over loopback: all proxies are led, one member ends without a word, and the others lead
// its proxies.
func TestMembersOverSockets(t *testing.T) {
	order, at := []membership.MemberID{1, 2, 3}, map[membership.MemberID]netip.AddrPort{}
	for _, id := range order {
		at[id] = netip.MustParseAddrPort(fmt.Sprint("127.0.0.1:", 14900+int(id)))
	}
	members, loops := map[membership.MemberID]*coordinator.Member{}, map[membership.MemberID]*eventloop.Server{}
	clock, dir := eventloop.Clock(), t.TempDir()
	for _, id := range order {
		f, err := consensus.OpenFileStorage(filepath.Join(dir, fmt.Sprint(id)), consensus.ID(id))
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		lease := membership.DefaultLeaseConfig
		lease.Duration, lease.RenewInterval, lease.SafetyMargin = 1.2, 0.3, 0.2
		members[id] = coordinator.NewMember(coordinator.GroupConfig{Self: id, Weight: 1, Members: at,
			Key: []byte("key"), Consensus: consensus.DefaultConfig, Lease: lease}, f, uint64(clock()*1e6), func(string, ...any) {})
		s, err := eventloop.Listen(members[id], []netip.AddrPort{at[id]}, netip.AddrPort{}, clock)
		if err != nil {
			t.Fatal(err)
		}
		loops[id] = s
	}
	led := func() (n int) {
		for i := range 20 {
			for _, s := range loops {
				id := membership.MemberID(0)
				for k, v := range loops {
					if v == s {
						id = k
					}
				}
				s.Do(func(now float64) {
					if members[id].Owns(now, fmt.Sprint("relay-", i)) {
						n++
					}
				})
			}
		}
		return n
	}
	until := func(what string) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); led() != 20; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %d of 20 proxies are led", what, led())
			}
		}
	}
	until("at the start")
	if err := loops[2].Stop(); err != nil {
		t.Error(err)
	}
	delete(loops, 2)
	until("after one has ended")
	for _, s := range loops {
		if err := s.Stop(); err != nil {
			t.Error(err)
		}
	}
}
