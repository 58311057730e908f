package platform

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/env"
	"snowquay/internal/wire/resp"
)

const (
	joinWithin   = 0.9     // seconds until a caller has to name its zone: those that have not within 1 may be closed
	reserve      = 96      // descriptors that callers may not use: relay, discovery, probes, and what the runtime needs
	leastCallers = 32      // callers at once, whatever the limit is
	mostHeld     = 4 << 10 // bytes of an unfinished message of a caller that has not joined
	mostAsked    = 64      // signs of life asked for by one that has not joined
	mostWindow   = 60e3    // milliseconds that a report may cover, and that an answer may take
	mostTries    = 1e6     // in one report
)

var callerLimits = resp.Limits{Bytes: 1 << 20, Elements: 512} // a message's bytes are the platform's; reports have some 20 words

// caller is somebody who has connected.
type caller struct {
	conn   env.Conn
	since  float64
	in     resp.Reader
	joined bool // it has named a zone
	asked  int  // signs of life
}

func (p *Program) accept(now float64, c env.Conn) {
	if len(p.callers) >= p.most { // whoever has said nothing for longest makes room
		for len(p.unjoined) > 0 && len(p.callers) >= p.most {
			p.refuse(p.unjoined[0])
			p.unjoined = p.unjoined[1:]
		}
		if len(p.callers) >= p.most {
			p.counts.Closed++
			p.io.Close(c)
			return
		}
	}
	x := &caller{conn: c, since: now}
	p.callers[c] = x
	p.unjoined = append(p.unjoined, x)
}

// refuse tells a caller that it is not wanted, and closes.
func (p *Program) refuse(x *caller) {
	if p.callers[x.conn] != x || x.joined {
		return
	}
	p.counts.Refused++
	delete(p.callers, x.conn)
	p.io.Send(x.conn, resp.Append(nil, "reject"))
	p.io.Close(x.conn)
}

// turnOut closes those who have not joined in time.
func (p *Program) turnOut(now float64) {
	n := 0
	for n < len(p.unjoined) && now-p.unjoined[n].since >= joinWithin {
		p.refuse(p.unjoined[n])
		n++
	}
	if p.unjoined = p.unjoined[n:]; len(p.unjoined) == 0 {
		p.unjoined = nil
	}
}

func (p *Program) hear(now float64, x *caller, b []byte) {
	x.in.Feed(b)
	var words [][]byte
	for {
		var ok bool
		var err error
		if words, ok, err = x.in.Next(words[:0], callerLimits); err != nil {
			p.unreadable(x)
			return
		}
		if !ok {
			break
		}
		if !p.message(now, x, words) {
			p.refuse(x)
			return
		}
	}
	if !x.joined && x.in.Buffered() > mostHeld {
		p.refuse(x)
	}
}

// unreadable closes a connection on which no message can be told from the next.
func (p *Program) unreadable(x *caller) {
	if !x.joined {
		p.refuse(x)
		return
	}
	p.counts.Closed++
	delete(p.callers, x.conn)
	p.io.Close(x.conn)
}

// message takes one; false where its sender is to be refused.
func (p *Program) message(now float64, x *caller, words [][]byte) bool {
	kind, f := string(words[0]), fields{words: words[1:], bad: len(words)%2 == 0}
	good := false
	switch {
	case kind == "hb":
		if x.asked++; !x.joined && x.asked > mostAsked {
			return false
		}
		p.io.Send(x.conn, resp.Append(nil, "hb_ok"))
		return true
	case kind == "telemetry":
		good = !f.bad && p.zone(f.text("az")) >= 0
		x.joined = x.joined || good
	case !x.joined:
		return false
	case kind == "upstream_stats":
		good = p.traffic(now, &f)
	case kind == "client_stats":
		good = p.demand(now, &f)
	}
	if !good {
		p.counts.Spoilt++
	}
	return x.joined
}

// fields are a message's names and values.
type fields struct {
	words [][]byte
	bad   bool
}

func (f *fields) find(name string) ([]byte, bool) {
	for i := 0; i+1 < len(f.words); i += 2 {
		if string(f.words[i]) == name {
			return f.words[i+1], true
		}
	}
	return nil, false
}

func (f *fields) text(name string) string {
	v, ok := f.find(name)
	if !ok {
		f.bad = true
	}
	return string(v)
}

// figure is a number from 0 to most.
func (f *fields) figure(name string, most float64) float64 {
	v, ok := number(f.text(name))
	if !ok || v > most {
		f.bad = true
	}
	return v
}

func number(s string) (float64, bool) {
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v >= 0 && !math.IsInf(v, 0)
}

// traffic takes what the proxies of a zone met at a server; false where it can't be used.
func (p *Program) traffic(now float64, f *fields) bool {
	zone := p.zone(f.text("az"))
	t := balancer.UpstreamReport{Server: balancer.Server(f.text("host")), Zone: zone, Attempts: f.figure("n", mostTries),
		Failed: f.figure("bad", mostTries), Interval: f.figure("window", mostWindow) / 1000}
	if _, given := f.find("avg"); given || t.Failed < t.Attempts { // with no good try there may be no mean
		t.Latency = f.figure("avg", mostWindow) / 1000
	}
	if v, given := f.find("report"); given {
		t.Load = p.load(f, v, ':')
	}
	if f.bad || zone < 0 || t.Failed > t.Attempts || t.Interval <= 0 || !p.servers.Contains(t.Server) {
		return false
	}
	p.counts.Reports++
	p.news.Upstreams = append(p.news.Upstreams, t)
	p.dirty(now)
	return true
}

// demand takes what came to a proxy for a class; false where it can't be used.
func (p *Program) demand(now float64, f *fields) bool {
	proxy, err := strconv.Atoi(f.text("sidecar"))
	class := p.class(f.text("kind"))
	d := balancer.DemandReport{Proxy: balancer.Proxy(proxy), Class: class, Requests: f.figure("n", mostTries),
		Failed: f.figure("bad", mostTries), Interval: f.figure("window", mostWindow) / 1000}
	if f.bad || err != nil || class < 0 || d.Failed > d.Requests || d.Interval <= 0 || !p.roster.Contains(d.Proxy) {
		return false
	}
	p.counts.Reports++
	p.news.Demands = append(p.news.Demands, d)
	p.dirty(now)
	return true
}

// words on sockets of the figures that the settings list.
var words = map[balancer.LoadMetric]string{balancer.InProgress: "inflight", balancer.QueueLength: "queue", balancer.Utilization: "util",
	balancer.ServiceTime: "latency_ms", balancer.CompletionRate: "qps", balancer.ErrorRate: "eps"}

// load reads a load report, in the order of the settings. Figures that they do not list are passed over; a report that lacks one
// of those that they do is left out, and what it came with counts.
func (p *Program) load(f *fields, b []byte, joint byte) []float64 {
	got := map[string]float64{}
	for part := range bytes.SplitSeq(b, []byte{','}) {
		name, value, ok := strings.Cut(string(part), string(joint))
		v, good := number(value)
		if !ok || !good {
			f.bad = true
			return nil
		}
		got[name] = v
	}
	var list []float64
	for _, n := range p.figures {
		v, ok := got[n]
		if !ok {
			return nil
		}
		list = append(list, v)
	}
	return list
}
