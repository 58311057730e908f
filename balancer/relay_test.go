package balancer_test

import (
	"fmt"
	"math/rand/v2"

	"snowquay/balancer"
)

// relay is the channel between a coordinator and its proxies in virtual time, with the proxies behind it. It carries messages one
// after the other at its own pace, and is the referee of the rules on the channel: it knows nothing of the module's account.
type relay struct {
	channel  balancer.Channel
	classes  int
	grace    float64                  // seconds in which no proxy may use a server that drains any more
	pace     func(at float64) float64 // of the promised lines a second
	lossOf   float64                  // part of the acknowledgements that never arrive
	random   *rand.Rand
	now      float64
	credit   float64 // lines that the channel may carry now
	waiting  float64
	queue    []*message
	tables   map[balancer.Table]map[balancer.Server]bool
	levels   map[balancer.Table]map[balancer.Class]bool
	users    map[balancer.Table][]*endpoint
	proxies  map[balancer.Proxy]*endpoint
	order    []*endpoint                 // in the order of joining
	draining map[balancer.Server]float64 // when that was told
	overdue  map[balancer.Server]float64 // until when a proxy may have it in a table
	acks     []ack
	round    map[balancer.Proxy]*message // of the round that is being written
	written  []*message
	mark     balancer.AckID

	mostWaiting  float64
	mostMessages int
	broken       string // a limit that was not kept
	late         string // a drain that was
	notes        []string
	watch        balancer.Proxy
}

// endpoint is a proxy.
type endpoint struct {
	id     balancer.Proxy
	joined float64
	bound  map[balancer.Class]balancer.Table // as the relay holds it
	using  map[balancer.Class]balancer.Table // as the proxy itself does
	held   map[balancer.Table]map[balancer.Server]bool
	sent   []float64 // when messages were written to it
	last   float64   // when the last of them arrives
}

type change struct {
	table   balancer.Table
	server  balancer.Server
	present bool
	bind    balancer.ClassSet
	whole   []balancer.Server // of a table that the proxy is bound to
}

type message struct {
	to        *endpoint
	remaining float64
	changes   []change
	mark      balancer.AckID
	issued    float64
}

type ack struct {
	at    float64
	after func() // what the message does to the proxy, once it has arrived
	news  balancer.Ack
	heard bool // it is answered
}

func newRelay(channel balancer.Channel, classes int, grace float64, seed uint64) *relay {
	return &relay{channel: channel, classes: classes, grace: grace, pace: func(float64) float64 { return 1 },
		random: rand.New(rand.NewPCG(seed, 1)), tables: map[balancer.Table]map[balancer.Server]bool{},
		levels: map[balancer.Table]map[balancer.Class]bool{}, users: map[balancer.Table][]*endpoint{},
		proxies: map[balancer.Proxy]*endpoint{}, draining: map[balancer.Server]float64{},
		overdue: map[balancer.Server]float64{}, round: map[balancer.Proxy]*message{}}
}

func (r *relay) fail(format string, args ...any) {
	if r.broken == "" {
		r.broken = fmt.Sprintf("at %.2f s: ", r.now) + fmt.Sprintf(format, args...)
	}
}

// join has a proxy dial the coordinator. It goes on by the servers that another one gave it.
func (r *relay) join(id balancer.Proxy, holds []balancer.Server) {
	p := &endpoint{id: id, joined: r.now, bound: map[balancer.Class]balancer.Table{}, using: map[balancer.Class]balancer.Table{},
		held: map[balancer.Table]map[balancer.Server]bool{0: {}}}
	for _, s := range holds {
		p.held[0][s] = true
	}
	for c := range r.classes {
		p.using[balancer.Class(c)] = 0
	}
	r.proxies[id] = p
	r.order = append(r.order, p)
}

// leave breaks a proxy's stream: what waits for it is lost.
func (r *relay) leave(id balancer.Proxy) {
	p := r.proxies[id]
	delete(r.proxies, id)
	r.order = without(r.order, p)
	for t, users := range r.users {
		r.users[t] = without(users, p)
	}
}

func without(list []*endpoint, p *endpoint) []*endpoint {
	for i, x := range list {
		if x == p {
			return append(append([]*endpoint(nil), list[:i]...), list[i+1:]...)
		}
	}
	return list
}

// drain notes that the coordinator is told of a server that is not to be used any more. slowed is by how much longer the rules
// give, the channel being slow.
func (r *relay) drain(s balancer.Server, slowed float64) {
	r.draining[s] = r.now
	r.overdue[s] = r.grace * slowed
}

// to is the message of this round to a proxy.
func (r *relay) to(p *endpoint) *message {
	m := r.round[p.id]
	if m == nil {
		m = &message{to: p, remaining: r.channel.MessageOverhead, issued: r.now}
		r.round[p.id] = m
		r.written = append(r.written, m)
	}
	return m
}

func (r *relay) toUsers(t balancer.Table, c change) {
	for _, p := range r.users[t] {
		m := r.to(p)
		m.remaining++
		m.changes = append(m.changes, c)
	}
}

// SetWeight of balancer.CommandSink.
func (r *relay) SetWeight(t balancer.Table, s balancer.Server, weight float64) {
	if r.tables[t] == nil {
		r.tables[t] = map[balancer.Server]bool{}
	}
	if r.tables[t][s] = true; weight == 0 {
		delete(r.tables[t], s)
	}
	r.toUsers(t, change{table: t, server: s, present: weight > 0})
}

// AssignTable of balancer.CommandSink.
func (r *relay) AssignTable(id balancer.Proxy, t balancer.Table, classes balancer.ClassSet) {
	p := r.proxies[id]
	if p == nil {
		r.fail("proxy %d is bound and has not joined", id)
		return
	}
	whole := make([]balancer.Server, 0, len(r.tables[t]))
	for s := range r.tables[t] {
		whole = append(whole, s)
	}
	for c := range r.classes {
		if classes == 0 || classes>>c&1 == 1 {
			p.bound[balancer.Class(c)] = t
		}
	}
	m := r.to(p)
	m.remaining += float64(1 + len(whole) + len(r.levels[t]))
	m.changes = append(m.changes, change{table: t, bind: classes, whole: whole})
	r.users[t] = append(without(r.users[t], p), p)
}

// SetAdmission of balancer.CommandSink.
func (r *relay) SetAdmission(t balancer.Table, classes balancer.ClassSet, _ float64, _ balancer.RetryPolicy) {
	for c := range r.classes {
		if classes == 0 || classes>>c&1 == 1 {
			if r.levels[t] == nil {
				r.levels[t] = map[balancer.Class]bool{}
			}
			r.levels[t][balancer.Class(c)] = true
		}
	}
	r.toUsers(t, change{})
}

// RequestAck of balancer.CommandSink.
func (r *relay) RequestAck(m balancer.AckID) { r.mark = m }

// HealthCheck of balancer.CommandSink.
func (r *relay) HealthCheck(balancer.Server) {}

// PollDiscovery of balancer.CommandSink.
func (r *relay) PollDiscovery() {}

// SetTimer of balancer.CommandSink.
func (r *relay) SetTimer(float64, balancer.Timer) {}

// Log of balancer.CommandSink.
func (r *relay) Log(string) {}

// write puts the round's messages into the channel and counts both limits.
func (r *relay) write() {
	for _, m := range r.written {
		if m.mark = r.mark; m.mark != 0 {
			m.remaining++
		}
		r.waiting += m.remaining
		m.to.sent = append(m.to.sent, r.now)
		for m.to.sent[0] <= r.now-r.channel.MessageWindow {
			m.to.sent = m.to.sent[1:]
		}
		n := len(m.to.sent)
		if r.watch > 0 && m.to.id == r.watch {
			r.notes = append(r.notes, fmt.Sprintf("%.2f n=%d rem=%.0f %+v", r.now, n, m.remaining, m.changes))
		}
		r.mostMessages = max(r.mostMessages, n)
		if most := r.channel.MaxMessages; most > 0 && n > most {
			r.fail("%d messages to proxy %d in a window, %d allowed", n, m.to.id, most)
		}
	}
	r.queue = append(r.queue, r.written...)
	r.mostWaiting = max(r.mostWaiting, r.waiting)
	if r.waiting > r.channel.MaxQueued {
		r.fail("%.0f lines wait, %.0f allowed", r.waiting, r.channel.MaxQueued)
	}
	r.written, r.mark = nil, 0
	clear(r.round)
}

// advance carries messages until a time, and gives what has been acknowledged by then.
func (r *relay) advance(until float64) (applied []balancer.Ack) {
	r.credit += (until - r.now) * r.channel.EntriesPerSecond * r.pace(r.now)
	r.now = until
	for len(r.queue) > 0 && r.credit > 0 {
		m := r.queue[0]
		part := min(m.remaining, r.credit)
		if r.proxies[m.to.id] != m.to { // it has left: nothing of it is carried
			part = 0
			r.waiting -= m.remaining
			m.remaining = 0
		}
		m.remaining -= part
		r.credit -= part
		r.waiting -= part
		if m.remaining > 0 {
			break
		}
		r.queue = r.queue[1:]
		r.deliver(m)
	}
	if len(r.queue) == 0 {
		r.credit = 0
	}
	rest := r.acks[:0]
	for _, a := range r.acks {
		switch {
		case a.at > r.now:
			rest = append(rest, a)
		case a.after != nil:
			a.after()
		case a.heard:
			applied = append(applied, a.news)
		}
	}
	r.acks = rest
	r.judgeDrains()
	return applied
}

// deliver takes a message out of the channel: it arrives later, and is answered later still.
func (r *relay) deliver(m *message) {
	if r.proxies[m.to.id] != m.to {
		return
	}
	way := r.channel.MeanDelay * (0.5 + r.random.Float64())
	if r.random.IntN(50) == 0 {
		way = r.channel.MaxDelay
	}
	at := max(r.now+min(way, r.channel.MaxDelay), m.to.last)
	m.to.last = at
	r.acks = append(r.acks, ack{at: at, after: func() { m.apply() }})
	if m.mark != 0 {
		back := at + 0.01
		r.acks = append(r.acks, ack{at: back, heard: r.random.Float64() >= r.lossOf,
			news: balancer.Ack{Proxy: m.to.id, ID: m.mark, Latency: at - m.issued}})
	}
}

func (m *message) apply() {
	p := m.to
	for _, c := range m.changes {
		if c.whole != nil {
			p.held[c.table] = map[balancer.Server]bool{}
			for _, s := range c.whole {
				p.held[c.table][s] = true
			}
			for class := range p.using {
				if c.bind == 0 || c.bind>>class&1 == 1 {
					p.using[class] = c.table
				}
			}
		} else if c.server != "" && p.held[c.table] != nil {
			if p.held[c.table][c.server] = true; !c.present {
				delete(p.held[c.table], c.server)
			}
		}
	}
}

// judgeDrains looks for proxies that use a server for longer than the rules allow. It looks at each drain once, when its time is
// over, and at late joiners when theirs is.
func (r *relay) judgeDrains() {
	for s, told := range r.draining {
		limit := r.overdue[s]
		if r.now < told+limit {
			continue
		}
		for _, p := range r.order {
			if since := max(told, p.joined); r.now >= since+limit && p.uses(s) {
				r.late = fmt.Sprintf("at %.2f s: proxy %d (joined at %.2f, bound %v) uses %s, which drains since %.2f; %.1f s allowed, %.0f lines wait; ordered %v",
					r.now, p.id, p.joined, len(p.bound) > 0, s, told, limit, r.waiting, !r.tables[p.bound[0]][s])
				return
			}
		}
		if r.now > told+3*limit {
			delete(r.draining, s)
		}
	}
}

func (p *endpoint) uses(s balancer.Server) bool {
	for _, t := range p.using {
		if p.held[t][s] {
			return true
		}
	}
	return false
}
