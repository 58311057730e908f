// Package picker picks servers in proportion to their weights: by earliest deadline first, which keeps every run of picks close to
// the weights, or at random. Both change an entry in logarithmic time, and neither bunches picks when a table changes. It is pure.
package picker

import (
	"cmp"
	"math"
	"slices"

	"snowquay/balancer"
)

// Entry of a table.
type Entry struct {
	Server balancer.Server `json:"Server"`
	Weight float64         `json:"Weight"` // above 0
}

// Table picks servers by weight.
type Table interface {
	// Set changes the weight of a server. A weight that is not positive and finite removes it.
	Set(server balancer.Server, weight float64)
	// Weight returns the weight of a server; 0: it is not in the table.
	Weight(server balancer.Server) float64
	// Len returns the number of servers.
	Len() int
	// Entries returns all entries, sorted by server.
	Entries() []Entry
	// Pick returns a server that allowed accepts; nil accepts all. ok is false if there is none.
	Pick(allowed func(balancer.Server) bool) (server balancer.Server, ok bool)
}

// Replace makes a table hold these entries and no others. Servers that stay keep their place in the rotation.
func Replace(table Table, entries []Entry) {
	wanted := make(map[balancer.Server]bool, len(entries))
	for _, entry := range entries {
		wanted[entry.Server] = true
		table.Set(entry.Server, entry.Weight)
	}
	for _, entry := range table.Entries() {
		if !wanted[entry.Server] {
			table.Set(entry.Server, 0)
		}
	}
}

func validWeight(weight float64) bool { return weight > 0 && !math.IsInf(weight, 0) }

func sortByServer(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Server, b.Server) })
}
