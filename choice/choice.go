// Package choice decides which servers the proxies use, and how much of each. New makes one coordinator's
// Manager; Round is then called once a round with all that came in, and writes the decisions into a Writer.
// The types of both are in interface.go; docs/design.md tells what the mechanism is and where it is from.
package choice

import (
	"cmp"
	"math"
	"slices"

	"snowquay/internal/core/histogram"
	"snowquay/internal/core/random"
	"snowquay/internal/core/waterfill"
)

const (
	window     = 5   // periods over which work in process is averaged; the design's
	recent     = 1.5 // seconds of reports by which levels go: some ten tries at usual loads
	reportLag  = 1.0 // seconds that reports are late besides their period, give or take half
	leastTries = 4.0 // fewer are no evidence: one failure in three is common by chance
	leastBin   = 0.2 // queries a second: under this is as good as nothing

	gainRatio = 0.2       // q/r, error against correction; the design starts at 0.1, slow in large fleets
	ignored   = 1.0 / 5.0 // of the target; errors below it are left alone; the design's
	floor     = 8.0       // of 255, least weight: 1/16 of a usual server's, enough to notice its return
	usual     = 128.0     // weight of a server listed as average: half of full, so that it can double
	full      = 255.0     // the source's largest relative capacity

	settleFor    = 8.0  // seconds for which a proxy that came back may avoid servers; 2 to 8 are usual
	forgetFor    = 30.0 // seconds after which a proxy that left is held to be dead; outages last 5 to 20
	lossyAt      = 0.04 // of all tries lost; more, and some proxy avoids some server: 8 lost in a row are enough
	heavy        = 1.6  // times its usual answers that a server bears: from 0.6 of its capacity to all of it
	rampFor      = 5.0  // seconds from the floor to the full weight; the design's
	strange      = 0.1  // of all queries that servers get together that came and are not met: few have to fail
	calm         = 0.4  // of the goal time; where work takes longer the fleet is pressed; the rest is for chance
	levelEvery   = 1.0  // seconds between two sendings of levels, for the last to show
	riseBy       = 0.25 // part by which a level may rise in a second: reports may be 4 s late
	riseFrom     = 0.1  // and from where, so that it does not take longer than a trouble
	trail        = 4.0  // seconds by which reports trail levels, besides their period: all on the way is late
	leastFresh   = 0.1  // of all queries, those that are new: clients come three times or four
	leastLevel   = 1e-3 // a class never vanishes, or its demand could not be seen to fall
	noLevel      = 1e6  // lets in all, as a share or as queries a second at a proxy
	movedBy      = 0.1  // part of the held weight that a move must exceed to be sent; the design's
	weightsEvery = 5.0  // seconds between two sendings of weights; the design's
	urgentBy     = 0.33 // of the held weight; a weight off by more is trouble, not drift, and does not wait
	urgentEvery  = 1.0  // seconds between two sendings then: time to gather others like it
	fullBy       = 0.25 // part of a server's connections that one group's proxies may take; full ones are slow
	anewIn       = 1.0  // seconds in which the channel carries a group's whole table
	width        = 12.0 // servers in a group's table: few connections, and the loss of one is a twelfth
	fewest       = 5.0  // proxies in a group at least, so that tables stay few
	leastShare   = 0.5  // of an even share of the servers, for a group of few queries: its table can lose one
	sliver       = 0.1  // of a server's intake; less of it is not worth a line in a second table
	wakeEvery    = 0.25 // seconds between two rounds at least, for what is due by time alone
	every        = ^Classes(0)
)

// queryRates is the scale of histograms of queries a second: 16 bins reach 130, and half a minute to two
// minutes count.
var queryRates = histogram.Scale{Least: leastBin, Growth: 1.5, Halve: 64}

// New makes one coordinator. It does not probe: the floor tells more.
func New(seed uint64, classes []QueryClass, fleet Dataplane, ch Channel, promise Guarantees,
	reporting Reporting, _ Probing, discovery Discovery) *Manager {
	m := &Manager{classes: classes, fleet: fleet, promise: promise, period: max(reporting.Period, 0.05),
		channel: channel{Channel: ch, grace: promise.DrainWithin, pace: 1},
		servers: map[Server]*server{}, joined: map[Proxy]*proxy{}, chance: random.New(seed)}
	m.channel.newest = Mark(seed % 65535) // answers to marks of a former life are no answers to these
	if !discovery.OnRequest {
		m.askAt = math.Inf(1)
	}
	for c, q := range classes {
		m.goal, m.all = max(m.goal, q.GoalTime), append(m.all, Class(c))
		m.let, m.was = append(m.let, 1), append(m.was, 1)
		same := func(r *reach) bool { return r.own == q.OwnZone && slices.Equal(r.zones, q.OnlyZones) }
		if !slices.ContainsFunc(m.reaches, same) {
			m.reaches = append(m.reaches, &reach{zones: q.OnlyZones, own: q.OwnZone})
		}
		m.reaches[slices.IndexFunc(m.reaches, same)].classes |= 1 << c
	}
	slices.SortStableFunc(m.reaches, func(a, b *reach) int { // all zones last
		return cmp.Compare(cmp.Or(len(a.zones), math.MaxInt), cmp.Or(len(b.zones), math.MaxInt))
	})
	slices.SortStableFunc(m.all, func(a, b Class) int {
		return cmp.Compare(classes[b].Benefit, classes[a].Benefit)
	})
	return m
}

// Round takes all that came in since the last call and writes what is decided.
func (m *Manager) Round(now float64, news News, w Writer) {
	for _, l := range news.Lists {
		if m.follow(now, l); l.Scope == Failed { // some instances at a time, each a few times within the limit
			m.askAt = now + m.promise.AskWithin*(1+m.chance.Float())/16
		}
	}
	for _, s := range news.Streams {
		m.stream(now, s)
	}
	for _, a := range news.Applied {
		m.acknowledge(a)
	}
	m.count(now, news.Traffic, news.Demand)
	if m.fresh && now-m.closed >= m.period {
		m.close(now)
	}
	if now >= m.askAt {
		w.Watch()
		m.askAt = math.Inf(1)
	}
	m.resent(now, news.Resent)
	if news.Stalled { // nothing leaves the channel that has not come to it
		m.channel.at = now
	} else {
		m.publish(now, w)
	}
	if now >= m.wakeAt {
		m.wakeAt = now + wakeEvery
		w.Wake(wakeEvery, 0)
	}
}

// Estimates: work in process, completion, demand.

func (m *Manager) count(now float64, traffic []Traffic, demand []Demand) {
	for _, t := range traffic {
		if s := m.servers[t.Server]; s != nil && t.Tries > 0 && now >= s.deaf {
			good := max(t.Tries-t.Lost, 0)
			m.fresh = true
			s.rows = append(s.rows, row{zone: t.Zone, at: now, span: max(t.Interval, m.period/2), tries: t.Tries,
				good: good, lost: t.Tries - good, seconds: good * t.Latency})
		}
	}
	for _, d := range demand {
		x := m.joined[d.Proxy]
		if x != nil && int(d.Class) < len(m.classes) && d.Interval > 0 {
			known := math.Exp(-d.Interval / (window * m.period)) // none came where no report did: long ones count more
			x.rate[d.Class] += (d.Queries/d.Interval - x.rate[d.Class]) * (1 - known)
		}
	}
}

func (r row) enough(n float64) bool { return n >= leastTries || r.lost == 0 && n >= leastTries/2 }

func (m *Manager) close(now float64) {
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
		over := s.Phase == Gone && len(s.rows) == 0 && !slices.ContainsFunc(m.groups, held)
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

func gain(ratio float64) float64 { // the one-server solution of the Riccati equation
	s := (ratio + math.Sqrt(ratio*ratio+4*ratio)) / 2
	return s / (1 + s)
}

// regulate sets every server's intake = completion rate - gain x error / step, in which the mean work is
// worked off. A failed try is no completion but work for a goal time; a rise is scaled by what succeeds.
func (m *Manager) regulate(now, due, gain float64) {
	type state struct{ rate, now, work, late, good float64 }
	states, rate, work, n, sent, kept := make([]state, len(m.order)), 0.0, 0.0, 0.0, 1e-9, 1e-9
	for i, s := range m.order {
		t, tries := s.sum(window, math.Inf(1), due)
		l, latest := s.sum(window, recent, due)
		if l.lost == 0 && latest >= leastTries/2 && t.lost > 0 { // what failed before is over
			t, tries = l, latest
		}
		if s.dropped && t.good == 0 {
			s.Phase = Gone
		}
		if !t.enough(tries) {
			continue
		}
		states[i] = state{t.good, l.good, t.seconds + t.lost*m.goal, l.seconds + l.lost*m.goal, t.good / t.tries}
		if s.Phase == InService && m.ready(now, s) >= 1 {
			rate, work, n = rate+t.good, work+states[i].work, n+1
			if t.lost < t.tries/2 && t.seconds < calm*m.goal*t.good {
				sent, kept = sent+t.tries, kept+t.good
			}
		}
	}
	target, step := work/max(n, 1), work/max(rate, 1e-9)
	for i, s := range m.order {
		a := states[i]
		if a.good == 0 && a.work == 0 || target == 0 { // no evidence: as it was
			continue
		}
		// Work that is there no more, or no longer missing, is not corrected again.
		e := max(min(a.work, a.late)-target, 0) + min(max(a.work, a.late)-target, 0)*a.good
		if math.Abs(e) < ignored*target {
			e = 0
		}
		a.rate *= min(sent/kept, 1/max(a.good, 1e-9)) // what all lose that answer in calm time is no fault of one
		if s.met = true; e < 0 {
			a.rate = max(a.rate, a.now) // its weight has risen since
		}
		s.intake = min(max(a.rate-gain*e/step, 0), 2*max(a.rate, rate/n/4))
	}
}

// Health: what servers bear, and their return.

// bears is the intake that a server can surely stand. Proxies that avoid servers may avoid all but one.
func (m *Manager) bears(now float64, s *server) float64 {
	if part := m.cold(now, s); part < 1 {
		if m.fleet.EjectAfter > 0 && (m.lossy || len(m.absent) > 0 || now-m.returned < settleFor) {
			return 0
		}
		return part * m.answers.Mean() * min(heavy, m.promise.FallMultiple/2)
	}
	if s.able || s.answers.Entries() == 0 {
		return heavy * max(s.answers.Mean(), m.answers.Mean())
	}
	return heavy * s.answers.Mean()
}

// spread bounds every server's part of the tries by what it bears; what is over goes to others, at last the
// warm. Guards against a withdrawal that pushes over the rest; it does harm where too many are dead.
func (m *Manager) spread(now float64, open []*server, intake, bears []float64, tries float64) {
	all, warm := 0.0, 0.0
	for i, s := range open {
		if all += bears[i]; m.cold(now, s) >= 1 {
			warm += bears[i]
		}
	}
	factor := waterfill.Factor(intake, bears, tries)
	for i, s := range open {
		intake[i] = min(factor*intake[i], bears[i])
		if all < tries && warm > 0 && m.cold(now, s) >= 1 {
			intake[i] *= 1 + (tries-all)/warm
		}
	}
}

func (m *Manager) cold(now float64, s *server) float64 { // the share of its capacity that it surely has
	if age := max(now-s.Started, 0); s.Started > 0 && age < m.promise.ColdFor {
		return m.promise.ColdShare + (1-m.promise.ColdShare)*age/m.promise.ColdFor
	}
	return 1
}

func (m *Manager) ready(now float64, s *server) float64 { // the share of an average intake, with the ramp
	return min(m.cold(now, s), m.promise.ColdShare+(now-s.known)/rampFor)
}

func (m *Manager) follow(now float64, l List) {
	for _, s := range m.order {
		if l.Scope == Whole && !slices.ContainsFunc(l.Entries, func(e Entry) bool { return e.Server == s.Server }) {
			l.Entries = append(slices.Clip(l.Entries), Entry{Server: s.Server, Phase: Gone})
		}
	}
	for _, e := range l.Entries {
		s := m.servers[e.Server]
		switch {
		case s == nil && e.Phase == Gone:
		case s == nil:
			if s = (&server{Entry: e, known: now}); l.Scope == Cached {
				s.known = math.Inf(-1)
			}
			m.servers[e.Server], m.order = s, append(m.order, s)
		case e.Phase == Gone && m.promise.GoneIsAdvice && s.Phase == InService:
			s.dropped = true // the list may be wrong: it stays for as long as it answers
		case e.Phase == Gone:
			s.Phase = Gone
		case e.Phase == InService && (e.Started != s.Started || s.Phase != InService): // another process
			*s = server{Entry: e, known: now}
		default:
			s.Entry, s.dropped = e, false
		}
	}
	slices.SortStableFunc(m.order, func(a, b *server) int { return cmp.Compare(a.Zone, b.Zone) })
	for i, s := range m.order {
		s.place = i
	}
}

// press is the regulator for the fleet, against the goal time; least benefit is refused first. Guards against
// overload; it does harm where answers are slow for other reasons. Servers that lose most count if most do.
func (m *Manager) press(now, due, gain, bears float64) {
	room, rates := make([]float64, len(m.order)), make([]float64, len(m.order))
	took, done, n, lost, tried := [2]float64{}, [2]float64{}, [2]float64{}, 0.0, 0.0 // [1]: that lose most tries
	for i, s := range m.order {
		t, tries := s.sum(window, recent, due)
		rates[i] = -1
		tried, lost = tried+t.tries, lost+t.lost
		rate, work := t.good, t.seconds
		if s.Phase != InService {
			continue
		}
		if room[i] = m.bears(now, s) / heavy; t.enough(tries) && m.ready(now, s) >= 1 {
			sick := int(math.Round(t.lost / t.tries))
			work += float64(sick) * t.lost * m.goal // where answers come in time what is lost is no overload
			took[sick], done[sick], n[sick] = took[sick]+work, done[sick]+rate, n[sick]+1
			rates[i], s.able = rate, work <= rate*bears
			usual := s.answers.Mean() // what keeps it from half of that will pass
			room[i] = max(max(rate, usual)-gain*(work-rate*bears)/bears, usual/2)
		}
	}
	m.lossy, m.tries = lost > lossyAt*tried, tried
	most := min(max(n[1]-n[0], 0), 1)
	m.pressed = took[0]+most*took[1] > (done[0]+most*done[1])*bears
	for i, s := range m.order { // in trouble or cut they show what they can where they do more than before
		if v := rates[i]; v >= 0 && (s.able && slices.Min(m.let) >= 1 || v > s.answers.Mean()) {
			s.answers.Add(queryRates, v)
			m.answers.Add(queryRates, v)
		}
	}
	for c, let := range m.let {
		m.was[c] += (let - m.was[c]) * min(1, m.period/(m.cycle+trail))
	}
	if m.pressed || slices.Min(m.let) < 1 {
		m.admit(now, room)
	}
}

func (m *Manager) admit(now float64, room []float64) {
	asked, whole, cut, fresh := make([]float64, len(m.let)), 0.0, 0.0, 1.0
	lately := func(x *proxy) bool { return now-x.since < trail+m.cycle } // what they get is not reported in full
	settled := slices.DeleteFunc(slices.Clone(m.proxies), lately)
	for c := range asked {
		if asked[c] = offered(settled, nil, 1<<c); m.fleet.Levels == LevelFraction && m.was[c] < 1 {
			cut += m.was[c] * asked[c]
		} else {
			whole += asked[c]
		}
	}
	if cut > 0 { // refused queries come again and are refused again: what is sent tells how many are new
		fresh = min(1, max(leastFresh, (m.tries-whole)/cut))
	}
	for _, c := range m.all {
		free, open := 0.0, m.classes[c].OnlyZones
		if m.let[c] < 1 {
			asked[c] *= fresh
		}
		for i, s := range m.order {
			if s.within(open) {
				free += room[i]
			}
		}
		rise := max(m.let[c], riseFrom) * (1 + riseBy*m.period) // late reports show what was let in before
		m.let[c] = min(1, rise, free/max(asked[c], leastBin))
		for i, s := range m.order {
			if s.within(open) && free > 0 {
				room[i] *= max(0, 1-asked[c]/free)
			}
		}
	}
}

func (m *Manager) level(c Class) float64 {
	if m.fleet.Levels == LevelFraction && m.let[c] < 1 {
		return max(m.let[c], leastLevel)
	} else if m.fleet.Levels == LevelsIgnored || m.let[c] >= 1 {
		return noLevel
	}
	rates := make([]float64, 0, len(m.proxies))
	for _, x := range m.proxies {
		rates = append(rates, x.rate[c])
	}
	let := m.let[c] * offered(m.proxies, nil, 1<<c)
	if each, needed := waterfill.Cap(rates, let); needed { // what comes to small proxies fits
		return max(each, leastLevel)
	}
	return noLevel
}

func (m *Manager) stream(now float64, s Stream) {
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
	x := &proxy{Stream: s, since: now, group: own[int(s.Proxy)%len(own)]}
	all := offered(m.proxies, nil, every)
	for c := range m.classes { // until it is seen it asks as the others do
		part := 1 / float64(len(m.classes))
		if all > 0 {
			part = offered(m.proxies, nil, 1<<c) / all
		}
		x.rate = append(x.rate, s.Usual*part)
	}
	m.proxies = append(m.proxies, x)
	m.joined[s.Proxy] = x
}

// part makes groups where one table for all would fill the servers' connections, or the channel.
func (m *Manager) part(first Zone) {
	zones := []Zone{first}
	for _, o := range m.order {
		zones = append(zones, o.Zone)
	}
	zones = slices.Compact(slices.Sorted(slices.Values(zones)))
	proxies, servers := float64(m.fleet.Proxies), float64(len(m.order))
	each := proxies / float64(max(m.fleet.Coordinators, 1)) // at one coordinator
	parts := max(each*servers/max(m.channel.LinesPerSecond*anewIn, 1),
		proxies/cmp.Or(m.fleet.LeastConnections*fullBy, math.Inf(1)))
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
func (m *Manager) arcs(r *reach, open []*server, intake []float64, total float64) (arcs [][]line) {
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
func (m *Manager) wanted(now float64, k int, taken map[Server]float64) (wants [][]line) {
	r, open := m.reaches[k], []*server(nil)
	listed, mean, known, most := 0.0, 0.0, 0.0, 0.0
	for _, s := range m.order {
		if s.Phase == InService && s.within(r.zones) {
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
			if l.server.Phase == InService && l.server.within(r.zones) {
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

func (m *Manager) publish(now float64, w Writer) {
	taken := map[Server]float64{}
	wants := make([][][]line, len(m.reaches))
	for k := range m.reaches {
		wants[k] = m.wanted(now, k, taken)
	}
	before := m.channel.queue.Outstanding()
	for i, g := range m.groups { // a group's orders stand together: they are to travel in one message
		for k, p := range g.pools {
			m.weigh(now, g, p, wants[k][i], w)
			if now-p.leveled >= levelEvery && m.fit(now, g, ordinary) >= len(m.all) {
				m.setLevels(now, g, p, m.reaches[k].classes, w)
			}
		}
	}
	m.join(now, w)
	if size := m.channel.queue.Outstanding() - before; size > 0 {
		m.mark(now, size, w)
	}
}

// join binds the proxies that have come to the tables of their groups.
func (m *Manager) join(now float64, w Writer) {
	for _, x := range m.proxies {
		lines := m.joins(x)
		if x.bound || !m.channel.admitsJoin(now, lines) {
			continue
		}
		for k, p := range x.group.pools {
			w.Bind(x.Proxy, p.table, m.reaches[k].classes)
		}
		x.bound, x.size = true, lines
		x.group.users++
		m.channel.charge(now, lines)
	}
}

// mark asks whoever this round has written to for an acknowledgement.
func (m *Manager) mark(now, size float64, w Writer) {
	c := &m.channel
	c.newest = c.newest%mostMark + 1
	if !c.queue.Number(int(c.newest), size) {
		return
	}
	w.Mark(c.newest)
	for _, x := range m.proxies {
		if x.bound && x.mark == 0 { // it has joined with this round
			x.mark = c.newest
		} else if x.bound && x.group.lines > 0 {
			x.mark, x.size = c.newest, x.group.lines
		}
	}
}

// acknowledge takes a proxy's answer to a mark.
func (m *Manager) acknowledge(a Applied) {
	size := 0.0
	if x := m.joined[a.Proxy]; x != nil && x.mark == a.Mark {
		size = x.size
	}
	m.channel.acknowledge(a, size)
}

func (m *Manager) joins(x *proxy) float64 { // the lines that its whole tables take
	lines := m.channel.head()
	for _, p := range x.group.pools {
		lines += float64(1 + len(p.held) + len(p.levels))
	}
	return lines
}

func (m *Manager) resent(now float64, r Resent) { // charges what the channel may carry a second time
	for _, g := range m.groups {
		g.lines = 0
		for _, t := range r.Tables {
			if slices.ContainsFunc(g.pools, func(p *pool) bool { return p.table == t }) {
				m.concern(now, g)
			}
		}
		g.lines = 0
	}
	for _, x := range m.proxies {
		if x.bound && slices.Contains(r.Proxies, x.Proxy) {
			m.channel.charge(now, m.joins(x))
		}
	}
}

// weigh sends the weights of a table that moved, largest first, and at once what drains or has started again.
func (m *Manager) weigh(now float64, g *group, p *pool, want []line, w Writer) {
	pace, most, missing, wanted, serving, rides := weightsEvery, 0, 0.0, 0.0, 0.0, false
	var moves []move
	for _, v := range m.moves(p, want) {
		if wanted += v.want; v.server.Phase == InService && (v.want > 0 || m.cold(now, v.server) >= 1) {
			serving += v.held
		}
		if v.held == 0 {
			missing += v.want
		}
		moved := math.Abs(v.want-v.held) / max(v.held, usual/4) // small lines count as a quarter of a usual one
		if v.held > 0 && v.want > 0 && moved > urgentBy {
			pace = urgentEvery
		}
		if moved > movedBy || (v.held > 0) != (v.want > 0) {
			moves = append(moves, v)
			rides = rides || m.pressure(now, v) == urgent
		}
	}
	slices.SortStableFunc(moves, func(a, b move) int { return cmp.Compare(b.size(), a.size()) })
	pressure := ordinary
	if serving == 0 {
		pressure = urgent
	} else if serving < (1-urgentBy)*wanted {
		pressure = pressing
	}
	n := m.fit(now, g, pressure)
	if rides = rides && m.fit(now, g, urgent) > 0; rides { // the message that has to go takes the rest along
		n = m.lines(now, g, max(pressure, pressing))
	}
	if n > 0 && len(moves) > 0 && (now-p.weighed >= pace || pressure > ordinary || rides) {
		most, p.weighed = n, now // a table that has lost much of its servers does not wait
	}
	for i, v := range moves {
		if v.want == 0 && v.server.Phase == InService && m.cold(now, v.server) >= 1 && missing > 0 {
			continue // it serves until others do
		}
		if i >= most && m.fit(now, g, m.pressure(now, v)) == 0 {
			continue
		}
		w.Weigh(p.table, v.server.Server, v.want)
		m.concern(now, g)
		if p.held[v.server.Server] = v.want; v.held == 0 {
			missing -= v.want
		} else if v.want == 0 {
			delete(p.held, v.server.Server)
		}
	}
}

// pressure is how urgent a line's move is by itself, or that it waits for the table's turn.
func (m *Manager) pressure(now float64, v move) urgency {
	switch cold := m.cold(now, v.server) < 1; {
	case v.server.Phase != InService, cold && v.want > 0 && v.want < v.held/2:
		return urgent
	case cold && v.want == 0: // another table takes it over
		return pressing
	}
	return waits
}

func (m *Manager) setLevels(now float64, g *group, p *pool, classes Classes, w Writer) {
	for _, c := range m.all {
		o := order{m.level(c), m.fleet.UsualRepeats}
		if m.classes[c].Effect != Free { // a repeat that we order must never take effect twice
			o.again = min(o.again, AfterProof)
		}
		h := cmp.Or(p.levels[c], order{noLevel, o.again})
		if m.pressed { // what one server turns away would go to the others, cold ones above all
			o.again = NoRepeat
		}
		if classes>>c&1 == 1 && (o.again != h.again || math.Abs(o.level-h.level) > movedBy*h.level) {
			p.levels[c], p.leveled = o, now
			w.Admit(p.table, 1<<c, o.level, o.again)
			m.concern(now, g)
		}
	}
}
