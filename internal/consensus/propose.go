package consensus

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
)

const (
	maxUnsent         = 256 // commands that wait for a leader; beyond this the oldest are dropped and proposed again by their proposers
	recordsPerCommand = 128 // about 30 KB, so that a membership change does not wait behind a megabyte of records
)

// Propose queues a command, which is proposed with the next tick or as soon as a leader is known. The command may be lost.
func (g *Group) Propose(_ float64, command membership.Command) {
	data, err := command.Encode()
	if err != nil { // the command contains a non-finite number and would be rejected
		g.Stats.Invalid++
		return
	}
	if len(g.unsent) >= maxUnsent {
		g.Stats.Dropped++
		g.unsent = g.unsent[1:]
	}
	g.unsent = append(g.unsent, data)
}

// flush proposes unsent commands if a leader is known. A lease renewal that was queued for a long time is harmless: its lease is counted from
// the time at which the renewal was created, before it was queued. An error is final for the node.
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

// StoreRecords replicates records so that they outlive this coordinator. They take effect when they are committed, which RecordsStored
// reports.
func (g *Group) StoreRecords(now float64, records []registry.Record) {
	for batch := range slices.Chunk(records, recordsPerCommand) {
		g.Propose(now, membership.Command{Kind: membership.StoreRecords, Records: batch})
	}
	_ = g.flush(now) // the next tick returns the same error
}

// RecordsStored reports whether records are committed as passed to StoreRecords, or with an earlier start of a drain.
func (g *Group) RecordsStored(records []registry.Record) bool {
	for _, record := range records {
		stored, ok := g.State.Records[record.Server]
		if !ok || stored.Phase != record.Phase || stored.Started != record.Started || stored.DrainOrdered != record.DrainOrdered {
			return false
		}
	}
	return true
}

// Drain submits an order that starts or ends the drain of a server. The results are as in SubmitOrder.
func (g *Group) Drain(now float64, server balancer.Server, on bool) (ticket membership.Ticket, ok bool) {
	return g.SubmitOrder(now, membership.Command{Kind: membership.DrainServer, Server: server, Draining: on})
}

// SubmitOrder replicates an order to the whole group. Messenger.OrdersCompleted reports its ticket when the order is accepted or rejected. ok
// is false if too many orders are pending.
func (g *Group) SubmitOrder(now float64, order membership.Command) (ticket membership.Ticket, ok bool) {
	ticket, ok = g.PendingOrders.Submit(now, order)
	if !ok {
		return ticket, false
	}
	for _, command := range g.PendingOrders.DueCommands(now) {
		g.Propose(now, command)
	}
	_ = g.flush(now) // the next tick returns the same error
	return ticket, true
}

// ReleaseLease releases this coordinator's lease, so that the others take over its proxies at once. An error is final for the node.
func (g *Group) ReleaseLease(now float64) error {
	g.Propose(now, g.Lease.Release())
	return g.flush(now)
}
