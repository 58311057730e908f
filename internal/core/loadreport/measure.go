// Package loadreport turns what relays report of their traffic into the sums that the decision module is given. Reports
// are running totals, so that a lost one costs nothing but time, and a doubled or reordered one is seen to be old. It
// is pure.
package loadreport

import (
	"cmp"
	"math"
	"slices"

	"snowquay/balancer"
)

const (
	longestGap = 15.0 // seconds between two reports of one series; over it the first is forgotten, not read as a rate
	shortest   = 0.01 // seconds; two reports closer than that are a clock that jumped back and forth
	mostRate   = 1e6  // queries a second at one proxy; more is a garbled total
	dropAfter  = 60.0 // seconds without a report, after which a series gives room to another
)

// Totals that a relay has counted since it started.
type Totals struct {
	Attempts, Failed float64
	Seconds          float64 // that the good ones took together; of demand unused
}

type key struct {
	proxy  balancer.Proxy
	server balancer.Server // empty: of a class
	class  balancer.Class
}

type series struct {
	at, heard float64 // of the last report: by the relay's clock, and by ours
	last      Totals
}

// RejectedCounts counts reports by why nothing came of them.
type RejectedCounts struct {
	Stale     int // doubled, or overtaken by a later one
	Malformed int // impossible figures
	Overflow  int // no room for another series
	First     int // the first of a series, or the first after a gap or a restart: it only says where to count from
}

// Aggregator of all series. Use New.
type Aggregator struct {
	series   map[key]*series
	most     int
	traffic  map[sumKey]*sum
	demand   map[key]*sum
	Rejected RejectedCounts
}

type sumKey struct {
	server balancer.Server
	zone   balancer.Zone
}

type sum struct {
	Totals
	weighted float64 // tries x seconds covered
	covers   float64 // the longest time covered
}

// New makes a book of so many series at most.
func New(most int) *Aggregator {
	return &Aggregator{series: map[key]*series{}, most: most, traffic: map[sumKey]*sum{}, demand: map[key]*sum{}}
}

// AddUpstream takes a relay's totals at a server; at is the relay's clock when it counted, in seconds. It returns how many
// tries are new, and since when by that clock.
func (b *Aggregator) AddUpstream(now, at float64, p balancer.Proxy, zone balancer.Zone, s balancer.Server, t Totals) (tries,
	since float64) {
	d, covers, ok := b.since(now, at, key{proxy: p, server: s}, t)
	if ok && d.Attempts > 0 {
		k := sumKey{s, zone}
		if b.traffic[k] == nil {
			b.traffic[k] = &sum{}
		}
		b.traffic[k].add(d, covers)
	}
	return d.Attempts, at - covers
}

// AddDemand takes a relay's totals of a class.
func (b *Aggregator) AddDemand(now, at float64, p balancer.Proxy, c balancer.Class, t Totals) {
	k := key{proxy: p, class: c}
	if d, covers, ok := b.since(now, at, k, t); ok {
		if b.demand[k] == nil {
			b.demand[k] = &sum{}
		}
		b.demand[k].add(d, covers)
	}
}

// since is what came since the last report of a series, and the seconds that it covers. Guards against doubled,
// reordered, frozen and garbled reports, and relays that start again: nothing but the difference of two reports in
// order is ever believed. It does harm to nobody but a relay whose clock runs backwards for longer than a period.
func (b *Aggregator) since(now, at float64, k key, t Totals) (d Totals, covers float64, ok bool) {
	if !sane(t) || math.IsNaN(at) || math.IsInf(at, 0) {
		b.Rejected.Malformed++
		return d, 0, false
	}
	s := b.series[k]
	switch {
	case s == nil:
		if len(b.series) >= b.most {
			b.prune(now)
		}
		if len(b.series) >= b.most {
			b.Rejected.Overflow++
			return d, 0, false
		}
		b.series[k] = &series{at: at, heard: now, last: t}
		b.Rejected.First++
		return d, 0, false
	case at < s.at+shortest && now-s.heard < longestGap:
		b.Rejected.Stale++
		return d, 0, false
	}
	d = Totals{t.Attempts - s.last.Attempts, t.Failed - s.last.Failed, t.Seconds - s.last.Seconds}
	covers = at - s.at
	s.at, s.heard, s.last = at, now, t
	switch {
	case covers > longestGap || covers < shortest || d.Attempts < 0 || d.Failed < 0 || d.Seconds < 0:
		b.Rejected.First++ // a gap, or the relay started again
		return Totals{}, 0, false
	case d.Attempts > mostRate*covers || d.Failed > d.Attempts:
		b.Rejected.Malformed++
		return Totals{}, 0, false
	}
	return d, covers, true
}

func sane(t Totals) bool {
	for _, v := range []float64{t.Attempts, t.Failed, t.Seconds} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

func (b *Aggregator) prune(now float64) {
	for k, s := range b.series {
		if now-s.heard > dropAfter {
			delete(b.series, k)
		}
	}
}

// RemoveProxy forgets a proxy's series: its number may go to another.
func (b *Aggregator) RemoveProxy(p balancer.Proxy) {
	for k := range b.series {
		if k.proxy == p {
			delete(b.series, k)
		}
	}
	for k := range b.demand {
		if k.proxy == p {
			delete(b.demand, k)
		}
	}
}

func (s *sum) add(d Totals, covers float64) {
	s.Attempts, s.Failed, s.Seconds = s.Attempts+d.Attempts, s.Failed+d.Failed, s.Seconds+d.Seconds
	s.weighted, s.covers = s.weighted+max(d.Attempts, 1e-9)*covers, max(s.covers, covers)
}

// Flush hands out all that has come in since the last time, in a fixed order. The interval of a sum is the mean of
// what its parts cover, by their tries: relays that lost a report cover more than the others.
func (b *Aggregator) Flush() (traffic []balancer.UpstreamReport, demand []balancer.DemandReport) {
	for k, s := range b.traffic {
		t := balancer.UpstreamReport{Server: k.server, Zone: k.zone, Attempts: s.Attempts, Failed: s.Failed,
			Interval: s.weighted / max(s.Attempts, 1e-9)}
		if good := s.Attempts - s.Failed; good > 0 {
			t.Latency = s.Seconds / good
		}
		traffic = append(traffic, t)
		delete(b.traffic, k)
	}
	for k, s := range b.demand {
		demand = append(demand, balancer.DemandReport{Proxy: k.proxy, Class: k.class, Requests: s.Attempts, Failed: s.Failed,
			Interval: s.covers})
		delete(b.demand, k)
	}
	slices.SortFunc(traffic, func(a, b balancer.UpstreamReport) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Zone, b.Zone))
	})
	slices.SortFunc(demand, func(a, b balancer.DemandReport) int {
		return cmp.Or(cmp.Compare(a.Proxy, b.Proxy), cmp.Compare(a.Class, b.Class))
	})
	return traffic, demand
}

// HasPending tells whether Close would hand out anything.
func (b *Aggregator) HasPending() bool { return len(b.traffic)+len(b.demand) > 0 }

// Len is the number of series kept.
func (b *Aggregator) Len() int { return len(b.series) }
