package balancer

const (
	// highFailureFraction is the part of all attempts that fail from which on some proxy ejects some
	// server.
	highFailureFraction = 0.04
	// overloadLatencyFraction is the part of the latency objective from which on work that takes longer
	// counts as overload; the rest is for chance.
	overloadLatencyFraction = 0.4
	// admissionGrowth is the part by which an admitted fraction may grow in a second: reports may be 4 s
	// late.
	admissionGrowth = 0.25
	// admissionGrowthBase is the fraction from which it may at least grow, so that recovery does not
	// outlast the fault.
	admissionGrowthBase = 0.1
	// reportTrail is the time in seconds by which reports trail an admission setting, besides the time
	// from one sample to the next: decisions, commands, answers and reports are all on the way.
	reportTrail = 4.0
	// minNewFraction is the least part of all requests that is taken to be new: clients retry three or
	// four times.
	minNewFraction = 0.1
)

// serverLoad is what admission control knows of one server in the present period.
type serverLoad struct {
	capacity       float64 // requests a second that it may be given
	completionRate float64 // requests a second, if known
	known          bool
}

// loadSum sums up the load of some servers.
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

// controlAdmission is the regulator for the fleet as a whole: while its work takes longer than the
// latency objective allows, it admits the completion rate less the gain times the excess work in
// process. The class with the least priority weight is rejected first.
func (b *Balancer) controlAdmission(now, expectedAt, gain float64) {
	maxLatency := overloadLatencyFraction * b.latencyObjective
	loads := b.measureLoad(now, expectedAt, gain, maxLatency)
	b.learnCompletionRates(loads)
	trail := min(1, b.reportPeriod/(b.sampleCycle+reportTrail))
	for i := range b.admitted {
		fraction := &b.admitted[i]
		fraction.observed += (fraction.wanted - fraction.observed) * trail
	}
	if b.overloaded || b.minAdmitted() < 1 {
		b.updateAdmitted(now, loads)
	}
}

// measureLoad gives the load of each server, in their order, and renews the attempt rate, the failure
// rate and whether the fleet is overloaded.
func (b *Balancer) measureLoad(now, expectedAt, gain, maxLatency float64) []serverLoad {
	loads := make([]serverLoad, len(b.servers))
	var sound, failing loadSum // failing: that lose at least half of their attempts
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
			inProcess += rates.failed * b.latencyObjective // failures are no overload where answers come in time
			failing.add(completionRate, inProcess)
		} else {
			sound.add(completionRate, inProcess)
		}
		srv.onTime = inProcess <= completionRate*maxLatency
		usual := srv.completionRates.Mean()
		excess := inProcess - completionRate*maxLatency
		admissible := max(completionRate, usual) - gain*excess/maxLatency
		*load = serverLoad{
			capacity:       max(admissible, usual/2), // what keeps it from half of the usual will pass
			completionRate: completionRate,
			known:          true,
		}
	}
	b.attemptRate = attempts
	b.highFailureRate = failed > highFailureFraction*attempts
	b.overloaded = isOverloaded(sound, failing, maxLatency)
	return loads
}

// isOverloaded tells whether work takes longer than maxLatency on average. Servers that lose most of
// their attempts count only if most servers do.
func isOverloaded(sound, failing loadSum, maxLatency float64) bool {
	weight := min(max(failing.servers-sound.servers, 0), 1)
	inProcess := sound.inProcess + weight*failing.inProcess
	completionRate := sound.completionRate + weight*failing.completionRate
	return inProcess > completionRate*maxLatency
}

// learnCompletionRates notes what servers usually complete. Under overload or restricted admission they
// only show it where they do more than before.
func (b *Balancer) learnCompletionRates(loads []serverLoad) {
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

// updateAdmitted gives the capacity of the servers to the classes, those with the highest priority
// weight first. Growth is bounded, since late reports show what was admitted before.
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

// requestedRates are the requests a second of each class, and the part of the restricted ones that is
// new: rejected requests are retried and rejected again. Proxies that joined lately are left out, since
// reports do not show all of their attempts yet.
func (b *Balancer) requestedRates(now float64) (rates []float64, newFraction float64) {
	settled := make([]*proxy, 0, len(b.proxies))
	for _, p := range b.proxies {
		if now-p.joinedAt >= reportTrail+b.sampleCycle {
			settled = append(settled, p)
		}
	}
	rates = make([]float64, len(b.classes))
	unrestricted := 0.0
	restricted := 0.0 // what is admitted of the restricted classes
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
