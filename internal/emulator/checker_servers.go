package emulator

import (
	"net/netip"

	"snowquay/balancer"
)

// observedServer is what the checker knows of a server. Times are seconds of the scenario's clock.
type observedServer struct {
	startedAt    float64
	up           bool
	registeredAt float64
	registered   bool    // on a connection that is open
	silentSince  float64 // 0: it is registered, or never was
	draining     bool
	withdrawnAt  float64 // when the coordinator knew that it drains or is gone; 0: it serves
}

// serverState returns the state of a server, which is added if it is new.
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
	server.silentSince = 0
	if !server.draining {
		server.withdrawnAt = 0
	}
}

func (ic *InvariantChecker) serverDisconnected(now float64, address netip.AddrPort) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.serverState(address).markSilent(now)
}

func (s *observedServer) markSilent(now float64) {
	if s.registered {
		s.registered = false
		s.silentSince = now
	}
}

// ServerDown reports that the scenario stopped a server.
func (ic *InvariantChecker) ServerDown(now float64, address netip.AddrPort) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	server := ic.serverState(address)
	server.up = false
	server.markSilent(now)
}

// DrainChanged reports that a server's drain was ordered, or ended.
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

// ForgetDrains reports that all drains have ended, since the coordinator that knew of them lost them rightly.
func (ic *InvariantChecker) ForgetDrains() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for _, server := range ic.servers {
		server.draining = false
		server.withdrawnAt = 0
	}
}

// Servers returns every server that was named or sent to, in no order.
func (ic *InvariantChecker) Servers() []netip.AddrPort {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	var servers []netip.AddrPort
	for address := range ic.servers {
		servers = append(servers, address)
	}
	return servers
}

// requestExecuted judges the second rule: a request with an effect is executed once.
func (ic *InvariantChecker) requestExecuted(now float64, address netip.AddrPort, id uint64, class Class) {
	if class.Request.Idempotency == balancer.Idempotent {
		return
	}
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.executedAt[id] = append(ic.executedAt[id], address)
	if len(ic.executedAt[id]) > 1 {
		ic.duplicateEffects++
		ic.recordViolation(ruleEffect, now, "a %s query took effect at %v", class.Name, ic.executedAt[id])
	}
}

// updateSlackSeconds allows for the time from a server's registration to the control round that takes it, and to a relay.
const updateSlackSeconds = 0.1

// senderKnowsServer tells whether a request that arrives at a server now comes from a relay that was sent a message after
// the server had registered, or whose coordinator has known of the server for the drain deadline.
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

// minKnowingShare is the share of the work that overloads a server from which on the overload was avoidable.
const minKnowingShare = 2.0 / 3

// serverOverloaded judges the fourth rule: no server is overloaded while it warms up by relays that could know of it.
// The share is that of the work which such relays sent.
func (ic *InvariantChecker) serverOverloaded(now float64, address netip.AddrPort, knowingShare float64) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if knowingShare < minKnowingShare {
		ic.unavoidableOverloads++
		return
	}
	ic.overloads++
	ic.recordViolation(ruleWarmup, now, "%s was pushed over, %.1f s after its start", address, now-ic.serverState(address).startedAt)
}
