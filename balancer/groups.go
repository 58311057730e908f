// Proxy groups, and the weight table that each one wants.

package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	reportLag = 1.0   // seconds that reports are late besides their period, give or take half
	floor     = 8.0   // of 255, least weight: 1/16 of a usual server's, enough to notice its return
	usual     = 128.0 // weight of a server listed as average: half of full, so that it can double
	full      = 255.0 // the source's largest relative capacity
	strange   = 0.1   // of all queries that servers get together that came and are not met: few have to fail
	fullBy    = 0.25  // part of a server's connections that one group's proxies may take; full ones are slow
	anewIn    = 1.0   // seconds in which the channel carries a group's whole table
	width     = 12.0  // servers in a group's table: few connections, and the loss of one is a twelfth
	fewest    = 5.0   // proxies in a group at least, so that tables stay few
	sliver    = 0.1   // of a server's intake; less of it is not worth a line in a second table
)

func (m *Balancer) stream(now float64, s ProxyEvent) {
	same := func(x *proxy) bool { return x.Proxy == s.Proxy }
	if x := m.joined[s.Proxy]; x != nil {
		if x.left = now; x.bound {
			x.group.users--
		}
		m.absent, m.proxies = append(m.absent, x), slices.DeleteFunc(m.proxies, same)
		delete(m.joined, s.Proxy)
	}
	if !s.Joined {
		return
	} else if slices.ContainsFunc(m.absent, same) {
		alone := !slices.ContainsFunc(m.proxies, func(x *proxy) bool { return x.Zone == s.Zone })
		for _, o := range m.order { // a cut has healed: what is still reported of its servers is of the cut
			if n := len(o.rows) - 1; alone && o.Zone == s.Zone && n >= 0 && o.rows[n].lost > 0 {
				o.deaf, o.rows, o.intake = now+m.period+reportLag, nil, max(o.intake, o.answers.Mean()/2)
			}
		}
		m.returned, m.absent = now, slices.DeleteFunc(m.absent, same)
	}
	if len(m.groups) == 0 {
		m.part(s.Zone)
	}
	own := slices.DeleteFunc(slices.Clone(m.groups), func(g *group) bool { return g.home != s.Zone })
	if len(own) == 0 { // its zone has no server
		own = m.groups
	}
	x := &proxy{ProxyEvent: s, since: now, group: own[int(s.Proxy)%len(own)]}
	all := offered(m.proxies, nil, every)
	for c := range m.classes { // until it is seen it asks as the others do
		part := 1 / float64(len(m.classes))
		if all > 0 {
			part = offered(m.proxies, nil, 1<<c) / all
		}
		x.rate = append(x.rate, s.ExpectedRate*part)
	}
	m.proxies = append(m.proxies, x)
	m.joined[s.Proxy] = x
}

// part makes groups where one table for all would fill the servers' connections, or the channel.
func (m *Balancer) part(first Zone) {
	zones := []Zone{first}
	for _, o := range m.order {
		zones = append(zones, o.Zone)
	}
	zones = slices.Compact(slices.Sorted(slices.Values(zones)))
	proxies, servers := float64(m.fleet.Proxies), float64(len(m.order))
	each := proxies / float64(max(m.fleet.Coordinators, 1)) // at one coordinator
	parts := max(each*servers/max(m.channel.EntriesPerSecond*anewIn, 1),
		proxies/cmp.Or(m.fleet.MinConnections*fullBy, math.Inf(1)))
	if parts > 1 {
		parts = max(parts, min(servers/width, each/fewest))
	} else if !slices.ContainsFunc(m.reaches, func(r *reach) bool { return r.own }) {
		zones = zones[:1]
	}
	parts = math.Ceil(max(parts, 1) / float64(len(zones)))
	for i := range len(zones) * int(parts) {
		g := &group{home: zones[i/int(parts)], share: 1}
		for k := range m.reaches {
			g.pools = append(g.pools, &pool{table: Table(i*len(m.reaches) + k + 1), held: map[Server]float64{},
				levels: map[Class]order{}})
		}
		m.groups = append(m.groups, g)
	}
}

// arcs lays the servers in a line, by zone, and gives each group the stretch that is its share of queries.
func (m *Balancer) arcs(r *reach, open []*server, intake []float64, total float64) (arcs [][]line) {
	shares, to := 0.0, 0.0
	for _, g := range m.groups {
		shares += g.share
	}
	first, begin := 0, 0.0 // of the servers that reach into a group's stretch
	for _, g := range m.groups {
		from := to
		to += g.share / shares * total
		var arc []line
		if r.own { // all of the zone
			for i, s := range open {
				if s.Zone == g.home && intake[i] > 0 {
					arc = append(arc, line{s, intake[i]})
				}
			}
			arcs = append(arcs, arc)
			continue
		}
		for first < len(open) && begin+intake[first] <= from {
			begin += intake[first]
			first++
		}
		at := begin
		for i := first; i < len(open) && at < to; i++ {
			part := min(at+intake[i], to) - max(at, from)
			if part > sliver*min(intake[i], to-from) {
				arc = append(arc, line{open[i], part})
			}
			at += intake[i]
		}
		arcs = append(arcs, arc)
	}
	return arcs
}

// wanted gives each group's weights, on the scale of those held; taken is what narrower reaches ask of each.
func (m *Balancer) wanted(now float64, k int, taken map[Server]float64) (wants [][]line) {
	r, open := m.reaches[k], []*server(nil)
	listed, mean, known, most := 0.0, 0.0, 0.0, 0.0
	for _, s := range m.order {
		if s.Phase == Ready && s.within(r.zones) {
			open, listed = append(open, s), listed+s.Weight
			if s.met && m.ready(now, s) >= 1 {
				mean, known = mean+s.intake, known+1
			}
		}
	}
	all := max(offered(m.proxies, nil, every), leastBin)
	if mean = max(mean/max(known, 1), leastBin/usual); known == 0 {
		mean = all / float64(max(len(m.order), 1))
	}
	intake, bears := make([]float64, len(open)), make([]float64, len(open))
	for i, s := range open {
		part := m.ready(now, s)
		if intake[i] = part * mean; known == 0 && listed > 0 { // the listed weights
			intake[i] *= s.Weight * float64(len(open)) / listed
		} else if s.met && part >= 1 {
			intake[i] = s.intake
		}
		if !s.met && s.known > 0 { // the list may name servers that are none
			intake[i] = min(intake[i], strange*mean*known/(float64(len(open))-known))
		}
		intake[i] = max(intake[i]-taken[s.Server], floor/usual*mean)
		if bears[i] = max(m.bears(now, s)-taken[s.Server], 0); m.cold(now, s) >= 1 {
			bears[i] = max(bears[i], mean/full) // it keeps a line
		}
		most = max(most, bears[i])
	}
	rate := offered(m.proxies, nil, r.classes)
	if most > 0 && m.answers.Entries() > 0 && m.tries > 0 {
		m.spread(now, open, intake, bears, m.tries*rate/all)
	}
	total := 0.0
	for _, v := range intake {
		total += v
	}
	for i, s := range open {
		taken[s.Server] += rate * intake[i] / total
	}
	for i, arc := range m.arcs(r, open, intake, total) {
		held, sum, largest, scale := 0.0, 0.0, 1e-9, usual/mean
		for _, l := range m.holds(m.groups[i].pools[k]) {
			if l.server.Phase == Ready && l.server.within(r.zones) {
				held += l.weight
				sum += share(arc, l.server)
			}
		}
		if held > 0 && sum > 0 {
			scale = held / sum
		}
		for _, l := range arc {
			largest = max(largest, l.weight)
		}
		scale = min(scale, full/largest)
		for j := range arc {
			arc[j].weight = max(math.Round(arc[j].weight*scale*8)/8, 1)
		}
		wants = append(wants, arc)
	}
	return wants
}
