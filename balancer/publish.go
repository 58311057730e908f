package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minRelativeChange is the part of the held value that a change of a weight or an admission rate must
	// exceed to be sent.
	minRelativeChange = 0.1
	// weightsInterval is the time in seconds between two messages with weights of one table.
	weightsInterval = 5.0
	// largeRelativeChange is the part of the held weight that only a fault moves it by, not drift. As a
	// part of what a table wants in servers that serve, it is the lack from which on the table does not
	// wait.
	largeRelativeChange = 0.33
	// largeChangeInterval is the time in seconds between two messages while weights are off by that: time
	// to gather others like it.
	largeChangeInterval = 1.0
	// smallWeight is the weight below which changes are measured against it, not against the weight held.
	smallWeight = averageWeight / 4
)

// publish sends what has changed, as far as the channel allows. A group's commands stand together,
// since they travel in one message to each of its proxies.
func (b *Balancer) publish(now float64, sink CommandSink) {
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
	size := b.channel.inFlight.Outstanding() - before
	if size > 0 {
		b.requestAck(size, sink)
	}
}

// assignTables binds the proxies that have joined to the tables of their groups, as far as the channel
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

// tableUpdate is how a table differs from what is wanted of it.
type tableUpdate struct {
	changes  []weightChange // those worth sending, largest first
	wanted   float64        // sum of the wanted weights
	missing  float64        // of it, weights of servers that the table does not hold
	serving  float64        // sum of the held weights that may go on serving
	interval float64        // seconds between two messages with weights
	critical bool           // some change must go at once
}

// updateWeights sends the weights of a table that have changed, largest changes first, and at once what
// drains or has restarted. What the channel does not allow yet is sent in a later round.
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
			continue // it serves until the wanted ones are in the table
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

// compare finds the changes of a table that are worth sending.
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

// changeBudget is how many changes of a table may be sent now, besides those that are urgent by
// themselves.
func (b *Balancer) changeBudget(now float64, group *proxyGroup, table *weightTable, update *tableUpdate) int {
	tableUrgency := update.urgency()
	budget := b.entryBudget(now, group, tableUrgency)
	sendsCritical := update.critical && b.entryBudget(now, group, urgencyCritical) > 0
	if sendsCritical { // the message that has to go takes the other changes along
		budget = b.channelBudget(now, group, max(tableUrgency, urgencyHigh))
	}
	due := now-table.weightsSentAt >= update.interval || tableUrgency > urgencyNormal || sendsCritical
	if budget <= 0 || !due || len(update.changes) == 0 {
		return 0
	}
	return budget
}

// urgency is that of the table as a whole: one that has lost much of its servers does not wait.
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

// changeUrgency is how urgent a change is by itself, or that it waits for its table's turn.
func (b *Balancer) changeUrgency(now float64, change weightChange) urgency {
	if change.server.Phase != Ready {
		return urgencyCritical
	}
	if b.isWarm(now, change.server) {
		return urgencyDeferred
	}
	if change.wanted == 0 { // another table takes it over
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
