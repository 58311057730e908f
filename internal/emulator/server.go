package emulator

import (
	"encoding/binary"
	"math"
	"net/netip"

	"snowquay/internal/env"
	"snowquay/internal/feed/collectd"
	"snowquay/internal/wire/sasp"
)

// FailureDomain is shared by servers that detect each other's duplicate requests. It is not safe for concurrent use.
type FailureDomain struct {
	accepted map[uint64]float64 // time at which a request was last accepted, by request ID
}

// NewFailureDomain returns a failure domain in which no request has been accepted.
func NewFailureDomain() *FailureDomain { return &FailureDomain{accepted: map[uint64]float64{}} }

// ServerConfig configures an emulated server.
type ServerConfig struct {
	Addr           netip.AddrPort
	FailureDomain  *FailureDomain
	Cores          int
	Speed          float64 // speed of a core
	QueueCapacity  int     // maximum number of queued requests
	WarmupFraction float64 // fraction of its full capacity that it has when it starts
	WarmupDuration float64 // seconds until it has its full capacity
	OverloadFactor float64 // multiple of its current capacity that stops it during warm-up, as a mean over OverloadWindow
	OverloadWindow float64 // seconds
	StartsWarm     bool
	Coordinators   []netip.AddrPort // coordinators that it registers with
	CollectorPort  uint16           // port of each coordinator that measurements are sent to
	User           string           // user that measurements are sent as
	Key            string           // key that signs the measurements
	FleetUID       string
	Classes        []Class
	Seed           uint64

	MaxConnections   int     // 0 for no limit
	ConnectionWork   float64 // cost of a new connection, in seconds on a core of speed 1
	KeyCacheDuration float64 // seconds for which a cached key saves work
	KeyCacheSaving   float64 // fraction of the work that a cached key saves, 0 to 1
	KeyCacheSize     int     // maximum number of cached keys; 0 for no cache
	CancelsWork      bool    // whether the cancellation of a running request ends its work
}

const (
	serverRedialSeconds = 1.0    // approximate mean delay before a coordinator is dialed again
	serverReportSeconds = 1.0    // interval of uptime reports
	warmUptimeSeconds   = 1000.0 // initial uptime of a server that starts warm
)

// The timer keys.
const (
	serverReportTimer    = 1
	firstServerDialTimer = 2    // base of the keys of dials, to which the coordinator's index is added
	firstJobTimer        = 1000 // base of the job numbers, which are the keys of the jobs
)

// serverRegistration is the registration of a server with a coordinator over a connection.
type serverRegistration struct {
	coordinator int // index in ServerConfig.Coordinators
	session     saspSession
	accepted    bool
}

// Server is an emulated server. The goroutine that runs its program may change the exported fields at any time.
type Server struct {
	ignoredEvents
	ServerConfig
	SlowdownFactor             float64 // factor applied to the processing time of its work; 1 for the configured speed
	ErrorProbability           float64 // probability that a request fails immediately
	Hanging                    bool    // whether it accepts requests without executing or answering any
	ResponseLossProbability    float64 // probability that the response of an executed request is not sent
	HeavyTailProbability       float64 // probability that a request takes heavyTailFactor times its work
	AgingPerRequest            float64 // slowdown that each request adds, as a fraction of the processing time
	ConnectionCapacityFraction float64 // available fraction of MaxConnections; 0 for all
	OnOverload                 func()  // called on an overload during warm-up; has to stop the host

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
	registeredCount int // number of coordinators that accepted its registration
	openConnections int // number of open connections that peers dialed
	keyUsedAt       map[uint32]float64
	keyOrder        []uint32 // cached keys in the order in which they were added
	agingSlowdown   float64
	warmupArrivals  []warmupArrival
	overloaded      bool
	random          randomSource
}

// NewServer returns a server that reports its events to checker.
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

// Start implements env.Program.
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

// Opened implements env.Program.
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

// Connected implements env.Program. It registers with the coordinator that accepted the connection, or schedules a redial.
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

// Receive implements env.Program.
func (s *Server) Receive(now float64, conn env.Conn, b []byte) {
	if registration := s.registrations[conn]; registration != nil {
		registration.session.read(b, func(message *sasp.Message) { s.handleMessage(now, registration, message) })
		return
	}
	// A request of an emulated relay starts with the high byte of its ID, which is less than the first letter of POST.
	startsHTTP := len(s.unparsed[conn]) == 0 && b[0] == 'P'
	if s.httpConns[conn] || startsHTTP {
		s.httpConns[conn] = true
		s.receiveHTTP(now, conn, b)
		return
	}
	s.receiveRequests(now, conn, b)
}

// handleMessage handles a message of a coordinator.
func (s *Server) handleMessage(now float64, registration *serverRegistration, message *sasp.Message) {
	if message.Code != sasp.OK {
		s.checker.recordProtocolError(now, "server %s: coordinator replied %s", s.Addr, message.Code)
		return
	}
	if message.Kind != sasp.RegistrationReply {
		return
	}
	if !registration.accepted {
		registration.accepted = true
		s.registeredCount++
	}
	s.checker.serverRegistered(now, s.Addr)
}

// receiveRequests handles received data of an emulated relay.
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

// Closed implements env.Program.
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
		s.registeredCount--
	}
	if s.registeredCount == 0 {
		s.checker.serverDisconnected(now, s.Addr)
	}
	delay := serverRedialSeconds * (0.3 + 0.7*s.random.uniform())
	s.io.SetTimer(now+delay, firstServerDialTimer+registration.coordinator)
}

// TimerFired implements env.Program.
func (s *Server) TimerFired(now float64, key int) {
	switch {
	case s.overloaded:
	case key == serverReportTimer:
		s.reportUptime(now)
		s.io.SetTimer(now+serverReportSeconds, serverReportTimer)
	case key >= firstServerDialTimer && key < firstJobTimer:
		s.dial(key - firstServerDialTimer)
	default:
		s.finishJob(now, key)
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
