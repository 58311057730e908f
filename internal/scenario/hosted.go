package scenario

import (
	"log/slog"
	"math/rand/v2"

	"snowquay/internal/coordinator"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/emulator"
	"snowquay/internal/env/simnet"
	"snowquay/internal/env/socketnet"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/settings"
	"snowquay/internal/store"
)

// HostedScenario configures a scenario of many tenants on one host, or on several hosts that share the tenants.
type HostedScenario struct {
	Tenants        int
	Servers        int // servers of each tenant
	Relays         int // relays of each tenant
	Seconds        float64
	Seed           uint64
	Sockets        bool                  // run over loopback sockets in real time; otherwise in virtual time
	OnlyTenant     int                   // run with this tenant alone, for comparison; -1: with all
	Rate           float64               // requests per second of each tenant
	Flood          int                   // tenant that floods the host after a third of the scenario; -1: none
	FloodRate      float64               // messages per second of the flood
	Hosts          int                   // number of hosts that share the tenants, in virtual time; 0 or 1: a single one
	Kills          int                   // number of host restarts at random times; one is skipped if a host is down
	Restart        float64               // second at which the first host is killed and then restarted; 0: never
	RestartDelay   float64               // seconds until a killed host is started again
	Remove         int                   // tenant that is removed halfway and created again later; -1: none
	Drains         bool                  // drain a server of each tenant, during the flood if there is one
	Log            *slog.Logger          // nil: no logging
	Store          coordinator.HostStore // store of each host; nil: a memory store of its own
	Configure      func(*settings.Host)  // modifies the settings of the hosts; optional
	DisabledGuards []controlplane.Guard  // guards that are disabled in the coordinator of each tenant
	AnyNetwork     bool                  // accept the relays of a tenant from any network
}

// DefaultHostedScenario returns the default hosted scenario.
func DefaultHostedScenario() HostedScenario {
	return HostedScenario{
		Tenants:    20,
		Servers:    4,
		Relays:     4,
		Seconds:    30,
		Seed:       1,
		OnlyTenant: -1,
		Rate:       24,
		Flood:      -1,
		FloodRate:  2000,
		Remove:     -1,
	}
}

// includes reports whether a tenant is part of the scenario.
func (s *HostedScenario) includes(tenant int) bool { return s.OnlyTenant < 0 || s.OnlyTenant == tenant }

const (
	electionSeconds = 5.0    // maximum time until a group of hosts has a leader and leases
	hostedStream    = 0x4057 // second word of the seed of a run's random number generator
)

// hostedRun is the state of a running hosted scenario.
type hostedRun struct {
	environment
	scenario  HostedScenario
	settings  *settings.Host
	hosts     []*hostInstance
	random    *rand.Rand
	tenants   []*hostedTenant
	startedAt float64 // time of the latest start of a host
	updatedAt float64 // time at which all relays had received their tables; 0: not yet since the latest host start
	rules     emulator.Rules
	result    HostedResult
}

// RunHosted runs a hosted scenario. It returns an error if the scenario could not be run; a broken rule is not an
// error but is recorded in the result.
func RunHosted(scenario HostedScenario) (*HostedResult, error) {
	r, err := newHostedRun(scenario)
	if err != nil {
		return nil, err
	}
	start := r.network.Now()
	r.exclusively(func() {
		r.startHosts(start)
		start = r.network.Now()
		r.startedAt = start
		for _, tenant := range r.tenants {
			r.startTenant(tenant)
		}
		r.checkPeriodically()
		r.scheduleFaults(start)
	})
	if r.err != nil {
		return nil, r.err
	}
	r.network.Run(start + scenario.Seconds)
	r.exclusively(r.finish)
	if r.sockets != nil {
		r.stopHost(0)
		r.sockets.Stop()
	}
	return &r.result, r.err
}

func newHostedRun(scenario HostedScenario) (*hostedRun, error) {
	parsed, err := settings.ParseHost("host.xml", []byte(HostSettings))
	if err != nil {
		return nil, err
	}
	if scenario.Configure != nil {
		scenario.Configure(parsed)
	}
	r := &hostedRun{scenario: scenario, settings: parsed, random: rand.New(rand.NewPCG(scenario.Seed, hostedStream))}
	parsed.ParseTenant = r.parseTenant
	if scenario.Log != nil {
		parsed.Log = func(name tenancy.Name) *slog.Logger { return scenario.Log.With("tenant", string(name)) }
	}
	for range max(scenario.Hosts, 1) {
		instance := &hostInstance{store: scenario.Store}
		if instance.store == nil {
			instance.store = &store.MemoryTenantStore{}
		}
		r.hosts = append(r.hosts, instance)
	}
	if scenario.Sockets {
		r.sockets = socketnet.New(eventloop.Clock())
		r.sockets.SetZone(firstHostAddr, 0)
		r.network = r.sockets
	} else {
		r.virtual = simnet.New(scenario.Seed, virtualStartSeconds)
		r.network = r.virtual
	}
	return r, nil
}

// parseTenant parses the settings of a tenant and applies the scenario's AnyNetwork and DisabledGuards.
func (r *hostedRun) parseTenant(tenant tenancy.Tenant) (coordinator.TenantConfig, error) {
	config, err := settings.ParseTenant(tenant.Name, tenant.Settings, r.settings)
	if r.scenario.AnyNetwork {
		config.Networks = nil
	}
	for _, guard := range r.scenario.DisabledGuards {
		config.Config.Site.DisabledGuards = map[controlplane.Guard]bool{guard: true}
	}
	return config, err
}

// startHosts starts the hosts, waits for the election of a leader if there are several, and creates the tenants.
func (r *hostedRun) startHosts(start float64) {
	for i := range r.hosts {
		r.startHost(i)
	}
	if len(r.hosts) > 1 {
		r.network.Run(start + electionSeconds)
	}
	for tenant := range r.scenario.Tenants {
		if r.err == nil && r.scenario.includes(tenant) {
			r.createTenant(tenant)
		}
	}
	if len(r.hosts) > 1 { // wait until all hosts know all tenants
		r.network.Run(start + 2*electionSeconds)
	}
}

// checkPeriodically calls the invariant checkers of the tenants and schedules its own next call.
func (r *hostedRun) checkPeriodically() {
	now := r.network.Now()
	allUpdated := true
	for _, tenant := range r.tenants {
		tenant.checker.CheckDeadlines(now)
		_, updated := tenant.checker.AllRelaysLed()
		allUpdated = allUpdated && updated
	}
	if allUpdated && r.updatedAt == 0 && r.runningHost() != nil {
		r.updatedAt = now
		r.result.UpdatedAfter = now - r.startedAt
	}
	r.network.At(now+checkIntervalSeconds, r.checkPeriodically)
}
