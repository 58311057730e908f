package balancer

import "math"

const (
	// gainRatio is the ratio q/r of the regulator: the cost of an error in work in process relative to the
	// cost of a correction.
	gainRatio = 0.2
	// errorDeadband is the fraction of the target below which an error is not corrected.
	errorDeadband = 1.0 / 5.0
	// maxIntakeGrowth is the maximum ratio of the new intake to the completion rate.
	maxIntakeGrowth = 2
	// minIntakeBase divides the mean completion rate of the fleet. The result is the rate that any server
	// may grow from, so that a server without completions is tried again.
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

// serverEstimate is the estimate of one server from its samples. A failed attempt counts as in process
// for the duration of the latency objective. The zero value means that nothing is known.
type serverEstimate struct {
	completionRate       float64 // requests per second
	recentCompletionRate float64
	inProcess            float64 // mean number of requests in process
	recentInProcess      float64
	successFraction      float64 // fraction of its attempts
}

// fleetEstimate is the sum over all servers that are ready and have completed their slow start.
type fleetEstimate struct {
	servers        float64
	completionRate float64
	inProcess      float64
	// Totals of those with a low latency: their failures are not the fault of a single server.
	calmAttempts  float64
	calmSucceeded float64
}

// regulate sets the intake of each server to its completion rate less the gain times its excess work in
// process, per step. The excess is relative to the mean work in process of the fleet; the step is the
// time in which the fleet completes that mean.
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
			rate = max(rate, estimate.recentCompletionRate) // its weight has increased since
		}
		growthBase := max(rate, fleet.completionRate/fleet.servers/minIntakeBase)
		srv.intake = min(max(rate-gain*excess/step, 0), maxIntakeGrowth*growthBase)
	}
}

// excess is the work in process above the target, negative if below. An error that the recent samples
// no longer show is not corrected again. Missing work counts in proportion to the success fraction,
// because a server that fails immediately has little work in process.
func (e *serverEstimate) excess(target float64) float64 {
	over := max(min(e.inProcess, e.recentInProcess)-target, 0)
	missing := min(max(e.inProcess, e.recentInProcess)-target, 0)
	excess := over + missing*e.successFraction
	if math.Abs(excess) < errorDeadband*target {
		return 0
	}
	return excess
}

// estimateServers returns the estimate of each server, in server order, and that of the fleet. Delisted
// servers that complete nothing any more are marked as removed.
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
