package emulator

import (
	"math"
	"net/netip"
	"slices"

	"snowquay/internal/core/loadreport"
	"snowquay/internal/env"
	"snowquay/internal/wire/sasp"
)

// entry is an entry of a weight table: a server and its weight.
type entry struct {
	server netip.AddrPort
	weight float64
	credit float64 // current weight in smooth weighted round robin
}

// table is the weight table of a class.
type table struct {
	entries []*entry
}

func newTable(servers []netip.AddrPort) *table {
	created := &table{}
	for _, server := range servers {
		created.entries = append(created.entries, &entry{server: server, weight: 1})
	}
	return created
}

// target is the relay's state of a server that it has started attempts to.
type target struct {
	conn         env.Conn   // 0 if there is no connection
	open         bool       // whether the connection is established
	queued       []*attempt // attempts to send when the connection is established
	failures     int        // number of consecutive failures
	inFlight     int        // number of open attempts
	ejectedUntil float64    // clock time in seconds until which the server is ejected
	totals       loadreport.Totals
}

func (t *target) ejected(now float64) bool { return t != nil && now < t.ejectedUntil }

// TableServers returns the servers of the entries in all tables. A server can occur several times.
func (r *Relay) TableServers() []netip.AddrPort {
	var servers []netip.AddrPort
	for _, table := range r.tables {
		for _, entry := range table.entries {
			servers = append(servers, entry.server)
		}
	}
	return servers
}

func (r *Relay) applyRow(t *table, row sasp.Row) {
	weight := float64(row.Weight)
	if row.Flags&sasp.Quiesce != 0 {
		weight = 0
	}
	r.setWeight(t, row.AddrPort(), weight)
}

func (r *Relay) setWeight(t *table, server netip.AddrPort, weight float64) {
	if r.Policy == RoundRobin {
		return
	}
	index := slices.IndexFunc(t.entries, func(e *entry) bool { return e.server == server })
	if index < 0 {
		if weight == 0 {
			return
		}
		index = len(t.entries)
		t.entries = append(t.entries, &entry{server: server})
	}
	changed := t.entries[index]
	before := changed.weight
	changed.weight = weight
	sum := 0.0
	highestCredit := math.Inf(-1)
	for _, other := range t.entries {
		sum += other.weight
		if other != changed && other.weight > 0 {
			highestCredit = max(highestCredit, other.credit)
		}
	}
	if before == 0 && !math.IsInf(highestCredit, 0) { // a new entry starts at a random position in the rotation
		changed.credit = highestCredit - r.random.uniform()*sum
	}
}

// reportTables reports to the checker whether each table has a usable entry.
func (r *Relay) reportTables(now float64) {
	for class, table := range r.tables {
		hasEntry := slices.ContainsFunc(table.entries, func(e *entry) bool { return e.weight > 0 })
		r.checker.tableChanged(now, r.UID, class, hasEntry)
	}
}

// pickServer picks a server that the request has not been sent to. It avoids ejected servers unless all are ejected.
func (r *Relay) pickServer(now float64, req *request) (netip.AddrPort, bool) {
	if r.Policy == PowerOfTwoChoices {
		if server, ok := r.pickOfTwo(now, req); ok {
			return server, true
		}
	}
	if server, ok := r.pickByWeight(now, req, true); ok {
		return server, true
	}
	return r.pickByWeight(now, req, false)
}

// pickByWeight picks a server by smooth weighted round robin.
func (r *Relay) pickByWeight(now float64, req *request, avoidEjected bool) (netip.AddrPort, bool) {
	var best *entry
	sum := 0.0
	for _, candidate := range r.tables[req.class].entries {
		if candidate.weight <= 0 || slices.Contains(req.triedServers, candidate.server) {
			continue
		}
		if avoidEjected && r.targets[candidate.server].ejected(now) {
			continue
		}
		sum += candidate.weight
		candidate.credit += candidate.weight
		if best == nil || candidate.credit > best.credit {
			best = candidate
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	best.credit -= sum
	return best.server, true
}

// pickOfTwo draws two random servers that are not ejected, and picks the one with fewer attempts of this relay in flight.
func (r *Relay) pickOfTwo(now float64, req *request) (netip.AddrPort, bool) {
	var candidates []netip.AddrPort
	for _, entry := range r.tables[req.class].entries {
		if entry.weight > 0 && !slices.Contains(req.triedServers, entry.server) && !r.targets[entry.server].ejected(now) {
			candidates = append(candidates, entry.server)
		}
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	first := candidates[r.random.IntN(len(candidates))]
	second := candidates[r.random.IntN(len(candidates))]
	if r.inFlight(second) < r.inFlight(first) {
		return second, true
	}
	return first, true
}

func (r *Relay) inFlight(server netip.AddrPort) int {
	if target := r.targets[server]; target != nil {
		return target.inFlight
	}
	return 0
}
