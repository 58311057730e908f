package balancer

import (
	"math"
	"slices"
)

const (
	// averagingPeriods is the number of report periods, or of samples of a zone, that averages go over.
	averagingPeriods = 5
	// recentSeconds is the time that recent rates cover: some ten attempts at usual loads.
	recentSeconds = 1.5
	// minAttempts is the number of attempts below which samples prove nothing: one failure in three is
	// common by chance. Half of it is enough where nothing failed.
	minAttempts = 4.0
)

// recordUpstreams adds what proxies met at the servers to the servers' samples.
func (b *Balancer) recordUpstreams(now float64, reports []UpstreamReport) {
	for _, report := range reports {
		srv := b.serverByAddress[report.Server]
		if srv == nil || now < srv.ignoreReportsUntil {
			continue
		}
		if report.Attempts > 0 {
			b.reportsPending = true
			srv.samples = append(srv.samples, b.newSample(now, report))
		}
	}
}

// newSample takes over a report. More failures than attempts count as all of them.
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

// recordDemands averages the demand of each proxy. A period without requests brings no report, so a
// report weighs by the time that it covers.
func (b *Balancer) recordDemands(reports []DemandReport) {
	for _, report := range reports {
		p := b.proxyByID[report.Proxy]
		if p == nil || int(report.Class) >= len(b.classes) {
			continue
		}
		if report.Interval > 0 {
			decay := math.Exp(-report.Interval / (averagingPeriods * b.reportPeriod))
			rate := report.Requests / report.Interval
			p.demand[report.Class] += (rate - p.demand[report.Class]) * (1 - decay)
		}
	}
}

// averageRates are the server's rates over the latest samples of each zone. Samples are expected up to
// expectedAt: a zone's samples that stay out although others have come count as silence.
func (s *server) averageRates(expectedAt float64) trafficRates {
	return s.rates(math.Inf(1), expectedAt)
}

// recentRates are the server's rates over the last seconds.
func (s *server) recentRates(expectedAt float64) trafficRates {
	return s.rates(recentSeconds, expectedAt)
}

// rates are the server's rates over as many samples of each zone as cover some seconds,
// averagingPeriods at most.
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

// sumZone adds up the samples of the newest one's zone, from the newest on back.
func (s *server) sumZone(newest int, seconds, expectedAt float64) sample {
	zone := s.samples[newest].zone
	silence := max(expectedAt-s.samples[newest].reportedAt, 0)
	total := sample{zone: zone, interval: silence}
	count := 0
	for i := newest; i >= 0 && count < averagingPeriods && total.interval < seconds; i-- {
		if s.samples[i].zone == zone {
			total.add(&s.samples[i])
			count++
		}
	}
	return total
}

// add adds a sample of the same zone to a sum.
func (total *sample) add(other *sample) {
	total.attempts += other.attempts
	total.succeeded += other.succeeded
	total.failed += other.failed
	total.busySeconds += other.busySeconds
	total.interval += other.interval
}

// add adds the sum of one zone's samples.
func (r *trafficRates) add(zone sample) {
	r.attempts += zone.attempts / zone.interval
	r.succeeded += zone.succeeded / zone.interval
	r.failed += zone.failed / zone.interval
	r.inProcess += zone.busySeconds / zone.interval
	r.attemptCount += zone.attempts
}

// conclusive tells whether there were enough attempts to judge a server by.
func (r trafficRates) conclusive() bool {
	if r.failed == 0 {
		return r.attemptCount >= minAttempts/2
	}
	return r.attemptCount >= minAttempts
}
