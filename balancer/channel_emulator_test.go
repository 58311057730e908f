package balancer_test

import (
	"fmt"
	"math/rand/v2"

	"snowquay/balancer"
)

// channelEmulator emulates the channel between a coordinator and its proxies, and the proxies themselves, in virtual
// time. It transmits messages in order at its own pace and checks the limits on the channel, independently of the
// balancer's own accounting.
type channelEmulator struct {
	channel       balancer.Channel
	classes       int
	drainDeadline float64                  // seconds after which no proxy may use a draining server
	pace          func(at float64) float64 // current rate as a fraction of EntriesPerSecond
	ackLoss       float64                  // fraction of the acknowledgements that are lost
	random        *rand.Rand
	now           float64

	// The channel.
	credit     float64 // entries that may be transmitted now
	queued     float64 // number of queued entries
	queue      []*message
	deliveries []delivery                  // messages and acknowledgements in transit
	messages   map[balancer.Proxy]*message // messages of the current round
	written    []*message                  // messages of the current round, in the order of writing
	ackID      balancer.AckID              // acknowledgement requested in the current round; 0 if none

	// State according to the commands of the coordinator.
	tables     map[balancer.Table]map[balancer.Server]bool
	admissions map[balancer.Table]map[balancer.Class]bool
	users      map[balancer.Table][]*emulatedProxy

	// The proxies.
	proxies   map[balancer.Proxy]*emulatedProxy
	joinOrder []*emulatedProxy // in the order of joining

	// Draining servers: the time since when they drain, and for how many seconds a proxy may still use them.
	drainingSince map[balancer.Server]float64
	drainLimit    map[balancer.Server]float64

	// Findings.
	maxQueued   float64
	maxMessages int
	violation   string // first violation of a limit
	lateDrain   string // description of a late drain
}

// emulatedProxy holds the state of a proxy and of the messages to it.
type emulatedProxy struct {
	id          balancer.Proxy
	joinedAt    float64
	assigned    map[balancer.Class]balancer.Table           // tables assigned by the coordinator
	using       map[balancer.Class]balancer.Table           // tables that the proxy currently uses
	tables      map[balancer.Table]map[balancer.Server]bool // contents that the proxy currently has
	sentAt      []float64                                   // times of the messages to it within the message window
	lastArrival float64                                     // time at which the last of them arrives
}

// change is a table entry that is set or removed, or a table that is assigned. The zero value is an admission
// setting, which the emulated proxies ignore.
type change struct {
	table   balancer.Table
	server  balancer.Server
	present bool
	classes balancer.ClassSet
	entries []balancer.Server // entries of an assigned table; nil if no table is assigned
}

// message contains all changes that a proxy is sent in one round.
type message struct {
	to        *emulatedProxy
	remaining float64 // number of entries that have not been transmitted yet
	changes   []change
	ackID     balancer.AckID
	issuedAt  float64
}

// delivery is a message in transit to a proxy, or an acknowledgement in transit to the coordinator.
type delivery struct {
	at         float64
	apply      func() // applies the message to the proxy; nil for an acknowledgement
	ack        balancer.Ack
	ackArrives bool // false if the acknowledgement is lost
}

func newChannelEmulator(channel balancer.Channel, classes int, drainDeadline float64, seed uint64) *channelEmulator {
	return &channelEmulator{
		channel:       channel,
		classes:       classes,
		drainDeadline: drainDeadline,
		pace:          func(float64) float64 { return 1 },
		random:        rand.New(rand.NewPCG(seed, 1)),
		messages:      map[balancer.Proxy]*message{},
		tables:        map[balancer.Table]map[balancer.Server]bool{},
		admissions:    map[balancer.Table]map[balancer.Class]bool{},
		users:         map[balancer.Table][]*emulatedProxy{},
		proxies:       map[balancer.Proxy]*emulatedProxy{},
		drainingSince: map[balancer.Server]float64{},
		drainLimit:    map[balancer.Server]float64{},
	}
}

func (e *channelEmulator) recordViolation(format string, args ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf("at %.2f s: ", e.now) + fmt.Sprintf(format, args...)
	}
}

// join connects a proxy. It continues to use the servers that were assigned by another coordinator.
func (e *channelEmulator) join(id balancer.Proxy, servers []balancer.Server) {
	p := &emulatedProxy{
		id:       id,
		joinedAt: e.now,
		assigned: map[balancer.Class]balancer.Table{},
		using:    map[balancer.Class]balancer.Table{},
		tables:   map[balancer.Table]map[balancer.Server]bool{0: {}},
	}
	for _, s := range servers {
		p.tables[0][s] = true
	}
	for c := range e.classes {
		p.using[balancer.Class(c)] = 0
	}
	e.proxies[id] = p
	e.joinOrder = append(e.joinOrder, p)
}

// leave disconnects a proxy. Messages that are queued for it are lost.
func (e *channelEmulator) leave(id balancer.Proxy) {
	p := e.proxies[id]
	delete(e.proxies, id)
	e.joinOrder = without(e.joinOrder, p)
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

// startDrain records the time at which the coordinator is notified of a draining server. The time limit is
// multiplied by slowdown to account for a slow channel.
func (e *channelEmulator) startDrain(s balancer.Server, slowdown float64) {
	e.drainingSince[s] = e.now
	e.drainLimit[s] = e.drainDeadline * slowdown
}

// messageTo returns the message of the current round to a proxy, and creates it if necessary.
func (e *channelEmulator) messageTo(p *emulatedProxy) *message {
	m := e.messages[p.id]
	if m == nil {
		m = &message{to: p, remaining: e.channel.MessageOverhead, issuedAt: e.now}
		e.messages[p.id] = m
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

// SetWeight implements balancer.CommandSink.
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

// AssignTable implements balancer.CommandSink.
func (e *channelEmulator) AssignTable(id balancer.Proxy, t balancer.Table, classes balancer.ClassSet) {
	p := e.proxies[id]
	if p == nil {
		e.recordViolation("proxy %d is assigned a table but has not joined", id)
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

// SetAdmission implements balancer.CommandSink.
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

// RequestAck implements balancer.CommandSink.
func (e *channelEmulator) RequestAck(id balancer.AckID) { e.ackID = id }

// HealthCheck implements balancer.CommandSink.
func (e *channelEmulator) HealthCheck(balancer.Server) {}

// PollDiscovery implements balancer.CommandSink.
func (e *channelEmulator) PollDiscovery() {}

// SetTimer implements balancer.CommandSink.
func (e *channelEmulator) SetTimer(float64, balancer.Timer) {}

// Log implements balancer.CommandSink.
func (e *channelEmulator) Log(string) {}

// sendRound puts the messages of the current round into the channel and checks both limits of the channel.
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
			e.recordViolation("%d messages to proxy %d in a window, want at most %d", sent, message.to.id, limit)
		}
	}
	e.queue = append(e.queue, e.written...)
	e.maxQueued = max(e.maxQueued, e.queued)
	if e.queued > e.channel.MaxQueued {
		e.recordViolation("%.0f entries queued, want at most %.0f", e.queued, e.channel.MaxQueued)
	}
	e.written = nil
	e.ackID = 0
	clear(e.messages)
}

// advance transmits messages until the given time, and returns the acknowledgements that have arrived by then.
func (e *channelEmulator) advance(until float64) []balancer.Ack {
	e.credit += (until - e.now) * e.channel.EntriesPerSecond * e.pace(e.now)
	e.now = until
	for len(e.queue) > 0 && e.credit > 0 {
		m := e.queue[0]
		transmitted := min(m.remaining, e.credit)
		if e.proxies[m.to.id] != m.to { // the proxy has left, so its message is dropped
			transmitted = 0
			e.queued -= m.remaining
			m.remaining = 0
		}
		m.remaining -= transmitted
		e.credit -= transmitted
		e.queued -= transmitted
		if m.remaining > 0 {
			break
		}
		e.queue = e.queue[1:]
		e.scheduleDelivery(m)
	}
	if len(e.queue) == 0 {
		e.credit = 0
	}
	acks := e.processArrivals()
	e.checkDrains()
	return acks
}

// processArrivals applies the messages that have arrived at proxies, and returns the acknowledgements that have
// arrived at the coordinator.
func (e *channelEmulator) processArrivals() []balancer.Ack {
	var acks []balancer.Ack
	inTransit := e.deliveries[:0]
	for _, arriving := range e.deliveries {
		switch {
		case arriving.at > e.now:
			inTransit = append(inTransit, arriving)
		case arriving.apply != nil:
			arriving.apply()
		case arriving.ackArrives:
			acks = append(acks, arriving.ack)
		}
	}
	e.deliveries = inTransit
	return acks
}

// scheduleDelivery schedules the arrival of a message that has left the queue, and of its acknowledgement.
func (e *channelEmulator) scheduleDelivery(m *message) {
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
			at:         at + 0.01,
			ackArrives: e.random.Float64() >= e.ackLoss,
			ack:        balancer.Ack{Proxy: m.to.id, ID: m.ackID, Latency: at - m.issuedAt},
		})
	}
}

// apply applies a message to its proxy.
func (m *message) apply() {
	for _, c := range m.changes {
		switch {
		case c.entries != nil:
			m.to.assign(c)
		case c.server != "" && m.to.tables[c.table] != nil:
			m.to.tables[c.table][c.server] = true
			if !c.present {
				delete(m.to.tables[c.table], c.server)
			}
		}
	}
}

// assign replaces the contents of a table and makes the proxy use it.
func (p *emulatedProxy) assign(c change) {
	p.tables[c.table] = map[balancer.Server]bool{}
	for _, server := range c.entries {
		p.tables[c.table][server] = true
	}
	for class := range p.using {
		if c.classes == 0 || c.classes>>class&1 == 1 {
			p.using[class] = c.table
		}
	}
}

// checkDrains checks that no proxy uses a draining server for longer than allowed. The time limit starts when the
// server starts draining, or when the proxy joins if that is later.
func (e *channelEmulator) checkDrains() {
	for server, drainingSince := range e.drainingSince {
		limit := e.drainLimit[server]
		if e.now < drainingSince+limit {
			continue
		}
		for _, p := range e.joinOrder {
			since := max(drainingSince, p.joinedAt)
			if e.now >= since+limit && p.uses(server) {
				e.lateDrain = fmt.Sprintf("at %.2f s: proxy %d (joined at %.2f, assigned %v) uses %s, draining since %.2f; "+
					"%.1f s allowed, %.0f entries queued; removal requested %v", e.now, p.id, p.joinedAt, len(p.assigned) > 0,
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
		if p.tables[t][s] {
			return true
		}
	}
	return false
}
