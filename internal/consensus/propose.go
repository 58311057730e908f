package consensus

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
)

const (
	maxUnsent         = 256 // commands that wait for a leader; the oldest are dropped, and their proposers propose again
	recordsPerCommand = 128 // some 30 KB: a change of members must not wait behind a megabyte
)

// Propose hands a command to the group, with the next tick or as soon as a leader is known. It may be lost.
func (g *Group) Propose(_ float64, command membership.Command) {
	data, err := command.Encode()
	if err != nil { // it has a number that is not finite, and would be rejected
		g.Stats.Invalid++
		return
	}
	if len(g.unsent) >= maxUnsent {
		g.Stats.Dropped++
		g.unsent = g.unsent[1:]
	}
	g.unsent = append(g.unsent, data)
}

// flush hands unsent commands to the leader, if one is known. A renewal that waited for long does no harm: its lease counts from when it
// was proposed. An error is final for the node.
func (g *Group) flush(now float64) error {
	for len(g.unsent) > 0 && g.Node.Leader() != 0 {
		command := g.unsent[0]
		g.unsent = g.unsent[1:]
		if err := g.Node.Propose(now, command); err != nil {
			if g.Node.failed != nil {
				return g.Node.failed
			}
			g.Stats.Dropped++
		}
	}
	return g.Node.failed
}

// StoreRecords makes records outlive this coordinator. They count when they are committed; RecordsStored tells.
func (g *Group) StoreRecords(now float64, records []registry.Record) {
	for batch := range slices.Chunk(records, recordsPerCommand) {
		g.Propose(now, membership.Command{Kind: membership.StoreRecords, Records: batch})
	}
	_ = g.flush(now) // the next tick returns its error, too
}

// RecordsStored tells whether records are committed as they were handed to StoreRecords, or with an earlier start of a drain.
func (g *Group) RecordsStored(records []registry.Record) bool {
	for _, record := range records {
		stored, ok := g.State.Records[record.Server]
		if !ok || stored.Phase != record.Phase || stored.Started != record.Started || stored.DrainOrdered != record.DrainOrdered {
			return false
		}
	}
	return true
}

// Drain orders a drain of a server, or its end, as SubmitOrder does.
func (g *Group) Drain(now float64, server balancer.Server, on bool) (ticket membership.Ticket, ok bool) {
	return g.SubmitOrder(now, membership.Command{Kind: membership.DrainServer, Server: server, Draining: on})
}

// SubmitOrder makes an order known to the whole group. Messenger.OrdersCompleted names its ticket when that has succeeded or failed. ok is
// false where too many orders are pending.
func (g *Group) SubmitOrder(now float64, order membership.Command) (ticket membership.Ticket, ok bool) {
	ticket, ok = g.PendingOrders.Submit(now, order)
	if !ok {
		return ticket, false
	}
	for _, command := range g.PendingOrders.DueCommands(now) {
		g.Propose(now, command)
	}
	_ = g.flush(now) // the next tick returns its error, too
	return ticket, true
}

// ReleaseLease gives this coordinator's lease up, so that the others take its proxies over at once. An error is final for the node.
func (g *Group) ReleaseLease(now float64) error {
	g.Propose(now, g.Lease.Release())
	return g.flush(now)
}
