package balancer

import "snowquay/internal/core/waterfill"

const (
	// slowStartTime is the time in seconds in which a server that is new to this coordinator rises from its
	// start to its full intake.
	slowStartTime = 5.0
	// reconnectSettleTime is the time in seconds for which a proxy that came back may go on ejecting
	// servers; 2 to 8 are usual.
	reconnectSettleTime = 8.0
	// safeIntakeFactor is the multiple of its usual completion rate that a server can surely take: servers
	// usually run at 0.6 of their capacity.
	safeIntakeFactor = 1.6
)

// warmupFraction is the part of its capacity that a server surely has, by the time since it started.
func (b *Balancer) warmupFraction(now float64, srv *server) float64 {
	age := max(now-srv.Started, 0)
	if srv.Started > 0 && age < b.guarantees.WarmupDuration {
		start := b.guarantees.WarmupStartFraction
		return start + (1-start)*age/b.guarantees.WarmupDuration
	}
	return 1
}

// isWarm tells whether a server has its whole capacity.
func (b *Balancer) isWarm(now float64, srv *server) bool {
	return b.warmupFraction(now, srv) >= 1
}

// slowStartFraction is the part of an average intake that a server may get, by its warm-up and by the
// time that it has been known here.
func (b *Balancer) slowStartFraction(now float64, srv *server) float64 {
	ramp := b.guarantees.WarmupStartFraction + (now-srv.discoveredAt)/slowStartTime
	return min(b.warmupFraction(now, srv), ramp)
}

// safeIntake is the intake in requests a second that a server can surely take.
func (b *Balancer) safeIntake(now float64, srv *server) float64 {
	warm := b.warmupFraction(now, srv)
	if warm < 1 {
		if b.mayBeEjecting(now) {
			return 0 // a proxy that ejects servers may send everything to the one it has not met yet
		}
		return warm * b.completionRates.Mean() * min(safeIntakeFactor, b.guarantees.OverloadFactor/2)
	}
	usual := srv.completionRates.Mean()
	if srv.onTime || srv.completionRates.Entries() == 0 {
		usual = max(usual, b.completionRates.Mean())
	}
	return safeIntakeFactor * usual
}

// mayBeEjecting tells whether proxies may be ejecting servers by themselves: many attempts fail, or
// proxies are out of reach or have just come back.
func (b *Balancer) mayBeEjecting(now float64) bool {
	if b.dataPlane.EjectAfterFailures <= 0 {
		return false
	}
	return b.highFailureRate || len(b.disconnected) > 0 || now-b.reconnectedAt < reconnectSettleTime
}

// boundIntakes bounds each candidate's part of the attempts by its safe intake, and gives the excess to
// the others in proportion to theirs. Where all are at their bounds the warm ones share the rest: a
// withdrawal of some servers must not overload the others, least of all those that warm up.
func boundIntakes(candidates []candidate, attemptRate float64) {
	total := 0.0
	warmTotal := 0.0
	takers := make([]waterfill.Taker, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		takers[i] = waterfill.Taker{Want: c.intake, Bound: c.safeIntake}
		total += c.safeIntake
		if c.warm {
			warmTotal += c.safeIntake
		}
	}
	factor := waterfill.Factor(takers, attemptRate)
	for i := range candidates {
		c := &candidates[i]
		c.intake = min(factor*c.intake, c.safeIntake)
		if c.warm && total < attemptRate && warmTotal > 0 {
			c.intake *= 1 + (attemptRate-total)/warmTotal
		}
	}
}
