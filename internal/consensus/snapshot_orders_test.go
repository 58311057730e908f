package consensus

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

// tenantChange returns a command for a tenant, with placeholder settings that these tests do not parse.
func tenantChange(kind tenancy.CommandKind, name tenancy.Name, id uint64) *tenancy.Command {
	command := &tenancy.Command{Kind: kind, Name: name, ID: id, Fingerprint: id}
	if kind != tenancy.Remove {
		command.Settings = []byte("<tenant/>")
		command.Weight = 1
	}
	return command
}

// submitTenant submits a tenant change to a node.
func submitTenant(t *testing.T, node *testNode, command *tenancy.Command) membership.Ticket {
	t.Helper()
	ticket, ok := node.group.SubmitOrder(node.clock(), membership.Command{Kind: membership.ChangeTenant, Tenant: command})
	if !ok {
		t.Fatal("the change was not accepted for submission")
	}
	return ticket
}

// blockIncoming drops all messages to a node, which can still send, until clear(c.partitioned).
func (c *cluster) blockIncoming(receiver ID) {
	for _, id := range c.members {
		c.partitioned[link{id, receiver}] = true
	}
}

// compactLog commits more entries than the log retains, so that a node that has missed them needs a snapshot.
func (c *cluster) compactLog(by *testNode) {
	for i := range 280 {
		server := registry.ServerConfig{Server: balancer.Server(fmt.Sprint("filler-", i))}
		by.group.StoreRecords(by.clock(), []registry.Record{{ServerConfig: server}})
		c.run(0.01)
	}
}

// A host may receive the part of the log that decides a tenant change only as a snapshot. The change must then be answered with the decided
// outcome, or rejected if the group has not stored the outcome. It must never be confirmed with a wrong outcome.
func TestChangeDecidedInsideSnapshot(t *testing.T) {
	for _, test := range []struct {
		name      string
		command   *tenancy.Command
		confirmed bool
	}{
		{"accepted", tenantChange(tenancy.Create, "b", 71), true},
		{"rejected", tenantChange(tenancy.Create, "a", 72), false},
		{"accepted without a key", tenantChange(tenancy.Create, "c", 0), false},
		{"rejected for its key", &tenancy.Command{Kind: tenancy.Remove, Name: "a", ID: 70, Fingerprint: 99}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3, 4)
			c.capacity = tenancy.DefaultCapacity
			c.lossRate = 0
			c.heal()
			c.lossRate = 0
			c.run(6)
			leader := c.nodes[c.nodes[1].group.Node.Leader()]
			lagging := c.nodes[c.members[int(leader.id)%3]]
			submitTenant(t, leader, tenantChange(tenancy.Create, "a", 70))
			c.run(2)
			c.blockIncoming(lagging.id)
			ticket := submitTenant(t, lagging, test.command)
			c.run(0.3)
			before := lagging.group.Stats.Restored
			c.compactLog(leader)
			submitTenant(t, leader, tenantChange(tenancy.Create, "d", 73))
			c.run(0.2)
			clear(c.partitioned)
			c.run(6)
			if lagging.group.Stats.Restored == before {
				t.Fatal("the host has restored no snapshot")
			}
			confirmed := slices.Contains(lagging.accepted, ticket)
			if confirmed == slices.Contains(lagging.rejected, ticket) {
				t.Fatalf("the change was not answered exactly once: accepted %v, rejected %v", lagging.accepted, lagging.rejected)
			}
			if confirmed != test.confirmed {
				t.Errorf("the change was confirmed: %t, want the opposite", confirmed)
			}
			decided, _ := leader.group.State.Directory.FindOutcome(test.command.ID)
			if confirmed && lagging.outcomes[ticket] != decided {
				t.Errorf("the reported outcome is %+v, want the decided outcome %+v", lagging.outcomes[ticket], decided)
			}
			if confirmed && errors.Is(lagging.outcomes[ticket].Err(), tenancy.ErrExists) {
				t.Error("the reported outcome belongs to another change")
			}
		})
	}
}
