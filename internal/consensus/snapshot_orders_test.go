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

// tenantChange is a command on a tenant with settings that are not read here.
func tenantChange(kind tenancy.CommandKind, name tenancy.Name, id uint64) *tenancy.Command {
	command := &tenancy.Command{Kind: kind, Name: name, ID: id, Fingerprint: id}
	if kind != tenancy.Remove {
		command.Settings = []byte("<tenant/>")
		command.Weight = 1
	}
	return command
}

// submitTenant submits a change of a tenant at a node.
func submitTenant(t *testing.T, node *testNode, command *tenancy.Command) membership.Ticket {
	t.Helper()
	ticket, ok := node.group.SubmitOrder(node.clock(), membership.Command{Kind: membership.ChangeTenant, Tenant: command})
	if !ok {
		t.Fatal("the change was not taken")
	}
	return ticket
}

// deafen lets a node send, but not receive, until clear(c.partitioned).
func (c *cluster) deafen(deaf ID) {
	for _, id := range c.members {
		c.partitioned[link{id, deaf}] = true
	}
}

// compactLog makes more entries than the log keeps, so that a node that has missed them needs a snapshot.
func (c *cluster) compactLog(by *testNode) {
	for i := range 280 {
		server := registry.ServerConfig{Server: balancer.Server(fmt.Sprint("filler-", i))}
		by.group.StoreRecords(by.clock(), []registry.Record{{ServerConfig: server}})
		c.run(0.01)
	}
}

// A change whose outcome was decided in a part of the log that its host has only as a snapshot is answered with that outcome,
// or as not agreed on where the group does not remember it; it is never confirmed as something that it was not.
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
			late := c.nodes[c.members[int(leader.id)%3]]
			submitTenant(t, leader, tenantChange(tenancy.Create, "a", 70))
			c.run(2)
			c.deafen(late.id)
			ticket := submitTenant(t, late, test.command)
			c.run(0.3)
			before := late.group.Stats.Restored
			c.compactLog(leader)
			submitTenant(t, leader, tenantChange(tenancy.Create, "d", 73))
			c.run(0.2)
			clear(c.partitioned)
			c.run(6)
			if late.group.Stats.Restored == before {
				t.Fatal("the host has taken no snapshot")
			}
			confirmed := slices.Contains(late.accepted, ticket)
			if confirmed == slices.Contains(late.rejected, ticket) {
				t.Fatalf("accepted %v, rejected %v: not answered once", late.accepted, late.rejected)
			}
			if confirmed != test.confirmed {
				t.Errorf("confirmed: %t", confirmed)
			}
			remembered, _ := leader.group.State.Directory.FindOutcome(test.command.ID)
			if confirmed && late.outcomes[ticket] != remembered {
				t.Errorf("its outcome is %+v, decided was %+v", late.outcomes[ticket], remembered)
			}
			if confirmed && errors.Is(late.outcomes[ticket].Err(), tenancy.ErrExists) {
				t.Error("it is told the outcome of another change")
			}
		})
	}
}
