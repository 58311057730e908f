package consensus

import (
	"errors"
	"testing"

	"snowquay/internal/core/membership"
)

// join starts a coordinator that the running group must add. Coordinator by proposes its registration, as the transport would.
func (c *cluster) join(id, by ID) *testNode {
	node := &testNode{cluster: c, id: id, clockRate: 1, storage: &MemoryStorage{OwnDataDirID: uint64(id) * 7}}
	c.nodes[id] = node
	c.members = append(c.members, id)
	node.start()
	c.propose(by, node.group.RegisterCommand())
	return node
}

// remove lets coordinator by propose the removal of another one.
func (c *cluster) remove(id, by ID) {
	c.propose(by, membership.Command{Kind: membership.RemoveRegistration, MemberID: membership.MemberID(id)})
}

func (c *cluster) propose(by ID, command membership.Command) {
	c.nodes[by].group.Propose(c.nodes[by].clock(), command)
}

// voters returns the number of voters as known to the leader.
func (c *cluster) voters(t *testing.T) int {
	t.Helper()
	for _, id := range c.members {
		node := c.nodes[id]
		if node.group == nil {
			continue
		}
		if config, ok := node.group.Node.Config(); ok {
			return len(config.Voters)
		}
	}
	c.logNodes()
	t.Fatal("there is no leader")
	return 0
}

// One coordinator of three is lost permanently and replaced by one with a new ID. All proxies have an owner soon after the replacement, and
// also after the loss of a second coordinator. The first one holds no lease when it returns.
func TestLostCoordinatorIsReplaced(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.heal()
	c.run(6)
	c.nodes[3].kill()
	c.run(5)
	c.remove(3, 1)
	replacement := c.join(4, 1)
	c.run(8)
	alive := replacement.group.State.AliveMembers()
	if voters := c.voters(t); voters != 3 || c.unownedFor > 0 || len(alive) != 3 || !replacement.holdsLease() {
		t.Fatalf("%d voters, alive %v, want 3 of each and a lease of the new one; some proxies have had no owner for %.1f s, want 0", voters, alive, c.unownedFor)
	}
	c.nodes[1].kill() // a majority of the three new members remains
	if c.run(9); c.unownedFor > 0 || c.conflict != "" {
		t.Errorf("9 s after the loss some proxies have had no owner for %.1f s, want 0; conflict: %s", c.unownedFor, c.conflict)
	}
	c.nodes[3].start() // the lost coordinator returns with its old storage
	if c.run(9); c.nodes[3].holdsLease() || c.conflict != "" {
		t.Error("a removed coordinator holds a lease again, or a proxy had two owners")
	}
	invalid := replacement.group.Stats.Invalid
	c.remove(3, 4) // a second time
	c.run(2)
	if replacement.group.Stats.Invalid == invalid {
		t.Error("a removed ID was removed a second time")
	}
}

// A coordinator that is removed while it runs loses its lease, and the others take over its proxies.
func TestRunningCoordinatorIsRemoved(t *testing.T) {
	c := newCluster(t, 5, 6)
	c.heal()
	c.run(6)
	leader := c.nodes[1].group.Node.Leader()
	c.remove(leader, leader)
	if c.run(8); c.nodes[leader].holdsLease() {
		t.Error("the removed coordinator still holds its lease")
	}
	if voters := c.voters(t); voters != 4 || c.unownedFor > 0 || c.conflict != "" {
		t.Errorf("%d voters, want 4; some proxies have had no owner for %.1f s, want 0; conflict: %s", voters, c.unownedFor, c.conflict)
	}
}

// No proxy ever has two owners while members are added and removed, and others are killed, paused and partitioned. All proxies have an owner
// 20 s after the last fault.
func TestMembersChangeDuringFaults(t *testing.T) {
	for seed := range max(10, *seeds/3) {
		c := newCluster(t, 3, 100+seed)
		c.heal()
		c.run(6)
		next := ID(4)
		for i := range 12 {
			c.injectFault()
			c.run(0.5 + 3*c.random.Float64())
			by := c.members[c.random.IntN(len(c.members))]
			if c.nodes[by].group == nil {
				continue
			}
			if i%3 == 0 && next < 8 {
				c.join(next, by)
				next++
			} else if i%3 == 1 {
				c.remove(c.members[c.random.IntN(len(c.members))], by)
			}
		}
		c.heal()
		c.run(20)
		if c.conflict != "" {
			t.Errorf("seed %d: %s", seed, c.conflict)
		}
		if c.unownedFor > 0 {
			t.Errorf("seed %d: some proxies have no owner 20 s after the last fault, %d voters", seed, c.voters(t))
		}
	}
}

// A data directory that was restored from an old copy lacks entries that its node has acknowledged. The node must stop instead of continuing
// without them.
func TestOldCopyOfStorageEndsNode(t *testing.T) {
	c := newCluster(t, 3, 8)
	c.heal()
	c.run(6)
	victim := c.nodes[c.members[0]]
	if victim.group.Node.Leader() == victim.id {
		victim = c.nodes[c.members[1]]
	}
	old := victim.storage.Copy()
	c.run(5)
	victim.kill()
	victim.storage = &old
	victim.start()
	if err := c.runUntilError(victim, 300); !errors.Is(err, ErrLogTruncated) {
		t.Errorf("a node with a log that lacks entries it has acknowledged has the error %v, want ErrLogTruncated", err)
	}
}

// runUntilError runs a number of steps without faults, and returns the first error of the watched node.
func (c *cluster) runUntilError(watched *testNode, steps int) (failed error) {
	recordError := func(node *testNode, err error) {
		if node == watched && failed == nil {
			failed = err
		}
	}
	for range steps {
		messages := c.inTransit
		c.inTransit = nil
		c.now += stepSeconds
		for _, m := range messages {
			node := c.nodes[m.to]
			if node.group != nil && m.deliverAt <= c.now {
				recordError(node, node.group.Step(node.clock(), m.data))
			}
		}
		for _, id := range c.members {
			node := c.nodes[id]
			if node.group != nil && (node != watched || failed == nil) {
				recordError(node, node.group.Tick(node.clock()))
			}
		}
	}
	return failed
}
