package consensus

import (
	"testing"

	"snowquay/internal/core/membership"
)

// A drain whose command is committed a second time after the drain has ended is not reported again, because it is not active.
func TestRepeatedDrainIsNotReportedAgain(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.heal()
	c.run(2)
	node := c.nodes[1]
	start := membership.Command{Kind: membership.DrainServer, Server: "a", Draining: true, ID: 1}
	end := membership.Command{Kind: membership.DrainServer, Server: "a", ID: 2}
	for _, command := range []membership.Command{start, end, start} {
		data, err := command.Encode()
		if err != nil {
			t.Fatal(err)
		}
		node.group.Committed(node.clock(), 0, data)
	}
	if len(node.group.State.Drains) != 0 || len(node.drains) != 0 {
		t.Errorf("active drains %v, reported drains %v, want none", node.group.State.Drains, node.drains)
	}
}
