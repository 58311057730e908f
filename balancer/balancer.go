// Package balancer decides which servers the proxies use, and how much of each.
//
// New makes the Balancer of one coordinator. Its Reconcile is called once a round with all events that came
// in since the last one, and writes the decisions into a CommandSink. The package does no I/O, reads no
// clock and starts no goroutine: the same events at the same times give the same commands.
//
// interface.go has the types that callers see, state.go what is remembered between rounds. The steps of a
// round, in their order:
//
//   - endpoints.go applies endpoint lists, proxies.go proxies that join or leave, account.go
//     acknowledgements, and reports.go load reports.
//   - At the end of a report period, estimates.go renews the estimates: regulator.go sets the intake that
//     each server is to get, and admission.go the part of the requests that is admitted.
//   - publish.go sends what has changed: the entries that weights.go wants of each table, for each group of
//     proxies (groups.go), within what servers can take (health.go), and the admission settings
//     (admission_settings.go), as far as the channel allows (pacing.go).
package balancer

import (
	"cmp"
	"math"
	"slices"

	"snowquay/internal/core/random"
)

const (
	// timerInterval is the time in seconds between two timer rounds, which handle whatever is due by time
	// alone.
	timerInterval = 0.25
	// minReportPeriod is the lower bound on the configured report period, in seconds.
	minReportPeriod = 0.05
	// pollRetriesPerDeadline is the maximum number of failed discovery polls within DiscoveryPollDeadline.
	// The backoff is jittered up to twice its minimum, so that coordinators do not poll in step.
	pollRetriesPerDeadline = 16
)

// New makes the balancer of one coordinator. The seed determines the jitter and the first AckID. The
// balancer requests no health checks, because load reports carry more information.
func New(seed uint64, classes []RequestClass, dataPlane DataPlane, limits Channel, guarantees Guarantees,
	reporting Reporting, _ HealthChecking, discovery Discovery) *Balancer {
	balancer := &Balancer{
		classes:         classes,
		dataPlane:       dataPlane,
		guarantees:      guarantees,
		reportPeriod:    max(reporting.Period, minReportPeriod),
		serverByAddress: map[Server]*server{},
		proxyByID:       map[Proxy]*proxy{},
		random:          random.New(seed),
		channel: channel{
			Channel:       limits,
			drainDeadline: guarantees.DrainDeadline,
			relativePace:  1,
			// Different incarnations use different IDs, so that late acknowledgements are not confused.
			lastAckID: AckID(seed % maxAckID),
		},
	}
	if !discovery.Polled {
		balancer.pollAt = math.Inf(1)
	}
	for i, class := range classes {
		balancer.latencyObjective = max(balancer.latencyObjective, class.LatencyObjective)
		balancer.classesByPriority = append(balancer.classesByPriority, Class(i))
		balancer.admitted = append(balancer.admitted, admittedFraction{wanted: 1, observed: 1})
		set := balancer.eligibilitySetOf(class)
		set.classes |= 1 << i
	}
	slices.SortStableFunc(balancer.eligibilitySets, func(left, right *eligibilitySet) int {
		return cmp.Compare(left.width(), right.width())
	})
	slices.SortStableFunc(balancer.classesByPriority, func(left, right Class) int {
		return cmp.Compare(classes[right].PriorityWeight, classes[left].PriorityWeight)
	})
	return balancer
}

// eligibilitySetOf returns the eligibility set of a class, and adds it if there is none yet.
func (b *Balancer) eligibilitySetOf(class RequestClass) *eligibilitySet {
	for _, set := range b.eligibilitySets {
		if set.zoneLocal == class.ZoneLocal && slices.Equal(set.zones, class.AllowedZones) {
			return set
		}
	}
	set := &eligibilitySet{zones: class.AllowedZones, zoneLocal: class.ZoneLocal}
	b.eligibilitySets = append(b.eligibilitySets, set)
	return set
}

// width is the number of zones in the set. A set without named zones covers all of them and is the
// widest.
func (set *eligibilitySet) width() int {
	return cmp.Or(len(set.zones), math.MaxInt)
}

// Reconcile processes all events since the last call and writes the resulting commands to the sink. now
// is in seconds and must not decrease between calls.
func (b *Balancer) Reconcile(now float64, events Events, sink CommandSink) {
	for _, list := range events.Lists {
		b.applyEndpointList(now, list)
		if list.Scope == ListFailed {
			wait := b.guarantees.DiscoveryPollDeadline * (1 + b.random.Float()) / pollRetriesPerDeadline
			b.pollAt = now + wait
		}
	}
	for _, event := range events.ProxyEvents {
		b.applyProxyEvent(now, event)
	}
	for _, ack := range events.Acks {
		b.acknowledge(ack)
	}
	b.recordUpstreams(now, events.Upstreams)
	b.recordDemands(events.Demands)
	if b.reportsPending && now-b.periodEndedAt >= b.reportPeriod {
		b.endPeriod(now)
	}
	if now >= b.pollAt {
		sink.PollDiscovery()
		b.pollAt = math.Inf(1)
	}
	written := b.chargeRedelivered(now, events.Redelivered)
	if events.ChannelStalled {
		b.channel.settledAt = now // nothing that has not reached the channel can leave it
	} else {
		written += b.publish(now, sink)
	}
	if written > 0 {
		b.requestAck(written, sink)
	}
	if now >= b.timerAt {
		b.timerAt = now + timerInterval
		sink.SetTimer(timerInterval, 0)
	}
}
