package consensus

import (
	"errors"

	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

// Group is one coordinator's membership of a group that shares a fleet: its consensus node, the state that all agree on, and its lease.
// It has no I/O of its own. Use NewGroup.
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
	unsent       [][]byte // encoded commands that no leader has taken yet, oldest first
	leaving      bool     // this coordinator was removed from the group
	registeredAt float64  // when our registration was proposed last
}

// Messenger sends messages to other coordinators and hears of committed commands.
type Messenger interface {
	// Send sends a message to another coordinator. It may be lost.
	Send(to ID, message []byte)
	// OwnershipChanged says that proxies may have changed owners. It is called after the state has changed.
	OwnershipChanged(now float64, s *membership.State)
	// DrainCommitted says that a drain or its end was committed.
	DrainCommitted(now float64, c membership.Command)
	// RecordsCommitted says that records of servers were committed, whichever coordinator proposed them.
	RecordsCommitted(now float64, records []registry.Record)
	// OrdersCompleted says which of the orders that were submitted here are accepted, and which are rejected.
	OrdersCompleted(now float64, accepted, rejected []membership.Ticket)
}

// TenantObserver is implemented by a Messenger that hears of tenants.
type TenantObserver interface {
	// TenantChanged says that a change of a tenant was committed. With a ticket it was submitted here, and had that outcome. Without a
	// name any tenant may have changed.
	TenantChanged(now float64, name tenancy.Name, ticket membership.Ticket, outcome tenancy.Outcome)
}

// GroupConfig configures one coordinator of a group.
type GroupConfig struct {
	ID           membership.MemberID
	Registration membership.Registration
	Weight       float64 // of this coordinator's part of the proxies
	Members      []ID    // the group's first members; none: a running group will add this one
	Seed         uint64  // unique to this process
	Consensus    Config
	Lease        membership.LeaseConfig
	Capacity     tenancy.Capacity // of a host of many tenants
}

// ErrRemoved says that the group has removed this coordinator for good.
var ErrRemoved = errors.New("consensus: the group has taken this coordinator out")

const registerInterval = 1.0 // seconds between two proposals of our registration

// GroupStats counts events since the start of the process.
type GroupStats struct {
	Applied          int // commands that were committed
	Invalid          int // commands that could not be encoded, decoded or applied
	OwnershipChanges int
	Restored         int // snapshots
	Dropped          int // proposals that were given up
	Confirmed        int // orders that were accepted
	Rejected         int // orders that were rejected
	ConfChanges      int // that were proposed
}

// NewGroup starts a coordinator's membership from its storage, which the caller closes after the last use. The coordinator may give no
// orders before it has renewed its lease.
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

// Step takes a message of another coordinator. Errors are as with Node.Step.
func (g *Group) Step(now float64, message []byte) error { return g.Node.Step(now, message) }

// Tick renews the lease, expires those of others and does what else is due. An error is final: the coordinator must give no more orders
// and end.
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

// leave releases the lease of a coordinator that was removed. It keeps voting until the others have removed it from consensus.
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

// proposeConfChange proposes the next change of who takes part in consensus, where this node leads it.
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
		return g.Node.failed // otherwise the change was dropped, and is proposed again
	}
	return nil
}

// Removed tells whether a coordinator was removed from the group and from consensus.
func (g *Group) Removed(id membership.MemberID) bool {
	return g.State.Registrations[id].Removed && !g.Node.Includes(ID(id))
}

// RegisterCommand returns the command that registers this coordinator.
func (g *Group) RegisterCommand() membership.Command {
	return membership.Command{Kind: membership.RegisterMember, MemberID: g.id, Peer: g.registration.Peer, Address: g.registration.Address}
}

// Registered tells whether the group knows this coordinator under its present address.
func (g *Group) Registered() bool { return g.State.Registrations[g.id] == g.registration }
