package balancer

import "math"

// Weights are relative capacities, as in the design: a whole number is not needed, an eighth is their
// grain.
const (
	// minWeight is the least weight: 1/16 of an average server's, enough to notice that a server has
	// recovered.
	minWeight = 8.0
	// averageWeight is the weight of a server with an average intake: half of the largest, so that it can
	// double.
	averageWeight = 128.0
	// maxWeight is the largest relative capacity.
	maxWeight = 255.0
	// weightSteps is the number of steps that a weight of 1 is divided into.
	weightSteps = 8
	// unobservedFraction is the part of all intakes that the servers together get which were added while
	// the coordinator ran and are not observed yet: the list may name servers that do not exist.
	unobservedFraction = 0.1
)

// candidate is a server that a table may name.
type candidate struct {
	server     *server
	warm       bool
	intake     float64 // requests a second that it is to get from the classes of the table
	safeIntake float64 // of it, what the server can surely take
}

// intakeSummary is what the candidates for a table have in common.
type intakeSummary struct {
	mean         float64 // intake of the observed ones that have finished their slow start, or a guess
	observed     float64 // how many these are
	listedWeight float64 // sum of the weights in the endpoint list
	demand       float64 // of all classes, requests a second
}

// wantedEntries gives, for one eligibility set, the entries that each group's table is to have, on the
// scale of the weights that it holds. Each server's part of the requests is added to taken: narrower
// sets come first, and what they bring to a server is taken off its intake in the wider ones.
func (b *Balancer) wantedEntries(now float64, setIndex int, taken map[Server]float64) [][]tableEntry {
	set := b.eligibilitySets[setIndex]
	candidates, summary := b.candidates(now, set)
	for i := range candidates {
		b.estimateCandidate(now, &candidates[i], len(candidates), &summary, taken)
	}
	demand := offeredRate(b.proxies, nil, set.classes)
	if b.canBoundIntakes(candidates) {
		boundIntakes(candidates, b.attemptRate*demand/summary.demand)
	}
	total := 0.0
	for _, c := range candidates {
		total += c.intake
	}
	for _, c := range candidates {
		taken[c.server.Server] += demand * c.intake / total
	}
	var wanted [][]tableEntry
	if set.zoneLocal {
		wanted = b.zoneServers(candidates)
	} else {
		wanted = b.partitionServers(candidates, total)
	}
	for i, group := range b.groups {
		b.scaleToTable(wanted[i], group.tables[setIndex], set, averageWeight/summary.mean)
	}
	return wanted
}

// candidates are the ready servers of an eligibility set's zones, without estimates.
func (b *Balancer) candidates(now float64, set *eligibilitySet) ([]candidate, intakeSummary) {
	var candidates []candidate
	var summary intakeSummary
	intakes := 0.0
	for _, srv := range b.servers {
		if srv.Phase != Ready || !srv.inZones(set.zones) {
			continue
		}
		candidates = append(candidates, candidate{server: srv, warm: b.isWarm(now, srv)})
		summary.listedWeight += srv.Weight
		if srv.observed && b.slowStartFraction(now, srv) >= 1 {
			intakes += srv.intake
			summary.observed++
		}
	}
	summary.demand = max(offeredRate(b.proxies, nil, allClasses), minRequestRate)
	if summary.observed == 0 {
		summary.mean = summary.demand / float64(max(len(b.servers), 1))
	} else {
		summary.mean = max(intakes/max(summary.observed, 1), minRequestRate/averageWeight)
	}
	return candidates, summary
}

// estimateCandidate sets the intake that a candidate is to get, and what it can surely take, less what
// narrower sets have taken already.
func (b *Balancer) estimateCandidate(now float64, entry *candidate, count int, summary *intakeSummary,
	taken map[Server]float64) {
	srv := entry.server
	slowStart := b.slowStartFraction(now, srv)
	intake := slowStart * summary.mean
	switch {
	case summary.observed == 0 && summary.listedWeight > 0: // a fresh coordinator goes by the listed weights
		intake *= srv.Weight * float64(count) / summary.listedWeight
	case srv.observed && slowStart >= 1:
		intake = srv.intake
	}
	addedLater := srv.discoveredAt > 0
	if addedLater && !srv.observed {
		unobserved := float64(count) - summary.observed
		intake = min(intake, unobservedFraction*summary.mean*summary.observed/unobserved)
	}
	entry.intake = max(intake-taken[srv.Server], minWeight/averageWeight*summary.mean)
	entry.safeIntake = max(b.safeIntake(now, srv)-taken[srv.Server], 0)
	if entry.warm {
		entry.safeIntake = max(entry.safeIntake, summary.mean/maxWeight) // it keeps an entry
	}
}

// canBoundIntakes tells whether enough is known to bound the intakes.
func (b *Balancer) canBoundIntakes(candidates []candidate) bool {
	if b.completionRates.Entries() <= 0 || b.attemptRate <= 0 {
		return false
	}
	for i := range candidates {
		if candidates[i].safeIntake > 0 {
			return true
		}
	}
	return false
}

// scaleToTable turns intakes into weights on the scale of those that a table holds, so that servers
// whose part has not changed keep their weights. A table without entries gets the given scale.
func (b *Balancer) scaleToTable(entries []tableEntry, table *weightTable, set *eligibilitySet,
	scale float64) {
	current := 0.0
	wanted := 0.0
	for _, entry := range b.entries(table) {
		if entry.server.Phase == Ready && entry.server.inZones(set.zones) {
			current += entry.weight
			wanted += weightOf(entries, entry.server)
		}
	}
	if current > 0 && wanted > 0 {
		scale = current / wanted
	}
	largest := tiny
	for _, entry := range entries {
		largest = max(largest, entry.weight)
	}
	scale = min(scale, maxWeight/largest)
	for i := range entries {
		weight := entries[i].weight * scale
		entries[i].weight = max(math.Round(weight*weightSteps)/weightSteps, 1)
	}
}
