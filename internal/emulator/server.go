package emulator

import (
	"encoding/binary"
	"math"
	"net/netip"

	"snowquay/internal/env"
	"snowquay/internal/feed/collectd"
	"snowquay/internal/wire/sasp"
)

// FailureDomain is what servers share that drop each other's repeats. One goroutine at a time uses it.
type FailureDomain struct{ seen map[uint64]float64 }

// ServerConfig is what a match server is like.
type ServerConfig struct {
	Addr           netip.AddrPort
	FailureDomain  *FailureDomain
	Cores          int
	Speed          float64
	QueueCapacity          int     // queries that may wait
	WarmupFraction float64 // of its capacity, when it starts
	WarmupDuration float64 // seconds
	OverloadFactor float64 // of its present capacity; more of it for Within pushes it over
	OverloadWindow float64
	StartsWarm           bool             // it started long ago
	Coordinators   []netip.AddrPort // it registers with all of them
	CollectorPort        uint16           // port of their collectors
	User, Key      string
	FleetUID       string
	Classes        []Class
	Seed           uint64

	MaxConnections int     // that it takes at once; 0: any number
	ConnectionWork    float64 // seconds on a core of speed 1 that a new connection costs
	KeyCacheDuration      float64 // seconds for which it remembers a key
	KeyCacheSaving     float64 // part of the work that a query of a remembered key does not cost
	KeyCacheSize     int     // keys that it remembers
	CancelsWork       bool    // work ends when its query is given up; else it goes on for nobody
}

const (
	serverRedialSeconds    = 1.0  // seconds between two dials of the coordinator
	serverReportSeconds  = 1.0  // seconds between two reports of uptime
	overloadSlackSeconds     = 0.25 // seconds of one core's work, against chance
	firstJobTimer      = 1000 // numbers of wake-ups from here on are of jobs
	serverReportTimer    = 1
	firstServerDialTimer      = 2      // and from there on, one for each coordinator
	warmUptimeSeconds      = 1000.0 // seconds, uptime of a server that is warm at the start of a day
	failFastSeconds = 0.005  // seconds
)

type job struct {
	conn  env.Conn
	id    uint64
	class int
	work  float64
	from  netip.Addr
	key   uint32
	http  bool // it came over HTTP, from a real proxy
	connectionSetup bool // it is what a new connection costs

	senderKnowsServer bool // it came from a relay that could know that the server is cold
}

// registration is a connection to a coordinator.
type registration struct {
	coordinator    int // which one
	session saspSession
	accepted  bool
}

// Server is a match server.
type Server struct {
	ServerConfig
	SlowdownFactor   float64 // times that its work takes; 1: as usual
	ErrorProbability float64 // chance that a query fails at once
	Hanging  bool    // it takes queries and answers none
	ResponseLossProbability   float64 // chance that an answer does not arrive
	HeavyTailProbability   float64 // chance that a query takes ten times its work
	AgingPerRequest   float64 // part by which each query makes it slower
	ConnectionCapacityFraction   float64 // part of its connections that it takes; 0: all

	checker        *InvariantChecker
	io         env.IO
	started    float64
	running    map[int]job
	waiting    []job
	lastJob    int
	unparsed      map[env.Conn][]byte
	httpConns       map[env.Conn]bool // those of real proxies
	peers       map[env.Conn]netip.Addr
	registrations       map[env.Conn]*registration
	registered int // with so many coordinators
	openConnections       int // connections that others have made
	keyUsedAt       map[uint32]float64
	keyOrder    []uint32 // in the order in which they were remembered
	aging       float64
	recent     []job // while cold: what came in, for the budget
	times      []float64
	overloaded     bool
	random     randomSource
	OnOverload       func() // the host's death
}

// NewServer makes a match server that tells a referee what it does.
func NewServer(s ServerConfig, ref *InvariantChecker) *Server {
	return &Server{ServerConfig: s, SlowdownFactor: 1, checker: ref, running: map[int]job{}, httpConns: map[env.Conn]bool{}, unparsed: map[env.Conn][]byte{},
		registrations: map[env.Conn]*registration{}, peers: map[env.Conn]netip.Addr{}, random: newRandomSource(s.Seed), lastJob: firstJobTimer}
}

// Start of env.Program.
func (s *Server) Start(now float64, io env.IO) {
	if s.io, s.started = io, now; s.StartsWarm {
		s.started = now - warmUptimeSeconds
	}
	s.checker.serverStarted(now, s.Addr, s.started)
	for i := range s.Coordinators {
		s.dial(i)
	}
	io.SetTimer(now+serverReportSeconds*s.random.uniform(), serverReportTimer)
}

func (s *Server) dial(i int) { s.registrations[s.io.Dial(s.Coordinators[i])] = &registration{coordinator: i} }

// Opened of env.Program.
func (s *Server) Opened(now float64, c env.Conn, from netip.Addr, _ uint16) {
	room := 1.0
	if s.ConnectionCapacityFraction > 0 {
		room = s.ConnectionCapacityFraction
	}
	if s.MaxConnections > 0 && float64(s.openConnections) >= float64(s.MaxConnections)*room {
		s.io.Close(c)
		return
	}
	s.peers[c] = from
	if s.openConnections++; s.ConnectionWork > 0 && !s.overloaded && !s.Hanging {
		s.admit(now, job{class: 0, work: s.ConnectionWork, connectionSetup: true})
	}
}

// Connected of env.Program: the coordinator answers.
func (s *Server) Connected(now float64, c env.Conn, ok bool) {
	r := s.registrations[c]
	if r == nil {
		return
	}
	if !ok {
		delete(s.registrations, c)
		s.io.SetTimer(now+serverRedialSeconds*(0.5+s.random.uniform()), firstServerDialTimer+r.coordinator)
		return
	}
	m := &sasp.Message{Kind: sasp.Registration}
	for _, c := range s.Classes {
		m.Groups = append(m.Groups, sasp.Group{UID: []byte(s.FleetUID), Name: []byte(c.Name), From: len(m.Rows),
			To: len(m.Rows) + 1})
		m.Rows = append(m.Rows, sasp.Row{Address: sasp.AddressOf(s.Addr)})
	}
	s.io.Send(c, r.session.write(m))
}

// Receive of env.Program.
func (s *Server) Receive(now float64, c env.Conn, b []byte) {
	if r := s.registrations[c]; r != nil {
		r.session.read(b, func(m *sasp.Message) {
			if m.Kind == sasp.RegistrationReply && m.Code == sasp.OK {
				if !r.accepted {
					r.accepted = true
					s.registered++
				}
				s.checker.serverRegistered(now, s.Addr)
			} else if m.Code != sasp.OK {
				s.checker.recordProtocolError(now, "server %s: %s", s.Addr, m.Code)
			}
		})
		return
	}
	if p := s.unparsed[c]; s.httpConns[c] || len(p) == 0 && b[0] == 'P' { // numbers of stand-ins' queries start lower
		s.httpConns[c] = true
		s.receiveHTTP(now, c, b)
		return
	}
	b = append(s.unparsed[c], b...)
	for len(b) >= requestBytes {
		if binary.BigEndian.Uint32(b[8:]) == cancelledClass {
			s.cancel(now, c, binary.BigEndian.Uint64(b))
			b = b[requestBytes:]
			continue
		}
		j := job{conn: c, from: s.peers[c], id: binary.BigEndian.Uint64(b), class: int(binary.BigEndian.Uint32(b[8:])),
			key: binary.BigEndian.Uint32(b[12:]), work: math.Float64frombits(binary.BigEndian.Uint64(b[16:]))}
		b = b[requestBytes:]
		s.handleRequest(now, j)
	}
	s.unparsed[c] = append([]byte(nil), b...)
}

// Closed of env.Program.
func (s *Server) Closed(now float64, c env.Conn) {
	if _, theirs := s.peers[c]; theirs {
		s.openConnections--
	}
	delete(s.peers, c)
	delete(s.unparsed, c)
	delete(s.httpConns, c)
	if r := s.registrations[c]; r != nil {
		if delete(s.registrations, c); r.accepted {
			s.registered--
		}
		if s.registered == 0 {
			s.checker.serverDisconnected(now, s.Addr)
		}
		s.io.SetTimer(now+serverRedialSeconds*(0.3+0.7*s.random.uniform()), firstServerDialTimer+r.coordinator)
	}
}

// Delivered of env.Program.
func (s *Server) Delivered(float64, env.Conn, uint64) {}

// Datagram of env.Program.
func (s *Server) Datagram(float64, []byte) {}

func (s *Server) capacityFraction(now float64) float64 { // of its capacity
	if age := now - s.started; age < s.WarmupDuration {
		return s.WarmupFraction + (1-s.WarmupFraction)*age/s.WarmupDuration
	}
	return 1
}

func (s *Server) handleRequest(now float64, j job) {
	if s.overloaded {
		return
	}
	s.checkOverload(now, j)
	switch {
	case s.Hanging:
		return
	case s.random.uniform() < s.ErrorProbability:
		s.failAfter(now, failFastSeconds, j)
		return
	}
	if q := s.Classes[j.class].Request; q.Idempotency != 0 {
		if at, ok := s.FailureDomain.seen[j.id]; ok && now-at < q.DedupWindow { // a repeat: dropped, and answered as the first was
			s.reply(j, answered)
			return
		}
		if len(s.waiting) < s.QueueCapacity || len(s.running) < s.Cores {
			s.FailureDomain.seen[j.id] = now
		}
	}
	if !s.admit(now, j) {
		s.reply(j, rejected)
	}
}

// admit puts work on a core, or in the queue; false: there is no room.
func (s *Server) admit(now float64, j job) bool {
	switch {
	case len(s.running) < s.Cores:
		s.startJob(now, j)
	case len(s.waiting) < s.QueueCapacity:
		s.waiting = append(s.waiting, j)
	default:
		return false
	}
	return true
}

// cancel ends a query that nobody waits for any longer: where work stops for that, and always where it has not begun.
func (s *Server) cancel(now float64, c env.Conn, id uint64) {
	for i, j := range s.waiting {
		if j.conn == c && j.id == id && !j.connectionSetup {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	for number, j := range s.running {
		if j.conn == c && j.id == id && j.class >= 0 && !j.connectionSetup && s.CancelsWork {
			delete(s.running, number)
			s.startNext(now)
			return
		}
	}
}

// rememberKey tells whether a key is remembered, and remembers it.
func (s *Server) rememberKey(now float64, key uint32) bool {
	if s.KeyCacheSize == 0 {
		return false
	}
	at, known := s.keyUsedAt[key]
	if !known {
		if s.keyUsedAt == nil {
			s.keyUsedAt = map[uint32]float64{}
		}
		if len(s.keyOrder) >= s.KeyCacheSize {
			delete(s.keyUsedAt, s.keyOrder[0])
			s.keyOrder = s.keyOrder[1:]
		}
		s.keyOrder = append(s.keyOrder, key)
	}
	s.keyUsedAt[key] = now
	return known && now-at < s.KeyCacheDuration
}

func (s *Server) failAfter(now, after float64, j job) {
	s.lastJob++
	j.class = -1 - j.class // it fails
	s.running[s.lastJob] = j
	s.io.SetTimer(now+after, s.lastJob)
}

func (s *Server) startJob(now float64, j job) {
	s.lastJob++
	s.running[s.lastJob] = j
	work := j.work * s.SlowdownFactor * (1 + s.aging)
	if s.aging += s.AgingPerRequest; s.AgingPerRequest == 0 {
		s.aging = 0
	}
	if !j.connectionSetup && s.rememberKey(now, j.key) {
		work *= 1 - s.KeyCacheSaving
	}
	if s.HeavyTailProbability > 0 && s.random.uniform() < s.HeavyTailProbability {
		work *= heavyTailFactor
	}
	s.io.SetTimer(now+work/(s.Speed*s.capacityFraction(now)), s.lastJob)
}

const heavyTailFactor = 10.0 // times its work that a query of a heavy tail takes

// checkOverload counts what comes to a cold server: too much of it, and it falls over.
func (s *Server) checkOverload(now float64, j job) {
	if now-s.started >= s.WarmupDuration {
		s.recent, s.times = nil, nil
		return
	}
	j.senderKnowsServer = s.checker.senderKnowsServer(now, j.from, s.Addr)
	s.recent, s.times = append(s.recent, j), append(s.times, now)
	sum, knowing := 0.0, 0.0
	for i := len(s.recent) - 1; i >= 0 && now-s.times[i] <= s.OverloadWindow; i-- {
		sum += s.recent[i].work
		if s.recent[i].senderKnowsServer {
			knowing += s.recent[i].work
		}
	}
	if sum > s.OverloadFactor*s.capacityFraction(now)*float64(s.Cores)*s.Speed*s.OverloadWindow+overloadSlackSeconds {
		s.overloaded = true
		s.checker.serverOverloaded(now, s.Addr, knowing/sum)
		s.OnOverload()
	}
}

// TimerFired of env.Program.
func (s *Server) TimerFired(now float64, what int) {
	switch {
	case s.overloaded:
	case what == serverReportTimer:
		p := collectd.NewPacketWriter(now, s.Addr.String(), s.User, s.Key, func(b []byte) {
			for _, a := range s.Coordinators {
				s.io.Datagram(netip.AddrPortFrom(a.Addr(), s.CollectorPort), b)
			}
		})
		p.Uptime(now - s.started)
		p.Flush()
		s.io.SetTimer(now+serverReportSeconds, serverReportTimer)
	case what >= firstServerDialTimer && what < firstJobTimer:
		s.dial(what - firstServerDialTimer)
	default:
		s.finishJob(now, what)
	}
}

func (s *Server) finishJob(now float64, what int) {
	j, ok := s.running[what]
	if !ok {
		return
	}
	delete(s.running, what)
	if j.class < 0 {
		s.reply(j, failed)
		s.startNext(now)
		return
	}
	if !j.connectionSetup {
		s.checker.requestExecuted(now, s.Addr, j.id, s.Classes[j.class])
		if s.ResponseLossProbability == 0 || s.random.uniform() >= s.ResponseLossProbability {
			s.reply(j, answered)
		}
	}
	s.startNext(now)
}

// startNext begins what has waited longest.
func (s *Server) startNext(now float64) {
	if len(s.waiting) > 0 && len(s.running) < s.Cores {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.startJob(now, next)
	}
}

// NewFailureDomain makes a pod.
func NewFailureDomain() *FailureDomain { return &FailureDomain{seen: map[uint64]float64{}} }

// Agent tells the coordinator once that a server drains, or does so no more, and goes.
type Agent struct {
	Coordinators    []netip.AddrPort // it tells the first that it reaches
	Server          netip.AddrPort
	coordinator              int
	FleetUID, Group string
	Quiesce         bool
	Checker         *InvariantChecker
	io              env.IO
	session           saspSession
	done            bool
}

// Start of env.Program.
func (a *Agent) Start(_ float64, io env.IO) {
	a.io = io
	io.Dial(a.Coordinators[0])
}

// Opened of env.Program.
func (a *Agent) Opened(float64, env.Conn, netip.Addr, uint16) {}

// Connected of env.Program.
func (a *Agent) Connected(now float64, c env.Conn, ok bool) {
	if !ok {
		a.io.SetTimer(now+0.2, 0)
		return
	}
	row := sasp.Row{Address: sasp.AddressOf(a.Server)}
	if a.Quiesce {
		row.Flags = sasp.Quiesce
	} else { // its end may be in force before it is confirmed
		a.Checker.setDraining(now, a.Server, false)
	}
	a.io.Send(c, a.session.write(&sasp.Message{Kind: sasp.SetMember, Rows: []sasp.Row{row},
		Groups: []sasp.Group{{UID: []byte(a.FleetUID), Name: []byte(a.Group), To: 1}}}))
}

// Receive of env.Program: the reply is the moment at which the coordinator was told.
func (a *Agent) Receive(now float64, c env.Conn, b []byte) {
	a.session.read(b, func(m *sasp.Message) {
		if a.done = true; m.Code == sasp.OK {
			a.Checker.setDraining(now, a.Server, a.Quiesce)
		} else {
			a.Checker.recordProtocolError(now, "agent of %s: %s", a.Server, m.Code)
		}
		a.io.Close(c)
	})
}

// Closed of env.Program.
func (a *Agent) Closed(now float64, _ env.Conn) {
	if !a.done {
		a.io.SetTimer(now+0.2, 0)
	}
}

// Delivered of env.Program.
func (a *Agent) Delivered(float64, env.Conn, uint64) {}

// Datagram of env.Program.
func (a *Agent) Datagram(float64, []byte) {}

// TimerFired of env.Program: it tries again.
func (a *Agent) TimerFired(float64, int) {
	if !a.done {
		a.coordinator++
		a.io.Dial(a.Coordinators[a.coordinator%len(a.Coordinators)])
	}
}
