// Package coordinator makes a coordinator of its parts: a fleet, a SASP desk, a long-poll front and a collector of measurements.
// The same program runs in virtual time and over real sockets.
package coordinator

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/consensus"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/env"
	"snowquay/internal/feed/collectd"
	"snowquay/internal/feed/graphite"
	"snowquay/internal/frontend/longpollhttp"
)

const (
	restEvery  = 0.25 // seconds between two looks at a tenant that nobody is connected to
	tickEvery  = 0.02 // seconds between two looks at what is due: 50 chances a second for a message to leave
	agreeEvery = 1.0  // seconds between two looks for drains that have ended without us
)

// Config is what a coordinator is made of.
type Config struct {
	Site        controlplane.Site
	Limits      saspsession.Limits
	Policy      saspsession.Policy
	LongPoll    longpollhttp.Limits
	Parking     longpoll.Limits
	SASP        netip.AddrPort // not valid: it is not spoken
	HTTP        netip.AddrPort // likewise
	User        string         // of signed measurements
	Key         string         // empty: they need not be signed
	Log         *slog.Logger
	OnFail      func(error)                     // nil: nobody is told that it orders nothing any more
	OnOrder     func(controlplane.MessageTrace) // nil: nobody traces
	Group       *GroupConfig                    // nil: it shares its fleet with nobody
	Storage     consensus.Storage               // of the group
	Incarnation uint64                          // of this process in the group: no former one has had it
	Peers       Peers                           // that it shares its fleet with, where a host speaks to them for all its tenants; nil: Group says
	Graphite    *graphite.Setup                 // nil: no figures are sent
	RequestTurn func(now float64)               // nil: what is urgent is done at once; else a host is asked for a turn, and wakes it
}

// Peers are the coordinators that one shares its fleet with, as it sees them.
type Peers interface {
	// Ready tells whether anything can be agreed on.
	Ready() bool
	// HoldsLease tells whether this coordinator holds a lease, hence has heard all that was agreed on before it.
	HoldsLease(now float64) bool
	// Owns tells whether a proxy may be ordered now, Epoch by whose lead.
	Owns(now float64, uid string) bool
	Epoch() uint64
	// ProxyRedirected notes that a proxy was sent away.
	ProxyRedirected(now float64, uid string)
	// Drain makes a drain known to all; Settled tells by its ticket when it is. ok is false where it can't be taken.
	Drain(now float64, s balancer.Server, on bool) (ticket uint64, ok bool)
	// Drains are those that were agreed on, and when they were told. It must not be changed.
	Drains() map[balancer.Server]float64
	// ServerRecords are the records of servers that are agreed on, by server.
	ServerRecords() []registry.Record
	// StoreRecords proposes what is new of records.
	StoreRecords(now float64, records []registry.Record)
}

// Store keeps the records that outlive a coordinator.
type Store interface {
	controlplane.RecordStore
	Load() ([]registry.Record, error)
}

// both keeps records on our own disk and with the group. A round does not wait for the group: each coordinator hears every
// server itself, what it does not know yet it holds for cold, and drains have an agreement of their own.
type both struct {
	c   *Coordinator
	own controlplane.RecordStore // nil: there is no disk of our own
}

// Save of controlplane.Keeper.
func (b *both) Save(records []registry.Record) error {
	if p := b.c.peers; p.Ready() {
		p.StoreRecords(b.c.now, records)
	}
	if b.own == nil {
		return nil
	}
	return b.own.Save(records)
}

// Coordinator is a env.Program.
type Coordinator struct {
	setup Config
	store Store
	io    env.IO

	Fleet     *controlplane.Fleet
	SASP      *saspsession.Server
	LongPoll  *longpollhttp.Front
	Member    *Member           // nil: it is in no group of its own
	peers     Peers             // nil: it shares its fleet with nobody
	figures   *graphite.Sender  // nil: none are sent
	polls     map[env.Conn]bool // connections of the long-poll front
	Collector *collectd.Collector
	now       float64 // of the latest look
	adopted   bool
	ordered   map[uint64]func(bool) // administrators' drains on their way, by ticket
	agreedAt  float64
}

// New makes a coordinator; it does nothing until Start. store may be nil: nothing outlives it then.
func New(now float64, setup Config, store Store) (*Coordinator, error) {
	c := &Coordinator{setup: setup, store: store}
	var records []registry.Record
	var keeper controlplane.RecordStore
	if store != nil {
		var err error
		if records, err = store.Load(); err != nil {
			return nil, err
		}
		keeper = store
	}
	if setup.Group != nil || setup.Peers != nil {
		keeper = &both{c, keeper}
	}
	f, err := controlplane.New(now, setup.Site, records, keeper)
	if err != nil {
		return nil, err
	}
	c.Fleet = f
	c.SASP = saspsession.New(f, c, setup.Limits, setup.Policy)
	c.polls = map[env.Conn]bool{}
	c.LongPoll = longpollhttp.New(c, setup.LongPoll, setup.Site.ClassNames)
	// An epoch of microseconds: a life begins later than the one before it.
	c.LongPoll.Counter = longpoll.New(now, uint64(now*1e6)|1, f, c.LongPoll, setup.Parking)
	c.Collector = collectd.New(f, setup.User, setup.Key)
	if setup.Graphite != nil {
		c.figures = graphite.New(now, *setup.Graphite, rand.New(rand.NewPCG(setup.Site.Seed, 0x67a)).Float64)
	}
	if setup.Group != nil {
		g, d := *setup.Group, setup.Site.DataPlane
		g.Lease.RampUp = membership.RampUpFor(d.Proxies, len(g.Members), float64(len(setup.Site.Servers)*len(setup.Site.Classes)),
			setup.Site.Channel.EntriesPerSecond)
		c.Member = NewMember(g, setup.Storage, setup.Incarnation, c.Say)
		c.Member.OnFail = setup.OnFail
		c.Member.OnDrain, c.Member.OnOrdersCompleted, c.Member.OnRecords = c.drained, c.settled, c.learnt
		c.peers = c.Member
	} else if setup.Peers != nil {
		c.peers = setup.Peers
	}
	if c.peers != nil {
		f.SetOwnership(c.peers.Owns, c.peers.Epoch, c.peers.ProxyRedirected)
	}
	return c, nil
}

// Start of env.Program.
func (c *Coordinator) Start(now float64, io env.IO) {
	if c.io = io; c.figures != nil {
		c.figures.Start(io)
	}
	if c.Member != nil {
		c.Member.begin(now, io)
	}
	io.SetTimer(now, 0)
}

// Opened of env.Program.
func (c *Coordinator) Opened(now float64, id env.Conn, from netip.Addr, port uint16) {
	if c.Member != nil && port == c.setup.Group.Members[c.setup.Group.Self].Port() {
		c.Member.Opened(now, id, from, port)
		return
	}
	if c.setup.HTTP.IsValid() && port == c.setup.HTTP.Port() {
		c.polls[id] = true
		c.LongPoll.Opened(now, longpollhttp.Conn(id), from)
		return
	}
	c.SASP.Opened(now, saspsession.Conn(id), from)
}

// Connected of env.Program: a coordinator dials those that it shares its fleet with.
func (c *Coordinator) Connected(now float64, id env.Conn, ok bool) {
	if c.figures != nil && c.figures.Connected(now, id, ok) {
		return
	}
	if c.Member != nil {
		c.Member.Connected(now, id, ok)
	}
}

// Receive of env.Program.
func (c *Coordinator) Receive(now float64, id env.Conn, b []byte) {
	if c.figures != nil && c.figures.Receive(id) {
		return
	}
	if c.Member != nil && c.Member.Failed == nil && c.Member.peers.receive(now, id, b) {
		return
	}
	if c.polls[id] {
		c.LongPoll.Receive(now, longpollhttp.Conn(id), b)
		return
	}
	c.SASP.Receive(now, saspsession.Conn(id), b)
	if c.Fleet.Registry.HasChanges() { // a drain does not wait for the next look
		c.hurry(now)
	}
}

// Closed of env.Program.
func (c *Coordinator) Closed(now float64, id env.Conn) {
	if c.figures != nil && c.figures.Closed(now, id) {
		return
	}
	if c.Member != nil && c.Member.peers.closed(id) {
		return
	}
	if c.polls[id] {
		delete(c.polls, id)
		c.LongPoll.Closed(now, longpollhttp.Conn(id))
		return
	}
	c.SASP.Closed(now, saspsession.Conn(id))
}

// Delivered of env.Program.
func (c *Coordinator) Delivered(now float64, id env.Conn, total uint64) {
	if c.figures != nil && c.figures.Taken(now, id, total) {
		return
	}
	if c.Member != nil && c.Member.peers.taken(id, total) {
		return
	}
	if c.polls[id] {
		c.LongPoll.Taken(now, longpollhttp.Conn(id), total)
		return
	}
	c.SASP.Taken(now, saspsession.Conn(id), total)
}

// Datagram of env.Program.
func (c *Coordinator) Datagram(now float64, b []byte) {
	if err := c.Collector.Packet(now, b); err != nil && c.setup.Log != nil {
		c.setup.Log.Debug("measurement", "error", err)
	}
}

// TimerFired of env.Program.
func (c *Coordinator) TimerFired(now float64, _ int) {
	c.tick(now)
	if c.figures != nil {
		c.figures.Tick(now, func() {
			for _, x := range c.Fleet.Metrics(now) {
				c.figures.Add(x.Cumulative, x.Value, x.Path()...)
			}
		})
	}
	for _, o := range c.Fleet.TakeTraces() {
		if c.setup.OnOrder != nil {
			c.setup.OnOrder(o)
		}
	}
	if c.setup.RequestTurn != nil && c.Idle() {
		c.io.SetTimer(now+restEvery, 0)
		return
	}
	c.io.SetTimer(now+tickEvery, 0)
}

// GraphiteSender are what is sent to a receiver of figures; nil: nothing is.
func (c *Coordinator) GraphiteSender() *graphite.Sender { return c.figures }

// Idle tells whether nobody is connected, so that nothing is urgent before somebody comes.
func (c *Coordinator) Idle() bool {
	n, _ := c.SASP.Connections()
	return n == 0 && c.LongPoll.Connections() == 0
}

// hurry looks at what is due now, or asks the host for a turn to do so.
func (c *Coordinator) hurry(now float64) {
	if c.setup.RequestTurn != nil {
		c.setup.RequestTurn(now)
		return
	}
	c.tick(now)
}

func (c *Coordinator) tick(now float64) {
	c.now = now
	if c.Member != nil {
		c.Member.tick(now)
	}
	if c.peers != nil {
		if c.Fleet.EvictForeign(now); c.peers.Ready() {
			c.agree(now)
		}
	}
	c.Fleet.RunRound(now)
	c.SASP.Tick(now)
	c.LongPoll.Tick(now)
	c.Fleet.SendDue(now)
}

// Send of saspsession.Out.
func (c *Coordinator) Send(id saspsession.Conn, b []byte) { c.io.Send(env.Conn(id), b) }

// SendPoll of longpollhttp.Out.
func (c *Coordinator) SendPoll(id longpollhttp.Conn, b []byte) { c.io.Send(env.Conn(id), b) }

// ClosePoll of longpollhttp.Out.
func (c *Coordinator) ClosePoll(id longpollhttp.Conn) {
	delete(c.polls, env.Conn(id))
	c.io.Close(env.Conn(id))
}

// Leave gives our part up, so that the others need not wait until our lease ends. It reports whether they know.
func (c *Coordinator) Leave(now float64) (known bool) {
	if c.Member == nil || c.Member.Failed != nil || c.Member.Group == nil {
		return true
	}
	return c.Member.Leave(now)
}

// Ports are those that proxies dial.
func (s *Config) Ports() (all []netip.AddrPort) {
	for _, a := range []netip.AddrPort{s.SASP, s.HTTP} {
		if a.IsValid() {
			all = append(all, a)
		}
	}
	return all
}

// Drain of saspsession.Out: what was told to one coordinator is agreed on by all before anything follows from it.
func (c *Coordinator) Drain(now float64, s balancer.Server, on bool) (ticket uint64, ok bool) {
	if c.peers == nil {
		return 0, true
	}
	if !c.peers.Ready() {
		return 0, false
	}
	return c.peers.Drain(now, s, on)
}

// drained takes a drain that was agreed on.
func (c *Coordinator) drained(now float64, d membership.Command) {
	c.Fleet.Registry.SetDrain(now, d.Server, d.Draining)
}

// learnt takes what another coordinator has heard of servers' starts.
func (c *Coordinator) learnt(_ float64, records []registry.Record) {
	for _, r := range records {
		if r.Phase != balancer.Removed {
			c.Fleet.Registry.ObserveLaterStart(r.Server, r.Started)
		}
	}
}

// settled answers those who told of drains.
func (c *Coordinator) settled(now float64, kept, refused []membership.Ticket) {
	for _, t := range kept {
		c.settle(now, uint64(t), true)
	}
	for _, t := range refused {
		c.settle(now, uint64(t), false)
	}
}

func (c *Coordinator) settle(now float64, ticket uint64, ok bool) {
	if done := c.ordered[ticket]; done != nil {
		delete(c.ordered, ticket)
		done(ok)
		return
	}
	c.SASP.Settled(now, ticket, ok)
}

// RequestDrain takes a drain, or its end, of an administrator. done is called once, when it is agreed on and durable, or refused.
func (c *Coordinator) RequestDrain(now float64, s balancer.Server, on bool, done func(ok bool)) {
	ticket, ok := c.Drain(now, s, on)
	switch {
	case !ok:
		done(false)
	case ticket > 0:
		if c.ordered == nil {
			c.ordered = map[uint64]func(bool){}
		}
		c.ordered[ticket] = done
	default:
		ok = c.Fleet.Registry.SetDrain(now, s, on)
		kept := c.Fleet.Persist()
		c.tick(now)
		done(ok && kept)
	}
}

// agree brings the roll to what was agreed on: also for servers that have come since, and for drains that a former life
// of ours kept and that have ended without us.
func (c *Coordinator) agree(now float64) {
	drains := c.peers.Drains()
	for s := range drains {
		if phase, _ := c.Fleet.Registry.Phase(s); phase == balancer.Ready {
			c.Fleet.Registry.SetDrain(now, s, true)
		}
	}
	if !c.peers.HoldsLease(now) || now < c.agreedAt {
		return // what has ended without us is known when we have heard of all that was agreed on before we renewed
	}
	if !c.adopted { // servers that the others know and that have not dialled us yet
		c.adopted = true
		for _, r := range c.peers.ServerRecords() {
			if _, known := c.Fleet.Registry.Find(r.Server); known || r.Phase == balancer.Removed {
				continue
			}
			if err := c.Fleet.Registry.Restore(now, []registry.Record{r}); err != nil {
				c.Say("server not taken from the group", "server", r.Server, "error", err)
			}
		}
	}
	c.agreedAt = now + agreeEvery
	for _, s := range c.Fleet.Registry.OrderedDrains() {
		if _, ok := drains[s]; !ok {
			c.Fleet.Registry.SetDrain(now, s, false)
		}
	}
}

// Close of saspsession.Out.
func (c *Coordinator) Close(id saspsession.Conn) { c.io.Close(env.Conn(id)) }

// Say of saspsession.Out.
func (c *Coordinator) Say(event string, pairs ...any) {
	if c.setup.Log != nil {
		c.setup.Log.Log(context.Background(), slog.LevelInfo, event, pairs...)
	}
}
