// Package picker picks servers in proportion to their weights: by earliest deadline first, which keeps any sequence of picks close to the
// weights, or at random. Both algorithms change an entry in logarithmic time, and neither causes bursts of picks of one server when a table
// changes. The package does no I/O and reads no clock.
package picker

import (
	"cmp"
	"slices"

	"snowquay/balancer"
)

// Entry is an entry of a table.
type Entry struct {
	Server balancer.Server `json:"Server"`
	Weight float64         `json:"Weight"` // above 0
}

// Table picks servers by weight.
type Table interface {
	// Set sets the weight of a server. A weight that is not positive and finite removes the server.
	Set(server balancer.Server, weight float64)
	// Weight returns the weight of a server, or 0 if it is not in the table.
	Weight(server balancer.Server) float64
	// Len returns the number of servers.
	Len() int
	// Entries returns all entries, sorted by server.
	Entries() []Entry
	// Pick picks a server that allowed accepts; nil accepts all. ok is false if there is none.
	Pick(allowed func(balancer.Server) bool) (server balancer.Server, ok bool)
}

// Replace replaces the entries of a table. Servers that were already in it keep their position in the rotation.
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

func sortByServer(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Server, b.Server) })
}
