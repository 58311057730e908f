// Package longpollhttp serves the long-poll API over HTTP/1.1 (RFC 9112): requests become polls of a longpoll.Server,
// and its answers become responses.
//
// The package parses requests with net/http but does no I/O itself, so it can run on an event loop and in virtual time.
// A parked poll uses no goroutine, only a few fields of its connection.
package longpollhttp

import (
	_ "embed" // for OpenAPI
	"net/netip"
	"slices"

	"snowquay/internal/core/bytebudget"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/wire/delta"
)

// OpenAPI is the OpenAPI description of the API, in JSON.
//
//go:embed openapi.json
var OpenAPI []byte

// Handler does the I/O of a Frontend.
type Handler interface {
	// SendPoll sends data on a connection. It must not retain data, which the Frontend reuses.
	SendPoll(conn Conn, data []byte)
	// ClosePoll closes a connection.
	ClosePoll(conn Conn)
	// Log logs an event with pairs of keys and values.
	Log(event string, pairs ...any)
}

// Limits bound the resources that connections may use. A connection that exceeds a limit is closed, if possible after
// an error response.
type Limits struct {
	MaxConnections  int
	MaxHeadBytes    int     // size of the head of a request
	MaxBuffered     int     // received bytes that wait on all connections together
	MaxUnread       int     // bytes sent on a connection that the peer has not received
	IdleTimeout     float64 // seconds within which the head of a request must be complete, and the next request must begin
	DeliveryTimeout float64 // seconds within which the peer must have received a response
}

// DefaultLimits are the limits that apply unless the settings override them.
var DefaultLimits = Limits{
	MaxConnections:  16384,   // three for each of 5,000 proxies
	MaxHeadBytes:    8 << 10, // the usual limit of web servers
	MaxBuffered:     16 << 20,
	MaxUnread:       4 << 20, // enough for tables of 1,000 servers for 20 classes
	IdleTimeout:     15,      // proxies poll again at once
	DeliveryTimeout: 10,      // longest pause of a proxy that is still alive
}

// Stats counts events since the start, for metrics.
type Stats struct{ Requests, Malformed, Closed int }

// Frontend serves the API of one coordinator. Use New.
type Frontend struct {
	// Polls serves the polls and has the Frontend as its Handler. It must be set before the first connection is opened.
	Polls *longpoll.Server
	// Stats counts events since the start.
	Stats Stats

	handler    Handler
	limits     Limits
	classNames []string
	conns      map[Conn]*connection
	byPoll     map[longpoll.PollID]*connection
	byUID      map[string]*connection // by UID of the proxy: the connection of its latest poll
	buffered   bytebudget.Budget      // of the received bytes that wait
	lastPoll   longpoll.PollID
	now        float64
	lastCheck  float64
	tables     delta.Tables // reused for every answer
	body       []byte       // reused for every answer
	sendBuffer []byte       // reused for every response
}

// New returns a Frontend for request classes with these names. Its field Polls must be set before it is used.
func New(handler Handler, limits Limits, classNames []string) *Frontend {
	return &Frontend{
		handler:    handler,
		limits:     limits,
		buffered:   bytebudget.New(limits.MaxBuffered),
		classNames: classNames,
		conns:      map[Conn]*connection{},
		byPoll:     map[longpoll.PollID]*connection{},
		byUID:      map[string]*connection{},
	}
}

// Connections returns the number of open connections.
func (f *Frontend) Connections() int { return len(f.conns) }

// Tick does what is due by time: it closes connections that are idle or whose peers do not receive their responses in
// time, such as a client that reads one byte per second. The proxy of such a client then counts as having left.
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

// Opened registers a connection that a peer has opened from an address.
func (f *Frontend) Opened(now float64, id Conn, from netip.Addr) {
	f.now = now
	conn := &connection{id: id, from: from, idleSince: now}
	f.conns[id] = conn
	if len(f.conns) > f.limits.MaxConnections {
		f.close(conn, "too many connections")
	}
}

// Closed handles the end of a connection.
func (f *Frontend) Closed(now float64, id Conn) {
	f.now = now
	conn := f.conns[id]
	if conn != nil {
		f.removeConnection(conn)
	}
}

// Delivered updates the number of bytes sent on a connection that the peer's host has received, according to the
// kernel.
func (f *Frontend) Delivered(now float64, id Conn, total uint64) {
	f.now = now
	conn := f.conns[id]
	if conn == nil {
		return
	}
	conn.deliveredBytes = max(conn.deliveredBytes, total)
	if conn.closing && conn.deliveredBytes >= conn.sentBytes {
		f.removeConnection(conn)
		f.handler.ClosePoll(id)
		return
	}
	if len(conn.buffer) > 0 {
		f.handleRequests(conn) // they may have waited until the peer had received earlier responses
	}
}

// Receive handles data received on a connection, in pieces of any size. One request is served at a time; further
// requests wait in the connection's buffer, up to its limit, also while the peer leaves responses unread.
func (f *Frontend) Receive(now float64, id Conn, data []byte) {
	f.now = now
	conn := f.conns[id]
	if conn == nil || conn.closing {
		return
	}
	conn.buffer = append(conn.buffer, data...)
	f.handleRequests(conn)
	if f.buffered.Add(len(data)) {
		f.closeLargest()
	}
}

// closeLargest closes the connections on which the most bytes wait if there are too many on all of them together.
func (f *Frontend) closeLargest() {
	sizes := func(yield func(Conn, int) bool) {
		for id, conn := range f.conns {
			if !yield(id, cap(conn.buffer)) {
				return
			}
		}
	}
	for _, id := range bytebudget.Excess(&f.buffered, sizes) {
		f.close(f.conns[id], "too many buffered bytes over all connections")
	}
}
