package balancer

import "math"

const (
	// gainRatio is q/r of the regulator: the cost of an error in work in process against that of a
	// correction.
	gainRatio = 0.2
	// errorDeadband is the part of the target below which an error is not corrected.
	errorDeadband = 1.0 / 5.0
	// maxIntakeGrowth is the factor by which an intake may exceed the completion rate.
	maxIntakeGrowth = 2
	// minIntakeBase is the divisor of the mean completion rate from which an intake may always grow, so
	// that a server that completes nothing gets a trial.
	minIntakeBase = 4
	// tiny keeps divisors above zero.
	tiny = 1e-9
)

// gain solves the Riccati equation of one server for a ratio q/r, with r = 1:
//
//	S = (q + sqrt(q^2 + 4qr)) / 2
//	gain = S / (r + S)
func gain(ratio float64) float64 {
	solution := (ratio + math.Sqrt(ratio*ratio+4*ratio)) / 2
	return solution / (1 + solution)
}

// serverEstimate is what the samples tell of one server. A failed attempt counts as in process for a
// latency objective. The zero value tells nothing.
type serverEstimate struct {
	completionRate       float64 // requests a second
	recentCompletionRate float64
	inProcess            float64 // mean number of requests in process
	recentInProcess      float64
	successFraction      float64 // of its attempts
}

// fleetEstimate sums up the servers that are ready and have finished their slow start.
type fleetEstimate struct {
	servers        float64
	completionRate float64
	inProcess      float64
	// Of the servers among them that answer in calm time: what they lose is no fault of a single one.
	calmAttempts  float64
	calmSucceeded float64
}

// regulate sets the intake of each server: its completion rate less the gain times its excess work in
// process over the target, per step. The target is the mean work in process; the step is the time in
// which that is done.
func (b *Balancer) regulate(now, expectedAt, gain float64) {
	estimates, fleet := b.estimateServers(now, expectedAt)
	target := fleet.inProcess / max(fleet.servers, 1)
	step := fleet.inProcess / max(fleet.completionRate, tiny)
	for i, srv := range b.servers {
		estimate := &estimates[i]
		unknown := estimate.successFraction == 0 && estimate.inProcess == 0
		if unknown || target == 0 {
			continue
		}
		srv.observed = true
		excess := estimate.excess(target)
		rate := estimate.completionRate * min(fleet.calmAttempts/fleet.calmSucceeded,
			1/max(estimate.successFraction, tiny))
		if excess < 0 {
			rate = max(rate, estimate.recentCompletionRate) // its weight has risen since
		}
		growthBase := max(rate, fleet.completionRate/fleet.servers/minIntakeBase)
		srv.intake = min(max(rate-gain*excess/step, 0), maxIntakeGrowth*growthBase)
	}
}

// excess is the work in process over the target, negative where it is missing. Work that recent samples
// show no more, or no longer miss, is not corrected again. What is missing counts by the part of
// attempts that succeed: a server that fails at once has little in process.
func (e *serverEstimate) excess(target float64) float64 {
	over := max(min(e.inProcess, e.recentInProcess)-target, 0)
	missing := min(max(e.inProcess, e.recentInProcess)-target, 0)
	excess := over + missing*e.successFraction
	if math.Abs(excess) < errorDeadband*target {
		return 0
	}
	return excess
}

// estimateServers gives the estimate of each server, in their order, and that of the fleet. It removes
// servers that a list has dropped once they complete nothing any more.
func (b *Balancer) estimateServers(now, expectedAt float64) ([]serverEstimate, fleetEstimate) {
	estimates := make([]serverEstimate, len(b.servers))
	fleet := fleetEstimate{calmAttempts: tiny, calmSucceeded: tiny}
	for i, srv := range b.servers {
		average := srv.averageRates(expectedAt)
		recent := srv.recentRates(expectedAt)
		recovered := recent.failed == 0 && recent.attemptCount >= minAttempts/2 && average.failed > 0
		if recovered {
			average = recent
		}
		if srv.delisted && average.succeeded == 0 {
			srv.Phase = Removed
		}
		if !average.conclusive() {
			continue
		}
		estimates[i] = serverEstimate{
			completionRate:       average.succeeded,
			recentCompletionRate: recent.succeeded,
			inProcess:            average.inProcess + average.failed*b.latencyObjective,
			recentInProcess:      recent.inProcess + recent.failed*b.latencyObjective,
			successFraction:      average.succeeded / average.attempts,
		}
		if srv.Phase != Ready || b.slowStartFraction(now, srv) < 1 {
			continue
		}
		fleet.servers++
		fleet.completionRate += average.succeeded
		fleet.inProcess += estimates[i].inProcess
		calm := average.inProcess < overloadLatencyFraction*b.latencyObjective*average.succeeded
		if calm && average.failed < average.attempts/2 {
			fleet.calmAttempts += average.attempts
			fleet.calmSucceeded += average.succeeded
		}
	}
	return estimates, fleet
}
