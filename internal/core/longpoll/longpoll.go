// Package longpoll serves proxies that ask and wait: a poll names the version that its proxy holds, and is answered when
// there is a newer one or when its wait is over. It is pure: polls, times and broken connections come in, answers go out
// through an interface.
//
// A version is an epoch, which is a coordinator's life, and a number that grows with every answer. The
// versions of the latest answers are remembered with the tables that they stand for; a poll that names one of them gets
// what changed since, any other the full state. What a proxy names it holds: that is the acknowledgement.
package longpoll

import (
	"errors"
	"iter"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tables"
	"snowquay/internal/core/timingwheel"
)

// PollID is a poll; the front numbers them, each number is used once.
type PollID uint64

// Poll is what a proxy asks.
type Poll struct {
	UID            string
	Epoch          uint64 // 0: it holds nothing of ours
	Version        uint64
	Wait           float64 // seconds that it will wait
	OwnershipEpoch uint64  // newest epoch of who leads what that it has followed; 0: none
}

// Entry of a class in an answer. A weight of 0 takes the line away.
type Entry struct {
	Server   balancer.Server
	Weight   float64
	Draining bool // it has no line because it drains
}

// Class is what an answer says of one query class.
type Class struct {
	Class        balancer.Class
	Full         bool // these are all lines: what the proxy holds besides is to be dropped
	Entries      []Entry
	HasAdmission bool // level and again are said
	Admission    float64
	Retry        balancer.RetryPolicy
	RetryAfter   float64 // seconds after which a client that was refused may come again
}

// Answer to a poll. Without classes nothing is newer than what the poll named; the proxy then holds what it held.
type Answer struct {
	Epoch, Version uint64
	From           uint64 // version that the proxy must hold, or a later one, to apply it; 0: any
	Classes        []Class
	PollWithin     float64 // seconds in which the proxy must ask again
	OwnershipEpoch uint64  // epoch of who leads what; the proxy drops the answer if it has followed a newer one
}

// RejectReason says why a poll is not served.
type RejectReason int

// Why a poll is rejected.
const (
	NotListed        RejectReason = iota // the settings list no such proxy
	TooManyPolls                         // too many polls, or proxies
	PollRateExceeded                     // this proxy asks too often
	Superseded                           // another poll of this proxy has come
	WrongCoordinator                     // another coordinator leads the proxy
	JoinedElsewhere                      // the proxy has joined by another front
	EpochOutdated                        // the proxy has followed a newer epoch than this coordinator knows
)

// Handler takes what a Counter orders.
type Handler interface {
	// Answer must use what it is given before it returns.
	Answer(PollID, *Answer)
	// Reject tells a poll to come back after some seconds, 0: not to.
	Reject(w PollID, why RejectReason, after float64)
	// Dropped tells that a proxy counts as gone, so that connections of it that wait for nothing are closed and it notices.
	Dropped(uid string)
	// Log logs an event with pairs of names and values.
	Log(event string, pairs ...any)
}

// Limits bound what a Counter keeps and does; a poll beyond one is refused.
type Limits struct {
	MaxParked         int     // polls that wait, of proxies that are joined
	JoinRate          float64 // of proxies a second, on average
	JoinBurst         float64 // joins at once
	PollRate          float64 // polls of one proxy a second, on average
	PollBurst         float64
	MaxWait           float64 // seconds that a poll may wait; more is cut down to it
	PollGap           float64 // seconds that a proxy may be between two polls; then it has left
	MaxUnacknowledged int     // answers that are not acknowledged; over it only drains are sent
	DrainReserve      int     // further answers, for drains alone
	RetryAfter        float64 // seconds after which those turned away come back, at least; they are spread over as much again
}

// DefaultLimits are those that settings start from.
var DefaultLimits = Limits{
	MaxParked:         16384, // three for each of 5,000 proxies
	JoinRate:          500,   // 5,000 are back within ten seconds
	JoinBurst:         500,
	PollRate:          4, // a change a second, and as much again for lost answers
	PollBurst:         20,
	MaxWait:           55, // under the minute after which middle boxes forget a connection
	PollGap:           2.5,
	MaxUnacknowledged: 2048, // a table of 300 lines each is 30 MB
	DrainReserve:      8192,
	RetryAfter:        1,
}

const (
	remembered = 4    // latest answers to a proxy whose versions may be named; one is held, one on its way, two to spare
	tick       = 0.02 // seconds of the timing wheel: as often as the coordinator looks
	lookEvery  = 0.1  // seconds between two looks for proxies that have left, and for those that are held back
	refusedFor = 2.0  // seconds after which a client that was refused by a level may come again: reports show the last by then
)

type sentState struct {
	version uint64
	of      []tables.Version // by class
	bound   []balancer.Table
}

type client struct {
	uid      string
	proxy    *controlplane.Proxy
	waiter   PollID // 0: none waits
	wait     timingwheel.Timer[*client]
	version  uint64
	base     uint64 // version that it named and that is believed; 0: none
	sent     [remembered]sentState
	next     int
	unacked  bool
	tokens   float64
	tokensAt float64
	answered float64 // when the latest answer was sent
	parkedAt float64
	stuck    bool // it is due, and the limit of answers under way holds it back
}

// Stats is what happened, for metrics.
type Stats struct {
	Polls, Answers, Empty, Deltas, Full, Rejected, Lost, Joins, Left, Unknown int
}

// Server is the long-poll side of one coordinator. Use New.
type Server struct {
	fleet    *controlplane.Fleet
	out      Handler
	limits   Limits
	epoch    uint64
	version  uint64 // newest that was given to any proxy
	clients  map[string]*client
	byProxy  map[balancer.Proxy]*client
	byWaiter map[PollID]*client
	wheel    *timingwheel.Wheel[*client]
	underWay int
	joins    float64
	joinsAt  float64
	looked   float64
	chance   uint64
	answer   Answer
	trusting bool // versions are believed unseen (a guard left out)
	Stats    Stats
}

// New makes a counter for a life that began at a clock time. epoch must differ from those of former lives and not be 0.
func New(now float64, epoch uint64, f *controlplane.Fleet, out Handler, limits Limits) *Server {
	return &Server{fleet: f, out: out, limits: limits, epoch: epoch, clients: map[string]*client{},
		byProxy: map[balancer.Proxy]*client{}, byWaiter: map[PollID]*client{}, wheel: timingwheel.New[*client](now, tick),
		joins: limits.JoinBurst, joinsAt: now, chance: f.Site().Seed*2 + 1, trusting: f.Site().DisabledGuards[controlplane.GuardVersions]}
}

// Parked is the number of polls that wait, and that of answers under way.
func (c *Server) Parked() (parked, underWay int) { return len(c.byWaiter), c.underWay }

// spread is a time to come back after, so that those turned away together do not come back together.
func (c *Server) spread() float64 {
	c.chance = c.chance*6364136223846793005 + 1442695040888963407
	return c.limits.RetryAfter * (1 + float64(c.chance>>40)/(1<<24))
}

func (c *Server) refuse(w PollID, why RejectReason, after float64) {
	c.Stats.Rejected++
	c.out.Reject(w, why, after)
}

// HandlePoll takes a poll.
func (c *Server) HandlePoll(now float64, w PollID, p Poll) {
	c.Stats.Polls++
	// Guards against a coordinator that has not heard that the proxy changed hands, and leads it by an epoch that is over;
	// it does harm where one is far behind, whose proxies then wait until it has caught up or its lease has ended.
	if p.OwnershipEpoch > c.fleet.OwnershipEpoch() {
		c.refuse(w, EpochOutdated, 0)
		return
	}
	x := c.clients[p.UID]
	if x == nil {
		if x = c.join(now, w, p); x == nil {
			return
		}
	}
	x.tokens = min(c.limits.PollBurst, x.tokens+(now-x.tokensAt)*c.limits.PollRate)
	if !x.unacked || p.Epoch != c.epoch || p.Version != x.version {
		x.tokens-- // one that acknowledges an answer comes at our own pace
	}
	if x.tokensAt = now; x.tokens < 0 {
		c.refuse(w, PollRateExceeded, c.spread())
		return
	}
	if x.waiter != 0 { // a poll whose connection is broken without our knowing, or a confused proxy: the newest counts
		old := x.waiter
		c.unpark(x)
		c.refuse(old, Superseded, 0)
	}
	c.acknowledge(now, x, p)
	x.waiter, x.parkedAt = w, now
	c.byWaiter[w] = x
	c.wheel.Set(&x.wait, now+min(max(p.Wait, 0), c.limits.MaxWait))
	c.fleet.Resume(now, x.proxy)
}

// join takes in a proxy that has none here. Proxies that are joined already are served before those that are not: a crowd
// at the door takes no room from them.
func (c *Server) join(now float64, w PollID, p Poll) *client {
	if !c.fleet.Listed(p.UID) { // nor do those that may never join
		c.out.Log("proxy refused", "uid", p.UID, "error", controlplane.ErrUnlistedProxy)
		c.refuse(w, NotListed, 0)
		return nil
	}
	c.joins = min(c.limits.JoinBurst, c.joins+(now-c.joinsAt)*c.limits.JoinRate)
	c.joinsAt = now
	if c.joins < 1 || len(c.clients) >= c.limits.MaxParked {
		c.refuse(w, TooManyPolls, c.spread())
		return nil
	}
	c.joins--
	proxy, err := c.fleet.Join(now, p.UID, c, p.Epoch == 0)
	if err != nil {
		c.out.Log("proxy refused", "uid", p.UID, "error", err)
		switch {
		case errors.Is(err, controlplane.ErrWrongCoordinator):
			c.refuse(w, WrongCoordinator, 0)
		case errors.Is(err, controlplane.ErrJoinRateExceeded):
			c.refuse(w, PollRateExceeded, c.spread())
		default:
			c.refuse(w, TooManyPolls, c.spread())
		}
		return nil
	}
	c.Stats.Joins++
	proxy.SupportsAdmission = true
	x := &client{uid: p.UID, proxy: proxy, tokens: c.limits.PollBurst, tokensAt: now, answered: now}
	x.wait.Value = x
	c.clients[p.UID], c.byProxy[proxy.ID] = x, x
	c.fleet.Suspend(proxy)
	return x
}

// acknowledge takes the version that a proxy names. Only one that it was sent in this life, of the tables that it is bound
// to, is believed; with any other it holds nothing that is known. Guards against deltas to a state that is not there:
// after a restart, after lost answers, or from a proxy that was never sent what it names. The cost is a full table.
func (c *Server) acknowledge(now float64, x *client, p Poll) {
	if x.unacked {
		x.unacked = false
		c.underWay--
	}
	x.base = 0
	if c.trusting {
		c.fleet.MarkDelivered(now, x.proxy)
		return
	}
	for _, s := range x.sent {
		if p.Epoch != c.epoch || s.version != p.Version || s.version == 0 {
			continue
		}
		if x.base = p.Version; p.Version == x.version {
			c.fleet.MarkDelivered(now, x.proxy)
			return
		}
		c.Stats.Lost++
		c.hold(now, x, s.of, s.bound)
		return
	}
	if x.version > 0 || p.Epoch != 0 {
		c.Stats.Unknown++
	}
	c.hold(now, x, nil, nil)
}

// hold says to the fleet what the proxy holds of the tables that it is bound to.
func (c *Server) hold(now float64, x *client, of []tables.Version, bound []balancer.Table) {
	versions := make([]tables.Version, len(x.proxy.Tables))
	for i := range of {
		if h := &x.proxy.Tables[i]; h.Assigned && bound[i] == h.Table {
			versions[i] = of[i]
		}
	}
	c.fleet.ObserveVersions(now, x.proxy, versions)
}

func (c *Server) unpark(x *client) {
	if x.waiter != 0 {
		delete(c.byWaiter, x.waiter)
		c.wheel.Cancel(&x.wait)
		x.waiter = 0
		c.fleet.Suspend(x.proxy)
	}
}

// PollClosed takes the end of a poll's connection.
func (c *Server) PollClosed(now float64, w PollID) {
	if x := c.byWaiter[w]; x != nil {
		c.unpark(x)
		x.answered = now
	}
}

// ProxyLeft takes a proxy's word that it goes.
func (c *Server) ProxyLeft(now float64, uid string) bool {
	x := c.clients[uid]
	if x == nil {
		return false
	}
	c.drop(now, x, "it said so")
	return true
}

func (c *Server) drop(now float64, x *client, why string) {
	c.Stats.Left++
	c.out.Log("proxy left", "uid", x.uid, "why", why)
	if w := x.waiter; w != 0 {
		c.unpark(x)
		c.refuse(w, Superseded, 0)
	}
	c.forget(x)
	c.fleet.Disconnect(now, x.proxy)
	c.out.Dropped(x.uid)
}

func (c *Server) forget(x *client) {
	if x.unacked {
		c.underWay--
	}
	delete(c.clients, x.uid)
	delete(c.byProxy, x.proxy.ID)
}

// Displaced of controlplane.Front.
func (c *Server) Displaced(_ float64, p *controlplane.Proxy) {
	x := c.byProxy[p.ID]
	if x == nil {
		return
	}
	if w := x.waiter; w != 0 {
		delete(c.byWaiter, w)
		c.wheel.Cancel(&x.wait)
		x.waiter = 0
		c.refuse(w, JoinedElsewhere, 0)
	}
	c.forget(x)
}

// Deliver of controlplane.Front: the proxy's turn has come.
func (c *Server) Deliver(now float64, p *controlplane.Proxy) {
	x := c.byProxy[p.ID]
	if x == nil || x.waiter == 0 {
		c.fleet.Suspend(p)
		return
	}
	most := c.limits.MaxUnacknowledged
	if c.fleet.HasUrgent(p) {
		most += c.limits.DrainReserve
	}
	if c.underWay >= most {
		x.stuck = true
		c.fleet.Suspend(p)
		return
	}
	if !c.fleet.NeedsUpdate(p) {
		c.fleet.SkipUpdate(now, p)
		return
	}
	c.send(now, x)
}

// send answers a poll with the newest state.
func (c *Server) send(now float64, x *client) {
	a, lines := &c.answer, 0
	a.From = 0
	a.Classes = a.Classes[:0]
	for i := range x.proxy.Tables {
		class := balancer.Class(i)
		changed, full, ok := c.fleet.Delta(x.proxy, class)
		if !ok {
			continue
		}
		// More lines changed than there are, counting those that went: the whole table is shorter than the delta.
		if full = full || c.fleet.MayHoldStale(x.proxy, class) || longer(changed, c.fleet.TableSize(x.proxy, class)); full {
			changed, _ = c.fleet.FullTable(x.proxy, class)
		}
		k := len(a.Classes)
		a.Classes = slices.Grow(a.Classes, 1)[:k+1]
		said := &a.Classes[k]
		*said = Class{Class: class, Full: full, Entries: said.Entries[:0]}
		for l := range changed {
			if l.Weight == 0 && full {
				continue
			}
			phase, _ := c.fleet.Registry.Phase(l.Server)
			said.Entries = append(said.Entries, Entry{l.Server, l.Weight, l.Weight == 0 && phase == balancer.Draining})
		}
		// Lines that bring queries come before those that take them away, for whoever applies them one by one.
		slices.SortStableFunc(said.Entries, func(a, b Entry) int { return sign(b.Weight) - sign(a.Weight) })
		for _, l := range c.fleet.AdmissionsSince(x.proxy, class, full) {
			said.HasAdmission, said.Admission, said.Retry = true, l.Rate, l.Retry
			if said.RetryAfter = 0; l.Rate < 1 {
				said.RetryAfter = refusedFor
			}
		}
		lines += len(said.Entries) + btoi(said.HasAdmission)
		if !said.Full {
			a.From = x.base
		}
		switch {
		case !said.Full && !said.HasAdmission && len(said.Entries) == 0:
			a.Classes = a.Classes[:k]
		case full:
			c.Stats.Full++
		default:
			c.Stats.Deltas++
		}
	}
	if len(a.Classes) == 0 {
		c.fleet.SkipUpdate(now, x.proxy)
		return
	}
	c.fleet.MarkSent(now, x.proxy, lines)
	c.version++ // one count for all: a proxy that left and comes back must not find its old numbers given to other states
	x.version = c.version
	s := &x.sent[x.next]
	x.next = (x.next + 1) % remembered
	s.version, s.of, s.bound = x.version, s.of[:0], s.bound[:0]
	for _, h := range x.proxy.Tables {
		s.of, s.bound = append(s.of, h.SentVersion), append(s.bound, h.Table)
	}
	x.unacked = true
	c.underWay++
	c.reply(now, x)
}

func (c *Server) reply(now float64, x *client) {
	w := x.waiter
	delete(c.byWaiter, w)
	c.wheel.Cancel(&x.wait)
	x.waiter, x.answered = 0, now
	c.Stats.Answers++
	a := &c.answer
	a.Epoch, a.Version, a.PollWithin = c.epoch, x.version, c.limits.PollGap/2
	a.OwnershipEpoch = c.fleet.OwnershipEpoch()
	c.out.Answer(w, a)
}

// longer tells whether there are more lines than so many.
func longer(lines iter.Seq[*tables.Entry], than int) bool {
	for range lines {
		if than--; than < 0 {
			return true
		}
	}
	return false
}

func sign(v float64) int { return btoi(v > 0) }

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Tick does what is due by time: waits that are over, proxies that did not come back.
func (c *Server) Tick(now float64) {
	c.wheel.Advance(now, func(x *client) { c.over(now, x) })
	if now-c.looked < lookEvery {
		return
	}
	c.looked = now
	why := map[*client]string{}
	var found []*client
	for _, x := range c.clients {
		if reason := c.late(now, x); reason != "" {
			why[x] = reason
			found = append(found, x)
		} else if x.stuck && c.underWay < c.limits.MaxUnacknowledged {
			found = append(found, x)
		}
	}
	slices.SortFunc(found, func(a, b *client) int { return int(a.proxy.ID) - int(b.proxy.ID) })
	for _, x := range found {
		if x.stuck = false; why[x] != "" {
			c.drop(now, x, why[x])
		} else if x.waiter != 0 {
			c.fleet.Resume(now, x.proxy)
		}
	}
}

// late tells why a proxy counts as gone. While no poll of it waits it can't be told of a drain; it is then not one that
// is joined, and is given whole tables when it comes back.
func (c *Server) late(now float64, x *client) string {
	if x.waiter == 0 && now-x.answered > c.limits.PollGap {
		return "it has not asked again"
	}
	if x.waiter == 0 {
		return c.fleet.DrainOverdue(now, x.proxy)
	}
	return c.fleet.Noncompliance(x.proxy)
}

// over ends a wait. If something is newer at that very moment it is sent, whosever turn it is: an answer that nothing is
// newer would not be true.
func (c *Server) over(now float64, x *client) {
	if c.fleet.NeedsUpdate(x.proxy) && !x.proxy.InFlight() && c.underWay < c.limits.MaxUnacknowledged {
		if c.send(now, x); x.waiter == 0 {
			return
		}
	}
	c.Stats.Empty++
	c.answer.Classes, c.answer.From = c.answer.Classes[:0], 0
	c.reply(now, x)
	c.fleet.Suspend(x.proxy)
}
