package consensus

import (
	"testing"

	"snowquay/internal/core/membership"
)

// panickingMessenger panics when it hears of a drain.
type panickingMessenger struct{ *testNode }

func (panickingMessenger) DrainCommitted(float64, membership.Command) { panic("planted") }

// A panic below a proposal is the end of the node, as one below a message or a tick is, and not of the caller.
func TestPanicBelowProposalEndsNode(t *testing.T) {
	c := newCluster(t, 1, 1)
	node := c.nodes[1]
	group, err := NewGroup(node.clock(), GroupConfig{
		ID:           1,
		Registration: node.registration(),
		Weight:       1,
		Members:      []ID{1},
		Seed:         5,
		Lease:        membership.DefaultLeaseConfig,
		Consensus:    DefaultConfig,
	}, &MemoryStorage{OwnDataDirID: 7}, panickingMessenger{node})
	if err != nil {
		t.Fatal(err)
	}
	tick(t, node, group, 300, 0.01)
	group.Drain(node.clock(), "a", true)
	if err := group.Tick(node.clock()); err == nil {
		t.Error("the node goes on after a panic")
	}
}
