// Package proxy implements a small HTTP/1.1 proxy as an env.Program. It forwards client requests to servers according to weight tables,
// which it receives from coordinators over the long-poll API or SASP, and sends load reports. Package core/forwarding makes the
// forwarding decisions. docs/proxy.md gives the reasons for the design.
package proxy

import (
	"cmp"
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/bytebudget"
	"snowquay/internal/core/forwarding"
	"snowquay/internal/core/random"
	"snowquay/internal/core/retry"
	"snowquay/internal/env"
)

const (
	tickInterval      = 0.01 // seconds between timer ticks
	idleCheckInterval = 1.0  // seconds between checks for idle clients

	maxUnreadResponses = 2 // number of responses of the maximum size that a client may leave unread
)

// Stats counts events, for metrics.
type Stats struct {
	Malformed        int // requests that could not be parsed
	RejectedClients  int // client connections beyond Limits.MaxClients, MaxConnections or MaxBuffered
	RejectedRequests int // requests without room for a connection to a server
	Dials            int // connections to servers
	Reused           int // attempts that reused an idle connection
	Saves            int // attempts to save a snapshot
	SaveFailed       int // attempts to save a snapshot that failed
	UnexpectedData   int // server connections closed because the server sent data without a request or after a response
}

// Proxy is an env.Program. Create one with New.
type Proxy struct {
	config        Config
	io            env.IO
	Core          *forwarding.Proxy
	clients       map[env.Conn]*client
	waitingNew    waitingClients // clients that have not had a response yet
	waitingServed waitingClients // the other clients without a request in flight
	connections   map[env.Conn]*serverConn
	targets       map[balancer.Server]*target
	requests      map[forwarding.RequestID]*pendingRequest
	attempts      map[forwarding.AttemptID]*serverConn
	coordinator   coordinatorClient
	random        random.LCG
	buffered      bytebudget.Budget // of the requests and responses of all clients
	response      []byte            // buffer that respond reuses
	tablesUnsaved bool              // whether the tables have changed since the latest snapshot
	savedAt       float64
	idleCheckedAt float64
	withoutRoom   lackOfRoom // since the latest log message about it
	nextReportAt  float64
	Stats         Stats
}

// New returns a proxy that is inactive until Start is called.
func New(now float64, config Config) *Proxy {
	p := &Proxy{
		config:        config,
		Core:          forwarding.New(now, config.Forwarding),
		clients:       map[env.Conn]*client{},
		waitingNew:    newWaitingClients(),
		waitingServed: newWaitingClients(),
		connections:   map[env.Conn]*serverConn{},
		targets:       map[balancer.Server]*target{},
		requests:      map[forwarding.RequestID]*pendingRequest{},
		attempts:      map[forwarding.AttemptID]*serverConn{},
		random:        random.NewLCG(config.Seed),
		buffered:      bytebudget.New(config.Limits.maxBuffered()),
	}
	slices.SortStableFunc(p.config.Routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	if config.Log == nil {
		p.config.Log = func(string, ...any) {}
	}
	return p
}

// Start implements env.Program.
func (p *Proxy) Start(now float64, io env.IO) {
	p.io = io
	for class := range p.config.Forwarding.ClassNames {
		table := p.Core.Tables.Table(balancer.Class(class))
		for _, server := range p.config.DefaultServers {
			table.Set(server, 1)
		}
	}
	p.restoreTables(now)
	p.coordinator.start(now, p)
	p.nextReportAt = now + p.config.ReportInterval*p.random.Float()
	io.SetTimer(now+tickInterval, 0)
}

// Opened implements env.Program.
func (p *Proxy) Opened(now float64, id env.Conn, _ netip.Addr, _ uint16) {
	if len(p.clients) >= p.config.Limits.MaxClients {
		p.Stats.RejectedClients++
		p.io.Close(id)
		return
	}
	c := &client{id: id}
	p.clients[id] = c
	p.awaitRequest(now, c)
}

// Connected implements env.Program.
func (p *Proxy) Connected(now float64, id env.Conn, ok bool) {
	if p.coordinator.handleConnected(now, id, ok) {
		return
	}
	conn := p.connections[id]
	if conn == nil {
		return
	}
	if !ok {
		p.removeServerConn(conn)
		p.perform(now, p.Core.AttemptFailed(now, conn.attempt, retry.NotExecuted))
		return
	}
	conn.connected = true
	p.sendRequest(conn)
}

// Receive implements env.Program.
func (p *Proxy) Receive(now float64, id env.Conn, data []byte) {
	if c := p.clients[id]; c != nil {
		p.receiveFromClient(now, c, data)
		return
	}
	if conn := p.connections[id]; conn != nil {
		p.receiveFromServer(now, conn, data)
		return
	}
	p.coordinator.receive(now, id, data)
}

// Closed implements env.Program.
func (p *Proxy) Closed(now float64, id env.Conn) {
	if c := p.clients[id]; c != nil {
		p.handleClientClosed(now, c)
		return
	}
	if conn := p.connections[id]; conn != nil {
		p.handleServerClosed(now, conn)
		return
	}
	p.coordinator.handleClosed(now, id)
}

// Delivered implements env.Program.
func (p *Proxy) Delivered(float64, env.Conn, uint64) {}

// IgnoreDelivery implements eventloop.DeliveryIgnorer: the proxy does not use delivery reports.
func (p *Proxy) IgnoreDelivery() {}

// MaxUnread implements eventloop.UnreadLimiter, in bytes. A client may ask for its next response before it has read the last one.
func (p *Proxy) MaxUnread() int {
	limits := p.config.Limits.HTTP
	return maxUnreadResponses * (limits.Head + limits.Body)
}

// MaxTotalUnread implements eventloop.TotalUnreadLimiter, in bytes.
func (p *Proxy) MaxTotalUnread() int { return p.config.Limits.maxBuffered() }

// Datagram implements env.Program.
func (p *Proxy) Datagram(float64, []byte) {}

// TimerFired implements env.Program.
func (p *Proxy) TimerFired(now float64, _ int) {
	p.perform(now, p.Core.Tick(now))
	p.coordinator.tick(now)
	if p.config.CollectorPort != 0 && now >= p.nextReportAt {
		p.nextReportAt = now + p.config.ReportInterval
		p.sendReports(now)
	}
	if p.tablesUnsaved && now-p.savedAt >= saveInterval {
		p.saveTables(now)
	}
	if now-p.idleCheckedAt >= idleCheckInterval {
		p.idleCheckedAt = now
		p.closeIdleClients(now)
		p.logLackOfRoom()
	}
	p.io.SetTimer(now+tickInterval, 0)
}

// Reconnect closes the connection to the current coordinator and schedules a dial of the next one.
func (p *Proxy) Reconnect(now float64) {
	if p.coordinator.conn != 0 {
		p.coordinator.disconnect(now, "reconnect requested")
	}
}

// Clients returns the number of open client connections.
func (p *Proxy) Clients() int { return len(p.clients) }

// Coordinator reports whether a coordinator has accepted the proxy, and returns the address of the current coordinator or of the next one
// to dial.
func (p *Proxy) Coordinator() (joined bool, address netip.AddrPort) {
	return p.coordinator.joined, p.coordinator.address()
}
