package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	// groupConnectionFraction is the part of a server's connections that the proxies of one group may take.
	groupConnectionFraction = 0.25
	// tableTransferSeconds is the time in seconds within which the channel must carry a group's whole
	// table.
	tableTransferSeconds = 1.0
	// tableWidth is the number of servers in a group's table: few connections, and the loss of one is a
	// twelfth.
	tableWidth = 12.0
	// minGroupProxies is the least number of proxies in a group, so that there are few tables.
	minGroupProxies = 5.0
	// minIntakeFraction is the part of a server's intake that is not worth an entry in a second table.
	minIntakeFraction = 0.1
)

// createGroups divides the proxies where one table for all would take too many of the servers'
// connections, or keep the channel busy for too long. All coordinators divide them alike. Without that,
// groups by zone are made only for classes that stay in their zone.
func (b *Balancer) createGroups(firstZone Zone) {
	zones := b.zones(firstZone)
	proxies := float64(b.dataPlane.Proxies)
	servers := float64(len(b.servers))
	ownProxies := proxies / float64(max(b.dataPlane.Coordinators, 1))
	byTransfer := ownProxies * servers / max(b.channel.EntriesPerSecond*tableTransferSeconds, 1)
	byConnections := proxies / cmp.Or(b.dataPlane.MinConnections*groupConnectionFraction, math.Inf(1))
	count := max(byTransfer, byConnections)
	if count > 1 {
		count = max(count, min(servers/tableWidth, ownProxies/minGroupProxies))
	} else if !slices.ContainsFunc(b.eligibilitySets, func(set *eligibilitySet) bool { return set.zoneLocal }) {
		zones = zones[:1]
	}
	perZone := int(math.Ceil(max(count, 1) / float64(len(zones))))
	for _, zone := range zones {
		for range perZone {
			b.addGroup(zone)
		}
	}
}

// zones are those of all servers and that of the first proxy, in order.
func (b *Balancer) zones(firstZone Zone) []Zone {
	zones := []Zone{firstZone}
	for _, srv := range b.servers {
		zones = append(zones, srv.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// addGroup adds a group with its tables, numbered from 1 on.
func (b *Balancer) addGroup(zone Zone) {
	group := &proxyGroup{zone: zone, demandShare: 1}
	firstTable := len(b.groups)*len(b.eligibilitySets) + 1
	for i := range b.eligibilitySets {
		group.tables = append(group.tables, &weightTable{
			id:         Table(firstTable + i),
			weights:    map[Server]float64{},
			admissions: map[Class]admissionSetting{},
		})
	}
	b.groups = append(b.groups, group)
}

// groupOf is the group of a proxy that joins: one of its zone, or any if its zone has none.
func (b *Balancer) groupOf(event ProxyEvent) *proxyGroup {
	var candidates []*proxyGroup
	for _, group := range b.groups {
		if group.zone == event.Zone {
			candidates = append(candidates, group)
		}
	}
	if len(candidates) == 0 {
		candidates = b.groups
	}
	return candidates[int(event.Proxy)%len(candidates)]
}

// partitionServers gives each group its part of the candidates, in their order, with the intake that it
// takes there. The intakes are laid end to end, and each group takes the stretch that is its share of
// the demand: so most servers stand in one table, and most proxies use servers of their own zone.
func (b *Balancer) partitionServers(candidates []candidate, totalIntake float64) [][]tableEntry {
	totalShare := 0.0
	for _, group := range b.groups {
		totalShare += group.demandShare
	}
	parts := make([][]tableEntry, 0, len(b.groups))
	first := 0        // of the candidates that reach into the group's stretch
	firstBegin := 0.0 // where the first one's intake begins
	end := 0.0        // of the group's stretch
	for _, group := range b.groups {
		begin := end
		end += group.demandShare / totalShare * totalIntake
		for first < len(candidates) && firstBegin+candidates[first].intake <= begin {
			firstBegin += candidates[first].intake
			first++
		}
		parts = append(parts, entriesWithin(candidates[first:], firstBegin, begin, end))
	}
	return parts
}

// entriesWithin gives the candidates that lie in a stretch. The first one's intake begins at firstBegin.
func entriesWithin(candidates []candidate, firstBegin, begin, end float64) []tableEntry {
	var entries []tableEntry
	position := firstBegin
	for i := range candidates {
		if position >= end {
			break
		}
		c := &candidates[i]
		overlap := min(position+c.intake, end) - max(position, begin)
		if overlap > minIntakeFraction*min(c.intake, end-begin) {
			entries = append(entries, tableEntry{server: c.server, weight: overlap})
		}
		position += c.intake
	}
	return entries
}

// zoneServers gives each group all candidates of its own zone.
func (b *Balancer) zoneServers(candidates []candidate) [][]tableEntry {
	parts := make([][]tableEntry, len(b.groups))
	for i, group := range b.groups {
		for _, c := range candidates {
			if c.server.Zone == group.zone && c.intake > 0 {
				parts[i] = append(parts[i], tableEntry{server: c.server, weight: c.intake})
			}
		}
	}
	return parts
}
