package balancer

import "math"

// Weights are relative capacities. They need not be integers.
const (
	// minWeight is the minimum weight: 1/16 of the average, which is enough traffic to detect that a server
	// has recovered.
	minWeight = 8.0
	// averageWeight is the weight of a server with an average intake. It is about half of the maximum, so
	// that a weight can double.
	averageWeight = 128.0
	// maxWeight is the maximum weight.
	maxWeight = 255.0
	// weightSteps is the number of steps per unit of weight to which weights are rounded.
	weightSteps = 8
	// unobservedFraction is the fraction of the total intake for all servers together that were added at run
	// time and have not been observed yet. It is small because the list may contain servers that do not
	// exist.
	unobservedFraction = 0.1
)

// candidate is a server that is eligible for a table.
type candidate struct {
	server     *server
	warm       bool
	intake     float64 // requests per second from the classes of the table
	safeIntake float64 // upper bound on the intake that the server can safely handle
}

// intakeSummary holds aggregate values of the candidates for a table.
type intakeSummary struct {
	mean         float64 // mean intake of the observed servers, or an estimate if there are none
	observed     float64 // number of observed servers that have completed their slow start
	listedWeight float64 // sum of the listed weights
	demand       float64 // demand of all classes in requests per second
}

// wantedEntries returns the wanted entries of each group's table for one eligibility set, scaled to the
// current weights of the table. Narrow sets must be computed first: allocated accumulates the demand that
// they allocate to each server, which is subtracted from the server's intake in wider sets.
func (b *Balancer) wantedEntries(now float64, setIndex int, allocated map[Server]float64) [][]tableEntry {
	set := b.eligibilitySets[setIndex]
	candidates, summary := b.candidates(now, set)
	for i := range candidates {
		b.estimateCandidate(now, &candidates[i], len(candidates), &summary, allocated)
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
		allocated[c.server.Server] += demand * c.intake / max(total, epsilon)
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

// candidates returns the ready servers in the zones of an eligibility set and their summary. The intakes of
// the candidates are not set yet.
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

// estimateCandidate sets the intake and the safe intake of a candidate, less the demand that narrower sets
// have allocated to it.
func (b *Balancer) estimateCandidate(now float64, cand *candidate, count int, summary *intakeSummary,
	allocated map[Server]float64) {
	srv := cand.server
	slowStart := b.slowStartFraction(now, srv)
	intake := slowStart * summary.mean
	switch {
	case summary.observed == 0 && summary.listedWeight > 0: // a new coordinator uses the listed weights
		intake *= srv.Weight * float64(count) / summary.listedWeight
	case srv.observed && slowStart >= 1:
		intake = srv.intake
	}
	addedLater := srv.discoveredAt > 0
	if addedLater && !srv.observed {
		unobserved := float64(count) - summary.observed
		intake = min(intake, unobservedFraction*summary.mean*summary.observed/unobserved)
	}
	cand.intake = max(intake-allocated[srv.Server], minWeight/averageWeight*summary.mean)
	cand.safeIntake = max(b.safeIntake(now, srv)-allocated[srv.Server], 0)
	if cand.warm {
		cand.safeIntake = max(cand.safeIntake, summary.mean/maxWeight) // keep the server in the table
	}
}

// canBoundIntakes reports whether enough is known about the servers to apply boundIntakes.
func (b *Balancer) canBoundIntakes(candidates []candidate) bool {
	if b.completionRates.Count() <= 0 || b.attemptRate <= 0 {
		return false
	}
	for i := range candidates {
		if candidates[i].safeIntake > 0 {
			return true
		}
	}
	return false
}

// scaleToTable converts intakes to weights on the scale of the current weights of a table, so that
// servers whose intake has not changed keep their weight. An empty table uses the given scale.
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
	largest := epsilon
	for _, entry := range entries {
		largest = max(largest, entry.weight)
	}
	scale = min(scale, maxWeight/largest)
	for i := range entries {
		weight := entries[i].weight * scale
		entries[i].weight = max(math.Round(weight*weightSteps)/weightSteps, 1)
	}
}
