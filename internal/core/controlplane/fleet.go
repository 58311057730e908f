// Package controlplane is a coordinator without its protocols: it calls the decision module once a round with all that came
// in, keeps the tables that it wants, and for each proxy what it is known to hold, what is on its way and what is
// wanted. Fronts ask it who is due, send, and say what was sent and taken. It is pure: time and facts are arguments.
//
// Three things are kept apart for each proxy and class: the table version that is wanted (the table's own), the one
// that was sent, and the one that the proxy is known to hold. At most one message is on its way to a proxy; the next
// is made when that one was taken, from the newest state.
package controlplane

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/core/pacing"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tables"
)

var (
	// ErrUnlistedRelay says that a relay is not listed, and that only listed ones may join.
	ErrUnlistedRelay = errors.New("the settings list no such relay")
	// ErrTooManyRelays says that as many relays are joined or known as may be.
	ErrTooManyRelays = errors.New("too many relays")
	// ErrJoinRateExceeded says that the relay joins again and again, faster than one that dials when its connection breaks.
	ErrJoinRateExceeded = errors.New("this relay joins too often")
	// ErrWrongCoordinator says that another coordinator leads the relay.
	ErrWrongCoordinator = errors.New("another coordinator leads this relay")
)

const urgentCold = 0.5 // of the line's weight; a cold server's line that falls by more is as urgent as a drain

// HeldTable is what a proxy has of one class's table.
type HeldTable struct {
	Table        balancer.Table
	Bound        bool           // the module has bound the proxy to it
	Full         bool           // it must get the whole table: nothing that it holds is known
	Stale        bool           // it may hold lines of another table
	SentVersion  tables.Version // newest that was sent
	AckedVersion tables.Version // newest that it is known to hold
}

// Proxy is a relay that is joined, or was.
type Proxy struct {
	ID                balancer.Proxy
	UID               string
	Zone              balancer.Zone
	ExpectedRate      float64
	Joined            bool
	Polls             bool // it asks for its weights, nothing is sent to it unasked
	SupportsAdmission bool // its front can say levels and ways of repeating
	Tables            []HeldTable

	away     bool // a message is on its way
	awayAt   float64
	front    Frontend
	ahead    bool    // its next message brings it up to the last drains only
	urgent   bool    // a drain is on its way or waits
	urgentAt float64 // since when
	marks    []mark
	riding   []mark // marks of the message on its way
	leftAt   float64
	trace    MessageTrace
	second   MessageTrace // of the message that follows one with drains only

	joins   float64 // that it has left
	joinsAt float64
	offset  float64              // least difference of our clock and a report's
	taken   [keptTaken]delivered // of the latest messages, a ring
	told    int
	defies  balancer.Server // it was caught sending to it
}

// keptTaken is how many messages of a proxy are remembered: at one a second, longer than any grace.
const keptTaken = 16

type delivered struct{ sent, taken float64 } // clock times; 0: none

// holds is when the proxy's host had the first message that was sent from a time on; ok is false if it has none.
func (p *Proxy) holds(after float64) (taken float64, ok bool) {
	for i := range p.taken {
		if d := p.taken[(p.told+i)%keptTaken]; d.sent >= after && d.sent > 0 {
			return d.taken, true
		}
	}
	return 0, false
}

type mark struct {
	mark  balancer.AckID
	given float64
}

// MessageTrace tells of one message where it came from and what became of it.
type MessageTrace struct {
	Proxy                                  balancer.Proxy
	UID                                    string
	Round                                  uint64 // of the newest decision in it
	Lists, ProxyEvents, Upstreams, Demands int    // facts of that round
	Entries                                int
	Urgent, Full                           bool
	DecidedAt, SentAt, AckedAt             float64 // clock times; Held 0: it was never known to be held
}

// Frontend speaks to proxies. Its calls come from within the fleet's; it may call the fleet.
type Frontend interface {
	// Deliver sends a proxy its newest state and says Sent, or says Nothing, Wait or Leave.
	Deliver(now float64, p *Proxy)
	// Displaced: the proxy has joined by another front or connection, and is no longer this one's.
	Displaced(now float64, p *Proxy)
}

// RecordStore keeps records for the next life. What it returns without an error is durable.
type RecordStore interface {
	Save([]registry.Record) error
}

// Fleet is one coordinator's state. Use New.
type Fleet struct {
	site        Site
	manager     *balancer.Balancer
	may         func(now float64, uid string) bool // nil: all relays are ours
	lead        func() uint64
	sent        func(now float64, uid string)
	Registry    *registry.Registry
	LoadReports *loadreport.Aggregator
	keeper      RecordStore

	proxies map[balancer.Proxy]*Proxy
	byUID   map[string]*Proxy
	listed  map[string]Relay
	joined  int
	next    balancer.Proxy
	free    []balancer.Proxy // numbers of forgotten proxies

	tables map[balancer.Table]*wanted
	out    *pacing.Queue

	news    balancer.Events
	wakeAt  float64
	ranAt   float64
	closed  float64 // when reports were last handed over
	first   bool    // no list was given yet
	known   bool    // servers are known from the first
	began   float64
	round   uint64
	counts  MessageTrace // of the round at hand
	touched []*wanted
	sums    sums
	orders  []MessageTrace // that are done, for Orders
	Stats   Stats
}

type line struct {
	server balancer.Server
	weight float64
}

type wanted struct {
	tables.Table
	number  balancer.Table
	users   map[balancer.Proxy]int // bound classes
	touched bool
	urgent  bool
	took    []line         // of servers in service and warm, that this round took away
	lines   float64        // changed this round
	levels  float64        // likewise
	drained tables.Version // newest version in which something urgent was ordered
}

// Stats is what happened, for metrics.
type Stats struct {
	Rounds, Idle                                 int // rounds called, and ticks in which nothing had come in
	Entries, Messages, FullTables                int // sent
	Disconnected, Stalled, Overdue, Noncompliant int // relays cut off, by why
	Unsupported                                  int // levels and repeats that a front has no word for
	UnknownRelay, UnknownServer                  int // measurements that name somebody unknown
	SaveFailures, Probes, Notes, Binds           int
	JoinsThrottled                               int // joins refused, since they came too fast
	TablesRejected                               int // tables that were refused, since they had no open, warm server left
	Evicted                                      int // relays that another coordinator leads now
}

// New makes a coordinator. records are those of its former life, none if there was none. The error says what of the
// site cannot be taken.
func New(now float64, site Site, records []registry.Record, keeper RecordStore) (*Fleet, error) {
	if len(site.Classes) == 0 || len(site.Classes) > 64 || len(site.ClassNames) != len(site.Classes) {
		return nil, fmt.Errorf("%d classes with %d names; 1 to 64 are possible", len(site.Classes), len(site.ClassNames))
	}
	f := &Fleet{site: site, keeper: keeper, first: true, began: now, ranAt: math.Inf(-1), closed: now,
		Registry:    registry.New(site.Limits.ServerHold, site.Limits.MaxServers, site.DisabledGuards[GuardWarmup]),
		LoadReports: loadreport.New(site.Limits.MaxSeries),
		proxies:     map[balancer.Proxy]*Proxy{}, byUID: map[string]*Proxy{}, listed: map[string]Relay{},
		tables: map[balancer.Table]*wanted{}, out: pacing.New(site.Channel, site.DisabledGuards[GuardPace])}
	f.manager = balancer.New(site.Seed, site.Classes, site.DataPlane, site.inTables(), site.Guarantees, site.Reporting,
		balancer.HealthChecking{}, balancer.Discovery{Weights: balancer.WeightsNominal})
	if !site.DisabledGuards[GuardMemory] && len(records) > 0 {
		f.known = true
		if err := f.Registry.Restore(now, records); err != nil {
			return nil, err
		}
	}
	for _, s := range site.Servers {
		f.known = f.known || s.Static
		if err := f.Registry.Configure(now, s); err != nil {
			return nil, err
		}
	}
	for _, r := range site.Relays {
		f.listed[r.UID] = r
	}
	return f, nil
}

// inTables is the channel in lines of tables, as the module counts them: classes that may go to the same zones share a table, of which
// a proxy is sent each line once for each of them. Guards against a queue that is twice as long as the module believes, or ten times
// where ten classes share a table; the cost is a slower pace where other classes have tables of their own.
func (s *Site) inTables() balancer.Channel {
	c, most := s.Channel, 1
	if s.DisabledGuards[GuardEntries] || s.DisabledGuards[GuardPace] {
		return c
	}
	for i, q := range s.Classes {
		n := 1
		for _, o := range s.Classes[:i] {
			if o.ZoneLocal == q.ZoneLocal && slices.Equal(o.AllowedZones, q.AllowedZones) {
				n++
			}
		}
		most = max(most, n)
	}
	c.EntriesPerSecond /= float64(most)
	c.MessageOverhead /= float64(most)
	c.MaxQueued /= float64(most)
	return c
}

// Site is what the coordinator was started with.
func (f *Fleet) Site() *Site { return &f.site }

// Class is the number of a class by its name.
func (f *Fleet) Class(name string) (balancer.Class, bool) {
	i := slices.Index(f.site.ClassNames, name)
	return balancer.Class(i), i >= 0
}

// Relay finds a relay that is joined or still known.
func (f *Fleet) Relay(uid string) *Proxy { return f.byUID[uid] }

// SetOwnership makes the fleet order only relays for which may says so, asked afresh before every message. Guards against a
// coordinator that believes that it leads: it stops at the moment that its lease ends, whatever it was about to do.
// lead tells the epoch of who leads what, for fronts that can say it. away, if any, hears of relays that were sent away to
// another coordinator.
func (f *Fleet) SetOwnership(may func(now float64, uid string) bool, lead func() uint64, away func(now float64, uid string)) {
	f.may, f.lead, f.sent = may, lead, away
}

// OwnershipEpoch is the epoch of who leads what that this coordinator goes by; 0: it shares its fleet with nobody.
func (f *Fleet) OwnershipEpoch() uint64 {
	if f.lead == nil {
		return 0
	}
	return f.lead()
}

// EvictForeign lets go of joined relays that are not ours any more. Their fronts close their connections, so that they dial
// another coordinator.
func (f *Fleet) EvictForeign(now float64) {
	if f.may == nil {
		return
	}
	var gone []*Proxy
	for _, p := range f.proxies {
		if p.Joined && !f.may(now, p.UID) {
			gone = append(gone, p)
		}
	}
	slices.SortFunc(gone, func(a, b *Proxy) int { return cmp.Compare(a.ID, b.ID) })
	for _, p := range gone {
		f.evict(now, p)
	}
}

func (f *Fleet) evict(now float64, p *Proxy) {
	f.Stats.Evicted++
	f.Disconnect(now, p)
	p.front.Displaced(now, p)
}

// Join takes a relay in: it has a connection, and is told its tables by a front from now on. fresh says that it holds
// nothing but its standing table. A relay that is joined already moves here, and its former front is told.
func (f *Fleet) Join(now float64, uid string, front Frontend, fresh bool) (*Proxy, error) {
	if f.may != nil && !f.may(now, uid) {
		if f.sent != nil && f.Listed(uid) {
			f.sent(now, uid)
		}
		return nil, fmt.Errorf("%w: %q", ErrWrongCoordinator, uid)
	}
	p := f.byUID[uid]
	if p == nil {
		r, ok := f.listed[uid]
		if !f.Listed(uid) {
			return nil, fmt.Errorf("%w: %q", ErrUnlistedRelay, uid)
		} else if !ok {
			r = Relay{UID: uid, Zone: f.site.UnlistedZone}
		}
		if len(f.proxies) >= f.site.Limits.MaxRelays {
			f.forget(now)
		}
		if len(f.proxies) >= f.site.Limits.MaxRelays {
			return nil, fmt.Errorf("%w: %d are known", ErrTooManyRelays, len(f.proxies))
		}
		id := f.next
		if n := len(f.free); n > 0 {
			id, f.free = f.free[n-1], f.free[:n-1]
		} else {
			f.next++
		}
		p = &Proxy{ID: id, UID: uid, Zone: r.Zone, ExpectedRate: r.ExpectedRate, Tables: make([]HeldTable, len(f.site.Classes))}
		f.proxies[id], f.byUID[uid] = p, p
	}
	if !f.mayJoin(now, p) {
		return nil, fmt.Errorf("%w: %q", ErrJoinRateExceeded, uid)
	}
	if old := p.front; p.Joined {
		f.Disconnect(now, p)
		old.Displaced(now, p)
	}
	p.front, p.Polls, p.SupportsAdmission = front, false, false
	p.Joined, p.offset, p.defies, p.taken = true, math.Inf(1), "", [keptTaken]delivered{}
	f.joined++
	f.news.ProxyEvents = append(f.news.ProxyEvents, balancer.ProxyEvent{Proxy: p.ID, Joined: true, Zone: p.Zone, ExpectedRate: p.ExpectedRate,
		DefaultTable: fresh})
	return p, nil
}

const (
	joinsAtOnce = 5.0 // of one relay: its connection breaks while it is told its tables, and once more
	joinsPer    = 1.0 // a second: a relay dials at most once a second
)

// mayJoin guards against a relay, or two with one UID, whose connections come and go all the time: each time it is told whole tables,
// and the channel would have no room for the drains of the others. It does harm to a relay that has lost six connections within a
// second: it goes on by what it holds, and comes back a second later.
func (f *Fleet) mayJoin(now float64, p *Proxy) bool {
	if f.site.DisabledGuards[GuardJoinRate] {
		return true
	}
	if p.joinsAt == 0 {
		p.joins = joinsAtOnce
	}
	p.joins = min(joinsAtOnce, p.joins+max(0, now-p.joinsAt)*joinsPer)
	if p.joinsAt = now; p.joins < 1 {
		f.Stats.JoinsThrottled++
		return false
	}
	p.joins--
	return true
}

// Disconnect says that a relay's connection ended. What was on its way is lost, and what it holds is not known any more.
// Guards against a relay that comes back with less than we think, after it started anew or lost what was on the way;
// the cost is a full table for each reconnection.
func (f *Fleet) Disconnect(now float64, p *Proxy) {
	if !p.Joined {
		return
	}
	f.done(p, 0)
	f.joined--
	p.Joined, p.leftAt, p.away, p.urgent = false, now, false, false
	p.marks, p.riding = p.marks[:0], p.riding[:0]
	for c := range p.Tables {
		h := &p.Tables[c]
		f.unbind(p, h)
		if f.site.DisabledGuards[GuardRejoin] {
			h.Bound = false
			continue
		}
		*h = HeldTable{}
	}
	f.out.Forget(p.ID)
	f.news.ProxyEvents = append(f.news.ProxyEvents, balancer.ProxyEvent{Proxy: p.ID})
}

func (f *Fleet) unbind(p *Proxy, h *HeldTable) {
	if !h.Bound {
		return
	}
	if w := f.tables[h.Table]; w != nil {
		if w.users[p.ID]--; w.users[p.ID] <= 0 {
			delete(w.users, p.ID)
		}
	}
}

// forget makes room: relays that left long ago. A module that has not been told of their leaving is told first.
func (f *Fleet) forget(now float64) {
	for id, p := range f.proxies {
		if !p.Joined && now-p.leftAt > f.site.Limits.RelayRetention && len(f.news.ProxyEvents) == 0 {
			delete(f.proxies, id)
			delete(f.byUID, p.UID)
			f.LoadReports.RemoveProxy(id)
			f.free = append(f.free, id)
		}
	}
	slices.Sort(f.free)
}

// ReportUpstream takes a relay's totals at a server. Nothing is decided by a report that names somebody unknown, or by one
// of a relay that is not joined.
func (f *Fleet) ReportUpstream(now, at float64, uid string, s balancer.Server, t loadreport.Totals) {
	p := f.byUID[uid]
	if p == nil || !p.Joined {
		f.Stats.UnknownRelay++
		return
	}
	if _, ok := f.Registry.Find(s); !ok {
		f.Stats.UnknownServer++
		return
	}
	p.offset = min(p.offset, now-at)
	tries, since := f.LoadReports.AddUpstream(now, at, p.ID, p.Zone, s, t)
	if tries > 0 && !f.site.DisabledGuards[GuardReports] {
		f.obeys(p, s, since)
	}
}

// obeys looks at queries that a relay reports of a server, counted since a time of its own clock, and notes whether it
// was sent, and its host had, before then that the server takes none. The kernel's word that bytes have arrived says
// nothing of a program that does not read them; what it does shows. Its clock is set against ours by the fastest of
// its reports, so that late ones accuse nobody.
func (f *Fleet) obeys(p *Proxy, s balancer.Server, since float64) {
	if phase, _ := f.Registry.Phase(s); phase == balancer.Ready {
		return
	}
	decided := 0.0 // when the last of its tables lost the line
	for c := range p.Tables {
		h := &p.Tables[c]
		if !h.Bound {
			return
		}
		at, ok := f.tables[h.Table].RemovedAt(s)
		if !ok {
			return
		}
		decided = max(decided, at)
	}
	// The first message from then on has the drain in it: drains go first.
	if taken, ok := p.holds(decided); ok && !p.urgent && since+p.offset > taken+f.site.Limits.ApplyGrace {
		p.defies = s
	}
}

// ReportDemand takes a relay's totals of a class.
func (f *Fleet) ReportDemand(now, at float64, uid, class string, t loadreport.Totals) {
	p := f.byUID[uid]
	c, ok := f.Class(class)
	if p == nil || !p.Joined || !ok {
		f.Stats.UnknownRelay++
		return
	}
	f.LoadReports.AddDemand(now, at, p.ID, c, t)
}

// ObserveUptime takes a server's seconds since its start.
func (f *Fleet) ObserveUptime(now float64, s balancer.Server, up float64) {
	if _, ok := f.Registry.Find(s); !ok {
		f.Stats.UnknownServer++
		return
	}
	f.Registry.ObserveUptime(now, s, up)
}

// RunRound hands the module all that came in, if anything did or it asked to be woken, and takes what it decides. It
// reports whether the module was called. What must outlive the coordinator is kept before it is acted on; if that
// fails a drain goes out all the same, since a drain that is forgotten later is better than one not begun.
func (f *Fleet) RunRound(now float64) bool {
	f.Registry.ExpireHolds(now)
	if now-f.ranAt < f.site.Limits.MinRoundInterval || f.gathers(now) {
		return false
	}
	if f.Registry.HasChanges() {
		f.Persist()
		entries, whole := f.Registry.TakeChanges()
		scope := balancer.DeltaList
		if f.first { // what the settings list as standing, and what a former life kept
			scope = balancer.CachedList
		} else if whole {
			scope = balancer.FullList
		}
		if len(entries) > 0 || f.first {
			f.news.Lists = append(f.news.Lists, balancer.EndpointList{Scope: scope, Endpoints: entries})
		}
		f.first = false
	}
	if now-f.closed >= f.site.Reporting.Period && f.LoadReports.HasPending() {
		f.closed = now
		f.news.Upstreams, f.news.Demands = f.LoadReports.Flush()
		f.count(f.news.Upstreams, f.news.Demands)
	}
	if now >= f.wakeAt && f.wakeAt > 0 {
		f.news.FiredTimers = append(f.news.FiredTimers, 0)
		f.wakeAt = 0
	}
	n := &f.news
	if len(n.Lists)+len(n.ProxyEvents)+len(n.Upstreams)+len(n.Demands)+len(n.Acks)+len(n.FiredTimers) == 0 {
		f.Stats.Idle++
		return false
	}
	f.ranAt = now
	f.round++
	f.Stats.Rounds++
	f.counts = MessageTrace{Round: f.round, Lists: len(n.Lists), ProxyEvents: len(n.ProxyEvents), Upstreams: len(n.Upstreams),
		Demands: len(n.Demands), DecidedAt: now}
	f.manager.Reconcile(now, *n, &RoundSink{f: f, now: now})
	f.news = balancer.Events{}
	f.spread(now)
	return true
}

// Persist makes what has changed on the roll durable now, not with the next round. Guards against a drain that was confirmed and is
// forgotten by a process that dies before its next round.
func (f *Fleet) Persist() (ok bool) {
	if f.keeper == nil || f.site.DisabledGuards[GuardMemory] || !f.Registry.NeedsPersist() {
		return true
	}
	if records := f.Registry.ChangedRecords(); len(records) > 0 {
		if err := f.keeper.Save(records); err != nil {
			f.Stats.SaveFailures++
			return false
		}
	}
	f.Registry.MarkPersisted()
	return true
}

// gathers tells whether a coordinator that knows no server from its settings or a former life still waits for them to
// register. Guards against a first list that comes one server at a time: each would be taken for a new one, and the whole
// table would stay on the scale of new ones. The cost is that relays keep their standing tables for that long.
func (f *Fleet) gathers(now float64) bool {
	return f.first && !f.known && now < f.began+f.site.Limits.StartupGather
}

// spread lets all users of the tables that changed this round wait for their messages.
func (f *Fleet) spread(now float64) {
	slices.SortFunc(f.touched, func(a, b *wanted) int { return cmp.Compare(a.number, b.number) })
	for _, w := range f.touched {
		f.leaveOne(now, w)
		turn := pacing.Ordinary
		if w.urgent {
			turn, w.drained = pacing.Urgent, w.Version()
		}
		users := make([]balancer.Proxy, 0, len(w.users))
		for id := range w.users {
			users = append(users, id)
		}
		slices.Sort(users)
		for _, id := range users {
			p := f.proxies[id]
			if p.trace.DecidedAt == 0 || !p.away {
				p.trace = f.counts
			}
			if w.urgent && !p.urgent {
				p.urgent, p.urgentAt = true, now
			}
			lines := w.lines * float64(w.users[id]) // once for each class
			if p.SupportsAdmission {
				lines += w.levels
			}
			if !p.Polls && lines > 0 {
				f.wait(now, p, lines, turn)
			}
		}
		w.touched, w.urgent, w.lines, w.levels = false, false, 0, 0
	}
	f.touched = f.touched[:0]
}

// leaveOne refuses a table that is left without any line to an open, warm server, though it had some whose servers still are: those
// lines stay. Guards against a decision that would leave proxies without a server to pick (rule 1), whatever it came from; it does harm
// where the server that stays is one that fails all it gets, of which proxies then lose their tries, as without any line.
func (f *Fleet) leaveOne(now float64, w *wanted) {
	took := w.took
	if w.took = w.took[:0]; len(took) == 0 || len(w.users) == 0 || f.site.DisabledGuards[GuardTable] {
		return
	}
	for l := range w.ChangedSince(0) {
		phase, _ := f.Registry.Phase(l.Server)
		if l.Weight > 0 && phase == balancer.Ready && !f.Registry.WarmingUp(now, l.Server, f.site.Guarantees.WarmupDuration) {
			return
		}
	}
	f.Stats.TablesRejected++
	for _, l := range took {
		w.Set(now, l.server, l.weight)
	}
}

func (f *Fleet) wait(now float64, p *Proxy, lines float64, turn pacing.Priority) {
	if p.away {
		f.out.Suspend(p.ID)
	}
	f.out.Add(now, p.ID, min(lines, max(f.most(p)-f.out.QueuedEntries(p.ID), 0)), turn)
}

// most is how many lines a message to a proxy can have: those of its tables, and of those that were taken from them. Guards against
// counting a line as often as it changed while its proxy waited: it is sent once, as it is by then.
func (f *Fleet) most(p *Proxy) (lines float64) {
	for c := range p.Tables {
		if h := &p.Tables[c]; h.Bound {
			t := f.tables[h.Table]
			lines += float64(t.TotalLen() + len(t.Admissions()))
		}
	}
	return lines + 1
}

// SetPolling says whether a proxy asks for its weights or is sent them.
func (f *Fleet) SetPolling(now float64, p *Proxy, pulls bool) {
	if p.Polls = pulls; !pulls {
		for c := range p.Tables {
			f.ScheduleFull(now, p, balancer.Class(c), 1)
		}
	}
}

// RoundSink takes the decisions of one round; it is the balancer.CommandSink of a Fleet.
type RoundSink struct {
	f   *Fleet
	now float64
}

func (w *RoundSink) table(t balancer.Table) *wanted {
	x := w.f.tables[t]
	if x == nil {
		x = &wanted{number: t, users: map[balancer.Proxy]int{}}
		w.f.tables[t] = x
	}
	return x
}

func (w *RoundSink) touch(t *wanted) {
	if !t.touched {
		t.touched = true
		w.f.touched = append(w.f.touched, t)
	}
}

// SetWeight sets a line of a table.
func (w *RoundSink) SetWeight(t balancer.Table, s balancer.Server, weight float64) {
	x, before := w.table(t), w.table(t).Weight(s)
	if !x.Set(w.now, s, weight) {
		return
	}
	phase, _ := w.f.Registry.Phase(s)
	cold := w.f.Registry.WarmingUp(w.now, s, w.f.site.Guarantees.WarmupDuration)
	if weight == 0 && phase == balancer.Ready && !cold {
		x.took = append(x.took, line{s, before})
	}
	if weight == 0 && phase != balancer.Ready || cold && weight < urgentCold*before {
		x.urgent = true
	}
	x.lines++
	w.touch(x)
}

// AssignTable puts a proxy on a table for some classes; it is due the whole of it.
func (w *RoundSink) AssignTable(id balancer.Proxy, t balancer.Table, classes balancer.ClassSet) {
	p, x := w.f.proxies[id], w.table(t)
	if p == nil || !p.Joined {
		return
	}
	w.f.Stats.Binds++
	lines := 1.0
	for c := range p.Tables {
		if h := &p.Tables[c]; classes == 0 || classes>>c&1 == 1 {
			w.f.unbind(p, h)
			if w.f.site.DisabledGuards[GuardRejoin] && h.SentVersion > 0 && h.Table == t {
				h.Bound = true
			} else {
				*h = HeldTable{Table: t, Bound: true, Full: true, Stale: h.Stale || h.SentVersion > 0}
			}
			x.users[id]++
			lines += float64(x.Len() + len(x.Admissions()))
		}
	}
	p.trace = w.f.counts
	if !p.Polls {
		w.f.out.Add(w.now, id, lines, pacing.Ordinary)
	}
}

// SetAdmission orders levels and repeats.
func (w *RoundSink) SetAdmission(t balancer.Table, classes balancer.ClassSet, level float64, again balancer.RetryPolicy) {
	x := w.table(t)
	for c := range w.f.site.Classes {
		if classes == 0 || classes>>c&1 == 1 {
			if x.SetAdmission(balancer.Class(c), level, again) {
				w.f.Stats.Unsupported++
				x.levels++
				w.touch(x)
			}
		}
	}
}

// RequestAck rides on the messages to all that this round concerns.
func (w *RoundSink) RequestAck(m balancer.AckID) {
	for _, x := range w.f.touched {
		for id := range x.users {
			w.mark(w.f.proxies[id], m)
		}
	}
	for _, p := range w.f.proxies {
		if p.Joined && slices.ContainsFunc(p.Tables, func(h HeldTable) bool { return h.Full }) {
			w.mark(p, m)
		}
	}
}

func (w *RoundSink) mark(p *Proxy, m balancer.AckID) {
	if n := len(p.marks); n > 0 && p.marks[n-1].mark == m {
		return
	}
	p.marks = append(p.marks[:0], mark{m, w.now}) // the module waits for the newest only
}

// HealthCheck is never called: the module is told that probes are not allowed.
func (w *RoundSink) HealthCheck(balancer.Server) { w.f.Stats.Probes++ }

// PollDiscovery is never called: the roll tells its changes unasked.
func (w *RoundSink) PollDiscovery() {}

// SetTimer asks for another round.
func (w *RoundSink) SetTimer(after float64, _ balancer.Timer) { w.f.wakeAt = w.now + after }

// Log counts what the module remarks.
func (w *RoundSink) Log(string) { w.f.Stats.Notes++ }
