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

// Committed implements Handler: it applies a command to the state and tells those who wait for it.
func (g *Group) Committed(now float64, _ uint64, data []byte) {
	g.Stats.Applied++
	command, err := membership.Decode(data)
	if err != nil {
		g.Stats.Invalid++ // on all coordinators alike
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

// notify tells those who wait for a command. newOrder is false for an order that was applied before, whose effect a later one may have undone.
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

// notifyDrains tells the drains that stand after a snapshot, and those that have ended inside it.
func (g *Group) notifyDrains(now float64, before map[balancer.Server]float64) {
	for _, server := range slices.Sorted(maps.Keys(before)) {
		if _, stands := g.State.Drains[server]; !stands {
			g.messenger.DrainCommitted(now, membership.Command{Kind: membership.DrainServer, Server: server})
		}
	}
	for _, server := range slices.Sorted(maps.Keys(g.State.Drains)) {
		orderedAt := g.State.Drains[server]
		g.messenger.DrainCommitted(now, membership.Command{Kind: membership.DrainServer, Server: server, Draining: true, OrderedAt: orderedAt})
	}
}

// notifyRecords tells the records that have changed inside a snapshot.
func (g *Group) notifyRecords(now float64, before map[balancer.Server]registry.Record) {
	if g.Lease == nil {
		return // the coordinator is starting, and reads all records
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

// Restored implements Handler: it replaces the state by a snapshot, after which anything may have changed.
func (g *Group) Restored(now float64, _ uint64, snapshot []byte) {
	drainsBefore := g.State.Drains
	recordsBefore := g.State.Records
	if err := g.State.Restore(snapshot); err != nil { // it leaves alone what is configured locally
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
