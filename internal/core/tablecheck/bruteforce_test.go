package tablecheck

import "snowquay/balancer"

// violations is a set of kinds of violations.
type violations map[Violation]bool

// bruteForce evaluates every combination of the proxies' tables in every scenario, for comparison with Check.
func bruteForce(s *Snapshot) violations {
	found := bruteForceProposed(s)
	if len(found) > 0 {
		return found
	}
	selection := make([]int, len(s.Proxies)) // index of the table that each proxy holds
	for {
		for _, lost := range bruteForceZones(s) {
			bruteForceCombination(s, selection, lost, found)
		}
		if !nextCombination(s, selection) {
			return found
		}
	}
}

// bruteForceProposed checks the entries of the proposed tables.
func bruteForceProposed(s *Snapshot) violations {
	found := violations{}
	for _, proxy := range s.Proxies {
		for name, weight := range proxy.Tables[0].Weights {
			server, ok := s.Servers[name]
			switch {
			case !ok || weight <= 0:
				found[UnknownServer] = true
			case server.Phase != balancer.Ready:
				found[DrainingServer] = true
			}
		}
	}
	return found
}

// bruteForceZones returns the zones to lose: -1 for none, and those that have servers.
func bruteForceZones(s *Snapshot) []balancer.Zone {
	zones := []balancer.Zone{-1}
	if !s.CheckZoneLoss {
		return zones
	}
	for zone := range balancer.Zone(3) {
		for _, server := range s.Servers {
			if server.Zone == zone {
				zones = append(zones, zone)
				break
			}
		}
	}
	return zones
}

// bruteForceCombination evaluates one table of each proxy with one zone lost.
func bruteForceCombination(s *Snapshot, selection []int, lost balancer.Zone, found violations) {
	capacities := map[string]float64{}
	for _, server := range s.Servers {
		capacity := server.Capacity
		if server.WarmingUp {
			capacity *= s.WarmupFraction
		}
		if server.Phase == balancer.Removed || server.Zone == lost {
			capacity = 0
		}
		capacities[server.Pool] += capacity
	}
	loads := map[string]float64{}
	for i, proxy := range s.Proxies {
		reachable := map[balancer.Server]float64{} // weights
		sum := 0.0
		hasReadyServer := false
		for name, weight := range proxy.Tables[selection[i]].Weights {
			server, ok := s.Servers[name]
			if !ok || server.Phase == balancer.Removed || server.Zone == lost {
				continue
			}
			reachable[name] = weight
			sum += weight
			hasReadyServer = hasReadyServer || server.Phase == balancer.Ready && !server.WarmingUp
		}
		if !hasReadyServer {
			found[EmptyTable] = true
		}
		for name, weight := range reachable {
			loads[s.Servers[name].Pool] += proxy.Demand * weight / sum
		}
	}
	for pool, load := range loads {
		if pool != "" && load > capacities[pool]*(1+1e-6)+1e-6 {
			found[Overload] = true
		}
	}
}

// nextCombination advances to the next combination of tables like a counter, and reports whether there is one.
func nextCombination(s *Snapshot, selection []int) bool {
	for i := range selection {
		selection[i]++
		if selection[i] < len(s.Proxies[i].Tables) {
			return true
		}
		selection[i] = 0
	}
	return false
}
