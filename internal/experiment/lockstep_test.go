package experiment

import (
	"cmp"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"snowquay/internal/env"
	"snowquay/internal/frontend/eventloop"
)

// settleTimeout is how long a step may take in real time. Nothing else depends on it.
const settleTimeout = 30 * time.Second

// effect is something that a program does to a connection: it sends data, or closes it if there is none.
type effect struct {
	conn env.Conn
	data []byte
}

// A directProgram calls a program as a simulated host does, but reports what it sends as delivered at once, and its effects
// leave together after each call. It is what a socketProgram is compared with.
type directProgram struct {
	env.Program
	io      env.IO // of the simulated host
	effects []effect
	sent    map[env.Conn]uint64
	timer   timer
}

// timer is the latest timer that a program has set.
type timer struct {
	at    float64 // seconds; 0: it has fired
	key   int
	count int // of timers that were set
}

func (p *directProgram) Start(now float64, io env.IO) {
	p.io = io
	p.sent = map[env.Conn]uint64{}
	p.step(now, func() { p.Program.Start(now, directIO{p}) })
}

func (p *directProgram) Opened(now float64, conn env.Conn, from netip.Addr, port uint16) {
	p.step(now, func() { p.Program.Opened(now, conn, from, port) })
}

func (p *directProgram) Receive(now float64, conn env.Conn, data []byte) {
	p.step(now, func() { p.Program.Receive(now, conn, data) })
}

func (p *directProgram) Closed(now float64, conn env.Conn) {
	delete(p.sent, conn)
	p.step(now, func() { p.Program.Closed(now, conn) })
}

func (p *directProgram) Datagram(now float64, data []byte) {
	p.step(now, func() { p.Program.Datagram(now, data) })
}

func (p *directProgram) Delivered(float64, env.Conn, uint64) {}

func (p *directProgram) TimerFired(now float64, count int) {
	if count == p.timer.count {
		p.step(now, func() {})
	}
}

// step lets the program do something, after the timers that are due. Timers that it sets for now fire at once.
func (p *directProgram) step(now float64, do func()) {
	p.fireDue(now)
	do()
	p.reportDeliveries(now)
	p.fireDue(now)
	p.applyEffects()
	p.io.SetTimer(p.timer.at, p.timer.count)
}

func (p *directProgram) fireDue(now float64) {
	for p.timer.at > 0 && p.timer.at <= now {
		key := p.timer.key
		p.timer.at = 0
		p.Program.TimerFired(now, key)
		p.reportDeliveries(now)
	}
}

func (p *directProgram) reportDeliveries(now float64) {
	conns := make([]env.Conn, 0, len(p.sent))
	for conn := range p.sent {
		conns = append(conns, conn)
	}
	slices.Sort(conns)
	for _, conn := range conns {
		p.Program.Delivered(now, conn, p.sent[conn])
	}
}

func (p *directProgram) applyEffects() {
	for _, done := range p.effects {
		if done.data == nil {
			p.io.Close(done.conn)
			delete(p.sent, done.conn)
			continue
		}
		p.io.Send(done.conn, done.data)
	}
	p.effects = nil
}

// directIO is the environment of a directProgram's program.
type directIO struct{ *directProgram }

func (io directIO) Send(conn env.Conn, data []byte) {
	io.effects = append(io.effects, effect{conn: conn, data: slices.Clone(data)})
	io.sent[conn] += uint64(len(data))
}

func (io directIO) Close(conn env.Conn) { io.effects = append(io.effects, effect{conn: conn}) }

func (io directIO) SetTimer(at float64, key int) {
	io.timer = timer{at: at, key: key, count: io.timer.count + 1}
}

func (io directIO) Dial(to netip.AddrPort) env.Conn         { return io.io.Dial(to) }
func (io directIO) Datagram(to netip.AddrPort, data []byte) { io.io.Datagram(to, data) }

// A socketProgram runs a program on the event loop over loopback sockets, in place of a simulated host, and is the other end
// of each of its connections. Virtual time goes on only when every byte that was sent has been read at the other end, the
// event loop has reported it as delivered, and every timer that is due has fired; so no clock and no load makes anything late.
type socketProgram struct {
	t            testing.TB
	tcp          []netip.AddrPort
	measurements netip.AddrPort
	program      env.Program
	io           env.IO // of the simulated host
	clock        atomic.Uint64
	server       *eventloop.Server
	datagrams    *net.UDPConn

	mu            sync.Mutex
	changed       *sync.Cond
	loopIO        env.IO
	openedConn    env.Conn // by the event loop's number
	openedCount   int
	datagramCount int
	timer         timer
	effects       []effect // with the event loop's numbers; the data only says how much
	links         []*link
	bySimulated   map[env.Conn]*link
	byLoop        map[env.Conn]*link
	inCall        bool // the program is in a call
}

// link joins a simulated connection and the socket that stands for it.
type link struct {
	socket    *net.TCPConn
	simulated env.Conn
	loop      env.Conn
	written   uint64 // by the other end
	received  uint64 // by the program
	sent      uint64 // by the program
	delivered uint64 // as the event loop has reported
	read      uint64 // by the other end
	unread    []byte // read from the socket, and not handed on yet
	ended     bool   // the socket has ended
	closed    bool   // the program has closed it
	left      bool   // the other end has closed it
	leftSeen  bool   // the program was told so
}

func newSocketProgram(t testing.TB, program env.Program, tcp []netip.AddrPort, measurements netip.AddrPort) *socketProgram {
	p := &socketProgram{
		t:            t,
		program:      program,
		tcp:          tcp,
		measurements: measurements,
		bySimulated:  map[env.Conn]*link{},
		byLoop:       map[env.Conn]*link{},
	}
	p.changed = sync.NewCond(&p.mu)
	return p
}

func (p *socketProgram) now() float64 { return math.Float64frombits(p.clock.Load()) }

func (p *socketProgram) Start(now float64, io env.IO) {
	p.io = io
	p.clock.Store(math.Float64bits(now))
	server, err := eventloop.Listen(observedProgram{p}, p.tcp, p.measurements, p.now)
	if err != nil {
		p.t.Fatal(err)
	}
	p.server = server
	p.datagrams, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.measurements))
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(p.stop)
	p.step(now, func() {})
}

// stop ends the event loop and the other ends of all connections.
func (p *socketProgram) stop() {
	if err := p.server.Stop(); err != nil {
		p.t.Error(err)
	}
	_ = p.datagrams.Close()
	p.mu.Lock()
	links := p.links
	p.mu.Unlock()
	for _, each := range links {
		_ = each.socket.Close()
	}
}

func (p *socketProgram) Opened(now float64, conn env.Conn, from netip.Addr, port uint16) {
	p.step(now, func() {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
		index := slices.IndexFunc(p.tcp, func(address netip.AddrPort) bool { return address.Port() == port })
		socket, err := dialer.Dial("tcp", p.tcp[index].String())
		if err != nil {
			p.t.Fatal(err)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		added := &link{socket: socket.(*net.TCPConn), simulated: conn}
		before := len(p.links)
		p.wait("the connection opened", func() bool { return p.openedCount > before })
		added.loop = p.openedConn
		p.links = append(p.links, added)
		p.bySimulated[conn] = added
		p.byLoop[added.loop] = added
		go p.readAll(added)
	})
}

// readAll reads what the program sends on a link.
func (p *socketProgram) readAll(from *link) {
	buffer := make([]byte, 16<<10)
	for {
		size, err := from.socket.Read(buffer)
		p.mu.Lock()
		from.unread = append(from.unread, buffer[:size]...)
		from.read += uint64(size)
		from.ended = from.ended || err != nil
		p.changed.Broadcast()
		p.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (p *socketProgram) Receive(now float64, conn env.Conn, data []byte) {
	p.step(now, func() {
		p.mu.Lock()
		to := p.bySimulated[conn]
		to.written += uint64(len(data))
		p.mu.Unlock()
		if _, err := to.socket.Write(data); err != nil {
			p.t.Fatal(err)
		}
	})
}

func (p *socketProgram) Closed(now float64, conn env.Conn) {
	p.step(now, func() {
		p.mu.Lock()
		left := p.bySimulated[conn]
		left.left = true
		p.mu.Unlock()
		_ = left.socket.Close()
	})
}

func (p *socketProgram) Datagram(now float64, data []byte) {
	p.step(now, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		before := p.datagramCount
		if _, err := p.datagrams.Write(data); err != nil {
			p.t.Fatal(err)
		}
		p.wait("the datagram arrived", func() bool { return p.datagramCount > before })
	})
}

func (p *socketProgram) Delivered(float64, env.Conn, uint64) {}

func (p *socketProgram) Connected(float64, env.Conn, bool) {}

func (p *socketProgram) TimerFired(now float64, count int) {
	p.mu.Lock()
	current := count == p.timer.count
	p.mu.Unlock()
	if current {
		p.step(now, func() {})
	}
}

// step moves the program's clock on, lets it do something, and waits until nothing is under way.
func (p *socketProgram) step(now float64, do func()) {
	p.clock.Store(math.Float64bits(now))
	p.settle(now)
	do()
	p.settle(now)
	p.mu.Lock()
	effects := p.effects
	p.effects = nil
	next := p.timer
	p.mu.Unlock()
	for _, done := range effects {
		p.apply(done)
	}
	p.io.SetTimer(next.at, next.count)
}

func (p *socketProgram) settle(now float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wait("everything sent was read", func() bool {
		if p.inCall || p.timer.at > 0 && p.timer.at <= now {
			return false
		}
		return !slices.ContainsFunc(p.links, (*link).underWay)
	})
}

// underWay reports whether something on the link has not reached its other end.
func (l *link) underWay() bool {
	switch {
	case l.closed:
		return !l.ended
	case l.left:
		return !l.leftSeen
	default:
		return l.received != l.written || l.read != l.sent || l.delivered != l.sent
	}
}

// wait waits until done returns true. The caller holds mu and releases it by defer.
func (p *socketProgram) wait(what string, done func() bool) {
	p.t.Helper()
	expired := false
	timer := time.AfterFunc(settleTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		expired = true
		p.changed.Broadcast()
	})
	defer timer.Stop()
	for !done() {
		if expired {
			p.t.Fatalf("not within %v: %s", settleTimeout, what)
		}
		p.changed.Wait()
	}
}

// apply hands an effect on to the simulated peer: the bytes are those that came over the socket.
func (p *socketProgram) apply(done effect) {
	p.mu.Lock()
	from := p.byLoop[done.conn]
	size := min(len(done.data), len(from.unread))
	data := from.unread[:size]
	from.unread = from.unread[size:]
	p.mu.Unlock()
	if done.data == nil {
		p.io.Close(from.simulated)
		return
	}
	p.io.Send(from.simulated, data)
}

// observe changes what is known of the program.
func (p *socketProgram) observe(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.changed.Broadcast()
}

// observedProgram is the program as the event loop calls it.
type observedProgram struct{ *socketProgram }

func (p observedProgram) Start(now float64, io env.IO) {
	p.observe(func() { p.loopIO = io })
	p.program.Start(now, observedIO(p))
}

func (p observedProgram) Opened(now float64, conn env.Conn, from netip.Addr, port uint16) {
	p.program.Opened(now, conn, from, port)
	p.observe(func() {
		p.openedConn = conn
		p.openedCount++
	})
}

func (p observedProgram) Connected(now float64, conn env.Conn, ok bool) {
	p.program.Connected(now, conn, ok)
}

func (p observedProgram) Receive(now float64, conn env.Conn, data []byte) {
	p.program.Receive(now, conn, data)
	p.observe(func() { p.byLoop[conn].received += uint64(len(data)) })
}

func (p observedProgram) Closed(now float64, conn env.Conn) {
	p.program.Closed(now, conn)
	p.observe(func() { p.byLoop[conn].leftSeen = true })
}

func (p observedProgram) Delivered(now float64, conn env.Conn, total uint64) {
	p.program.Delivered(now, conn, total)
	p.observe(func() { p.byLoop[conn].delivered = max(p.byLoop[conn].delivered, total) })
}

func (p observedProgram) Datagram(now float64, data []byte) {
	p.program.Datagram(now, data)
	p.observe(func() { p.datagramCount++ })
}

func (p observedProgram) TimerFired(now float64, key int) {
	p.observe(func() { p.inCall = true })
	p.program.TimerFired(now, key)
	p.observe(func() {
		p.inCall = false
		if p.timer.at > 0 && p.timer.at <= now {
			p.timer.at = 0
		}
	})
}

// observedIO is the environment of a socketProgram's program.
type observedIO struct{ *socketProgram }

func (io observedIO) Dial(to netip.AddrPort) env.Conn         { return io.loopIO.Dial(to) }
func (io observedIO) Datagram(to netip.AddrPort, data []byte) { io.loopIO.Datagram(to, data) }

func (io observedIO) Send(conn env.Conn, data []byte) {
	io.observe(func() {
		io.byLoop[conn].sent += uint64(len(data))
		io.effects = append(io.effects, effect{conn: conn, data: slices.Clone(data)})
	})
	io.loopIO.Send(conn, data)
}

func (io observedIO) Close(conn env.Conn) {
	io.observe(func() {
		io.byLoop[conn].closed = true
		io.effects = append(io.effects, effect{conn: conn})
	})
	io.loopIO.Close(conn)
}

func (io observedIO) SetTimer(at float64, key int) {
	io.observe(func() { io.timer = timer{at: at, key: key, count: io.timer.count + 1} })
	io.loopIO.SetTimer(at, key)
}

// freePorts returns ports of 127.0.0.1 on which nothing listens.
func freePorts(t testing.TB, count int) []uint16 {
	t.Helper()
	var ports []uint16
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, uint16(listener.Addr().(*net.TCPAddr).Port))
	}
	slices.SortFunc(ports, cmp.Compare)
	return ports
}
