package scenario

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/emulator"
	"snowquay/internal/env/simnet"
	"snowquay/internal/env/socketnet"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/settings"
	"snowquay/internal/store"
	"snowquay/internal/wire/sasp"
)

// HostedScenario is a day of many tenants on one host.
type HostedScenario struct {
	Tenants, Servers, Relays int // servers and relays of each tenant
	Seconds                  float64
	Seed                     uint64
	Sockets                  bool
	Only                     int     // this tenant alone, to compare with; -1: all
	Rate                     float64 // queries a second of each tenant
	Flood                    int     // this tenant's relays and measurements flood the host from a third of the day on; -1: nobody
	FloodRate                float64 // messages a second of its flood
	Hosts                    int     // that share the tenants, in virtual time; 0 or 1: one alone
	Kills                    int     // hosts that are killed at random moments of the day's middle, one at a time
	Restart                  float64 // when the host's process is killed; 0: never
	Down                     float64 // seconds until it runs again
	Remove                   int     // this tenant is removed in the middle of the day, and made again; -1: nobody
	Drains                   bool    // each tenant has a server drained during the flood
	Log                      *slog.Logger
	Store                    coordinator.HostStore // nil: in memory
	Configure                func(*settings.Host)
	DisabledGuards           []controlplane.Guard // left out by each tenant's coordinator
	AnyNetwork               bool                 // relays of a tenant may come from any network: a guard left out
}

// DefaultHostedScenario is one that CI plays.
func DefaultHostedScenario() HostedScenario {
	return HostedScenario{Tenants: 20, Servers: 4, Relays: 4, Seconds: 30, Seed: 1, Only: -1, Rate: 24, Flood: -1, FloodRate: 2000, Remove: -1}
}

// TenantResult is one tenant's day.
type TenantResult struct {
	Name           tenancy.Name
	Verdicts       []emulator.Verdict
	Service        float64
	ForeignEntries int // lines to servers of other tenants that its relays were given
	ProtocolErrors []string
	LongestWait    float64 // seconds that it was due and waited for its turn
	Work           float64 // seconds of work that it was reckoned at
	DrainTime      float64 // seconds until no relay sent to the server that drains; -1: none was ordered
}

// HostedResult is the day.
type HostedResult struct {
	Tenants      []TenantResult
	Host         coordinator.HostStats
	Scheduler    SchedulerStats
	UpdatedAfter float64 // seconds from the host's start, or its latest restart, until all relays of all tenants were told their tables; 0: never
	Events       int
	Rejected     map[tenancy.RejectReason]int
	Memory       float64
	Problems     []string
}

type SchedulerStats struct{ Turns, Urgent, BudgetExhausted int }

// Kept tells whether all tenants kept all rules and none saw anything of another.
func (r *HostedResult) Kept() bool {
	return !slices.ContainsFunc(r.Tenants, func(t TenantResult) bool {
		return t.ForeignEntries > 0 || slices.ContainsFunc(t.Verdicts, func(v emulator.Verdict) bool { return !v.Kept })
	}) && len(r.Problems) == 0
}

const (
	hostSASPPort         = 14960
	hostHTTPPort         = 18760
	hostMeasurementsPort = 15927
	tenantPort           = 18080
	hostKey              = "a-key-for-rehearsals-of-hosts"
)

var firstHostAddr = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// HostSettings are those of the host of such a day.
const HostSettings = `<host>
  <listen sasp="127.0.0.1:14960" http="127.0.0.1:18760" measurements="127.0.0.1:15927" admin="127.0.0.1:18770" store="host.db"/>
  <caller name="host" key="a-key-for-rehearsals-of-hosts" role="host"/>
</host>`

func tenantName(t int) tenancy.Name { return tenancy.Name(fmt.Sprintf("t%03d", t)) }

func tenantServer(t, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(16 + t/64), byte(t % 64 * 4), byte(1 + i)}), tenantPort)
}

func tenantRelay(t, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(16 + t/64), byte(t%64*4 + 1 + i/250), byte(1 + i%250)})
}

// TenantSettings are those of the tenant with a number, with servers and relays of its own in two zones.
func (d *HostedScenario) TenantSettings(t int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `<tenant seed="%d">
  <caller name="staff" key="the-staff-key-of-%s" role="staff"/>
  <from network="%s"/>
  <zone name="north"/>
  <zone name="south"/>
  <class name="search" benefit="3" late-benefit="0.2" goal-time="1.5" client-timeout="5" effect="free" repeats="failure"/>
  <class name="introduce" benefit="9" goal-time="1.5" client-timeout="5" effect="guarded" same="pod" window="5" repeats="failure" writes="true"/>
  <fleet relays="%d" standing="%d" eject-after="8" least-connections="200"/>
  <channel lines-per-second="%d" message-lines="3" most-waiting="500" mean-way="0.02" longest-way="0.3" most-messages="16" message-window="10"/>
  <rules drain-within="3" bare-within="2.1" cold-share="0.1" cold-for="18" fall-multiple="2" fall-within="1.5"/>
  <reports period="0.5" user="%s" key="measurements-%03d"/>
  <servers uid="fleet" register="listed" hold="2.5" agents="any">
`, t+1, tenantName(t), netip.PrefixFrom(tenantRelay(t, 0), 22).Masked(), d.Relays, min(d.Servers, 3), max(60, d.Relays*d.Servers*2/4), tenantName(t), t)
	for i := range d.Servers {
		fmt.Fprintf(&b, `    <server address="%s" zone="%s" pod="%d"/>`+"\n", tenantServer(t, i), []string{"north", "south"}[i*2/d.Servers], i*2/d.Servers)
	}
	b.WriteString("  </servers>\n  <relays>\n")
	for i := range d.Relays {
		fmt.Fprintf(&b, `    <relay uid="relay-%d" zone="%s" usual="%g"/>`+"\n", i, []string{"north", "south"}[i*2/d.Relays], d.Rate/float64(d.Relays))
	}
	b.WriteString("  </relays>\n</tenant>\n")
	return []byte(b.String())
}

type hostedTenant struct {
	number    int
	name      tenancy.Name
	checker   *emulator.InvariantChecker
	servers   []*emulator.Server
	relays    []*emulator.Relay
	classes   []emulator.Class
	drainedAt float64
}

type hostedRun struct {
	scenario HostedScenario
	settings *settings.Host
	environment
	hosts     []*hostInstance
	random    *rand.Rand
	tenants   []*hostedTenant
	startedAt float64
	updatedAt float64
	rules     emulator.Rules
	result    HostedResult
}

// hostInstance of the day.
type hostInstance struct {
	host    *simnet.Host
	server  *eventloop.Server
	program *coordinator.Host
	running bool
	store   coordinator.HostStore
	log     consensus.MemoryStorage
	starts  uint64
}

// RunHosted plays it.
func RunHosted(day HostedScenario) (*HostedResult, error) {
	p := &hostedRun{scenario: day}
	var err error
	if p.settings, err = settings.ParseHost("host.xml", []byte(HostSettings)); err != nil {
		return nil, err
	}
	if day.Configure != nil {
		day.Configure(p.settings)
	}
	p.settings.ParseTenant = func(t tenancy.Tenant) (coordinator.TenantConfig, error) {
		m, err := settings.ParseTenant(t.Name, t.Settings, p.settings)
		if day.AnyNetwork {
			m.Networks = nil
		}
		for _, g := range day.DisabledGuards {
			m.Config.Site.DisabledGuards = map[controlplane.Guard]bool{g: true}
		}
		return m, err
	}
	if day.Log != nil {
		p.settings.Log = func(n tenancy.Name) *slog.Logger { return day.Log.With("tenant", string(n)) }
	}
	p.random = rand.New(rand.NewPCG(day.Seed, 0x4057))
	for range max(day.Hosts, 1) {
		o := &hostInstance{store: day.Store}
		if o.store == nil {
			o.store = &store.MemoryTenantStore{}
		}
		p.hosts = append(p.hosts, o)
	}
	if day.Sockets {
		p.sockets = socketnet.New(eventloop.Clock())
		p.sockets.SetZone(firstHostAddr, 0)
		p.network = p.sockets
	} else {
		p.virtual = simnet.New(day.Seed, virtualStartSeconds)
		p.network = p.virtual
	}
	start := p.network.Now()
	p.exclusively(func() {
		for i := range p.hosts {
			p.startHost(i)
		}
		if len(p.hosts) > 1 { // they elect one of them first
			p.network.Run(start + electionSeconds)
		}
		for t := range day.Tenants {
			if p.err == nil && (day.Only < 0 || day.Only == t) {
				p.createTenant(t)
			}
		}
		if len(p.hosts) > 1 { // until all know of all tenants
			p.network.Run(start + 2*electionSeconds)
		}
		start = p.network.Now()
		p.startedAt = start
		for _, t := range p.tenants {
			p.startTenant(t)
		}
		p.check()
		p.scheduleFaults(start)
	})
	if p.err != nil {
		return nil, p.err
	}
	p.network.Run(start + day.Seconds)
	p.exclusively(func() { p.finish() })
	if p.sockets != nil {
		p.stopHost(0)
		p.sockets.Stop()
	}
	return &p.result, p.err
}

const electionSeconds = 5.0 // seconds, at most, until a group of hosts has a leader and leases

// hostAddr is where a host is.
func hostAddr(i int, port uint16) netip.AddrPort {
	a := firstHostAddr.As4()
	a[3] += byte(i)
	return netip.AddrPortFrom(netip.AddrFrom4(a), port)
}

func (p *hostedRun) hostAddrs(port uint16) (list []netip.AddrPort) {
	for i := range p.hosts {
		list = append(list, hostAddr(i, port))
	}
	return list
}

func (p *hostedRun) startHost(i int) {
	now, o := p.network.Now(), p.hosts[i]
	setup := p.settings.HostConfig
	if n := len(p.hosts); n > 1 {
		o.starts++
		setup.SASP, setup.HTTP = hostAddr(i, hostSASPPort), hostAddr(i, hostHTTPPort)
		setup.Storage, setup.Incarnation = &o.log, o.starts*100+uint64(i)
		o.log.OwnDataDirID = uint64(i + 1)
		setup.Group = groupConfig(n, i, func(k int) netip.Addr { return hostAddr(k, 0).Addr() })
	}
	h, err := coordinator.NewHost(now, setup, o.store)
	if err != nil {
		p.fail(err)
		return
	}
	o.program, p.startedAt, p.updatedAt, o.running = h, now, 0, true
	if p.virtual == nil {
		if o.server, err = eventloop.Listen(h, p.settings.Ports(), p.settings.Measurements, p.sockets.Now); err != nil {
			p.fail(err)
			o.running = false
		}
		return
	}
	if o.host == nil {
		o.host = p.virtual.Add(hostAddr(i, 0).Addr(), i%2, false)
	}
	o.host.Start(h)
}

func (p *hostedRun) stopHost(i int) {
	o := p.hosts[i]
	if !o.running {
		return
	}
	o.running = false
	p.addStats(o)
	if p.virtual != nil {
		o.host.Kill()
	} else {
		p.fail(o.server.Stop())
	}
	if len(p.hosts) == 1 {
		for _, t := range p.tenants {
			t.checker.CoordinatorDown()
		}
	}
}

func (p *hostedRun) addStats(o *hostInstance) {
	c, t := o.program.Stats, o.program.Scheduler.Stats
	r := &p.result
	r.Host.Starts += c.Starts
	r.Host.Stops += c.Stops
	r.Host.Restarts += c.Restarts
	r.Host.Reconfigured += c.Reconfigured
	r.Host.SaveFailures += c.SaveFailures
	r.Host.Unsigned += c.Unsigned
	r.Host.Foreign += c.Foreign
	r.Scheduler.Turns += t.Turns
	r.Scheduler.Urgent += t.Urgent
	r.Scheduler.BudgetExhausted += t.BudgetExhausted
	if r.Rejected == nil {
		r.Rejected = map[tenancy.RejectReason]int{}
	}
	for why, n := range o.program.Router.Rejected {
		r.Rejected[why] += n
	}
}

// runningHost is a host that runs; with several, any of them.
func (p *hostedRun) runningHost() *hostInstance {
	first := p.random.IntN(len(p.hosts))
	for k := range p.hosts {
		if o := p.hosts[(first+k)%len(p.hosts)]; o.running {
			return o
		}
	}
	return nil
}

// onRunningHost does something with a host that runs, between two of its steps.
func (p *hostedRun) onRunningHost(f func(now float64, h *coordinator.Host)) {
	o := p.runningHost()
	switch {
	case o == nil:
	case p.virtual != nil:
		f(p.network.Now(), o.program)
	default:
		o.server.Do(func(now float64) { f(now, o.program) })
	}
}

func (p *hostedRun) changeTenant(c tenancy.Command) {
	p.onRunningHost(func(now float64, h *coordinator.Host) {
		c.Time = now
		if c.Kind != tenancy.Remove {
			m, err := settings.ParseTenant(c.Name, c.Settings, p.settings)
			if err != nil {
				p.fail(err)
				return
			}
			c.Weight, c.Requirements = m.Weight, m.Requirements
		}
		h.ChangeTenant(now, c, func(o tenancy.Outcome, err error) {
			if err = errors.Join(err, o.Err()); err != nil {
				p.result.Problems = append(p.result.Problems, fmt.Sprintf("%s: %v", c.Name, err))
			}
		})
	})
}

func (p *hostedRun) createTenant(t int) {
	text := p.scenario.TenantSettings(t)
	x := &hostedTenant{number: t, name: tenantName(t)}
	made, err := settings.ParseTenant(x.name, text, p.settings)
	if err != nil {
		p.fail(err)
		return
	}
	site := &made.Config.Site
	for i, name := range site.ClassNames {
		x.classes = append(x.classes, emulator.Class{Name: name, Request: site.Classes[i], Share: []float64{0.79, 0.21}[i], MeanWork: 0.1,
			RetryPolicy: site.RetryPolicies[i]})
	}
	slack := virtualSlackSeconds
	if p.scenario.Sockets {
		slack = socketSlackSeconds
	}
	p.rules = emulator.Rules{Guarantees: site.Guarantees, Channel: site.Channel, DisconnectHold: site.Limits.ServerHold + maxDetectionSeconds, ObservationSlack: slack}
	p.rules.Channel.EntriesPerSecond *= float64(len(p.hosts)) // each has a channel of its own
	x.checker = emulator.NewInvariantChecker(p.rules, x.classes)
	p.tenants = append(p.tenants, x)
	p.changeTenant(tenancy.Command{Kind: tenancy.Create, Name: x.name, Settings: text})
}

func (p *hostedRun) addHost(at netip.AddrPort, zone int) host {
	if p.virtual != nil {
		return p.virtual.Add(at.Addr(), zone, false)
	}
	return p.sockets.Add(at, zone)
}

func (p *hostedRun) startTenant(x *hostedTenant) {
	chance := rand.New(rand.NewPCG(p.scenario.Seed, uint64(x.number)))
	pods := map[int]*emulator.FailureDomain{0: emulator.NewFailureDomain(), 1: emulator.NewFailureDomain()}
	for i := range p.scenario.Servers {
		half := i * 2 / p.scenario.Servers
		s := emulator.NewServer(emulator.ServerConfig{Addr: tenantServer(x.number, i), FailureDomain: pods[half], Cores: 4, Speed: 0.8 + 0.4*chance.Float64(),
			QueueCapacity: 30, WarmupFraction: 0.1, WarmupDuration: 18, OverloadFactor: 2, OverloadWindow: 1.5, StartsWarm: true,
			Coordinators: p.hostAddrs(hostSASPPort), CollectorPort: hostMeasurementsPort, User: string(x.name),
			Key: fmt.Sprintf("measurements-%03d", x.number), FleetUID: x.name.UID("fleet"), Classes: x.classes, Seed: chance.Uint64()}, x.checker)
		x.servers = append(x.servers, s)
		p.fail(restart(p.addHost(s.Addr, half), s))
	}
	for i := range p.scenario.Relays {
		half := i * 2 / p.scenario.Relays
		setup := emulator.RelayConfig{UID: x.name.UID(fmt.Sprint("relay-", i)), Host: tenantRelay(x.number, i), UsesLongPoll: i%2 == 1,
			Coordinator: netip.AddrPortFrom(firstHostAddr, hostSASPPort), Collector: netip.AddrPortFrom(firstHostAddr, hostMeasurementsPort), User: string(x.name),
			Key: fmt.Sprintf("measurements-%03d", x.number), Flags: sasp.Push | sasp.Trust | sasp.NoChange, Classes: x.classes,
			Rate: p.scenario.Rate / float64(p.scenario.Relays), ReportInterval: 0.5, EjectAfter: 8, EjectDuration: 4, KeyCount: 200, Seed: chance.Uint64() >> 16}
		port := uint16(hostSASPPort)
		if setup.UsesLongPoll {
			port = hostHTTPPort
		}
		if all := p.hostAddrs(port); len(all) > 1 {
			setup.OtherCoordinators = all[1:]
		}
		setup.Coordinator = netip.AddrPortFrom(firstHostAddr, port)
		for k := range min(p.scenario.Servers, 3) {
			setup.DefaultTable = append(setup.DefaultTable, tenantServer(x.number, k))
		}
		r := emulator.NewRelay(setup, x.checker)
		x.relays = append(x.relays, r)
		p.fail(restart(p.addHost(netip.AddrPortFrom(setup.Host, 0), half), r))
	}
}

func (p *hostedRun) check() {
	now := p.network.Now()
	all := true
	for _, t := range p.tenants {
		t.checker.CheckDeadlines(now)
		_, told := t.checker.AllRelaysLed()
		all = all && told
	}
	if all && p.updatedAt == 0 && p.runningHost() != nil {
		p.updatedAt = now
		p.result.UpdatedAfter = now - p.startedAt
	}
	p.network.At(now+checkIntervalSeconds, p.check)
}

func (p *hostedRun) scheduleFaults(start float64) {
	d := p.scenario
	at := func(part float64, do func()) { p.network.At(start+part*d.Seconds, do) }
	if d.Flood >= 0 && (d.Only < 0 || d.Only == d.Flood) {
		at(1.0/3, func() { p.startFlood(d.Flood) })
	}
	if d.Drains {
		for k, t := range p.tenants {
			at(0.45+0.1*float64(k)/float64(len(p.tenants)), func() { p.drainServer(t) })
		}
	}
	if d.Restart > 0 {
		p.network.At(start+d.Restart, func() { p.restartHost(0) })
	}
	for k := range d.Kills {
		at(0.25+0.6*(float64(k)+0.5*p.random.Float64())/float64(d.Kills), func() {
			if i := p.random.IntN(len(p.hosts)); !slices.ContainsFunc(p.hosts, func(o *hostInstance) bool { return !o.running }) {
				p.restartHost(i)
			}
		})
	}
	if d.Remove >= 0 && (d.Only < 0 || d.Only == d.Remove) {
		x := p.tenants[0]
		for _, t := range p.tenants {
			if t.number == d.Remove {
				x = t
			}
		}
		at(0.5, func() {
			x.checker.CoordinatorDown()
			x.checker.ForgetDrains()
			p.changeTenant(tenancy.Command{Kind: tenancy.Remove, Name: x.name})
		})
		p.network.At(start+0.5*d.Seconds+tenancy.NameQuarantine+0.5, func() {
			p.changeTenant(tenancy.Command{Kind: tenancy.Create, Name: x.name, Settings: d.TenantSettings(x.number)})
		})
	}
}

// restartHost ends a host's process, and starts it again.
func (p *hostedRun) restartHost(i int) {
	p.stopHost(i)
	p.network.At(p.network.Now()+p.scenario.Down, func() { p.startHost(i) })
}

// drainServer orders one by the host, as its administration API does, and follows it on the relays' side.
func (p *hostedRun) drainServer(x *hostedTenant) {
	s := tenantServer(x.number, p.scenario.Servers-1)
	p.onRunningHost(func(now float64, h *coordinator.Host) {
		h.Drain(now, x.name, balancer.Server(s.String()), true, func(ok bool) {
			if ok {
				x.drainedAt = p.network.Now()
				x.checker.DrainChanged(p.network.Now(), s, true)
			} else if len(p.hosts) == 1 || p.scenario.Kills == 0 { // a host that is killed answers nobody
				p.result.Problems = append(p.result.Problems, fmt.Sprintf("%s: drain refused", x.name))
			}
		})
	})
}

func (p *hostedRun) finish() {
	for _, o := range p.hosts {
		if o.running {
			p.addStats(o)
		}
	}
	for _, x := range p.tenants {
		r := TenantResult{Name: x.name, Verdicts: x.checker.Verdicts(), Service: x.checker.Service(), ProtocolErrors: x.checker.ProtocolErrors, DrainTime: -1}
		own := map[netip.AddrPort]bool{}
		for _, s := range x.servers {
			own[s.Addr] = true
		}
		for _, a := range x.checker.Servers() {
			if !own[a] {
				r.ForeignEntries++
			}
		}
		for _, rel := range x.relays {
			for _, a := range rel.TableServers() {
				if !own[a] {
					r.ForeignEntries++
				}
			}
		}
		if x.drainedAt > 0 {
			r.DrainTime = x.checker.LatestAfterDrain()
		}
		for _, o := range p.hosts {
			work, longest := o.program.Scheduler.Usage(x.name)
			r.Work, r.LongestWait = r.Work+work, max(r.LongestWait, longest)
		}
		p.result.Tenants = append(p.result.Tenants, r)
	}
	p.result.Memory = p.hosts[0].program.Directory.Used().Memory
	if p.virtual != nil {
		p.result.Events = p.virtual.Events
	}
}

// Print writes the day as a table. Figures of service are of simulated servers.
func (r *HostedResult) Print(w io.Writer) error {
	var b strings.Builder
	worst, best, sum, foreign, longest, drain := math.Inf(1), 0.0, 0.0, 0, 0.0, 0.0
	broken := map[int]int{}
	for _, t := range r.Tenants {
		worst, best, sum = min(worst, t.Service), max(best, t.Service), sum+t.Service
		foreign += t.ForeignEntries
		longest, drain = max(longest, t.LongestWait), max(drain, t.DrainTime)
		for _, v := range t.Verdicts {
			if !v.Kept {
				if broken[v.Rule]++; broken[v.Rule] <= 3 {
					fmt.Fprintf(&b, "%s: rule %d BROKEN: %s\n", t.Name, v.Rule, strings.Join(v.Reasons, "; "))
				}
			}
		}
		for _, c := range t.ProtocolErrors[:min(len(t.ProtocolErrors), 2)] {
			fmt.Fprintf(&b, "%s: seen: %s\n", t.Name, c)
		}
	}
	n := float64(max(len(r.Tenants), 1))
	for rule := 1; rule <= 5; rule++ {
		fmt.Fprintf(&b, "rule %d  kept by %d of %d tenants\n", rule, len(r.Tenants)-broken[rule], len(r.Tenants))
	}
	fmt.Fprintf(&b, "lines to servers of other tenants: %d\n", foreign)
	fmt.Fprintf(&b, "service %.3f on average, %.3f at the worst tenant, %.3f at the best (simulated servers)\n", sum/n, worst, best)
	fmt.Fprintf(&b, "all relays of all tenants told their tables %.2f s after the host's start\n", r.UpdatedAfter)
	fmt.Fprintf(&b, "%d turns, %d of them urgent; nobody had one %d times though some were due; the longest that a tenant waited %.0f ms\n",
		r.Scheduler.Turns, r.Scheduler.Urgent, r.Scheduler.BudgetExhausted, longest*1000)
	if drain > 0 {
		fmt.Fprintf(&b, "last query to a server that drains %.2f s after it was ordered\n", drain)
	}
	for _, why := range []tenancy.RejectReason{tenancy.TooManyUnidentified, tenancy.IdentifyTimedOut, tenancy.MalformedIdentity, tenancy.UnknownTenant, tenancy.TenantStarting, tenancy.TenantConnectionsFull, tenancy.AcceptRateExceeded, tenancy.NetworkNotAllowed} {
		if k := r.Rejected[why]; k > 0 {
			fmt.Fprintf(&b, "%d connections refused: %s\n", k, why)
		}
	}
	for _, x := range r.Problems[:min(len(r.Problems), 10)] {
		fmt.Fprintf(&b, "  %s\n", x)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// startFlood makes a tenant's own side as bad as it can be: see emulator.Flood.
func (p *hostedRun) startFlood(t int) {
	f := &emulator.FloodGenerator{SASP: netip.AddrPortFrom(firstHostAddr, hostSASPPort), HTTP: netip.AddrPortFrom(firstHostAddr, hostHTTPPort), Measurements: netip.AddrPortFrom(firstHostAddr, hostMeasurementsPort),
		UID: tenantName(t).UID("relay-0"), OtherUID: tenantName((t + 1) % max(p.scenario.Tenants, 2)).UID("relay-0"), User: string(tenantName(t)),
		Key: fmt.Sprintf("measurements-%03d", t), Class: "search", Rate: p.scenario.FloodRate, Server: tenantServer(t, 0), Seed: p.scenario.Seed,
		OtherUser: string(tenantName((t + 1) % max(p.scenario.Tenants, 2)))}
	p.fail(restart(p.addHost(netip.AddrPortFrom(tenantRelay(t, 240), 0), 0), f))
}
