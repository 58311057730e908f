// Package proxy is a small proxy as a env.Program: it serves HTTP/1.1 clients, sends their queries to match servers as the
// published tables say, follows coordinators by the long-poll API or SASP, and reports what it met. All that it decides is in
// core/forward. docs/proxy.md tells why it is as it is.
package proxy

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"snowquay/balancer"
	"snowquay/internal/core/admission"
	"snowquay/internal/core/forwarding"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/core/retry"
	"snowquay/internal/env"
	"snowquay/internal/feed/collectd"
	"snowquay/internal/wire/http1"
)

// Route sends queries whose path starts with a prefix to a class; the longest prefix counts.
type Route struct {
	Prefix string
	Class  balancer.Class
}

// Limits of a proxy. What happens at each is said beside it.
type Limits struct {
	MaxClients       int     // connections of clients; one more is closed at once
	MaxIdlePerServer int     // kept connections to one server that wait for queries; further ones are closed after use
	IdleTimeout      float64 // seconds that a client's connection may wait for its first, or next, query
	HTTP             http1.Limits
}

// DefaultLimits are those that settings start from.
var DefaultLimits = Limits{MaxClients: 20000, MaxIdlePerServer: 64, IdleTimeout: 75, HTTP: http1.DefaultLimits}

// Config is what a proxy is made of. Times are seconds.
type Config struct {
	UID            string
	Forwarding     forwarding.Config
	Routes         []Route
	Limits         Limits
	Coordinators   []netip.AddrPort  // tried in turn
	SASP           bool              // they are spoken to by SASP, else by the long-poll API
	CollectorPort  uint16            // port of their collectors; 0: nothing is reported
	User, Key      string            // of signed measurements
	ReportInterval float64           // seconds between two reports
	DefaultServers []balancer.Server // the table until there is another
	Seed           uint64            // of waits that vary
	Store          Store             // of the table; nil: nothing outlives the proxy
	Log            func(event string, pairs ...any)
	Observer       Observer // nil: nobody
}

// Store keeps a proxy's table for its next life.
type Store interface {
	Save([]byte) error
	Load() ([]byte, error) // nil: there is none
}

// Observer is told what a proxy does, for referees and tests.
type Observer interface {
	Joined(now float64)
	Left(now float64)
	TableChanged(now float64, lines int, has []bool)
	AttemptSent(now float64, s balancer.Server)
}

const (
	wakeEvery  = 0.01 // seconds between two looks at what is due
	saveEvery  = 1.0  // seconds between two snapshots at most
	checkEvery = 1.0  // seconds between two looks for clients that are silent
	keyField   = "Idempotency-Key"
	ranField   = "Snowquay-Ran" // "no" in a 503: the server has not begun with it
)

type client struct {
	id    env.Conn
	buf   []byte
	query forwarding.RequestID // 0: none is under way
	msg   http1.Message
	ended bool // the connection ends after the answer
	asked bool // it was told to go on with its body
	since float64
}

type target struct {
	server balancer.Server
	at     netip.AddrPort
	idle   []*upstream
	gone   bool // it has no line any more
}

type upstream struct {
	id    env.Conn
	to    *target
	try   forwarding.AttemptID
	query forwarding.RequestID
	up    bool
	buf   []byte
	msg   http1.Message
}

// pending is a query as its client sent it.
type pending struct {
	client *client // nil: it has left
	method string
	bytes  []byte
	last   []byte // the latest answer that counts as a failure, to be passed on if there is no better one
}

// Proxy is the program. Use New.
type Proxy struct {
	setup   Config
	io      env.IO
	Core    *forwarding.Proxy
	clients map[env.Conn]*client
	ups     map[env.Conn]*upstream
	targets map[balancer.Server]*target
	queries map[forwarding.RequestID]*pending
	tries   map[forwarding.AttemptID]*upstream
	session follower
	chance  uint64
	bytes   []byte
	savedAt float64
	dirty   bool
	checked float64
	report  float64
	Stats   Stats
}

// Stats is what happened, for metrics.
type Stats struct{ Malformed, Clients, Dials, Reused, Saved, SaveFailed, Excess int }

// New makes a proxy; it does nothing until Start.
func New(now float64, s Config) *Proxy {
	p := &Proxy{setup: s, Core: forwarding.New(now, s.Forwarding), clients: map[env.Conn]*client{}, ups: map[env.Conn]*upstream{},
		targets: map[balancer.Server]*target{}, queries: map[forwarding.RequestID]*pending{}, tries: map[forwarding.AttemptID]*upstream{},
		chance: s.Seed*2 + 1}
	slices.SortStableFunc(p.setup.Routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	if s.Log == nil {
		p.setup.Log = func(string, ...any) {}
	}
	return p
}

func (p *Proxy) float() float64 {
	p.chance = p.chance*6364136223846793005 + 1442695040888963407
	return float64(p.chance>>11) / (1 << 53)
}

// Start of env.Program.
func (p *Proxy) Start(now float64, io env.IO) {
	p.io = io
	for c := range p.setup.Forwarding.ClassNames {
		for _, s := range p.setup.DefaultServers {
			p.Core.Tables.Table(balancer.Class(c)).Set(s, 1)
		}
	}
	if p.setup.Store != nil {
		if b, err := p.setup.Store.Load(); err != nil {
			p.setup.Log("snapshot not read", "error", err)
		} else if b != nil {
			if err := p.Core.Tables.Restore(now, b); err != nil {
				p.setup.Log("snapshot not used", "error", err)
			} else {
				p.setup.Log("goes on by a former life's table", "age", p.Core.Tables.Age(now))
			}
		}
	}
	p.session.start(now, p)
	p.report = now + p.setup.ReportInterval*p.float()
	io.SetTimer(now+wakeEvery, 0)
}

// Opened of env.Program.
func (p *Proxy) Opened(now float64, id env.Conn, _ netip.Addr, _ uint16) {
	if len(p.clients) >= p.setup.Limits.MaxClients {
		p.Stats.Clients++
		p.io.Close(id)
		return
	}
	p.clients[id] = &client{id: id, since: now}
}

// Connected of env.Program.
func (p *Proxy) Connected(now float64, id env.Conn, ok bool) {
	if p.session.connected(now, id, ok) {
		return
	}
	u := p.ups[id]
	if u == nil {
		return
	}
	if !ok {
		p.drop(u)
		p.obey(now, p.Core.AttemptFailed(now, u.try, retry.NotExecuted))
		return
	}
	u.up = true
	p.transmit(u)
}

func (p *Proxy) transmit(u *upstream) {
	if q := p.queries[u.query]; q != nil {
		p.io.Send(u.id, q.bytes)
	}
}

// drop forgets a connection to a server.
func (p *Proxy) drop(u *upstream) {
	delete(p.ups, u.id)
	delete(p.tries, u.try)
	if i := slices.Index(u.to.idle, u); i >= 0 {
		u.to.idle = slices.Delete(u.to.idle, i, i+1)
	}
}

// Receive of env.Program.
func (p *Proxy) Receive(now float64, id env.Conn, b []byte) {
	if c := p.clients[id]; c != nil {
		if c.buf = append(c.buf, b...); len(c.buf) > p.setup.Limits.HTTP.Head+p.setup.Limits.HTTP.Body+(p.setup.Limits.HTTP.Body>>2) {
			p.bad(now, c, 413, "too much is sent ahead")
			return
		}
		p.requests(now, c)
		return
	}
	if u := p.ups[id]; u != nil {
		p.response(now, u, b)
		return
	}
	p.session.receive(now, id, b)
}

// requests takes what is whole of a client's bytes, one query at a time.
func (p *Proxy) requests(now float64, c *client) {
	for p.clients[c.id] == c && c.query == 0 && !c.ended && len(c.buf) > 0 {
		n, err := http1.ParseRequest(c.buf, p.setup.Limits.HTTP, &c.msg)
		if err != nil {
			var e *http1.Error
			status := 400
			if errors.As(err, &e) {
				status = e.Status
			}
			p.bad(now, c, status, err.Error())
			return
		}
		if n == 0 {
			if c.msg.Continue && !c.asked {
				c.asked = true
				p.io.Send(c.id, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			return
		}
		c.asked, c.since, c.ended = false, now, c.msg.Close
		p.ask(now, c)
		if c.buf = append(c.buf[:0], c.buf[n:]...); len(c.buf) == 0 {
			c.buf = nil // an idle connection keeps nothing
		}
		c.msg = http1.Message{}
	}
}

// bad answers what can't be followed, and ends the connection.
func (p *Proxy) bad(now float64, c *client, status int, why string) {
	p.Stats.Malformed++
	c.ended = true
	p.answer(now, c, "", problem(status, why, 0))
}

func problem(status int, why string, back float64) *http1.Message {
	m := &http1.Message{Status: status, Fields: []http1.Field{{Name: "Content-Type", Value: "application/problem+json"}},
		Body: fmt.Appendf(nil, `{"type":"about:blank","title":%q,"status":%d}`, why, status)}
	if back > 0 {
		m.Fields = append(m.Fields, http1.Field{Name: "Retry-After", Value: strconv.Itoa(int(math.Ceil(back)))})
	}
	return m
}

// answer writes a client's answer; what it had sent ahead follows.
func (p *Proxy) answer(now float64, c *client, method string, m *http1.Message) {
	p.bytes = http1.AppendResponse(p.bytes[:0], m, method, c.ended)
	p.io.Send(c.id, p.bytes)
	c.query, c.since = 0, now
	if c.ended {
		delete(p.clients, c.id)
		p.io.Close(c.id)
		return
	}
	p.requests(now, c)
}

func (p *Proxy) ask(now float64, c *client) {
	m := &c.msg
	class := balancer.Class(-1)
	for _, r := range p.setup.Routes {
		if strings.HasPrefix(m.Target, r.Prefix) {
			class = r.Class
			break
		}
	}
	if class < 0 {
		p.direct(c, m.Method, problem(404, "no class of queries is at this path", 0))
		return
	}
	a := forwarding.Request{Class: class, IdempotencyKey: m.Get(keyField)}
	q := &pending{client: c, method: m.Method, bytes: http1.AppendRequest(nil, m)}
	if a.IdempotencyKey != "" {
		d := xxhash.New()
		_, _ = d.WriteString(m.Method + " " + m.Target + "\n")
		_, _ = d.Write(m.Body)
		a.Fingerprint = d.Sum64()
	}
	n, orders := p.Core.HandleRequest(now, a)
	p.queries[n], c.query = q, n
	p.obey(now, orders)
}

// direct answers a query that went nowhere, within the loop that reads on.
func (p *Proxy) direct(c *client, method string, m *http1.Message) {
	p.bytes = http1.AppendResponse(p.bytes[:0], m, method, c.ended)
	p.io.Send(c.id, p.bytes)
	if c.query = 0; c.ended {
		delete(p.clients, c.id)
		p.io.Close(c.id)
	}
}

// obey does what was ordered.
func (p *Proxy) obey(now float64, orders []forwarding.Action) {
	for _, o := range orders {
		switch o.Kind {
		case forwarding.Send:
			p.try(now, o)
		case forwarding.Cancel:
			if u := p.tries[o.Attempt]; u != nil {
				p.drop(u)
				p.io.Close(u.id)
			}
		case forwarding.Fail, forwarding.Reject:
			p.fail(now, o)
		}
	}
}

var statuses = []struct {
	why    error
	status int
}{{forwarding.ErrKeyReused, 422}, {forwarding.ErrDeadlineExceeded, 504}, {forwarding.ErrAttemptsFailed, 502}, {forwarding.ErrNoServer, 503}, {admission.ErrRateLimited, 503},
	{admission.ErrTooManyInFlight, 503}}

func (p *Proxy) fail(now float64, o forwarding.Action) {
	q := p.queries[o.Request]
	if delete(p.queries, o.Request); q == nil || q.client == nil {
		return
	}
	if q.last != nil && errors.Is(o.Err, forwarding.ErrAttemptsFailed) { // what the server itself says is better than that it failed
		var m http1.Message
		if _, err := http1.ParseResponse(q.last, q.method, p.setup.Limits.HTTP, &m); err == nil {
			p.finish(now, q.client, q.method, &m)
			return
		}
	}
	status := 502
	for _, s := range statuses {
		if errors.Is(o.Err, s.why) {
			status = s.status
		}
	}
	p.finish(now, q.client, q.method, problem(status, o.Err.Error(), o.RetryAfter))
}

// finish answers a client from wherever its query ended: within the loop that reads it, or later.
func (p *Proxy) finish(now float64, c *client, method string, m *http1.Message) {
	if c.msg.Method != "" { // it is just being read
		p.direct(c, method, m)
		return
	}
	p.answer(now, c, method, m)
}

func (p *Proxy) try(now float64, o forwarding.Action) {
	t := p.targets[o.Server]
	if t == nil {
		at, err := netip.ParseAddrPort(string(o.Server))
		if err != nil {
			p.obey(now, p.Core.AttemptFailed(now, o.Attempt, retry.NotExecuted))
			return
		}
		t = &target{server: o.Server, at: at}
		p.targets[o.Server] = t
	}
	if t.gone = false; p.setup.Observer != nil {
		p.setup.Observer.AttemptSent(now, o.Server)
	}
	var u *upstream
	if n := len(t.idle); n > 0 {
		u, t.idle = t.idle[n-1], t.idle[:n-1]
		p.Stats.Reused++
	} else {
		u = &upstream{id: p.io.Dial(t.at), to: t}
		p.ups[u.id] = u
		p.Stats.Dials++
	}
	u.try, u.query, u.buf = o.Attempt, o.Request, u.buf[:0]
	if p.tries[o.Attempt] = u; u.up {
		p.transmit(u)
	}
}

// response takes bytes of a server.
func (p *Proxy) response(now float64, u *upstream, b []byte) {
	if u.try == 0 { // it speaks unasked
		p.Stats.Excess++
		p.drop(u)
		p.io.Close(u.id)
		return
	}
	u.buf = append(u.buf, b...)
	q := p.queries[u.query]
	method := "GET"
	if q != nil {
		method = q.method
	}
	for {
		n, err := http1.ParseResponse(u.buf, method, p.setup.Limits.HTTP, &u.msg)
		if err != nil {
			p.broken(now, u)
			p.io.Close(u.id)
			return
		}
		if n == 0 {
			return
		}
		if u.msg.Status >= 200 {
			p.answered(now, u, n)
			return
		}
		u.buf = append(u.buf[:0], u.buf[n:]...) // 100 and the like are ours alone
	}
}

// answered takes a whole response. Statuses of 500 and more are failures of the server: the query may be tried elsewhere.
func (p *Proxy) answered(now float64, u *upstream, n int) {
	t, msg := u.try, u.msg
	excess := len(u.buf) > n
	delete(p.tries, t)
	u.try, u.query, u.msg = 0, 0, http1.Message{}
	keep := !msg.Close && !excess && !u.to.gone && len(u.to.idle) < p.setup.Limits.MaxIdlePerServer
	if excess {
		p.Stats.Excess++
	}
	if msg.Status >= 500 {
		raw := slices.Clone(u.buf[:n])
		p.release(u, keep)
		outcome := retry.MaybeExecuted
		if msg.Status == 503 && strings.EqualFold(msg.Get(ranField), "no") {
			outcome = retry.NotExecuted
		}
		p.lastOf(t, raw)
		p.obey(now, p.Core.AttemptFailed(now, t, outcome))
		return
	}
	id, orders, ok := p.Core.AttemptSucceeded(now, t)
	if q := p.queries[id]; ok && q != nil {
		delete(p.queries, id)
		if q.client != nil {
			p.finish(now, q.client, q.method, &msg)
		}
	}
	p.release(u, keep)
	p.obey(now, orders)
}

// lastOf keeps a server's own words on a failure.
func (p *Proxy) lastOf(t forwarding.AttemptID, raw []byte) {
	if n, ok := p.Core.RequestOf(t); ok && p.queries[n] != nil {
		p.queries[n].last = raw
	}
}

func (p *Proxy) release(u *upstream, keep bool) {
	if !keep {
		delete(p.ups, u.id)
		p.io.Close(u.id)
		return
	}
	if u.buf = u.buf[:0]; cap(u.buf) > keptBuffer {
		u.buf = nil
	}
	u.to.idle = append(u.to.idle, u)
}

const keptBuffer = 8 << 10 // bytes that an idle connection keeps for its next answer

// broken takes the end of a connection in the middle of a try.
func (p *Proxy) broken(now float64, u *upstream) {
	t := u.try
	if p.drop(u); t != 0 {
		p.obey(now, p.Core.AttemptFailed(now, t, retry.MaybeExecuted))
	}
}

// Closed of env.Program.
func (p *Proxy) Closed(now float64, id env.Conn) {
	if c := p.clients[id]; c != nil {
		delete(p.clients, id)
		if q := p.queries[c.query]; q != nil && c.query != 0 {
			q.client = nil
			delete(p.queries, c.query)
			p.obey(now, p.Core.ClientGone(c.query))
		}
		return
	}
	if u := p.ups[id]; u != nil {
		if u.try != 0 && u.msg.UntilClose && http1.CompleteResponseAtEOF(u.buf, &u.msg) == nil {
			u.msg.Close = true
			p.answered(now, u, len(u.buf))
			return
		}
		p.broken(now, u)
		return
	}
	p.session.closed(now, id)
}

// Delivered of env.Program.
func (p *Proxy) Delivered(float64, env.Conn, uint64) {}

// Reconnect breaks the connection to the coordinator from this side.
func (p *Proxy) Reconnect(now float64) {
	if p.session.conn != 0 {
		p.session.lose(now, "it was told to")
	}
}

// IgnoreDelivery of eventloop.DeliveryIgnorer: the proxy does not ask what clients have taken.
func (p *Proxy) IgnoreDelivery() {}

// Datagram of env.Program.
func (p *Proxy) Datagram(float64, []byte) {}

// TimerFired of env.Program.
func (p *Proxy) TimerFired(now float64, _ int) {
	p.obey(now, p.Core.Tick(now))
	p.session.tick(now)
	if p.setup.CollectorPort != 0 && now >= p.report {
		p.report = now + p.setup.ReportInterval
		p.reports(now)
	}
	if p.dirty && now-p.savedAt >= saveEvery {
		p.save(now)
	}
	if now-p.checked >= checkEvery {
		p.checked = now
		for _, c := range p.silent(now) {
			delete(p.clients, c.id)
			p.io.Close(c.id)
		}
	}
	p.io.SetTimer(now+wakeEvery, 0)
}

func (p *Proxy) silent(now float64) (list []*client) {
	for _, c := range p.clients {
		if c.query == 0 && now-c.since > p.setup.Limits.IdleTimeout {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *client) int { return cmp.Compare(a.id, b.id) })
	return list
}

func (p *Proxy) save(now float64) {
	p.dirty, p.savedAt = false, now
	b, err := p.Core.Tables.Save()
	if err == nil {
		err = p.setup.Store.Save(b)
	}
	if p.Stats.Saved++; err != nil {
		p.Stats.SaveFailed++
		p.setup.Log("snapshot not saved", "error", err)
	}
}

func (p *Proxy) reports(now float64) {
	to := netip.AddrPortFrom(p.session.at().Addr(), p.setup.CollectorPort)
	k := collectd.NewPacketWriter(now, p.setup.UID, p.setup.User, p.setup.Key, func(b []byte) { p.io.Datagram(to, b) })
	p.Core.Reports(func(s balancer.Server, t loadreport.Totals) { k.Traffic(string(s), t) },
		func(c balancer.Class, t loadreport.Totals) { k.Demand(p.setup.Forwarding.ClassNames[c], t) })
	k.Flush()
}

// changed notes that the tables are others now: kept connections to servers that have left are closed, queries in progress
// there go on.
func (p *Proxy) changed(now float64, lines int, left []balancer.Server) {
	p.dirty = p.setup.Store != nil
	p.Core.RemoveServers(left)
	for _, s := range left {
		t := p.targets[s]
		if t == nil {
			continue
		}
		idle := t.idle
		t.idle, t.gone = nil, true
		for _, u := range idle {
			delete(p.ups, u.id)
			p.io.Close(u.id)
		}
		delete(p.targets, s)
	}
	if p.setup.Observer != nil {
		p.setup.Observer.TableChanged(now, lines, p.has())
	}
}

func (p *Proxy) has() (has []bool) {
	for c := range p.setup.Forwarding.ClassNames {
		has = append(has, p.Core.Tables.Table(balancer.Class(c)).Len() > 0)
	}
	return has
}

// Clients is the number of clients' connections.
func (p *Proxy) Clients() int { return len(p.clients) }

// Coordinator tells whether the proxy is led now, and by whom it was last.
func (p *Proxy) Coordinator() (joined bool, at netip.AddrPort) {
	return p.session.joined, p.session.at()
}
