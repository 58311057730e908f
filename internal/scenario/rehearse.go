// Package scenario plays a day: one coordinator, match servers and relays, and what goes wrong, in virtual time or over
// loopback sockets, with the same programs. The referee's verdict comes from what relays and servers saw.
package scenario

import (
	_ "embed"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snowquay/balancer"
	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/emulator"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
	"snowquay/internal/env/socketnet"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/settings"
	"snowquay/internal/store"
	"snowquay/internal/wire/sasp"
)

// DefaultScenario is the day that is played if none is named.
//
//go:embed bad-day.xml
var DefaultScenario []byte

const (
	peerPort    = 13900  // of coordinators that share the fleet
	startAt     = 1000.0 // clock time at which a day in virtual time starts; well above 0, as wall clocks are
	lookEvery   = 0.05   // seconds between two looks of the referee
	settle      = 2.0    // seconds after the day's end, for what is still on its way
	noticeMost  = 2.0    // seconds until a cut connection is noticed, as the net of a day has it
	socketSlack = 0.35   // seconds that real timers, goroutines and a busy machine may take
	simSlack    = 0.05
)

// Options of a rehearsal.
type Options struct {
	Sockets      bool // over loopback sockets, in real time; else in virtual time
	Log          *slog.Logger
	OnOrder      func(controlplane.MessageTrace)
	Seed         uint64                      // 0: the day's
	Coordinators int                         // that share the fleet, in virtual time; 0 or 1: one alone
	Proxies      bool                        // proxies of our own with HTTP clients, in place of stand-in relays
	Processes    *Processes                  // coordinators that share the fleet are processes of their own, over sockets; nil: they are not
	Led          func(now float64, led bool) // nil: nobody looks whether all relays are led
	Policy       emulator.Policy             // by which stand-in relays pick
	Mute         bool                        // nothing is measured: the listed weights stand
	Front        string                      // by which relays join: sasp, http, or both in turn; empty: sasp
}

// Result of a day.
type Result struct {
	Verdicts   []emulator.Verdict
	Service    float64
	Worst      float64                   // service of the worst ten seconds
	Drained    float64                   // seconds from a drain until the last query after it
	Times      []*hdrhistogram.Histogram // microseconds until answers, by class
	P50, P99   float64
	Asked      []float64
	Answered   []float64
	InTime     []float64
	Tries      int
	Messages   int
	Lines      int
	PeakQueue  float64
	Complaints []string
	Counts     controlplane.Stats
	Desk       saspsession.Stats
	Polls      longpoll.Stats
	Bytes      int // of long-poll answers
	WholeBytes int // of the same with whole tables
	Events     int
	Seconds    float64
	Led, Told  []float64 // seconds from a coordinator's death until all relays were led again, and told their tables
	Held       []float64 // seconds from decision to held, of each message that was
}

// Kept tells whether all rules were.
func (r *Result) Kept() bool {
	for _, v := range r.Verdicts {
		if !v.Kept {
			return false
		}
	}
	return true
}

// host is a place where a program runs, simulated or real.
type host interface {
	Kill()
	Freeze(seconds float64)
	DisturbDatagrams(lost bool, lateBy float64)
}

// stage is the world of a day.
type stage interface {
	Now() float64
	At(at float64, do func())
	Run(until float64)
	Cut(zone, zones int, on bool)
}

// one is a coordinator of the day.
type one struct {
	program *coordinator.Coordinator
	host    host
	up      bool
	store   store.MemoryStore
	disk    consensus.MemoryStorage
	lives   uint64
}

type play struct {
	day     *settings.Scenario
	opts    Options
	ref     *emulator.InvariantChecker
	classes []emulator.Class
	scene
	chance *rand.Rand

	coordinators []*one
	servers      []*emulator.Server
	serverHosts  []host
	pods         map[int]*emulator.FailureDomain
	fallen       map[int]bool
	relays       []*emulator.Relay
	relayHosts   []host
	reals        []*ownProxy // in the relays\' place
	life         []uint64
	popular      []float64 // keys
	deaths       []takeover
	result       Result
}

// Run plays a day.
func Run(day *settings.Scenario, opts Options) (*Result, error) {
	p := &play{day: day, opts: opts, pods: map[int]*emulator.FailureDomain{}, fallen: map[int]bool{}}
	if opts.Seed == 0 {
		p.opts.Seed = day.Seed
	}
	p.chance = rand.New(rand.NewPCG(p.opts.Seed, 0xda4))
	p.popular = emulator.Popularity(day.Keys, day.Clients.Popularity)
	site := &day.Coordinator.Site
	for i, q := range day.Queries {
		k := 0
		for k < len(site.ClassNames) && site.ClassNames[k] != q.Class {
			k++
		}
		p.classes = append(p.classes, emulator.Class{Name: q.Class, Request: site.Classes[k], Share: day.Queries[i].Share,
			MeanWork: q.Work, RetryPolicy: site.RetryPolicies[k]})
	}
	rules := site.Channel
	rules.EntriesPerSecond *= float64(max(opts.Coordinators, 1)) // each has a channel of its own
	slack := simSlack
	if opts.Sockets {
		slack = socketSlack
	}
	p.ref = emulator.NewInvariantChecker(emulator.Rules{Guarantees: site.Guarantees, Channel: rules,
		DisconnectHold: site.Limits.ServerHold + noticeMost, ObservationSlack: slack}, p.classes)
	if opts.Sockets {
		p.sock = socketnet.New(eventloop.Clock())
		p.stage = p.sock
		for i := range max(opts.Coordinators, 1) {
			p.sock.SetZone(p.at(i, day.Coordinator.SASP).Addr(), i%len(site.Zones))
		}
	} else {
		p.sim = simnet.New(p.opts.Seed, startAt)
		f := &p.sim.Faults
		f.SplitProbability, f.LossProbability, f.DuplicateProbability, f.MaxDelay, f.DetectionDelay = day.Split, day.Loss, day.Double, day.Late, noticeMost
		p.stage = p.sim
	}
	start := p.stage.Now()
	p.do(func() {
		for i := range max(p.opts.Coordinators, 1) {
			p.coordinators = append(p.coordinators, &one{})
			p.startCoordinator(i)
		}
		for i := range site.Servers {
			p.addServer(i)
		}
		p.addRelays()
		p.look()
		for _, t := range day.Faults {
			p.stage.At(start+t.At, func() { p.trouble(t) })
		}
	})
	p.stage.Run(start + day.Seconds + settle)
	p.do(func() {
		for i := range p.coordinators {
			p.stopCoordinator(i)
		}
	})
	if p.sock != nil {
		p.sock.Stop()
	}
	p.finish(start)
	return &p.result, p.err
}

// scene is where a day is played: one of the two nets, and what went wrong with playing it.
type scene struct {
	stage stage
	sim   *simnet.Net
	sock  *socketnet.Net
	err   error
}

func (p *scene) do(f func()) {
	if p.sock != nil {
		p.sock.Do(f)
		return
	}
	f()
}

func (p *scene) fail(err error) {
	if err != nil && p.err == nil {
		p.err = err
	}
}

func (p *play) look() {
	p.ref.CheckDeadlines(p.stage.Now())
	p.takeovers(p.stage.Now())
	p.stage.At(p.stage.Now()+lookEvery, p.look)
}

// add makes a host and starts a program on it. Guests share an address with another host.
func (p *play) add(at netip.AddrPort, zone int, program env.Program, guest bool) host {
	if p.sim == nil {
		if guest {
			at = netip.AddrPortFrom(at.Addr(), 0)
		}
		h := p.sock.Add(at, zone)
		p.fail(h.Start(program))
		return h
	}
	h := p.sim.Add(at.Addr(), zone, guest)
	h.Start(program)
	return h
}

func restart(h host, program env.Program) error {
	switch h := h.(type) {
	case *simnet.Host:
		h.Start(program)
	case *socketnet.Host:
		return h.Start(program)
	}
	return nil
}

// mainHost is the coordinator's host over sockets: a gnet server.
type mainHost struct {
	server *eventloop.Server
	fail   func(error)
}

func (m *mainHost) Kill()                          { m.fail(m.server.Stop()) }
func (m *mainHost) Freeze(float64)                 {}
func (m *mainHost) DisturbDatagrams(bool, float64) {}

// at is where a coordinator is, by one of the day's addresses.
func (p *play) at(i int, of netip.AddrPort) netip.AddrPort {
	a := of.Addr().As4()
	a[3] += byte(i)
	return netip.AddrPortFrom(netip.AddrFrom4(a), of.Port())
}

func (p *play) all(of netip.AddrPort) (list []netip.AddrPort) {
	for i := range p.coordinators {
		list = append(list, p.at(i, of))
	}
	return list
}

func (p *play) startCoordinator(i int) {
	o := p.coordinators[i]
	if o.up {
		return // two restarts overlapped
	}
	if p.opts.Processes != nil {
		h, err := p.startProcess(i)
		o.host, o.up = h, err == nil
		p.fail(err)
		return
	}
	c := p.day.Coordinator
	setup := c.Config
	setup.Log = p.opts.Log
	setup.OnMessageTrace = func(o controlplane.MessageTrace) {
		if o.AckedAt > 0 {
			p.result.Held = append(p.result.Held, o.AckedAt-o.DecidedAt)
		}
		if p.opts.OnOrder != nil {
			p.opts.OnOrder(o)
		}
	}
	if n := p.opts.Coordinators; n > 1 {
		setup.Site.DataPlane.Coordinators, setup.Site.DataPlane.Self = n, balancer.Coordinator(i)
		o.lives++
		o.disk.OwnDataDirID = uint64(i + 1)
		setup.Storage, setup.Incarnation = &o.disk, o.lives*100+uint64(i)
		setup.Group = groupOf(n, i, func(k int) netip.Addr { return p.at(k, c.SASP).Addr() })
	}
	program, err := coordinator.New(p.stage.Now(), setup, &o.store)
	if err != nil {
		p.fail(err)
		return
	}
	o.program, o.up = program, true
	if p.sim != nil {
		if o.host == nil {
			o.host = p.add(p.at(i, c.SASP), i%len(c.Site.Zones), program, false)
			return
		}
		p.fail(restart(o.host, program))
		return
	}
	server, err := eventloop.Listen(program, c.Ports(), c.Measurements, p.sock.Now)
	p.fail(err)
	o.host = &mainHost{server, p.fail}
}

// groupOf is what the i-th of n that share a fleet, or tenants, is told of the others.
func groupOf(n, i int, at func(k int) netip.Addr) *coordinator.GroupConfig {
	g := &coordinator.GroupConfig{Self: membership.MemberID(i + 1), Weight: 1, Members: map[membership.MemberID]netip.AddrPort{},
		Key: []byte("a key for rehearsals"), Consensus: consensus.DefaultConfig, Lease: membership.DefaultLeaseConfig}
	for k := range n {
		g.Members[membership.MemberID(k+1)] = netip.AddrPortFrom(at(k), peerPort)
	}
	return g
}

func (p *play) stopCoordinator(i int) {
	o := p.coordinators[i]
	if !o.up || p.err != nil && p.opts.Processes == nil {
		return
	}
	o.up = false
	if o.host.Kill(); p.opts.Processes != nil {
		return
	}
	_, peak := o.program.Fleet.QueuedEntries()
	p.ref.CheckQueue(p.stage.Now(), peak)
	p.result.PeakQueue = max(p.result.PeakQueue, peak)
	add(&p.result.Counts, o.program.Fleet.Stats)
	d, c := &p.result.Desk, o.program.SASP.Stats
	d.Received += c.Received
	d.Replied += c.Replied
	d.Pushed += c.Pushed
	d.Rejected += c.Rejected
	d.Malformed += c.Malformed
	d.Closed += c.Closed
	d.Takeovers += c.Takeovers
	d.Skipped += c.Skipped
	q, h := &p.result.Polls, o.program.LongPoll.LongPoll.Stats
	q.Polls += h.Polls
	q.Answers += h.Answers
	q.Empty += h.Empty
	q.Deltas += h.Deltas
	q.Full += h.Full
	q.Rejected += h.Rejected
	q.Lost += h.Lost
	q.Unknown += h.Unknown
	if len(p.coordinators) == 1 {
		p.ref.CoordinatorDown()
	}
}

func add(to *controlplane.Stats, c controlplane.Stats) {
	to.Rounds += c.Rounds
	to.Idle += c.Idle
	to.Entries += c.Entries
	to.Messages += c.Messages
	to.FullTables += c.FullTables
	to.Disconnected += c.Disconnected
	to.Stalled += c.Stalled
	to.Overdue += c.Overdue
	to.Noncompliant += c.Noncompliant
	to.AdmissionChanges += c.AdmissionChanges
	to.UnknownProxy += c.UnknownProxy
	to.UnknownServer += c.UnknownServer
	to.SaveFailures += c.SaveFailures
	to.TablesAssigned += c.TablesAssigned
	to.Evicted += c.Evicted
}

func (p *play) serverSetup(i int, warm bool) emulator.ServerConfig {
	c := p.day.Coordinator
	s := c.Site.Servers[i]
	pod := p.pods[int(s.FailureDomain)]
	if pod == nil {
		pod = emulator.NewFailureDomain()
		p.pods[int(s.FailureDomain)] = pod
	}
	g := c.Site.Guarantees
	speeds := rand.New(rand.NewPCG(p.opts.Seed, uint64(i)))
	return emulator.ServerConfig{Addr: netip.MustParseAddrPort(string(s.Server)), FailureDomain: pod, Cores: p.day.Cores,
		Speed: p.day.Slowest + (p.day.Fastest-p.day.Slowest)*speeds.Float64(), QueueCapacity: p.day.Queue, WarmupFraction: g.WarmupStartFraction,
		WarmupDuration: g.WarmupDuration, OverloadFactor: g.OverloadFactor, OverloadWindow: g.OverloadWindow, StartsWarm: warm, Coordinators: p.all(c.SASP),
		CollectorPort: c.Measurements.Port(), User: c.User, Key: c.Key, FleetUID: c.Policy.FleetUID, Classes: p.classes,
		Seed: p.chance.Uint64(), MaxConnections: p.day.Model.Connections, ConnectionWork: p.day.Model.ConnWork, KeyCacheDuration: p.day.Model.KeyFor,
		KeyCacheSaving: p.day.Model.KeyLess, KeyCacheSize: p.day.Model.KeyMost, CancelsWork: p.day.Model.Stops}
}

func (p *play) newServer(i int, warm bool) *emulator.Server {
	s := emulator.NewServer(p.serverSetup(i, warm), p.ref)
	s.OnOverload = func() {
		p.fallen[i] = true
		p.stage.At(p.stage.Now(), func() { p.killServer(i) })
	}
	return s
}

func (p *play) addServer(i int) {
	s := p.newServer(i, true)
	p.servers = append(p.servers, s)
	p.serverHosts = append(p.serverHosts, p.add(s.Addr, int(p.day.Coordinator.Site.Servers[i].Zone), s, false))
}

func (p *play) killServer(i int) {
	p.serverHosts[i].Kill()
	p.ref.ServerDown(p.stage.Now(), p.servers[i].Addr)
}

func (p *play) restartServer(i int) {
	if p.fallen[i] {
		return // it stays down
	}
	p.servers[i] = p.newServer(i, false)
	p.fail(restart(p.serverHosts[i], p.servers[i]))
}

// relayAddr is where a relay dials from.
func relayAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2 + byte(i/250), byte(1 + i%250)}), 0)
}

func (p *play) addRelays() {
	site := &p.day.Coordinator.Site
	parts, sum := make([]float64, len(site.Proxies)), 0.0
	for i := range parts {
		parts[i] = math.Exp(p.day.Spread * (p.chance.Float64()*2 - 1))
		sum += parts[i]
	}
	for i := range site.Proxies {
		setup := p.relaySetup(i, p.day.Rate*parts[i]/sum)
		for range site.DataPlane.DefaultTableSize { // servers of its zone if there are enough, as they come
			s := site.Servers[p.chance.IntN(len(site.Servers))]
			a := netip.MustParseAddrPort(string(s.Server))
			if !contains(setup.DefaultTable, a) {
				setup.DefaultTable = append(setup.DefaultTable, a)
			}
		}
		if p.opts.Proxies {
			p.addProxy(i, setup.Rate, setup.DefaultTable)
			continue
		}
		p.relays = append(p.relays, emulator.NewRelay(setup, p.ref))
		p.relayHosts = append(p.relayHosts, p.add(relayAddr(i), int(site.Proxies[i].Zone), p.relays[i], false))
		if p.opts.Mute {
			p.relayHosts[i].DisturbDatagrams(true, 0)
		}
	}
	p.life = make([]uint64, len(p.relays))
}

func contains(list []netip.AddrPort, a netip.AddrPort) bool {
	for _, x := range list {
		if x == a {
			return true
		}
	}
	return false
}

func (p *play) relaySetup(i int, rate float64) emulator.RelayConfig {
	c := p.day.Coordinator
	asks := p.opts.Front == "http" || p.opts.Front == "both" && i%2 == 1
	at := c.SASP
	if asks {
		at = c.HTTP
	}
	var others []netip.AddrPort
	for k := range p.coordinators[1:] {
		others = append(others, p.at(k+1, at))
	}
	return emulator.RelayConfig{OtherCoordinators: others, UsesLongPoll: asks, UID: c.Site.Proxies[i].UID, Host: relayAddr(i).Addr(), Coordinator: at, Collector: c.Measurements, User: c.User,
		Key: c.Key, Flags: sasp.Push | sasp.Trust | sasp.NoChange, Classes: p.classes, Rate: rate,
		ReportInterval: c.Site.Reporting.Period, EjectAfter: c.Site.DataPlane.EjectAfterFailures, EjectDuration: 4, KeyCount: p.day.Keys,
		Seed: uint64(i+1) + p.opts.Seed<<16, KeyPopularity: p.popular, ClientRetries: p.day.Clients.Retries, ClientRetryDelay: p.day.Clients.RetryWait,
		PatienceFraction: p.day.Clients.Patience, Policy: p.opts.Policy, AllServers: p.every()}
}

// every is all servers of the day, for relays that need no coordinator.
func (p *play) every() (all []netip.AddrPort) {
	if p.opts.Policy != emulator.RoundRobin {
		return nil
	}
	for _, s := range p.day.Coordinator.Site.Servers {
		all = append(all, netip.MustParseAddrPort(string(s.Server)))
	}
	return all
}

// trouble begins what goes wrong, and sees to its end.
func (p *play) trouble(t settings.Fault) {
	later := func(do func()) { p.stage.At(p.stage.Now()+t.For, do) }
	if p.proxyTrouble(t, later) {
		return
	}
	during := func(figure *float64, usual float64) { // it is the trouble's factor for as long as that lasts
		*figure = t.Factor
		later(func() { *figure = usual })
	}
	switch t.Kind {
	case "slow":
		during(&p.servers[t.Server].SlowdownFactor, 1)
	case "fast_errors":
		during(&p.servers[t.Server].ErrorProbability, 0)
	case "hang":
		s := p.servers[t.Server]
		s.Hanging = true
		later(func() { s.Hanging = false })
	case "crash":
		p.killServer(t.Server)
		later(func() { p.restartServer(t.Server) })
	case "mass_restart":
		for i, s := range p.day.Coordinator.Site.Servers {
			if int(s.FailureDomain) == t.FailureDomain {
				p.killServer(i)
				later(func() { p.restartServer(i) })
			}
		}
	case "zone_cut":
		zones := len(p.day.Coordinator.Site.Zones)
		p.stage.Cut(int(t.Zone), zones, true)
		later(func() { p.stage.Cut(int(t.Zone), zones, false) })
	case "drain":
		p.agent(t.Server, true)
		if t.For > 0 {
			later(func() { p.agent(t.Server, false) })
		}
	case "coordinator_restart":
		i := max(t.Server, 0) % len(p.coordinators)
		p.deaths = append(p.deaths, takeover{at: p.stage.Now()})
		p.stopCoordinator(i)
		later(func() { p.startCoordinator(i) })
	case "coordinator_pause":
		p.coordinators[max(t.Server, 0)%len(p.coordinators)].host.Freeze(t.For)
	case "coordinator_hidden", "coordinator_alone": // from relays and servers, or from the other coordinators; virtual time only
		h, ok := p.coordinators[max(t.Server, 0)%len(p.coordinators)].host.(*simnet.Host)
		if !ok {
			return
		}
		peers := map[netip.Addr]bool{}
		for _, a := range p.all(p.day.Coordinator.SASP) {
			peers[a.Addr()] = true
		}
		h.Isolate(func(a netip.Addr) bool { return peers[a] == (t.Kind == "coordinator_alone") })
		later(func() { h.Isolate(nil) })
	case "balancer_stall":
		p.relayHosts[t.Relay].Freeze(t.For)
	case "balancer_deaf":
		r := p.relays[t.Relay]
		r.IgnoreUpdates(true)
		r.LoadFactor = t.Factor // thin traffic would hide it, and do as little harm
		later(func() {
			r.IgnoreUpdates(false)
			r.LoadFactor = 1
		})
	case "balancer_restart":
		p.relayHosts[t.Relay].Kill()
		p.ref.RelayDown(p.relays[t.Relay].UID)
		later(func() {
			p.life[t.Relay]++
			setup := p.relays[t.Relay].RelayConfig
			setup.DefaultTable = nil // it knows no server before it is told
			setup.Seed += p.life[t.Relay] << 20
			p.relays[t.Relay] = emulator.NewRelay(setup, p.ref)
			p.fail(restart(p.relayHosts[t.Relay], p.relays[t.Relay]))
		})
	case "reconnect":
		p.relays[t.Relay].DropConnection(p.stage.Now())
	case "answer_lost":
		during(&p.servers[t.Server].ResponseLossProbability, 0)
	case "heavy_tail":
		during(&p.servers[t.Server].HeavyTailProbability, 0)
	case "ageing":
		during(&p.servers[t.Server].AgingPerRequest, 0)
	case "conn_squeeze":
		during(&p.servers[t.Server].ConnectionCapacityFraction, 0)
	case "shared_slow":
		for i, v := range p.day.Coordinator.Site.Servers {
			if int(v.FailureDomain) == t.FailureDomain {
				during(&p.servers[i].SlowdownFactor, 1)
			}
		}
	case "vanish": // silent: no reset, no answer; it comes back with a new process
		if h, ok := p.serverHosts[t.Server].(*simnet.Host); ok {
			h.Isolate(func(netip.Addr) bool { return true })
			p.ref.ServerDown(p.stage.Now(), p.servers[t.Server].Addr)
			later(func() {
				h.Kill()
				h.Isolate(nil)
				p.restartServer(t.Server)
			})
		}
	case "give_up":
		for _, r := range p.relays {
			during(&r.PatienceFraction, r.PatienceFraction)
		}
	case "false_reports":
		during(&p.relays[t.Relay].FalseFailureFraction, 0)
	case "grow":
		const steps = 20
		for k := range steps {
			p.stage.At(p.stage.Now()+t.For*float64(k)/steps, func() {
				for _, r := range p.relays {
					r.LoadFactor = 1 + (t.Factor-1)*float64(k+1)/steps
				}
			})
		}
		later(func() {
			for _, r := range p.relays {
				r.LoadFactor = 1
			}
		})
	case "report_late", "reports_stop":
		for _, h := range p.relayHosts {
			h.DisturbDatagrams(t.Kind == "reports_stop", t.Factor)
			later(func() { h.DisturbDatagrams(false, 0) })
		}
	case "demand":
		for _, r := range p.relays {
			during(&r.LoadFactor, 1)
		}
	case "clock_gap":
		if p.sim != nil {
			p.sim.Gap(t.For)
		}
	}
}

func (p *play) agent(server int, on bool) {
	s := p.servers[server]
	p.add(s.Addr, int(p.day.Coordinator.Site.Servers[server].Zone), &emulator.Agent{Coordinators: s.Coordinators,
		Server: s.Addr, FleetUID: s.FleetUID, Group: p.classes[0].Name, Quiesce: on, Checker: p.ref}, true)
}

func (p *play) finish(start float64) {
	r, f := &p.result, p.ref
	r.Verdicts, r.Service, r.P50, r.P99 = f.Verdicts(), f.Service(), f.LatencyQuantile(0.5), f.LatencyQuantile(0.99)
	r.Worst, r.Drained = f.WorstInterval(), f.LatestAfterDrain()
	for k := range p.classes {
		r.Times = append(r.Times, f.Latencies(k))
	}
	r.Asked, r.Answered, r.InTime = f.Requested, f.Answered, f.OnTime
	r.Bytes, r.WholeBytes = f.Bytes, f.FullTableBytes
	r.Tries, r.Messages, r.Lines, r.Complaints = f.Attempts, f.Messages, f.Entries, f.ProtocolErrors
	r.Seconds = p.stage.Now() - start
	if p.sim != nil {
		r.Events = p.sim.Events
	}
}

// Print writes a result as a table. Figures of service are of simulated servers.
func (r *Result) Print(w io.Writer, classes []string) error {
	var b strings.Builder
	for _, v := range r.Verdicts {
		word := "kept  "
		if !v.Kept {
			word = "BROKEN"
		}
		fmt.Fprintf(&b, "rule %d  %s  %-36s %s\n", v.Rule, word, v.Title, v.Figure)
		for _, why := range v.Reasons {
			fmt.Fprintf(&b, "        %s\n", why)
		}
	}
	fmt.Fprintf(&b, "service %.3f of the benefit asked for, in time (simulated servers); median %.0f ms, p99 %.0f ms\n", r.Service,
		r.P50*1000, r.P99*1000)
	for k, name := range classes {
		fmt.Fprintf(&b, "  %-12s %6.0f asked, %6.0f answered, %6.0f in time\n", name, r.Asked[k], r.Answered[k], r.InTime[k])
	}
	fmt.Fprintf(&b, "%d messages of %d lines reached relays; at most %.0f lines waited\n", r.Messages, r.Lines, r.PeakQueue)
	fmt.Fprintf(&b, "%d rounds (%d idle), %d full tables, %d relays cut off, %d refusals, %d malformed\n", r.Counts.Rounds,
		r.Counts.Idle, r.Counts.FullTables, r.Counts.Disconnected, r.Desk.Rejected, r.Desk.Malformed)
	if len(r.Led) > 0 {
		fmt.Fprintf(&b, "%d deaths of coordinators; all relays led again after %.2f s (median), %.2f s (p90), %.2f s (most); told their tables after %.2f, %.2f, %.2f s\n",
			len(r.Led), part(r.Led, 0.5), part(r.Led, 0.9), part(r.Led, 1), part(r.Told, 0.5), part(r.Told, 0.9), part(r.Told, 1))
	}
	if r.Polls.Polls > 0 {
		fmt.Fprintf(&b, "%d polls: %d classes as deltas, %d in full, %d waits ended empty, %d refused, %d answers lost; %d bytes, %d with whole tables\n", r.Polls.Polls,
			r.Polls.Deltas, r.Polls.Full, r.Polls.Empty, r.Polls.Rejected, r.Polls.Lost, r.Bytes, r.WholeBytes)
	}
	for _, c := range r.Complaints[:min(len(r.Complaints), 10)] {
		fmt.Fprintf(&b, "  seen: %s\n", c)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
