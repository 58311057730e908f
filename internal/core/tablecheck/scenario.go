package tablecheck

import (
	"maps"
	"slices"

	"snowquay/balancer"
)

// overloadTolerance is the part by which sums of weights may be rounded.
const overloadTolerance = 1e-9

// scenario is a snapshot with one zone lost, or none. Its sums are made in the order of server names, so that they are the
// same in every run.
type scenario struct {
	snapshot *Snapshot
	lostZone balancer.Zone
	views    map[*Table]*tableView
}

// tableView is what a table means in a scenario.
type tableView struct {
	hasReadyServer bool               // a server that is ready and warmed up
	poolShares     map[string]float64 // part of the requests that goes to each pool
}

// reachable finds a server that may be sent a request at all. Proxies skip servers that do not answer.
func (s *scenario) reachable(name balancer.Server) (Server, bool) {
	server, known := s.snapshot.Servers[name]
	return server, known && server.Phase != balancer.Removed && server.Zone != s.lostZone
}

// view looks at a table, once in a scenario.
func (s *scenario) view(table *Table) *tableView {
	view := s.views[table]
	if view != nil {
		return view
	}
	view = &tableView{poolShares: map[string]float64{}}
	s.views[table] = view
	names := slices.Sorted(maps.Keys(table.Weights))
	sum := 0.0
	for _, name := range names {
		server, ok := s.reachable(name)
		if !ok {
			continue
		}
		weight := table.Weights[name]
		sum += weight
		if server.Phase == balancer.Ready && !server.WarmingUp && weight > 0 {
			view.hasReadyServer = true
		}
	}
	for _, name := range names {
		server, ok := s.reachable(name)
		if ok && server.Pool != "" && sum > 0 {
			view.poolShares[server.Pool] += table.Weights[name] / sum
		}
	}
	return view
}

// checkEmptyTables finds proxies that may hold a table without a server that is ready and warmed up.
func (s *scenario) checkEmptyTables() (findings []Finding) {
	isEmpty := func(table *Table) bool { return !s.view(table).hasReadyServer }
	for _, proxy := range s.snapshot.Proxies {
		if slices.ContainsFunc(proxy.Tables, isEmpty) {
			findings = append(findings,
				Finding{Violation: EmptyTable, UID: proxy.UID, Class: proxy.Class, LostZone: s.lostZone})
		}
	}
	return findings
}

// checkOverload finds pools that could be sent more than their capacity.
func (s *scenario) checkOverload() (findings []Finding) {
	capacities := s.poolCapacities()
	for pool, load := range s.maxPoolLoads() {
		capacity := capacities[pool]
		if load > capacity*(1+overloadTolerance)+overloadTolerance {
			findings = append(findings,
				Finding{Violation: Overload, Pool: pool, LostZone: s.lostZone, Load: load, Capacity: capacity})
		}
	}
	return findings
}

// poolCapacities adds up the capacities of the reachable servers. One that drains counts, since it still serves proxies
// that do not know of the drain yet.
func (s *scenario) poolCapacities() map[string]float64 {
	capacities := map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(s.snapshot.Servers)) {
		server, ok := s.reachable(name)
		if server.Pool == "" {
			continue
		}
		usable := 1.0
		if server.WarmingUp {
			usable = s.snapshot.WarmupFraction
		}
		if !ok {
			usable = 0
		}
		capacities[server.Pool] += server.Capacity * usable
	}
	if s.snapshot.MaxUtilization > 0 {
		for pool := range capacities {
			capacities[pool] *= s.snapshot.MaxUtilization
		}
	}
	return capacities
}

// maxPoolLoads adds up the most that each proxy can send to each pool by any of its tables.
func (s *scenario) maxPoolLoads() map[string]float64 {
	loads := map[string]float64{}
	maxShares := map[string]float64{} // of one proxy
	for _, proxy := range s.snapshot.Proxies {
		clear(maxShares)
		for _, table := range proxy.Tables {
			for pool, share := range s.view(table).poolShares {
				maxShares[pool] = max(maxShares[pool], share)
			}
		}
		for pool, share := range maxShares {
			loads[pool] += share * proxy.Demand
		}
	}
	return loads
}
