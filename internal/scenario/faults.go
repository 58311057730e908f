package scenario

import (
	"net/netip"

	"snowquay/internal/env/simnet"
	"snowquay/internal/settings"
)

// growSteps is the number of steps in which a "grow" fault raises the load.
const growSteps = 20

// faultHandlers has by the kind of a fault the function that begins it and schedules its end.
var faultHandlers = map[string]func(*run, settings.Fault){
	"slow": func(r *run, fault settings.Fault) {
		r.setDuringFault(fault, &r.servers[fault.Server].SlowdownFactor, 1)
	},
	"fast_errors": func(r *run, fault settings.Fault) {
		r.setDuringFault(fault, &r.servers[fault.Server].ErrorProbability, 0)
	},
	"answer_lost": func(r *run, fault settings.Fault) {
		r.setDuringFault(fault, &r.servers[fault.Server].ResponseLossProbability, 0)
	},
	"heavy_tail": func(r *run, fault settings.Fault) {
		r.setDuringFault(fault, &r.servers[fault.Server].HeavyTailProbability, 0)
	},
	"ageing": func(r *run, fault settings.Fault) {
		r.setDuringFault(fault, &r.servers[fault.Server].AgingPerRequest, 0)
	},
	"conn_squeeze": func(r *run, fault settings.Fault) {
		r.setDuringFault(fault, &r.servers[fault.Server].ConnectionCapacityFraction, 0)
	},
	"shared_slow":  (*run).slowFailureDomain,
	"hang":         (*run).hangServer,
	"crash":        (*run).crashServer,
	"mass_restart": (*run).restartFailureDomain,
	"vanish":       (*run).isolateServer,
	"drain":        (*run).drainServer,

	"coordinator_restart": (*run).restartCoordinator,
	"coordinator_pause":   (*run).pauseCoordinator,
	"coordinator_hidden":  (*run).isolateCoordinator, // isolates the coordinator from relays and servers
	"coordinator_alone":   (*run).isolateCoordinator, // isolates the coordinator from the other coordinators

	"balancer_stall":   func(r *run, fault settings.Fault) { r.relayHosts[fault.Proxy].Freeze(fault.Duration) },
	"balancer_deaf":    (*run).ignoreUpdates,
	"balancer_restart": (*run).killRelay,
	"reconnect":        func(r *run, fault settings.Fault) { r.relays[fault.Proxy].DropConnection(r.network.Now()) },
	"false_reports": func(r *run, fault settings.Fault) {
		r.setDuringFault(fault, &r.relays[fault.Proxy].FalseFailureFraction, 0)
	},
	"give_up":      (*run).shortenPatience,
	"demand":       (*run).multiplyLoad,
	"grow":         (*run).growLoad,
	"report_late":  (*run).disturbReports,
	"reports_stop": (*run).disturbReports,

	"zone_cut":  (*run).cutZone,
	"clock_gap": (*run).skipTime,
}

// injectFault begins a fault and schedules its end.
func (r *run) injectFault(fault settings.Fault) {
	if r.injectProxyFault(fault) {
		return
	}
	if handle := faultHandlers[fault.Kind]; handle != nil {
		handle(r, fault)
	}
}

// setDuringFault sets a value to the fault's factor, and back to normal when the fault ends.
func (r *run) setDuringFault(fault settings.Fault, value *float64, normal float64) {
	*value = fault.Factor
	r.after(fault.Duration, func() { *value = normal })
}

func (r *run) slowFailureDomain(fault settings.Fault) {
	for i, server := range r.scenario.Coordinator.Site.Servers {
		if int(server.FailureDomain) == fault.FailureDomain {
			r.setDuringFault(fault, &r.servers[i].SlowdownFactor, 1)
		}
	}
}

func (r *run) hangServer(fault settings.Fault) {
	server := r.servers[fault.Server]
	server.Hanging = true
	r.after(fault.Duration, func() { server.Hanging = false })
}

func (r *run) crashServer(fault settings.Fault) {
	r.killServer(fault.Server)
	r.after(fault.Duration, func() { r.restartServer(fault.Server) })
}

func (r *run) restartFailureDomain(fault settings.Fault) {
	for i, server := range r.scenario.Coordinator.Site.Servers {
		if int(server.FailureDomain) == fault.FailureDomain {
			r.killServer(i)
			r.after(fault.Duration, func() { r.restartServer(i) })
		}
	}
}

// isolateServer isolates a server without resetting its connections, in virtual time only. When the fault ends, the
// server is restarted as a new process.
func (r *run) isolateServer(fault settings.Fault) {
	isolated, ok := r.serverHosts[fault.Server].(*simnet.Host)
	if !ok {
		return
	}
	isolated.Isolate(func(netip.Addr) bool { return true })
	r.checker.ServerDown(r.network.Now(), r.servers[fault.Server].Addr)
	r.after(fault.Duration, func() {
		isolated.Kill()
		isolated.Isolate(nil)
		r.restartServer(fault.Server)
	})
}

func (r *run) drainServer(fault settings.Fault) {
	r.startAgent(fault.Server, true)
	if fault.Duration > 0 {
		r.after(fault.Duration, func() { r.startAgent(fault.Server, false) })
	}
}

// targetCoordinator returns the index of the coordinator that a fault concerns.
func (r *run) targetCoordinator(fault settings.Fault) int {
	return max(fault.Server, 0) % len(r.coordinators)
}

func (r *run) restartCoordinator(fault settings.Fault) {
	i := r.targetCoordinator(fault)
	r.takeovers = append(r.takeovers, takeover{stoppedAt: r.network.Now()})
	r.stopCoordinator(i)
	r.after(fault.Duration, func() { r.startCoordinator(i) })
}

func (r *run) pauseCoordinator(fault settings.Fault) {
	r.coordinators[r.targetCoordinator(fault)].host.Freeze(fault.Duration)
}

// isolateCoordinator isolates a coordinator either from the other coordinators or from everything else, in virtual
// time only.
func (r *run) isolateCoordinator(fault settings.Fault) {
	isolated, ok := r.coordinators[r.targetCoordinator(fault)].host.(*simnet.Host)
	if !ok {
		return
	}
	peers := map[netip.Addr]bool{}
	for _, address := range r.coordinatorAddrs(r.scenario.Coordinator.SASP) {
		peers[address.Addr()] = true
	}
	fromPeers := fault.Kind == "coordinator_alone"
	isolated.Isolate(func(address netip.Addr) bool { return peers[address] == fromPeers })
	r.after(fault.Duration, func() { isolated.Isolate(nil) })
}

// ignoreUpdates makes a relay ignore updates. It also changes the relay's load: with little traffic the fault is
// harder to detect, and does little harm.
func (r *run) ignoreUpdates(fault settings.Fault) {
	relay := r.relays[fault.Proxy]
	relay.IgnoreUpdates(true)
	relay.LoadFactor = fault.Factor
	r.after(fault.Duration, func() {
		relay.IgnoreUpdates(false)
		relay.LoadFactor = 1
	})
}

func (r *run) killRelay(fault settings.Fault) {
	r.relayHosts[fault.Proxy].Kill()
	r.checker.RelayDown(r.relays[fault.Proxy].UID)
	r.after(fault.Duration, func() { r.restartRelay(fault.Proxy) })
}

func (r *run) shortenPatience(fault settings.Fault) {
	for _, relay := range r.relays {
		r.setDuringFault(fault, &relay.PatienceFraction, relay.PatienceFraction)
	}
}

func (r *run) multiplyLoad(fault settings.Fault) {
	for _, relay := range r.relays {
		r.setDuringFault(fault, &relay.LoadFactor, 1)
	}
}

func (r *run) growLoad(fault settings.Fault) {
	for step := range growSteps {
		r.after(fault.Duration*float64(step)/growSteps, func() {
			r.setLoad(1 + (fault.Factor-1)*float64(step+1)/growSteps)
		})
	}
	r.after(fault.Duration, func() { r.setLoad(1) })
}

func (r *run) setLoad(factor float64) {
	for _, relay := range r.relays {
		relay.LoadFactor = factor
	}
}

// disturbReports delays or drops the measurements of all relays.
func (r *run) disturbReports(fault settings.Fault) {
	for _, relayHost := range r.relayHosts {
		relayHost.DisturbDatagrams(fault.Kind == "reports_stop", fault.Factor)
		r.after(fault.Duration, func() { relayHost.DisturbDatagrams(false, 0) })
	}
}

func (r *run) cutZone(fault settings.Fault) {
	zones := len(r.scenario.Coordinator.Site.Zones)
	r.network.Cut(int(fault.Zone), zones, true)
	r.after(fault.Duration, func() { r.network.Cut(int(fault.Zone), zones, false) })
}

// skipTime moves the clock forward without running events, in virtual time only.
func (r *run) skipTime(fault settings.Fault) {
	if r.virtual != nil {
		r.virtual.AdvanceClock(fault.Duration)
	}
}
