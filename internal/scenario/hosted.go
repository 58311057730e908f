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

// HostedScenario is a scenario of many tenants on one host, or on several that share the tenants.
type HostedScenario struct {
	Tenants        int
	Servers        int // of each tenant
	Relays         int // of each tenant
	Seconds        float64
	Seed           uint64
	Sockets        bool
	OnlyTenant     int                   // this tenant alone, for comparison; -1: all
	Rate           float64               // requests a second of each tenant
	Flood          int                   // this tenant floods the host from a third of the scenario on; -1: none
	FloodRate      float64               // messages a second of the flood
	Hosts          int                   // that share the tenants, in virtual time; 0 or 1: one alone
	Kills          int                   // of hosts, at random moments, one host at a time
	Restart        float64               // second at which the host is killed; 0: never
	RestartDelay   float64               // seconds until a killed host runs again
	Remove         int                   // this tenant is removed halfway, and created again; -1: none
	Drains         bool                  // each tenant has a server drained during the flood
	Log            *slog.Logger          // nil: none
	Store          coordinator.HostStore // nil: in memory
	Configure      func(*settings.Host)  // changes the host's settings; nil: none
	DisabledGuards []controlplane.Guard  // of each tenant's coordinator
	AnyNetwork     bool                  // relays of a tenant may dial from any network
}

// DefaultHostedScenario returns the scenario that runs if nothing else is asked for.
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

// includes tells whether a tenant is part of the scenario.
func (s *HostedScenario) includes(tenant int) bool { return s.OnlyTenant < 0 || s.OnlyTenant == tenant }

const (
	electionSeconds = 5.0    // at most, until a group of hosts has a leader and leases
	hostedStream    = 0x4057 // second word of the seed of a run's random numbers
)

// hostedRun is a hosted scenario under way.
type hostedRun struct {
	environment
	scenario  HostedScenario
	settings  *settings.Host
	hosts     []*hostInstance
	random    *rand.Rand
	tenants   []*hostedTenant
	startedAt float64 // of the latest start of a host
	updatedAt float64 // when all relays had received their tables; 0: they have not, since a host was started
	rules     emulator.Rules
	result    HostedResult
}

// RunHosted runs a hosted scenario. It returns an error if it could not be run; a broken rule is part of the result.
func RunHosted(scenario HostedScenario) (*HostedResult, error) {
	started, err := newHostedRun(scenario)
	if err != nil {
		return nil, err
	}
	start := started.network.Now()
	started.exclusively(func() {
		started.startHosts(start)
		start = started.network.Now()
		started.startedAt = start
		for _, tenant := range started.tenants {
			started.startTenant(tenant)
		}
		started.check()
		started.scheduleFaults(start)
	})
	if started.err != nil {
		return nil, started.err
	}
	started.network.Run(start + scenario.Seconds)
	started.exclusively(started.finish)
	if started.sockets != nil {
		started.stopHost(0)
		started.sockets.Stop()
	}
	return &started.result, started.err
}

func newHostedRun(scenario HostedScenario) (*hostedRun, error) {
	parsed, err := settings.ParseHost("host.xml", []byte(HostSettings))
	if err != nil {
		return nil, err
	}
	if scenario.Configure != nil {
		scenario.Configure(parsed)
	}
	created := &hostedRun{scenario: scenario, settings: parsed, random: rand.New(rand.NewPCG(scenario.Seed, hostedStream))}
	parsed.ParseTenant = created.parseTenant
	if scenario.Log != nil {
		parsed.Log = func(name tenancy.Name) *slog.Logger { return scenario.Log.With("tenant", string(name)) }
	}
	for range max(scenario.Hosts, 1) {
		instance := &hostInstance{store: scenario.Store}
		if instance.store == nil {
			instance.store = &store.MemoryTenantStore{}
		}
		created.hosts = append(created.hosts, instance)
	}
	if scenario.Sockets {
		created.sockets = socketnet.New(eventloop.Clock())
		created.sockets.SetZone(firstHostAddr, 0)
		created.network = created.sockets
	} else {
		created.virtual = simnet.New(scenario.Seed, virtualStartSeconds)
		created.network = created.virtual
	}
	return created, nil
}

// parseTenant parses a tenant's settings, without the guards that the scenario disables.
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

// startHosts starts the hosts, and creates the tenants when several hosts have elected a leader.
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
	if len(r.hosts) > 1 { // until all know of all tenants
		r.network.Run(start + 2*electionSeconds)
	}
}

// check calls the tenants' invariant checkers again and again.
func (r *hostedRun) check() {
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
	r.network.At(now+checkIntervalSeconds, r.check)
}
