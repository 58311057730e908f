// Package longpollhttp is the long-poll API on connections: HTTP/1.1 (RFC 9112) requests become polls of a core/longpoll Counter,
// and its answers responses. Requests are parsed by net/http. It does no I/O of its own, so that it runs on an event loop
// and in virtual time; a parked poll costs its connection's few fields and no goroutine.
package longpollhttp

import (
	"bufio"
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/wire/delta"
)

// OpenAPI describes the API.
//
//go:embed openapi.json
var OpenAPI []byte

// Conn is a connection; the driver numbers them.
type Conn uint64

// Handler is the driver's side.
type Handler interface {
	SendPoll(Conn, []byte)
	ClosePoll(Conn)
	Log(event string, pairs ...any)
}

// Limits bound what connections may do; beyond each the connection is closed, after a response where one can be given.
type Limits struct {
	MaxConnections  int
	MaxHeadBytes    int     // bytes of a request's head
	MaxUnread       int     // bytes that a connection may leave untaken
	IdleTimeout     float64 // seconds for a request's head to come whole, and for the next request to begin
	DeliveryTimeout float64 // seconds for an answer to be taken
}

// DefaultLimits are those that settings start from.
var DefaultLimits = Limits{
	MaxConnections:  16384,   // three for each of 5,000 proxies
	MaxHeadBytes:    8 << 10, // the usual bound of web servers
	MaxUnread:       4 << 20, // a table of 1,000 servers for 20 classes
	IdleTimeout:     15,      // a proxy asks again at once
	DeliveryTimeout: 10,      // the longest pause of a proxy that is still alive
}

// ErrNotPoll says that a connection's first bytes are no poll of anybody.
var ErrNotPoll = errors.New("the first request is no poll")

// ParseIdentity is the UID that the first request of a connection names. need says that more bytes are needed to tell.
func ParseIdentity(b []byte) (uid string, need bool, err error) {
	line, _, whole := bytes.Cut(b, []byte("\r\n"))
	if !whole {
		return "", true, nil
	}
	parts := strings.Split(string(line), " ")
	if len(parts) != 3 || !strings.HasPrefix(parts[1], prefix) {
		return "", false, ErrNotPoll
	}
	name, _, _ := strings.Cut(parts[1][len(prefix):], "/")
	name, _, _ = strings.Cut(name, "?")
	if uid, err = url.PathUnescape(name); err != nil || uid == "" {
		return "", false, ErrNotPoll
	}
	return uid, false, nil
}

// RejectResponse is a whole response with a problem document, for a connection that is closed after it. after is when to come back, in
// seconds; 0: not to.
func RejectResponse(status int, kind, detail string, after float64) []byte {
	body, _ := json.Marshal(delta.Problem{Type: problems + kind, Title: http.StatusText(status), Status: status, Detail: detail,
		RetryAfter: math.Round(after*1000) / 1000}) // figures are finite
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n", status,
		http.StatusText(status), delta.ProblemMediaType, len(body))
	if after > 0 {
		b = fmt.Appendf(b, "Retry-After: %.0f\r\n", math.Ceil(after))
	}
	return append(append(b, "\r\n"...), body...)
}

const (
	prefix     = "/v1/proxies/"
	checkEvery = 0.25 // seconds between two looks for connections that have to be closed
	problems   = "https://snowquay.example/problems/"
	longestUID = 255
)

type conn struct {
	id      Conn
	from    netip.Addr
	uid     string // of its latest poll
	buf     []byte
	media   string
	waiter  longpoll.PollID // 0: no poll is being served
	since   float64         // when it last began to be silent
	sent    uint64
	taken   uint64
	sentAt  float64
	closing bool // once what was sent is taken
}

// Stats is what happened, for metrics.
type Stats struct{ Requests, Malformed, Closed int }

// Frontend is the API of one coordinator. Use New.
type Frontend struct {
	LongPoll *longpoll.Server
	out      Handler
	limits   Limits
	names    []string
	conns    map[Conn]*conn
	waiters  map[longpoll.PollID]*conn
	byUID    map[string]*conn // the latest connection of each proxy
	next     longpoll.PollID
	now      float64
	checked  float64
	tables   delta.Tables
	body     []byte
	bytes    []byte
	Stats    Stats
}

// New makes a front for classes of these names. Its Counter must be set before it is used.
func New(out Handler, limits Limits, names []string) *Frontend {
	return &Frontend{out: out, limits: limits, names: names, conns: map[Conn]*conn{}, waiters: map[longpoll.PollID]*conn{},
		byUID: map[string]*conn{}}
}

// Connections is their number.
func (f *Frontend) Connections() int { return len(f.conns) }

// Opened takes a connection.
func (f *Frontend) Opened(now float64, id Conn, from netip.Addr) {
	f.now = now
	c := &conn{id: id, from: from, since: now}
	if f.conns[id] = c; len(f.conns) > f.limits.MaxConnections {
		f.close(c, "too many connections")
	}
}

// Closed takes the end of a connection.
func (f *Frontend) Closed(now float64, id Conn) {
	if f.now = now; f.conns[id] != nil {
		f.forget(f.conns[id])
	}
}

func (f *Frontend) forget(c *conn) {
	delete(f.conns, c.id)
	if f.byUID[c.uid] == c {
		delete(f.byUID, c.uid)
	}
	if w := c.waiter; w != 0 {
		c.waiter = 0
		delete(f.waiters, w)
		f.LongPoll.PollClosed(f.now, w)
	}
}

func (f *Frontend) close(c *conn, why string) {
	f.Stats.Closed++
	f.out.Log("connection closed", "why", why, "from", c.from, "front", "poll")
	f.forget(c)
	f.out.ClosePoll(c.id)
}

// Delivered takes the kernel's word of how many bytes the peer's host has.
func (f *Frontend) Delivered(now float64, id Conn, total uint64) {
	f.now = now
	if c := f.conns[id]; c != nil {
		if c.taken = max(c.taken, total); c.closing && c.taken >= c.sent {
			f.forget(c)
			f.out.ClosePoll(id)
		}
	}
}

// Receive takes bytes of a connection, split in any way. One request is served at a time; more of them wait in the
// connection's buffer, up to its limit.
func (f *Frontend) Receive(now float64, id Conn, b []byte) {
	f.now = now
	c := f.conns[id]
	if c == nil || c.closing {
		return
	}
	c.buf = append(c.buf, b...)
	f.requests(c)
}

func (f *Frontend) requests(c *conn) {
	for f.conns[c.id] == c && !c.closing && c.waiter == 0 {
		end := bytes.Index(c.buf, []byte("\r\n\r\n"))
		if end < 0 || end+4 > f.limits.MaxHeadBytes {
			if len(c.buf) > f.limits.MaxHeadBytes {
				f.fail(c, http.StatusRequestHeaderFieldsTooLarge, "head-too-large", "the head has over %d bytes", f.limits.MaxHeadBytes)
			}
			return
		}
		head := bytes.Clone(c.buf[:end+4])
		if c.buf = append(c.buf[:0], c.buf[end+4:]...); len(c.buf) == 0 {
			c.buf = nil // an idle connection keeps nothing
		}
		c.since = f.now
		f.Stats.Requests++
		f.request(c, head)
	}
	if f.conns[c.id] == c && c.waiter != 0 && len(c.buf) > f.limits.MaxHeadBytes {
		f.close(c, "requests pile up behind a poll")
	}
}

// fail answers with a problem after which the stream can't be followed.
func (f *Frontend) fail(c *conn, status int, kind, format string, args ...any) {
	f.Stats.Malformed++
	c.closing = true
	f.problem(c, status, kind, 0, format, args...)
}

func (f *Frontend) request(c *conn, head []byte) {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		f.fail(c, http.StatusBadRequest, "malformed", "%v", err)
		return
	}
	// What says that a body follows is refused: none is ever needed, and whoever disagrees with us on where it ends could
	// hide a request in it.
	if r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Transfer-Encoding") != "" {
		f.fail(c, http.StatusRequestEntityTooLarge, "body", "requests have no body here")
		return
	}
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 {
		f.fail(c, http.StatusHTTPVersionNotSupported, "version", "%s is not spoken", r.Proto)
		return
	}
	if r.Close {
		defer func() { c.closing = c.closing || c.waiter == 0 }()
	}
	c.media, _ = delta.Accepts(r.Header.Get("Accept"))
	path := r.URL.EscapedPath()
	switch {
	case path == "/openapi.json" && r.Method == http.MethodGet:
		f.respond(c, http.StatusOK, delta.JSON, "", OpenAPI)
	case !strings.HasPrefix(path, prefix):
		f.problem(c, http.StatusNotFound, "not-found", 0, "there is nothing at %s", path)
	default:
		f.proxy(c, r, path[len(prefix):])
	}
}

func (f *Frontend) proxy(c *conn, r *http.Request, rest string) {
	name, part, tables := strings.Cut(rest, "/")
	uid, err := url.PathUnescape(name)
	switch {
	case err != nil || uid == "" || len(uid) > longestUID:
		f.problem(c, http.StatusBadRequest, "uid", 0, "no UID of 1 to %d bytes", longestUID)
	case !tables && r.Method == http.MethodDelete:
		if !f.LongPoll.ProxyLeft(f.now, uid) {
			f.problem(c, http.StatusNotFound, "not-joined", 0, "proxy %q has not joined", uid)
			return
		}
		f.respond(c, http.StatusNoContent, "", "", nil)
	case !tables || part != "tables":
		f.problem(c, http.StatusNotFound, "not-found", 0, "there is nothing at %s", r.URL.Path)
	case r.Method != http.MethodGet:
		f.problem(c, http.StatusMethodNotAllowed, "method", 0, "%s is not allowed here", r.Method)
	case c.media == "":
		f.problem(c, http.StatusNotAcceptable, "not-acceptable", 0, "JSON and CBOR are to be had")
	default:
		f.poll(c, uid, r.URL.Query())
	}
}

func (f *Frontend) poll(c *conn, uid string, q url.Values) {
	p := longpoll.Poll{UID: uid}
	var errs [4]error
	if v := q.Get("epoch"); v != "" {
		p.Epoch, errs[0] = strconv.ParseUint(v, 16, 64)
	}
	if v := q.Get("version"); v != "" {
		p.Version, errs[1] = strconv.ParseUint(v, 10, 64)
	}
	if v := q.Get("wait"); v != "" {
		p.Wait, errs[2] = strconv.ParseFloat(v, 64)
	}
	if v := q.Get("lead"); v != "" {
		p.OwnershipEpoch, errs[3] = strconv.ParseUint(v, 10, 64)
	}
	for i, name := range []string{"epoch", "version", "wait", "lead"} {
		if errs[i] != nil || len(q[name]) > 1 || !(p.Wait >= 0) || math.IsInf(p.Wait, 0) {
			f.problem(c, http.StatusBadRequest, "query", 0, "%s=%.60q makes no sense", name, strings.Join(q[name], " "))
			return
		}
	}
	if f.byUID[c.uid] == c {
		delete(f.byUID, c.uid)
	}
	c.uid = uid
	f.byUID[uid] = c
	f.next++
	c.waiter = f.next
	f.waiters[c.waiter] = c
	f.LongPoll.HandlePoll(f.now, c.waiter, p)
}

// serve ends a poll's waiting and hands its connection back.
func (f *Frontend) serve(w longpoll.PollID) *conn {
	c := f.waiters[w]
	if c != nil {
		delete(f.waiters, w)
		c.waiter, c.since = 0, f.now
	}
	return c
}

var ways = map[balancer.RetryPolicy]string{balancer.RetryNever: "none", balancer.RetryIfNotExecuted: "proof", balancer.RetryOnce: "failure",
	balancer.RetryTwice: "twice"}

// Answer of longpoll.Out.
func (f *Frontend) Answer(w longpoll.PollID, a *longpoll.Answer) {
	c := f.serve(w)
	if c == nil {
		return
	}
	if len(a.Classes) == 0 {
		f.respond(c, http.StatusNoContent, "", "", nil)
		f.requests(c)
		return
	}
	version := fmt.Sprintf("Snowquay-Version: %x.%d\r\n", a.Epoch, a.Version)
	t := &f.tables
	t.Base, t.OwnershipEpoch = a.From, a.OwnershipEpoch
	t.Epoch, t.Version, t.PollWithin, t.Classes = strconv.FormatUint(a.Epoch, 16), a.Version, a.PollWithin, t.Classes[:0]
	for _, x := range a.Classes {
		k := len(t.Classes)
		t.Classes = slices.Grow(t.Classes, 1)[:k+1]
		d := &t.Classes[k]
		if *d = (delta.Class{Class: f.names[x.Class], Full: x.Full, Entries: d.Entries[:0]}); d.Entries == nil {
			d.Entries = []delta.Entry{}
		}
		for _, l := range x.Entries {
			d.Entries = append(d.Entries, delta.Entry{Server: string(l.Server), Weight: l.Weight, Draining: l.Draining})
		}
		if x.HasAdmission {
			level, back := x.Admission, x.RetryAfter
			if d.Admission, d.Retry = &level, ways[x.Retry]; back > 0 {
				d.RetryAfter = &back
			}
		}
	}
	var err error
	if f.body, err = delta.Append(f.body[:0], c.media, t); err != nil { // figures are finite, so there is a form
		f.problem(c, http.StatusInternalServerError, "internal", 0, "%v", err)
		return
	}
	f.respond(c, http.StatusOK, c.media, version, f.body)
	f.requests(c)
}

var refusals = map[longpoll.RejectReason]struct {
	status     int
	kind, text string
}{
	longpoll.NotListed:        {http.StatusForbidden, "not-listed", "the settings list no such proxy"},
	longpoll.TooManyPolls:     {http.StatusServiceUnavailable, "crowded", "too many proxies come at once"},
	longpoll.PollRateExceeded: {http.StatusTooManyRequests, "too-often", "this proxy asks too often"},
	longpoll.Superseded:       {http.StatusConflict, "superseded", "another poll of this proxy has come, or it has left"},
	longpoll.WrongCoordinator: {http.StatusMisdirectedRequest, "elsewhere", "another coordinator leads this proxy"},
	longpoll.EpochOutdated:    {http.StatusMisdirectedRequest, "behind", "the proxy has followed a newer lead than this coordinator knows"},
	longpoll.JoinedElsewhere:  {http.StatusConflict, "moved", "this proxy has joined by another front"},
}

// Reject of longpoll.Out.
func (f *Frontend) Reject(w longpoll.PollID, why longpoll.RejectReason, after float64) {
	if c := f.serve(w); c != nil {
		r := refusals[why]
		f.problem(c, r.status, r.kind, after, "%s", r.text)
		f.requests(c)
	}
}

// Dropped of longpoll.Out.
func (f *Frontend) Dropped(uid string) {
	if c := f.byUID[uid]; c != nil && c.waiter == 0 && !c.closing {
		f.close(c, "its proxy counts as gone")
	}
}

// Log of longpoll.Out.
func (f *Frontend) Log(event string, pairs ...any) { f.out.Log(event, pairs...) }

func (f *Frontend) problem(c *conn, status int, kind string, after float64, format string, args ...any) {
	body, err := json.Marshal(delta.Problem{Type: problems + kind, Title: http.StatusText(status), Status: status,
		Detail: fmt.Sprintf(format, args...), RetryAfter: math.Round(after*1000) / 1000})
	if err != nil {
		body = nil
	}
	extra := ""
	if after > 0 {
		extra = fmt.Sprintf("Retry-After: %.0f\r\n", math.Ceil(after))
	}
	f.respond(c, status, delta.ProblemMediaType, extra, body)
}

func (f *Frontend) respond(c *conn, status int, media, extra string, body []byte) {
	b := fmt.Appendf(f.bytes[:0], "HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), extra)
	if status != http.StatusNoContent {
		b = fmt.Appendf(b, "Content-Type: %s\r\nContent-Length: %d\r\n", media, len(body))
	}
	if c.closing {
		b = append(b, "Connection: close\r\n"...)
	}
	f.bytes = append(append(b, "\r\n"...), body...)
	if c.sent == c.taken {
		c.sentAt = f.now
	}
	c.sent += uint64(len(f.bytes))
	f.out.SendPoll(c.id, f.bytes)
	if c.sent-c.taken > uint64(f.limits.MaxUnread) {
		f.close(c, "it does not read")
	}
}

// Tick closes connections that are silent, or do not take their answers. A client that reads a byte a second is one of
// them: its proxy then counts as not having asked again.
func (f *Frontend) Tick(now float64) {
	f.now = now
	f.LongPoll.Tick(now)
	if now-f.checked < checkEvery {
		return
	}
	f.checked = now
	var late []*conn
	for _, c := range f.conns {
		if c.waiter == 0 && now-c.since > f.limits.IdleTimeout || c.sent > c.taken && now-c.sentAt > f.limits.DeliveryTimeout {
			late = append(late, c)
		}
	}
	slices.SortFunc(late, func(a, b *conn) int { return int(a.id) - int(b.id) })
	for _, c := range late {
		f.close(c, "it is silent, or does not take its answer")
	}
}
