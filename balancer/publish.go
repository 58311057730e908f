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
	// largeRelativeChange is the relative change of a weight that is too large for drift and indicates a
	// fault. It is also the fraction of the wanted weights whose absence makes a table urgent.
	largeRelativeChange = 0.33
	// largeChangeInterval is the minimum time in seconds between two weight updates if there are such
	// changes, which leaves time to batch them.
	largeChangeInterval = 1.0
	// smallWeight is the lower bound on the weight that a change is compared with.
	smallWeight = averageWeight / 4
)

// publish sends all changes, as far as the channel allows, and returns how many entries they take in the
// channel. The commands of a group are written together, because they travel in one message to each of
// its proxies.
func (b *Balancer) publish(now float64, sink CommandSink) (written float64) {
	taken := map[Server]float64{}
	wanted := make([][][]tableEntry, len(b.eligibilitySets)) // by eligibility set and group
	for i := range b.eligibilitySets {
		wanted[i] = b.wantedEntries(now, i, taken)
	}
	before := b.channel.inFlight.Outstanding()
	for groupIndex, group := range b.groups {
		for setIndex, table := range group.tables {
			b.updateWeights(now, group, table, wanted[setIndex][groupIndex], sink)
			due := now-table.admissionsSentAt >= admissionInterval
			if due && b.entryBudget(now, group, urgencyNormal) >= len(b.classes) {
				b.sendAdmissions(now, group, table, b.eligibilitySets[setIndex].classes, sink)
			}
		}
	}
	b.assignTables(now, sink)
	return max(0, b.channel.inFlight.Outstanding()-before)
}

// assignTables assigns the tables of their groups to proxies that have joined, as far as the channel
// allows.
func (b *Balancer) assignTables(now float64, sink CommandSink) {
	for _, p := range b.proxies {
		if p.bound {
			continue
		}
		size := b.joinSize(p)
		if !b.channel.mayJoin(now, size) {
			continue
		}
		for i, table := range p.group.tables {
			sink.AssignTable(p.Proxy, table.id, b.eligibilitySets[i].classes)
		}
		p.bound = true
		p.messageSize = size
		p.group.boundProxies++
		b.channel.charge(now, size)
	}
}

// tableUpdate is the difference between the current and the wanted entries of a table.
type tableUpdate struct {
	changes  []weightChange // worth sending, largest first
	wanted   float64        // sum of the wanted weights
	missing  float64        // sum of the wanted weights of servers that are not in the table
	serving  float64        // sum of the current weights of servers that may keep serving
	interval float64        // minimum seconds between two updates
	critical bool           // some change is urgent in itself
}

// updateWeights sends the changed weights of a table, the largest changes first. Drains and restarts
// are sent immediately. Changes that exceed the budget remain for a later round.
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
			continue // keep it until the missing servers are in the table
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

// compare returns the changes of a table that are worth sending.
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
		return cmp.Compare(right.size(), left.size())
	})
	return update
}

// changeBudget returns how many changes of a table may be sent now, not counting those that are urgent
// in themselves.
func (b *Balancer) changeBudget(now float64, group *proxyGroup, table *weightTable, update *tableUpdate) int {
	tableUrgency := update.urgency()
	budget := b.entryBudget(now, group, tableUrgency)
	sendsCritical := update.critical && b.entryBudget(now, group, urgencyCritical) > 0
	if sendsCritical { // send the other changes with the same message
		budget = b.channelBudget(now, group, max(tableUrgency, urgencyHigh))
	}
	due := now-table.weightsSentAt >= update.interval || tableUrgency > urgencyNormal || sendsCritical
	if budget <= 0 || !due || len(update.changes) == 0 {
		return 0
	}
	return budget
}

// urgency is the urgency of the table as a whole: a table that has lost many of its servers does not
// wait.
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

// changeUrgency is the urgency of a single change. Deferred changes are sent with the next update of
// the table.
func (b *Balancer) changeUrgency(now float64, change weightChange) urgency {
	if change.server.Phase != Ready {
		return urgencyCritical
	}
	if b.isWarm(now, change.server) {
		return urgencyDeferred
	}
	if change.wanted == 0 { // another table has taken it over
		return urgencyHigh
	}
	if change.wanted < change.current/2 { // it has restarted
		return urgencyCritical
	}
	return urgencyDeferred
}

func (b *Balancer) isWarmAndReady(now float64, srv *server) bool {
	return srv.Phase == Ready && b.isWarm(now, srv)
}
