package controlplane

import (
	"cmp"
	"maps"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/pacing"
)

// publishChanges queues an update for every proxy whose tables changed in the current round.
func (f *Fleet) publishChanges(now float64) {
	slices.SortFunc(f.changedTables, func(a, b *desiredTable) int { return cmp.Compare(a.id, b.id) })
	for _, table := range f.changedTables {
		f.keepLastReadyServers(now, table)
		priority := pacing.Normal
		if table.urgent {
			priority = pacing.Urgent
			table.urgentVersion = table.Version()
		}
		for _, id := range slices.Sorted(maps.Keys(table.classesByProxy)) {
			f.publishTo(now, f.proxies[id], table, priority)
		}
		table.changed = false
		table.urgent = false
		table.changedEntries = 0
		table.changedAdmissions = 0
	}
	f.changedTables = f.changedTables[:0]
}

// publishTo queues a table's changes of the current round for one proxy.
func (f *Fleet) publishTo(now float64, proxy *Proxy, table *desiredTable, priority pacing.Priority) {
	if proxy.trace.DecidedAt == 0 || !proxy.inFlight {
		proxy.trace = f.roundTrace
	}
	if table.urgent && !proxy.urgent {
		proxy.urgent = true
		proxy.urgentSince = now
	}
	entries := table.changedEntries * float64(table.classesByProxy[proxy.ID]) // each entry is sent once per class
	if proxy.SupportsAdmission {
		entries += table.changedAdmissions
	}
	if !proxy.Polls && entries > 0 {
		f.enqueue(now, proxy, entries, priority)
	}
}

// keepLastReadyServers restores the entries removed from a table if the table would be left without a server that is
// ready and warmed up, while the removed ones still are. No decision, whatever its reason, may leave proxies without a
// server. The cost is that proxies continue sending to servers that may fail all requests.
func (f *Fleet) keepLastReadyServers(now float64, table *desiredTable) {
	removed := table.removedReady
	table.removedReady = table.removedReady[:0]
	if len(removed) == 0 || len(table.classesByProxy) == 0 || f.site.DisabledGuards[GuardLastServers] {
		return
	}
	for entry := range table.ChangedSince(0) {
		phase, _ := f.Registry.Phase(entry.Server)
		if entry.Weight > 0 && phase == balancer.Ready &&
			!f.Registry.WarmingUp(now, entry.Server, f.site.Guarantees.WarmupDuration) {
			return
		}
	}
	f.Stats.TablesRejected++
	for _, entry := range removed {
		table.Set(now, entry.server, entry.weight)
	}
}

// enqueue adds entries to those queued for a proxy.
func (f *Fleet) enqueue(now float64, proxy *Proxy, entries float64, priority pacing.Priority) {
	if proxy.inFlight {
		f.sendQueue.Suspend(proxy.ID)
	}
	// An entry that changes several times while the proxy is queued is sent once, so it counts once.
	capacity := max(f.maxMessageEntries(proxy)-f.sendQueue.QueuedEntries(proxy.ID), 0)
	f.sendQueue.Add(now, proxy.ID, min(entries, capacity), priority)
}

// maxMessageEntries returns the maximum size of a message to a proxy: the entries of its tables, those removed from
// them, and one for the message itself.
func (f *Fleet) maxMessageEntries(proxy *Proxy) float64 {
	entries := 0.0
	for class := range proxy.Tables {
		if state := &proxy.Tables[class]; state.Assigned {
			table := f.tables[state.Table]
			entries += float64(table.TotalLen() + len(table.Admissions()))
		}
	}
	return entries + 1
}
