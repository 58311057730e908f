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
func New(seed uint64, classes []QueryClass, fleet Dataplane, ch Channel, promise Guarantees,
	reporting Reporting, _ Probing, discovery Discovery) *Manager {
	m := &Manager{classes: classes, fleet: fleet, promise: promise, period: max(reporting.Period, 0.05),
		channel: channel{Channel: ch, grace: promise.DrainWithin, pace: 1},
		servers: map[Server]*server{}, joined: map[Proxy]*proxy{}, chance: random.New(seed)}
	m.channel.newest = Mark(seed % 65535) // answers to marks of a former life are no answers to these
	if !discovery.OnRequest {
		m.askAt = math.Inf(1)
	}
	for c, q := range classes {
		m.goal, m.all = max(m.goal, q.GoalTime), append(m.all, Class(c))
		m.let, m.was = append(m.let, 1), append(m.was, 1)
		same := func(r *reach) bool { return r.own == q.OwnZone && slices.Equal(r.zones, q.OnlyZones) }
		if !slices.ContainsFunc(m.reaches, same) {
			m.reaches = append(m.reaches, &reach{zones: q.OnlyZones, own: q.OwnZone})
		}
		m.reaches[slices.IndexFunc(m.reaches, same)].classes |= 1 << c
	}
	slices.SortStableFunc(m.reaches, func(a, b *reach) int { // all zones last
		return cmp.Compare(cmp.Or(len(a.zones), math.MaxInt), cmp.Or(len(b.zones), math.MaxInt))
	})
	slices.SortStableFunc(m.all, func(a, b Class) int {
		return cmp.Compare(classes[b].Benefit, classes[a].Benefit)
	})
	return m
}

// Round takes all that came in since the last call and writes what is decided.
func (m *Manager) Round(now float64, news News, w Writer) {
	for _, l := range news.Lists {
		if m.follow(now, l); l.Scope == Failed { // some instances at a time, each a few times within the limit
			m.askAt = now + m.promise.AskWithin*(1+m.chance.Float())/16
		}
	}
	for _, s := range news.Streams {
		m.stream(now, s)
	}
	for _, a := range news.Applied {
		m.acknowledge(a)
	}
	m.count(now, news.Traffic, news.Demand)
	if m.fresh && now-m.closed >= m.period {
		m.close(now)
	}
	if now >= m.askAt {
		w.Watch()
		m.askAt = math.Inf(1)
	}
	m.resent(now, news.Resent)
	if news.Stalled { // nothing leaves the channel that has not come to it
		m.channel.at = now
	} else {
		m.publish(now, w)
	}
	if now >= m.wakeAt {
		m.wakeAt = now + wakeEvery
		w.Wake(wakeEvery, 0)
	}
}
