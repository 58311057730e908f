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

// loopMember is a member with its own event loop.
type loopMember struct {
	member *coordinator.Member
	loop   *eventloop.Server
}

func startLoopMember(t *testing.T, id membership.MemberID, addresses map[membership.MemberID]netip.AddrPort,
	clock func() float64) *loopMember {
	t.Helper()
	storage, err := consensus.OpenFileStorage(filepath.Join(t.TempDir(), fmt.Sprint(id)), consensus.ID(id))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := storage.Close(); err != nil {
			t.Error(err)
		}
	})
	config := coordinator.GroupConfig{
		Self:      id,
		Weight:    1,
		Members:   addresses,
		Key:       []byte(testGroupKey),
		Consensus: consensus.DefaultConfig,
		Lease:     membership.DefaultLeaseConfig,
	}
	config.Lease.Duration = 1.2
	config.Lease.RenewInterval = 0.3
	config.Lease.SafetyMargin = 0.2
	member := coordinator.NewMember(config, storage, uint64(clock()*1e6), func(string, ...any) {})
	loop, err := eventloop.Listen(member, []netip.AddrPort{addresses[id]}, netip.AddrPort{}, clock)
	if err != nil {
		t.Fatal(err)
	}
	return &loopMember{member: member, loop: loop}
}

// countOwned returns how many proxies the member owns.
func (m *loopMember) countOwned() int {
	owned := 0
	m.loop.Do(func(now float64) {
		for i := range testProxies {
			if m.member.Owns(now, testProxyUID(i)) {
				owned++
			}
		}
	})
	return owned
}

// With members on event loops over loopback sockets, all proxies have an owner, also soon after a member ended without
// releasing its lease.
func TestProxyOwnershipOverSockets(t *testing.T) {
	addresses := map[membership.MemberID]netip.AddrPort{}
	ids := []membership.MemberID{1, 2, 3}
	for _, id := range ids {
		addresses[id] = netip.MustParseAddrPort(fmt.Sprint("127.0.0.1:", 14900+int(id)))
	}
	members := map[membership.MemberID]*loopMember{}
	clock := eventloop.Clock()
	for _, id := range ids {
		members[id] = startLoopMember(t, id, addresses, clock)
	}
	waitForOwners := func(when string) {
		t.Helper()
		deadline := time.Now().Add(20 * time.Second)
		for {
			owned := 0
			for _, member := range members {
				owned += member.countOwned()
			}
			if owned == testProxies {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s: %d of %d proxies have an owner, want all", when, owned, testProxies)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	waitForOwners("initially")
	if err := members[2].loop.Stop(); err != nil {
		t.Error(err)
	}
	delete(members, 2)
	waitForOwners("after one member has ended")
	for _, member := range members {
		if err := member.loop.Stop(); err != nil {
			t.Error(err)
		}
	}
}
