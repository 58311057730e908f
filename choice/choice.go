// Package choice decides which servers the proxies use, and how much of each.
//
// New makes one coordinator's Manager from what it is handed at start. Round is then called once a round
// with all that came in since the last one, and writes the decisions into a Writer. The types of both are
// in interface.go; docs/design.md tells what the mechanism is and where it comes from.
package choice

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// Estimates.
	window     = 5    // periods over which work in process is averaged; the design's
	recent     = 1.5  // seconds of reports by which levels go: some ten tries at usual loads
	leastTries = 4.0  // fewer are no evidence: one failure in three is common by chance
	reportLag  = 1.0  // seconds that reports are late, give or take half
	leastBin   = 0.2  // queries a second, first bin of a histogram: under this is as good as nothing
	binGrowth  = 1.5  // ratio of two bins; 16 of them reach 130 queries a second
	halveAt    = 64.0 // entries after which a histogram is halved: half a minute to two minutes

	// Regulator.
	gainRatio = 0.1       // q/r, error against correction; the design's: 0.1 to 1 score alike
	ignored   = 1.0 / 5.0 // of the target; errors below it are left alone; the design's
	floor     = 8.0       // of 255, least weight: 1/16 of a usual server's, enough to notice its return
	usual     = 128.0     // weight of a server listed as average: half of full, so that it can double
	full      = 255.0     // the source's largest relative capacity

	// Health.
	settleFor = 8.0  // seconds for which a proxy that came back may avoid servers; 2 to 8 are usual
	forgetFor = 30.0 // seconds after which a proxy that left is held to be dead; outages last 5 to 20
	lossyAt   = 0.04 // of all tries lost; more, and some proxy avoids some server: 8 lost in a row are enough
	heavy     = 1.6  // times its usual answers that a server bears: from 0.6 of its capacity to all of it

	// Return.
	rampFor = 5.0 // seconds from the floor to the full weight; the design's

	// Levels.
	calm       = 0.4  // of the goal time; where work takes longer the fleet is pressed; the rest is for chance
	levelEvery = 1.0  // seconds between two sendings of levels, for the last to show
	riseBy     = 0.25 // part by which a level may rise in a second: reports may be 4 s late
	riseFrom   = 0.1  // and from where, so that it does not take longer than a trouble
	leastLevel = 1e-3 // a class never vanishes, or its demand could not be seen to fall
	noLevel    = 1e6  // lets in all, as a share or as queries a second at a proxy

	// Publishing.
	movedBy      = 0.1  // part of the held weight that a move must exceed to be sent; the design's
	weightsEvery = 5.0  // seconds between two sendings of weights; the design's
	urgentBy     = 0.33 // of the held weight; a weight off by more is trouble, not drift, and does not wait
	urgentEvery  = 1.0  // seconds between two sendings then: time to gather others like it
	pacedPart    = 0.5  // of the channel's limit that joins and weights may fill; the rest is for drains
	spare        = 4    // messages to a proxy kept for drains, where they are limited
	slowest      = 0.1  // of the promised pace, below which a channel is not held to be alive
	askFirst     = 0.5  // seconds until discovery is asked again after a failure; doubled each time
	wakeEvery    = 0.25 // seconds between two rounds at least, for what is due by time alone

	every = ^Classes(0)
)

// server is what is known of one server.
type server struct {
	Entry
	known   float64       // when its present start was heard of, if not there from the first
	tallies [window]tally // newest first
	answers histogram     // queries a second that it usually answers
	met     bool          // tries have shown what it does
	sound   bool          // its latest report had no try that failed
	deaf    float64       // until when reports of it are still of an outage that is over
	intake  float64       // queries a second that the regulator wants it to get
}

// tally counts what joined proxies met at a server in one period, and the time that the reports cover.
type tally struct{ tries, lost, seconds, span float64 }

// cover is how much time the reports of a server and zone cover in the period at hand.
type cover struct {
	server       Server
	zone         Zone
	tries, spans float64
}

// pool is a table: the classes that are open to the same servers, and what its proxies hold.
type pool struct {
	table            Table
	classes          Classes
	zones            []Zone // of its servers; none: all
	own              bool   // only servers of the proxies' zone, which is home
	home             Zone
	held             map[Server]float64
	levels           map[Class]order
	weighed, leveled float64 // when weights were last sent, and levels
}

// order is a level and the way of trying again, as sent.
type order struct {
	level float64
	again Repeats
}

// proxy is a joined proxy.
type proxy struct {
	Stream
	bound bool
	rate  []float64 // queries a second by class
	sent  []float64 // times of the latest messages
	lines float64   // of the message of this round
}

// Manager is one coordinator.
type Manager struct {
	classes  []QueryClass
	all      []Class // most benefit first
	fleet    Dataplane
	channel  channel
	promise  Guarantees
	period   float64
	goal     float64 // the longest goal time, seconds
	list     watch
	servers  map[Server]*server
	order    []*server // as first listed, so that no order of a map reaches an output
	pools    []*pool
	proxies  []*proxy          // in the order of joining
	absent   map[Proxy]float64 // when proxies left that have not come back
	returned float64           // when the last of them did
	lossy    bool              // so many tries are lost that proxies avoid servers
	pressed  bool              // the work takes longer than the goal time bears
	answers  histogram         // queries a second that a warm server usually answers
	tries    float64           // a second, of joined proxies, repeats among them
	let      []float64         // by class, the share of new queries that may be let in
	closed   float64           // when the last period was
	covered  []cover           // what the reports since then cover
	wakeAt   float64
}

// New makes a coordinator that knows nothing but what it is handed. It does not probe: the floor tells more.
func New(seed uint64, classes []QueryClass, fleet Dataplane, ch Channel, promise Guarantees,
	reporting Reporting, _ Probing, discovery Discovery) *Manager {
	m := &Manager{classes: classes, fleet: fleet, promise: promise, period: math.Max(reporting.Period, 0.05),
		channel: channel{Channel: ch, pace: 1}, servers: map[Server]*server{}, absent: map[Proxy]float64{},
		list: watch{at: math.Inf(1), chance: newPCG(seed)}, closed: math.Inf(-1)}
	if discovery.OnRequest {
		m.list.at = 0
	}
	for c, q := range classes {
		m.goal = math.Max(m.goal, q.GoalTime)
		m.all, m.let = append(m.all, Class(c)), append(m.let, 1)
	}
	slices.SortStableFunc(m.all, func(a, b Class) int {
		return cmp.Compare(classes[b].Benefit, classes[a].Benefit)
	})
	return m
}

// Round takes all that came in since the last call and writes what is decided.
func (m *Manager) Round(now float64, news News, w Writer) {
	for _, l := range news.Lists {
		m.list.heard(now, l, m.promise.AskWithin)
		m.follow(now, l)
	}
	for _, s := range news.Streams {
		m.stream(now, s)
	}
	m.channel.heard(news.Applied)
	m.count(now, news.Traffic, news.Demand)
	if len(m.covered) > 0 && now-m.closed >= m.period {
		m.close(now)
	}
	if now >= m.list.at {
		m.list.at = math.Inf(1)
		w.Watch()
	}
	m.publish(now, w)
	if now >= m.wakeAt {
		m.wakeAt = now + wakeEvery
		w.Wake(wakeEvery, 0)
	}
}

// Estimates: work in process, completion, demand.

// histogram keeps what was measured in coarse bins, each half as wide again as the one before.
type histogram struct {
	bins [16]float64
	n    float64
}

func (h *histogram) add(v float64) {
	i := math.Log(math.Max(v, leastBin)/leastBin) / math.Log(binGrowth)
	h.bins[int(math.Min(i, float64(len(h.bins)-1)))]++
	if h.n++; h.n > halveAt {
		for i := range h.bins {
			h.bins[i] /= 2
		}
		h.n /= 2
	}
}

func (h *histogram) mean() (v float64) {
	for i, b := range h.bins {
		v += b / math.Max(h.n, 1) * leastBin * math.Pow(binGrowth, float64(i)+0.5)
	}
	return v
}

// count adds reports to the period at hand, each by its own interval.
func (m *Manager) count(now float64, traffic []Traffic, demand []Demand) {
	for _, t := range traffic {
		if s := m.servers[t.Server]; s != nil && t.Tries > 0 && now >= s.deaf {
			i := slices.IndexFunc(m.covered, func(c cover) bool { return c.server == t.Server && c.zone == t.Zone })
			if i < 0 {
				i, m.covered = len(m.covered), append(m.covered, cover{server: t.Server, zone: t.Zone})
			}
			m.covered[i].tries, m.covered[i].spans = m.covered[i].tries+t.Tries, m.covered[i].spans+t.Interval
			lost := math.Min(t.Lost, t.Tries)
			s.sound = lost == 0
			a := &s.tallies[0]
			a.tries, a.lost, a.seconds = a.tries+t.Tries, a.lost+lost, a.seconds+(t.Tries-lost)*t.Latency
		}
	}
	for _, d := range demand {
		for _, x := range m.proxies {
			if x.Proxy == d.Proxy && int(d.Class) < len(x.rate) && d.Interval > 0 {
				x.rate[d.Class] += (d.Queries/d.Interval - x.rate[d.Class]) / 2
			}
		}
	}
}

func (s *server) sum(periods int) (t tally) {
	for _, a := range s.tallies[:periods] {
		t.tries, t.lost, t.seconds, t.span = t.tries+a.tries, t.lost+a.lost, t.seconds+a.seconds, t.span+a.span
	}
	return t
}

// offered is what comes to joined proxies, or those of a pool, for some classes, queries a second.
func (m *Manager) offered(p *pool, set Classes) (sum float64) {
	for _, x := range m.proxies {
		for c, r := range x.rate {
			if set>>c&1 == 1 && (p == nil || p.serves(x)) {
				sum += r
			}
		}
	}
	return sum
}

// close ends a period: it sets the servers' intakes and the levels.
func (m *Manager) close(now float64) {
	tries, spans := 0.0, 0.0
	for _, c := range m.covered {
		tries, spans = tries+c.tries, spans+c.tries*c.spans
	}
	for _, s := range m.order { // reports that are only late cover less time than has gone by
		s.tallies[0].span = math.Max(math.Min(spans/tries, now-m.closed), m.period/2)
	}
	m.closed, m.covered = now, nil
	// Corrections are scaled by the part of all usage that this coordinator sees.
	seen := math.Min(1, float64(len(m.proxies))/math.Max(float64(m.fleet.Proxies), 1))
	maps.DeleteFunc(m.absent, func(_ Proxy, left float64) bool { return now-left > forgetFor })
	few := min(int(math.Ceil(recent/m.period)), window)
	m.regulate(now, few, gain(gainRatio)*seen)
	m.press(now, few, gain(gainRatio), calm*m.goal)
	for _, s := range m.order {
		copy(s.tallies[1:], s.tallies[:])
		s.tallies[0] = tally{}
	}
}

// Regulator.

// gain is the one-server solution of the Riccati equation.
func gain(ratio float64) float64 {
	s := (ratio + math.Sqrt(ratio*ratio+4*ratio)) / 2
	return s / (1 + s)
}

// regulate sets every server's intake = completion rate - gain x error / step, where the error is its work
// in process over the servers' mean and the step is the time in which that mean is worked off. Failed tries
// never count as completion; tries without an answer count as work for a goal time, so that neither fast
// errors nor a hung server look idle; and a correction upwards is scaled by the part that succeeds.
func (m *Manager) regulate(now float64, few int, gain float64) {
	type state struct{ rate, work, late, good float64 }
	states := make([]state, len(m.order))
	rate, work, n := 0.0, 0.0, 0.0
	for i, s := range m.order {
		t, l := s.sum(window), s.sum(few)
		if t.tries < leastTries {
			continue
		}
		good := t.tries - t.lost
		states[i] = state{good / t.span, (t.seconds + t.lost*m.goal) / t.span, (l.seconds + l.lost*m.goal) / l.span,
			good / t.tries}
		if s.Phase == InService && m.ready(now, s) >= 1 {
			rate, work, n = rate+states[i].rate, work+states[i].work, n+1
		}
	}
	if rate <= 0 || work <= 0 {
		return
	}
	target, step := work/n, work/rate
	for i, s := range m.order {
		a := states[i]
		if a == (state{}) { // no evidence: as it was
			continue
		}
		// Work that is there no more, or no longer missing, is not corrected again.
		e := math.Max(math.Min(a.work, a.late)-target, 0) + math.Min(math.Max(a.work, a.late)-target, 0)*a.good
		if math.Abs(e) < ignored*target {
			e = 0
		}
		s.met = true
		s.intake = math.Min(math.Max(a.rate-gain*e/step, 0), 2*math.Max(a.rate, rate/n/4))
	}
}

// Health: what servers bear.

// bears is the intake that a server can surely stand: somewhat more than it usually answers, and while it
// is cold its guaranteed part of what others answer, or of half of what would push it over. Proxies that
// avoid servers may avoid all but the one they have not met: until they have settled it gets nothing.
func (m *Manager) bears(now float64, s *server) float64 {
	if part := m.cold(now, s); part < 1 {
		if m.fleet.EjectAfter > 0 && (m.lossy || len(m.absent) > 0 || now-m.returned < settleFor) {
			return 0
		}
		return part * m.answers.mean() * math.Min(heavy, m.promise.FallMultiple/2)
	}
	return heavy * cmp.Or(s.answers.mean(), m.answers.mean())
}

// spread bounds every server's part of the tries by what it bears; what is over goes to the others, at last
// to the warm ones. Guards against a withdrawal that pushes over the rest; it does harm where more servers
// are truly dead than the rest can make up for.
func (m *Manager) spread(now float64, open []*server, intake, bears []float64, tries float64) {
	if m.answers.n == 0 || tries <= 0 {
		return
	}
	all, warm := 0.0, 0.0
	for i, s := range open {
		if all += bears[i]; m.cold(now, s) >= 1 {
			warm += bears[i]
		}
	}
	low, high := 0.0, 1e6 // of the factor on all intakes at which they make up the tries, found by halving
	for range 60 {
		sum, mid := 0.0, (low+high)/2
		for i := range intake {
			sum += math.Min(mid*intake[i], bears[i])
		}
		if sum < tries {
			low = mid
		} else {
			high = mid
		}
	}
	for i, s := range open {
		intake[i] = math.Min(high*intake[i], bears[i])
		if all < tries && warm > 0 && m.cold(now, s) >= 1 {
			intake[i] *= 1 + (tries-all)/warm
		}
	}
}

// Return of servers.

// cold is the share of its capacity that a server surely has, by the time since its start.
func (m *Manager) cold(now float64, s *server) float64 {
	age := math.Max(now-s.Started, 0)
	if s.Started <= 0 || age >= m.promise.ColdFor {
		return 1
	}
	return m.promise.ColdShare + (1-m.promise.ColdShare)*age/m.promise.ColdFor
}

// ready is the share of an average intake that a server may be given, by its coldness and the ramp since it
// came. One that failed needs no ramp: it comes back from the floor by its answers.
func (m *Manager) ready(now float64, s *server) float64 {
	return math.Min(m.cold(now, s), m.promise.ColdShare+(now-s.known)/rampFor)
}

// Following the list.

// follow takes a word from discovery. A start not met before is another process: what was learnt is void.
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
			s = &server{Entry: e, known: math.Inf(-1)}
			if l.Scope != Cached {
				s.known = now
			}
			m.servers[e.Server] = s
			m.order = append(m.order, s)
		case e.Phase == Gone && m.promise.GoneIsAdvice && s.Phase == InService:
			s.intake = 0 // in case the list is wrong it keeps the floor, and answers bring it back
		case e.Phase == Gone:
			s.Phase = Gone
		case e.Phase == InService && (e.Started != s.Started || s.Phase != InService):
			*s = server{Entry: e, known: now}
		default:
			s.Entry = e
		}
	}
}

type watch struct {
	at, wait float64 // when it is next asked, and how long that was put off
	chance   pcg
}

func (d *watch) heard(now float64, l List, within float64) {
	if l.Scope != Failed {
		d.wait = 0
		return
	}
	d.wait = math.Max(askFirst, math.Min(2*d.wait, within/4))
	d.at = now + d.wait*(1+d.chance.float())/2
}

// Levels.

// press works like the regulator, for the fleet against the goal time: while its work takes too long, what
// is let in = completion rate - gain x work beyond what the goal time bears, least benefit refused first.
// Guards against overload of any cause; it does harm where answers are slow for other reasons than load.
// Servers that lose most of their tries are out of the count unless they are the greater part.
func (m *Manager) press(now float64, few int, gain, bears float64) {
	room, rates := make([]float64, len(m.order)), make([]float64, len(m.order))
	lost, took, done, n := 0.0, [2]float64{}, [2]float64{}, [2]float64{} // [1]: of those that lose most tries
	m.tries = 0
	for i, s := range m.order {
		t := s.sum(few)
		rates[i] = -1
		m.tries, lost = m.tries+t.tries/t.span, lost+t.lost/t.span
		rate, work := (t.tries-t.lost)/t.span, (t.seconds+t.lost*m.goal)/t.span
		switch part := m.ready(now, s); {
		case s.Phase != InService:
		case part < 1:
			room[i] = part * m.answers.mean()
		case t.tries < leastTries:
			room[i] = s.answers.mean()
		default:
			sick := int(math.Round(t.lost / t.tries))
			took[sick], done[sick], n[sick] = took[sick]+work, done[sick]+rate, n[sick]+1
			rates[i] = rate
			room[i] = math.Max(rate-gain*(work-rate*bears)/bears, s.answers.mean()/2) // what keeps it will pass
			if work <= rate*bears {
				room[i] = math.Max(room[i], s.answers.mean())
			}
		}
	}
	m.lossy = lost > lossyAt*m.tries
	if n[1] > n[0] {
		took[0], done[0] = took[0]+took[1], done[0]+done[1]
	}
	m.pressed = took[0] > done[0]*bears
	for i, s := range m.order { // a pressed fleet shows what its servers can do where they do more than before
		if v := rates[i]; v >= 0 && (!m.pressed || v > s.answers.mean()) {
			s.answers.add(v)
			m.answers.add(v)
		}
	}
	if m.pressed || slices.Min(m.let) < 1 {
		m.admit(room)
	}
}

func (m *Manager) admit(room []float64) {
	whole, cut := 0.0, 0.0
	for _, c := range m.all {
		if m.fleet.Levels == LevelFraction && m.let[c] < 1 {
			cut += m.let[c] * m.offered(nil, 1<<c)
		} else {
			whole += m.offered(nil, 1<<c)
		}
	}
	fresh := 1.0 // refused queries come again and are refused again: what is sent tells how many are new
	if cut > 0 {
		fresh = math.Min(1, math.Max(0.1, (m.tries-whole)/cut))
	}
	for _, c := range m.all {
		asked, free := m.offered(nil, 1<<c), 0.0
		if m.let[c] < 1 {
			asked *= fresh
		}
		open := make([]bool, len(room))
		for i, s := range m.order {
			for _, p := range m.pools {
				open[i] = open[i] || p.classes>>c&1 == 1 && p.open(s)
			}
			if open[i] {
				free += room[i]
			}
		}
		rise := math.Max(m.let[c], riseFrom) * (1 + riseBy*m.period) // late reports show what was let in before
		m.let[c] = math.Min(math.Min(1, rise), free/math.Max(asked, leastBin))
		for i := range room {
			if open[i] && free > 0 {
				room[i] *= math.Max(0, 1-asked/free)
			}
		}
	}
}

func (m *Manager) level(c Class) float64 {
	switch {
	case m.fleet.Levels == LevelsIgnored || m.let[c] >= 1:
		return noLevel
	case m.fleet.Levels == LevelFraction:
		return math.Max(m.let[c], leastLevel)
	}
	left, n := m.let[c]*m.offered(nil, 1<<c), len(m.proxies)
	byRate := func(a, b *proxy) int { return cmp.Compare(a.rate[c], b.rate[c]) }
	for _, x := range slices.SortedFunc(slices.Values(m.proxies), byRate) {
		if each := left / float64(n); x.rate[c] > each { // what comes to small proxies fits,
			return math.Max(each, leastLevel) // and the others share what is left
		}
		left, n = left-x.rate[c], n-1
	}
	return noLevel
}

// Publishing.

// stream notes a proxy that joined or left.
func (m *Manager) stream(now float64, s Stream) {
	m.proxies = slices.DeleteFunc(m.proxies, func(x *proxy) bool { return x.Proxy == s.Proxy })
	_, away := m.absent[s.Proxy]
	if m.absent[s.Proxy] = now; !s.Joined {
		return
	}
	if delete(m.absent, s.Proxy); away {
		m.returned = now
	}
	if away && !slices.ContainsFunc(m.proxies, func(x *proxy) bool { return x.Zone == s.Zone }) {
		for _, o := range m.order { // a cut has healed
			if o.Zone == s.Zone && !o.sound { // what is still reported of its servers is of the cut
				o.deaf, o.tallies = now+m.period+reportLag, [window]tally{}
				o.intake = math.Max(o.intake, o.answers.mean()/2)
			}
		}
	}
	x := &proxy{Stream: s, rate: make([]float64, len(m.classes))}
	for c := range x.rate {
		x.rate[c] = s.Usual / float64(len(x.rate))
		m.poolOf(Class(c), s.Zone)
	}
	m.proxies = append(m.proxies, x)
}

func (m *Manager) poolOf(c Class, home Zone) {
	q := m.classes[c]
	for _, p := range m.pools {
		if p.own == q.OwnZone && (!p.own || p.home == home) && slices.Equal(p.zones, q.OnlyZones) {
			p.classes |= 1 << c
			return
		}
	}
	m.pools = append(m.pools, &pool{table: Table(len(m.pools) + 1), classes: 1 << c, zones: q.OnlyZones,
		own: q.OwnZone, home: home, held: map[Server]float64{}, levels: map[Class]order{},
		weighed: math.Inf(-1), leveled: math.Inf(-1)})
	slices.SortStableFunc(m.pools, func(a, b *pool) int { return cmp.Compare(a.width(), b.width()) })
}

// width orders pools by how many zones their servers stand in.
func (p *pool) width() int {
	if p.own {
		return 1
	}
	return cmp.Or(len(p.zones), math.MaxInt)
}

func (p *pool) serves(x *proxy) bool { return !p.own || p.home == x.Zone }

// open tells whether a pool's classes may go to a server.
func (p *pool) open(s *server) bool {
	return (len(p.zones) == 0 || slices.Contains(p.zones, s.Zone)) && (!p.own || s.Zone == p.home)
}

// wanted gives the weights that a pool's servers should have, on the scale of those held, so that one
// server's move is one line. Taken is what pools with fewer servers already ask of each.
func (m *Manager) wanted(now float64, p *pool, taken map[Server]float64) map[Server]float64 {
	var open []*server
	listed, mean, known := 0.0, 0.0, 0.0
	for _, s := range m.order {
		if s.Phase == InService && p.open(s) {
			open, listed = append(open, s), listed+s.Weight
			if s.met && m.ready(now, s) >= 1 {
				mean, known = mean+s.intake, known+1
			}
		}
	}
	intake, bears := make([]float64, len(open)), make([]float64, len(open))
	learnt := known > 0
	if mean /= math.Max(known, 1); !learnt {
		mean = math.Max(m.offered(nil, every)/math.Max(float64(len(m.order)), 1), leastBin)
	}
	for i, s := range open {
		part := m.ready(now, s)
		intake[i] = part * mean
		if !learnt && listed > 0 { // the listed weights
			intake[i] *= s.Weight * float64(len(open)) / listed
		} else if learnt && part >= 1 && s.met {
			intake[i] = s.intake
		}
		intake[i] = math.Max(intake[i]-taken[s.Server], floor/usual*mean)
		bears[i] = math.Max(m.bears(now, s)-taken[s.Server], 0)
	}
	m.spread(now, open, intake, bears, m.tries*m.offered(p, p.classes)/math.Max(m.offered(nil, every), leastBin))
	held, sum, largest := 0.0, 0.0, 0.0
	for i, s := range open {
		if h := p.held[s.Server]; h > 0 {
			held, sum = held+h, sum+intake[i]
		}
		largest = math.Max(largest, intake[i])
	}
	scale := usual / mean
	if held > 0 && sum > 0 {
		scale = held / sum
	}
	scale = math.Min(scale, full/math.Max(largest, 1e-9))
	want := map[Server]float64{}
	for i, s := range open {
		if bears[i] > 0 || m.cold(now, s) >= 1 || slices.Max(bears) == 0 {
			want[s.Server] = math.Max(math.Round(intake[i]*scale*8)/8, 1)
		}
	}
	return want
}

// publish sends, as the channel bears it: drains and dead servers, weights that moved, levels, and joins by
// age, who so get a table that is up to date. A table is only empty where no warm server is in service.
func (m *Manager) publish(now float64, w Writer) {
	taken := map[Server]float64{}
	for _, p := range m.pools {
		want := m.wanted(now, p, taken)
		sum, pace, bare := 0.0, weightsEvery, true
		var moves []*server
		for _, s := range m.order {
			h, v := p.held[s.Server], want[s.Server]
			sum, bare = sum+v, bare && (h == 0 || v == 0)
			if h > 0 && off(h, v) > urgentBy {
				pace = urgentEvery
			}
			if v > 0 && off(h, v) > movedBy {
				moves = append(moves, s)
			}
		}
		slices.SortStableFunc(moves, func(a, b *server) int { // largest first: the channel may not bear all
			return cmp.Compare(off(p.held[b.Server], want[b.Server]), off(p.held[a.Server], want[a.Server]))
		})
		weigh := 0
		if n := m.fit(now, p, spare, pacedPart); bare || now-p.weighed >= pace && n > 0 && len(moves) > 0 {
			weigh, p.weighed = max(n, 1), now
		}
		for i, s := range moves {
			v, anew := want[s.Server], want[s.Server] < p.held[s.Server]/2
			if i < weigh || anew && m.cold(now, s) < 1 && m.fit(now, p, 0, 1) > 0 { // it has started again
				w.Weigh(p.table, s.Server, v)
				p.held[s.Server] = v
				m.concern(p)
			}
		}
		for _, s := range m.order { // drains come last in the message, so that it leaves no proxy bare
			taken[s.Server] += m.offered(p, p.classes) * want[s.Server] / math.Max(sum, 1)
			if p.held[s.Server] > 0 && want[s.Server] == 0 && m.fit(now, p, 0, 1) > 0 {
				w.Weigh(p.table, s.Server, 0)
				delete(p.held, s.Server)
				m.concern(p)
			}
		}
		if now-p.leveled < levelEvery || m.fit(now, p, spare, pacedPart) < len(m.all) {
			continue
		}
		for _, c := range m.all {
			ordinary := order{noLevel, m.fleet.UsualRepeats}
			if m.classes[c].Effect != Free { // a repeat that we order must never take effect twice
				ordinary.again = min(ordinary.again, AfterProof)
			}
			o, h := order{m.level(c), ordinary.again}, cmp.Or(p.levels[c], ordinary)
			if m.pressed { // what one server turns away would go to the others, cold ones above all
				o.again = NoRepeat
			}
			moved := o.again != h.again || off(h.level, o.level) > movedBy
			if p.classes>>c&1 == 1 && moved {
				p.levels[c], p.leveled = o, now
				w.Admit(p.table, 1<<c, o.level, o.again)
				m.concern(p)
			}
		}
	}
	sent := false
	for _, x := range m.proxies {
		lines := m.channel.head()
		for _, p := range m.pools {
			if !x.bound && p.serves(x) {
				lines += float64(1 + len(p.held) + len(p.levels))
			}
		}
		if free := m.channel.free(now, pacedPart); !x.bound && (free >= lines || m.channel.waiting == 0) {
			for _, p := range m.pools {
				if p.serves(x) {
					w.Bind(x.Proxy, p.table, p.classes)
				}
			}
			x.bound, x.lines = true, lines
			m.channel.waiting += lines
		}
		if x.lines > 0 {
			x.sent, sent = append(x.sent, now), true
		}
		for x.lines = 0; len(x.sent) > 0 && x.sent[0] < now-m.channel.MessageWindow; {
			x.sent = x.sent[1:]
		}
	}
	if sent {
		m.channel.ask(now, w)
	}
}

// off is the part of what is held that a move makes.
func off(held, want float64) float64 { return math.Abs(want-held) / math.Max(held, 1e-9) }

// concern charges one line to every proxy of a table, and the head where it begins a message.
func (m *Manager) concern(p *pool) {
	for _, x := range m.proxies {
		if x.bound && p.serves(x) {
			if x.lines == 0 {
				m.channel.waiting += m.channel.head()
			}
			x.lines++
			m.channel.waiting++
		}
	}
}

// fit is how many lines to every proxy of a table a part of the channel still bears: none where a proxy's
// messages are near their limit, with some to spare.
func (m *Manager) fit(now float64, p *pool, spare int, part float64) int {
	users, heads := 0.0, 0.0
	for _, x := range m.proxies {
		if x.bound && p.serves(x) {
			if users++; x.lines == 0 {
				heads += m.channel.head()
			}
			if m.channel.MostMessages > 0 && x.lines == 0 && len(x.sent)+spare >= m.channel.MostMessages {
				return 0
			}
		}
	}
	return int(math.Max(0, math.Min((m.channel.free(now, part)-heads)/math.Max(users, 1e-3), math.MaxInt32)))
}

// channel is a model of what waits on the way to the proxies.
type channel struct {
	Channel
	waiting, at  float64 // lines, and when that was worked out
	pace         float64 // of the promised one
	mark         Mark
	out          bool    // the mark has not been answered
	ahead, given float64 // the lines that waited when it was given, and when that was
}

// head is what a message costs besides its own lines, a mark among it.
func (c *channel) head() float64 { return c.MessageLines + 1 }

// free is how many lines more stay under a part of the limit.
func (c *channel) free(now, part float64) float64 {
	c.waiting = math.Max(0, c.waiting-math.Max(0, now-c.at)*c.LinesPerSecond*c.pace)
	c.at = now
	return part*c.MostWaiting - c.waiting
}

// ask gives a mark with this round's messages, unless one is out.
func (c *channel) ask(now float64, w Writer) {
	if c.out && now-c.given < c.MessageWindow {
		return
	}
	c.mark, c.out, c.ahead, c.given = (c.mark+1)%65536, true, c.waiting, now
	w.Mark(c.mark)
}

// heard learns the pace from the first proxy to answer; the others may stand still for reasons of their
// own. Guards against any delay on the way.
func (c *channel) heard(applied []Applied) {
	for _, a := range applied {
		if !c.out || a.Mark != c.mark {
			continue
		}
		c.out = false
		pace := 1.0
		if late := a.Took - c.LongestWay; late > 0 {
			pace = math.Min(1, math.Max(slowest, c.ahead/late/math.Max(c.LinesPerSecond, 1)))
		}
		c.pace = math.Min(pace, (c.pace+1)/2)
	}
}

// Chance.

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
