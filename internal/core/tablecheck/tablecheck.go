// Package tablecheck validates weight tables before they are published, or as a preview of a change. It detects proxies
// that would be left without a server for a request class, and pools of servers that would receive more load than their
// capacity.
//
// It takes into account that each proxy may still hold any of its earlier tables, that servers drain, warm up or are
// removed, and optionally that any one zone is lost. Proxies are independent of each other. Therefore the maximum load of
// a pool is the sum of the maximum loads from each proxy, and combinations of their tables need not be enumerated. The
// package performs no I/O.
package tablecheck

import (
	"cmp"
	"maps"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/finite"
)

// NoZone is the value of Finding.LostZone if no zone is lost.
const NoZone = balancer.Zone(-1)

// Server is the state of a server.
type Server struct {
	Zone      balancer.Zone
	Pool      string // pool to whose capacity the server contributes; empty if none
	Phase     balancer.Phase
	WarmingUp bool
	Capacity  float64 // requests per second when warmed up; 0 if unknown
}

// Table holds the weights by which proxies select servers for one class, all greater than 0. Proxies with the same table
// share the pointer, so that the table is evaluated once.
type Table struct {
	Weights map[balancer.Server]float64
}

// Proxy is a proxy with respect to one request class.
type Proxy struct {
	UID    string
	Class  balancer.Class
	Demand float64  // requests per second
	Tables []*Table // the proposed table, followed by other tables that the proxy may still hold
}

// Snapshot is the state of a site with the tables to validate.
type Snapshot struct {
	Servers        map[balancer.Server]Server
	Proxies        []Proxy
	WarmupFraction float64 // fraction of its capacity that a server has during warm-up
	CheckZoneLoss  bool    // whether to validate also with each single zone lost
	MaxUtilization float64 // fraction of a pool's capacity that may be used; 0 means all of it
}

// Check returns the reasons not to publish the proposed tables, or none if they may be published. The order of findings is
// deterministic, with the most severe first.
func (s *Snapshot) Check() []Finding {
	findings := s.checkProposed()
	if len(findings) == 0 { // invalid entries would only cause further findings
		for _, lost := range s.lostZones() {
			scenario := &scenario{snapshot: s, lostZone: lost, views: map[*Table]*tableView{}}
			findings = append(findings, scenario.checkEmptyTables()...)
			findings = append(findings, scenario.checkOverload()...)
		}
	}
	slices.SortStableFunc(findings, compareFindings)
	return findings
}

func compareFindings(a, b Finding) int {
	return cmp.Or(
		cmp.Compare(a.Violation, b.Violation),
		cmp.Compare(a.LostZone, b.LostZone),
		cmp.Compare(a.Pool, b.Pool),
		cmp.Compare(a.UID, b.UID),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Server, b.Server),
	)
}

// checkProposed validates the entries of the proposed tables.
func (s *Snapshot) checkProposed() (findings []Finding) {
	for _, proxy := range s.Proxies {
		if len(proxy.Tables) == 0 {
			continue
		}
		weights := proxy.Tables[0].Weights
		for _, name := range slices.Sorted(maps.Keys(weights)) {
			finding := Finding{UID: proxy.UID, Class: proxy.Class, Server: name, LostZone: NoZone}
			server, known := s.Servers[name]
			switch {
			case !known || !finite.Positive(weights[name]):
				finding.Violation = UnknownServer
			case server.Phase != balancer.Ready:
				finding.Violation = DrainingServer
			default:
				continue
			}
			findings = append(findings, finding)
		}
	}
	return findings
}

// lostZones returns NoZone, followed by the zones to lose one at a time.
func (s *Snapshot) lostZones() []balancer.Zone {
	lost := []balancer.Zone{NoZone}
	if !s.CheckZoneLoss {
		return lost
	}
	zones := map[balancer.Zone]bool{}
	for _, server := range s.Servers {
		zones[server.Zone] = true
	}
	return append(lost, slices.Sorted(maps.Keys(zones))...)
}
