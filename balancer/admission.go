package balancer

const (
	// highFailureFraction is the fraction of failed attempts above which some proxies are likely to have
	// ejected a server.
	highFailureFraction = 0.04
	// overloadLatencyFraction is the fraction of the latency objective above which the mean latency
	// indicates an overloaded fleet. The rest of the objective is headroom for variance.
	overloadLatencyFraction = 0.4
	// admissionGrowth is the maximum relative growth of an admitted fraction per second. Growth is limited
	// because reports may be 4 s late.
	admissionGrowth = 0.25
	// admissionGrowthBase is the minimum fraction from which growth is computed, so that recovery from a
	// low admitted fraction does not take longer than the fault.
	admissionGrowthBase = 0.1
	// admissionFeedbackDelay is the time in seconds, in addition to the time between two samples, until
	// reports reflect an admission setting: decision, command, response and report are all delayed.
	admissionFeedbackDelay = 4.0
	// minNewFraction is the lower bound on the fraction of requests that are assumed to be new rather than
	// client retries. Clients retry three or four times.
	minNewFraction = 0.1
)

// serverLoad is the load of one server in the current period.
type serverLoad struct {
	capacity       float64 // requests per second that the server can handle
	completionRate float64 // requests per second
	known          bool    // completionRate has been measured in this period
}

// loadSum is the total load of a set of servers.
type loadSum struct {
	servers        float64
	completionRate float64
	inProcess      float64
}

func (sum *loadSum) add(completionRate, inProcess float64) {
	sum.servers++
	sum.completionRate += completionRate
	sum.inProcess += inProcess
}

// controlAdmission applies the control law of the regulator to the whole fleet: while the mean latency
// exceeds its limit, the admitted rate is the completion rate minus the gain times the excess work in
// process. Classes with the lowest priority weight are rejected first.
func (b *Balancer) controlAdmission(now, expectedAt, gain float64) {
	maxLatency := overloadLatencyFraction * b.latencyObjective
	loads := b.measureLoad(now, expectedAt, gain, maxLatency)
	b.updateCompletionRates(loads)
	smoothing := min(1, b.reportPeriod/(b.sampleCycle+admissionFeedbackDelay))
	for i := range b.admitted {
		fraction := &b.admitted[i]
		fraction.observed += (fraction.wanted - fraction.observed) * smoothing
	}
	if b.overloaded || b.minAdmitted() < 1 {
		b.updateAdmitted(now, loads)
	}
}

// measureLoad returns the load of each server in the order of b.servers. It also updates the attempt
// rate, the failure flag and the overload flag of the fleet.
func (b *Balancer) measureLoad(now, expectedAt, gain, maxLatency float64) []serverLoad {
	loads := make([]serverLoad, len(b.servers))
	var healthy, failing loadSum // failing servers fail at least half of their attempts
	attempts := 0.0
	failed := 0.0
	for i, srv := range b.servers {
		rates := srv.recentRates(expectedAt)
		attempts += rates.attempts
		failed += rates.failed
		if srv.Phase != Ready {
			continue
		}
		load := &loads[i]
		load.capacity = b.safeIntake(now, srv) / safeIntakeFactor
		if !rates.conclusive() || b.slowStartFraction(now, srv) < 1 {
			continue
		}
		completionRate := rates.succeeded
		inProcess := rates.inProcess
		if rates.failed/rates.attempts >= 0.5 {
			inProcess += rates.failed * b.latencyObjective // failures at other servers do not indicate overload
			failing.add(completionRate, inProcess)
		} else {
			healthy.add(completionRate, inProcess)
		}
		srv.onTime = inProcess <= completionRate*maxLatency
		usual := srv.completionRates.Mean()
		excess := inProcess - completionRate*maxLatency
		admissible := max(completionRate, usual) - gain*excess/maxLatency
		*load = serverLoad{
			capacity:       max(admissible, usual/2), // a reduction below half of the usual rate would be temporary
			completionRate: completionRate,
			known:          true,
		}
	}
	b.attemptRate = attempts
	b.highFailureRate = failed > highFailureFraction*attempts
	b.overloaded = isOverloaded(healthy, failing, maxLatency)
	return loads
}

// isOverloaded reports whether the mean latency exceeds maxLatency. Servers that fail most of their
// attempts count only if they are the majority.
func isOverloaded(healthy, failing loadSum, maxLatency float64) bool {
	weight := min(max(failing.servers-healthy.servers, 0), 1)
	inProcess := healthy.inProcess + weight*failing.inProcess
	completionRate := healthy.completionRate + weight*failing.completionRate
	return inProcess > completionRate*maxLatency
}

// updateCompletionRates updates the distributions of usual completion rates. The rate of an overloaded
// server, or of one under restricted load, does not show its capacity, so it is recorded only if it
// exceeds the usual rate.
func (b *Balancer) updateCompletionRates(loads []serverLoad) {
	for i, srv := range b.servers {
		load := &loads[i]
		if !load.known {
			continue
		}
		unrestricted := srv.onTime && b.minAdmitted() >= 1
		if unrestricted || load.completionRate > srv.completionRates.Mean() {
			srv.completionRates.Add(requestRateScale, load.completionRate)
			b.completionRates.Add(requestRateScale, load.completionRate)
		}
	}
}

// updateAdmitted allocates the capacity of the servers to the classes in the order of their priority and
// derives the admitted fraction of each class. Growth is limited because delayed reports reflect earlier
// settings.
func (b *Balancer) updateAdmitted(now float64, loads []serverLoad) {
	requested, newFraction := b.requestedRates(now)
	for _, class := range b.classesByPriority {
		fraction := &b.admitted[class]
		if fraction.wanted < 1 {
			requested[class] *= newFraction
		}
		zones := b.classes[class].AllowedZones
		capacity := 0.0
		for i, srv := range b.servers {
			if srv.inZones(zones) {
				capacity += loads[i].capacity
			}
		}
		growth := max(fraction.wanted, admissionGrowthBase) * (1 + admissionGrowth*b.reportPeriod)
		fraction.wanted = min(1, growth, capacity/max(requested[class], minRequestRate))
		if capacity <= 0 {
			continue
		}
		for i, srv := range b.servers {
			if srv.inZones(zones) {
				loads[i].capacity *= max(0, 1-requested[class]/capacity)
			}
		}
	}
}

// requestedRates returns the requests per second of each class, and the fraction of the requests of
// restricted classes that are new, since rejected requests are retried and rejected again. Proxies that
// joined recently are excluded because reports do not yet cover all of their attempts.
func (b *Balancer) requestedRates(now float64) (rates []float64, newFraction float64) {
	settled := make([]*proxy, 0, len(b.proxies))
	for _, p := range b.proxies {
		if now-p.joinedAt >= admissionFeedbackDelay+b.sampleCycle {
			settled = append(settled, p)
		}
	}
	rates = make([]float64, len(b.classes))
	unrestricted := 0.0
	restricted := 0.0 // admitted requests per second of the restricted classes
	for class := range rates {
		rates[class] = offeredRate(settled, nil, 1<<class)
		observed := b.admitted[class].observed
		if b.dataPlane.Admission == AdmissionFraction && observed < 1 {
			restricted += observed * rates[class]
		} else {
			unrestricted += rates[class]
		}
	}
	if restricted <= 0 {
		return rates, 1
	}
	newFraction = (b.attemptRate - unrestricted) / restricted
	return rates, min(1, max(minNewFraction, newFraction))
}
