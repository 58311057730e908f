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
	groupPort            = 13900  // of coordinators that share the fleet
	virtualStartSeconds  = 1000.0 // clock time at which a day in virtual time starts; well above 0, as wall clocks are
	checkIntervalSeconds = 0.05   // seconds between two looks of the referee
	settleSeconds        = 2.0    // seconds after the day's end, for what is still on its way
	maxDetectionSeconds  = 2.0    // seconds until a cut connection is noticed, as the net of a day has it
	socketSlackSeconds   = 0.35   // seconds that real timers, goroutines and a busy machine may take
	virtualSlackSeconds  = 0.05
)

// Options of a rehearsal.
type Options struct {
	Sockets          bool // over loopback sockets, in real time; else in virtual time
	Log              *slog.Logger
	OnMessageTrace   func(controlplane.MessageTrace)
	Seed             uint64                      // 0: the day's
	Coordinators     int                         // that share the fleet, in virtual time; 0 or 1: one alone
	Proxies          bool                        // proxies of our own with HTTP clients, in place of stand-in relays
	Processes        *Processes                  // coordinators that share the fleet are processes of their own, over sockets; nil: they are not
	OnLedCheck       func(now float64, led bool) // nil: nobody looks whether all relays are led
	Policy           emulator.Policy             // by which stand-in relays pick
	DropMeasurements bool                        // nothing is measured: the listed weights stand
	Front            string                      // by which relays join: sasp, http, or both in turn; empty: sasp
}

// Result of a day.
type Result struct {
	Verdicts               []emulator.Verdict
	Service                float64
	WorstInterval          float64                   // service of the worst ten seconds
	LatestAfterDrain       float64                   // seconds from a drain until the last query after it
	Latencies              []*hdrhistogram.Histogram // microseconds until answers, by class
	P50, P99               float64
	Requested              []float64
	Answered               []float64
	OnTime                 []float64
	Attempts               int
	Messages               int
	Entries                int
	PeakQueue              float64
	ProtocolErrors         []string
	ControlPlane           controlplane.Stats
	SASP                   saspsession.Stats
	LongPoll               longpoll.Stats
	Bytes                  int // of long-poll answers
	FullTableBytes         int // of the same with whole tables
	Events                 int
	Seconds                float64
	LedAfter, UpdatedAfter []float64 // seconds from a coordinator's death until all relays were led again, and told their tables
	AckDelays              []float64 // seconds from decision to held, of each message that was
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

// network is the world of a day.
type network interface {
	Now() float64
	At(at float64, do func())
	Run(until float64)
	Cut(zone, zones int, on bool)
}

// coordinatorInstance is a coordinator of the day.
type coordinatorInstance struct {
	program *coordinator.Coordinator
	host    host
	running bool
	store   store.MemoryStore
	log     consensus.MemoryStorage
	starts  uint64
}

type run struct {
	scenario *settings.Scenario
	options  Options
	checker  *emulator.InvariantChecker
	classes  []emulator.Class
	environment
	random *rand.Rand

	coordinators   []*coordinatorInstance
	servers        []*emulator.Server
	serverHosts    []host
	failureDomains map[int]*emulator.FailureDomain
	overloaded     map[int]bool
	relays         []*emulator.Relay
	relayHosts     []host
	proxies        []*realProxy // in the relays\' place
	relayRestarts  []uint64
	keyPopularity  []float64 // keys
	takeovers      []takeover
	result         Result
}

// Run plays a day.
func Run(day *settings.Scenario, opts Options) (*Result, error) {
	p := &run{scenario: day, options: opts, failureDomains: map[int]*emulator.FailureDomain{}, overloaded: map[int]bool{}}
	if opts.Seed == 0 {
		p.options.Seed = day.Seed
	}
	p.random = rand.New(rand.NewPCG(p.options.Seed, 0xda4))
	p.keyPopularity = emulator.Popularity(day.Keys, day.Clients.Popularity)
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
	slack := virtualSlackSeconds
	if opts.Sockets {
		slack = socketSlackSeconds
	}
	p.checker = emulator.NewInvariantChecker(emulator.Rules{Guarantees: site.Guarantees, Channel: rules,
		DisconnectHold: site.Limits.ServerHold + maxDetectionSeconds, ObservationSlack: slack}, p.classes)
	if opts.Sockets {
		p.sockets = socketnet.New(eventloop.Clock())
		p.network = p.sockets
		for i := range max(opts.Coordinators, 1) {
			p.sockets.SetZone(p.coordinatorAddr(i, day.Coordinator.SASP).Addr(), i%len(site.Zones))
		}
	} else {
		p.virtual = simnet.New(p.options.Seed, virtualStartSeconds)
		f := &p.virtual.Faults
		f.SplitProbability, f.LossProbability, f.DuplicateProbability, f.MaxDelay, f.DetectionDelay = day.Split, day.Loss, day.Double, day.Late, maxDetectionSeconds
		p.network = p.virtual
	}
	start := p.network.Now()
	p.exclusively(func() {
		for i := range max(p.options.Coordinators, 1) {
			p.coordinators = append(p.coordinators, &coordinatorInstance{})
			p.startCoordinator(i)
		}
		for i := range site.Servers {
			p.addServer(i)
		}
		p.addRelays()
		p.check()
		for _, t := range day.Faults {
			p.network.At(start+t.At, func() { p.injectFault(t) })
		}
	})
	p.network.Run(start + day.Seconds + settleSeconds)
	p.exclusively(func() {
		for i := range p.coordinators {
			p.stopCoordinator(i)
		}
	})
	if p.sockets != nil {
		p.sockets.Stop()
	}
	p.finish(start)
	return &p.result, p.err
}

// environment is where a day is played: one of the two nets, and what went wrong with playing it.
type environment struct {
	network network
	virtual *simnet.Net
	sockets *socketnet.Net
	err     error
}

func (p *environment) exclusively(f func()) {
	if p.sockets != nil {
		p.sockets.Do(f)
		return
	}
	f()
}

func (p *environment) fail(err error) {
	if err != nil && p.err == nil {
		p.err = err
	}
}

func (p *run) check() {
	p.checker.CheckDeadlines(p.network.Now())
	p.checkTakeovers(p.network.Now())
	p.network.At(p.network.Now()+checkIntervalSeconds, p.check)
}

// addHost makes a host and starts a program on it. Guests share an address with another host.
func (p *run) addHost(at netip.AddrPort, zone int, program env.Program, guest bool) host {
	if p.virtual == nil {
		if guest {
			at = netip.AddrPortFrom(at.Addr(), 0)
		}
		h := p.sockets.Add(at, zone)
		p.fail(h.Start(program))
		return h
	}
	h := p.virtual.Add(at.Addr(), zone, guest)
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

// listenerHost is the coordinator's host over sockets: a gnet server.
type listenerHost struct {
	server *eventloop.Server
	fail   func(error)
}

func (m *listenerHost) Kill()                          { m.fail(m.server.Stop()) }
func (m *listenerHost) Freeze(float64)                 {}
func (m *listenerHost) DisturbDatagrams(bool, float64) {}

// coordinatorAddr is where a coordinator is, by one of the day's addresses.
func (p *run) coordinatorAddr(i int, of netip.AddrPort) netip.AddrPort {
	a := of.Addr().As4()
	a[3] += byte(i)
	return netip.AddrPortFrom(netip.AddrFrom4(a), of.Port())
}

func (p *run) coordinatorAddrs(of netip.AddrPort) (list []netip.AddrPort) {
	for i := range p.coordinators {
		list = append(list, p.coordinatorAddr(i, of))
	}
	return list
}

func (p *run) startCoordinator(i int) {
	o := p.coordinators[i]
	if o.running {
		return // two restarts overlapped
	}
	if p.options.Processes != nil {
		h, err := p.startProcess(i)
		o.host, o.running = h, err == nil
		p.fail(err)
		return
	}
	c := p.scenario.Coordinator
	setup := c.Config
	setup.Log = p.options.Log
	setup.OnMessageTrace = func(o controlplane.MessageTrace) {
		if o.AckedAt > 0 {
			p.result.AckDelays = append(p.result.AckDelays, o.AckedAt-o.DecidedAt)
		}
		if p.options.OnMessageTrace != nil {
			p.options.OnMessageTrace(o)
		}
	}
	if n := p.options.Coordinators; n > 1 {
		setup.Site.DataPlane.Coordinators, setup.Site.DataPlane.Self = n, balancer.Coordinator(i)
		o.starts++
		o.log.OwnDataDirID = uint64(i + 1)
		setup.Storage, setup.Incarnation = &o.log, o.starts*100+uint64(i)
		setup.Group = groupConfig(n, i, func(k int) netip.Addr { return p.coordinatorAddr(k, c.SASP).Addr() })
	}
	program, err := coordinator.New(p.network.Now(), setup, &o.store)
	if err != nil {
		p.fail(err)
		return
	}
	o.program, o.running = program, true
	if p.virtual != nil {
		if o.host == nil {
			o.host = p.addHost(p.coordinatorAddr(i, c.SASP), i%len(c.Site.Zones), program, false)
			return
		}
		p.fail(restart(o.host, program))
		return
	}
	server, err := eventloop.Listen(program, c.Ports(), c.Measurements, p.sockets.Now)
	p.fail(err)
	o.host = &listenerHost{server, p.fail}
}

// groupConfig is what the i-th of n that share a fleet, or tenants, is told of the others.
func groupConfig(n, i int, at func(k int) netip.Addr) *coordinator.GroupConfig {
	g := &coordinator.GroupConfig{Self: membership.MemberID(i + 1), Weight: 1, Members: map[membership.MemberID]netip.AddrPort{},
		Key: []byte("a key for rehearsals"), Consensus: consensus.DefaultConfig, Lease: membership.DefaultLeaseConfig}
	for k := range n {
		g.Members[membership.MemberID(k+1)] = netip.AddrPortFrom(at(k), groupPort)
	}
	return g
}

func (p *run) stopCoordinator(i int) {
	o := p.coordinators[i]
	if !o.running || p.err != nil && p.options.Processes == nil {
		return
	}
	o.running = false
	if o.host.Kill(); p.options.Processes != nil {
		return
	}
	_, peak := o.program.Fleet.QueuedEntries()
	p.checker.CheckQueue(p.network.Now(), peak)
	p.result.PeakQueue = max(p.result.PeakQueue, peak)
	addStats(&p.result.ControlPlane, o.program.Fleet.Stats)
	d, c := &p.result.SASP, o.program.SASP.Stats
	d.Received += c.Received
	d.Replied += c.Replied
	d.Pushed += c.Pushed
	d.Rejected += c.Rejected
	d.Malformed += c.Malformed
	d.Closed += c.Closed
	d.Takeovers += c.Takeovers
	d.Skipped += c.Skipped
	q, h := &p.result.LongPoll, o.program.LongPoll.LongPoll.Stats
	q.Polls += h.Polls
	q.Answers += h.Answers
	q.Empty += h.Empty
	q.Deltas += h.Deltas
	q.Full += h.Full
	q.Rejected += h.Rejected
	q.Lost += h.Lost
	q.Unknown += h.Unknown
	if len(p.coordinators) == 1 {
		p.checker.CoordinatorDown()
	}
}

func addStats(to *controlplane.Stats, c controlplane.Stats) {
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

func (p *run) serverConfig(i int, warm bool) emulator.ServerConfig {
	c := p.scenario.Coordinator
	s := c.Site.Servers[i]
	pod := p.failureDomains[int(s.FailureDomain)]
	if pod == nil {
		pod = emulator.NewFailureDomain()
		p.failureDomains[int(s.FailureDomain)] = pod
	}
	g := c.Site.Guarantees
	speeds := rand.New(rand.NewPCG(p.options.Seed, uint64(i)))
	return emulator.ServerConfig{Addr: netip.MustParseAddrPort(string(s.Server)), FailureDomain: pod, Cores: p.scenario.Cores,
		Speed: p.scenario.Slowest + (p.scenario.Fastest-p.scenario.Slowest)*speeds.Float64(), QueueCapacity: p.scenario.Queue, WarmupFraction: g.WarmupStartFraction,
		WarmupDuration: g.WarmupDuration, OverloadFactor: g.OverloadFactor, OverloadWindow: g.OverloadWindow, StartsWarm: warm, Coordinators: p.coordinatorAddrs(c.SASP),
		CollectorPort: c.Measurements.Port(), User: c.User, Key: c.Key, FleetUID: c.Policy.FleetUID, Classes: p.classes,
		Seed: p.random.Uint64(), MaxConnections: p.scenario.Model.Connections, ConnectionWork: p.scenario.Model.ConnWork, KeyCacheDuration: p.scenario.Model.KeyFor,
		KeyCacheSaving: p.scenario.Model.KeyLess, KeyCacheSize: p.scenario.Model.KeyMost, CancelsWork: p.scenario.Model.Stops}
}

func (p *run) newServer(i int, warm bool) *emulator.Server {
	s := emulator.NewServer(p.serverConfig(i, warm), p.checker)
	s.OnOverload = func() {
		p.overloaded[i] = true
		p.network.At(p.network.Now(), func() { p.killServer(i) })
	}
	return s
}

func (p *run) addServer(i int) {
	s := p.newServer(i, true)
	p.servers = append(p.servers, s)
	p.serverHosts = append(p.serverHosts, p.addHost(s.Addr, int(p.scenario.Coordinator.Site.Servers[i].Zone), s, false))
}

func (p *run) killServer(i int) {
	p.serverHosts[i].Kill()
	p.checker.ServerDown(p.network.Now(), p.servers[i].Addr)
}

func (p *run) restartServer(i int) {
	if p.overloaded[i] {
		return // it stays down
	}
	p.servers[i] = p.newServer(i, false)
	p.fail(restart(p.serverHosts[i], p.servers[i]))
}

// relayAddr is where a relay dials from.
func relayAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2 + byte(i/250), byte(1 + i%250)}), 0)
}

func (p *run) addRelays() {
	site := &p.scenario.Coordinator.Site
	parts, sum := make([]float64, len(site.Proxies)), 0.0
	for i := range parts {
		parts[i] = math.Exp(p.scenario.Spread * (p.random.Float64()*2 - 1))
		sum += parts[i]
	}
	for i := range site.Proxies {
		setup := p.relayConfig(i, p.scenario.Rate*parts[i]/sum)
		for range site.DataPlane.DefaultTableSize { // servers of its zone if there are enough, as they come
			s := site.Servers[p.random.IntN(len(site.Servers))]
			a := netip.MustParseAddrPort(string(s.Server))
			if !contains(setup.DefaultTable, a) {
				setup.DefaultTable = append(setup.DefaultTable, a)
			}
		}
		if p.options.Proxies {
			p.addProxy(i, setup.Rate, setup.DefaultTable)
			continue
		}
		p.relays = append(p.relays, emulator.NewRelay(setup, p.checker))
		p.relayHosts = append(p.relayHosts, p.addHost(relayAddr(i), int(site.Proxies[i].Zone), p.relays[i], false))
		if p.options.DropMeasurements {
			p.relayHosts[i].DisturbDatagrams(true, 0)
		}
	}
	p.relayRestarts = make([]uint64, len(p.relays))
}

func contains(list []netip.AddrPort, a netip.AddrPort) bool {
	for _, x := range list {
		if x == a {
			return true
		}
	}
	return false
}

func (p *run) relayConfig(i int, rate float64) emulator.RelayConfig {
	c := p.scenario.Coordinator
	asks := p.options.Front == "http" || p.options.Front == "both" && i%2 == 1
	at := c.SASP
	if asks {
		at = c.HTTP
	}
	var others []netip.AddrPort
	for k := range p.coordinators[1:] {
		others = append(others, p.coordinatorAddr(k+1, at))
	}
	return emulator.RelayConfig{OtherCoordinators: others, UsesLongPoll: asks, UID: c.Site.Proxies[i].UID, Host: relayAddr(i).Addr(), Coordinator: at, Collector: c.Measurements, User: c.User,
		Key: c.Key, Flags: sasp.Push | sasp.Trust | sasp.NoChange, Classes: p.classes, Rate: rate,
		ReportInterval: c.Site.Reporting.Period, EjectAfter: c.Site.DataPlane.EjectAfterFailures, EjectDuration: 4, KeyCount: p.scenario.Keys,
		Seed: uint64(i+1) + p.options.Seed<<16, KeyPopularity: p.keyPopularity, ClientRetries: p.scenario.Clients.Retries, ClientRetryDelay: p.scenario.Clients.RetryWait,
		PatienceFraction: p.scenario.Clients.Patience, Policy: p.options.Policy, AllServers: p.allServers()}
}

// allServers is all servers of the day, for relays that need no coordinator.
func (p *run) allServers() (all []netip.AddrPort) {
	if p.options.Policy != emulator.RoundRobin {
		return nil
	}
	for _, s := range p.scenario.Coordinator.Site.Servers {
		all = append(all, netip.MustParseAddrPort(string(s.Server)))
	}
	return all
}

// injectFault begins what goes wrong, and sees to its end.
func (p *run) injectFault(t settings.Fault) {
	later := func(do func()) { p.network.At(p.network.Now()+t.For, do) }
	if p.injectProxyFault(t, later) {
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
		for i, s := range p.scenario.Coordinator.Site.Servers {
			if int(s.FailureDomain) == t.FailureDomain {
				p.killServer(i)
				later(func() { p.restartServer(i) })
			}
		}
	case "zone_cut":
		zones := len(p.scenario.Coordinator.Site.Zones)
		p.network.Cut(int(t.Zone), zones, true)
		later(func() { p.network.Cut(int(t.Zone), zones, false) })
	case "drain":
		p.startAgent(t.Server, true)
		if t.For > 0 {
			later(func() { p.startAgent(t.Server, false) })
		}
	case "coordinator_restart":
		i := max(t.Server, 0) % len(p.coordinators)
		p.takeovers = append(p.takeovers, takeover{stoppedAt: p.network.Now()})
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
		for _, a := range p.coordinatorAddrs(p.scenario.Coordinator.SASP) {
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
		p.checker.RelayDown(p.relays[t.Relay].UID)
		later(func() {
			p.relayRestarts[t.Relay]++
			setup := p.relays[t.Relay].RelayConfig
			setup.DefaultTable = nil // it knows no server before it is told
			setup.Seed += p.relayRestarts[t.Relay] << 20
			p.relays[t.Relay] = emulator.NewRelay(setup, p.checker)
			p.fail(restart(p.relayHosts[t.Relay], p.relays[t.Relay]))
		})
	case "reconnect":
		p.relays[t.Relay].DropConnection(p.network.Now())
	case "answer_lost":
		during(&p.servers[t.Server].ResponseLossProbability, 0)
	case "heavy_tail":
		during(&p.servers[t.Server].HeavyTailProbability, 0)
	case "ageing":
		during(&p.servers[t.Server].AgingPerRequest, 0)
	case "conn_squeeze":
		during(&p.servers[t.Server].ConnectionCapacityFraction, 0)
	case "shared_slow":
		for i, v := range p.scenario.Coordinator.Site.Servers {
			if int(v.FailureDomain) == t.FailureDomain {
				during(&p.servers[i].SlowdownFactor, 1)
			}
		}
	case "vanish": // silent: no reset, no answer; it comes back with a new process
		if h, ok := p.serverHosts[t.Server].(*simnet.Host); ok {
			h.Isolate(func(netip.Addr) bool { return true })
			p.checker.ServerDown(p.network.Now(), p.servers[t.Server].Addr)
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
			p.network.At(p.network.Now()+t.For*float64(k)/steps, func() {
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
		if p.virtual != nil {
			p.virtual.Gap(t.For)
		}
	}
}

func (p *run) startAgent(server int, on bool) {
	s := p.servers[server]
	p.addHost(s.Addr, int(p.scenario.Coordinator.Site.Servers[server].Zone), &emulator.Agent{Coordinators: s.Coordinators,
		Server: s.Addr, FleetUID: s.FleetUID, Group: p.classes[0].Name, Quiesce: on, Checker: p.checker}, true)
}

func (p *run) finish(start float64) {
	r, f := &p.result, p.checker
	r.Verdicts, r.Service, r.P50, r.P99 = f.Verdicts(), f.Service(), f.LatencyQuantile(0.5), f.LatencyQuantile(0.99)
	r.WorstInterval, r.LatestAfterDrain = f.WorstInterval(), f.LatestAfterDrain()
	for k := range p.classes {
		r.Latencies = append(r.Latencies, f.Latencies(k))
	}
	r.Requested, r.Answered, r.OnTime = f.Requested, f.Answered, f.OnTime
	r.Bytes, r.FullTableBytes = f.Bytes, f.FullTableBytes
	r.Attempts, r.Messages, r.Entries, r.ProtocolErrors = f.Attempts, f.Messages, f.Entries, f.ProtocolErrors
	r.Seconds = p.network.Now() - start
	if p.virtual != nil {
		r.Events = p.virtual.Events
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
		fmt.Fprintf(&b, "  %-12s %6.0f asked, %6.0f answered, %6.0f in time\n", name, r.Requested[k], r.Answered[k], r.OnTime[k])
	}
	fmt.Fprintf(&b, "%d messages of %d lines reached relays; at most %.0f lines waited\n", r.Messages, r.Entries, r.PeakQueue)
	fmt.Fprintf(&b, "%d rounds (%d idle), %d full tables, %d relays cut off, %d refusals, %d malformed\n", r.ControlPlane.Rounds,
		r.ControlPlane.Idle, r.ControlPlane.FullTables, r.ControlPlane.Disconnected, r.SASP.Rejected, r.SASP.Malformed)
	if len(r.LedAfter) > 0 {
		fmt.Fprintf(&b, "%d deaths of coordinators; all relays led again after %.2f s (median), %.2f s (p90), %.2f s (most); told their tables after %.2f, %.2f, %.2f s\n",
			len(r.LedAfter), quantile(r.LedAfter, 0.5), quantile(r.LedAfter, 0.9), quantile(r.LedAfter, 1), quantile(r.UpdatedAfter, 0.5), quantile(r.UpdatedAfter, 0.9), quantile(r.UpdatedAfter, 1))
	}
	if r.LongPoll.Polls > 0 {
		fmt.Fprintf(&b, "%d polls: %d classes as deltas, %d in full, %d waits ended empty, %d refused, %d answers lost; %d bytes, %d with whole tables\n", r.LongPoll.Polls,
			r.LongPoll.Deltas, r.LongPoll.Full, r.LongPoll.Empty, r.LongPoll.Rejected, r.LongPoll.Lost, r.Bytes, r.FullTableBytes)
	}
	for _, c := range r.ProtocolErrors[:min(len(r.ProtocolErrors), 10)] {
		fmt.Fprintf(&b, "  seen: %s\n", c)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
