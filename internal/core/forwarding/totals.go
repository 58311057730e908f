package forwarding

import (
	"maps"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
)

// maxReportedServers is the number of servers with totals. Beyond it the totals of unused servers are evicted.
const maxReportedServers = 16384

// totalsOf returns the totals of a server, or nil if there are too many servers to count another one.
func (p *Proxy) totalsOf(server balancer.Server) *loadreport.Totals {
	if totals := p.serverTotals[server]; totals != nil {
		return totals
	}
	if len(p.serverTotals) >= maxReportedServers {
		p.evictUnusedTotals()
	}
	if len(p.serverTotals) >= maxReportedServers {
		return nil
	}
	totals := &loadreport.Totals{}
	p.serverTotals[server] = totals
	return totals
}

// evictUnusedTotals removes the totals of servers that are in no table and have no attempts in flight.
func (p *Proxy) evictUnusedTotals() {
	for server := range p.serverTotals {
		if !p.Tables.HasServer(server) && p.Admission.InFlightAt(server) == 0 {
			delete(p.serverTotals, server)
		}
	}
}

// recordServerFailure counts a failed attempt for outlier detection and load reports.
func (p *Proxy) recordServerFailure(now float64, server balancer.Server) {
	p.Outliers.RecordFailure(now, server)
	if totals := p.totalsOf(server); totals != nil {
		totals.Failed++
	}
}

// Reports passes the running totals for load reports to the functions: to server those of each server in order of name, to class those
// of each class.
func (p *Proxy) Reports(server func(balancer.Server, loadreport.Totals), class func(balancer.Class, loadreport.Totals)) {
	for _, name := range slices.Sorted(maps.Keys(p.serverTotals)) {
		server(name, *p.serverTotals[name])
	}
	for number, totals := range p.classTotals {
		class(balancer.Class(number), totals)
	}
}
