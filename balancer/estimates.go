// Estimates from reports: the rate at which each server answers, and what comes to each proxy.

package balancer

import (
	"math"
	"slices"

	"snowquay/internal/core/histogram"
)

const (
	window     = 5    // periods over which work in process is averaged; the design's
	recent     = 1.5  // seconds of reports by which levels go: some ten tries at usual loads
	leastTries = 4.0  // fewer are no evidence: one failure in three is common by chance
	leastBin   = 0.2  // queries a second: under this is as good as nothing
	forgetFor  = 30.0 // seconds after which a proxy that left is held to be dead; outages last 5 to 20
	leastShare = 0.5  // of an even share of the servers, for a group of few queries: its table can lose one
	every      = ^ClassSet(0)
)

// queryRates is the scale of histograms of queries a second: 16 bins reach 130, and half a minute to two
// minutes count.
var queryRates = histogram.Scale{Least: leastBin, Growth: 1.5, Halve: 64}

// Estimates: work in process, completion, demand.

func (m *Balancer) count(now float64, traffic []UpstreamReport, demand []DemandReport) {
	for _, t := range traffic {
		if s := m.servers[t.Server]; s != nil && t.Attempts > 0 && now >= s.deaf {
			good := max(t.Attempts-t.Failed, 0)
			m.fresh = true
			s.rows = append(s.rows, row{zone: t.Zone, at: now, span: max(t.Interval, m.period/2), tries: t.Attempts,
				good: good, lost: t.Attempts - good, seconds: good * t.Latency})
		}
	}
	for _, d := range demand {
		x := m.joined[d.Proxy]
		if x != nil && int(d.Class) < len(m.classes) && d.Interval > 0 {
			known := math.Exp(-d.Interval / (window * m.period)) // none came where no report did: long ones count more
			x.rate[d.Class] += (d.Requests/d.Interval - x.rate[d.Class]) * (1 - known)
		}
	}
}

func (r row) enough(n float64) bool { return n >= leastTries || r.lost == 0 && n >= leastTries/2 }

func (m *Balancer) close(now float64) {
	m.closed, m.fresh = now, false
	var tries, spans, ats, n float64
	for _, s := range m.order {
		s.rows = slices.DeleteFunc(s.rows, func(r row) bool { return now-r.at > window*max(r.span, m.cycle) })
		for _, r := range s.rows[max(len(s.rows)-1, 0):] { // the newest
			tries, spans, ats, n = tries+r.tries, spans+r.tries*r.span, ats+r.at, n+1
		}
	}
	m.order = slices.DeleteFunc(m.order, func(s *server) bool { // for good: no table has it, none tells of it
		held := func(g *group) bool {
			return slices.ContainsFunc(g.pools, func(p *pool) bool { return p.held[s.Server] > 0 })
		}
		over := s.Phase == Removed && len(s.rows) == 0 && !slices.ContainsFunc(m.groups, held)
		if over {
			delete(m.servers, s.Server)
		}
		return over
	})
	m.cycle = max(m.period, spans/max(tries, 1))
	due := ats/max(n, 1) - m.cycle/2 // rows that are older stay out
	m.absent = slices.DeleteFunc(m.absent, func(x *proxy) bool { return now-x.left > forgetFor })
	all := slices.Concat(m.proxies, m.absent) // those out of reach go on sending
	even := max(offered(all, nil, every)/float64(max(len(m.groups), 1)), leastBin)
	for _, g := range m.groups {
		g.share = max(offered(all, g, every)/even, leastShare)
	}
	m.regulate(now, due, gain(gainRatio))
	m.press(now, due, gain(gainRatio), calm*m.goal)
}
