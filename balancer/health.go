package balancer

import "snowquay/internal/core/waterfill"

const (
	// slowStartTime is the duration in seconds of the slow start of a server that this coordinator has
	// just discovered.
	slowStartTime = 5.0
	// reconnectSettleTime is the time in seconds for which a reconnected proxy may still eject servers. 2
	// to 8 s are usual.
	reconnectSettleTime = 8.0
	// safeIntakeFactor is the multiple of its usual completion rate that a server can safely handle:
	// servers usually run at about 0.6 of their capacity.
	safeIntakeFactor = 1.6
)

// warmupFraction returns the fraction of its capacity that a server is guaranteed to have at the given
// time after its start.
func (b *Balancer) warmupFraction(now float64, srv *server) float64 {
	age := now - srv.Started
	if age < 0 {
		age = now - srv.discoveredAt // the listed start is in the future, so it cannot be right
	}
	if srv.Started > 0 && age < b.guarantees.WarmupDuration {
		start := b.guarantees.WarmupStartFraction
		return start + (1-start)*age/b.guarantees.WarmupDuration
	}
	return 1
}

// isWarm reports whether the server has completed its warm-up.
func (b *Balancer) isWarm(now float64, srv *server) bool {
	return b.warmupFraction(now, srv) >= 1
}

// slowStartFraction returns the fraction of an average intake that a server may get. It is limited by the
// warm-up and by the time since this coordinator discovered the server.
func (b *Balancer) slowStartFraction(now float64, srv *server) float64 {
	ramp := b.guarantees.WarmupStartFraction + (now-srv.discoveredAt)/slowStartTime
	return min(b.warmupFraction(now, srv), ramp)
}

// safeIntake returns the intake in requests per second that a server can safely handle.
func (b *Balancer) safeIntake(now float64, srv *server) float64 {
	fraction := b.warmupFraction(now, srv)
	if fraction < 1 {
		if b.mayBeEjecting(now) {
			return 0 // a proxy that has ejected all others would send all requests to this server
		}
		return fraction * b.completionRates.Mean() * min(safeIntakeFactor, b.guarantees.OverloadFactor/2)
	}
	usual := srv.completionRates.Mean()
	if srv.onTime || srv.completionRates.Count() == 0 {
		usual = max(usual, b.completionRates.Mean())
	}
	return safeIntakeFactor * usual
}

// mayBeEjecting reports whether the outlier detection of proxies may have ejected servers: many attempts
// fail, or proxies are disconnected or have just reconnected.
func (b *Balancer) mayBeEjecting(now float64) bool {
	if b.dataPlane.EjectAfterFailures <= 0 {
		return false
	}
	return b.highFailureRate || len(b.disconnected) > 0 || now-b.reconnectedAt < reconnectSettleTime
}

// boundIntakes limits the intake of each candidate to its safe intake, and distributes the excess over the
// other candidates in proportion to their intakes. If all candidates are at their limits, the warm ones
// share the rest. This prevents the loss of some servers from overloading the others, especially warming
// ones.
func boundIntakes(candidates []candidate, attemptRate float64) {
	total := 0.0
	warmTotal := 0.0
	consumers := make([]waterfill.Consumer, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		consumers[i] = waterfill.Consumer{Demand: c.intake, Limit: c.safeIntake}
		total += c.safeIntake
		if c.warm {
			warmTotal += c.safeIntake
		}
	}
	factor := waterfill.Factor(consumers, attemptRate)
	for i := range candidates {
		c := &candidates[i]
		c.intake = min(factor*c.intake, c.safeIntake)
		if c.warm && total < attemptRate && warmTotal > 0 {
			c.intake *= 1 + (attemptRate-total)/warmTotal
		}
	}
}
