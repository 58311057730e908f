package consensus

import (
	"maps"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

// Send implements Handler.
func (g *Group) Send(to ID, message []byte) { g.messenger.Send(to, message) }

// Committed implements Handler. It applies a command to the state and notifies the lease, the messenger and pending orders.
func (g *Group) Committed(now float64, _ uint64, data []byte) {
	g.Stats.Applied++
	command, err := membership.Decode(data)
	if err != nil {
		g.Stats.Invalid++ // the same on all coordinators
		return
	}
	ordersBefore := g.State.OrderCount
	ownersChanged, err := g.State.Apply(command)
	if err != nil {
		g.Stats.Invalid++
		return
	}
	if g.Lease != nil {
		g.Lease.ObserveCommand(now, command, g.State)
	}
	g.notify(now, command, g.State.OrderCount > ordersBefore)
	if ownersChanged {
		g.Stats.OwnershipChanges++
		if g.Lease != nil {
			g.Lease.RenewNow()
		}
		g.messenger.OwnershipChanged(now, g.State)
	}
}

// notify reports a committed command to the messenger and to pending orders. newOrder is false if the order was applied before; a later order
// may have undone its effect.
func (g *Group) notify(now float64, command membership.Command, newOrder bool) {
	switch command.Kind {
	case membership.StoreRecords:
		if g.Lease != nil {
			g.messenger.RecordsCommitted(now, command.Records)
		}
	case membership.DrainServer:
		g.PendingOrders.ObserveCommand(command, g.State)
		if newOrder {
			g.messenger.DrainCommitted(now, command)
		}
	case membership.ChangeTenant:
		ticket := g.PendingOrders.ObserveCommand(command, g.State)
		outcome, known := g.State.TenantOutcome()
		if !known {
			g.PendingOrders.MarkOutcomeUnknown(ticket)
		}
		if observer, ok := g.messenger.(TenantObserver); ok {
			observer.TenantChanged(now, command.Tenant.Name, ticket, outcome)
		}
	}
}

// notifyDrains reports the drains that are active after a snapshot, and the ends of those that the snapshot no longer contains.
func (g *Group) notifyDrains(now float64, before map[balancer.Server]float64) {
	for _, server := range slices.Sorted(maps.Keys(before)) {
		if _, active := g.State.Drains[server]; !active {
			g.messenger.DrainCommitted(now, membership.Command{Kind: membership.DrainServer, Server: server})
		}
	}
	for _, server := range slices.Sorted(maps.Keys(g.State.Drains)) {
		orderedAt := g.State.Drains[server]
		g.messenger.DrainCommitted(now, membership.Command{Kind: membership.DrainServer, Server: server, Draining: true, OrderedAt: orderedAt})
	}
}

// notifyRecords reports the server records that a snapshot has changed.
func (g *Group) notifyRecords(now float64, before map[balancer.Server]registry.Record) {
	if g.Lease == nil {
		return // the coordinator is starting and will read all records
	}
	var changed []registry.Record
	for _, record := range g.State.ServerRecords() {
		if known, ok := before[record.Server]; !ok || known != record {
			changed = append(changed, record)
		}
	}
	if len(changed) > 0 {
		g.messenger.RecordsCommitted(now, changed)
	}
}

// Restored implements Handler. It replaces the state with a snapshot and reports the changes; any drain, record, tenant or owner may have
// changed.
func (g *Group) Restored(now float64, _ uint64, snapshot []byte) {
	drainsBefore := g.State.Drains
	recordsBefore := g.State.Records
	if err := g.State.Restore(snapshot); err != nil { // the local configuration is not replaced
		g.Stats.Invalid++
		return
	}
	g.Stats.Restored++
	g.notifyDrains(now, drainsBefore)
	g.notifyRecords(now, recordsBefore)
	if observer, ok := g.messenger.(TenantObserver); ok {
		observer.TenantChanged(now, "", 0, tenancy.Outcome{})
	}
	g.messenger.OwnershipChanged(now, g.State)
}
