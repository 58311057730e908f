package platform

import (
	"bytes"
	"net/http"
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/core/platformstate"
	"snowquay/internal/env"
	"snowquay/internal/wire/discovery"
	"snowquay/internal/wire/http1"
	"snowquay/internal/wire/jsonrpc"
	"snowquay/internal/wire/lines"
)

const (
	answerUsual  = 0.05    // seconds in which the relay answers a call, or never
	answerWithin = 0.25    // seconds until a call is given up: the rest is for a core that others use
	pingWithin   = 1.6     // seconds without any news: the relay gives a sign of life each second
	emptyWithin  = 4.6     // seconds without a line: discovery gives a sign of life every 2
	dialAgain    = 0.3     // seconds for a dial; then another is made: a first packet that is lost is repeated only after 1
	proveWithin  = 2.0     // seconds that a new link has to show that it works, its dial among them
	otherAfter   = 0.15    // seconds without its link after which calls take the one for news: a dial takes a hundredth of it
	againFirst   = 0.1     // seconds until a link that broke is dialled again,
	againMost    = 0.4     // doubled up to this: a relay that is back is to be known at once
	againUnread  = 8.0     // and up to this where discovery's lists can't be read whole: it gives the same ones again
	mostLine     = 1 << 20 // bytes: the whole list of 2,000 servers has a fifth of it
)

var headLimits = http1.Limits{Head: 8 << 10, Body: 1 << 20, Fields: 50}

// link is one connection of our own.
type link struct {
	of    *watch
	conn  env.Conn
	to    netip.AddrPort
	up    bool
	since float64 // when it was dialled
	heard float64
	lines lines.Reader
	head  []byte // of discovery's answer, until it is whole
	body  *http1.Body
	first bool                  // it has told something
	whole bool                  // discovery has been asked for the whole list
	says  *platformstate.Source // of a link to the relay that gives its news
	mute  bool                  // a call on it was not answered, and there was no sign of life since
}

// watch is a link that has to stand, and the one that is to take its place: made beside it where it is silent or its address is
// no longer the one to use. It is taken when it has shown that it works.
type watch struct {
	to        netip.AddrPort
	cur, next *link
	retryAt   float64
	pause     float64
	whole     bool    // of discovery's: the whole list is asked for first
	unread    int     // times in a row that a list could not be read whole
	againAt   float64 // when what could not be read is asked for again; 0: nothing is owed
	receive   func(p *Program, now float64, l *link, b []byte)
}

// relay is the two links to it. Both give its news, so that neither rests, and one can take the other's place without a gap. The
// roster goes by main; calls take second, since the relay may break whatever a call comes on, and main where there is no second.
type relay struct {
	main, second watch
	missing      float64 // since when there is no second
	sayAt        float64 // no call before
	on           *link   // on which a call is out
	parting      *link   // on, where another link has its place already: it stays for the answer
	saidAt       float64 // when that call was written
	held         bool    // the module was told last that orders do not reach the channel
	ids          uint64
}

func (p *Program) dial(now float64, w *watch) {
	l := &link{of: w, to: w.to, since: now, heard: now}
	l.conn = p.io.Dial(w.to)
	w.next, p.links[l.conn] = l, l
	w.retryAt = now + againFirst // a peer that ends each link at once is not dialled in a loop
}

func (p *Program) drop(l *link) {
	if l != nil {
		delete(p.links, l.conn)
		p.io.Close(l.conn)
	}
}

// cut ends a link that is of no further use.
func (p *Program) cut(now float64, l *link) {
	p.drop(l)
	p.broken(now, l)
}

// fail is the end of a link that was to be: it is dialled again after a pause.
func (p *Program) fail(now float64, w *watch) {
	w.next = nil
	w.pause = min(max(2*w.pause, againFirst), againMost)
	w.retryAt = now + w.pause
}

// retire drops a link that another one replaces; where a call is out on it, once that is answered or given up. Guards against
// an answer that is thrown away, and orders that so go twice, when links change under load.
func (p *Program) retire(l *link) {
	if l != nil && l == p.relay.on {
		p.relay.parting = l
		return
	}
	p.drop(l)
}

// over: the outcome of the call that was out is known.
func (p *Program) over() {
	r := &p.relay
	p.drop(r.parting)
	r.on, r.parting = nil, nil
}

// take puts the new link into the place of the old one.
func (p *Program) take(now float64, w *watch) {
	if w.cur != nil {
		p.roster.MarkReplaced(now, w.cur.says)
	}
	p.retire(w.cur)
	w.cur, w.next, w.pause = w.next, nil, 0
}

// linked: a dial has ended.
func (p *Program) linked(now float64, l *link, ok bool) {
	w := l.of
	p.log.Debug("dialled", "to", l.to, "second", w == &p.relay.second, "ok", ok, "took", now-l.since)
	if !ok {
		delete(p.links, l.conn)
		p.fail(now, w)
		return
	}
	l.up, l.heard = true, now
	switch w {
	case &p.relay.main, &p.relay.second:
		p.relay.ids++
		p.io.Send(l.conn, jsonrpc.AppendWatch(nil, p.relay.ids))
	default:
		p.list(l)
	}
}

// list asks discovery for the whole list where that is owed, else for what changes.
func (p *Program) list(l *link) {
	path := discovery.WatchPath(p.servers.CompleteVersion())
	if l.whole = l.of.whole; l.whole {
		path = discovery.ListPath
	}
	p.io.Send(l.conn, []byte("GET "+path+" HTTP/1.1\r\nHost: "+l.to.String()+"\r\n\r\n"))
}

// broken: a link has ended by itself.
func (p *Program) broken(now float64, l *link) {
	delete(p.links, l.conn)
	w := l.of
	p.log.Debug("broken", "to", l.to, "second", w == &p.relay.second, "flying", p.calls.InFlight(), "next", w.next == l)
	if w.next == l {
		p.fail(now, w)
		return
	}
	if p.relay.on == l {
		p.unclear(now)
	}
	if w.cur != l {
		return
	}
	w.cur = nil
	p.lost(now, w)
	p.tendLink(now, w, 0)
}

// lost: the current link of a watch is gone.
func (p *Program) lost(now float64, w *watch) {
	switch w {
	case &p.relay.second:
		p.relay.missing = now
	case &p.relay.main:
		p.promote(now)
	}
}

// promote puts the second link to the relay into the first one's place, if it has listened all along.
func (p *Program) promote(now float64) {
	r := &p.relay
	if s := r.second.cur; s != nil && s.says.Complete(now) {
		p.retire(r.main.cur)
		r.main.cur, r.second.cur, r.missing = s, nil, now
		s.of = &r.main
		p.roster.SwitchSource(now, s.says, &p.news)
		p.tendLink(now, &r.second, 0)
	}
}

func (p *Program) tendLinks(now float64) {
	r := &p.relay
	for _, w := range []*watch{&r.main, &r.second} {
		p.tendLink(now, w, pingWithin)
		if w.cur != nil {
			p.roster.ExpireList(now, w.cur.says, &p.news)
		}
	}
	if r.main.cur != nil && now-r.main.cur.heard > pingWithin {
		p.promote(now)
	}
	p.tendLink(now, &p.listing, emptyWithin)
}

// tendLink dials where a link is missing, silent for too long, or goes to an address that is not to be used any more.
func (p *Program) tendLink(now float64, w *watch, within float64) {
	if n := w.next; n != nil {
		if now-n.since < dialAgain || n.up && now-n.since < proveWithin {
			return
		}
		p.log.Debug("not proven", "to", n.to, "second", w == &p.relay.second, "up", n.up)
		p.drop(n)
		if w.next = nil; n.up {
			p.fail(now, w)
		}
	}
	silent := w.cur != nil && within > 0 && now-w.cur.heard > within
	owed := w.againAt > 0 && now >= w.againAt
	if now >= w.retryAt && (w.cur == nil || silent || owed || w.cur.to != w.to) {
		w.againAt = 0
		p.dial(now, w)
	}
}

// say writes the next call, and gives up one that is not answered.
func (p *Program) say(now float64) {
	r := &p.relay
	if p.calls.InFlight() && now >= r.saidAt+answerWithin {
		p.log.Warn("relay does not answer", "to", r.main.to)
		p.unfit(now)
	}
	l := p.sayOn(now)
	if l == nil || p.calls.InFlight() || now < r.sayAt {
		return
	}
	if r.held { // what waits was decided before the relay was out of reach
		p.round(now)
	}
	if call, ok := p.calls.NextCall(nil); ok {
		p.counts.Calls++
		r.on, r.saidAt = l, now
		p.io.Send(l.conn, call)
		p.trace("call", call[:len(call)-1])
	}
}

// sayOn is the link that the next call goes on; nil: none. What is written to a relay that is out of reach may still arrive, so
// nothing goes again on a link that has not answered until there is a sign of life on it.
func (p *Program) sayOn(now float64) *link {
	r := &p.relay
	if l := r.second.cur; l != nil {
		return l
	}
	if l := r.main.cur; l != nil && !l.mute && now-r.missing >= otherAfter {
		return l
	}
	return nil
}

// stalled tells whether orders do not reach the channel: the relay is out of reach, refuses them, or leaves them unanswered.
func (p *Program) stalled(now float64) bool {
	r := &p.relay
	if p.calls.InFlight() {
		return now >= r.saidAt+answerUsual
	}
	return p.sayOn(now) == nil || now < r.sayAt && p.calls.Pending() > 0
}

// unclear: it will not be known whether the call that is out was carried out.
func (p *Program) unclear(now float64) {
	p.calls.ConnectionLost()
	p.over()
	p.dirty(now)
}

// unfit: a call was not answered as it should on a link. Guards against one that is silent, or goes on with what can't be read; the
// one for news is kept for as long as that comes, since breaking it costs more.
func (p *Program) unfit(now float64) {
	l := p.relay.on
	p.unclear(now)
	if l == nil {
		return
	}
	if l.mute = true; l == p.relay.second.cur {
		p.cut(now, l)
	}
}

// answer takes what came on the link that a call is out on.
func (p *Program) answer(now float64, m *jsonrpc.Message) {
	switch p.calls.HandleAnswer(m) {
	case platformstate.Rejected:
		p.log.Debug("relay refuses", "why", m.Error)
		p.relay.sayAt = now + againFirst
		p.over()
	case platformstate.PartiallyApplied:
		p.log.Warn("relay could not use an order", "dropped", p.calls.Dropped)
		p.over()
	case platformstate.Applied:
		p.over()
	case platformstate.Indeterminate:
		p.log.Warn("relay's answer cannot be read")
		p.unfit(now)
	}
}

func (p *Program) fromRelay(now float64, l *link, b []byte) {
	err := l.lines.Read(b, mostLine, func(line []byte) {
		p.trace("news", line)
		var m jsonrpc.Message
		if err := jsonrpc.Parse(line, &m); err != nil || m.Answer {
			switch {
			case l.says == nil && err == nil && m.Error == "":
				l.says = platformstate.NewSource(now)
				p.take(now, l.of)
				if l.of == &p.relay.main {
					p.roster.SwitchSource(now, l.says, &p.news)
				}
			case l == p.relay.on:
				p.answer(now, &m)
			default:
				p.counts.Spoilt++
			}
			return
		}
		if l.says != nil && p.links[l.conn] == l {
			p.roster.Touch(now, l.says)
			p.told(now, l, &m)
		}
	})
	if err != nil && p.links[l.conn] == l {
		p.cut(now, l)
	}
}

// told takes one piece of the relay's news.
func (p *Program) told(now float64, l *link, m *jsonrpc.Message) {
	x := &m.Params
	if m.Method == "ping" {
		l.mute = false
		p.roster.EndList(now, l.says, &p.news)
		return
	}
	if x.Proxy == nil || *x.Proxy < 0 || *x.Proxy >= p.dep.DataPlane.Proxies {
		p.counts.Spoilt++
		return
	}
	proxy := balancer.Proxy(*x.Proxy)
	switch m.Method {
	case "attach":
		zone := p.zone(x.Zone)
		if zone < 0 || x.ExpectedRate == nil || *x.ExpectedRate < 0 || x.DefaultTable == nil {
			p.counts.Spoilt++
			return
		}
		p.roster.ProxyJoined(now, l.says, balancer.ProxyEvent{Proxy: proxy, Zone: zone, ExpectedRate: *x.ExpectedRate, DefaultTable: *x.DefaultTable}, &p.news)
	case "detach":
		p.roster.ProxyLeft(l.says, proxy, &p.news)
	case "done":
		if l != p.relay.main.cur {
			return // main tells it too
		}
		if x.AckID == nil || x.LatencyMS == nil || *x.LatencyMS < 0 {
			p.counts.Spoilt++
			return
		}
		p.news.Acks = append(p.news.Acks, balancer.Ack{Proxy: proxy, ID: balancer.AckID(*x.AckID), Latency: *x.LatencyMS / 1000})
		p.dirty(now)
	}
}

func (p *Program) fromListing(now float64, l *link, b []byte) {
	if l.whole {
		p.wholeList(now, l, b)
		return
	}
	if l.body == nil {
		l.head = append(l.head, b...)
		var m http1.Message
		n, body, err := http1.ResponseHead(l.head, headLimits, &m)
		if err != nil || n > 0 && m.Status != 200 {
			p.log.Warn("discovery's answer cannot be used", "status", m.Status, "error", err)
			p.cut(now, l)
			return
		}
		if n == 0 {
			return
		}
		l.body, b, l.head = &body, l.head[n:], nil
	}
	long := false
	over, err := l.body.Read(b, func(part []byte) {
		long = l.lines.Read(part, mostLine, func(line []byte) {
			if p.links[l.conn] == l {
				p.listed(now, l, line)
			}
		}) != nil || long
	})
	if (over || err != nil || long) && p.links[l.conn] == l {
		p.cut(now, l)
	}
}

// wholeList takes the answer with the whole list; then the link goes on to what changes.
func (p *Program) wholeList(now float64, l *link, b []byte) {
	l.head = append(l.head, b...)
	var m http1.Message
	n, err := http1.Response(l.head, http.MethodGet, headLimits, &m)
	if err == nil && n == 0 {
		return
	}
	if err == nil {
		_, err = discovery.Parse(m.Body)
	}
	if err != nil || m.Status != http.StatusOK { // it is asked for again: what changes says nothing without it
		p.log.Warn("discovery's answer cannot be used", "status", m.Status, "error", err)
		p.cut(now, l)
		return
	}
	rest := bytes.Clone(l.head[n:])
	p.listed(now, l, bytes.TrimSpace(m.Body))
	l.of.whole, l.first, l.head = false, true, nil
	if m.Close { // it says no more on this link
		p.cut(now, l)
		return
	}
	if p.list(l); len(rest) > 0 {
		p.fromListing(now, l, rest)
	}
}

// listed takes a line of discovery's; an empty one is a sign of life. Where something in it can't be read, what that told would be
// lost for good when the versions go on: the link stays for the rest, and one beside it asks from the last version read whole.
func (p *Program) listed(now float64, l *link, line []byte) {
	w := l.of
	if len(line) > 0 {
		list, err := discovery.Parse(line)
		switch {
		case err != nil:
			p.counts.Spoilt++
			p.servers.MarkIncomplete()
		case !l.first && !l.whole && !list.Full && list.Version < p.servers.NewestVersion(): // not the numbers that we know
			w.whole = true
			p.cut(now, l)
			return
		default:
			p.trace("list", line)
			p.servers.Apply(list, !l.first, &p.news)
			p.dirty(now)
		}
		l.first = true
		p.owing(now, l)
	}
	if w.next == l {
		p.take(now, w)
	}
}

// owing has what could not be read asked for again: the longer that goes on, the later.
func (p *Program) owing(now float64, l *link) {
	switch w := l.of; {
	case !p.servers.Incomplete():
		if w.againAt = 0; now-l.since > againUnread { // not what a new link is told first
			w.unread = 0
		}
	case w.againAt == 0:
		wait := min(againFirst*float64(int(1)<<min(w.unread, 10)), againUnread)
		w.unread++
		w.againAt = now + wait
		p.log.Warn("discovery's list cannot be read whole", "again after", wait)
	}
}
