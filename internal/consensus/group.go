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
	Node    *Node
	State   *membership.State
	Lease   *membership.Lease
	Pledges *membership.Pledges
	Seekers *membership.Seekers
	number  membership.Number
	seat    membership.Seat
	out     Messenger
	pending [][]byte // commands that no leader has taken yet
	left    bool
	satAt   float64 // when our seat was last proposed
	Counts  GroupCounts
}

// Messenger carries messages to other coordinators and hears of changes.
type Messenger interface {
	Send(to ID, b []byte)
	// Moved: proxies may have changed hands. It is called after the state has changed.
	Moved(now float64, s *membership.State)
	// Drained: a drain was agreed on, or its end.
	Drained(now float64, c membership.Command)
	// Learnt: records of servers were agreed on, ours among them.
	Learnt(now float64, records []registry.Record)
	// Settled: drains that were told here are kept, or refused.
	Settled(now float64, kept, refused []membership.Ticket)
}

// Tenants is a Messenger that hears of tenants.
type Tenants interface {
	// Tenanted: a change of a tenant was agreed on; with a ticket it was told here, and had that outcome. No name: any of them may have
	// changed.
	Tenanted(now float64, n tenancy.Name, told membership.Ticket, o tenancy.Outcome)
}

// Part is what a coordinator is in its group.
type Part struct {
	Number  membership.Number
	Seat    membership.Seat
	Weight  float64
	Members []ID   // the first ones; none: a running group will take us in
	Seed    uint64 // of this process: no former one had it
	Terms   Terms
	Lease   membership.Terms
	Room    tenancy.Room // of a host of many tenants
}

// ErrRemoved says that the group has taken this coordinator out for good.
var ErrRemoved = errors.New("consensus: the group has taken this coordinator out")

const keepAtOnce = 128 // records in one command, 30 KB: a change of members must not wait behind a megabyte

const sitAgain = 1.0 // seconds between two proposals of our seat

// GroupCounts is what happened, for metrics.
type GroupCounts struct{ Applied, Senseless, Moves, Restored, Dropped, Kept, Refused, Changes int }

const mostPending = 256 // commands that wait for a leader; the oldest are dropped, and their proposers propose anew

// NewGroup makes a coordinator's part. seed must differ from those of its former processes. Its lease starts empty: it orders nothing before it has renewed.
func NewGroup(now float64, p Part, disk Disk, out Messenger) (*Group, error) {
	g := &Group{State: &membership.State{Directory: tenancy.Directory{Room: p.Room}}, out: out, number: p.Number, seat: p.Seat, Seekers: membership.NewSeekers(), Pledges: membership.NewPledges(p.Seed, 2*p.Lease.Dead())}
	node, err := New(now, ID(p.Number), p.Members, p.Seed, disk, g, func() ([]byte, error) { return g.State.Snapshot() }, p.Terms)
	if err != nil {
		return nil, err
	}
	g.Node = node
	g.Lease = membership.NewLease(now, p.Seat.Peer, p.Seed, p.Weight, g.State.Members[p.Seat.Peer].Renewal, p.Lease)
	return g, nil
}

// Send of Out.
func (g *Group) Send(to ID, b []byte) { g.out.Send(to, b) }

// Committed of Out.
func (g *Group) Committed(now float64, _ uint64, data []byte) {
	g.Counts.Applied++
	c, err := membership.Decode(data)
	if err != nil {
		g.Counts.Senseless++ // by everybody alike
		return
	}
	moved, err := g.State.Apply(c)
	if err != nil {
		g.Counts.Senseless++
		return
	}
	if g.Lease != nil { // while the log is played at the start there is none, and nothing may follow
		g.Lease.Applied(now, c, g.State)
	}
	if c.Kind == membership.Keep && g.Lease != nil {
		g.out.Learnt(now, c.Records)
	}
	if c.Kind == membership.Drain {
		g.Pledges.Applied(c, g.State)
		g.out.Drained(now, c)
	}
	if c.Kind == membership.Tenants {
		ticket := g.Pledges.Applied(c, g.State)
		if t, ok := g.out.(Tenants); ok {
			t.Tenanted(now, c.Tenant.Name, ticket, g.State.Outcome())
		}
	}
	if moved {
		g.Counts.Moves++
		if g.Lease != nil {
			g.Lease.Hurry()
		}
		g.out.Moved(now, g.State)
	}
}

// Restored of Out.
func (g *Group) Restored(now float64, _ uint64, data []byte) {
	var s membership.State
	if err := s.Restore(data); err != nil {
		g.Counts.Senseless++
		return
	}
	g.Counts.Restored++
	*g.State = s
	for server, told := range s.Drains {
		g.out.Drained(now, membership.Command{Kind: membership.Drain, Server: server, On: true, Told: told})
	}
	if t, ok := g.out.(Tenants); ok {
		t.Tenanted(now, "", 0, tenancy.Outcome{})
	}
	g.out.Moved(now, g.State)
}

// Step takes a message.
func (g *Group) Step(now float64, b []byte) error { return g.Node.Step(now, b) }

// Tick renews, expires and does what is due. An error is final: the coordinator must order nothing more and end.
func (g *Group) Tick(now float64) error {
	if err := g.Node.Tick(now); err != nil {
		return err
	}
	if g.State.Seats[g.number].Gone {
		if !g.left { // it orders nothing more, and votes until the others can do without it
			g.left = true
			g.Propose(now, g.Lease.Retire())
		}
		if !g.Node.Includes(ID(g.number)) {
			return ErrRemoved
		}
	}
	for _, c := range g.Lease.Propose(now, g.State) {
		g.Propose(now, c)
	}
	for _, c := range g.Pledges.Due(now) {
		g.Propose(now, c)
	}
	if g.Lease.Holds(now) {
		for _, c := range g.Seekers.Due(now, g.seat.Peer, g.State) {
			g.Propose(now, c)
		}
	}
	if s := g.State.Seats[g.number]; s != g.seat && !s.Gone && now-g.satAt >= sitAgain {
		g.satAt = now
		g.Propose(now, g.Sit())
	}
	if c, ok := g.Node.Config(); ok {
		if n, what := g.State.NextChange(c); what != membership.NoChange {
			g.Counts.Changes++
			if err := g.Node.Change(now, n, what); err != nil && g.Node.failed != nil {
				return g.Node.failed
			}
		}
	}
	if kept, refused := g.Pledges.Settled(now, g.seat.Peer, g.State); len(kept)+len(refused) > 0 {
		g.Counts.Kept += len(kept)
		g.Counts.Refused += len(refused)
		g.out.Settled(now, kept, refused)
	}
	return g.flush(now)
}

// Out tells whether a number was taken out of the group and is not needed any more.
func (g *Group) Out(n membership.Number) bool {
	return g.State.Seats[n].Gone && !g.Node.Includes(ID(n))
}

// Sit is the command that gives us our place.
func (g *Group) Sit() membership.Command {
	return membership.Command{Kind: membership.Sit, Number: g.number, Peer: g.seat.Peer, Address: g.seat.Address}
}

// Seated tells whether the group knows us.
func (g *Group) Seated() bool { return g.State.Seats[g.number] == g.seat }

// Keep makes records outlive this coordinator. They count when they are committed: Kept tells.
func (g *Group) Keep(now float64, records []registry.Record) {
	for batch := range slices.Chunk(records, keepAtOnce) {
		g.Propose(now, membership.Command{Kind: membership.Keep, Records: batch})
	}
	_ = g.flush(now) // what fails is tried again with the next tick
}

// Drain makes a drain, or its end, known to all. Settled tells when it is; ok is false where too many wait.
func (g *Group) Drain(now float64, server balancer.Server, on bool) (ticket membership.Ticket, ok bool) {
	return g.Tell(now, membership.Command{Kind: membership.Drain, Server: server, On: on})
}

// Tell makes an order known to all, as Drain does.
func (g *Group) Tell(now float64, c membership.Command) (ticket membership.Ticket, ok bool) {
	if ticket, ok = g.Pledges.Tell(now, c); ok {
		for _, c := range g.Pledges.Due(now) {
			g.Propose(now, c)
		}
		_ = g.flush(now) // what fails is tried again with the next tick
	}
	return ticket, ok
}

// Retire gives our part up.
func (g *Group) Retire(now float64) error {
	g.Propose(now, g.Lease.Retire())
	return g.flush(now)
}

// Propose hands a command to the group, now or as soon as a leader is known.
func (g *Group) Propose(_ float64, c membership.Command) {
	b, err := c.Encode()
	if err != nil { // only figures that are not finite have no form, and they are refused before
		g.Counts.Senseless++
		return
	}
	if len(g.pending) >= mostPending {
		g.Counts.Dropped++
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
			g.Counts.Dropped++
		}
	}
	return g.Node.failed
}

// Kept tells whether records are agreed on, as they were handed to Keep or with an earlier time of a drain.
func (g *Group) Kept(records []registry.Record) bool {
	for _, r := range records {
		k, ok := g.State.Records[r.Server]
		if !ok || k.Phase != r.Phase || k.Started != r.Started || k.Drained != r.Drained {
			return false
		}
	}
	return true
}
