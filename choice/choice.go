// Package choice decides which servers the proxies use, and how much of each.
//
// New makes one coordinator's Manager from what it is handed at start. Round is then called once a round
// with all that came in since the last one, and writes the decisions into a Writer. The types of both are
// in interface.go; docs/design.md tells what the mechanism is and where it comes from.
package choice

import (
	"math"
	"sort"
)

const (
	// Estimates.
	window      = 5   // periods over which work in process is averaged; the design's
	noiseSpread = 2.0 // standard deviations within which a count is held to be chance; the usual 95%
	leastTries  = 4.0 // tries, fewer are no evidence: a single failure in three is common by chance
	leastBin    = 0.2 // queries a second, the first bin of a histogram; less is as good as none
	binGrowth   = 1.5 // 16 bins reach 130 queries a second; servers answer some 5 to 30
	halveAt     = 64  // entries: half a minute to two minutes of periods
	reportLag   = 1.0 // seconds that reports usually take; they arrive 0.4 to 1.5 late

	// Regulator.
	gainRatio = 0.1       // q/r, the price of error over that of correction; the design's start
	ignored   = 1.0 / 5.0 // of the target; errors below it are left alone; the design's
	floor     = 8.0       // of 255, least weight: 1/16 of a usual server's, enough to notice its return
	usual     = 128.0     // weight that a server listed as average starts with: half of the full 255
	full      = 255.0     // the source's largest relative capacity

	// Health.
	recent  = 1.5 // seconds of reports by which a server is judged: some ten tries at usual loads
	badPart = 0.5 // of the fleet's success; a server that answers less is worth less than its place
	okPart  = 0.8 // of the fleet's success, at which a bad server comes back: apart from badPart, no flapping

	// Levels.
	calm     = 0.5 // of the goal time; a fleet whose work takes longer is pressed: the rest is for chance
	levelFor = 1.0 // seconds between two sendings of levels: time for the last to show
	noLevel  = 1e6 // queries a second, more than any proxy gets

	// Return.
	rampFor = 5.0 // seconds from the floor to the full weight; the design's

	// Publishing.
	heavy        = 1.6 // times its usual answers that a server is asked to bear: from 0.6 of capacity to full
	movedBy      = 0.1 // part of the held weight that a move must exceed to be sent; the design's
	weightsEvery = 5.0 // seconds between two sendings of weights; the design's
	urgentEvery  = 0.5 // seconds, if a server has lost half of its intake: time to gather others like it
	pacedPart    = 0.5 // of the channel's limit that weights and joins may fill; the rest is for drains
	spareForBad  = 4   // messages to each proxy kept for drains and dead servers, where they are limited
	askFirst     = 0.5 // seconds until discovery is asked again after a failure; doubled each time
	tick         = 0.25
)

// server is what is known of one server.
type server struct {
	Entry
	known   float64 // when its present start was heard of
	tallies [window]tally
	shares  [2 * window]float64 // of the joined proxies' tries, as published, newest first
	bad     bool
	since   float64   // when it was judged bad, or well again
	intake  float64   // queries a second that the regulator wants it to get
	rate    float64   // queries a second that it answered of late
	answers histogram // queries a second that it usually answers
	work    float64   // queries in process of late, lost ones among them
}

// histogram keeps what was measured in coarse bins, each half as wide again as the one before.
type histogram struct {
	bins [16]float64
	n    float64
}

func (h *histogram) add(v float64) {
	i := int(math.Log(math.Max(v, leastBin)/leastBin) / math.Log(binGrowth))
	h.bins[min(i, len(h.bins)-1)]++
	if h.n++; h.n > halveAt {
		h.n = 0
		for i := range h.bins {
			h.bins[i] /= 2
			h.n += h.bins[i]
		}
	}
}

func (h *histogram) mean() (v float64) {
	for i, b := range h.bins {
		v += b / math.Max(h.n, 1) * leastBin * math.Pow(binGrowth, float64(i)+0.5)
	}
	return v
}

// tally counts what the proxies met at a server in one period.
type tally struct{ tries, lost, seconds, expected float64 }

// pool is a table: the classes that are open to the same servers, and what its proxies hold.
type pool struct {
	table   Table
	classes []Class
	zones   []Zone // of its servers; none: all
	own     bool   // only servers of the proxies' zone, home
	home    Zone
	held    map[Server]float64
	sent    float64 // when weights were last sent
	levels  map[Class]float64
	leveled float64 // when levels were last sent
}

// proxy is a joined proxy.
type proxy struct {
	id     Proxy
	zone   Zone
	joined float64
	bound  bool
	rate   []float64 // queries a second by class
	sent   []float64 // times of the latest messages
}

// Manager is one coordinator.
type Manager struct {
	classes  []QueryClass
	servers  map[Server]*server
	order    []*server // by id, so that no order of a map reaches an output
	pools    []*pool
	proxies  []*proxy // in the order of joining
	fleet    Dataplane
	levels   LevelKind
	channel  Channel
	promise  Guarantees
	period   float64
	rotated  float64
	heard    bool // reports came since the last rotation
	filled   int  // periods that the tallies hold
	asking   bool // discovery answers only when asked
	asked    bool
	askAt    float64
	askWait  float64
	chance   pcg
	waiting  float64 // lines that should wait in the channel
	drained  float64 // when waiting was last brought up to date
	wakeAt   float64
	started  bool
	tries    float64           // a second that joined proxies send, repeats among them
	answers  histogram         // queries a second that warm servers usually answer
	absent   map[Proxy]float64 // queries a second that proxies which left were getting
	held     []float64         // share of each class's new queries that is let in
	admitted []float64         // queries a second that may be let in, by class; negative: all
}

// New makes a coordinator that knows nothing but what it is handed.
func New(seed uint64, classes []QueryClass, fleet Dataplane, channel Channel, promise Guarantees,
	reporting Reporting, probing Probing, discovery Discovery) *Manager {
	m := &Manager{classes: classes, servers: map[Server]*server{}, fleet: fleet, channel: channel,
		promise: promise, period: math.Max(reporting.Period, 0.05), asking: discovery.OnRequest,
		chance: newPCG(seed), absent: map[Proxy]float64{}, levels: fleet.Levels}
	for range classes {
		m.admitted, m.held = append(m.admitted, -1), append(m.held, 1)
	}
	return m
}

// Round takes all that came in since the last call and writes what is decided.
func (m *Manager) Round(now float64, news News, w Writer) {
	if !m.started {
		m.started, m.drained, m.rotated, m.askAt = true, now, now, now
	}
	for _, l := range news.Lists {
		m.follow(now, l)
	}
	for _, s := range news.Streams {
		m.stream(now, s)
	}
	m.count(news.Traffic, news.Demand)
	if m.heard && now-m.rotated >= m.period {
		m.regulate(now)
	}
	m.ask(now, w)
	m.publish(now, w)
	if now >= m.wakeAt {
		m.wakeAt = now + tick
		w.Wake(tick, 0)
	}
}

// Estimates: work in process, completion, demand.

// count adds reports to the period at hand. A server that no try reached has no line: no evidence.
func (m *Manager) count(traffic []Traffic, demand []Demand) {
	for _, t := range traffic {
		s := m.servers[t.Server]
		if s == nil || t.Tries <= 0 {
			continue
		}
		m.heard = true
		lost := math.Min(t.Lost, t.Tries)
		a := &s.tallies[0]
		a.tries += t.Tries
		a.lost += lost
		a.seconds += (t.Tries - lost) * t.Latency
	}
	for _, d := range demand {
		if p := m.proxy(d.Proxy); p != nil && int(d.Class) < len(p.rate) && d.Interval > 0 {
			p.rate[d.Class] += (d.Queries/d.Interval - p.rate[d.Class]) / 2
		}
	}
}

// sum adds up a server's latest periods.
func (s *server) sum(periods int) (t tally) {
	for _, a := range s.tallies[:min(periods, window)] {
		t.tries += a.tries
		t.lost += a.lost
		t.seconds += a.seconds
		t.expected += a.expected
	}
	return t
}

// demandOf is what joined proxies ask of a pool, queries a second.
func (m *Manager) demandOf(p *pool) (d float64) {
	for _, x := range m.proxies {
		if p.own && x.zone != p.home {
			continue
		}
		for _, c := range p.classes {
			d += x.rate[c]
		}
	}
	return d
}

// expect fills in how many of the period's tries each server should have had by the tables of that time.
func (m *Manager) expect() {
	all, total := 0.0, 0.0
	for _, s := range m.order {
		all += s.tallies[0].tries
		copy(s.shares[1:], s.shares[:])
		s.shares[0] = 0
	}
	for _, p := range m.pools {
		total += m.demandOf(p)
	}
	for _, p := range m.pools {
		sum, part := 0.0, 1/float64(len(m.pools))
		if total > 0 {
			part = m.demandOf(p) / total
		}
		for _, s := range m.order {
			sum += p.held[s.Server]
		}
		for _, s := range m.order {
			if sum > 0 {
				s.shares[0] += part * p.held[s.Server] / sum
			}
		}
	}
	ago := int(math.Ceil((m.period/2 + reportLag + m.channel.MeanWay) / m.period))
	for _, s := range m.order {
		s.tallies[0].expected = all * s.shares[min(ago, len(s.shares)-1)]
	}
}

// Regulator: intake = completion rate - gain x error.

// gain is the one-server solution of the Riccati equation.
func gain(ratio float64) float64 {
	s := (ratio + math.Sqrt(ratio*ratio+4*ratio)) / 2
	return s / (1 + s)
}

// regulate closes a period: it judges every server and gives it its intake.
func (m *Manager) regulate(now float64) {
	m.rotated, m.heard = now, false
	m.filled = min(m.filled+1, window)
	m.expect()
	m.judge(now)
	span := float64(m.filled) * m.period
	goal := 0.0
	for _, c := range m.classes {
		goal = math.Max(goal, c.GoalTime)
	}
	type state struct{ rate, work float64 }
	states := make([]state, len(m.order))
	work, rate, n := 0.0, 0.0, 0.0
	for i, s := range m.order {
		t := s.sum(window)
		tries := t.tries
		if math.Abs(t.tries-t.expected) < noiseSpread*math.Sqrt(t.expected) {
			tries = t.expected
		}
		if t.tries < leastTries {
			states[i] = state{t.expected / span, -1}
			continue
		}
		answered := tries * (t.tries - t.lost) / t.tries
		states[i].rate = answered / span
		if t.tries > t.lost {
			states[i].work = answered / span * t.seconds / (t.tries - t.lost)
		}
		// A try without an answer is work that is still there, or was there for nothing.
		states[i].work += (tries - answered) * goal / span
		if missing := t.expected - t.tries; tries != t.expected && missing > 0 {
			states[i].work += missing * goal / span
		}
		if s.usable() && !s.bad && m.warm(now, s) >= 1 {
			work, rate, n = work+states[i].work, rate+states[i].rate, n+1
		}
	}
	if n > 0 && rate > 0 && work > 0 {
		target, step := work/n, work/rate
		for i, s := range m.order {
			e := states[i].work - target
			if states[i].work < 0 || math.Abs(e) < ignored*target {
				e = 0
			}
			s.intake = math.Max(states[i].rate-gain(gainRatio)*m.usageSeen()*e/step, 0)
			s.intake = math.Min(s.intake, 2*math.Max(states[i].rate, rate/n/4))
		}
	}
	m.press(now, goal)
	for _, s := range m.order {
		copy(s.tallies[1:], s.tallies[:])
		s.tallies[0] = tally{}
	}
}

// Levels.

// press works like the regulator, for the fleet against the goal time: while the work of most servers
// takes too long, what is let in = completion rate - gain x work above what the goal time bears. What
// brings least benefit is refused first. Guards against any overload that lasts, whatever its cause;
// harmful where the reports lie about latency, which is why the median server decides.
func (m *Manager) press(now, goal float64) {
	periods := min(int(math.Ceil(recent/m.period)), m.filled)
	span := float64(periods) * m.period
	bears := calm * goal
	room := make([]float64, len(m.order))
	var took []float64
	tries := 0.0
	for i, s := range m.order {
		t := s.sum(periods)
		tries += t.tries / span
		s.rate = (t.tries - t.lost) / span
		s.work = t.seconds/span + t.lost*goal/span
		part := m.warm(now, s)
		if !s.usable() {
			continue
		}
		room[i] = s.rate
		if t.tries >= leastTries && !s.bad {
			room[i] = math.Max(0, s.rate-gain(gainRatio)*(s.work-s.rate*bears)/bears)
		}
		if part >= 1 && !s.bad && t.tries >= leastTries {
			took = append(took, s.work/math.Max(s.rate, 1e-9))
		}
		if part < 1 {
			room[i] = part * m.answers.mean()
		}
	}
	m.tries = tries
	sort.Float64s(took)
	pressed := len(took) > 0 && took[len(took)/2] > bears
	if !pressed && len(took) > 0 {
		for _, s := range m.order {
			if s.usable() && !s.bad && m.warm(now, s) >= 1 {
				s.answers.add(s.rate)
				m.answers.add(s.rate)
			}
		}
	}
	limited := false
	for _, a := range m.admitted {
		limited = limited || a >= 0
	}
	if !pressed && !limited {
		return
	}
	byBenefit := make([]Class, len(m.classes))
	for c := range byBenefit {
		byBenefit[c] = Class(c)
	}
	sort.SliceStable(byBenefit, func(a, b int) bool {
		return m.classes[byBenefit[a]].Benefit > m.classes[byBenefit[b]].Benefit
	})
	// Refused queries come again, and are often refused again: what is let in tells how much is new.
	let, fixed, varied := tries, 0.0, 0.0
	for c := range m.classes {
		if m.held[c] < 1 && m.levels == LevelFraction {
			varied += m.held[c] * m.offered(Class(c))
		} else {
			fixed += m.offered(Class(c))
		}
	}
	fresh := 1.0
	if varied > 0 {
		fresh = math.Min(1, math.Max(0.1, (let-fixed)/varied))
	}
	for _, c := range byBenefit {
		asked, free := m.offered(c), 0.0
		if m.held[c] < 1 {
			asked *= fresh
		}
		open := make([]bool, len(m.order))
		for _, p := range m.pools {
			for i, s := range m.order {
				open[i] = open[i] || p.has(c) && p.open(s)
			}
		}
		for i := range m.order {
			if open[i] {
				free += room[i]
			}
		}
		m.admitted[c], m.held[c] = -1, 1
		if asked > free {
			m.admitted[c], m.held[c] = free, free/asked
		}
		for i := range m.order {
			if open[i] && free > 0 {
				room[i] *= math.Max(0, 1-asked/free)
			}
		}
	}
}

// offered is what comes to joined proxies for a class.
func (m *Manager) offered(c Class) (sum float64) {
	for _, x := range m.proxies {
		sum += x.rate[c]
	}
	return sum
}

func (p *pool) has(c Class) bool {
	for _, k := range p.classes {
		if k == c {
			return true
		}
	}
	return false
}

// level puts what may be let in of a class into the proxies' terms.
func (m *Manager) level(c Class) float64 {
	var rates []float64
	left := m.admitted[c]
	for _, x := range m.proxies {
		rates = append(rates, x.rate[c])
	}
	switch {
	case m.levels == LevelFraction:
		return m.held[c]
	case left < 0:
		return noLevel
	}
	sort.Float64s(rates) // the small proxies' queries all fit, the rest share what is left
	for i, r := range rates {
		if each := left / float64(len(rates)-i); r > each {
			return each
		}
		left -= r
	}
	return noLevel
}

// usageSeen is the share of all usage that this coordinator sees; corrections are scaled by it.
func (m *Manager) usageSeen() float64 {
	if m.fleet.Coordinators <= 1 || m.fleet.Proxies == 0 {
		return 1
	}
	return math.Min(1, float64(len(m.proxies))/float64(m.fleet.Proxies))
}

// Health.

// judge compares the success of every server's recent tries with that of the better part of the fleet.
func (m *Manager) judge(now float64) {
	periods := int(math.Ceil(recent / m.period))
	var good []float64
	success := make([]float64, len(m.order))
	for i, s := range m.order {
		success[i] = -1
		t := s.sum(periods)
		if s.bad {
			t = s.sum(window)
		}
		tries := t.tries
		if t.expected-t.tries > noiseSpread*math.Sqrt(t.expected)+1 && !s.bad {
			tries = t.expected // what has not come back is not answered
		}
		if s.usable() && tries >= leastTries {
			success[i] = (t.tries - t.lost) / tries
			good = append(good, success[i])
		}
	}
	if len(good) == 0 {
		return
	}
	sort.Float64s(good)
	best := good[len(good)*3/4]
	for i, s := range m.order {
		switch {
		case success[i] < 0:
		case !s.bad && success[i] < badPart*best:
			s.bad, s.since = true, now
		case s.bad && success[i] >= okPart*best:
			s.bad, s.since = false, now
		}
	}
}

func (s *server) usable() bool { return s.Phase == InService }

// Return of servers.

// warm is the share of its full work that a server may be given: by its guaranteed capacity since its
// start, and by the ramp since it was judged well again.
func (m *Manager) warm(now float64, s *server) float64 {
	part := m.cold(now, s)
	if s.known > 0 {
		part = math.Min(part, (now-s.known)/rampFor+m.promise.ColdShare)
	}
	if s.bad {
		return 0
	}
	if s.since > 0 {
		part = math.Min(part, (now-s.since)/rampFor)
	}
	return math.Max(math.Min(part, 1), 0)
}

// cold is the share of its capacity that a server surely has, by the time since its start.
func (m *Manager) cold(now float64, s *server) float64 {
	age := now - s.Started
	if s.Started <= 0 || age >= m.promise.ColdFor {
		return 1
	}
	return m.promise.ColdShare + (1-m.promise.ColdShare)*math.Max(age, 0)/m.promise.ColdFor
}

// Following the list.

// follow takes a word from discovery.
func (m *Manager) follow(now float64, l List) {
	if l.Scope == Failed {
		m.askWait = math.Max(askFirst, math.Min(2*m.askWait, m.promise.AskWithin/4))
		m.asked, m.askAt = false, now+m.askWait*(1+m.chance.float())/2
		return
	}
	m.askWait = 0
	seen := map[Server]bool{}
	for _, e := range l.Entries {
		seen[e.Server] = true
		s := m.servers[e.Server]
		if s == nil {
			if e.Phase == Gone {
				continue
			}
			s = &server{Entry: e}
			if l.Scope != Cached {
				s.known = now
			}
			m.servers[e.Server] = s
			i := sort.Search(len(m.order), func(i int) bool { return m.order[i].Server > e.Server })
			m.order = append(m.order, nil)
			copy(m.order[i+1:], m.order[i:])
			m.order[i] = s
			continue
		}
		if e.Phase == InService && (e.Started != s.Started || s.Phase != InService) {
			*s = server{Entry: e, known: now} // another process: what was learnt of the last is void
		}
		if e.Phase == Gone {
			e = s.Entry
			e.Phase = Gone
		}
		s.Entry = e
	}
	if l.Scope == Whole {
		for _, s := range m.order {
			if !seen[s.Server] {
				s.Phase = Gone
			}
		}
	}
}

// ask subscribes to discovery, where it must be asked.
func (m *Manager) ask(now float64, w Writer) {
	if m.asking && !m.asked && now >= m.askAt {
		m.asked = true
		w.Watch()
	}
}

// Publishing.

func (m *Manager) proxy(id Proxy) *proxy {
	for _, p := range m.proxies {
		if p.id == id {
			return p
		}
	}
	return nil
}

// stream notes a proxy that joined or left.
func (m *Manager) stream(now float64, s Stream) {
	delete(m.absent, s.Proxy)
	for i, p := range m.proxies {
		if p.id == s.Proxy {
			for _, r := range p.rate {
				m.absent[p.id] += r
			}
			m.proxies = append(m.proxies[:i], m.proxies[i+1:]...)
			break
		}
	}
	if s.Joined {
		delete(m.absent, s.Proxy)
		rate := make([]float64, len(m.classes))
		for c := range rate {
			rate[c] = s.Usual / float64(len(rate))
		}
		m.proxies = append(m.proxies, &proxy{id: s.Proxy, zone: s.Zone, joined: now, rate: rate})
		for c := range m.classes {
			m.poolOf(Class(c), s.Zone)
		}
	}
}

// poolOf finds or makes the table of a class for proxies of a zone.
func (m *Manager) poolOf(c Class, home Zone) *pool {
	q := m.classes[c]
	for _, p := range m.pools {
		if p.own != q.OwnZone || p.own && p.home != home || !sameZones(p.zones, q.OnlyZones) {
			continue
		}
		for _, k := range p.classes {
			if k == c {
				return p
			}
		}
		p.classes = append(p.classes, c)
		return p
	}
	p := &pool{table: Table(len(m.pools) + 1), classes: []Class{c}, zones: q.OnlyZones, own: q.OwnZone,
		home: home, held: map[Server]float64{}, sent: math.Inf(-1), levels: map[Class]float64{}}
	m.pools = append(m.pools, p)
	return p
}

func sameZones(a, b []Zone) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// open tells whether a pool's classes may go to a server.
func (p *pool) open(s *server) bool {
	if p.own && s.Zone != p.home {
		return false
	}
	for _, z := range p.zones {
		if z == s.Zone {
			return true
		}
	}
	return len(p.zones) == 0
}

// wanted gives the weights that a pool's servers should have, on the scale of those held. Taken is what
// pools with fewer servers already ask of each.
func (m *Manager) wanted(now float64, p *pool, taken map[Server]float64) map[Server]float64 {
	var open []*server
	listed, mean, known := 0.0, 0.0, 0.0
	for _, s := range m.order {
		if s.usable() && p.open(s) {
			open = append(open, s)
			listed += s.Weight
			if s.intake > 0 && m.warm(now, s) >= 1 {
				mean, known = mean+s.intake, known+1
			}
		}
	}
	n := float64(len(open))
	intake, bears := make([]float64, len(open)), make([]float64, len(open))
	for i, s := range open {
		part := m.warm(now, s)
		switch {
		case known == 0 && listed > 0: // nothing learnt yet: the listed weights
			intake[i] = part * s.Weight * n / listed
		case known == 0:
			intake[i] = part
		case part < 1 || s.intake <= 0:
			intake[i] = part * mean / known
		default:
			intake[i] = s.intake
		}
		intake[i] = math.Max(intake[i]-taken[s.Server], 0)
		bears[i] = math.Max(m.bears(now, s)-taken[s.Server], 0)
	}
	if known == 0 {
		mean, known = 1, 1
	}
	for i := range intake {
		intake[i] = math.Max(intake[i], floor/usual*mean/known)
	}
	m.spread(now, open, intake, bears, m.triesOf(p))
	held, sum := 0.0, 0.0 // keep the scale of what is held, so that one server's move is one line
	for i, s := range open {
		if h := p.held[s.Server]; h > 0 {
			held, sum = held+h, sum+intake[i]
		}
	}
	scale, largest := usual*known/mean, 0.0
	if held > 0 && sum > 0 {
		scale = held / sum
	}
	for _, v := range intake {
		largest = math.Max(largest, v*scale)
	}
	if largest > full {
		scale *= full / largest
	}
	want := map[Server]float64{}
	for i, s := range open {
		want[s.Server] = math.Max(math.Round(intake[i]*scale*8)/8, 1)
	}
	return want
}

// bears is the intake that a server can surely stand: what it usually answers and a little more, by its
// guaranteed capacity while it is cold.
func (m *Manager) bears(now float64, s *server) float64 {
	u := s.answers.mean()
	if part := m.cold(now, s); part < 1 {
		absent := 0.0
		for _, r := range m.absent {
			absent += r / float64(len(m.order))
		}
		return math.Max(part*m.answers.mean()-absent, 0)
	}
	if u == 0 {
		u = m.answers.mean()
	}
	return heavy * u
}

// spread bounds every server's part of the tries by what it bears; what is over goes to the others. Where
// all are at their bounds, only cold servers keep theirs. Guards against a withdrawal that pushes over
// the rest, above all cold servers, and against one bad judgement after the other while all are
// overloaded; it does harm where more servers are truly dead than the rest can make up for.
func (m *Manager) spread(now float64, open []*server, intake, bears []float64, tries float64) {
	sum, least := 0.0, 0.0
	for i := range open {
		sum, least = sum+intake[i], least+bears[i]
	}
	if m.answers.n == 0 || tries <= 0 || sum <= 0 {
		return
	}
	for i := range intake {
		intake[i] *= tries / sum
	}
	for range open { // each pass scales up those below their bounds by what is left
		over, below := 0.0, 0.0
		for i := range intake {
			if intake[i] >= bears[i] {
				over += intake[i] - bears[i]
				intake[i] = bears[i]
			} else {
				below += intake[i]
			}
		}
		if over < 1e-9*tries {
			return
		}
		warm := 0.0
		for i, s := range open {
			if m.cold(now, s) >= 1 {
				warm += bears[i]
			}
		}
		for i, s := range open {
			switch {
			case below > 0 && intake[i] < bears[i]:
				intake[i] *= 1 + over/below
			case below == 0 && warm > 0 && m.cold(now, s) >= 1:
				intake[i] += over * bears[i] / warm
			}
		}
		if below == 0 {
			return
		}
	}
}

// triesOf is what a pool's proxies send, repeats among them.
func (m *Manager) triesOf(p *pool) float64 {
	all := 0.0
	for _, q := range m.pools {
		all += m.demandOf(q)
	}
	if all <= 0 {
		return 0
	}
	return m.demandOf(p) * math.Max(1, m.tries/all)
}

// publish sends, in this order and at a pace that the channel bears: drains and dead servers, joins by
// age, then weights. All of a round's orders to a proxy go as one message.
func (m *Manager) publish(now float64, w Writer) {
	m.waiting = math.Max(0, m.waiting-(now-m.drained)*m.channel.LinesPerSecond)
	m.drained = now
	concerned := map[Proxy]float64{}
	taken := map[Server]float64{}
	sorted := append([]*pool(nil), m.pools...)
	sort.SliceStable(sorted, func(a, b int) bool { return m.size(sorted[a]) < m.size(sorted[b]) })
	for _, p := range sorted {
		want := m.wanted(now, p, taken)
		sum, demand := 0.0, m.demandOf(p)
		for _, s := range m.order {
			sum += want[s.Server]
		}
		urgent, moved, fresh := false, false, len(p.held) == 0
		for _, s := range m.order {
			h, v := p.held[s.Server], want[s.Server]
			if sum > 0 {
				taken[s.Server] += demand * v / sum
			}
			moved = moved || math.Abs(v-h) > movedBy*h
			urgent = urgent || h > 0 && v < h/2 && h > 2*floor
			if h > 0 && v == 0 { // drains and dead servers at once
				m.weigh(w, p, s, 0, concerned)
			}
		}
		pace := weightsEvery
		if urgent {
			pace = urgentEvery
		}
		if moved && (fresh || now-p.sent >= pace) && m.room(now, p, len(m.order)) {
			p.sent = now
			for _, s := range m.order {
				if h, v := p.held[s.Server], want[s.Server]; v > 0 && math.Abs(v-h) > movedBy*h {
					m.weigh(w, p, s, v, concerned)
				}
			}
		}
	}
	for _, p := range m.pools {
		if m.levels == LevelsIgnored || now-p.leveled < levelFor || !m.room(now, p, len(p.classes)) {
			continue
		}
		for _, c := range p.classes {
			v, held := m.level(c), p.levels[c]
			if held == 0 && v < noLevel && v != 1 || held > 0 && math.Abs(v-held) > movedBy*held {
				p.levels[c], p.leveled = math.Max(v, 0.001), now
				w.Admit(p.table, 1<<c, v, m.fleet.UsualRepeats)
				for _, x := range m.proxies {
					if x.bound && (!p.own || p.home == x.zone) {
						concerned[x.id]++
					}
				}
			}
		}
	}
	for _, x := range m.proxies {
		if x.bound {
			continue
		}
		lines := m.channel.MessageLines
		for _, p := range m.pools {
			lines += float64(1 + len(p.held))
		}
		if m.waiting+lines > pacedPart*m.channel.MostWaiting && m.waiting > 0 {
			break
		}
		x.bound = true
		for _, p := range m.pools {
			if p.own && p.home != x.zone {
				continue
			}
			var set Classes
			for _, c := range p.classes {
				set |= 1 << c
			}
			w.Bind(x.id, p.table, set)
			concerned[x.id] += float64(1 + len(p.held))
		}
		m.waiting += lines
		delete(concerned, x.id)
		x.sent = append(x.sent, now)
	}
	for _, x := range m.proxies {
		if lines := concerned[x.id]; lines > 0 {
			m.waiting += lines + m.channel.MessageLines
			x.sent = append(x.sent, now)
		}
		for len(x.sent) > 0 && x.sent[0] < now-m.channel.MessageWindow {
			x.sent = x.sent[1:]
		}
	}
}

func (m *Manager) size(p *pool) (n int) {
	for _, s := range m.order {
		if p.open(s) {
			n++
		}
	}
	return n
}

// weigh sets a line and notes whom it concerns.
func (m *Manager) weigh(w Writer, p *pool, s *server, v float64, concerned map[Proxy]float64) {
	w.Weigh(p.table, s.Server, v)
	if p.held[s.Server] = v; v == 0 {
		delete(p.held, s.Server)
	}
	for _, x := range m.proxies {
		if x.bound && (!p.own || p.home == x.zone) {
			concerned[x.id]++
		}
	}
}

// room tells whether so many lines to every proxy of a pool fit the channel and the proxies' limits.
func (m *Manager) room(now float64, p *pool, lines int) bool {
	sum := m.waiting
	for _, x := range m.proxies {
		if !x.bound || p.own && p.home != x.zone {
			continue
		}
		sum += float64(lines) + m.channel.MessageLines
		if m.channel.MostMessages > 0 && len(x.sent) >= m.channel.MostMessages-spareForBad {
			return false
		}
	}
	return sum <= pacedPart*m.channel.MostWaiting
}

// pcg is a permuted congruential generator (PCG-XSH-RR 64/32).
type pcg uint64

func newPCG(seed uint64) pcg { return pcg(seed*6364136223846793005 + 1442695040888963407) }

// float draws evenly from 0 to 1.
func (c *pcg) float() float64 {
	old := uint64(*c)
	*c = pcg(old*6364136223846793005 + 1442695040888963407)
	x, rot := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return float64(x>>rot|x<<(-rot&31)) / (1 << 32)
}
