package experiment

import (
	"cmp"
	"slices"

	"snowquay/internal/settings"
)

// Group holds the records of one fleet, case and arm, ordered by seed.
type Group struct {
	Fleet   string
	Case    string
	Arm     string
	Records []*Record
}

// values returns the value of a metric for each record.
func (g Group) values(metric Metric) []float64 {
	var values []float64
	for _, record := range g.Records {
		values = append(values, metric.Value(record))
	}
	return values
}

// Groups returns the groups that have at least one record, in the order of the experiment's fleets, cases and arms.
func Groups(experiment *settings.Experiment, records map[string]*Record) []Group {
	var groups []Group
	for _, fleet := range experiment.Fleets {
		for _, each := range experiment.Cases {
			for _, arm := range experiment.Arms {
				group := Group{Fleet: fleet.Name, Case: each.Name, Arm: arm.Name}
				for offset := range experiment.Seeds {
					cell := Cell{Fleet: fleet, Case: each, Arm: arm, Seed: experiment.FirstSeed + uint64(offset)}
					if record := records[cell.Name()]; record != nil {
						group.Records = append(group.Records, record)
					}
				}
				if len(group.Records) > 0 {
					groups = append(groups, group)
				}
			}
		}
	}
	return groups
}

// Worst returns the records sorted by the number of broken rules, highest first, and then by service, lowest first.
func Worst(records map[string]*Record) []*Record {
	var sorted []*Record
	for _, record := range records {
		sorted = append(sorted, record)
	}
	slices.SortFunc(sorted, func(a, b *Record) int {
		return cmp.Or(
			cmp.Compare(len(b.Broken()), len(a.Broken())),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Fleet+a.Case+a.Arm, b.Fleet+b.Case+b.Arm),
			cmp.Compare(a.Seed, b.Seed),
		)
	})
	return sorted
}

// Pair holds two kinds of faults and the results of the scenarios that contained both.
type Pair struct {
	A, B    string
	Service Interval
	Broken  int // number of scenarios in which a rule was broken
}

// kindPair is two kinds of faults, in alphabetical order.
type kindPair struct{ first, second string }

// Pairs returns the pairs of fault kinds that occurred in the same scenario, sorted by the number of scenarios with
// broken rules, highest first, and then by mean service, lowest first.
func Pairs(records map[string]*Record) []Pair {
	byPair := map[kindPair][]*Record{}
	for _, record := range Worst(records) {
		seen := map[kindPair]bool{}
		for i, kind := range record.Faults {
			for _, other := range record.Faults[i+1:] {
				pair := kindPair{first: min(kind, other), second: max(kind, other)}
				if !seen[pair] {
					seen[pair] = true
					byPair[pair] = append(byPair[pair], record)
				}
			}
		}
	}
	var pairs []Pair
	for kinds, together := range byPair {
		pairs = append(pairs, newPair(kinds, together))
	}
	slices.SortFunc(pairs, func(a, b Pair) int {
		return cmp.Or(
			cmp.Compare(b.Broken, a.Broken),
			cmp.Compare(a.Service.Mean, b.Service.Mean),
			cmp.Compare(a.A+a.B, b.A+b.B),
		)
	})
	return pairs
}

func newPair(kinds kindPair, records []*Record) Pair {
	pair := Pair{A: kinds.first, B: kinds.second}
	var services []float64
	for _, record := range records {
		services = append(services, record.Service)
		if len(record.Broken()) > 0 {
			pair.Broken++
		}
	}
	pair.Service = Estimate(services)
	return pair
}
