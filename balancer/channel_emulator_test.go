package balancer_test

import (
	"fmt"
	"math/rand/v2"

	"snowquay/balancer"
)

// channelEmulator is the channel between a coordinator and its proxies in virtual time, with the proxies behind it.
// It carries messages one after the other at its own pace, and checks the limits on the channel: it knows nothing
// of the balancer's own account.
type channelEmulator struct {
	channel       balancer.Channel
	classes       int
	drainDeadline float64                  // seconds until no proxy may use a draining server any more
	pace          func(at float64) float64 // part of EntriesPerSecond
	ackLoss       float64                  // part of the acknowledgements that never arrive
	random        *rand.Rand
	now           float64

	// The channel.
	credit     float64 // entries that it may carry now
	queued     float64 // entries in it
	queue      []*message
	deliveries []delivery                  // on their way
	round      map[balancer.Proxy]*message // messages of the round that is being written
	written    []*message                  // the same in the order of writing
	ackID      balancer.AckID              // requested in this round; 0: none

	// What the coordinator has ordered.
	tables     map[balancer.Table]map[balancer.Server]bool
	admissions map[balancer.Table]map[balancer.Class]bool
	users      map[balancer.Table][]*emulatedProxy

	// The proxies.
	proxies map[balancer.Proxy]*emulatedProxy
	order   []*emulatedProxy // in the order of joining

	// Servers that drain: since when, and for how many seconds a proxy may still use them.
	drainingSince map[balancer.Server]float64
	drainLimit    map[balancer.Server]float64

	// Findings.
	maxQueued   float64
	maxMessages int
	violation   string // the first limit that was not kept
	lateDrain   string // a drain that was late
}

// emulatedProxy is a proxy.
type emulatedProxy struct {
	id          balancer.Proxy
	joinedAt    float64
	assigned    map[balancer.Class]balancer.Table // as the coordinator has ordered
	using       map[balancer.Class]balancer.Table // as the proxy itself does
	held        map[balancer.Table]map[balancer.Server]bool
	sentAt      []float64 // when messages were written to it, within the message window
	lastArrival float64   // when the last of them arrives
}

// change is a table entry that is set or removed, or a entries table that is assigned.
type change struct {
	table   balancer.Table
	server  balancer.Server
	present bool
	classes balancer.ClassSet
	entries []balancer.Server // of an assigned table; nil: no table is assigned
}

// message is what a proxy is sent in one round.
type message struct {
	to        *emulatedProxy
	remaining float64 // entries that the channel has not carried yet
	changes   []change
	ackID     balancer.AckID
	issuedAt  float64
}

// delivery is a message that arrives at a proxy, or an acknowledgement that arrives at the coordinator.
type delivery struct {
	at       float64
	apply    func() // what the message does to the proxy; nil for an acknowledgement
	ack      balancer.Ack
	answered bool // the acknowledgement is not lost
}

func newChannelEmulator(channel balancer.Channel, classes int, drainDeadline float64, seed uint64) *channelEmulator {
	return &channelEmulator{
		channel:       channel,
		classes:       classes,
		drainDeadline: drainDeadline,
		pace:          func(float64) float64 { return 1 },
		random:        rand.New(rand.NewPCG(seed, 1)),
		round:         map[balancer.Proxy]*message{},
		tables:        map[balancer.Table]map[balancer.Server]bool{},
		admissions:    map[balancer.Table]map[balancer.Class]bool{},
		users:         map[balancer.Table][]*emulatedProxy{},
		proxies:       map[balancer.Proxy]*emulatedProxy{},
		drainingSince: map[balancer.Server]float64{},
		drainLimit:    map[balancer.Server]float64{},
	}
}

func (e *channelEmulator) fail(format string, args ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf("at %.2f s: ", e.now) + fmt.Sprintf(format, args...)
	}
}

// join connects a proxy. It goes on using the servers that another coordinator gave it.
func (e *channelEmulator) join(id balancer.Proxy, servers []balancer.Server) {
	p := &emulatedProxy{
		id:       id,
		joinedAt: e.now,
		assigned: map[balancer.Class]balancer.Table{},
		using:    map[balancer.Class]balancer.Table{},
		held:     map[balancer.Table]map[balancer.Server]bool{0: {}},
	}
	for _, s := range servers {
		p.held[0][s] = true
	}
	for c := range e.classes {
		p.using[balancer.Class(c)] = 0
	}
	e.proxies[id] = p
	e.order = append(e.order, p)
}

// leave disconnects a proxy: what waits for it is lost.
func (e *channelEmulator) leave(id balancer.Proxy) {
	p := e.proxies[id]
	delete(e.proxies, id)
	e.order = without(e.order, p)
	for t, users := range e.users {
		e.users[t] = without(users, p)
	}
}

func without(list []*emulatedProxy, p *emulatedProxy) []*emulatedProxy {
	for i, x := range list {
		if x == p {
			return append(append([]*emulatedProxy(nil), list[:i]...), list[i+1:]...)
		}
	}
	return list
}

// drain notes that the coordinator learns of a draining server. The limit is multiplied by slowdown, for a channel
// that is slow.
func (e *channelEmulator) drain(s balancer.Server, slowdown float64) {
	e.drainingSince[s] = e.now
	e.drainLimit[s] = e.drainDeadline * slowdown
}

// messageTo is the message of this round to a proxy.
func (e *channelEmulator) messageTo(p *emulatedProxy) *message {
	m := e.round[p.id]
	if m == nil {
		m = &message{to: p, remaining: e.channel.MessageOverhead, issuedAt: e.now}
		e.round[p.id] = m
		e.written = append(e.written, m)
	}
	return m
}

func (e *channelEmulator) addChange(t balancer.Table, c change) {
	for _, p := range e.users[t] {
		m := e.messageTo(p)
		m.remaining++
		m.changes = append(m.changes, c)
	}
}

// SetWeight of balancer.CommandSink.
func (e *channelEmulator) SetWeight(t balancer.Table, s balancer.Server, weight float64) {
	if e.tables[t] == nil {
		e.tables[t] = map[balancer.Server]bool{}
	}
	e.tables[t][s] = true
	if weight == 0 {
		delete(e.tables[t], s)
	}
	e.addChange(t, change{table: t, server: s, present: weight > 0})
}

// AssignTable of balancer.CommandSink.
func (e *channelEmulator) AssignTable(id balancer.Proxy, t balancer.Table, classes balancer.ClassSet) {
	p := e.proxies[id]
	if p == nil {
		e.fail("proxy %d is assigned a table and has not joined", id)
		return
	}
	entries := make([]balancer.Server, 0, len(e.tables[t]))
	for s := range e.tables[t] {
		entries = append(entries, s)
	}
	for c := range e.classes {
		if classes == 0 || classes>>c&1 == 1 {
			p.assigned[balancer.Class(c)] = t
		}
	}
	m := e.messageTo(p)
	m.remaining += float64(1 + len(entries) + len(e.admissions[t]))
	m.changes = append(m.changes, change{table: t, classes: classes, entries: entries})
	e.users[t] = append(without(e.users[t], p), p)
}

// SetAdmission of balancer.CommandSink.
func (e *channelEmulator) SetAdmission(t balancer.Table, classes balancer.ClassSet, _ float64, _ balancer.RetryPolicy) {
	for c := range e.classes {
		if classes == 0 || classes>>c&1 == 1 {
			if e.admissions[t] == nil {
				e.admissions[t] = map[balancer.Class]bool{}
			}
			e.admissions[t][balancer.Class(c)] = true
		}
	}
	e.addChange(t, change{})
}

// RequestAck of balancer.CommandSink.
func (e *channelEmulator) RequestAck(id balancer.AckID) { e.ackID = id }

// HealthCheck of balancer.CommandSink.
func (e *channelEmulator) HealthCheck(balancer.Server) {}

// PollDiscovery of balancer.CommandSink.
func (e *channelEmulator) PollDiscovery() {}

// SetTimer of balancer.CommandSink.
func (e *channelEmulator) SetTimer(float64, balancer.Timer) {}

// Log of balancer.CommandSink.
func (e *channelEmulator) Log(string) {}

// sendRound puts the round's messages into the channel and counts both limits.
func (e *channelEmulator) sendRound() {
	for _, message := range e.written {
		message.ackID = e.ackID
		if message.ackID != 0 {
			message.remaining++
		}
		e.queued += message.remaining
		message.to.sentAt = append(message.to.sentAt, e.now)
		for message.to.sentAt[0] <= e.now-e.channel.MessageWindow {
			message.to.sentAt = message.to.sentAt[1:]
		}
		sent := len(message.to.sentAt)
		e.maxMessages = max(e.maxMessages, sent)
		limit := e.channel.MaxMessages
		if limit > 0 && sent > limit {
			e.fail("%d messages to proxy %d in a window, %d allowed", sent, message.to.id, limit)
		}
	}
	e.queue = append(e.queue, e.written...)
	e.maxQueued = max(e.maxQueued, e.queued)
	if e.queued > e.channel.MaxQueued {
		e.fail("%.0f entries queued, %.0f allowed", e.queued, e.channel.MaxQueued)
	}
	e.written = nil
	e.ackID = 0
	clear(e.round)
}

// advance carries messages until a time, and returns what has been acknowledged by then.
func (e *channelEmulator) advance(until float64) []balancer.Ack {
	e.credit += (until - e.now) * e.channel.EntriesPerSecond * e.pace(e.now)
	e.now = until
	for len(e.queue) > 0 && e.credit > 0 {
		m := e.queue[0]
		part := min(m.remaining, e.credit)
		if e.proxies[m.to.id] != m.to { // it has left: nothing of it is carried
			part = 0
			e.queued -= m.remaining
			m.remaining = 0
		}
		m.remaining -= part
		e.credit -= part
		e.queued -= part
		if m.remaining > 0 {
			break
		}
		e.queue = e.queue[1:]
		e.deliver(m)
	}
	if len(e.queue) == 0 {
		e.credit = 0
	}
	acks := e.arrive()
	e.checkDrains()
	return acks
}

// arrive applies the messages that have arrived at proxies, and returns the acknowledgements that have arrived.
func (e *channelEmulator) arrive() []balancer.Ack {
	var acks []balancer.Ack
	underway := e.deliveries[:0]
	for _, arriving := range e.deliveries {
		switch {
		case arriving.at > e.now:
			underway = append(underway, arriving)
		case arriving.apply != nil:
			arriving.apply()
		case arriving.answered:
			acks = append(acks, arriving.ack)
		}
	}
	e.deliveries = underway
	return acks
}

// deliver takes a message out of the channel: it arrives later, and its acknowledgement later still.
func (e *channelEmulator) deliver(m *message) {
	if e.proxies[m.to.id] != m.to {
		return
	}
	delay := e.channel.MeanDelay * (0.5 + e.random.Float64())
	if e.random.IntN(50) == 0 {
		delay = e.channel.MaxDelay
	}
	at := max(e.now+min(delay, e.channel.MaxDelay), m.to.lastArrival)
	m.to.lastArrival = at
	e.deliveries = append(e.deliveries, delivery{at: at, apply: func() { m.apply() }})
	if m.ackID != 0 {
		e.deliveries = append(e.deliveries, delivery{
			at:       at + 0.01,
			answered: e.random.Float64() >= e.ackLoss,
			ack:      balancer.Ack{Proxy: m.to.id, ID: m.ackID, Latency: at - m.issuedAt},
		})
	}
}

// apply has the proxy carry out a message.
func (m *message) apply() {
	for _, c := range m.changes {
		switch {
		case c.entries != nil:
			m.to.assign(c)
		case c.server != "" && m.to.held[c.table] != nil:
			m.to.held[c.table][c.server] = true
			if !c.present {
				delete(m.to.held[c.table], c.server)
			}
		}
	}
}

// assign has the proxy use a whole table.
func (p *emulatedProxy) assign(c change) {
	p.held[c.table] = map[balancer.Server]bool{}
	for _, server := range c.entries {
		p.held[c.table][server] = true
	}
	for class := range p.using {
		if c.classes == 0 || c.classes>>class&1 == 1 {
			p.using[class] = c.table
		}
	}
}

// checkDrains looks for proxies that use a draining server for longer than allowed. It looks at each drain once its
// time is over, and at late joiners once theirs is.
func (e *channelEmulator) checkDrains() {
	for server, drainingSince := range e.drainingSince {
		limit := e.drainLimit[server]
		if e.now < drainingSince+limit {
			continue
		}
		for _, p := range e.order {
			since := max(drainingSince, p.joinedAt)
			if e.now >= since+limit && p.uses(server) {
				e.lateDrain = fmt.Sprintf("at %.2f s: proxy %d (joined at %.2f, assigned %v) uses %s, which drains since %.2f; "+
					"%.1f s allowed, %.0f entries queued; removal ordered %v", e.now, p.id, p.joinedAt, len(p.assigned) > 0,
					server, drainingSince, limit, e.queued, !e.tables[p.assigned[0]][server])
				return
			}
		}
		if e.now > drainingSince+3*limit {
			delete(e.drainingSince, server)
		}
	}
}

func (p *emulatedProxy) uses(s balancer.Server) bool {
	for _, t := range p.using {
		if p.held[t][s] {
			return true
		}
	}
	return false
}
