// Package platform runs a coordinator on the platform: collectors and strangers that connect, links to the relay and to discovery,
// probes. It is a env.Program: the same code runs on sockets and in virtual time. It decides nothing; what it reads goes into
// the round's news, and the round's orders leave as calls to the relay.
package platform

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/platformstate"
	"snowquay/internal/deployment"
	"snowquay/internal/env"
	"snowquay/internal/wire/discovery"
	"snowquay/internal/wire/jsonrpc"
)

const (
	gather    = 0.004 // seconds from the first news to their round: what comes together is decided together
	tendEvery = 0.1   // seconds between two looks at what is due
	tellEvery = 5.0   // seconds between two lines that say how it stands

	mostUnread = 128 << 10 // bytes; the platform's
)

// Config is what a coordinator is told of where it runs.
type Config struct {
	Discovery, Relay netip.AddrPort
	Sockets          int             // descriptors that it may hold
	Known            *discovery.List // nil where it can't be read
	KnownErr         error           // and why
	Seed             uint64
	Deployment       *deployment.Deployment
}

// Program is one coordinator. Use New.
type Program struct {
	dep     *deployment.Deployment
	names   jsonrpc.ClassNames // of classes, by place
	figures []string           // of load reports, in their order
	manager *balancer.Balancer
	log     *slog.Logger
	io      env.IO

	news    balancer.Events
	looked  int     // streams in them that were looked at for proxies that have left
	untold  bool    // the module was not told who is joined
	dirtyAt float64 // since when news wait for their round; 0: none do
	wakes   []wake  // that the module has asked for
	roster  *platformstate.ProxyRegistry
	servers *platformstate.EndpointSet
	calls   *platformstate.CommandBuffer

	callers  map[env.Conn]*caller
	unjoined []*caller // oldest first, with some that have joined or gone
	most     int       // callers at once
	links    map[env.Conn]*link
	relay    relay
	listing  watch // of discovery
	probes   map[env.Conn]*probe
	asked    map[balancer.Server]bool // being probed

	tendAt, tellAt, wakeAt float64
	counts                 Stats
}

// Stats are what has come and gone, for the line that says how it stands.
type Stats struct {
	Rounds, Calls, Reports, Spoilt, Refused, Closed uint64
}

type wake struct {
	at float64
	t  balancer.Timer
}

// New makes a coordinator; it does nothing until Start.
func New(p Config, log *slog.Logger) *Program {
	d := p.Deployment
	var names jsonrpc.ClassNames
	for _, c := range d.Classes {
		names = append(names, c.Name)
	}
	var figures []string
	for _, f := range d.LoadMetrics() {
		figures = append(figures, words[f])
	}
	x := &Program{dep: d, names: names, figures: figures, manager: d.NewBalancer(p.Seed), log: log, roster: platformstate.NewProxyRegistry(),
		servers: platformstate.NewEndpointSet(d.Zones, d.MachineKinds), calls: platformstate.NewCommandBuffer(names),
		callers: map[env.Conn]*caller{}, most: max(p.Sockets-reserve, leastCallers), links: map[env.Conn]*link{},
		probes: map[env.Conn]*probe{}, asked: map[balancer.Server]bool{}}
	x.relay.main.to, x.relay.second.to, x.listing.to = p.Relay, p.Relay, p.Discovery
	x.relay.main.receive, x.relay.second.receive, x.listing.receive = (*Program).fromRelay, (*Program).fromRelay, (*Program).fromListing
	if p.Known != nil {
		x.servers.LoadCached(p.Known, &x.news)
	} else if p.KnownErr != nil {
		log.Warn("starts without a list of servers", "known", p.KnownErr)
	}
	return x
}

// IgnoreDelivery of eventloop.DeliveryIgnorer: nobody needs to know what peers' hosts have taken.
func (p *Program) IgnoreDelivery() {}

// MaxUnread of eventloop.UnreadLimiter: whoever leaves more unread is cut off. A relay reads a call before it answers, and none is larger than that.
func (p *Program) MaxUnread() int { return mostUnread }

// Start of env.Program.
func (p *Program) Start(now float64, io env.IO) {
	p.io, p.tellAt = io, now+tellEvery
	p.round(now)
	p.tend(now)
	p.rest(now)
}

// SetAddresses makes links to other addresses of relay and discovery; the old ones stand until the new ones do.
func (p *Program) SetAddresses(now float64, discovery, hub netip.AddrPort) {
	for i, w := range []*watch{&p.relay.main, &p.relay.second, &p.listing} {
		to := []netip.AddrPort{hub, hub, discovery}[i]
		w.whole = w.whole || w.to != to // versions of one discovery say nothing about another's
		w.to, w.retryAt = to, 0
		if n := w.next; n != nil && n.to != to { // it would be waited for
			p.drop(n)
			w.next = nil
		}
	}
	p.tend(now)
	p.rest(now)
}

// Leave closes all connections: whoever is connected goes elsewhere.
func (p *Program) Leave() {
	for c := range p.callers {
		p.io.Close(c)
	}
	for c := range p.links {
		p.io.Close(c)
	}
	p.callers, p.links = map[env.Conn]*caller{}, map[env.Conn]*link{}
}

// Opened of env.Program.
func (p *Program) Opened(now float64, c env.Conn, _ netip.Addr, _ uint16) {
	p.accept(now, c)
	p.rest(now)
}

// Connected of env.Program.
func (p *Program) Connected(now float64, c env.Conn, ok bool) {
	switch {
	case p.links[c] != nil:
		p.linked(now, p.links[c], ok)
	case p.probes[c] != nil:
		p.reached(now, p.probes[c], ok)
	case ok: // given up meanwhile
		p.io.Close(c)
	}
	p.rest(now)
}

// Receive of env.Program.
func (p *Program) Receive(now float64, c env.Conn, b []byte) {
	switch {
	case p.callers[c] != nil:
		p.hear(now, p.callers[c], b)
	case p.links[c] != nil:
		p.links[c].heard = now
		p.links[c].of.receive(p, now, p.links[c], b)
	case p.probes[c] != nil:
		p.answered(now, p.probes[c], b)
	}
	p.rest(now)
}

// Closed of env.Program.
func (p *Program) Closed(now float64, c env.Conn) {
	switch {
	case p.callers[c] != nil:
		delete(p.callers, c)
	case p.links[c] != nil:
		p.broken(now, p.links[c])
	case p.probes[c] != nil:
		p.verdict(now, p.probes[c], balancer.HealthUnreachable, nil)
	}
	p.rest(now)
}

// Delivered of env.Program.
func (p *Program) Delivered(float64, env.Conn, uint64) {}

// Datagram of env.Program.
func (p *Program) Datagram(float64, []byte) {}

// TimerFired of env.Program.
func (p *Program) TimerFired(now float64, _ int) {
	p.wakeAt = 0
	for i := 0; i < len(p.wakes); i++ {
		if w := p.wakes[i]; now >= w.at {
			p.news.FiredTimers = append(p.news.FiredTimers, w.t)
			p.wakes = append(p.wakes[:i], p.wakes[i+1:]...)
			i--
			p.dirty(now - gather)
		}
	}
	if p.dirtyAt > 0 && now >= p.dirtyAt+gather {
		p.round(now)
	}
	if now >= p.tendAt {
		p.tend(now)
	}
	p.rest(now)
}

// dirty says that there are news.
func (p *Program) dirty(now float64) {
	if p.dirtyAt == 0 {
		p.dirtyAt = now
	}
}

// rest has the program woken for whatever is due next.
func (p *Program) rest(now float64) {
	p.left(now)
	p.say(now)
	at := p.tendAt
	if p.dirtyAt > 0 {
		at = min(at, p.dirtyAt+gather)
	}
	for _, w := range p.wakes {
		at = min(at, w.at)
	}
	if p.calls.InFlight() {
		at = min(at, p.relay.saidAt+answerWithin)
	}
	if p.wakeAt == 0 || at < p.wakeAt {
		p.wakeAt = at
		p.io.SetTimer(at, 0)
	}
}

// round hands the module all that has come, and writes what it decides.
func (p *Program) round(now float64) {
	news := p.news
	news.ChannelStalled, news.Redelivered = p.stalled(now), p.calls.TakeRedelivered()
	p.news, p.looked, p.dirtyAt, p.relay.held = balancer.Events{}, 0, 0, news.ChannelStalled
	switch { // how proxies are grouped hangs on the servers: who joins before any is known is told with them
	case !p.servers.EverListed():
		news.ProxyEvents, p.untold = nil, true
	case p.untold:
		news.ProxyEvents, p.untold = p.roster.JoinEvents(), false
	}
	p.counts.Rounds++
	p.manager.Reconcile(now, news, &pen{p.calls, p, now})
}

// pen is the balancer.CommandSink of a round: orders to the relay go into its calls, the rest is done at once.
type pen struct {
	*platformstate.CommandBuffer
	p   *Program
	now float64
}

// HealthCheck of balancer.CommandSink.
func (w *pen) HealthCheck(s balancer.Server) { w.p.probe(w.now, s) }

// PollDiscovery of balancer.CommandSink. Discovery is watched all the time: nothing has to be asked.
func (w *pen) PollDiscovery() {}

// SetTimer of balancer.CommandSink.
func (w *pen) SetTimer(after float64, t balancer.Timer) {
	w.p.wakes = append(w.p.wakes, wake{w.now + after, t})
}

// Log of balancer.CommandSink.
func (w *pen) Log(text string) { w.p.log.Info("decided", "note", text) }

// tend looks at what is due by time alone.
func (p *Program) tend(now float64) {
	p.tendAt = now + tendEvery
	p.turnOut(now)
	p.tendLinks(now)
	p.tendProbes(now)
	if now >= p.tellAt {
		p.tellAt = now + tellEvery
		p.log.Info("state", "joined", p.roster.Len(), "servers", p.servers.Len(), "callers", len(p.callers),
			"rounds", p.counts.Rounds, "calls", p.counts.Calls, "waiting", p.calls.Pending(), "again", p.calls.Resends,
			"dropped", p.calls.Dropped, "reports", p.counts.Reports, "spoilt", p.counts.Spoilt+p.servers.Malformed,
			"refused", p.counts.Refused, "closed", p.counts.Closed)
	}
}

// left: proxies that have left since the last look need no orders any more.
func (p *Program) left(now float64) {
	for _, s := range p.news.ProxyEvents[p.looked:] {
		if p.dirty(now); !s.Joined {
			p.calls.ProxyLeft(s.Proxy)
		}
	}
	p.looked = len(p.news.ProxyEvents)
}

// trace writes what passes on the links, where that is asked for.
func (p *Program) trace(what string, b []byte) {
	if p.log.Enabled(context.Background(), slog.LevelDebug) {
		p.log.Debug(what, "bytes", string(b))
	}
}

// zone, class: the place of a name in the settings; below 0 where they do not list it.
func (p *Program) zone(name string) balancer.Zone {
	return balancer.Zone(slices.Index(p.dep.Zones, name))
}

func (p *Program) class(name string) balancer.Class {
	return balancer.Class(slices.Index(p.names, name))
}
