package consensus

import (
	"testing"

	"snowquay/internal/core/membership"
)

// panickingMessenger panics when it is notified of a drain.
type panickingMessenger struct{ *testNode }

func (panickingMessenger) DrainCommitted(float64, membership.Command) { panic("injected panic") }

// A panic while a proposal is processed must end the node and not the caller, like a panic during a message or a tick.
func TestPanicDuringProposalEndsNode(t *testing.T) {
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
		t.Error("the node continues after a panic")
	}
}
