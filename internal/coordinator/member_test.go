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

// testProxies is the number of proxies that a group shares in a test.
const testProxies = 20

func testProxyUID(i int) string { return fmt.Sprint("relay-", i) }

// storedGroup is a group of three members on a simulated network that splits deliveries. Each member has storage on disk.
type storedGroup struct {
	t           *testing.T
	net         *simnet.Net
	dir         string
	ids         []membership.MemberID
	addresses   map[membership.MemberID]netip.AddrPort
	hosts       map[membership.MemberID]*simnet.Host
	members     map[membership.MemberID]*coordinator.Member
	storage     map[membership.MemberID]*consensus.FileStorage
	incarnation uint64

	owned    int    // proxies that had an owner at the latest check
	conflict string // describes a proxy that had several owners; empty if there was none
}

func newStoredGroup(t *testing.T) *storedGroup {
	t.Helper()
	g := &storedGroup{
		t:         t,
		net:       simnet.New(5, 1000),
		dir:       t.TempDir(),
		ids:       []membership.MemberID{1, 2, 3},
		addresses: map[membership.MemberID]netip.AddrPort{},
		hosts:     map[membership.MemberID]*simnet.Host{},
		members:   map[membership.MemberID]*coordinator.Member{},
		storage:   map[membership.MemberID]*consensus.FileStorage{},
	}
	g.net.Faults.SplitProbability = 0.1
	for _, id := range g.ids {
		g.addresses[id] = memberAddress(id)
	}
	t.Cleanup(func() {
		for _, storage := range g.storage {
			_ = storage.Close() // some are closed already
		}
	})
	for zone, id := range g.ids {
		g.hosts[id] = g.net.Add(g.addresses[id].Addr(), zone, false)
		g.start(id, testGroupKey)
	}
	return g
}

func (g *storedGroup) start(id membership.MemberID, key string) {
	g.t.Helper()
	storage, err := consensus.OpenFileStorage(filepath.Join(g.dir, fmt.Sprint(id)), consensus.ID(id))
	if err != nil {
		g.t.Fatal(err)
	}
	g.incarnation++
	g.storage[id] = storage
	config := coordinator.GroupConfig{
		Self:      id,
		Weight:    1,
		Members:   g.addresses,
		Key:       []byte(key),
		Consensus: consensus.DefaultConfig,
		Lease:     membership.DefaultLeaseConfig,
	}
	g.members[id] = coordinator.NewMember(config, storage, g.incarnation, func(string, ...any) {})
	g.hosts[id].Start(g.members[id])
}

func (g *storedGroup) kill(id membership.MemberID) {
	g.t.Helper()
	g.hosts[id].Kill()
	if err := g.storage[id].Close(); err != nil {
		g.t.Fatal(err)
	}
}

// run advances the time and checks the owners of the proxies every 0.05 seconds.
func (g *storedGroup) run(seconds float64) {
	end := g.net.Now() + seconds
	for g.net.Now() < end {
		g.net.Run(g.net.Now() + 0.05)
		g.countOwned()
	}
}

func (g *storedGroup) countOwned() {
	g.owned = 0
	for i := range testProxies {
		uid := testProxyUID(i)
		owners := 0
		for _, id := range g.ids {
			if g.hosts[id].Up() && g.members[id].Owns(g.net.Now(), uid) {
				owners++
			}
		}
		g.owned += min(owners, 1)
		if owners > 1 {
			g.conflict = fmt.Sprintf("at %.2f %s has %d owners", g.net.Now(), uid, owners)
		}
	}
}

func (g *storedGroup) holdsLease(id membership.MemberID) bool {
	return g.members[id].Group.Lease.Valid(g.net.Now())
}

// Members are killed, frozen and partitioned in turn, and one is restarted with a wrong key. Each proxy has at most one owner
// at any time, and has an owner again soon after the kill, the partition and the restart.
func TestProxyOwnershipUnderFaults(t *testing.T) {
	g := newStoredGroup(t)
	g.run(5)
	if g.owned != testProxies {
		t.Fatalf("%d of %d proxies have an owner initially, want all", g.owned, testProxies)
	}
	g.kill(1)
	g.run(7)
	if g.owned != testProxies {
		t.Errorf("%d proxies have an owner after a member was killed, want all 20", g.owned)
	}
	g.start(1, testGroupKey)
	g.run(3)
	g.hosts[2].Freeze(6)
	g.run(9)

	const zones = 3
	const isolatedZone = 2 // member 3 is alone in it
	g.net.Cut(isolatedZone, zones, true)
	g.run(8)
	if g.members[3].Owns(g.net.Now(), testProxyUID(1)) || g.holdsLease(3) {
		t.Error("a member without a quorum owns a proxy or holds a lease")
	}
	g.net.Cut(isolatedZone, zones, false)
	g.run(6)
	if g.owned != testProxies || g.conflict != "" {
		t.Errorf("%d proxies have an owner after the partition has ended, want all 20; conflict: %s", g.owned, g.conflict)
	}

	g.kill(2)
	g.start(2, "another key")
	epoch := g.members[1].Group.State.Epoch
	g.run(8)
	if g.holdsLease(2) || g.owned != testProxies || g.members[1].Group.State.Epoch == epoch {
		t.Error("a member with another key holds a lease, some proxies have no owner, or the epoch has not changed")
	}
}
