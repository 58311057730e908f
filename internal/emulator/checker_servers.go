package emulator

import (
	"net/netip"

	"snowquay/balancer"
)

// observedServer is the state of a server as observed by the checker. Times are clock times of the scenario in seconds.
type observedServer struct {
	startedAt         float64
	up                bool // whether it is running
	registeredAt      float64
	registered        bool    // whether it is registered over at least one open connection
	disconnectedSince float64 // 0 if it is registered, or has not been since the last CoordinatorDown
	draining          bool
	withdrawnAt       float64 // time at which the coordinator knew that it drains or has left; 0 for a server in service
}

// serverState returns the state of a server. It adds an unknown server.
func (ic *InvariantChecker) serverState(address netip.AddrPort) *observedServer {
	server := ic.servers[address]
	if server == nil {
		server = &observedServer{}
		ic.servers[address] = server
	}
	return server
}

func (ic *InvariantChecker) serverStarted(address netip.AddrPort, startedAt float64) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	server := ic.serverState(address)
	server.up = true
	server.startedAt = startedAt
}

func (ic *InvariantChecker) serverRegistered(now float64, address netip.AddrPort) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	server := ic.serverState(address)
	if !server.registered {
		server.registeredAt = now
	}
	server.registered = true
	server.disconnectedSince = 0
	if !server.draining {
		server.withdrawnAt = 0
	}
}

func (ic *InvariantChecker) serverDisconnected(now float64, address netip.AddrPort) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.serverState(address).markDisconnected(now)
}

func (s *observedServer) markDisconnected(now float64) {
	if s.registered {
		s.registered = false
		s.disconnectedSince = now
	}
}

// ServerDown records that the scenario stopped a server.
func (ic *InvariantChecker) ServerDown(now float64, address netip.AddrPort) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	server := ic.serverState(address)
	server.up = false
	server.markDisconnected(now)
}

// DrainChanged records the start or the end of a server's drain.
func (ic *InvariantChecker) DrainChanged(now float64, address netip.AddrPort, draining bool) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	server := ic.serverState(address)
	server.draining = draining
	if !draining {
		server.withdrawnAt = 0
		return
	}
	if server.withdrawnAt == 0 {
		server.withdrawnAt = now
	}
}

// ForgetDrains records that all drains have ended because the coordinator that stored them was allowed to lose them.
func (ic *InvariantChecker) ForgetDrains() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for _, server := range ic.servers {
		server.draining = false
		server.withdrawnAt = 0
	}
}

// Servers returns all servers that an emulated program reported or sent requests to, in no particular order.
func (ic *InvariantChecker) Servers() []netip.AddrPort {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	var servers []netip.AddrPort
	for address := range ic.servers {
		servers = append(servers, address)
	}
	return servers
}

// requestExecuted checks the second rule: a request that is not idempotent is executed at most once.
func (ic *InvariantChecker) requestExecuted(now float64, address netip.AddrPort, id uint64, class Class) {
	if class.Request.Idempotency == balancer.Idempotent {
		return
	}
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.executedBy[id] = append(ic.executedBy[id], address)
	if len(ic.executedBy[id]) > 1 {
		ic.duplicateEffects++
		ic.recordViolation(ruleDuplicateEffect, now, "a %s query took effect at %v", class.Name, ic.executedBy[id])
	}
}

// updateSlackSeconds is the time allowed for a registration to be handled by a control round and to reach a relay.
const updateSlackSeconds = 0.1

// senderKnowsServer reports whether a request that arrives at a server now comes from a relay that received a message
// after the server registered, or whose coordinator has known the server for longer than the drain deadline.
func (ic *InvariantChecker) senderKnowsServer(now float64, from netip.Addr, address netip.AddrPort) bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	server := ic.serverState(address)
	for _, relay := range ic.relays {
		if relay.host != from || relay.joinedAt <= 0 || !server.registered {
			continue
		}
		if now-server.registeredAt > ic.rules.Guarantees.DrainDeadline {
			return true
		}
		count := len(relay.messageTimes)
		return count > 0 && relay.messageTimes[count-1] > server.registeredAt+ic.rules.ObservationSlack+updateSlackSeconds
	}
	return false
}

// minAvoidableShare is the share of the work at a server, sent by relays that could know of it, at which an overload counts
// as avoidable.
const minAvoidableShare = 2.0 / 3

// serverOverloaded checks the fourth rule: relays that could know of a server do not overload it while it warms up.
// avoidableShare is the share of the work that such relays sent.
func (ic *InvariantChecker) serverOverloaded(now float64, address netip.AddrPort, avoidableShare float64) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if avoidableShare < minAvoidableShare {
		ic.unavoidableOverloads++
		return
	}
	ic.overloads++
	ic.recordViolation(ruleWarmupOverload, now, "%s was pushed over, %.1f s after its start", address, now-ic.serverState(address).startedAt)
}
