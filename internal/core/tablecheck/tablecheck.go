// Package tablecheck validates weight tables before they are published, or as a preview of a change: whether some proxy would
// be left without a server for a request class, or a pool of servers be sent more than its capacity.
//
// It takes into account that each proxy may still hold any of its earlier tables, that servers drain, warm up or are
// removed, and, where asked for, that any one zone is lost. Proxies are independent of each other. The most that all of
// them can send to a pool is therefore the sum of the most that each can send, and combinations of their tables need not
// be enumerated. The package is pure.
package tablecheck

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"snowquay/balancer"
)

// NoZone stands for no zone in Finding.LostZone.
const NoZone = balancer.Zone(-1)

// Server is the state of a server.
type Server struct {
	Zone      balancer.Zone
	Pool      string // to whose capacity it adds; empty: none
	Phase     balancer.Phase
	WarmingUp bool
	Capacity  float64 // requests per second when warmed up; 0: unknown
}

// Table has the weights by which proxies pick servers for one class, all above 0. Proxies that share a table share the
// pointer, so that it is looked at once.
type Table struct {
	Weights map[balancer.Server]float64
}

// Proxy is a proxy with one of its classes.
type Proxy struct {
	UID    string
	Class  balancer.Class
	Demand float64  // requests per second
	Tables []*Table // the proposed table, then others that it may still hold
}

// Snapshot is a site with the tables to validate.
type Snapshot struct {
	Servers        map[balancer.Server]Server
	Proxies        []Proxy
	WarmupFraction float64 // of its capacity, that a server has while it warms up
	CheckZoneLoss  bool    // validate also with each of the zones lost
	MaxUtilization float64 // part of a pool's capacity that may be used; 0: all of it
}

// Check tells why the proposed tables must not be published; there are no findings if they may be. Findings are in an
// order that is the same in every run, the worst first.
func (s *Snapshot) Check() []Finding {
	findings := s.checkProposed()
	if len(findings) == 0 { // invalid entries would only lead to further findings
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
			case !known || !validWeight(weights[name]):
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

func validWeight(weight float64) bool { return weight > 0 && !math.IsInf(weight, 0) }

// lostZones are the zones that are lost in turn, after NoZone.
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
