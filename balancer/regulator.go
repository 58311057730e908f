package balancer

import "math"

const (
	// gainRatio is the ratio q/r of the regulator: the cost of an error in the work in process relative to
	// the cost of a correction.
	gainRatio = 0.2
	// errorDeadband is the fraction of the target below which errors are not corrected.
	errorDeadband = 1.0 / 5.0
	// maxIntakeGrowth is the maximum ratio of the new intake to the completion rate.
	maxIntakeGrowth = 2
	// growthBaseDivisor divides the mean completion rate of the fleet. The result is the minimum rate from
	// which the intake of a server may grow, so that a server without completions is tried again.
	growthBaseDivisor = 4
	// epsilon prevents divisions by zero.
	epsilon = 1e-9
)

// gain returns the regulator gain from the solution S of the Riccati equation of one server for a ratio
// q/r, with r = 1:
//
//	S = (q + sqrt(q^2 + 4qr)) / 2
//	gain = S / (r + S)
func gain(ratio float64) float64 {
	solution := (ratio + math.Sqrt(ratio*ratio+4*ratio)) / 2
	return solution / (1 + solution)
}

// serverEstimate is the estimated state of one server, based on its samples. A failed attempt counts as in
// process for the duration of the latency objective. The zero value means that nothing is known.
type serverEstimate struct {
	completionRate       float64 // requests per second
	recentCompletionRate float64 // the same over the last recentSeconds
	inProcess            float64 // mean number of requests in process
	recentInProcess      float64 // the same over the last recentSeconds
	successFraction      float64 // fraction of successful attempts
}

// fleetEstimate is the sum of the estimates of all servers that are ready and have completed their slow
// start.
type fleetEstimate struct {
	servers        float64
	completionRate float64
	inProcess      float64
	// Totals of the servers with a low latency. Their failures are not caused by a single server.
	lowLatencyAttempts  float64
	lowLatencySucceeded float64
}

// regulate sets the intake of each server to its completion rate minus the gain times its excess work in
// process per step. The excess is relative to the mean work in process of the fleet, and the step is the
// time in which a server completes that mean on average.
func (b *Balancer) regulate(now, expectedAt, gain float64) {
	estimates, fleet := b.estimateServers(now, expectedAt)
	target := fleet.inProcess / max(fleet.servers, 1)
	step := fleet.inProcess / max(fleet.completionRate, epsilon)
	for i, srv := range b.servers {
		estimate := &estimates[i]
		unknown := estimate.successFraction == 0 && estimate.inProcess == 0
		if unknown || target < epsilon {
			continue
		}
		srv.observed = true
		excess := estimate.excess(target)
		rate := estimate.completionRate * min(fleet.lowLatencyAttempts/fleet.lowLatencySucceeded,
			1/max(estimate.successFraction, epsilon))
		if excess < 0 {
			rate = max(rate, estimate.recentCompletionRate) // its weight has increased since the older samples
		}
		growthBase := max(rate, fleet.completionRate/fleet.servers/growthBaseDivisor)
		srv.intake = min(max(rate-gain*excess/step, 0), maxIntakeGrowth*growthBase)
	}
}

// excess returns the work in process above the target, or a negative value if it is below. An error that
// the recent samples no longer show is not corrected again. Missing work counts in proportion to the success
// fraction, because a server whose attempts fail immediately has little work in process.
func (e *serverEstimate) excess(target float64) float64 {
	over := max(min(e.inProcess, e.recentInProcess)-target, 0)
	missing := min(max(e.inProcess, e.recentInProcess)-target, 0)
	excess := over + missing*e.successFraction
	if math.Abs(excess) < errorDeadband*target {
		return 0
	}
	return excess
}

// estimateServers returns the estimate of each server, in the order of b.servers, and that of the fleet.
// Delisted servers that no longer complete any requests are marked as removed.
func (b *Balancer) estimateServers(now, expectedAt float64) ([]serverEstimate, fleetEstimate) {
	estimates := make([]serverEstimate, len(b.servers))
	fleet := fleetEstimate{lowLatencyAttempts: epsilon, lowLatencySucceeded: epsilon}
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
		lowLatency := average.inProcess < overloadLatencyFraction*b.latencyObjective*average.succeeded
		if lowLatency && average.failed < average.attempts/2 {
			fleet.lowLatencyAttempts += average.attempts
			fleet.lowLatencySucceeded += average.succeeded
		}
	}
	return estimates, fleet
}
