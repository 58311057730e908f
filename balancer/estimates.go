package balancer

import (
	"slices"

	"snowquay/internal/core/histogram"
)

const (
	// minRequestRate is the rate in requests per second below which a server or a proxy is considered idle.
	minRequestRate = 0.2
	// disconnectedProxyTimeout is the time in seconds after which a disconnected proxy is assumed to be
	// dead. Outages last 5 to 20 s.
	disconnectedProxyTimeout = 30.0
	// minDemandShare is the lower bound on the demand share of a group, relative to an even share: even a
	// group with little demand needs a table that can lose a server.
	minDemandShare = 0.5
)

// requestRateScale is the scale of completion rate histograms, in requests per second. 16 bins cover
// rates up to 130, and the histograms reflect the last half minute to two minutes.
var requestRateScale = histogram.Scale{Min: minRequestRate, Growth: 1.5, HalveAbove: 64}

// endPeriod updates all estimates at the end of a report period, then the intakes and the admitted
// fractions.
func (b *Balancer) endPeriod(now float64) {
	b.periodEndedAt = now
	b.reportsPending = false
	newest := b.dropOldSamples(now)
	b.dropRemovedServers()
	b.sampleCycle = max(b.reportPeriod, newest.weightedIntervals/max(newest.attempts, 1))
	expectedAt := newest.reportTimes/max(newest.samples, 1) - b.sampleCycle/2
	b.updateDemandShares(now)
	riccatiGain := gain(gainRatio)
	b.regulate(now, expectedAt, riccatiGain)
	b.controlAdmission(now, expectedAt, riccatiGain)
}

// newestSamples holds sums over the newest samples of all servers.
type newestSamples struct {
	samples           float64 // number of samples
	attempts          float64
	weightedIntervals float64 // seconds, weighted by attempts
	reportTimes       float64 // sum of the clock times of the reports
}

// dropOldSamples drops samples that are too old for any average, and returns sums over the newest sample
// of each server.
func (b *Balancer) dropOldSamples(now float64) newestSamples {
	var sums newestSamples
	for _, srv := range b.servers {
		srv.samples = slices.DeleteFunc(srv.samples, func(old sample) bool {
			return now-old.reportedAt > averagingPeriods*max(old.interval, b.sampleCycle)
		})
		if len(srv.samples) == 0 {
			continue
		}
		newest := srv.samples[len(srv.samples)-1]
		sums.attempts += newest.attempts
		sums.weightedIntervals += newest.attempts * newest.interval
		sums.reportTimes += newest.reportedAt
		sums.samples++
	}
	return sums
}

// dropRemovedServers drops removed servers that are in no table and have no samples.
func (b *Balancer) dropRemovedServers() {
	b.servers = slices.DeleteFunc(b.servers, func(srv *server) bool {
		if srv.Phase != Removed || len(srv.samples) > 0 || b.isInTable(srv) {
			return false
		}
		delete(b.serverByAddress, srv.Server)
		return true
	})
}

func (b *Balancer) isInTable(srv *server) bool {
	for _, group := range b.groups {
		for _, table := range group.tables {
			if table.weights[srv.Server] > 0 {
				return true
			}
		}
	}
	return false
}

// updateDemandShares updates the demand share of each group. Disconnected proxies are included until they
// are assumed to be dead, because they continue to send requests.
func (b *Balancer) updateDemandShares(now float64) {
	b.disconnected = slices.DeleteFunc(b.disconnected, func(p *proxy) bool {
		return now-p.leftAt > disconnectedProxyTimeout
	})
	proxies := slices.Concat(b.proxies, b.disconnected)
	groupCount := float64(max(len(b.groups), 1))
	even := max(offeredRate(proxies, nil, allClasses)/groupCount, minRequestRate)
	for _, group := range b.groups {
		group.demandShare = max(offeredRate(proxies, group, allClasses)/even, minDemandShare)
	}
}
