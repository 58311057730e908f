package emulator

import (
	"encoding/binary"
	"math"
	"net/netip"

	"snowquay/internal/env"
	"snowquay/internal/feed/collectd"
	"snowquay/internal/wire/sasp"
)

// FailureDomain is shared by servers that detect each other's duplicate requests. One goroutine at a time may use it.
type FailureDomain struct {
	seen map[uint64]float64 // when a request was accepted last, by id
}

// NewFailureDomain returns a failure domain that has seen no request.
func NewFailureDomain() *FailureDomain { return &FailureDomain{seen: map[uint64]float64{}} }

// ServerConfig describes an emulated server.
type ServerConfig struct {
	Addr           netip.AddrPort
	FailureDomain  *FailureDomain
	Cores          int
	Speed          float64 // of a core
	QueueCapacity  int     // requests
	WarmupFraction float64 // of its capacity, when it starts
	WarmupDuration float64 // seconds
	OverloadFactor float64 // of its present capacity: more work than that for OverloadWindow ends a server that warms up
	OverloadWindow float64 // seconds
	StartsWarm     bool
	Coordinators   []netip.AddrPort // it registers with all of them
	CollectorPort  uint16           // for measurements, at each coordinator
	User           string           // of its measurements
	Key            string           // of its measurements
	FleetUID       string
	Classes        []Class
	Seed           uint64

	MaxConnections   int     // 0: unlimited
	ConnectionWork   float64 // seconds on a core of speed 1 that a new connection costs
	KeyCacheDuration float64 // seconds
	KeyCacheSaving   float64 // share of the work that a cached key saves, 0 to 1
	KeyCacheSize     int     // keys; 0: it caches none
	CancelsWork      bool    // work ends when its request is cancelled; otherwise it continues
}

const (
	serverRedialSeconds = 1.0 // on average
	serverReportSeconds = 1.0
	warmUptimeSeconds   = 1000.0 // uptime of a server that starts warm
)

// Numbers of the timers.
const (
	serverReportTimer    = 1
	firstServerDialTimer = 2    // one for each coordinator from here on
	firstJobTimer        = 1000 // one for each job from here on
)

// serverRegistration is a registration of a server with a coordinator, over a connection.
type serverRegistration struct {
	coordinator int // index
	session     saspSession
	accepted    bool
}

// Server is an emulated server. The exported fields may be changed while it runs, by the goroutine that runs its program.
type Server struct {
	ignoredEvents
	ServerConfig
	SlowdownFactor             float64 // times that its work takes; 1: as configured
	ErrorProbability           float64 // that a request fails at once
	Hanging                    bool    // it accepts requests and answers none
	ResponseLossProbability    float64
	HeavyTailProbability       float64 // that a request takes heavyTailFactor times its work
	AgingPerRequest            float64 // share by which each request slows it down
	ConnectionCapacityFraction float64 // of MaxConnections; 0: all
	OnOverload                 func()  // ends its host

	checker         *InvariantChecker
	io              env.IO
	startedAt       float64
	running         map[int]job
	waiting         []job
	lastJob         int
	unparsed        map[env.Conn][]byte
	httpConns       map[env.Conn]bool
	peers           map[env.Conn]netip.Addr
	registrations   map[env.Conn]*serverRegistration
	registered      int // coordinators
	openConnections int // that others dialed
	keyUsedAt       map[uint32]float64
	keyOrder        []uint32 // in the order in which they were cached
	aging           float64
	warmupArrivals  []warmupArrival
	overloaded      bool
	random          randomSource
}

// NewServer returns a server that reports what it does to checker.
func NewServer(config ServerConfig, checker *InvariantChecker) *Server {
	return &Server{
		ServerConfig:   config,
		SlowdownFactor: 1,
		checker:        checker,
		running:        map[int]job{},
		lastJob:        firstJobTimer,
		unparsed:       map[env.Conn][]byte{},
		httpConns:      map[env.Conn]bool{},
		peers:          map[env.Conn]netip.Addr{},
		registrations:  map[env.Conn]*serverRegistration{},
		random:         newRandomSource(config.Seed),
	}
}

// Start of env.Program.
func (s *Server) Start(now float64, io env.IO) {
	s.io = io
	s.startedAt = now
	if s.StartsWarm {
		s.startedAt = now - warmUptimeSeconds
	}
	s.checker.serverStarted(s.Addr, s.startedAt)
	for i := range s.Coordinators {
		s.dial(i)
	}
	io.SetTimer(now+serverReportSeconds*s.random.uniform(), serverReportTimer)
}

func (s *Server) dial(coordinator int) {
	conn := s.io.Dial(s.Coordinators[coordinator])
	s.registrations[conn] = &serverRegistration{coordinator: coordinator}
}

// Opened of env.Program.
func (s *Server) Opened(now float64, conn env.Conn, from netip.Addr, _ uint16) {
	capacity := 1.0
	if s.ConnectionCapacityFraction > 0 {
		capacity = s.ConnectionCapacityFraction
	}
	if s.MaxConnections > 0 && float64(s.openConnections) >= float64(s.MaxConnections)*capacity {
		s.io.Close(conn)
		return
	}
	s.peers[conn] = from
	s.openConnections++
	if s.ConnectionWork > 0 && !s.overloaded && !s.Hanging {
		s.admit(now, job{class: 0, work: s.ConnectionWork, connectionSetup: true})
	}
}

// Connected of env.Program: a coordinator accepted or refused the connection.
func (s *Server) Connected(now float64, conn env.Conn, ok bool) {
	registration := s.registrations[conn]
	if registration == nil {
		return
	}
	if !ok {
		delete(s.registrations, conn)
		delay := serverRedialSeconds * (0.5 + s.random.uniform())
		s.io.SetTimer(now+delay, firstServerDialTimer+registration.coordinator)
		return
	}
	message := &sasp.Message{Kind: sasp.Registration}
	for _, class := range s.Classes {
		row := len(message.Rows)
		message.Groups = append(message.Groups, sasp.Group{UID: []byte(s.FleetUID), Name: []byte(class.Name), From: row, To: row + 1})
		message.Rows = append(message.Rows, sasp.Row{Address: sasp.AddressOf(s.Addr)})
	}
	s.io.Send(conn, registration.session.write(message))
}

// Receive of env.Program.
func (s *Server) Receive(now float64, conn env.Conn, b []byte) {
	if registration := s.registrations[conn]; registration != nil {
		registration.session.read(b, func(message *sasp.Message) { s.handleMessage(now, registration, message) })
		return
	}
	// An emulated relay's request starts with the high byte of an id, which is lower than the first letter of POST.
	startsHTTP := len(s.unparsed[conn]) == 0 && b[0] == 'P'
	if s.httpConns[conn] || startsHTTP {
		s.httpConns[conn] = true
		s.receiveHTTP(now, conn, b)
		return
	}
	s.receiveRequests(now, conn, b)
}

// handleMessage takes a coordinator's message.
func (s *Server) handleMessage(now float64, registration *serverRegistration, message *sasp.Message) {
	if message.Code != sasp.OK {
		s.checker.recordProtocolError(now, "server %s: %s", s.Addr, message.Code)
		return
	}
	if message.Kind != sasp.RegistrationReply {
		return
	}
	if !registration.accepted {
		registration.accepted = true
		s.registered++
	}
	s.checker.serverRegistered(now, s.Addr)
}

// receiveRequests takes requests of an emulated relay.
func (s *Server) receiveRequests(now float64, conn env.Conn, received []byte) {
	received = append(s.unparsed[conn], received...)
	for len(received) >= requestBytes {
		id := binary.BigEndian.Uint64(received)
		class := binary.BigEndian.Uint32(received[classOffset:])
		if class == cancelledClass {
			s.cancel(now, conn, id)
			received = received[requestBytes:]
			continue
		}
		request := job{
			conn:  conn,
			from:  s.peers[conn],
			id:    id,
			class: int(class),
			key:   binary.BigEndian.Uint32(received[keyOffset:]),
			work:  math.Float64frombits(binary.BigEndian.Uint64(received[workOffset:])),
		}
		received = received[requestBytes:]
		s.handleRequest(now, request)
	}
	s.unparsed[conn] = append([]byte(nil), received...)
}

// Closed of env.Program.
func (s *Server) Closed(now float64, conn env.Conn) {
	if _, dialedByPeer := s.peers[conn]; dialedByPeer {
		s.openConnections--
	}
	delete(s.peers, conn)
	delete(s.unparsed, conn)
	delete(s.httpConns, conn)
	registration := s.registrations[conn]
	if registration == nil {
		return
	}
	delete(s.registrations, conn)
	if registration.accepted {
		s.registered--
	}
	if s.registered == 0 {
		s.checker.serverDisconnected(now, s.Addr)
	}
	delay := serverRedialSeconds * (0.3 + 0.7*s.random.uniform())
	s.io.SetTimer(now+delay, firstServerDialTimer+registration.coordinator)
}

// TimerFired of env.Program.
func (s *Server) TimerFired(now float64, what int) {
	switch {
	case s.overloaded:
	case what == serverReportTimer:
		s.reportUptime(now)
		s.io.SetTimer(now+serverReportSeconds, serverReportTimer)
	case what >= firstServerDialTimer && what < firstJobTimer:
		s.dial(what - firstServerDialTimer)
	default:
		s.finishJob(now, what)
	}
}

func (s *Server) reportUptime(now float64) {
	packets := collectd.NewPacketWriter(now, s.Addr.String(), s.User, s.Key, func(b []byte) {
		for _, coordinator := range s.Coordinators {
			s.io.Datagram(netip.AddrPortFrom(coordinator.Addr(), s.CollectorPort), b)
		}
	})
	packets.Uptime(now - s.startedAt)
	packets.Flush()
}
