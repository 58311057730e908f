// Package balancer decides which servers the proxies use, and how much load each server gets.
//
// New creates the Balancer of one coordinator. Reconcile is called once per round with all events that have
// arrived since the previous round, and writes its decisions to a CommandSink. The package does no I/O, reads
// no clock and starts no goroutines: the same events at the same times produce the same commands.
//
// interface.go contains the types of the API, and state.go the state that is kept between rounds. The steps
// of a round, in order:
//
//   - endpoints.go processes endpoint lists, proxies.go proxies that join or leave, account.go
//     acknowledgements, and reports.go traffic reports.
//   - At the end of a report period, estimates.go updates the estimates: regulator.go sets the intake of
//     each server, and admission.go the fraction of the requests that is admitted.
//   - publish.go sends all changes that the channel allows (pacing.go). These are the table entries that
//     weights.go computes for each group of proxies (groups.go) within the safe intake of the servers
//     (health.go), and the admission settings (admission_settings.go).
package balancer

import (
	"cmp"
	"math"
	"slices"

	"snowquay/internal/core/random"
)

const (
	// timerInterval is the time in seconds between two timer rounds, which perform work that is due at a
	// certain time rather than after an event.
	timerInterval = 0.25
	// minReportPeriod is the lower bound on the configured report period, in seconds.
	minReportPeriod = 0.05
	// minLatencyObjective is the lower bound on the configured latency objectives, in seconds.
	minLatencyObjective = 1e-3
	// pollRetriesPerDeadline is the maximum number of failed discovery polls within DiscoveryPollDeadline.
	// The backoff is jittered up to twice its minimum, so that coordinators do not poll simultaneously.
	pollRetriesPerDeadline = 16
)

// New creates the balancer of one coordinator. The seed determines the jitter and the first AckID. The
// balancer requests no health checks, because load reports contain more information.
func New(seed uint64, classes []RequestClass, dataPlane DataPlane, limits Channel, guarantees Guarantees,
	reporting Reporting, _ HealthChecking, discovery Discovery) *Balancer {
	balancer := &Balancer{
		classes:          classes,
		dataPlane:        dataPlane,
		latencyObjective: minLatencyObjective,
		guarantees:       guarantees,
		reportPeriod:     max(reporting.Period, minReportPeriod),
		serverByAddress:  map[Server]*server{},
		proxyByID:        map[Proxy]*proxy{},
		random:           random.New(seed),
		channel: channel{
			Channel:       limits,
			drainDeadline: guarantees.DrainDeadline,
			relativePace:  1,
			// Each incarnation starts at a different ID, so that late acknowledgements of an earlier one do not match.
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

// eligibilitySetOf returns the eligibility set of a class, and creates it if necessary.
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

// width returns the number of zones of the set. A set without a zone list covers all zones and is the
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
		b.channel.settledAt = now // assume no deliveries: what has not reached the channel cannot leave it
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
