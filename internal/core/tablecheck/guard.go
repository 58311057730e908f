// Package tablecheck looks at tables before they are published, or as a preview of them: which would leave a class of some proxy
// without a server that may take its queries, or send a pool of servers more than it can take. It takes into account that
// each proxy may still hold any of its former tables, that servers drain, are cold or gone, and, where asked for, that any
// one zone is lost. It is pure.
//
// Proxies are independent of each other: each is in one of its possible states. What all of them may send to a pool at worst
// is then the sum of what each may send at worst, so that no combination has to be played through.
package tablecheck

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"snowquay/balancer"
)

// Server as the guard sees it.
type Server struct {
	Zone      balancer.Zone
	Pool      string // whose stated capacity it adds to; empty: none
	Phase     balancer.Phase
	WarmingUp bool
	Capacity  float64 // queries a second when it is warm; 0: none is stated
}

// Table is what proxies pick by for one class: weights above 0. Proxies that share one share the pointer: it is looked at
// once.
type Table struct{ Weights map[balancer.Server]float64 }

// Proxy is one proxy's class.
type Proxy struct {
	UID    string
	Class  balancer.Class
	Demand float64  // queries a second
	Tables []*Table // it may hold any of these: what is proposed, what it was known to hold, what is on its way
}

// Snapshot is all that is looked at together.
type Snapshot struct {
	Servers        map[balancer.Server]Server
	Proxies        []Proxy
	WarmupFraction float64 // of its capacity, that a cold server can take
	LoseZone       bool    // each zone is to be missing once
	MaxUtilization float64 // part of a pool's capacity that may be used; 0: all of it
}

// Violation says what is wrong with tables.
type Violation int

const (
	EmptyTable     Violation = iota + 1 // a proxy would have no open, warm server for a class
	DrainingServer                      // a proposed table has a line to a server that drains or is gone
	Overload                            // a pool would be sent more than it can take
	UnknownServer                       // a table names a server that is not on the roll, or a weight that is no weight
)

// Finding why tables are refused.
type Finding struct {
	Violation Violation
	UID       string // of Bare, Drained and Unknown
	Class     balancer.Class
	Server    balancer.Server // of Drained and Unknown
	Pool      string          // of Loaded
	LostZone  balancer.Zone   // the zone that is lost; -1: none
	Load      float64         // of Loaded: queries a second at worst
	Capacity  float64         // and what it can take
}

func (r Finding) String() string {
	lost := ""
	if r.LostZone >= 0 {
		lost = fmt.Sprintf(", with zone %d lost", r.LostZone)
	}
	switch r.Violation {
	case EmptyTable:
		return fmt.Sprintf("proxy %q could have no open, warm server for class %d%s", r.UID, r.Class, lost)
	case DrainingServer:
		return fmt.Sprintf("proxy %q would send class %d to %s, which takes none", r.UID, r.Class, r.Server)
	case UnknownServer:
		return fmt.Sprintf("the table of proxy %q for class %d names %s, which is not known, or with a weight that is none", r.UID, r.Class, r.Server)
	}
	return fmt.Sprintf("pool %q could be sent %.1f queries a second and can take %.1f%s", r.Pool, r.Load, r.Capacity, lost)
}

// Order of reasons by what is worst; docs/design.md tells which rule gives way where not all can be kept.
func (r Finding) order() int { return int(r.Violation) }

// NoZone is lost.
const NoZone = balancer.Zone(-1)

// Check is why the first states of all proxies, which are those that are proposed, must not be published; none if they may.
// Reasons are in an order that is the same in every run, the worst first.
func (s *Snapshot) Check() (reasons []Finding) {
	for _, p := range s.Proxies {
		if len(p.Tables) > 0 {
			reasons = append(reasons, s.proposed(p)...)
		}
	}
	if len(reasons) == 0 { // what follows from lines that make no sense says nothing
		reasons = s.worlds()
	}
	slices.SortStableFunc(reasons, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.order(), b.order()), cmp.Compare(a.LostZone, b.LostZone), cmp.Compare(a.Pool, b.Pool),
			cmp.Compare(a.UID, b.UID), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Server, b.Server))
	})
	return reasons
}

// proposed looks at the lines of a table that is to be published.
func (s *Snapshot) proposed(p Proxy) (reasons []Finding) {
	lines := p.Tables[0].Weights
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		w := lines[name]
		v, known := s.Servers[name]
		switch {
		case !known || !(w > 0) || math.IsInf(w, 0):
			reasons = append(reasons, Finding{Violation: UnknownServer, UID: p.UID, Class: p.Class, Server: name, LostZone: NoZone})
		case v.Phase != balancer.Ready:
			reasons = append(reasons, Finding{Violation: DrainingServer, UID: p.UID, Class: p.Class, Server: name, LostZone: NoZone})
		}
	}
	return reasons
}

// worlds looks at the site as it is, and with each zone lost.
func (s *Snapshot) worlds() (reasons []Finding) {
	lost := []balancer.Zone{NoZone}
	if s.LoseZone {
		zones := map[balancer.Zone]bool{}
		for _, v := range s.Servers {
			zones[v.Zone] = true
		}
		lost = append(lost, slices.Sorted(maps.Keys(zones))...)
	}
	for _, z := range lost {
		w := &world{site: s, lost: z, seen: map[*Table]*view{}}
		reasons = append(reasons, w.bare()...)
		reasons = append(reasons, w.loaded()...)
	}
	return reasons
}

// world is the site with one zone lost, or none.
type world struct {
	site *Snapshot
	lost balancer.Zone
	seen map[*Table]*view
}

// view is what a table means in a world.
type view struct {
	well   bool               // it names an open, warm server
	shares map[string]float64 // part of its queries that goes to each pool
}

// open tells whether a server may take a query at all: proxies leave alone what does not answer, and go on to others.
func (w *world) open(name balancer.Server) (Server, bool) {
	v, ok := w.site.Servers[name]
	return v, ok && v.Phase != balancer.Removed && v.Zone != w.lost
}

// view of a table, worked out once.
func (w *world) view(t *Table) *view {
	x := w.seen[t]
	if x != nil {
		return x
	}
	x = &view{shares: map[string]float64{}}
	w.seen[t] = x
	sum := 0.0
	names := slices.Sorted(maps.Keys(t.Weights)) // sums must not depend on the order of a map
	for _, name := range names {
		if v, ok := w.open(name); ok {
			sum += t.Weights[name]
			x.well = x.well || v.Phase == balancer.Ready && !v.WarmingUp && t.Weights[name] > 0
		}
	}
	for _, name := range names {
		if v, ok := w.open(name); ok && v.Pool != "" && sum > 0 {
			x.shares[v.Pool] += t.Weights[name] / sum
		}
	}
	return x
}

func (w *world) bare() (reasons []Finding) {
	for _, p := range w.site.Proxies {
		if slices.ContainsFunc(p.Tables, func(t *Table) bool { return !w.view(t).well }) {
			reasons = append(reasons, Finding{Violation: EmptyTable, UID: p.UID, Class: p.Class, LostZone: w.lost})
		}
	}
	return reasons
}

// room is what each pool can take: of servers that are there, cold ones for their share. One that drains still takes what
// proxies send that do not know it yet.
func (w *world) room() map[string]float64 {
	s := w.site
	room := map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(s.Servers)) { // sums must not depend on the order of a map
		v, ok := w.open(name)
		if s.Servers[name].Pool == "" {
			continue
		}
		part := 1.0
		if v.WarmingUp {
			part = s.WarmupFraction
		}
		if !ok {
			part = 0
		}
		room[s.Servers[name].Pool] += s.Servers[name].Capacity * part
	}
	if s.MaxUtilization > 0 {
		for pool := range room {
			room[pool] *= s.MaxUtilization
		}
	}
	return room
}

const slack = 1e-9 // part by which sums of weights may be rounded

func (w *world) loaded() (reasons []Finding) {
	room := w.room()
	load := make(map[string]float64, len(room))
	worst := map[string]float64{}
	for _, p := range w.site.Proxies {
		clear(worst)
		for _, t := range p.Tables {
			for pool, share := range w.view(t).shares {
				worst[pool] = max(worst[pool], share)
			}
		}
		for pool, share := range worst {
			load[pool] += share * p.Demand
		}
	}
	for pool, l := range load {
		if r := room[pool]; l > r*(1+slack)+slack {
			reasons = append(reasons, Finding{Violation: Overload, Pool: pool, LostZone: w.lost, Load: l, Capacity: r})
		}
	}
	return reasons
}
