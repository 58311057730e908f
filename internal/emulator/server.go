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
	Queue          int     // queries that may wait
	WarmupFraction float64 // of its capacity, when it starts
	WarmupDuration float64 // seconds
	OverloadFactor float64 // of its present capacity; more of it for Within pushes it over
	OverloadWindow float64
	Warm           bool             // it started long ago
	Coordinators   []netip.AddrPort // it registers with all of them
	Collect        uint16           // port of their collectors
	User, Key      string
	FleetUID       string
	Classes        []Class
	Seed           uint64

	Connections int     // that it takes at once; 0: any number
	ConnWork    float64 // seconds on a core of speed 1 that a new connection costs
	KeyFor      float64 // seconds for which it remembers a key
	KeyLess     float64 // part of the work that a query of a remembered key does not cost
	KeyMost     int     // keys that it remembers
	Stops       bool    // work ends when its query is given up; else it goes on for nobody
}

const (
	serverDial    = 1.0  // seconds between two dials of the coordinator
	serverReport  = 1.0  // seconds between two reports of uptime
	fallSlack     = 0.25 // seconds of one core's work, against chance
	wakeJobs      = 1000 // numbers of wake-ups from here on are of jobs
	wakeReport    = 1
	wakeDial      = 2      // and from there on, one for each coordinator
	longWarm      = 1000.0 // seconds, uptime of a server that is warm at the start of a day
	failFastTakes = 0.005  // seconds
)

type job struct {
	conn  env.Conn
	id    uint64
	class int
	work  float64
	from  netip.Addr
	key   uint32
	http  bool // it came over HTTP, from a real proxy
	conns bool // it is what a new connection costs

	knowing bool // it came from a relay that could know that the server is cold
}

// registrar is a connection to a coordinator.
type registrar struct {
	at    int // which one
	speak speaker
	done  bool
}

// Server is a match server.
type Server struct {
	ServerConfig
	Slow   float64 // times that its work takes; 1: as usual
	Errors float64 // chance that a query fails at once
	Hangs  bool    // it takes queries and answers none
	Lost   float64 // chance that an answer does not arrive
	Tail   float64 // chance that a query takes ten times its work
	Ages   float64 // part by which each query makes it slower
	Room   float64 // part of its connections that it takes; 0: all

	ref        *InvariantChecker
	io         env.IO
	started    float64
	running    map[int]job
	waiting    []job
	nextJob    int
	parts      map[env.Conn][]byte
	real       map[env.Conn]bool // those of real proxies
	from       map[env.Conn]netip.Addr
	sasp       map[env.Conn]*registrar
	registered int // with so many coordinators
	open       int // connections that others have made
	keys       map[uint32]float64
	keyLine    []uint32 // in the order in which they were remembered
	aged       float64
	recent     []job // while cold: what came in, for the budget
	times      []float64
	fallen     bool
	chance     chance
	Fall       func() // the host's death
}

// NewServer makes a match server that tells a referee what it does.
func NewServer(s ServerConfig, ref *InvariantChecker) *Server {
	return &Server{ServerConfig: s, Slow: 1, ref: ref, running: map[int]job{}, real: map[env.Conn]bool{}, parts: map[env.Conn][]byte{},
		sasp: map[env.Conn]*registrar{}, from: map[env.Conn]netip.Addr{}, chance: newChance(s.Seed), nextJob: wakeJobs}
}

// Start of env.Program.
func (s *Server) Start(now float64, io env.IO) {
	if s.io, s.started = io, now; s.Warm {
		s.started = now - longWarm
	}
	s.ref.serverUp(now, s.Addr, s.started)
	for i := range s.Coordinators {
		s.dial(i)
	}
	io.SetTimer(now+serverReport*s.chance.float(), wakeReport)
}

func (s *Server) dial(i int) { s.sasp[s.io.Dial(s.Coordinators[i])] = &registrar{at: i} }

// Opened of env.Program.
func (s *Server) Opened(now float64, c env.Conn, from netip.Addr, _ uint16) {
	room := 1.0
	if s.Room > 0 {
		room = s.Room
	}
	if s.Connections > 0 && float64(s.open) >= float64(s.Connections)*room {
		s.io.Close(c)
		return
	}
	s.from[c] = from
	if s.open++; s.ConnWork > 0 && !s.fallen && !s.Hangs {
		s.take(now, job{class: 0, work: s.ConnWork, conns: true})
	}
}

// Connected of env.Program: the coordinator answers.
func (s *Server) Connected(now float64, c env.Conn, ok bool) {
	r := s.sasp[c]
	if r == nil {
		return
	}
	if !ok {
		delete(s.sasp, c)
		s.io.SetTimer(now+serverDial*(0.5+s.chance.float()), wakeDial+r.at)
		return
	}
	m := &sasp.Message{Kind: sasp.Registration}
	for _, c := range s.Classes {
		m.Groups = append(m.Groups, sasp.Group{UID: []byte(s.FleetUID), Name: []byte(c.Name), From: len(m.Rows),
			To: len(m.Rows) + 1})
		m.Rows = append(m.Rows, sasp.Row{Address: sasp.AddressOf(s.Addr)})
	}
	s.io.Send(c, r.speak.write(m))
}

// Receive of env.Program.
func (s *Server) Receive(now float64, c env.Conn, b []byte) {
	if r := s.sasp[c]; r != nil {
		r.speak.read(b, func(m *sasp.Message) {
			if m.Kind == sasp.RegistrationReply && m.Code == sasp.OK {
				if !r.done {
					r.done = true
					s.registered++
				}
				s.ref.serverListed(now, s.Addr)
			} else if m.Code != sasp.OK {
				s.ref.complain(now, "server %s: %s", s.Addr, m.Code)
			}
		})
		return
	}
	if p := s.parts[c]; s.real[c] || len(p) == 0 && b[0] == 'P' { // numbers of stand-ins' queries start lower
		s.real[c] = true
		s.http(now, c, b)
		return
	}
	b = append(s.parts[c], b...)
	for len(b) >= querySize {
		if binary.BigEndian.Uint32(b[8:]) == givenUp {
			s.giveUp(now, c, binary.BigEndian.Uint64(b))
			b = b[querySize:]
			continue
		}
		j := job{conn: c, from: s.from[c], id: binary.BigEndian.Uint64(b), class: int(binary.BigEndian.Uint32(b[8:])),
			key: binary.BigEndian.Uint32(b[12:]), work: math.Float64frombits(binary.BigEndian.Uint64(b[16:]))}
		b = b[querySize:]
		s.query(now, j)
	}
	s.parts[c] = append([]byte(nil), b...)
}

// Closed of env.Program.
func (s *Server) Closed(now float64, c env.Conn) {
	if _, theirs := s.from[c]; theirs {
		s.open--
	}
	delete(s.from, c)
	delete(s.parts, c)
	delete(s.real, c)
	if r := s.sasp[c]; r != nil {
		if delete(s.sasp, c); r.done {
			s.registered--
		}
		if s.registered == 0 {
			s.ref.serverUnheard(now, s.Addr)
		}
		s.io.SetTimer(now+serverDial*(0.3+0.7*s.chance.float()), wakeDial+r.at)
	}
}

// Delivered of env.Program.
func (s *Server) Delivered(float64, env.Conn, uint64) {}

// Datagram of env.Program.
func (s *Server) Datagram(float64, []byte) {}

func (s *Server) part(now float64) float64 { // of its capacity
	if age := now - s.started; age < s.WarmupDuration {
		return s.WarmupFraction + (1-s.WarmupFraction)*age/s.WarmupDuration
	}
	return 1
}

func (s *Server) query(now float64, j job) {
	if s.fallen {
		return
	}
	s.push(now, j)
	switch {
	case s.Hangs:
		return
	case s.chance.float() < s.Errors:
		s.answerAfter(now, failFastTakes, j)
		return
	}
	if q := s.Classes[j.class].Query; q.Idempotency != 0 {
		if at, ok := s.FailureDomain.seen[j.id]; ok && now-at < q.DedupWindow { // a repeat: dropped, and answered as the first was
			s.reply(j, answered)
			return
		}
		if len(s.waiting) < s.Queue || len(s.running) < s.Cores {
			s.FailureDomain.seen[j.id] = now
		}
	}
	if !s.take(now, j) {
		s.reply(j, full)
	}
}

// take puts work on a core, or in the queue; false: there is no room.
func (s *Server) take(now float64, j job) bool {
	switch {
	case len(s.running) < s.Cores:
		s.run(now, j)
	case len(s.waiting) < s.Queue:
		s.waiting = append(s.waiting, j)
	default:
		return false
	}
	return true
}

// giveUp ends a query that nobody waits for any longer: where work stops for that, and always where it has not begun.
func (s *Server) giveUp(now float64, c env.Conn, id uint64) {
	for i, j := range s.waiting {
		if j.conn == c && j.id == id && !j.conns {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	for number, j := range s.running {
		if j.conn == c && j.id == id && j.class >= 0 && !j.conns && s.Stops {
			delete(s.running, number)
			s.next(now)
			return
		}
	}
}

// knows tells whether a key is remembered, and remembers it.
func (s *Server) knows(now float64, key uint32) bool {
	if s.KeyMost == 0 {
		return false
	}
	at, known := s.keys[key]
	if !known {
		if s.keys == nil {
			s.keys = map[uint32]float64{}
		}
		if len(s.keyLine) >= s.KeyMost {
			delete(s.keys, s.keyLine[0])
			s.keyLine = s.keyLine[1:]
		}
		s.keyLine = append(s.keyLine, key)
	}
	s.keys[key] = now
	return known && now-at < s.KeyFor
}

func (s *Server) answerAfter(now, after float64, j job) {
	s.nextJob++
	j.class = -1 - j.class // it fails
	s.running[s.nextJob] = j
	s.io.SetTimer(now+after, s.nextJob)
}

func (s *Server) run(now float64, j job) {
	s.nextJob++
	s.running[s.nextJob] = j
	work := j.work * s.Slow * (1 + s.aged)
	if s.aged += s.Ages; s.Ages == 0 {
		s.aged = 0
	}
	if !j.conns && s.knows(now, j.key) {
		work *= 1 - s.KeyLess
	}
	if s.Tail > 0 && s.chance.float() < s.Tail {
		work *= tailTakes
	}
	s.io.SetTimer(now+work/(s.Speed*s.part(now)), s.nextJob)
}

const tailTakes = 10.0 // times its work that a query of a heavy tail takes

// push counts what comes to a cold server: too much of it, and it falls over.
func (s *Server) push(now float64, j job) {
	if now-s.started >= s.WarmupDuration {
		s.recent, s.times = nil, nil
		return
	}
	j.knowing = s.ref.knows(now, j.from, s.Addr)
	s.recent, s.times = append(s.recent, j), append(s.times, now)
	sum, knowing := 0.0, 0.0
	for i := len(s.recent) - 1; i >= 0 && now-s.times[i] <= s.OverloadWindow; i-- {
		sum += s.recent[i].work
		if s.recent[i].knowing {
			knowing += s.recent[i].work
		}
	}
	if sum > s.OverloadFactor*s.part(now)*float64(s.Cores)*s.Speed*s.OverloadWindow+fallSlack {
		s.fallen = true
		s.ref.fell(now, s.Addr, knowing/sum)
		s.Fall()
	}
}

// TimerFired of env.Program.
func (s *Server) TimerFired(now float64, what int) {
	switch {
	case s.fallen:
	case what == wakeReport:
		p := collectd.NewPacketWriter(now, s.Addr.String(), s.User, s.Key, func(b []byte) {
			for _, a := range s.Coordinators {
				s.io.Datagram(netip.AddrPortFrom(a.Addr(), s.Collect), b)
			}
		})
		p.Uptime(now - s.started)
		p.Flush()
		s.io.SetTimer(now+serverReport, wakeReport)
	case what >= wakeDial && what < wakeJobs:
		s.dial(what - wakeDial)
	default:
		s.finish(now, what)
	}
}

func (s *Server) finish(now float64, what int) {
	j, ok := s.running[what]
	if !ok {
		return
	}
	delete(s.running, what)
	if j.class < 0 {
		s.reply(j, failed)
		s.next(now)
		return
	}
	if !j.conns {
		s.ref.effect(now, s.Addr, j.id, s.Classes[j.class])
		if s.Lost == 0 || s.chance.float() >= s.Lost {
			s.reply(j, answered)
		}
	}
	s.next(now)
}

// next begins what has waited longest.
func (s *Server) next(now float64) {
	if len(s.waiting) > 0 && len(s.running) < s.Cores {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.run(now, next)
	}
}

// NewFailureDomain makes a pod.
func NewFailureDomain() *FailureDomain { return &FailureDomain{seen: map[uint64]float64{}} }

// Agent tells the coordinator once that a server drains, or does so no more, and goes.
type Agent struct {
	Coordinators    []netip.AddrPort // it tells the first that it reaches
	Server          netip.AddrPort
	at              int
	FleetUID, Group string
	Quiesce         bool
	Checker         *InvariantChecker
	io              env.IO
	speak           speaker
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
		a.Checker.drain(now, a.Server, false)
	}
	a.io.Send(c, a.speak.write(&sasp.Message{Kind: sasp.SetMember, Rows: []sasp.Row{row},
		Groups: []sasp.Group{{UID: []byte(a.FleetUID), Name: []byte(a.Group), To: 1}}}))
}

// Receive of env.Program: the reply is the moment at which the coordinator was told.
func (a *Agent) Receive(now float64, c env.Conn, b []byte) {
	a.speak.read(b, func(m *sasp.Message) {
		if a.done = true; m.Code == sasp.OK {
			a.Checker.drain(now, a.Server, a.Quiesce)
		} else {
			a.Checker.complain(now, "agent of %s: %s", a.Server, m.Code)
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
		a.at++
		a.io.Dial(a.Coordinators[a.at%len(a.Coordinators)])
	}
}
