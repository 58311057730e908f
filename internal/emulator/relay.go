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
	OtherCoordinators       []netip.AddrPort // further coordinators, tried in turn
	UsesLongPoll        bool             // it speaks the long-poll API there, not SASP
	Collector    netip.AddrPort
	User, Key    string
	DefaultTable []netip.AddrPort // the table that it starts with
	Flags        uint8            // Push, Trust, NoChange
	Classes      []Class
	Rate         float64 // queries a second
	ReportInterval       float64 // seconds between two reports
	EjectAfter   int     // failures in a row, after which it avoids a server
	EjectDuration     float64
	KeyCount         int
	Seed         uint64

	KeyPopularity    []float64 // how the queries spread over keys, as Popularity says; none: evenly
	ClientRetries    int       // times that a client asks anew when it was not answered
	ClientRetryDelay  float64   // seconds that it waits before
	PatienceFraction   float64   // part of its client timeout after which a client leaves; 0: all of it
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
	relayArrivalTimer = 1
	relayReportTimer  = 2
	relayDialTimer    = 3
	relayWeightsTimer    = 4
	relayLongPollTimer     = 5
	relayHeartbeatTimer    = 6
	firstClientRetryTimer   = 1 << 29  // numbers of wake-ups from here on, up to the tries, are of clients that ask anew
	firstPollGapTimer = 10000000 // numbers of looks whether it has asked again, up to the tries
	firstAttemptTimer   = 1 << 30  // numbers of wake-ups from here on are of tries
	heartbeatSeconds   = 1.0      // seconds between two looks whether the coordinator still answers, where there are others
	redialSeconds  = 1.0      // seconds between two dials, on average
)

type entry struct {
	server netip.AddrPort
	weight float64
	credit float64 // for picking evenly by weight
}

type table struct {
	entries []*entry
}

type target struct {
	conn     env.Conn
	open     bool
	queued   []*attempt
	failures int
	inFlight    int     // tries under way
	ejectedUntil    float64 // until then
	totals   loadreport.Totals
}

type request struct {
	clientRetries    int // times that its client has asked anew
	id      uint64
	class   int
	key     uint32
	work    float64
	arrivedAt    float64
	attempts   int
	triedServers   []netip.AddrPort
	completed bool
}

type attempt struct {
	*request
	number int
	server netip.AddrPort
	sentAt   float64
}

// Relay is a proxy with its clients.
type Relay struct {
	RelayConfig
	LoadFactor float64 // times the usual rate
	FalseFailureFraction float64 // part of its tries that it reports as lost, whatever became of them

	checker     *InvariantChecker
	io      env.IO
	coordinatorConn    env.Conn
	joined  bool
	session   saspSession
	tables  []*table
	targets map[netip.AddrPort]*target
	byConn  map[env.Conn]netip.AddrPort
	unparsed   map[env.Conn][]byte
	attempts   map[int]*attempt
	attemptByRequest    map[uint64]*attempt // newest try of a query
	lastAttempt int
	lastRequest  uint64
	demand  []loadreport.Totals
	random  randomSource
	clientRetries  map[int]*request
	lastClientRetry   int
	ignoresUpdates    bool
	heartbeatPending    bool // its coordinator was asked whether it lives, and has not answered
	longPoll    longPollState
	admission  []float64
	retryPolicies   []balancer.RetryPolicy
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
	r := &Relay{RelayConfig: s, LoadFactor: 1, checker: ref, targets: map[netip.AddrPort]*target{},
		byConn: map[env.Conn]netip.AddrPort{}, unparsed: map[env.Conn][]byte{}, attempts: map[int]*attempt{},
		attemptByRequest: map[uint64]*attempt{}, clientRetries: map[int]*request{}, lastAttempt: firstAttemptTimer, demand: make([]loadreport.Totals, len(s.Classes)),
		random: newRandomSource(s.Seed), lastRequest: s.Seed << 32}
	for _, c := range s.Classes {
		r.admission, r.retryPolicies = append(r.admission, 1), append(r.retryPolicies, c.RetryPolicy)
		t := &table{}
		start := s.DefaultTable
		if s.Policy == RoundRobin {
			start = s.AllServers
		}
		for _, a := range start {
			t.entries = append(t.entries, &entry{server: a, weight: 1})
		}
		r.tables = append(r.tables, t)
	}
	return r
}

// Start of env.Program.
func (r *Relay) Start(now float64, io env.IO) {
	r.io = io
	r.checker.relayStarted(r.UID, r.Host)
	r.coordinatorConn = io.Dial(r.Coordinator)
	if len(r.OtherCoordinators) > 0 {
		io.SetTimer(now+heartbeatSeconds, relayHeartbeatTimer)
	}
	r.scheduleArrival(now)
	io.SetTimer(now+r.ReportInterval*r.random.uniform(), relayReportTimer)
}

// TableServers are the servers that its tables have lines to.
func (r *Relay) TableServers() (all []netip.AddrPort) {
	for _, t := range r.tables {
		for _, l := range t.entries {
			all = append(all, l.server)
		}
	}
	return all
}

func (r *Relay) scheduleArrival(now float64) {
	rate := max(r.Rate*r.LoadFactor, 1e-3)
	r.io.SetTimer(now-math.Log(1-r.random.uniform())/rate, relayArrivalTimer)
}

// Opened of env.Program.
func (r *Relay) Opened(float64, env.Conn, netip.Addr, uint16) {}

// Connected of env.Program.
func (r *Relay) Connected(now float64, c env.Conn, ok bool) {
	if c == r.coordinatorConn {
		if !ok {
			r.io.SetTimer(now+r.redialDelay(), relayDialTimer)
			return
		}
		if r.UsesLongPoll {
			r.longPoll.buf, r.ignoresUpdates = nil, false
			if r.sendPoll(now); len(r.OtherCoordinators) == 0 { // one that is paused has not heard of it
				r.markJoined(now)
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
			r.attemptEnded(now, x, rejected) // it surely never ran
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
	r.session, r.ignoresUpdates, r.heartbeatPending = saspSession{}, false, false
	r.io.Send(r.coordinatorConn, r.session.write(&sasp.Message{Kind: sasp.SetBalancer, UID: []byte(r.UID), Flags: r.Flags}))
	m := &sasp.Message{Kind: sasp.Registration, LB: sasp.FromBalancer}
	for k, c := range r.Classes {
		g := sasp.Group{UID: []byte(r.UID), Name: []byte(c.Name), From: len(m.Rows)}
		for _, l := range r.tables[k].entries {
			m.Rows = append(m.Rows, sasp.Row{Address: sasp.AddressOf(l.server)})
		}
		g.To = len(m.Rows)
		m.Groups = append(m.Groups, g)
	}
	r.io.Send(r.coordinatorConn, r.session.write(m))
}

// Receive of env.Program.
func (r *Relay) Receive(now float64, c env.Conn, b []byte) {
	if c == r.coordinatorConn {
		if r.ignoresUpdates {
			if r.longPoll.pending = false; r.UsesLongPoll {
				r.io.SetTimer(now+pollGapSeconds, firstPollGapTimer+r.longPoll.count)
			}
			return
		}
		if r.UsesLongPoll {
			r.receivePollResponses(now, b)
			return
		}
		if !r.session.read(b, func(m *sasp.Message) { r.handleMessage(now, m) }) {
			r.checker.recordProtocolError(now, "relay %s can't follow the stream", r.UID)
		}
		return
	}
	b = append(r.unparsed[c], b...)
	for len(b) >= responseBytes {
		id, a := binary.BigEndian.Uint64(b), outcome(b[8])
		b = b[responseBytes:]
		if x := r.attemptByRequest[id]; x != nil && r.targets[x.server].conn == c {
			r.attemptEnded(now, x, a)
		}
	}
	r.unparsed[c] = append([]byte(nil), b...)
}

func (r *Relay) handleMessage(now float64, m *sasp.Message) {
	switch m.Kind {
	case sasp.SetBalancerReply:
		r.heartbeatPending = false
	case sasp.RegistrationReply:
		if m.Code == sasp.NotAccepted && len(r.OtherCoordinators) > 0 {
			return // another one leads it
		}
		if m.Code != sasp.OK {
			r.checker.recordProtocolError(now, "relay %s: %s", r.UID, m.Code)
			return
		}
		r.joined = true
		r.checker.relayJoined(now, r.UID)
		r.reportTables(now)
		if r.Flags&sasp.Push == 0 {
			r.io.SetTimer(now, relayWeightsTimer)
		}
	case sasp.SendWeights, sasp.GetWeightsReply:
		r.checker.messageReceived(now, r.UID, len(m.Rows))
		for _, g := range m.Groups {
			k := slices.IndexFunc(r.Classes, func(c Class) bool { return c.Name == string(g.Name) })
			if k < 0 || string(g.UID) != r.UID {
				r.checker.recordProtocolError(now, "relay %s was sent group %q of %q", r.UID, g.Name, g.UID)
				continue
			}
			for _, row := range m.Rows[g.From:g.To] { // one after the other, as a plain relay would
				r.applyRow(r.tables[k], row)
				r.reportTables(now)
			}
		}
		if m.Kind == sasp.GetWeightsReply {
			r.io.SetTimer(now+float64(m.Interval), relayWeightsTimer)
		}
	}
}

func (r *Relay) applyRow(t *table, row sasp.Row) {
	weight := float64(row.Weight)
	if row.Flags&sasp.Quiesce != 0 {
		weight = 0
	}
	r.setWeight(t, row.AddrPort(), weight)
}

func (r *Relay) setWeight(t *table, a netip.AddrPort, weight float64) {
	if r.Policy == RoundRobin {
		return
	}
	i := slices.IndexFunc(t.entries, func(l *entry) bool { return l.server == a })
	if i < 0 {
		if weight == 0 {
			return
		}
		t.entries = append(t.entries, &entry{server: a})
		i = len(t.entries) - 1
	}
	l, before, sum := t.entries[i], t.entries[i].weight, 0.0
	l.weight = weight
	most := math.Inf(-1)
	for _, o := range t.entries {
		if sum += o.weight; o != l && o.weight > 0 {
			most = max(most, o.credit)
		}
	}
	if before == 0 && !math.IsInf(most, 0) { // a new line starts anywhere in the rotation
		l.credit = most - r.random.uniform()*sum
	}
}

func (r *Relay) reportTables(now float64) {
	for k, t := range r.tables {
		has := slices.ContainsFunc(t.entries, func(l *entry) bool { return l.weight > 0 })
		r.checker.tableChanged(now, r.UID, k, has)
	}
}

// Closed of env.Program.
func (r *Relay) Closed(now float64, c env.Conn) {
	if c == r.coordinatorConn {
		r.joined = false
		r.checker.relayLeft(now, r.UID)
		r.io.SetTimer(now+r.redialDelay(), relayDialTimer)
		return
	}
	a := r.byConn[c]
	delete(r.byConn, c)
	delete(r.unparsed, c)
	if t := r.targets[a]; t != nil && t.conn == c {
		t.conn, t.open = 0, false
	}
	for _, number := range r.openAttempts(a) {
		r.attemptEnded(now, r.attempts[number], failed) // it may have run
	}
}

// IgnoreUpdates makes the relay go on by the tables that it has, without applying what comes, until it dials again.
func (r *Relay) IgnoreUpdates(on bool) { r.ignoresUpdates = on }

// redialDelay is how long it waits before it dials again; with several coordinators it looks for its own more quickly.
func (r *Relay) redialDelay() float64 {
	return redialSeconds * (0.3 + r.random.uniform()) / float64(1+len(r.OtherCoordinators))
}

// DropConnection breaks the connection to the coordinator from the relay's side.
func (r *Relay) DropConnection(now float64) {
	c := r.coordinatorConn
	r.io.Close(c)
	r.Closed(now, c)
}

func (r *Relay) openAttempts(a netip.AddrPort) (numbers []int) {
	for n, x := range r.attempts {
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
	case relayArrivalTimer:
		r.scheduleArrival(now)
		r.newRequest(now)
	case relayReportTimer:
		r.sendReport(now)
		r.io.SetTimer(now+r.ReportInterval, relayReportTimer)
	case relayHeartbeatTimer: // one that is paused answers nothing, and its connection stands
		r.io.SetTimer(now+heartbeatSeconds, relayHeartbeatTimer)
		switch {
		case !r.joined:
		case r.heartbeatPending || r.UsesLongPoll && r.longPoll.pending && now-r.longPoll.sentAt > shortPollWaitSeconds+heartbeatSeconds:
			r.DropConnection(now)
		case !r.UsesLongPoll:
			r.heartbeatPending = true
			r.io.Send(r.coordinatorConn, r.session.write(&sasp.Message{Kind: sasp.SetBalancer, UID: []byte(r.UID), Flags: r.Flags}))
		}
	case relayLongPollTimer:
		if !r.longPoll.pending {
			r.sendPoll(now)
		}
	case relayDialTimer:
		if n := len(r.OtherCoordinators); n > 0 { // the next one, in turn
			r.Coordinator, r.OtherCoordinators = r.OtherCoordinators[0], append(r.OtherCoordinators[1:n:n], r.Coordinator)
			r.Collector = netip.AddrPortFrom(r.Coordinator.Addr(), r.Collector.Port())
		}
		r.coordinatorConn = r.io.Dial(r.Coordinator)
	case relayWeightsTimer:
		if r.joined {
			r.io.Send(r.coordinatorConn, r.session.write(&sasp.Message{Kind: sasp.GetWeights}))
		}
	default:
		if q := r.clientRetries[what-firstClientRetryTimer]; q != nil && what < firstAttemptTimer {
			delete(r.clientRetries, what-firstClientRetryTimer)
			r.admit(now, q)
			return
		}
		if what > firstPollGapTimer && what < firstClientRetryTimer {
			if r.joined && !r.longPoll.pending && what-firstPollGapTimer == r.longPoll.count {
				r.joined = false
				r.checker.relayLeft(now, r.UID)
			}
			return
		}
		if x := r.attempts[what]; x != nil { // nobody waits for it any longer
			if t := r.targets[x.server]; t != nil && t.open {
				r.io.Send(t.conn, appendRequest(nil, x.id, cancelledClass, 0, 0))
			}
			r.attemptEnded(now, x, failed)
		}
	}
}

func (r *Relay) newRequest(now float64) {
	v, k := r.random.uniform(), 0
	for k < len(r.Classes)-1 && v >= r.Classes[k].Share {
		v -= r.Classes[k].Share
		k++
	}
	r.lastRequest++
	q := &request{id: r.lastRequest, class: k, key: r.drawKey(), arrivedAt: now,
		work: r.Classes[k].MeanWork * (0.5 + r.random.uniform())}
	r.checker.requestStarted(now, k)
	r.admit(now, q)
}

// drawKey of a query.
func (r *Relay) drawKey() uint32 {
	v := r.random.uniform()
	if r.KeyPopularity == nil {
		return uint32(v * float64(r.KeyCount))
	}
	k, _ := slices.BinarySearch(r.KeyPopularity, v)
	return uint32(k)
}

// admit lets a query in, or refuses it at once.
func (r *Relay) admit(now float64, q *request) {
	r.demand[q.class].Attempts++
	if r.random.uniform() >= r.admission[q.class] {
		r.scheduleClientRetry(now, q)
		return
	}
	r.startAttempt(now, q)
}

// patience is how long a client waits for an answer in all, in seconds.
func (r *Relay) patience(q *request) float64 {
	all := r.Classes[q.class].Request.ClientTimeout
	if r.PatienceFraction > 0 {
		all *= r.PatienceFraction
	}
	return all
}

// scheduleClientRetry lets a client ask once more, as another query of the same work: what it repeats is its own doing.
func (r *Relay) scheduleClientRetry(now float64, q *request) {
	q.completed = true
	if q.clientRetries >= r.ClientRetries || now+r.ClientRetryDelay-q.arrivedAt > r.patience(q) {
		return
	}
	r.lastRequest++
	r.lastClientRetry++
	r.clientRetries[r.lastClientRetry] = &request{id: r.lastRequest, class: q.class, key: q.key, arrivedAt: q.arrivedAt, work: q.work, clientRetries: q.clientRetries + 1}
	r.io.SetTimer(now+r.ClientRetryDelay*(0.5+r.random.uniform()), firstClientRetryTimer+r.lastClientRetry)
}

// pickServer is evenly by weight, past servers that it avoids, unless it avoids all; not one that the query has tried.
func (r *Relay) pickServer(now float64, q *request) (netip.AddrPort, bool) {
	if r.Policy == PowerOfTwoChoices {
		if a, ok := r.pickOfTwo(now, q); ok {
			return a, true
		}
	}
	for _, avoid := range []bool{true, false} {
		var best *entry
		sum := 0.0
		for _, l := range r.tables[q.class].entries {
			t := r.targets[l.server]
			if l.weight <= 0 || slices.Contains(q.triedServers, l.server) || avoid && t != nil && now < t.ejectedUntil {
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

// pickOfTwo draws two servers that it does not avoid, and picks the one with fewer of its own tries under way.
func (r *Relay) pickOfTwo(now float64, q *request) (netip.AddrPort, bool) {
	var may []netip.AddrPort
	for _, l := range r.tables[q.class].entries {
		if t := r.targets[l.server]; l.weight > 0 && !slices.Contains(q.triedServers, l.server) && (t == nil || now >= t.ejectedUntil) {
			may = append(may, l.server)
		}
	}
	if len(may) == 0 {
		return netip.AddrPort{}, false
	}
	a, b := may[r.random.IntN(len(may))], may[r.random.IntN(len(may))]
	load := func(s netip.AddrPort) int {
		if t := r.targets[s]; t != nil {
			return t.inFlight
		}
		return 0
	}
	if load(b) < load(a) {
		return b, true
	}
	return a, true
}

func (r *Relay) startAttempt(now float64, q *request) {
	a, ok := r.pickServer(now, q)
	if !ok {
		r.requestFailed(now, q)
		return
	}
	t := r.targets[a]
	if t == nil {
		t = &target{}
		r.targets[a] = t
	}
	q.attempts++
	q.triedServers = append(q.triedServers, a)
	r.lastAttempt++
	x := &attempt{request: q, number: r.lastAttempt, server: a, sentAt: now}
	r.attempts[x.number], r.attemptByRequest[q.id] = x, x
	t.totals.Attempts++
	t.inFlight++
	r.checker.attemptSent(now, r.UID, a)
	r.io.SetTimer(now+r.Classes[q.class].Request.LatencyObjective, x.number)
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

func (r *Relay) transmit(_ float64, t *target, x *attempt) {
	if r.attempts[x.number] == x {
		r.io.Send(t.conn, appendRequest(nil, x.id, x.class, x.key, x.work))
	}
}

// attemptEnded takes the end of a try, and repeats it where its class's way of repeating says so.
func (r *Relay) attemptEnded(now float64, x *attempt, a outcome) {
	if r.attempts[x.number] != x {
		return
	}
	delete(r.attempts, x.number)
	delete(r.attemptByRequest, x.id)
	t := r.targets[x.server]
	t.inFlight--
	if a == answered {
		t.failures = 0
		t.totals.Seconds += now - x.sentAt
		if !x.completed {
			x.completed = true
			if now-x.arrivedAt > r.patience(x.request) { // its client has left
				return
			}
			r.checker.requestAnswered(now, x.class, now-x.arrivedAt)
		}
		return
	}
	t.totals.Failed++
	if t.failures++; r.EjectAfter > 0 && t.failures >= r.EjectAfter {
		t.failures, t.ejectedUntil = 0, now+r.EjectDuration
	}
	most := map[balancer.RetryPolicy]int{balancer.RetryIfNotExecuted: 1, balancer.RetryOnce: 1, balancer.RetryTwice: 2}
	way := r.retryPolicies[x.class]
	if x.attempts <= most[way] && (a == rejected || way >= balancer.RetryOnce) {
		r.startAttempt(now, x.request)
		return
	}
	r.requestFailed(now, x.request)
}

func (r *Relay) requestFailed(now float64, q *request) {
	r.demand[q.class].Failed++
	r.scheduleClientRetry(now, q)
}

func (r *Relay) sendReport(now float64) {
	p := collectd.NewPacketWriter(now, r.UID, r.User, r.Key, func(b []byte) { r.io.Datagram(r.Collector, b) })
	var servers []netip.AddrPort
	for a := range r.targets {
		servers = append(servers, a)
	}
	slices.SortFunc(servers, func(a, b netip.AddrPort) int { return a.Compare(b) })
	for _, a := range servers {
		t := r.targets[a].totals
		t.Failed = max(t.Failed, r.FalseFailureFraction*t.Attempts)
		p.Traffic(a.String(), t)
	}
	for k, c := range r.Classes {
		p.Demand(c.Name, r.demand[k])
	}
	p.Flush()
}
