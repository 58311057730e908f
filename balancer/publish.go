package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minRelativeChange is the relative change above which a weight or an admission rate is sent.
	minRelativeChange = 0.1
	// weightsInterval is the minimum time in seconds between two weight updates of a table.
	weightsInterval = 5.0
	// largeRelativeChange is the relative change of a weight above which the change is too large for drift
	// and indicates a fault. A table is also urgent if more than this fraction of its wanted weights is
	// missing.
	largeRelativeChange = 0.33
	// largeChangeInterval is the minimum time in seconds between two weight updates of a table that has such
	// changes. It leaves time to batch them.
	largeChangeInterval = 1.0
	// smallWeight is the lower bound on the divisor when the relative change of a weight is computed.
	smallWeight = averageWeight / 4
)

// publish sends all changes that the channel allows, and returns how many entries they take in the
// channel. The commands of a group are written together, because each of its proxies is sent them in one
// message.
func (b *Balancer) publish(now float64, sink CommandSink) (written float64) {
	allocated := map[Server]float64{}
	wanted := make([][][]tableEntry, len(b.eligibilitySets)) // by eligibility set and group
	for i := range b.eligibilitySets {
		wanted[i] = b.wantedEntries(now, i, allocated)
	}
	before := b.channel.inFlight.Outstanding()
	for groupIndex, group := range b.groups {
		group.awaitsEntries = false
		for setIndex, table := range group.tables {
			entries := wanted[setIndex][groupIndex]
			b.updateWeights(now, group, table, entries, sink)
			group.awaitsEntries = group.awaitsEntries || len(entries) > 0 && len(table.weights) == 0
			due := now-table.admissionsSentAt >= admissionInterval
			if due && b.entryBudget(now, group, urgencyNormal) >= len(b.classes) {
				b.sendAdmissions(now, group, table, b.eligibilitySets[setIndex].classes, sink)
			}
		}
	}
	b.assignTables(now, sink)
	return max(0, b.channel.inFlight.Outstanding()-before)
}

// assignTables assigns proxies that have joined the tables of their groups, as far as the channel allows.
// A table without its entries waits: it would replace the one that the proxy holds.
func (b *Balancer) assignTables(now float64, sink CommandSink) {
	for _, p := range b.proxies {
		if p.assigned || p.group.awaitsEntries {
			continue
		}
		size := b.joinSize(p)
		if !b.channel.mayAssignTables(now, size) {
			continue
		}
		for i, table := range p.group.tables {
			sink.AssignTable(p.Proxy, table.id, b.eligibilitySets[i].classes)
		}
		p.assigned = true
		p.messageSize = size
		p.group.assignedProxies++
		b.channel.charge(now, size)
	}
}

// tableUpdate is the difference between the current and the wanted entries of a table.
type tableUpdate struct {
	changes  []weightChange // changes that are worth sending, largest first
	wanted   float64        // sum of the wanted weights
	missing  float64        // sum of the wanted weights of servers that are not in the table
	serving  float64        // sum of the current weights of servers that may keep serving
	interval float64        // minimum time in seconds between two updates
	critical bool           // at least one change is critical by itself
}

// updateWeights sends the changed weights of a table, largest changes first. Drains and restarts are sent
// immediately. Changes that exceed the budget are sent in a later round.
func (b *Balancer) updateWeights(now float64, group *proxyGroup, table *weightTable, wanted []tableEntry,
	sink CommandSink) {
	update := b.compare(now, table, wanted)
	budget := b.changeBudget(now, group, table, &update)
	if budget > 0 {
		table.weightsSentAt = now
	}
	missing := update.missing
	for i, change := range update.changes {
		if missing > 0 && change.wanted == 0 && b.isWarmAndReady(now, change.server) {
			continue // keep the server until the missing ones are in the table
		}
		if i >= budget && b.entryBudget(now, group, b.changeUrgency(now, change)) == 0 {
			continue
		}
		sink.SetWeight(table.id, change.server.Server, change.wanted)
		b.chargeEntry(now, group)
		table.apply(change)
		if change.current == 0 {
			missing -= change.wanted
		}
	}
}

// compare returns the difference between a table and its wanted entries, with the changes that are worth
// sending.
func (b *Balancer) compare(now float64, table *weightTable, wanted []tableEntry) tableUpdate {
	update := tableUpdate{interval: weightsInterval}
	for _, change := range b.weightChanges(table, wanted) {
		update.wanted += change.wanted
		if change.server.Phase == Ready && (change.wanted > 0 || b.isWarm(now, change.server)) {
			update.serving += change.current
		}
		if change.current == 0 {
			update.missing += change.wanted
		}
		relative := math.Abs(change.wanted-change.current) / max(change.current, smallWeight)
		staysInTable := change.current > 0 && change.wanted > 0
		if staysInTable && relative > largeRelativeChange {
			update.interval = largeChangeInterval
		}
		addedOrRemoved := (change.current > 0) != (change.wanted > 0)
		if relative > minRelativeChange || addedOrRemoved {
			update.changes = append(update.changes, change)
			update.critical = update.critical || b.changeUrgency(now, change) == urgencyCritical
		}
	}
	slices.SortStableFunc(update.changes, func(left, right weightChange) int {
		return cmp.Compare(right.sortKey(), left.sortKey())
	})
	return update
}

// changeBudget returns how many changes of a table may be sent now, not counting changes that are urgent by
// themselves.
func (b *Balancer) changeBudget(now float64, group *proxyGroup, table *weightTable, update *tableUpdate) int {
	tableUrgency := update.urgency()
	budget := b.entryBudget(now, group, tableUrgency)
	sendsCritical := update.critical && b.entryBudget(now, group, urgencyCritical) > 0
	if sendsCritical { // send the other changes in the same message
		budget = b.channelBudget(now, group, max(tableUrgency, urgencyHigh))
	}
	due := now-table.weightsSentAt >= update.interval || tableUrgency > urgencyNormal || sendsCritical
	if budget <= 0 || !due || len(update.changes) == 0 {
		return 0
	}
	return budget
}

// urgency returns the urgency of the update as a whole: a table that has lost many of its servers is updated
// without delay.
func (update *tableUpdate) urgency() urgency {
	switch {
	case update.serving == 0:
		return urgencyCritical
	case update.missing > largeRelativeChange*update.wanted:
		return urgencyHigh
	default:
		return urgencyNormal
	}
}

// changeUrgency returns the urgency of a single change. Deferred changes are sent with the next update of
// the table.
func (b *Balancer) changeUrgency(now float64, change weightChange) urgency {
	if change.server.Phase != Ready {
		return urgencyCritical
	}
	if b.isWarm(now, change.server) {
		return urgencyDeferred
	}
	if change.wanted == 0 { // the server has moved to another table
		return urgencyHigh
	}
	if change.wanted < change.current/2 { // the server has restarted
		return urgencyCritical
	}
	return urgencyDeferred
}

func (b *Balancer) isWarmAndReady(now float64, srv *server) bool {
	return srv.Phase == Ready && b.isWarm(now, srv)
}
