package consensus

import (
	"testing"

	"snowquay/internal/core/membership"
	"snowquay/internal/core/tenancy"
)

// A host that restores a snapshot of its group must keep its own tenant capacity, which is configured locally and not replicated.
func TestRestoreKeepsHostCapacity(t *testing.T) {
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
		Capacity:     tenancy.DefaultCapacity,
	}, &MemoryStorage{OwnDataDirID: 7}, node)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := (&membership.State{Epoch: 3}).Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	group.Restored(node.clock(), 9, snapshot)
	if got := group.State.Directory.Capacity; got != tenancy.DefaultCapacity {
		t.Errorf("after a snapshot the capacity is %+v, want %+v", got, tenancy.DefaultCapacity)
	}
}
