package emulator

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/env"
	"snowquay/internal/feed/collectd"
	"snowquay/internal/wire/sasp"
)

// RelayConfig is what a relay is like.
type RelayConfig struct {
	UID          string
	Host         netip.Addr // that it dials from
	Coordinator  netip.AddrPort
	Others       []netip.AddrPort // further coordinators, tried in turn
	Polls        bool             // it speaks the long-poll API there, not SASP
	Collector    netip.AddrPort
	User, Key    string
	DefaultTable []netip.AddrPort // the table that it starts with
	Flags        uint8            // Push, Trust, NoChange
	Classes      []Class
	Rate         float64 // queries a second
	Report       float64 // seconds between two reports
	EjectAfter   int     // failures in a row, after which it avoids a server
	EjectFor     float64
	Keys         int
	Seed         uint64

	Popular    []float64 // how the queries spread over keys, as Popularity says; none: evenly
	Retries    int       // times that a client asks anew when it was not answered
	RetryWait  float64   // seconds that it waits before
	Patience   float64   // part of its client timeout after which a client leaves; 0: all of it
	Policy     Policy
	AllServers []netip.AddrPort // servers, for policies that need no coordinator
}

// Policy by which a relay picks.
type Policy string

// The policies that a relay knows.
const (
	ByTable           Policy = ""      // as its coordinator orders
	RoundRobin        Policy = "robin" // all servers in turn, whatever is ordered
	PowerOfTwoChoices Policy = "two"   // of two servers drawn from its table the one with fewer of its own queries under way
)

const (
	relayArrival = 1
	relayReport  = 2
	relayDial    = 3
	relayPoll    = 4
	relayAsk     = 5
	relayBeat    = 6
	relayAgain   = 1 << 29  // numbers of wake-ups from here on, up to the tries, are of clients that ask anew
	relayBetween = 10000000 // numbers of looks whether it has asked again, up to the tries
	relayTries   = 1 << 30  // numbers of wake-ups from here on are of tries
	relayBeats   = 1.0      // seconds between two looks whether the coordinator still answers, where there are others
	relayRedial  = 1.0      // seconds between two dials, on average
)

type line struct {
	server netip.AddrPort
	weight float64
	credit float64 // for picking evenly by weight
}

type table struct {
	lines []*line
}

type target struct {
	conn     env.Conn
	open     bool
	queued   []*try
	failures int
	under    int     // tries under way
	avoid    float64 // until then
	totals   loadreport.Totals
}

type query struct {
	asks    int // times that its client has asked anew
	id      uint64
	class   int
	key     uint32
	work    float64
	came    float64
	tries   int
	tried   []netip.AddrPort
	decided bool
}

type try struct {
	*query
	number int
	server netip.AddrPort
	sent   float64
}

// Relay is a proxy with its clients.
type Relay struct {
	RelayConfig
	Load float64 // times the usual rate
	Lies float64 // part of its tries that it reports as lost, whatever became of them

	ref     *InvariantChecker
	io      env.IO
	sasp    env.Conn
	joined  bool
	speak   speaker
	tables  []*table
	targets map[netip.AddrPort]*target
	byConn  map[env.Conn]netip.AddrPort
	parts   map[env.Conn][]byte
	tries   map[int]*try
	byID    map[uint64]*try // newest try of a query
	nextTry int
	nextID  uint64
	demand  []loadreport.Totals
	chance  chance
	again0  map[int]*query
	asked   int
	deaf    bool
	beat    bool // its coordinator was asked whether it lives, and has not answered
	asks    asker
	levels  []float64
	again   []balancer.RetryPolicy
}

// Popularity of keys by Zipf's law with an exponent: which part of the queries is for the first key, the first two, and so on. Relays of
// a day share it. With an exponent of 0 it is nil: all keys are alike.
func Popularity(keys int, exponent float64) (parts []float64) {
	sum := 0.0
	for k := range keys {
		if exponent == 0 {
			return nil
		}
		sum += math.Pow(float64(k+1), -exponent)
		parts = append(parts, sum)
	}
	for k := range parts {
		parts[k] /= sum
	}
	return parts
}

// NewRelay makes a relay that tells a referee what it does.
func NewRelay(s RelayConfig, ref *InvariantChecker) *Relay {
	r := &Relay{RelayConfig: s, Load: 1, ref: ref, targets: map[netip.AddrPort]*target{},
		byConn: map[env.Conn]netip.AddrPort{}, parts: map[env.Conn][]byte{}, tries: map[int]*try{},
		byID: map[uint64]*try{}, again0: map[int]*query{}, nextTry: relayTries, demand: make([]loadreport.Totals, len(s.Classes)),
		chance: newChance(s.Seed), nextID: s.Seed << 32}
	for _, c := range s.Classes {
		r.levels, r.again = append(r.levels, 1), append(r.again, c.Repeats)
		t := &table{}
		start := s.DefaultTable
		if s.Policy == RoundRobin {
			start = s.AllServers
		}
		for _, a := range start {
			t.lines = append(t.lines, &line{server: a, weight: 1})
		}
		r.tables = append(r.tables, t)
	}
	return r
}

// Start of env.Program.
func (r *Relay) Start(now float64, io env.IO) {
	r.io = io
	r.ref.relayAt(r.UID, r.Host)
	r.sasp = io.Dial(r.Coordinator)
	if len(r.Others) > 0 {
		io.SetTimer(now+relayBeats, relayBeat)
	}
	r.arrive(now)
	io.SetTimer(now+r.Report*r.chance.float(), relayReport)
}

// Lines are the servers that its tables have lines to.
func (r *Relay) Lines() (all []netip.AddrPort) {
	for _, t := range r.tables {
		for _, l := range t.lines {
			all = append(all, l.server)
		}
	}
	return all
}

func (r *Relay) arrive(now float64) {
	rate := max(r.Rate*r.Load, 1e-3)
	r.io.SetTimer(now-math.Log(1-r.chance.float())/rate, relayArrival)
}

// Opened of env.Program.
func (r *Relay) Opened(float64, env.Conn, netip.Addr, uint16) {}

// Connected of env.Program.
func (r *Relay) Connected(now float64, c env.Conn, ok bool) {
	if c == r.sasp {
		if !ok {
			r.io.SetTimer(now+r.pause(), relayDial)
			return
		}
		if r.Polls {
			r.asks.buf, r.deaf = nil, false
			if r.ask(now); len(r.Others) == 0 { // one that is paused has not heard of it
				r.join(now)
			}
			return
		}
		r.register()
		return
	}
	a := r.byConn[c]
	t := r.targets[a]
	if t == nil || t.conn != c {
		return
	}
	queued := t.queued
	if t.queued = nil; !ok {
		delete(r.byConn, c)
		t.conn = 0
		for _, x := range queued {
			r.ended(now, x, full) // it surely never ran
		}
		return
	}
	t.open = true
	for _, x := range queued {
		r.transmit(now, t, x)
	}
}

// register says who it is, and that all it holds are its members.
func (r *Relay) register() {
	r.speak, r.deaf, r.beat = speaker{}, false, false
	r.io.Send(r.sasp, r.speak.write(&sasp.Message{Kind: sasp.SetBalancer, UID: []byte(r.UID), Flags: r.Flags}))
	m := &sasp.Message{Kind: sasp.Registration, LB: sasp.FromBalancer}
	for k, c := range r.Classes {
		g := sasp.Group{UID: []byte(r.UID), Name: []byte(c.Name), From: len(m.Rows)}
		for _, l := range r.tables[k].lines {
			m.Rows = append(m.Rows, sasp.Row{Address: sasp.AddressOf(l.server)})
		}
		g.To = len(m.Rows)
		m.Groups = append(m.Groups, g)
	}
	r.io.Send(r.sasp, r.speak.write(m))
}

// Receive of env.Program.
func (r *Relay) Receive(now float64, c env.Conn, b []byte) {
	if c == r.sasp {
		if r.deaf {
			if r.asks.out = false; r.Polls {
				r.io.SetTimer(now+askBetween, relayBetween+r.asks.polls)
			}
			return
		}
		if r.Polls {
			r.answers(now, b)
			return
		}
		if !r.speak.read(b, func(m *sasp.Message) { r.order(now, m) }) {
			r.ref.complain(now, "relay %s can't follow the stream", r.UID)
		}
		return
	}
	b = append(r.parts[c], b...)
	for len(b) >= answerSize {
		id, a := binary.BigEndian.Uint64(b), answer(b[8])
		b = b[answerSize:]
		if x := r.byID[id]; x != nil && r.targets[x.server].conn == c {
			r.ended(now, x, a)
		}
	}
	r.parts[c] = append([]byte(nil), b...)
}

func (r *Relay) order(now float64, m *sasp.Message) {
	switch m.Kind {
	case sasp.SetBalancerReply:
		r.beat = false
	case sasp.RegistrationReply:
		if m.Code == sasp.NotAccepted && len(r.Others) > 0 {
			return // another one leads it
		}
		if m.Code != sasp.OK {
			r.ref.complain(now, "relay %s: %s", r.UID, m.Code)
			return
		}
		r.joined = true
		r.ref.joined(now, r.UID)
		r.tell(now)
		if r.Flags&sasp.Push == 0 {
			r.io.SetTimer(now, relayPoll)
		}
	case sasp.SendWeights, sasp.GetWeightsReply:
		r.ref.message(now, r.UID, len(m.Rows))
		for _, g := range m.Groups {
			k := slices.IndexFunc(r.Classes, func(c Class) bool { return c.Name == string(g.Name) })
			if k < 0 || string(g.UID) != r.UID {
				r.ref.complain(now, "relay %s was sent group %q of %q", r.UID, g.Name, g.UID)
				continue
			}
			for _, row := range m.Rows[g.From:g.To] { // one after the other, as a plain relay would
				r.apply(r.tables[k], row)
				r.tell(now)
			}
		}
		if m.Kind == sasp.GetWeightsReply {
			r.io.SetTimer(now+float64(m.Interval), relayPoll)
		}
	}
}

func (r *Relay) apply(t *table, row sasp.Row) {
	weight := float64(row.Weight)
	if row.Flags&sasp.Quiesce != 0 {
		weight = 0
	}
	r.set(t, row.AddrPort(), weight)
}

func (r *Relay) set(t *table, a netip.AddrPort, weight float64) {
	if r.Policy == RoundRobin {
		return
	}
	i := slices.IndexFunc(t.lines, func(l *line) bool { return l.server == a })
	if i < 0 {
		if weight == 0 {
			return
		}
		t.lines = append(t.lines, &line{server: a})
		i = len(t.lines) - 1
	}
	l, before, sum := t.lines[i], t.lines[i].weight, 0.0
	l.weight = weight
	most := math.Inf(-1)
	for _, o := range t.lines {
		if sum += o.weight; o != l && o.weight > 0 {
			most = max(most, o.credit)
		}
	}
	if before == 0 && !math.IsInf(most, 0) { // a new line starts anywhere in the rotation
		l.credit = most - r.chance.float()*sum
	}
}

func (r *Relay) tell(now float64) {
	for k, t := range r.tables {
		has := slices.ContainsFunc(t.lines, func(l *line) bool { return l.weight > 0 })
		r.ref.lines(now, r.UID, k, has)
	}
}

// Closed of env.Program.
func (r *Relay) Closed(now float64, c env.Conn) {
	if c == r.sasp {
		r.joined = false
		r.ref.left(now, r.UID)
		r.io.SetTimer(now+r.pause(), relayDial)
		return
	}
	a := r.byConn[c]
	delete(r.byConn, c)
	delete(r.parts, c)
	if t := r.targets[a]; t != nil && t.conn == c {
		t.conn, t.open = 0, false
	}
	for _, number := range r.open(a) {
		r.ended(now, r.tries[number], failed) // it may have run
	}
}

// Deaf makes the relay go on by the tables that it has, without applying what comes, until it dials again.
func (r *Relay) Deaf(on bool) { r.deaf = on }

// pause is how long it waits before it dials again; with several coordinators it looks for its own more quickly.
func (r *Relay) pause() float64 {
	return relayRedial * (0.3 + r.chance.float()) / float64(1+len(r.Others))
}

// Drop breaks the connection to the coordinator from the relay's side.
func (r *Relay) Drop(now float64) {
	c := r.sasp
	r.io.Close(c)
	r.Closed(now, c)
}

func (r *Relay) open(a netip.AddrPort) (numbers []int) {
	for n, x := range r.tries {
		if x.server == a {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// Delivered of env.Program.
func (r *Relay) Delivered(float64, env.Conn, uint64) {}

// Datagram of env.Program.
func (r *Relay) Datagram(float64, []byte) {}

// TimerFired of env.Program.
func (r *Relay) TimerFired(now float64, what int) {
	switch what {
	case relayArrival:
		r.arrive(now)
		r.query(now)
	case relayReport:
		r.report(now)
		r.io.SetTimer(now+r.Report, relayReport)
	case relayBeat: // one that is paused answers nothing, and its connection stands
		r.io.SetTimer(now+relayBeats, relayBeat)
		switch {
		case !r.joined:
		case r.beat || r.Polls && r.asks.out && now-r.asks.since > askShort+relayBeats:
			r.Drop(now)
		case !r.Polls:
			r.beat = true
			r.io.Send(r.sasp, r.speak.write(&sasp.Message{Kind: sasp.SetBalancer, UID: []byte(r.UID), Flags: r.Flags}))
		}
	case relayAsk:
		if !r.asks.out {
			r.ask(now)
		}
	case relayDial:
		if n := len(r.Others); n > 0 { // the next one, in turn
			r.Coordinator, r.Others = r.Others[0], append(r.Others[1:n:n], r.Coordinator)
			r.Collector = netip.AddrPortFrom(r.Coordinator.Addr(), r.Collector.Port())
		}
		r.sasp = r.io.Dial(r.Coordinator)
	case relayPoll:
		if r.joined {
			r.io.Send(r.sasp, r.speak.write(&sasp.Message{Kind: sasp.GetWeights}))
		}
	default:
		if q := r.again0[what-relayAgain]; q != nil && what < relayTries {
			delete(r.again0, what-relayAgain)
			r.enter(now, q)
			return
		}
		if what > relayBetween && what < relayAgain {
			if r.joined && !r.asks.out && what-relayBetween == r.asks.polls {
				r.joined = false
				r.ref.left(now, r.UID)
			}
			return
		}
		if x := r.tries[what]; x != nil { // nobody waits for it any longer
			if t := r.targets[x.server]; t != nil && t.open {
				r.io.Send(t.conn, appendQuery(nil, x.id, givenUp, 0, 0))
			}
			r.ended(now, x, failed)
		}
	}
}

func (r *Relay) query(now float64) {
	v, k := r.chance.float(), 0
	for k < len(r.Classes)-1 && v >= r.Classes[k].Share {
		v -= r.Classes[k].Share
		k++
	}
	r.nextID++
	q := &query{id: r.nextID, class: k, key: r.key(), came: now,
		work: r.Classes[k].Work * (0.5 + r.chance.float())}
	r.ref.asked(now, k)
	r.enter(now, q)
}

// key of a query.
func (r *Relay) key() uint32 {
	v := r.chance.float()
	if r.Popular == nil {
		return uint32(v * float64(r.Keys))
	}
	k, _ := slices.BinarySearch(r.Popular, v)
	return uint32(k)
}

// enter lets a query in, or refuses it at once.
func (r *Relay) enter(now float64, q *query) {
	r.demand[q.class].Attempts++
	if r.chance.float() >= r.levels[q.class] {
		r.anew(now, q)
		return
	}
	r.try(now, q)
}

// patience is how long a client waits for an answer in all, in seconds.
func (r *Relay) patience(q *query) float64 {
	all := r.Classes[q.class].Query.ClientTimeout
	if r.Patience > 0 {
		all *= r.Patience
	}
	return all
}

// anew lets a client ask once more, as another query of the same work: what it repeats is its own doing.
func (r *Relay) anew(now float64, q *query) {
	q.decided = true
	if q.asks >= r.Retries || now+r.RetryWait-q.came > r.patience(q) {
		return
	}
	r.nextID++
	r.asked++
	r.again0[r.asked] = &query{id: r.nextID, class: q.class, key: q.key, came: q.came, work: q.work, asks: q.asks + 1}
	r.io.SetTimer(now+r.RetryWait*(0.5+r.chance.float()), relayAgain+r.asked)
}

// pick is evenly by weight, past servers that it avoids, unless it avoids all; not one that the query has tried.
func (r *Relay) pick(now float64, q *query) (netip.AddrPort, bool) {
	if r.Policy == PowerOfTwoChoices {
		if a, ok := r.ofTwo(now, q); ok {
			return a, true
		}
	}
	for _, avoid := range []bool{true, false} {
		var best *line
		sum := 0.0
		for _, l := range r.tables[q.class].lines {
			t := r.targets[l.server]
			if l.weight <= 0 || slices.Contains(q.tried, l.server) || avoid && t != nil && now < t.avoid {
				continue
			}
			sum += l.weight
			l.credit += l.weight
			if best == nil || l.credit > best.credit {
				best = l
			}
		}
		if best != nil {
			best.credit -= sum
			return best.server, true
		}
	}
	return netip.AddrPort{}, false
}

// ofTwo draws two servers that it does not avoid, and picks the one with fewer of its own tries under way.
func (r *Relay) ofTwo(now float64, q *query) (netip.AddrPort, bool) {
	var may []netip.AddrPort
	for _, l := range r.tables[q.class].lines {
		if t := r.targets[l.server]; l.weight > 0 && !slices.Contains(q.tried, l.server) && (t == nil || now >= t.avoid) {
			may = append(may, l.server)
		}
	}
	if len(may) == 0 {
		return netip.AddrPort{}, false
	}
	a, b := may[r.chance.IntN(len(may))], may[r.chance.IntN(len(may))]
	load := func(s netip.AddrPort) int {
		if t := r.targets[s]; t != nil {
			return t.under
		}
		return 0
	}
	if load(b) < load(a) {
		return b, true
	}
	return a, true
}

func (r *Relay) try(now float64, q *query) {
	a, ok := r.pick(now, q)
	if !ok {
		r.lost(now, q)
		return
	}
	t := r.targets[a]
	if t == nil {
		t = &target{}
		r.targets[a] = t
	}
	q.tries++
	q.tried = append(q.tried, a)
	r.nextTry++
	x := &try{query: q, number: r.nextTry, server: a, sent: now}
	r.tries[x.number], r.byID[q.id] = x, x
	t.totals.Attempts++
	t.under++
	r.ref.try(now, r.UID, a)
	r.io.SetTimer(now+r.Classes[q.class].Query.LatencyObjective, x.number)
	if t.conn == 0 {
		t.conn, t.open = r.io.Dial(a), false
		r.byConn[t.conn] = a
	}
	if t.open {
		r.transmit(now, t, x)
		return
	}
	t.queued = append(t.queued, x)
}

func (r *Relay) transmit(_ float64, t *target, x *try) {
	if r.tries[x.number] == x {
		r.io.Send(t.conn, appendQuery(nil, x.id, x.class, x.key, x.work))
	}
}

// ended takes the end of a try, and repeats it where its class's way of repeating says so.
func (r *Relay) ended(now float64, x *try, a answer) {
	if r.tries[x.number] != x {
		return
	}
	delete(r.tries, x.number)
	delete(r.byID, x.id)
	t := r.targets[x.server]
	t.under--
	if a == answered {
		t.failures = 0
		t.totals.Seconds += now - x.sent
		if !x.decided {
			x.decided = true
			if now-x.came > r.patience(x.query) { // its client has left
				return
			}
			r.ref.answered(now, x.class, now-x.came)
		}
		return
	}
	t.totals.Failed++
	if t.failures++; r.EjectAfter > 0 && t.failures >= r.EjectAfter {
		t.failures, t.avoid = 0, now+r.EjectFor
	}
	most := map[balancer.RetryPolicy]int{balancer.RetryIfNotExecuted: 1, balancer.RetryOnce: 1, balancer.RetryTwice: 2}
	way := r.again[x.class]
	if x.tries <= most[way] && (a == full || way >= balancer.RetryOnce) {
		r.try(now, x.query)
		return
	}
	r.lost(now, x.query)
}

func (r *Relay) lost(now float64, q *query) {
	r.demand[q.class].Failed++
	r.anew(now, q)
}

func (r *Relay) report(now float64) {
	p := collectd.NewPacketWriter(now, r.UID, r.User, r.Key, func(b []byte) { r.io.Datagram(r.Collector, b) })
	var servers []netip.AddrPort
	for a := range r.targets {
		servers = append(servers, a)
	}
	slices.SortFunc(servers, func(a, b netip.AddrPort) int { return a.Compare(b) })
	for _, a := range servers {
		t := r.targets[a].totals
		t.Failed = max(t.Failed, r.Lies*t.Attempts)
		p.Traffic(a.String(), t)
	}
	for k, c := range r.Classes {
		p.Demand(c.Name, r.demand[k])
	}
	p.Flush()
}
