// Package loadreport aggregates the load reports of proxies for the decision module.
//
// Reports are running totals. A lost report costs nothing but time, and one that is duplicated or reordered is recognised
// as old. The package is pure: times are arguments, in seconds.
package loadreport

import (
	"cmp"
	"slices"

	"snowquay/balancer"
)

const (
	seriesExpiry = 60.0 // seconds without a report, after which a series may give way to another
	minAttempts  = 1e-9 // weight of a report without attempts in the mean interval
)

// Totals is what a proxy has counted since it started.
type Totals struct {
	Attempts   float64
	Failed     float64
	LatencySum float64 // latency of the successful ones, added up; not used for demand
}

// RejectedCounts counts reports that were ignored, by reason.
type RejectedCounts struct {
	Stale     int // duplicated, or older than one that was seen
	Malformed int // with impossible totals
	Overflow  int // of one series more than the limit
	Baseline  int // the first of a series, or the first after a gap or a restart: the next one is counted from it
}

// Aggregator turns running totals into sums for a period. Use New. It is not safe for concurrent use.
type Aggregator struct {
	// Rejected counts the reports ignored so far.
	Rejected RejectedCounts

	maxSeries int
	series    map[seriesKey]*series
	upstreams map[upstreamKey]*upstreamSum
	demands   map[seriesKey]*demandSum
}

// seriesKey identifies the reports of a proxy about a server, or about a class.
type seriesKey struct {
	proxy  balancer.Proxy
	server balancer.Server // empty: the series is about a class
	class  balancer.Class
}

// upstreamKey identifies a server as seen from a zone.
type upstreamKey struct {
	server balancer.Server
	zone   balancer.Zone
}

// upstreamSum adds up the reports of a zone's proxies about a server.
type upstreamSum struct {
	totals           Totals
	weightedInterval float64 // the reports' seconds, weighted by their attempts
}

// demandSum adds up a proxy's reports about a class.
type demandSum struct {
	totals   Totals
	interval float64 // seconds of the longest report
}

// New makes an aggregator of at most maxSeries series.
func New(maxSeries int) *Aggregator {
	return &Aggregator{
		maxSeries: maxSeries,
		series:    map[seriesKey]*series{},
		upstreams: map[upstreamKey]*upstreamSum{},
		demands:   map[seriesKey]*demandSum{},
	}
}

// AddUpstream takes a proxy's totals at a server, which it counted at a time of its own clock. It returns how many attempts
// are new, and since when by that clock.
func (a *Aggregator) AddUpstream(now, at float64, proxy balancer.Proxy, zone balancer.Zone, server balancer.Server,
	totals Totals) (attempts, since float64) {
	change, ok := a.change(now, at, seriesKey{proxy: proxy, server: server}, totals)
	if ok && change.totals.Attempts > 0 {
		key := upstreamKey{server: server, zone: zone}
		sum := a.upstreams[key]
		if sum == nil {
			sum = &upstreamSum{}
			a.upstreams[key] = sum
		}
		sum.totals.add(change.totals)
		sum.weightedInterval += max(change.totals.Attempts, minAttempts) * change.interval
	}
	return change.totals.Attempts, at - change.interval
}

// AddDemand takes a proxy's totals of a request class, which it counted at a time of its own clock.
func (a *Aggregator) AddDemand(now, at float64, proxy balancer.Proxy, class balancer.Class, totals Totals) {
	key := seriesKey{proxy: proxy, class: class}
	change, ok := a.change(now, at, key, totals)
	if !ok {
		return
	}
	sum := a.demands[key]
	if sum == nil {
		sum = &demandSum{}
		a.demands[key] = sum
	}
	sum.totals.add(change.totals)
	sum.interval = max(sum.interval, change.interval)
}

// change finds or starts a series and takes a report of it. ok is false if the report was rejected.
func (a *Aggregator) change(now, at float64, key seriesKey, totals Totals) (change change, ok bool) {
	if !totals.valid() || !isFinite(at) {
		a.Rejected.Malformed++
		return change, false
	}
	s := a.series[key]
	if s == nil {
		a.start(now, at, key, totals)
		return change, false
	}
	return s.advance(now, at, totals, &a.Rejected)
}

// start makes a series from its first report, unless there are too many.
func (a *Aggregator) start(now, at float64, key seriesKey, totals Totals) {
	if len(a.series) >= a.maxSeries {
		a.expireSeries(now)
	}
	if len(a.series) >= a.maxSeries {
		a.Rejected.Overflow++
		return
	}
	a.series[key] = &series{reportedAt: at, receivedAt: now, totals: totals}
	a.Rejected.Baseline++
}

func (a *Aggregator) expireSeries(now float64) {
	for key, s := range a.series {
		if now-s.receivedAt > seriesExpiry {
			delete(a.series, key)
		}
	}
}

// RemoveProxy forgets the series of a proxy, whose ID may be given to another.
func (a *Aggregator) RemoveProxy(proxy balancer.Proxy) {
	for key := range a.series {
		if key.proxy == proxy {
			delete(a.series, key)
		}
	}
	for key := range a.demands {
		if key.proxy == proxy {
			delete(a.demands, key)
		}
	}
}

// Flush hands out all that came in since the last call, in a fixed order. The caller owns it. The interval of an upstream
// report is the mean of its parts, weighted by their attempts, since a proxy that lost a report covers more than the
// others.
func (a *Aggregator) Flush() (upstreams []balancer.UpstreamReport, demands []balancer.DemandReport) {
	for key, sum := range a.upstreams {
		upstreams = append(upstreams, sum.report(key))
	}
	for key, sum := range a.demands {
		demands = append(demands, balancer.DemandReport{
			Proxy:    key.proxy,
			Class:    key.class,
			Requests: sum.totals.Attempts,
			Failed:   sum.totals.Failed,
			Interval: sum.interval,
		})
	}
	clear(a.upstreams)
	clear(a.demands)
	slices.SortFunc(upstreams, func(a, b balancer.UpstreamReport) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Zone, b.Zone))
	})
	slices.SortFunc(demands, func(a, b balancer.DemandReport) int {
		return cmp.Or(cmp.Compare(a.Proxy, b.Proxy), cmp.Compare(a.Class, b.Class))
	})
	return upstreams, demands
}

func (s *upstreamSum) report(key upstreamKey) balancer.UpstreamReport {
	report := balancer.UpstreamReport{
		Server:   key.server,
		Zone:     key.zone,
		Attempts: s.totals.Attempts,
		Failed:   s.totals.Failed,
		Interval: s.weightedInterval / max(s.totals.Attempts, minAttempts),
	}
	if succeeded := s.totals.Attempts - s.totals.Failed; succeeded > 0 {
		report.Latency = s.totals.LatencySum / succeeded
	}
	return report
}

// HasPending tells whether Flush would hand out anything.
func (a *Aggregator) HasPending() bool { return len(a.upstreams)+len(a.demands) > 0 }

// Len is the number of series.
func (a *Aggregator) Len() int { return len(a.series) }
