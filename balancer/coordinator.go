// Package balancer decides which servers the proxies use, and how much of each. New makes one coordinator's
// Manager; Round is then called once a round with all that came in, and writes the decisions into a Writer.
// The types of both are in interface.go; docs/design.md tells what the mechanism is and where it is from.
package balancer

import (
	"cmp"
	"math"
	"slices"

	"snowquay/internal/core/random"
)

const wakeEvery = 0.25 // seconds between two rounds at least, for what is due by time alone

// New makes one coordinator. It does not probe: the floor tells more.
func New(seed uint64, classes []RequestClass, fleet DataPlane, ch Channel, promise Guarantees,
	reporting Reporting, _ HealthChecking, discovery Discovery) *Balancer {
	m := &Balancer{classes: classes, fleet: fleet, promise: promise, period: max(reporting.Period, 0.05),
		channel: channel{Channel: ch, grace: promise.DrainDeadline, pace: 1},
		servers: map[Server]*server{}, joined: map[Proxy]*proxy{}, chance: random.New(seed)}
	m.channel.newest = AckID(seed % 65535) // answers to marks of a former life are no answers to these
	if !discovery.Polled {
		m.askAt = math.Inf(1)
	}
	for c, q := range classes {
		m.goal, m.all = max(m.goal, q.LatencyObjective), append(m.all, Class(c))
		m.let, m.was = append(m.let, 1), append(m.was, 1)
		same := func(r *reach) bool { return r.own == q.ZoneLocal && slices.Equal(r.zones, q.AllowedZones) }
		if !slices.ContainsFunc(m.reaches, same) {
			m.reaches = append(m.reaches, &reach{zones: q.AllowedZones, own: q.ZoneLocal})
		}
		m.reaches[slices.IndexFunc(m.reaches, same)].classes |= 1 << c
	}
	slices.SortStableFunc(m.reaches, func(a, b *reach) int { // all zones last
		return cmp.Compare(cmp.Or(len(a.zones), math.MaxInt), cmp.Or(len(b.zones), math.MaxInt))
	})
	slices.SortStableFunc(m.all, func(a, b Class) int {
		return cmp.Compare(classes[b].PriorityWeight, classes[a].PriorityWeight)
	})
	return m
}

// Reconcile takes all that came in since the last call and writes what is decided.
func (m *Balancer) Reconcile(now float64, news Events, w CommandSink) {
	for _, l := range news.Lists {
		if m.follow(now, l); l.Scope == ListFailed { // some instances at a time, each a few times within the limit
			m.askAt = now + m.promise.DiscoveryPollDeadline*(1+m.chance.Float())/16
		}
	}
	for _, s := range news.ProxyEvents {
		m.stream(now, s)
	}
	for _, a := range news.Acks {
		m.acknowledge(a)
	}
	m.count(now, news.Upstreams, news.Demands)
	if m.fresh && now-m.closed >= m.period {
		m.close(now)
	}
	if now >= m.askAt {
		w.PollDiscovery()
		m.askAt = math.Inf(1)
	}
	m.resent(now, news.Redelivered)
	if news.ChannelStalled { // nothing leaves the channel that has not come to it
		m.channel.at = now
	} else {
		m.publish(now, w)
	}
	if now >= m.wakeAt {
		m.wakeAt = now + wakeEvery
		w.SetTimer(wakeEvery, 0)
	}
}
