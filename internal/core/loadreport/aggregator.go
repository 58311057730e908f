// Package loadreport aggregates the load reports of proxies for the decision module.
//
// Reports carry running totals, so that a lost report only delays the counts, and a duplicated or reordered one is recognized
// as stale. The package does no I/O and reads no clock: times are arguments, in seconds.
package loadreport

import (
	"cmp"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/finite"
)

const (
	seriesExpiry = 60.0 // seconds without a report after which a series may be removed in favour of another
	minAttempts  = 1e-9 // least weight of a report in the mean interval, for reports without attempts
)

// Totals are the running totals of a proxy since it started.
type Totals struct {
	Attempts   float64
	Failed     float64
	LatencySum float64 // sum of the latencies of successful attempts, in seconds; not used for demand
}

// RejectedCounts counts ignored reports by reason.
type RejectedCounts struct {
	Stale     int // duplicated, or older than an accepted report
	Malformed int // invalid or implausible totals or time
	Overflow  int // report of a new series beyond the limit
	Baseline  int // first of a series, or first after a gap or a restart; the next report is compared with it
}

// Aggregator converts running totals into sums for a period. Create one with New. It is not safe for concurrent use.
type Aggregator struct {
	// Rejected counts the reports that were ignored so far.
	Rejected RejectedCounts

	maxSeries int
	series    map[seriesKey]*series
	upstreams map[upstreamKey]*upstreamSum
	demands   map[seriesKey]*demandSum
}

// seriesKey identifies the series of a proxy's reports about a server or a request class.
type seriesKey struct {
	proxy  balancer.Proxy
	server balancer.Server // empty if the series is about a class
	class  balancer.Class
}

// upstreamKey identifies a server and the zone of the proxies that report about it.
type upstreamKey struct {
	server balancer.Server
	zone   balancer.Zone
}

// upstreamSum is the sum of the reports of a zone's proxies about a server.
type upstreamSum struct {
	totals           Totals
	weightedInterval float64 // sum of the reports' intervals in seconds, weighted by their attempts
}

// demandSum is the sum of a proxy's reports about a request class.
type demandSum struct {
	totals   Totals
	interval float64 // longest interval of a report, in seconds
}

// New returns an aggregator that tracks at most maxSeries series.
func New(maxSeries int) *Aggregator {
	return &Aggregator{
		maxSeries: maxSeries,
		series:    map[seriesKey]*series{},
		upstreams: map[upstreamKey]*upstreamSum{},
		demands:   map[seriesKey]*demandSum{},
	}
}

// AddUpstream adds a proxy's totals for a server. at is the time of the totals by the proxy's clock. It returns the number of
// attempts since the previous report and the time of that report by the proxy's clock, or 0 and at if the report is rejected.
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

// AddDemand adds a proxy's totals for a request class. at is the time of the totals by the proxy's clock.
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

// change adds a report to its series, which is created if necessary, and returns the difference from the previous report. ok
// is false if the report was rejected.
func (a *Aggregator) change(now, at float64, key seriesKey, totals Totals) (change change, ok bool) {
	if !totals.valid() || !finite.Number(at) {
		a.Rejected.Malformed++
		return change, false
	}
	s := a.series[key]
	if s == nil {
		a.startSeries(now, at, key, totals)
		return change, false
	}
	return s.advance(now, at, totals, &a.Rejected)
}

// startSeries creates a series from its first report, unless the limit is reached.
func (a *Aggregator) startSeries(now, at float64, key seriesKey, totals Totals) {
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

// expireSeries deletes the series without a report in the last seriesExpiry seconds.
func (a *Aggregator) expireSeries(now float64) {
	for key, s := range a.series {
		if now-s.receivedAt > seriesExpiry {
			delete(a.series, key)
		}
	}
}

// RemoveProxy deletes the series and pending demand of a proxy, whose ID may be assigned to another.
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

// Flush returns the reports aggregated since the last call, sorted. The caller owns the slices. The interval of an upstream
// report is the mean of the intervals of its parts, weighted by their attempts, since the difference after a lost report
// covers a longer interval.
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

// report returns the sum as an upstream report.
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

// HasPending reports whether Flush would return any report.
func (a *Aggregator) HasPending() bool { return len(a.upstreams)+len(a.demands) > 0 }

// Len returns the number of series.
func (a *Aggregator) Len() int { return len(a.series) }
