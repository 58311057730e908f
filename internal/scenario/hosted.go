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
	Set                      func(*settings.Host)
	Without                  []controlplane.Guard // left out by each tenant's coordinator
	Anywhere                 bool                 // relays of a tenant may come from any network: a guard left out
}

// DefaultHostedScenario is one that CI plays.
func DefaultHostedScenario() HostedScenario {
	return HostedScenario{Tenants: 20, Servers: 4, Relays: 4, Seconds: 30, Seed: 1, Only: -1, Rate: 24, Flood: -1, FloodRate: 2000, Remove: -1}
}

// TenantResult is one tenant's day.
type TenantResult struct {
	Name       tenancy.Name
	Verdicts   []emulator.Verdict
	Service    float64
	Foreign    int // lines to servers of other tenants that its relays were given
	Complaints []string
	Longest    float64 // seconds that it was due and waited for its turn
	Work       float64 // seconds of work that it was reckoned at
	DrainTook  float64 // seconds until no relay sent to the server that drains; -1: none was ordered
}

// HostedResult is the day.
type HostedResult struct {
	Tenants  []TenantResult
	Counts   coordinator.HostStats
	Turns    turnsSeen
	AllLed   float64 // seconds from the host's start, or its latest restart, until all relays of all tenants were told their tables; 0: never
	Events   int
	Refused  map[tenancy.RejectReason]int
	Memory   float64
	Problems []string
}

type turnsSeen struct{ Looks, Urgent, Held int }

// Kept tells whether all tenants kept all rules and none saw anything of another.
func (r *HostedResult) Kept() bool {
	return !slices.ContainsFunc(r.Tenants, func(t TenantResult) bool {
		return t.Foreign > 0 || slices.ContainsFunc(t.Verdicts, func(v emulator.Verdict) bool { return !v.Kept })
	}) && len(r.Problems) == 0
}

const (
	hostPort    = 14960
	hostPoll    = 18760
	hostCollect = 15927
	tenantPort  = 18080
	hostKey     = "a-key-for-rehearsals-of-hosts"
)

var hostAt = netip.AddrFrom4([4]byte{127, 0, 0, 1})

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
	number  int
	name    tenancy.Name
	ref     *emulator.InvariantChecker
	servers []*emulator.Server
	relays  []*emulator.Relay
	classes []emulator.Class
	drained float64
}

type hostedPlay struct {
	day  HostedScenario
	host *settings.Host
	scene
	hosts   []*aHost
	chance  *rand.Rand
	tenants []*hostedTenant
	began   float64
	led     float64
	rules   emulator.Rules
	result  HostedResult
}

// aHost of the day.
type aHost struct {
	place   *simnet.Host
	server  *eventloop.Server
	program *coordinator.Host
	up      bool
	store   coordinator.HostStore
	disk    consensus.MemoryStorage
	lives   uint64
}

// RunHosted plays it.
func RunHosted(day HostedScenario) (*HostedResult, error) {
	p := &hostedPlay{day: day}
	var err error
	if p.host, err = settings.ParseHost("host.xml", []byte(HostSettings)); err != nil {
		return nil, err
	}
	if day.Set != nil {
		day.Set(p.host)
	}
	p.host.ParseTenant = func(t tenancy.Tenant) (coordinator.TenantConfig, error) {
		m, err := settings.ParseTenant(t.Name, t.Settings, p.host)
		if day.Anywhere {
			m.Networks = nil
		}
		for _, g := range day.Without {
			m.Config.Site.DisabledGuards = map[controlplane.Guard]bool{g: true}
		}
		return m, err
	}
	if day.Log != nil {
		p.host.Log = func(n tenancy.Name) *slog.Logger { return day.Log.With("tenant", string(n)) }
	}
	p.chance = rand.New(rand.NewPCG(day.Seed, 0x4057))
	for range max(day.Hosts, 1) {
		o := &aHost{store: day.Store}
		if o.store == nil {
			o.store = &store.MemoryTenantStore{}
		}
		p.hosts = append(p.hosts, o)
	}
	if day.Sockets {
		p.sock = socketnet.New(eventloop.Clock())
		p.sock.SetZone(hostAt, 0)
		p.stage = p.sock
	} else {
		p.sim = simnet.New(day.Seed, startAt)
		p.stage = p.sim
	}
	start := p.stage.Now()
	p.do(func() {
		for i := range p.hosts {
			p.startHost(i)
		}
		if len(p.hosts) > 1 { // they elect one of them first
			p.stage.Run(start + electionTakes)
		}
		for t := range day.Tenants {
			if p.err == nil && (day.Only < 0 || day.Only == t) {
				p.makeTenant(t)
			}
		}
		if len(p.hosts) > 1 { // until all know of all tenants
			p.stage.Run(start + 2*electionTakes)
		}
		start = p.stage.Now()
		p.began = start
		for _, t := range p.tenants {
			p.startTenant(t)
		}
		p.look()
		p.script(start)
	})
	if p.err != nil {
		return nil, p.err
	}
	p.stage.Run(start + day.Seconds)
	p.do(func() { p.finish() })
	if p.sock != nil {
		p.stopHost(0)
		p.sock.Stop()
	}
	return &p.result, p.err
}

const electionTakes = 5.0 // seconds, at most, until a group of hosts has a leader and leases

// hostAddr is where a host is.
func hostAddr(i int, port uint16) netip.AddrPort {
	a := hostAt.As4()
	a[3] += byte(i)
	return netip.AddrPortFrom(netip.AddrFrom4(a), port)
}

func (p *hostedPlay) all(port uint16) (list []netip.AddrPort) {
	for i := range p.hosts {
		list = append(list, hostAddr(i, port))
	}
	return list
}

func (p *hostedPlay) startHost(i int) {
	now, o := p.stage.Now(), p.hosts[i]
	setup := p.host.HostConfig
	if n := len(p.hosts); n > 1 {
		o.lives++
		setup.SASP, setup.HTTP = hostAddr(i, hostPort), hostAddr(i, hostPoll)
		setup.Storage, setup.Incarnation = &o.disk, o.lives*100+uint64(i)
		o.disk.OwnDataDirID = uint64(i + 1)
		setup.Group = groupOf(n, i, func(k int) netip.Addr { return hostAddr(k, 0).Addr() })
	}
	h, err := coordinator.NewHost(now, setup, o.store)
	if err != nil {
		p.fail(err)
		return
	}
	o.program, p.began, p.led, o.up = h, now, 0, true
	if p.sim == nil {
		if o.server, err = eventloop.Listen(h, p.host.Ports(), p.host.Measurements, p.sock.Now); err != nil {
			p.fail(err)
			o.up = false
		}
		return
	}
	if o.place == nil {
		o.place = p.sim.Add(hostAddr(i, 0).Addr(), i%2, false)
	}
	o.place.Start(h)
}

func (p *hostedPlay) stopHost(i int) {
	o := p.hosts[i]
	if !o.up {
		return
	}
	o.up = false
	p.count(o)
	if p.sim != nil {
		o.place.Kill()
	} else {
		p.fail(o.server.Stop())
	}
	if len(p.hosts) == 1 {
		for _, t := range p.tenants {
			t.ref.CoordinatorDown()
		}
	}
}

func (p *hostedPlay) count(o *aHost) {
	c, t := o.program.Stats, o.program.Scheduler.Stats
	r := &p.result
	r.Counts.Starts += c.Starts
	r.Counts.Stops += c.Stops
	r.Counts.Restarts += c.Restarts
	r.Counts.Reconfigured += c.Reconfigured
	r.Counts.SaveFailures += c.SaveFailures
	r.Counts.Unsigned += c.Unsigned
	r.Counts.Foreign += c.Foreign
	r.Turns.Looks += t.Turns
	r.Turns.Urgent += t.Urgent
	r.Turns.Held += t.BudgetExhausted
	if r.Refused == nil {
		r.Refused = map[tenancy.RejectReason]int{}
	}
	for why, n := range o.program.Router.Rejected {
		r.Refused[why] += n
	}
}

// one is a host that runs; with several, any of them.
func (p *hostedPlay) one() *aHost {
	first := p.chance.IntN(len(p.hosts))
	for k := range p.hosts {
		if o := p.hosts[(first+k)%len(p.hosts)]; o.up {
			return o
		}
	}
	return nil
}

// on does something with a host that runs, between two of its steps.
func (p *hostedPlay) on(f func(now float64, h *coordinator.Host)) {
	o := p.one()
	switch {
	case o == nil:
	case p.sim != nil:
		f(p.stage.Now(), o.program)
	default:
		o.server.Do(func(now float64) { f(now, o.program) })
	}
}

func (p *hostedPlay) order(c tenancy.Command) {
	p.on(func(now float64, h *coordinator.Host) {
		c.Time = now
		if c.Kind != tenancy.Remove {
			m, err := settings.ParseTenant(c.Name, c.Settings, p.host)
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

func (p *hostedPlay) makeTenant(t int) {
	text := p.day.TenantSettings(t)
	x := &hostedTenant{number: t, name: tenantName(t)}
	made, err := settings.ParseTenant(x.name, text, p.host)
	if err != nil {
		p.fail(err)
		return
	}
	site := &made.Config.Site
	for i, name := range site.ClassNames {
		x.classes = append(x.classes, emulator.Class{Name: name, Request: site.Classes[i], Share: []float64{0.79, 0.21}[i], MeanWork: 0.1,
			RetryPolicy: site.RetryPolicies[i]})
	}
	slack := simSlack
	if p.day.Sockets {
		slack = socketSlack
	}
	p.rules = emulator.Rules{Guarantees: site.Guarantees, Channel: site.Channel, DisconnectHold: site.Limits.ServerHold + noticeMost, ObservationSlack: slack}
	p.rules.Channel.EntriesPerSecond *= float64(len(p.hosts)) // each has a channel of its own
	x.ref = emulator.NewInvariantChecker(p.rules, x.classes)
	p.tenants = append(p.tenants, x)
	p.order(tenancy.Command{Kind: tenancy.Create, Name: x.name, Settings: text})
}

func (p *hostedPlay) place1(at netip.AddrPort, zone int) host {
	if p.sim != nil {
		return p.sim.Add(at.Addr(), zone, false)
	}
	return p.sock.Add(at, zone)
}

func (p *hostedPlay) startTenant(x *hostedTenant) {
	chance := rand.New(rand.NewPCG(p.day.Seed, uint64(x.number)))
	pods := map[int]*emulator.FailureDomain{0: emulator.NewFailureDomain(), 1: emulator.NewFailureDomain()}
	for i := range p.day.Servers {
		half := i * 2 / p.day.Servers
		s := emulator.NewServer(emulator.ServerConfig{Addr: tenantServer(x.number, i), FailureDomain: pods[half], Cores: 4, Speed: 0.8 + 0.4*chance.Float64(),
			QueueCapacity: 30, WarmupFraction: 0.1, WarmupDuration: 18, OverloadFactor: 2, OverloadWindow: 1.5, StartsWarm: true,
			Coordinators: p.all(hostPort), CollectorPort: hostCollect, User: string(x.name),
			Key: fmt.Sprintf("measurements-%03d", x.number), FleetUID: x.name.UID("fleet"), Classes: x.classes, Seed: chance.Uint64()}, x.ref)
		x.servers = append(x.servers, s)
		p.fail(restart(p.place1(s.Addr, half), s))
	}
	for i := range p.day.Relays {
		half := i * 2 / p.day.Relays
		setup := emulator.RelayConfig{UID: x.name.UID(fmt.Sprint("relay-", i)), Host: tenantRelay(x.number, i), UsesLongPoll: i%2 == 1,
			Coordinator: netip.AddrPortFrom(hostAt, hostPort), Collector: netip.AddrPortFrom(hostAt, hostCollect), User: string(x.name),
			Key: fmt.Sprintf("measurements-%03d", x.number), Flags: sasp.Push | sasp.Trust | sasp.NoChange, Classes: x.classes,
			Rate: p.day.Rate / float64(p.day.Relays), ReportInterval: 0.5, EjectAfter: 8, EjectDuration: 4, KeyCount: 200, Seed: chance.Uint64() >> 16}
		port := uint16(hostPort)
		if setup.UsesLongPoll {
			port = hostPoll
		}
		if all := p.all(port); len(all) > 1 {
			setup.OtherCoordinators = all[1:]
		}
		setup.Coordinator = netip.AddrPortFrom(hostAt, port)
		for k := range min(p.day.Servers, 3) {
			setup.DefaultTable = append(setup.DefaultTable, tenantServer(x.number, k))
		}
		r := emulator.NewRelay(setup, x.ref)
		x.relays = append(x.relays, r)
		p.fail(restart(p.place1(netip.AddrPortFrom(setup.Host, 0), half), r))
	}
}

func (p *hostedPlay) look() {
	now := p.stage.Now()
	all := true
	for _, t := range p.tenants {
		t.ref.CheckDeadlines(now)
		_, told := t.ref.AllRelaysLed()
		all = all && told
	}
	if all && p.led == 0 && p.one() != nil {
		p.led = now
		p.result.AllLed = now - p.began
	}
	p.stage.At(now+lookEvery, p.look)
}

func (p *hostedPlay) script(start float64) {
	d := p.day
	at := func(part float64, do func()) { p.stage.At(start+part*d.Seconds, do) }
	if d.Flood >= 0 && (d.Only < 0 || d.Only == d.Flood) {
		at(1.0/3, func() { p.flood(d.Flood) })
	}
	if d.Drains {
		for k, t := range p.tenants {
			at(0.45+0.1*float64(k)/float64(len(p.tenants)), func() { p.drain(t) })
		}
	}
	if d.Restart > 0 {
		p.stage.At(start+d.Restart, func() { p.kill(0) })
	}
	for k := range d.Kills {
		at(0.25+0.6*(float64(k)+0.5*p.chance.Float64())/float64(d.Kills), func() {
			if i := p.chance.IntN(len(p.hosts)); !slices.ContainsFunc(p.hosts, func(o *aHost) bool { return !o.up }) {
				p.kill(i)
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
			x.ref.CoordinatorDown()
			x.ref.ForgetDrains()
			p.order(tenancy.Command{Kind: tenancy.Remove, Name: x.name})
		})
		p.stage.At(start+0.5*d.Seconds+tenancy.NameQuarantine+0.5, func() {
			p.order(tenancy.Command{Kind: tenancy.Create, Name: x.name, Settings: d.TenantSettings(x.number)})
		})
	}
}

// kill ends a host's process, and starts it again.
func (p *hostedPlay) kill(i int) {
	p.stopHost(i)
	p.stage.At(p.stage.Now()+p.day.Down, func() { p.startHost(i) })
}

// drain orders one by the host, as its administration API does, and follows it on the relays' side.
func (p *hostedPlay) drain(x *hostedTenant) {
	s := tenantServer(x.number, p.day.Servers-1)
	p.on(func(now float64, h *coordinator.Host) {
		h.Drain(now, x.name, balancer.Server(s.String()), true, func(ok bool) {
			if ok {
				x.drained = p.stage.Now()
				x.ref.DrainChanged(p.stage.Now(), s, true)
			} else if len(p.hosts) == 1 || p.day.Kills == 0 { // a host that is killed answers nobody
				p.result.Problems = append(p.result.Problems, fmt.Sprintf("%s: drain refused", x.name))
			}
		})
	})
}

func (p *hostedPlay) finish() {
	for _, o := range p.hosts {
		if o.up {
			p.count(o)
		}
	}
	for _, x := range p.tenants {
		r := TenantResult{Name: x.name, Verdicts: x.ref.Verdicts(), Service: x.ref.Service(), Complaints: x.ref.ProtocolErrors, DrainTook: -1}
		own := map[netip.AddrPort]bool{}
		for _, s := range x.servers {
			own[s.Addr] = true
		}
		for _, a := range x.ref.Servers() {
			if !own[a] {
				r.Foreign++
			}
		}
		for _, rel := range x.relays {
			for _, a := range rel.TableServers() {
				if !own[a] {
					r.Foreign++
				}
			}
		}
		if x.drained > 0 {
			r.DrainTook = x.ref.LatestAfterDrain()
		}
		for _, o := range p.hosts {
			work, longest := o.program.Scheduler.Usage(x.name)
			r.Work, r.Longest = r.Work+work, max(r.Longest, longest)
		}
		p.result.Tenants = append(p.result.Tenants, r)
	}
	p.result.Memory = p.hosts[0].program.Directory.Used().Memory
	if p.sim != nil {
		p.result.Events = p.sim.Events
	}
}

// Print writes the day as a table. Figures of service are of simulated servers.
func (r *HostedResult) Print(w io.Writer) error {
	var b strings.Builder
	worst, best, sum, foreign, longest, drain := math.Inf(1), 0.0, 0.0, 0, 0.0, 0.0
	broken := map[int]int{}
	for _, t := range r.Tenants {
		worst, best, sum = min(worst, t.Service), max(best, t.Service), sum+t.Service
		foreign += t.Foreign
		longest, drain = max(longest, t.Longest), max(drain, t.DrainTook)
		for _, v := range t.Verdicts {
			if !v.Kept {
				if broken[v.Rule]++; broken[v.Rule] <= 3 {
					fmt.Fprintf(&b, "%s: rule %d BROKEN: %s\n", t.Name, v.Rule, strings.Join(v.Reasons, "; "))
				}
			}
		}
		for _, c := range t.Complaints[:min(len(t.Complaints), 2)] {
			fmt.Fprintf(&b, "%s: seen: %s\n", t.Name, c)
		}
	}
	n := float64(max(len(r.Tenants), 1))
	for rule := 1; rule <= 5; rule++ {
		fmt.Fprintf(&b, "rule %d  kept by %d of %d tenants\n", rule, len(r.Tenants)-broken[rule], len(r.Tenants))
	}
	fmt.Fprintf(&b, "lines to servers of other tenants: %d\n", foreign)
	fmt.Fprintf(&b, "service %.3f on average, %.3f at the worst tenant, %.3f at the best (simulated servers)\n", sum/n, worst, best)
	fmt.Fprintf(&b, "all relays of all tenants told their tables %.2f s after the host's start\n", r.AllLed)
	fmt.Fprintf(&b, "%d turns, %d of them urgent; nobody had one %d times though some were due; the longest that a tenant waited %.0f ms\n",
		r.Turns.Looks, r.Turns.Urgent, r.Turns.Held, longest*1000)
	if drain > 0 {
		fmt.Fprintf(&b, "last query to a server that drains %.2f s after it was ordered\n", drain)
	}
	for _, why := range []tenancy.RejectReason{tenancy.TooManyUnidentified, tenancy.IdentifyTimedOut, tenancy.MalformedIdentity, tenancy.UnknownTenant, tenancy.TenantStarting, tenancy.TenantConnectionsFull, tenancy.AcceptRateExceeded, tenancy.NetworkNotAllowed} {
		if k := r.Refused[why]; k > 0 {
			fmt.Fprintf(&b, "%d connections refused: %s\n", k, why)
		}
	}
	for _, x := range r.Problems[:min(len(r.Problems), 10)] {
		fmt.Fprintf(&b, "  %s\n", x)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// flood makes a tenant's own side as bad as it can be: see emulator.Flood.
func (p *hostedPlay) flood(t int) {
	f := &emulator.FloodGenerator{SASP: netip.AddrPortFrom(hostAt, hostPort), HTTP: netip.AddrPortFrom(hostAt, hostPoll), Measurements: netip.AddrPortFrom(hostAt, hostCollect),
		UID: tenantName(t).UID("relay-0"), OtherUID: tenantName((t + 1) % max(p.day.Tenants, 2)).UID("relay-0"), User: string(tenantName(t)),
		Key: fmt.Sprintf("measurements-%03d", t), Class: "search", Rate: p.day.FloodRate, Server: tenantServer(t, 0), Seed: p.day.Seed,
		OtherUser: string(tenantName((t + 1) % max(p.day.Tenants, 2)))}
	p.fail(restart(p.place1(netip.AddrPortFrom(tenantRelay(t, 240), 0), 0), f))
}
