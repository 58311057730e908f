package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	// groupConnectionFraction is the fraction of a server's connections that the proxies of one group may
	// use.
	groupConnectionFraction = 0.25
	// tableTransferSeconds is the time in seconds within which the channel must be able to transfer a table
	// to every proxy.
	tableTransferSeconds = 1.0
	// tableWidth is the target number of servers in the table of a group. It limits the number of
	// connections, while the loss of a server affects only a twelfth of the table.
	tableWidth = 12.0
	// minGroupProxies is the minimum number of proxies in a group. It limits the number of tables.
	minGroupProxies = 5.0
	// minIntakeFraction is the fraction of a server's intake below which the server gets no entry in a
	// further table.
	minIntakeFraction = 0.1
)

// createGroups divides the proxies into groups if a single table for all of them would use too many
// connections of the servers or occupy the channel for too long. Otherwise it creates one group, or one
// per zone if some class is zone-local. Coordinators that know the same zones compute the same division.
func (b *Balancer) createGroups(firstZone Zone) {
	zones := b.zones(firstZone)
	proxies := float64(b.dataPlane.Proxies)
	servers := float64(len(b.servers))
	ownProxies := proxies / float64(max(b.dataPlane.Coordinators, 1))
	byTransfer := ownProxies * servers / max(b.channel.EntriesPerSecond*tableTransferSeconds, 1)
	byConnections := proxies / cmp.Or(b.dataPlane.MinConnections*groupConnectionFraction, math.Inf(1))
	count := min(max(byTransfer, byConnections), max(proxies, 1))
	if count > 1 {
		count = max(count, min(servers/tableWidth, ownProxies/minGroupProxies))
	} else if !b.hasZoneLocalClasses() {
		zones = zones[:1]
	}
	b.groupsPerZone = int(math.Ceil(max(count, 1) / float64(len(zones))))
	for _, zone := range zones {
		b.addGroups(zone)
	}
}

func (b *Balancer) hasZoneLocalClasses() bool {
	return slices.ContainsFunc(b.eligibilitySets, func(set *eligibilitySet) bool { return set.zoneLocal })
}

// zones returns the zones of all servers and of the first proxy, sorted.
func (b *Balancer) zones(firstZone Zone) []Zone {
	zones := []Zone{firstZone}
	for _, srv := range b.servers {
		zones = append(zones, srv.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// addGroups adds the groups of a zone and keeps the groups ordered by zone.
func (b *Balancer) addGroups(zone Zone) {
	for range b.groupsPerZone {
		b.addGroup(zone)
	}
	slices.SortStableFunc(b.groups, func(left, right *proxyGroup) int {
		return cmp.Compare(left.zone, right.zone)
	})
}

// addGroup adds a group with empty tables. Tables are numbered from 1.
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

// groupOf returns the group of a joining proxy. A zone that had neither a server nor a proxy when the
// groups were created gets groups of its own if some class is zone-local, because the tables of other
// zones have no servers for it. Otherwise its proxies use the groups of all zones.
func (b *Balancer) groupOf(event ProxyEvent) *proxyGroup {
	if len(b.groups) == 0 {
		b.createGroups(event.Zone)
	}
	candidates := b.groupsOfZone(event.Zone)
	if len(candidates) == 0 && b.hasZoneLocalClasses() {
		b.addGroups(event.Zone)
		candidates = b.groupsOfZone(event.Zone)
	}
	if len(candidates) == 0 {
		candidates = b.groups
	}
	return candidates[int(event.Proxy)%len(candidates)]
}

func (b *Balancer) groupsOfZone(zone Zone) []*proxyGroup {
	var groups []*proxyGroup
	for _, group := range b.groups {
		if group.zone == zone {
			groups = append(groups, group)
		}
	}
	return groups
}

// partitionServers assigns each group some of the candidates, with the part of their intake that the
// group uses. The intakes are concatenated in server order into one range, and each group gets an
// interval of it in proportion to its demand share. As a result most servers are in a single table, and
// most proxies use servers of their own zone.
func (b *Balancer) partitionServers(candidates []candidate, totalIntake float64) [][]tableEntry {
	totalShare := 0.0
	for _, group := range b.groups {
		totalShare += group.demandShare
	}
	parts := make([][]tableEntry, 0, len(b.groups))
	first := 0        // index of the first candidate that overlaps the interval of the group
	firstBegin := 0.0 // begin of the intake of that candidate
	end := 0.0        // end of the interval of the group
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

// entriesWithin returns the candidates whose intake overlaps the interval from begin to end. firstBegin
// is the position at which the intake of the first candidate begins.
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

// zoneServers assigns each group all candidates of its own zone.
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
