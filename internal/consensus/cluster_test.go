package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

const stepSeconds = 0.01

// proxyUIDs lists the proxies whose owners a cluster checks.
var proxyUIDs = func() (all []string) {
	for i := range 24 {
		all = append(all, fmt.Sprint("relay-", i))
	}
	return all
}()

// cluster simulates a group in virtual time. Each coordinator's clock runs at its own rate; coordinators can be paused, killed and
// partitioned.
type cluster struct {
	t                  testing.TB
	now                float64
	random             *rand.Rand
	members            []ID
	nodes              map[ID]*testNode
	inTransit          []message
	lossRate           float64
	partitioned        map[link]bool
	pauseGuardDisabled bool
	leaseConfig        membership.LeaseConfig
	capacity           tenancy.Capacity // tenant capacity of each node

	conflict       string  // describes the first proxy that two coordinators owned at the same time
	unownedFor     float64 // seconds since all proxies last had an owner
	longestUnowned float64
}

// link is the connection between two nodes in one direction.
type link struct{ from, to ID }

type message struct {
	deliverAt float64
	from, to  ID
	data      []byte
}

func newCluster(t testing.TB, n int, seed uint64) *cluster {
	c := &cluster{
		t:           t,
		random:      rand.New(rand.NewPCG(seed, 9)),
		nodes:       map[ID]*testNode{},
		partitioned: map[link]bool{},
		lossRate:    0.01,
		leaseConfig: membership.DefaultLeaseConfig,
	}
	for i := range n {
		c.members = append(c.members, ID(i+1))
	}
	for _, id := range c.members {
		clockRate := 0.992 + 0.016*c.random.Float64() // clocks drift apart by up to 1.6%
		c.nodes[id] = &testNode{cluster: c, id: id, clockRate: clockRate, storage: &MemoryStorage{}, initialMembers: c.members}
	}
	return c
}

// run advances the virtual time.
func (c *cluster) run(seconds float64) {
	for end := c.now + seconds; c.now < end; c.now += stepSeconds {
		c.deliver()
		for _, id := range c.members {
			node := c.nodes[id]
			if node.group == nil || node.paused() {
				continue
			}
			if err := node.group.Tick(node.clock()); err != nil {
				node.kill() // it must send no more commands to proxies
			}
		}
		c.checkOwners()
	}
}

// deliver delivers messages whose delivery time has come. Messages to paused nodes wait.
func (c *cluster) deliver() {
	slices.SortStableFunc(c.inTransit, func(a, b message) int { return cmp.Compare(a.deliverAt, b.deliverAt) })
	messages := c.inTransit
	c.inTransit = nil
	var later []message
	for _, m := range messages {
		node := c.nodes[m.to]
		switch {
		case m.deliverAt > c.now || node != nil && node.paused():
			later = append(later, m)
		case node == nil || node.group == nil:
			continue
		case node.group.Removed(membership.MemberID(m.from)): // the transport rejects the sender, which then stops
			c.nodes[m.from].kill()
		case !c.partitioned[link{m.from, m.to}]:
			if err := node.group.Step(node.clock(), m.data); errors.Is(err, ErrStorage) {
				node.kill()
			}
		}
	}
	c.inTransit = append(later, c.inTransit...)
}

// checkOwners checks that no proxy has two owners. Paused processes are not counted: they send no commands while paused, and check their
// lease first when they resume.
func (c *cluster) checkOwners() {
	owned := 0
	for _, uid := range proxyUIDs {
		var owners []ID
		for _, id := range c.members {
			node := c.nodes[id]
			if node.group != nil && !node.paused() && node.group.Lease.Owns(node.clock(), node.group.State, uid) {
				owners = append(owners, id)
			}
		}
		owned += min(len(owners), 1)
		if len(owners) > 1 && c.conflict == "" {
			c.conflict = fmt.Sprintf("at %.2f %v all own %s", c.now, owners, uid)
			c.logNodes()
		}
	}
	c.unownedFor += stepSeconds
	if owned == len(proxyUIDs) {
		c.unownedFor = 0
	}
	c.longestUnowned = max(c.longestUnowned, c.unownedFor)
}

func (c *cluster) logNodes() {
	for _, id := range c.members {
		node := c.nodes[id]
		if node.group == nil {
			c.t.Logf("%d is down", id)
			continue
		}
		snapshot, _ := node.group.State.Snapshot()
		raftNode := node.group.Node
		c.t.Logf("%d clock %.2f paused until %.2f lease %+v applied %d commit %d term %d conf %v %s", id, node.clock(), node.pausedUntil,
			*node.group.Lease, raftNode.AppliedIndex(), raftNode.CommitIndex(), raftNode.raw.BasicStatus().GetTerm(), raftNode.confState, snapshot)
	}
}

// injectFault injects one random fault. Nodes that are down may restart.
func (c *cluster) injectFault() {
	victim := c.nodes[c.members[c.random.IntN(len(c.members))]]
	switch c.random.IntN(6) {
	case 0:
		victim.kill()
	case 1:
		victim.pausedUntil = c.now + 10*c.random.Float64()
	case 2: // partitioned in one direction only
		for _, id := range c.members {
			c.partitioned[link{victim.id, id}] = true
		}
	case 3:
		for _, id := range c.members {
			c.partitioned[link{victim.id, id}] = true
			c.partitioned[link{id, victim.id}] = true
		}
	case 4: // restart
		if victim.group == nil {
			victim.start()
		}
	default:
		clear(c.partitioned)
		c.lossRate = 0.3 * c.random.Float64()
	}
	for _, id := range c.members {
		if node := c.nodes[id]; node.group == nil && c.random.IntN(3) == 0 {
			node.start()
		}
	}
}

// heal ends all faults and starts the nodes that are down.
func (c *cluster) heal() {
	clear(c.partitioned)
	c.lossRate = 0.01
	for _, id := range c.members {
		node := c.nodes[id]
		node.pausedUntil = 0
		if node.group == nil {
			node.start()
		}
	}
}

// testNode is one coordinator of a cluster. Its Group is nil while it is down.
type testNode struct {
	cluster        *cluster
	id             ID
	clockRate      float64
	storage        *MemoryStorage
	group          *Group
	pausedUntil    float64
	initialMembers []ID // the group's initial members, as listed in its settings
	accepted       []membership.Ticket
	rejected       []membership.Ticket
	outcomes       map[membership.Ticket]tenancy.Outcome // outcomes of tenant changes that were submitted to this node
	drains         map[balancer.Server]bool              // as reported to this process
	records        map[balancer.Server]registry.Record   // as reported to this process
	startRecords   map[balancer.Server]registry.Record   // records in the state when the process started
}

func (n *testNode) start() {
	n.drains = map[balancer.Server]bool{}
	n.records = map[balancer.Server]registry.Record{}
	group, err := NewGroup(n.clock(), GroupConfig{
		ID:           membership.MemberID(n.id),
		Registration: n.registration(),
		Weight:       1,
		Members:      n.initialMembers,
		Seed:         n.cluster.random.Uint64(),
		Consensus:    Config{HeartbeatInterval: 0.1, ElectionTimeout: 0.5, SnapshotEntries: 200, TrailingEntries: 20, MaxMessageBytes: 64 << 10},
		Lease:        n.cluster.leaseConfig,
		Capacity:     n.cluster.capacity,
	}, n.storage, n)
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	n.group = group
	n.startRecords = maps.Clone(group.State.Records)
	n.accepted = nil // discard the tickets of the previous process
	n.rejected = nil
	n.outcomes = map[membership.Ticket]tenancy.Outcome{}
	if n.cluster.pauseGuardDisabled {
		group.Lease.DisablePauseGuard()
	}
}

func (n *testNode) kill() { n.group = nil }

func (n *testNode) paused() bool { return n.pausedUntil > n.cluster.now }

func (n *testNode) clock() float64 { return 1000 + n.cluster.now*n.clockRate }

func (n *testNode) name() membership.Peer { return membership.Peer(fmt.Sprint("c", n.id)) }

func (n *testNode) holdsLease() bool { return n.group != nil && n.group.Lease.Valid(n.clock()) }

func (n *testNode) registration() membership.Registration {
	address := netip.AddrFrom4([4]byte{10, 0, 0, byte(n.id)})
	return membership.Registration{Peer: n.name(), Address: netip.AddrPortFrom(address, 7000)}
}

func (n *testNode) Send(to ID, data []byte) {
	c := n.cluster
	if c.partitioned[link{n.id, to}] || c.random.Float64() < c.lossRate {
		return
	}
	c.inTransit = append(c.inTransit, message{deliverAt: c.now + 0.001 + 0.02*c.random.Float64(), from: n.id, to: to, data: data})
}

func (n *testNode) OrdersCompleted(_ float64, accepted, rejected []membership.Ticket) {
	n.accepted = append(n.accepted, accepted...)
	n.rejected = append(n.rejected, rejected...)
}

func (n *testNode) RecordsCommitted(_ float64, records []registry.Record) {
	for _, record := range records {
		n.records[record.Server] = record
	}
}

func (n *testNode) OwnershipChanged(float64, *membership.State) {}

func (n *testNode) DrainCommitted(_ float64, command membership.Command) {
	if command.Draining {
		n.drains[command.Server] = true
		return
	}
	delete(n.drains, command.Server)
}

func (n *testNode) TenantChanged(_ float64, _ tenancy.Name, ticket membership.Ticket, outcome tenancy.Outcome) {
	if ticket != 0 {
		n.outcomes[ticket] = outcome
	}
}
