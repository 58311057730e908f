package scenario

import (
	"fmt"
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/emulator"
)

const (
	floodStart     = 1.0 / 3   // fraction of the scenario after which the flood begins
	drainStart     = 0.45      // fraction of the scenario after which the first drain begins
	drainSpread    = 0.1       // fraction of the scenario over which the drains of the tenants begin
	killStart      = 0.25      // fraction of the scenario after which hosts are killed
	killSpread     = 0.6       // fraction of the scenario over which hosts are killed
	removeStart    = 0.5       // fraction of the scenario after which a tenant is removed
	recreateSlack  = 0.5       // seconds between the end of the quarantine of a removed tenant's name and its reuse
	floodAddrIndex = 240       // index of the address that a flood comes from, among those of the tenant's relays
	floodRelayUID  = "relay-0" // UID that a flood uses, of the flooding tenant and of the one it names
)

// atFraction calls do when the given fraction of the scenario has passed.
func (r *hostedRun) atFraction(start, fraction float64, do func()) {
	r.network.At(start+fraction*r.scenario.Seconds, do)
}

func (r *hostedRun) scheduleFaults(start float64) {
	scenario := r.scenario
	if scenario.Flood >= 0 && scenario.includes(scenario.Flood) {
		r.atFraction(start, floodStart, func() { r.startFlood(scenario.Flood) })
	}
	if scenario.Drains {
		for i, tenant := range r.tenants {
			r.atFraction(start, drainStart+drainSpread*float64(i)/float64(len(r.tenants)), func() { r.drainServer(tenant) })
		}
	}
	if scenario.Restart > 0 {
		r.network.At(start+scenario.Restart, func() { r.restartHost(0) })
	}
	for i := range scenario.Kills {
		fraction := killStart + killSpread*(float64(i)+0.5*r.random.Float64())/float64(scenario.Kills)
		r.atFraction(start, fraction, r.restartRandomHost)
	}
	if scenario.Remove >= 0 && scenario.includes(scenario.Remove) {
		r.scheduleRemoval(start)
	}
}

// restartRandomHost kills a random host and starts it again, unless a host is down already.
func (r *hostedRun) restartRandomHost() {
	chosen := r.random.IntN(len(r.hosts))
	if slices.ContainsFunc(r.hosts, func(instance *hostInstance) bool { return !instance.running }) {
		return
	}
	r.restartHost(chosen)
}

// scheduleRemoval schedules the removal of a tenant, and its creation when its name may be used again.
func (r *hostedRun) scheduleRemoval(start float64) {
	removed := r.tenants[0]
	for _, tenant := range r.tenants {
		if tenant.number == r.scenario.Remove {
			removed = tenant
		}
	}
	r.atFraction(start, removeStart, func() {
		removed.checker.CoordinatorDown()
		removed.checker.ForgetDrains()
		r.changeTenant(tenancy.Command{Kind: tenancy.Remove, Name: removed.name})
	})
	r.network.At(start+removeStart*r.scenario.Seconds+tenancy.NameQuarantine+recreateSlack, func() {
		text := r.scenario.TenantSettings(removed.number)
		r.changeTenant(tenancy.Command{Kind: tenancy.Create, Name: removed.name, Settings: text})
	})
}

// drainServer requests the drain of a tenant's last server from a host, as the administration API does.
func (r *hostedRun) drainServer(tenant *hostedTenant) {
	server := tenantServer(tenant.number, r.scenario.Servers-1)
	r.onRunningHost(func(now float64, host *coordinator.Host) {
		host.Drain(now, tenant.name, balancer.Server(server.String()), true, func(ok bool) {
			if ok {
				tenant.drainedAt = r.network.Now()
				tenant.checker.DrainChanged(r.network.Now(), server, true)
				return
			}
			killsHosts := len(r.hosts) > 1 && r.scenario.Kills > 0 // a killed host may leave the request unanswered
			if !killsHosts {
				r.addProblem("%s: drain refused", tenant.name)
			}
		})
	})
}

// startFlood starts a flood by a tenant. The flood also uses the names of the next tenant and of its relay.
func (r *hostedRun) startFlood(tenant int) {
	name := tenantName(tenant)
	victim := tenantName((tenant + 1) % max(r.scenario.Tenants, 2))
	flood := &emulator.FloodGenerator{
		SASP:         netip.AddrPortFrom(firstHostAddr, hostSASPPort),
		HTTP:         netip.AddrPortFrom(firstHostAddr, hostHTTPPort),
		Measurements: netip.AddrPortFrom(firstHostAddr, hostMeasurementsPort),
		UID:          name.UID(floodRelayUID),
		OtherUID:     victim.UID(floodRelayUID),
		User:         string(name),
		Key:          measurementsKey(tenant),
		OtherUser:    string(victim),
		Class:        "search",
		Rate:         r.scenario.FloodRate,
		Server:       tenantServer(tenant, 0),
		Seed:         r.scenario.Seed,
	}
	r.addHost(netip.AddrPortFrom(tenantRelay(tenant, floodAddrIndex), 0), 0, flood, false)
}

func measurementsKey(tenant int) string { return fmt.Sprintf("measurements-%03d", tenant) }
