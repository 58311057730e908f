package consensus

import (
	"errors"

	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

// Group is one coordinator's membership in a group that shares a fleet: its consensus node, the replicated state, and its lease. It performs
// no I/O of its own. Use NewGroup.
type Group struct {
	Node             *Node
	State            *membership.State
	Lease            *membership.Lease // nil while NewGroup replays the log
	PendingOrders    *membership.PendingOrders
	MisroutedProxies *membership.MisroutedProxies
	Stats            GroupStats

	id           membership.MemberID
	registration membership.Registration
	messenger    Messenger
	unsent       [][]byte // encoded commands that were not yet proposed, oldest first
	leaving      bool     // this coordinator was removed from the group
	registeredAt float64  // time of the latest proposal of this coordinator's registration
}

// Messenger sends messages to other coordinators and is notified of committed commands.
type Messenger interface {
	// Send sends a message to another coordinator. The message may be lost.
	Send(to ID, message []byte)
	// OwnershipChanged is called after a state change in which proxies may have changed owners.
	OwnershipChanged(now float64, s *membership.State)
	// DrainCommitted is called when the start or the end of a drain is committed.
	DrainCommitted(now float64, c membership.Command)
	// RecordsCommitted is called when server records are committed, whichever coordinator proposed them.
	RecordsCommitted(now float64, records []registry.Record)
	// OrdersCompleted is called with the tickets of orders submitted to this coordinator that were accepted or rejected.
	OrdersCompleted(now float64, accepted, rejected []membership.Ticket)
}

// TenantObserver is implemented by a Messenger that is notified of tenant changes.
type TenantObserver interface {
	// TenantChanged is called when a change of a tenant is committed. If ticket is not zero, the change was submitted to this coordinator,
	// and outcome is its outcome unless OrdersCompleted rejects the ticket. If name is empty, any tenant may have changed.
	TenantChanged(now float64, name tenancy.Name, ticket membership.Ticket, outcome tenancy.Outcome)
}

// GroupConfig configures one coordinator of a group.
type GroupConfig struct {
	ID           membership.MemberID
	Registration membership.Registration
	Weight       float64 // relative share of the proxies that this coordinator owns
	Members      []ID    // the group's initial members; if empty, a running group adds this coordinator
	Seed         uint64  // unique to this process
	Consensus    Config
	Lease        membership.LeaseConfig
	Capacity     tenancy.Capacity // capacity of a host of many tenants
}

// ErrRemoved reports that the group has permanently removed a coordinator.
var ErrRemoved = errors.New("consensus: the coordinator was removed from the group")

const registerInterval = 1.0 // seconds between two proposals of this coordinator's registration

// GroupStats counts events since the start of the process.
type GroupStats struct {
	Applied          int // committed commands
	Invalid          int // commands that could not be encoded, decoded or applied
	OwnershipChanges int
	Restored         int // restored snapshots
	Dropped          int // dropped proposals
	Confirmed        int // accepted orders
	Rejected         int // rejected orders
	ConfChanges      int // proposed changes of the consensus configuration
}

// NewGroup starts a coordinator's membership from its storage, which the caller closes after the last use. The coordinator must not send
// commands to proxies before it has renewed its lease.
func NewGroup(now float64, config GroupConfig, storage Storage, messenger Messenger) (*Group, error) {
	group := &Group{
		State:            &membership.State{Directory: tenancy.Directory{Capacity: config.Capacity}},
		PendingOrders:    membership.NewPendingOrders(config.Seed, 2*config.Lease.ExpiryTimeout()),
		MisroutedProxies: membership.NewMisroutedProxies(),
		id:               config.ID,
		registration:     config.Registration,
		messenger:        messenger,
	}
	node, err := NewNode(now, NodeConfig{
		ID:       ID(config.ID),
		Members:  config.Members,
		Seed:     config.Seed,
		Storage:  storage,
		Handler:  group,
		Snapshot: func() ([]byte, error) { return group.State.Snapshot() },
		Config:   config.Consensus,
	})
	if err != nil {
		return nil, err
	}
	group.Node = node
	self := config.Registration.Peer
	group.Lease = membership.NewLease(now, self, config.Seed, config.Weight, group.State.Members[self].Renewal, config.Lease)
	return group, nil
}

// Step processes a message from another coordinator. Errors are as in Node.Step.
func (g *Group) Step(now float64, message []byte) error { return g.Node.Step(now, message) }

// Tick renews the lease, expires the leases of others, proposes due commands and reports completed orders. An error is final: the
// coordinator must send no more commands to proxies, and must stop.
func (g *Group) Tick(now float64) error {
	if err := g.Node.Tick(now); err != nil {
		return err
	}
	if g.State.Registrations[g.id].Removed {
		g.leave(now)
		if !g.Node.Includes(ID(g.id)) {
			return ErrRemoved
		}
	}
	g.proposeDue(now)
	if err := g.proposeConfChange(now); err != nil {
		return err
	}
	accepted, rejected := g.PendingOrders.TakeCompleted(now, g.registration.Peer, g.State)
	if len(accepted)+len(rejected) > 0 {
		g.Stats.Confirmed += len(accepted)
		g.Stats.Rejected += len(rejected)
		g.messenger.OrdersCompleted(now, accepted, rejected)
	}
	return g.flush(now)
}

// leave releases the lease of a removed coordinator. The coordinator continues to vote until the others have removed it from consensus.
func (g *Group) leave(now float64) {
	if g.leaving {
		return
	}
	g.leaving = true
	g.Propose(now, g.Lease.Release())
}

func (g *Group) proposeDue(now float64) {
	for _, command := range g.Lease.DueCommands(now, g.State) {
		g.Propose(now, command)
	}
	for _, command := range g.PendingOrders.DueCommands(now) {
		g.Propose(now, command)
	}
	if g.Lease.Valid(now) {
		for _, command := range g.MisroutedProxies.DueClaims(now, g.registration.Peer, g.State) {
			g.Propose(now, command)
		}
	}
	registered := g.State.Registrations[g.id]
	if registered != g.registration && !registered.Removed && now-g.registeredAt >= registerInterval {
		g.registeredAt = now
		g.Propose(now, g.RegisterCommand())
	}
}

// proposeConfChange proposes the next change of the consensus configuration if this node is the leader.
func (g *Group) proposeConfChange(now float64) error {
	config, ok := g.Node.Config()
	if !ok {
		return nil
	}
	id, change := g.State.NextConfChange(config)
	if change == membership.NoChange {
		return nil
	}
	g.Stats.ConfChanges++
	if err := g.Node.ProposeConfChange(now, id, change); err != nil {
		return g.Node.failed // nil if the change was only dropped; it is proposed again
	}
	return nil
}

// Removed reports whether a coordinator was removed from the group and from consensus.
func (g *Group) Removed(id membership.MemberID) bool {
	return g.State.Registrations[id].Removed && !g.Node.Includes(ID(id))
}

// RegisterCommand returns the command that registers this coordinator.
func (g *Group) RegisterCommand() membership.Command {
	return membership.Command{Kind: membership.RegisterMember, MemberID: g.id, Peer: g.registration.Peer, Address: g.registration.Address}
}

// Registered reports whether this coordinator is registered in the group with its current address.
func (g *Group) Registered() bool { return g.State.Registrations[g.id] == g.registration }
