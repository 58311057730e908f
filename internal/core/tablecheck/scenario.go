package tablecheck

import (
	"maps"
	"slices"

	"snowquay/balancer"
)

// overloadTolerance is the tolerance for rounding errors in sums of weights, both relative and absolute.
const overloadTolerance = 1e-9

// scenario is a snapshot with one zone lost, or none. Sums are computed in the order of server names, so that they are
// deterministic.
type scenario struct {
	snapshot *Snapshot
	lostZone balancer.Zone
	views    map[*Table]*tableView
}

// tableView holds the properties of a table in a scenario.
type tableView struct {
	hasReadyServer bool               // whether a reachable server is ready and warmed up
	poolShares     map[string]float64 // fraction of the requests sent to each pool
}

// reachable looks up a server and reports whether it can serve requests. Proxies skip servers that do not answer.
func (s *scenario) reachable(name balancer.Server) (Server, bool) {
	server, known := s.snapshot.Servers[name]
	return server, known && server.Phase != balancer.Removed && server.Zone != s.lostZone
}

// view returns the properties of a table. They are computed once per scenario.
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

// checkOverload finds pools that could receive more load than their capacity.
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

// poolCapacities returns the total capacity of each pool's reachable servers. Draining servers count, since they still
// serve proxies that have not applied the drain yet.
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

// maxPoolLoads returns for each pool the sum of the maximum loads that each proxy can send to it with any of its tables.
func (s *scenario) maxPoolLoads() map[string]float64 {
	loads := map[string]float64{}
	maxShares := map[string]float64{} // maximum shares of one proxy, by pool
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
