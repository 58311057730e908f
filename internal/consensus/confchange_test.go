package consensus

import (
	"errors"
	"testing"

	"snowquay/internal/core/membership"
)

// join starts a coordinator that a running group has to add; another one proposes its registration, as the transport does for it.
func (c *cluster) join(id, by ID) *testNode {
	node := &testNode{cluster: c, id: id, clockRate: 1, storage: &MemoryStorage{OwnDataDirID: uint64(id) * 7}}
	c.nodes[id] = node
	c.members = append(c.members, id)
	node.start()
	c.propose(by, node.group.RegisterCommand())
	return node
}

// remove lets a coordinator propose the removal of one.
func (c *cluster) remove(id, by ID) {
	c.propose(by, membership.Command{Kind: membership.RemoveRegistration, MemberID: membership.MemberID(id)})
}

func (c *cluster) propose(by ID, command membership.Command) {
	c.nodes[by].group.Propose(c.nodes[by].clock(), command)
}

// voters returns the number of voters as a leader knows it.
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

// One coordinator is lost for good and replaced under a new number; a group of three goes on through it and through the loss of another.
func TestLostCoordinatorIsReplaced(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.heal()
	c.run(6)
	c.nodes[3].kill()
	c.run(5)
	c.remove(3, 1)
	newcomer := c.join(4, 1)
	c.run(8)
	alive := newcomer.group.State.AliveMembers()
	if voters := c.voters(t); voters != 3 || c.unownedFor > 0 || len(alive) != 3 || !newcomer.holdsLease() {
		t.Fatalf("%d voters, living %v, unled for %.1f s", voters, alive, c.unownedFor)
	}
	c.nodes[1].kill() // a majority of the new three is left
	if c.run(9); c.unownedFor > 0 || c.conflict != "" {
		t.Errorf("unled for %.1f s, %s", c.unownedFor, c.conflict)
	}
	c.nodes[3].start() // the lost one turns up again, with all that it had
	if c.run(9); c.nodes[3].holdsLease() || c.conflict != "" {
		t.Error("one that was removed leads again")
	}
	invalid := newcomer.group.Stats.Invalid
	c.remove(3, 4) // again
	c.run(2)
	if newcomer.group.Stats.Invalid == invalid {
		t.Error("a number that is gone was removed again")
	}
}

// A coordinator that is running is removed: it stops by itself, and the others take its proxies over.
func TestRunningCoordinatorIsRemoved(t *testing.T) {
	c := newCluster(t, 5, 6)
	c.heal()
	c.run(6)
	leader := c.nodes[1].group.Node.Leader()
	c.remove(leader, leader)
	if c.run(8); c.nodes[leader].holdsLease() {
		t.Error("it goes on")
	}
	if voters := c.voters(t); voters != 4 || c.unownedFor > 0 || c.conflict != "" {
		t.Errorf("%d voters, unled for %.1f s, %s", voters, c.unownedFor, c.conflict)
	}
}

// Members are added and removed while others die, pause and are partitioned: no proxy ever has two owners.
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
			t.Errorf("seed %d: some proxies are led by nobody after 20 s of calm, %d voters", seed, c.voters(t))
		}
	}
}

// A data directory that was restored from an old copy lacks what its node had acknowledged: the node ends instead of going on without.
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
		t.Errorf("it goes on with a log that lacks what it had confirmed: %v", err)
	}
}

// runUntilError plays a number of steps without faults, and returns the first error of one node.
func (c *cluster) runUntilError(watched *testNode, steps int) (failed error) {
	note := func(node *testNode, err error) {
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
				note(node, node.group.Step(node.clock(), m.data))
			}
		}
		for _, id := range c.members {
			node := c.nodes[id]
			if node.group != nil && (node != watched || failed == nil) {
				note(node, node.group.Tick(node.clock()))
			}
		}
	}
	return failed
}
