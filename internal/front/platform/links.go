package platform

import (
	"net/netip"

	"snowquay/choice"
	"snowquay/internal/core/station"
	"snowquay/internal/run/world"
	"snowquay/internal/wire/http1"
	"snowquay/internal/wire/lines"
	"snowquay/internal/wire/registry"
	"snowquay/internal/wire/rpc"
)

const (
	answerWithin = 0.25    // seconds: the relay answers within 0.05 or never; the rest is for a core that others use
	pingWithin   = 2.6     // seconds without any news: the relay gives a sign of life each second
	emptyWithin  = 4.6     // seconds without a line: discovery gives a sign of life every 2
	proveWithin  = 2.0     // seconds that a new link has to show that it works, its dial among them
	restMost     = 4.0     // seconds that the link for calls may rest: the relay closes idle ones after 10 or less
	againFirst   = 0.1     // seconds until a link that broke is dialled again,
	againMost    = 1.0     // doubled up to this
	mostLine     = 1 << 20 // bytes: the whole list of 2,000 servers has a fifth of it
)

var headLimits = http1.Limits{Head: 8 << 10, Body: 1 << 20, Fields: 50}

// link is one connection of our own.
type link struct {
	of    *watch
	conn  world.Conn
	to    netip.AddrPort
	up    bool
	since float64 // when it was dialled
	heard float64
	lines lines.Reader
	head  []byte // of discovery's answer, until it is whole
	body  *http1.Body
	first bool // it has told something
}

// watch is a link that has to stand, and the one that is to take its place: made beside it where it is silent or its address is
// no longer the one to use. It is taken when it has shown that it works.
type watch struct {
	to        netip.AddrPort
	cur, next *link
	retryAt   float64
	pause     float64
	receive   func(p *Program, now float64, l *link, b []byte)
}

// relay is the two links to it: one for calls, one for news.
type relay struct {
	calls, news watch
	answerBy    float64
	ids         uint64
}

func (p *Program) dial(now float64, w *watch) {
	l := &link{of: w, to: w.to, since: now, heard: now}
	l.conn = p.io.Dial(w.to)
	w.next, p.links[l.conn] = l, l
}

func (p *Program) drop(l *link) {
	if l != nil {
		delete(p.links, l.conn)
		p.io.Close(l.conn)
	}
}

// fail is the end of a link that was to be: it is dialled again after a pause.
func (p *Program) fail(now float64, w *watch) {
	w.next = nil
	w.pause = min(max(2*w.pause, againFirst), againMost)
	w.retryAt = now + w.pause
}

// take puts the new link into the place of the old one.
func (p *Program) take(w *watch) {
	p.drop(w.cur)
	w.cur, w.next, w.pause, w.retryAt = w.next, nil, 0, 0
}

// linked: a dial has ended.
func (p *Program) linked(now float64, l *link, ok bool) {
	w := l.of
	if !ok {
		delete(p.links, l.conn)
		p.fail(now, w)
		return
	}
	l.up, l.heard = true, now
	switch w {
	case &p.relay.calls:
		if w.cur == nil || !p.calls.Flying() {
			p.take(w)
		}
	case &p.relay.news:
		p.relay.ids++
		p.io.Send(l.conn, rpc.AppendWatch(nil, p.relay.ids))
	default:
		p.io.Send(l.conn, []byte("GET "+registry.Watch(p.servers.Version())+" HTTP/1.1\r\nHost: "+w.to.String()+"\r\n\r\n"))
	}
}

// broken: a link has ended by itself.
func (p *Program) broken(now float64, l *link) {
	delete(p.links, l.conn)
	w := l.of
	if w.next == l {
		p.fail(now, w)
		return
	}
	w.cur = nil
	if w == &p.relay.calls && p.calls.Flying() {
		p.calls.Broken()
	}
	p.tendLink(now, w, 0)
}

func (p *Program) tendLinks(now float64) {
	for _, w := range []struct {
		*watch
		within float64
	}{{&p.relay.calls, 0}, {&p.relay.news, pingWithin}, {&p.listing, emptyWithin}} {
		p.tendLink(now, w.watch, w.within)
	}
	if w := &p.relay.calls; w.cur != nil && !p.calls.Flying() && w.next != nil && w.next.up {
		p.take(w)
	}
}

// tendLink dials where a link is missing, silent for too long, has rested for too long, or goes to an address that is not to be
// used any more.
func (p *Program) tendLink(now float64, w *watch, within float64) {
	if n := w.next; n != nil {
		if now-n.since < proveWithin || w == &p.relay.calls && n.up {
			return
		}
		p.drop(n)
		p.fail(now, w)
	}
	silent := w.cur != nil && within > 0 && now-w.cur.heard > within
	rested := w.cur != nil && w == &p.relay.calls && now-w.cur.heard > restMost
	if now >= w.retryAt && (w.cur == nil || silent || rested || w.cur.to != w.to) {
		p.dial(now, w)
	}
}

// say writes the next call, and gives up one that is not answered.
func (p *Program) say(now float64) {
	w := &p.relay.calls
	if p.calls.Flying() && now >= p.relay.answerBy {
		p.log.Warn("relay does not answer", "to", w.to)
		p.calls.Broken()
		p.drop(w.cur)
		w.cur = nil
		if w.next != nil && w.next.up {
			p.take(w)
		} else {
			p.tendLink(now, w, 0)
		}
	}
	if w.cur == nil || p.calls.Flying() || now < w.retryAt {
		return
	}
	if call, ok := p.calls.Next(nil); ok {
		p.counts.Calls++
		p.relay.answerBy = now + answerWithin
		w.cur.heard = now
		p.io.Send(w.cur.conn, call)
		p.log.Debug("call", "bytes", string(call[:len(call)-1]))
	}
}

// fromCalls reads answers. A link on which something came that is no answer is not used again.
func (p *Program) fromCalls(now float64, l *link, b []byte) {
	spoilt := l.lines.Read(b, mostLine, func(line []byte) {
		var m rpc.Message
		if rpc.Parse(line, &m) != nil {
			m = rpc.Message{}
		}
		p.log.Debug("answer", "bytes", string(line))
		switch p.calls.Answered(&m) {
		case station.Refused:
			p.log.Debug("relay refuses", "why", m.Error)
			l.of.retryAt = now + againFirst
		case station.Partly:
			p.log.Warn("relay could not use an order", "dropped", p.calls.Dropped)
		case station.Unclear:
			p.log.Warn("relay's answer cannot be read", "bytes", len(line))
			if l.of.cur == l {
				l.of.cur = nil
			}
		}
	})
	if spoilt != nil {
		p.calls.Broken()
		if l.of.cur == l {
			l.of.cur = nil
		}
	}
	if l.of.cur != l && l.of.next != l {
		p.drop(l)
		p.tendLink(now, l.of, 0)
	}
}

func (p *Program) fromNews(now float64, l *link, b []byte) {
	before := len(p.news.Streams)
	if err := l.lines.Read(b, mostLine, func(line []byte) {
		var m rpc.Message
		if err := rpc.Parse(line, &m); err != nil {
			p.counts.Spoilt++
			return
		}
		p.log.Debug("news", "bytes", string(line))
		if m.Answer {
			if m.Error == "" && l.of.next == l {
				p.take(l.of)
				p.roster.Begin(now)
			}
			return
		}
		if l.of.cur == l {
			p.told(now, &m)
		}
	}); err != nil {
		p.drop(l)
		p.broken(now, l)
	}
	p.moved(now, before)
}

// told takes one piece of the relay's news.
func (p *Program) told(now float64, m *rpc.Message) {
	x := &m.Params
	if m.Method == "ping" {
		p.roster.Ends(&p.news)
		return
	}
	if x.Sidecar == nil || *x.Sidecar < 0 || *x.Sidecar >= p.dep.FamilyInfo.DataPlaneSize {
		p.counts.Spoilt++
		return
	}
	proxy := choice.Proxy(*x.Sidecar)
	switch m.Method {
	case "attach":
		zone, ok := p.zone(x.Zone)
		if !ok || x.Share == nil || *x.Share < 0 || x.Standing == nil {
			p.counts.Spoilt++
			return
		}
		p.roster.Attach(choice.Stream{Proxy: proxy, Zone: zone, Usual: *x.Share, Fresh: *x.Standing}, &p.news)
	case "detach":
		p.roster.Detach(proxy, &p.news)
	case "done":
		if x.Version == nil || x.Lag == nil || *x.Lag < 0 {
			p.counts.Spoilt++
			return
		}
		p.news.Applied = append(p.news.Applied, choice.Applied{Proxy: proxy, Mark: choice.Mark(*x.Version), Took: *x.Lag / 1000})
		p.dirty(now)
	}
}

func (p *Program) fromListing(now float64, l *link, b []byte) {
	if l.body == nil {
		l.head = append(l.head, b...)
		var m http1.Message
		n, body, err := http1.Opened(l.head, headLimits, &m)
		if err != nil || n > 0 && m.Status != 200 {
			p.log.Warn("discovery's answer cannot be used", "status", m.Status, "error", err)
			p.drop(l)
			p.broken(now, l)
			return
		}
		if n == 0 {
			return
		}
		l.body, b, l.head = &body, l.head[n:], nil
	}
	long := false
	over, err := l.body.Read(b, func(part []byte) {
		long = l.lines.Read(part, mostLine, func(line []byte) { p.listed(now, l, line) }) != nil || long
	})
	if over || err != nil || long {
		p.drop(l)
		p.broken(now, l)
	}
}

// listed takes a line of discovery's; an empty one is a sign of life.
func (p *Program) listed(now float64, l *link, line []byte) {
	if len(line) > 0 {
		list, err := registry.Parse(line)
		if err != nil {
			p.counts.Spoilt++
			return
		}
		p.log.Debug("list", "bytes", string(line))
		p.servers.Take(list, !l.first, &p.news)
		l.first = true
		p.dirty(now)
	}
	if l.of.next == l {
		p.take(l.of)
	}
}

func (p *Program) zone(name string) (choice.Zone, bool) {
	for i, z := range p.dep.Zones {
		if z == name {
			return choice.Zone(i), true
		}
	}
	return 0, false
}
