package tablecheck

import "snowquay/balancer"

// violations is a set of violations.
type violations map[Violation]bool

// bruteForce judges a site by every combination of the proxies' tables in every scenario, for comparison with Check.
func bruteForce(s *Snapshot) violations {
	found := bruteForceProposed(s)
	if len(found) > 0 {
		return found
	}
	picks := make([]int, len(s.Proxies)) // the table that each proxy holds
	for {
		for _, lost := range bruteForceZones(s) {
			bruteForceCombination(s, picks, lost, found)
		}
		if !nextCombination(s, picks) {
			return found
		}
	}
}

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

// bruteForceZones are the zones to lose: none, and those that have servers.
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

// bruteForceCombination judges one table of each proxy with one zone lost.
func bruteForceCombination(s *Snapshot, picks []int, lost balancer.Zone, found violations) {
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
		for name, weight := range proxy.Tables[picks[i]].Weights {
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

// nextCombination counts the proxies' tables up like the digits of a number, and tells whether there is one more.
func nextCombination(s *Snapshot, picks []int) bool {
	for i := range picks {
		picks[i]++
		if picks[i] < len(s.Proxies[i].Tables) {
			return true
		}
		picks[i] = 0
	}
	return false
}
