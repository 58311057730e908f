package consensus

import (
	"errors"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

// Group is one coordinator's part in a group that shares a fleet: its node, the state that all agree on, and its lease.
// It has no I/O of its own. Use NewGroup.
type Group struct {
	Node             *Node
	State            *membership.State
	Lease            *membership.Lease
	PendingOrders    *membership.PendingOrders
	MisroutedProxies *membership.MisroutedProxies
	number           membership.MemberID
	seat             membership.Registration
	out              Messenger
	pending          [][]byte // commands that no leader has taken yet
	left             bool
	satAt            float64 // when our seat was last proposed
	Stats            GroupStats
}

// Messenger carries messages to other coordinators and hears of changes.
type Messenger interface {
	Send(to ID, b []byte)
	// OwnershipChanged: proxies may have changed hands. It is called after the state has changed.
	OwnershipChanged(now float64, s *membership.State)
	// DrainCommitted: a drain was agreed on, or its end.
	DrainCommitted(now float64, c membership.Command)
	// RecordsCommitted: records of servers were agreed on, ours among them.
	RecordsCommitted(now float64, records []registry.Record)
	// OrdersCompleted: drains that were told here are kept, or refused.
	OrdersCompleted(now float64, kept, refused []membership.Ticket)
}

// TenantObserver is a Messenger that hears of tenants.
type TenantObserver interface {
	// TenantChanged: a change of a tenant was agreed on; with a ticket it was told here, and had that outcome. No name: any of them may have
	// changed.
	TenantChanged(now float64, n tenancy.Name, told membership.Ticket, o tenancy.Outcome)
}

// GroupConfig is what a coordinator is in its group.
type GroupConfig struct {
	ID           membership.MemberID
	Registration membership.Registration
	Weight       float64
	Members      []ID   // the first ones; none: a running group will take us in
	Seed         uint64 // of this process: no former one had it
	Consensus    Config
	Lease        membership.LeaseConfig
	Capacity     tenancy.Capacity // of a host of many tenants
}

// ErrRemoved says that the group has taken this coordinator out for good.
var ErrRemoved = errors.New("consensus: the group has taken this coordinator out")

const keepAtOnce = 128 // records in one command, 30 KB: a change of members must not wait behind a megabyte

const sitAgain = 1.0 // seconds between two proposals of our seat

// GroupStats is what happened, for metrics.
type GroupStats struct{ Applied, Invalid, OwnershipChanges, Restored, Dropped, Confirmed, Rejected, ConfChanges int }

const mostPending = 256 // commands that wait for a leader; the oldest are dropped, and their proposers propose anew

// NewGroup makes a coordinator's part. seed must differ from those of its former processes. Its lease starts empty: it orders nothing before it has renewed.
func NewGroup(now float64, p GroupConfig, disk Storage, out Messenger) (*Group, error) {
	g := &Group{State: &membership.State{Directory: tenancy.Directory{Capacity: p.Capacity}}, out: out, number: p.ID, seat: p.Registration, MisroutedProxies: membership.NewMisroutedProxies(), PendingOrders: membership.NewPendingOrders(p.Seed, 2*p.Lease.ExpiryTimeout())}
	node, err := New(now, ID(p.ID), p.Members, p.Seed, disk, g, func() ([]byte, error) { return g.State.Snapshot() }, p.Consensus)
	if err != nil {
		return nil, err
	}
	g.Node = node
	g.Lease = membership.NewLease(now, p.Registration.Peer, p.Seed, p.Weight, g.State.Members[p.Registration.Peer].Renewal, p.Lease)
	return g, nil
}

// Send of Out.
func (g *Group) Send(to ID, b []byte) { g.out.Send(to, b) }

// Committed of Out.
func (g *Group) Committed(now float64, _ uint64, data []byte) {
	g.Stats.Applied++
	c, err := membership.Decode(data)
	if err != nil {
		g.Stats.Invalid++ // by everybody alike
		return
	}
	moved, err := g.State.Apply(c)
	if err != nil {
		g.Stats.Invalid++
		return
	}
	if g.Lease != nil { // while the log is played at the start there is none, and nothing may follow
		g.Lease.ObserveCommand(now, c, g.State)
	}
	if c.Kind == membership.StoreRecords && g.Lease != nil {
		g.out.RecordsCommitted(now, c.Records)
	}
	if c.Kind == membership.DrainServer {
		g.PendingOrders.ObserveCommand(c, g.State)
		g.out.DrainCommitted(now, c)
	}
	if c.Kind == membership.ChangeTenant {
		ticket := g.PendingOrders.ObserveCommand(c, g.State)
		if t, ok := g.out.(TenantObserver); ok {
			t.TenantChanged(now, c.Tenant.Name, ticket, g.State.TenantOutcome())
		}
	}
	if moved {
		g.Stats.OwnershipChanges++
		if g.Lease != nil {
			g.Lease.RenewNow()
		}
		g.out.OwnershipChanged(now, g.State)
	}
}

// Restored of Out.
func (g *Group) Restored(now float64, _ uint64, data []byte) {
	var s membership.State
	if err := s.Restore(data); err != nil {
		g.Stats.Invalid++
		return
	}
	g.Stats.Restored++
	*g.State = s
	for server, told := range s.Drains {
		g.out.DrainCommitted(now, membership.Command{Kind: membership.DrainServer, Server: server, Draining: true, OrderedAt: told})
	}
	if t, ok := g.out.(TenantObserver); ok {
		t.TenantChanged(now, "", 0, tenancy.Outcome{})
	}
	g.out.OwnershipChanged(now, g.State)
}

// Step takes a message.
func (g *Group) Step(now float64, b []byte) error { return g.Node.Step(now, b) }

// Tick renews, expires and does what is due. An error is final: the coordinator must order nothing more and end.
func (g *Group) Tick(now float64) error {
	if err := g.Node.Tick(now); err != nil {
		return err
	}
	if g.State.Registrations[g.number].Removed {
		if !g.left { // it orders nothing more, and votes until the others can do without it
			g.left = true
			g.Propose(now, g.Lease.Release())
		}
		if !g.Node.Includes(ID(g.number)) {
			return ErrRemoved
		}
	}
	for _, c := range g.Lease.DueCommands(now, g.State) {
		g.Propose(now, c)
	}
	for _, c := range g.PendingOrders.DueCommands(now) {
		g.Propose(now, c)
	}
	if g.Lease.Valid(now) {
		for _, c := range g.MisroutedProxies.DueClaims(now, g.seat.Peer, g.State) {
			g.Propose(now, c)
		}
	}
	if s := g.State.Registrations[g.number]; s != g.seat && !s.Removed && now-g.satAt >= sitAgain {
		g.satAt = now
		g.Propose(now, g.RegisterCommand())
	}
	if c, ok := g.Node.Config(); ok {
		if n, what := g.State.NextConfChange(c); what != membership.NoChange {
			g.Stats.ConfChanges++
			if err := g.Node.ProposeConfChange(now, n, what); err != nil && g.Node.failed != nil {
				return g.Node.failed
			}
		}
	}
	if kept, refused := g.PendingOrders.TakeCompleted(now, g.seat.Peer, g.State); len(kept)+len(refused) > 0 {
		g.Stats.Confirmed += len(kept)
		g.Stats.Rejected += len(refused)
		g.out.OrdersCompleted(now, kept, refused)
	}
	return g.flush(now)
}

// Removed tells whether a number was taken out of the group and is not needed any more.
func (g *Group) Removed(n membership.MemberID) bool {
	return g.State.Registrations[n].Removed && !g.Node.Includes(ID(n))
}

// RegisterCommand is the command that gives us our place.
func (g *Group) RegisterCommand() membership.Command {
	return membership.Command{Kind: membership.RegisterMember, MemberID: g.number, Peer: g.seat.Peer, Address: g.seat.Address}
}

// Registered tells whether the group knows us.
func (g *Group) Registered() bool { return g.State.Registrations[g.number] == g.seat }

// StoreRecords makes records outlive this coordinator. They count when they are committed: Kept tells.
func (g *Group) StoreRecords(now float64, records []registry.Record) {
	for batch := range slices.Chunk(records, keepAtOnce) {
		g.Propose(now, membership.Command{Kind: membership.StoreRecords, Records: batch})
	}
	_ = g.flush(now) // what fails is tried again with the next tick
}

// Drain makes a drain, or its end, known to all. Settled tells when it is; ok is false where too many wait.
func (g *Group) Drain(now float64, server balancer.Server, on bool) (ticket membership.Ticket, ok bool) {
	return g.SubmitOrder(now, membership.Command{Kind: membership.DrainServer, Server: server, Draining: on})
}

// SubmitOrder makes an order known to all, as Drain does.
func (g *Group) SubmitOrder(now float64, c membership.Command) (ticket membership.Ticket, ok bool) {
	if ticket, ok = g.PendingOrders.Submit(now, c); ok {
		for _, c := range g.PendingOrders.DueCommands(now) {
			g.Propose(now, c)
		}
		_ = g.flush(now) // what fails is tried again with the next tick
	}
	return ticket, ok
}

// ReleaseLease gives our part up.
func (g *Group) ReleaseLease(now float64) error {
	g.Propose(now, g.Lease.Release())
	return g.flush(now)
}

// Propose hands a command to the group, now or as soon as a leader is known.
func (g *Group) Propose(_ float64, c membership.Command) {
	b, err := c.Encode()
	if err != nil { // only figures that are not finite have no form, and they are refused before
		g.Stats.Invalid++
		return
	}
	if len(g.pending) >= mostPending {
		g.Stats.Dropped++
		g.pending = g.pending[1:]
	}
	g.pending = append(g.pending, b)
}

// flush hands pending commands to the leader, if one is known. A renewal that waited for long is of no use: its lease
// counts from when it was proposed, so nothing is gained by its being late, and nothing is lost.
func (g *Group) flush(now float64) error {
	for len(g.pending) > 0 && g.Node.Leader() != 0 {
		b := g.pending[0]
		g.pending = g.pending[1:]
		if err := g.Node.Propose(now, b); err != nil {
			if g.Node.failed != nil {
				return g.Node.failed
			}
			g.Stats.Dropped++
		}
	}
	return g.Node.failed
}

// RecordsStored tells whether records are agreed on, as they were handed to Keep or with an earlier time of a drain.
func (g *Group) RecordsStored(records []registry.Record) bool {
	for _, r := range records {
		k, ok := g.State.Records[r.Server]
		if !ok || k.Phase != r.Phase || k.Started != r.Started || k.DrainOrdered != r.DrainOrdered {
			return false
		}
	}
	return true
}
