package balancer

import (
	"math"
	"slices"
)

const (
	// averagingPeriods is the number of samples of each zone that are averaged, and the number of report
	// periods over which demand is averaged.
	averagingPeriods = 5
	// maxZoneSamples is the maximum number of samples of a zone that are kept for a server. Usually the age of
	// samples keeps their number far below.
	maxZoneSamples = 64
	// recentSeconds is the time in seconds that recent rates cover: about ten attempts at usual loads.
	recentSeconds = 1.5
	// minAttempts is the number of attempts below which samples are inconclusive, because one failure in
	// three is common by chance. Half as many are sufficient if none failed.
	minAttempts = 4.0
)

// recordUpstreams adds samples from upstream reports to the servers.
func (b *Balancer) recordUpstreams(now float64, reports []UpstreamReport) {
	for _, report := range reports {
		srv := b.serverByAddress[report.Server]
		if srv == nil || now < srv.ignoreReportsUntil || !report.Plausible() {
			continue
		}
		if report.Attempts > 0 {
			b.reportsPending = true
			srv.addSample(b.newSample(now, report))
		}
	}
}

// addSample adds a sample. If its zone has more than maxZoneSamples then, the oldest one is dropped.
func (s *server) addSample(added sample) {
	s.samples = append(s.samples, added)
	sameZone := func(other sample) bool { return other.zone == added.zone }
	count := 0
	for _, other := range s.samples {
		if sameZone(other) {
			count++
		}
	}
	if count > maxZoneSamples {
		oldest := slices.IndexFunc(s.samples, sameZone)
		s.samples = slices.Delete(s.samples, oldest, oldest+1)
	}
}

// newSample converts a report to a sample. If the report has more failures than attempts, all attempts
// count as failed.
func (b *Balancer) newSample(now float64, report UpstreamReport) sample {
	succeeded := max(report.Attempts-report.Failed, 0)
	return sample{
		zone:        report.Zone,
		reportedAt:  now,
		interval:    max(report.Interval, b.reportPeriod/2),
		attempts:    report.Attempts,
		succeeded:   succeeded,
		failed:      report.Attempts - succeeded,
		busySeconds: succeeded * report.Latency,
	}
}

// recordDemands updates the demand of each proxy. This is an exponential moving average that is weighted by
// the interval of the reports, because a period without requests produces no report.
func (b *Balancer) recordDemands(reports []DemandReport) {
	for _, report := range reports {
		p := b.proxyByID[report.Proxy]
		if p == nil || int(report.Class) >= len(b.classes) || !report.Plausible() {
			continue
		}
		decay := math.Exp(-report.Interval / (averagingPeriods * b.reportPeriod))
		rate := report.Requests / report.Interval
		p.demand[report.Class] += (rate - p.demand[report.Class]) * (1 - decay)
	}
}

// averageRates returns the rates over the latest samples of each zone. If the samples of a zone end
// before expectedAt, the time in between counts as time without traffic.
func (s *server) averageRates(expectedAt float64) trafficRates {
	return s.rates(math.Inf(1), expectedAt)
}

// recentRates returns the rates over the last recentSeconds.
func (s *server) recentRates(expectedAt float64) trafficRates {
	return s.rates(recentSeconds, expectedAt)
}

// rates returns the rates over the latest samples of each zone that cover the given time, at most
// averagingPeriods per zone.
func (s *server) rates(seconds, expectedAt float64) trafficRates {
	var rates trafficRates
	for newest := range s.samples {
		if s.isNewestOfZone(newest) {
			rates.add(s.sumZone(newest, seconds, expectedAt))
		}
	}
	return rates
}

func (s *server) isNewestOfZone(index int) bool {
	zone := s.samples[index].zone
	later := s.samples[index+1:]
	return !slices.ContainsFunc(later, func(other sample) bool { return other.zone == zone })
}

// sumZone returns the sum of the samples of one zone, starting at the given newest sample and going
// backwards.
func (s *server) sumZone(newest int, seconds, expectedAt float64) sample {
	zone := s.samples[newest].zone
	uncovered := max(expectedAt-s.samples[newest].reportedAt, 0)
	total := sample{zone: zone, interval: uncovered}
	count := 0
	for i := newest; i >= 0 && count < averagingPeriods && total.interval < seconds; i-- {
		if s.samples[i].zone == zone {
			total.add(&s.samples[i])
			count++
		}
	}
	return total
}

// add adds the counts and the interval of another sample of the same zone.
func (total *sample) add(other *sample) {
	total.attempts += other.attempts
	total.succeeded += other.succeeded
	total.failed += other.failed
	total.busySeconds += other.busySeconds
	total.interval += other.interval
}

// add converts the total of one zone to rates and adds them.
func (r *trafficRates) add(zone sample) {
	r.attempts += zone.attempts / zone.interval
	r.succeeded += zone.succeeded / zone.interval
	r.failed += zone.failed / zone.interval
	r.inProcess += zone.busySeconds / zone.interval
	r.attemptCount += zone.attempts
}

// conclusive reports whether there are enough attempts to assess a server.
func (r trafficRates) conclusive() bool {
	if r.failed == 0 {
		return r.attemptCount >= minAttempts/2
	}
	return r.attemptCount >= minAttempts
}
