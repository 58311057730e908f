package scenario

import (
	"math/rand/v2"
	"net/netip"

	"snowquay/internal/emulator"
)

func (r *run) serverConfig(i int, warm bool) emulator.ServerConfig {
	config := r.scenario.Coordinator
	server := config.Site.Servers[i]
	domain := r.failureDomains[int(server.FailureDomain)]
	if domain == nil {
		domain = emulator.NewFailureDomain()
		r.failureDomains[int(server.FailureDomain)] = domain
	}
	guarantees := config.Site.Guarantees
	model := r.scenario.Model
	speeds := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
	return emulator.ServerConfig{
		Addr:             netip.MustParseAddrPort(string(server.Server)),
		FailureDomain:    domain,
		Cores:            r.scenario.Cores,
		Speed:            r.scenario.Slowest + (r.scenario.Fastest-r.scenario.Slowest)*speeds.Float64(),
		QueueCapacity:    r.scenario.Queue,
		WarmupFraction:   guarantees.WarmupStartFraction,
		WarmupDuration:   guarantees.WarmupDuration,
		OverloadFactor:   guarantees.OverloadFactor,
		OverloadWindow:   guarantees.OverloadWindow,
		StartsWarm:       warm,
		Coordinators:     r.coordinatorAddrs(config.SASP),
		CollectorPort:    config.Measurements.Port(),
		User:             config.User,
		Key:              config.Key,
		FleetUID:         config.Policy.FleetUID,
		Classes:          r.classes,
		Seed:             r.random.Uint64(),
		MaxConnections:   model.ConnectionLimit,
		ConnectionWork:   model.ConnectionCost,
		KeyCacheDuration: model.KeyCacheDuration,
		KeyCacheSaving:   model.KeyCacheSaving,
		KeyCacheSize:     model.MaxCachedKeys,
		CancelsWork:      model.CancelsWork,
	}
}

func (r *run) newServer(i int, warm bool) *emulator.Server {
	server := emulator.NewServer(r.serverConfig(i, warm), r.checker)
	server.OnOverload = func() {
		r.overloaded[i] = true
		r.after(0, func() { r.killServer(i) })
	}
	return server
}

func (r *run) addServer(i int) {
	server := r.newServer(i, true)
	r.servers = append(r.servers, server)
	r.serverHosts = append(r.serverHosts, r.addHost(server.Addr, int(r.zoneOf(i)), server, false))
}

func (r *run) killServer(i int) {
	r.serverHosts[i].Kill()
	r.checker.ServerDown(r.network.Now(), r.servers[i].Addr)
}

// restartServer restarts a server, which has to warm up again, unless it failed by overload.
func (r *run) restartServer(i int) {
	if r.overloaded[i] {
		return
	}
	r.servers[i] = r.newServer(i, false)
	r.recordError(startProgram(r.serverHosts[i], r.servers[i]))
}
