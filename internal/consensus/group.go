package consensus

import (
	"snowquay/choice"
	"snowquay/internal/core/roll"
	"snowquay/internal/core/share"
)

// Group is one coordinator's part in a group that shares a fleet: its node, the state that all agree on, and its lease.
// It has no I/O of its own. Use NewGroup.
type Group struct {
	Node    *Node
	State   *share.State
	Lease   *share.Lease
	out     Messenger
	pending [][]byte // commands that no leader has taken yet
	Counts  GroupCounts
}

// Messenger carries messages to other coordinators and hears of changes.
type Messenger interface {
	Send(to ID, b []byte)
	// Moved: proxies may have changed hands. It is called after the state has changed.
	Moved(now float64, before, after *share.State)
	// Drained: a drain was agreed on, or its end.
	Drained(now float64, c share.Command)
}

// GroupCounts is what happened, for metrics.
type GroupCounts struct{ Applied, Senseless, Moves, Restored, Dropped int }

const mostPending = 256 // commands that wait for a leader; the oldest are dropped, and their proposers propose anew

// NewGroup makes a coordinator's part. seed must differ from those of its former processes. Its lease starts empty: it orders nothing before it has renewed.
func NewGroup(now float64, self share.Peer, weight float64, id ID, members []ID, seed uint64, disk Disk, out Messenger,
	terms Terms, lease share.Terms) (*Group, error) {
	g := &Group{State: &share.State{}, out: out}
	node, err := New(now, id, members, seed, disk, g, func() ([]byte, error) { return g.State.Snapshot() }, terms)
	if err != nil {
		return nil, err
	}
	g.Node = node
	g.Lease = share.NewLease(now, self, seed, weight, g.State.Members[self].Renewal, lease)
	return g, nil
}

// Send of Out.
func (g *Group) Send(to ID, b []byte) { g.out.Send(to, b) }

// Committed of Out.
func (g *Group) Committed(now float64, _ uint64, data []byte) {
	g.Counts.Applied++
	c, err := share.Decode(data)
	if err != nil {
		g.Counts.Senseless++ // by everybody alike
		return
	}
	before := share.State{Epoch: g.State.Epoch, Members: make(map[share.Peer]share.Member, len(g.State.Members))}
	for p, m := range g.State.Members {
		before.Members[p] = m
	}
	moved, err := g.State.Apply(c)
	if err != nil {
		g.Counts.Senseless++
		return
	}
	if g.Lease != nil { // while the log is played at the start there is none, and nothing may follow
		g.Lease.Applied(now, c, g.State)
	}
	if c.Kind == share.Drain {
		g.out.Drained(now, c)
	}
	if moved {
		g.Counts.Moves++
		if g.Lease != nil {
			g.Lease.Hurry()
		}
		g.out.Moved(now, &before, g.State)
	}
}

// Restored of Out.
func (g *Group) Restored(now float64, _ uint64, data []byte) {
	before := *g.State
	var s share.State
	if err := s.Restore(data); err != nil {
		g.Counts.Senseless++
		return
	}
	g.Counts.Restored++
	*g.State = s
	for server, told := range s.Drains {
		g.out.Drained(now, share.Command{Kind: share.Drain, Server: server, On: true, Told: told})
	}
	g.out.Moved(now, &before, g.State)
}

// Step takes a message.
func (g *Group) Step(now float64, b []byte) error { return g.Node.Step(now, b) }

// Tick renews, expires and does what is due. An error is final: the coordinator must order nothing more and end.
func (g *Group) Tick(now float64) error {
	if err := g.Node.Tick(now); err != nil {
		return err
	}
	for _, c := range g.Lease.Propose(now, g.State) {
		g.propose(now, c)
	}
	return g.flush(now)
}

// Keep makes records outlive this coordinator. They count when they are committed: Kept tells.
func (g *Group) Keep(now float64, records []roll.Record) {
	g.propose(now, share.Command{Kind: share.Keep, Records: records})
	_ = g.flush(now) // what fails is tried again with the next tick
}

// Drain makes a drain, or its end, known to all.
func (g *Group) Drain(now float64, server choice.Server, on bool) {
	g.propose(now, share.Command{Kind: share.Drain, Server: server, On: on, Told: now})
	_ = g.flush(now) // what fails is tried again with the next tick
}

// Retire gives our part up.
func (g *Group) Retire(now float64) error {
	g.propose(now, g.Lease.Retire())
	return g.flush(now)
}

func (g *Group) propose(_ float64, c share.Command) {
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
func (g *Group) Kept(records []roll.Record) bool {
	for _, r := range records {
		k, ok := g.State.Records[r.Server]
		if !ok || k.Phase != r.Phase || k.Started != r.Started || k.Drained != r.Drained {
			return false
		}
	}
	return true
}
