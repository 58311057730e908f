// Package platform runs a coordinator on the platform: it serves collectors, maintains connections to the relay and
// to discovery, and checks the health of servers.
//
// Program is an env.Program: the same code runs on sockets and in virtual time, with times in seconds of the
// environment's clock. It makes no balancing decisions: the messages that it receives become the events of a round of
// package balancer, and the commands of the round are sent as calls to the relay.
package platform

import (
	"cmp"
	"log/slog"
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/bytebudget"
	"snowquay/internal/core/platformstate"
	"snowquay/internal/deployment"
	"snowquay/internal/env"
	"snowquay/internal/wire/discovery"
	"snowquay/internal/wire/jsonrpc"
)

const (
	maintenanceInterval = 0.1 // seconds between two checks for timeouts and other periodic work
	stateLogInterval    = 5.0 // seconds between two log lines with the counters

	maxUnreadBytes = 128 << 10 // the platform's limit on the data that a peer may leave unread
)

// Config configures a coordinator: the addresses of its peers, its limits and its initial state.
type Config struct {
	Discovery      netip.AddrPort
	Relay          netip.AddrPort
	MaxDescriptors int             // maximum number of file descriptors of the process
	MaxBuffered    int             // maximum bytes of incomplete messages of all clients, and of what all peers leave unread; 0 for defaultMaxBuffered
	CachedList     *discovery.List // a stored list of the servers; nil if there is no readable one
	CachedListErr  error           // why CachedList could not be read; nil if no list was given
	Seed           uint64
	Deployment     *deployment.Deployment
}

// Program is a coordinator. It is created by New and is not safe for concurrent use: the environment calls its methods
// one at a time.
type Program struct {
	deployment *deployment.Deployment
	classes    jsonrpc.ClassNames
	metrics    []balancer.LoadMetric // in the order of the values in load reports
	balancer   *balancer.Balancer
	log        *slog.Logger
	io         env.IO

	events               balancer.Events // collected for the next round
	processedProxyEvents int             // number of proxy events already handled by dropCommandsForDepartedProxies
	joinsWithheld        bool            // join events are withheld from the balancer until a server is known
	firstEventAt         float64         // when the first event waiting for a round arrived; 0 if there is none
	timers               []timer         // requested by the balancer

	proxies   *platformstate.ProxyRegistry
	endpoints *platformstate.EndpointSet
	commands  *platformstate.CommandBuffer

	clients         map[env.Conn]*client
	unidentified    []*client // oldest first; may include clients that have since been identified or closed
	maxClients      int
	buffered        bytebudget.Budget // of the clients' incomplete messages
	maxTotalUnread  int               // bytes that all peers together may leave unread
	connections     map[env.Conn]*connection
	relay           relay
	discovery       discoveryWatch
	healthChecks    map[env.Conn]*healthCheck
	checkInProgress map[balancer.Server]bool

	maintenanceAt float64
	stateLogAt    float64
	wakeAt        float64 // when the environment's timer fires; 0 if no timer is set
	counts        counters
}

// counters are logged every stateLogInterval.
type counters struct {
	rounds    uint64
	calls     uint64 // calls sent to the relay
	reports   uint64 // accepted reports from collectors
	malformed uint64 // malformed messages from collectors, relay and discovery
	rejected  uint64 // rejected clients
	closed    uint64 // closed connections of clients that were not rejected
}

// New returns a coordinator that is idle until Start is called.
func New(config Config, log *slog.Logger) *Program {
	var classes jsonrpc.ClassNames
	for _, class := range config.Deployment.Classes {
		classes = append(classes, class.Name)
	}
	program := &Program{
		deployment:      config.Deployment,
		classes:         classes,
		metrics:         config.Deployment.LoadMetrics(),
		balancer:        config.Deployment.NewBalancer(config.Seed),
		log:             log,
		proxies:         platformstate.NewProxyRegistry(),
		endpoints:       platformstate.NewEndpointSet(config.Deployment.Zones, config.Deployment.MachineKinds),
		commands:        platformstate.NewCommandBuffer(classes),
		clients:         map[env.Conn]*client{},
		maxClients:      max(config.MaxDescriptors-reservedDescriptors, minClients),
		buffered:        bytebudget.New(cmp.Or(config.MaxBuffered, defaultMaxBuffered)),
		maxTotalUnread:  cmp.Or(config.MaxBuffered, defaultMaxBuffered),
		connections:     map[env.Conn]*connection{},
		healthChecks:    map[env.Conn]*healthCheck{},
		checkInProgress: map[balancer.Server]bool{},
	}
	program.relay.primary = peer{address: config.Relay, connected: program.subscribe, receive: program.receiveRelay}
	program.relay.standby = peer{address: config.Relay, connected: program.subscribe, receive: program.receiveRelay}
	program.discovery.peer = peer{address: config.Discovery, connected: program.requestLists, receive: program.receiveDiscovery}
	if config.CachedList != nil {
		program.endpoints.LoadCached(config.CachedList, &program.events)
	} else if config.CachedListErr != nil {
		log.Warn("starting without a cached list of servers", "error", config.CachedListErr)
	}
	return program
}

// IgnoreDelivery implements eventloop.DeliveryIgnorer: the program does not use reports of how much data has reached
// the peers' hosts.
func (p *Program) IgnoreDelivery() {}

// MaxUnread implements eventloop.UnreadLimiter, in bytes. The relay reads a call before it responds, and no
// call is larger.
func (p *Program) MaxUnread() int { return maxUnreadBytes }

// MaxTotalUnread implements eventloop.TotalUnreadLimiter, in bytes.
func (p *Program) MaxTotalUnread() int { return p.maxTotalUnread }

// Start implements env.Program.
func (p *Program) Start(now float64, io env.IO) {
	p.io = io
	p.stateLogAt = now + stateLogInterval
	p.round(now)
	p.maintain(now)
	p.finishEvent(now)
}

// SetAddresses changes the addresses of discovery and relay. The existing connections stay open until those to the new
// addresses work.
func (p *Program) SetAddresses(now float64, discovery, relay netip.AddrPort) {
	if p.discovery.address != discovery {
		p.discovery.fullListFirst = true // versions are not comparable between two discovery services
	}
	p.changeAddress(&p.relay.primary, relay)
	p.changeAddress(&p.relay.standby, relay)
	p.changeAddress(&p.discovery.peer, discovery)
	p.maintain(now)
	p.finishEvent(now)
}

// Shutdown closes all connections to clients, relay and discovery, so that the clients connect to other coordinators.
func (p *Program) Shutdown() {
	for conn := range p.clients {
		p.io.Close(conn)
	}
	for conn := range p.connections {
		p.io.Close(conn)
	}
	p.clients = map[env.Conn]*client{}
	p.connections = map[env.Conn]*connection{}
}

// Opened implements env.Program.
func (p *Program) Opened(now float64, conn env.Conn, _ netip.Addr, _ uint16) {
	p.acceptClient(now, conn)
	p.finishEvent(now)
}

// Connected implements env.Program.
func (p *Program) Connected(now float64, conn env.Conn, ok bool) {
	switch {
	case p.connections[conn] != nil:
		p.dialFinished(now, p.connections[conn], ok)
	case p.healthChecks[conn] != nil:
		p.healthCheckConnected(now, p.healthChecks[conn], ok)
	case ok: // the dial was abandoned in the meantime
		p.io.Close(conn)
	}
	p.finishEvent(now)
}

// Receive implements env.Program.
func (p *Program) Receive(now float64, conn env.Conn, b []byte) {
	switch {
	case p.clients[conn] != nil:
		p.receiveClient(now, p.clients[conn], b)
	case p.connections[conn] != nil:
		c := p.connections[conn]
		c.lastReceivedAt = now
		c.peer.receive(now, c, b)
	case p.healthChecks[conn] != nil:
		p.receiveHealth(now, p.healthChecks[conn], b)
	}
	p.finishEvent(now)
}

// Closed implements env.Program.
func (p *Program) Closed(now float64, conn env.Conn) {
	switch {
	case p.clients[conn] != nil:
		p.removeClient(p.clients[conn])
	case p.connections[conn] != nil:
		p.connectionLost(now, p.connections[conn])
	case p.healthChecks[conn] != nil:
		p.finishHealthCheck(now, p.healthChecks[conn], balancer.HealthUnreachable, nil)
	}
	p.finishEvent(now)
}

// Delivered implements env.Program.
func (p *Program) Delivered(float64, env.Conn, uint64) {}

// Datagram implements env.Program.
func (p *Program) Datagram(float64, []byte) {}

// TimerFired implements env.Program.
func (p *Program) TimerFired(now float64, _ int) {
	p.wakeAt = 0
	p.fireTimers(now)
	if p.roundDue(now) {
		p.round(now)
	}
	if now >= p.maintenanceAt {
		p.maintain(now)
	}
	p.finishEvent(now)
}

// maintain handles timeouts and other periodic work.
func (p *Program) maintain(now float64) {
	p.maintenanceAt = now + maintenanceInterval
	p.rejectUnidentified(now)
	p.maintainRelay(now)
	p.maintainPeer(now, &p.discovery.peer, discoverySilenceTimeout)
	p.expireHealthChecks(now)
	if now >= p.stateLogAt {
		p.stateLogAt = now + stateLogInterval
		p.logState()
	}
}

func (p *Program) logState() {
	p.log.Info("state",
		"proxies", p.proxies.Len(),
		"servers", p.endpoints.Len(),
		"clients", len(p.clients),
		"rounds", p.counts.rounds,
		"calls", p.counts.calls,
		"pending_commands", p.commands.Pending(),
		"resent_calls", p.commands.Resends,
		"dropped_commands", p.commands.Dropped,
		"reports", p.counts.reports,
		"malformed", p.counts.malformed+p.endpoints.Malformed,
		"rejected", p.counts.rejected,
		"closed", p.counts.closed)
}

// finishEvent is called at the end of each event: it sends the next call and sets the timer for whatever is due next.
func (p *Program) finishEvent(now float64) {
	p.dropCommandsForDepartedProxies(now)
	p.sendCall(now)
	at := p.maintenanceAt
	if p.firstEventAt > 0 {
		at = min(at, p.firstEventAt+batchWindow)
	}
	for _, t := range p.timers {
		at = min(at, t.at)
	}
	if p.commands.InFlight() {
		at = min(at, p.relay.callSentAt+responseTimeout)
	}
	if p.wakeAt == 0 || at < p.wakeAt {
		p.wakeAt = at
		p.io.SetTimer(at, 0)
	}
}

// zone returns the number of a zone; below 0 if the settings do not list it.
func (p *Program) zone(name string) balancer.Zone {
	return balancer.Zone(slices.Index(p.deployment.Zones, name))
}

// class returns the number of a request class; below 0 if the settings do not list it.
func (p *Program) class(name string) balancer.Class {
	return balancer.Class(slices.Index(p.classes, name))
}
