// Package longpollhttp serves the long-poll API over HTTP/1.1 (RFC 9112): requests become polls of a longpoll.Server, and
// its answers become responses.
//
// Requests are parsed by net/http, but the package does no I/O of its own, so that it runs on an event loop and in virtual
// time. A parked poll costs the few fields of its connection and no goroutine.
package longpollhttp

import (
	_ "embed" // for OpenAPI
	"net/netip"
	"slices"

	"snowquay/internal/core/longpoll"
	"snowquay/internal/wire/delta"
)

// OpenAPI is the OpenAPI document of the API, in JSON.
//
//go:embed openapi.json
var OpenAPI []byte

// Handler carries out what a Frontend decides.
type Handler interface {
	// SendPoll sends bytes on a connection. It must copy them before it returns, since the Frontend reuses them.
	SendPoll(conn Conn, data []byte)
	// ClosePoll closes a connection.
	ClosePoll(conn Conn)
	// Log logs an event with pairs of keys and values.
	Log(event string, pairs ...any)
}

// Limits bound what connections may use. One that exceeds a limit is closed, after a response where one can be given.
type Limits struct {
	MaxConnections  int
	MaxHeadBytes    int     // bytes of a request's head
	MaxUnread       int     // bytes sent on a connection that its peer has not received
	IdleTimeout     float64 // seconds until a request's head must be complete, and until the next request must begin
	DeliveryTimeout float64 // seconds until the peer must have received a response
}

// DefaultLimits are the limits that the settings start from.
var DefaultLimits = Limits{
	MaxConnections:  16384,   // three for each of 5,000 proxies
	MaxHeadBytes:    8 << 10, // the usual limit of web servers
	MaxUnread:       4 << 20, // a table of 1,000 servers for 20 classes
	IdleTimeout:     15,      // a proxy polls again at once
	DeliveryTimeout: 10,      // the longest pause of a proxy that is still alive
}

// Stats counts events since the start, for metrics.
type Stats struct{ Requests, Malformed, Closed int }

// Frontend serves the API of one coordinator. Use New.
type Frontend struct {
	// Polls serves the polls. It must be set before the first connection; the Frontend is its Handler.
	Polls *longpoll.Server
	// Stats counts events since the start.
	Stats Stats

	handler    Handler
	limits     Limits
	classNames []string
	conns      map[Conn]*connection
	byPoll     map[longpoll.PollID]*connection
	byUID      map[string]*connection // the connection of each proxy's latest poll
	lastPoll   longpoll.PollID
	now        float64
	lastCheck  float64
	tables     delta.Tables // reused for every answer
	body       []byte       // reused for every answer
	sendBuffer []byte       // reused for every response
}

// New makes a Frontend for request classes of these names. Its LongPoll must be set before it is used.
func New(handler Handler, limits Limits, classNames []string) *Frontend {
	return &Frontend{
		handler:    handler,
		limits:     limits,
		classNames: classNames,
		conns:      map[Conn]*connection{},
		byPoll:     map[longpoll.PollID]*connection{},
		byUID:      map[string]*connection{},
	}
}

// Connections reports the number of open connections.
func (f *Frontend) Connections() int { return len(f.conns) }

// Tick does what is due by time: it closes connections that are idle or do not receive their responses. Those of a client
// that reads a byte a second are among them, so that its proxy then leaves.
func (f *Frontend) Tick(now float64) {
	f.now = now
	f.Polls.Tick(now)
	if now-f.lastCheck < expiryCheckInterval {
		return
	}
	f.lastCheck = now
	var expired []*connection
	for _, conn := range f.conns {
		if f.isExpired(conn) {
			expired = append(expired, conn)
		}
	}
	slices.SortFunc(expired, func(a, b *connection) int { return int(a.id) - int(b.id) })
	for _, conn := range expired {
		f.close(conn, "idle, or a response was not received in time")
	}
}

// Opened accepts a connection from an address.
func (f *Frontend) Opened(now float64, id Conn, from netip.Addr) {
	f.now = now
	conn := &connection{id: id, from: from, idleSince: now}
	f.conns[id] = conn
	if len(f.conns) > f.limits.MaxConnections {
		f.close(conn, "too many connections")
	}
}

// Closed reports that a connection has ended.
func (f *Frontend) Closed(now float64, id Conn) {
	f.now = now
	conn := f.conns[id]
	if conn != nil {
		f.forget(conn)
	}
}

// Delivered reports how many of the bytes sent on a connection the peer's host has received, as the kernel sees it.
func (f *Frontend) Delivered(now float64, id Conn, total uint64) {
	f.now = now
	conn := f.conns[id]
	if conn == nil {
		return
	}
	conn.deliveredBytes = max(conn.deliveredBytes, total)
	if conn.closing && conn.deliveredBytes >= conn.sentBytes {
		f.forget(conn)
		f.handler.ClosePoll(id)
	}
}

// Receive takes bytes of a connection, split in any way. One request is served at a time; further ones wait in the
// connection's buffer, up to its limit.
func (f *Frontend) Receive(now float64, id Conn, data []byte) {
	f.now = now
	conn := f.conns[id]
	if conn == nil || conn.closing {
		return
	}
	conn.buffer = append(conn.buffer, data...)
	f.handleRequests(conn)
}
