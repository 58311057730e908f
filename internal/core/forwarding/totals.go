package forwarding

import (
	"maps"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
)

const maxReportedServers = 16384 // those that are in no table are forgotten first

// totalsOf returns the totals of a server; nil: there are too many servers.
func (p *Proxy) totalsOf(server balancer.Server) *loadreport.Totals {
	if totals := p.serverTotals[server]; totals != nil {
		return totals
	}
	if len(p.serverTotals) >= maxReportedServers {
		p.forgetUnusedTotals()
	}
	if len(p.serverTotals) >= maxReportedServers {
		return nil
	}
	totals := &loadreport.Totals{}
	p.serverTotals[server] = totals
	return totals
}

func (p *Proxy) forgetUnusedTotals() {
	for server := range p.serverTotals {
		if !p.Tables.HasServer(server) && p.Admission.InFlightAt(server) == 0 {
			delete(p.serverTotals, server)
		}
	}
}

func (p *Proxy) recordServerFailure(now float64, server balancer.Server) {
	p.Outliers.RecordFailure(now, server)
	if totals := p.totalsOf(server); totals != nil {
		totals.Failed++
	}
}

// Reports calls the functions with the totals since the start, by server in the order of their names and by class, for load reports.
func (p *Proxy) Reports(server func(balancer.Server, loadreport.Totals), class func(balancer.Class, loadreport.Totals)) {
	for _, name := range slices.Sorted(maps.Keys(p.serverTotals)) {
		server(name, *p.serverTotals[name])
	}
	for number, totals := range p.classTotals {
		class(balancer.Class(number), totals)
	}
}
