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

// settleTimeout is how long a step may take in real time before the test fails. Results do not depend on it.
const settleTimeout = 30 * time.Second

// output is data that a program sends on a connection, or the closing of the connection if data is nil.
type output struct {
	conn env.Conn
	data []byte
}

// directProgram calls a program as a simulated host does, except that it reports sent data as delivered at once, and
// passes the program's outputs on together after each call. It is the reference with which a socketProgram is
// compared.
type directProgram struct {
	env.Program
	io      env.IO // environment of the simulated host
	outputs []output
	sent    map[env.Conn]uint64
	timer   timer
}

// timer is the latest timer that a program has set.
type timer struct {
	at    float64 // seconds; 0 after it has fired
	key   int
	count int // number of timers set so far; identifies the timer
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

// step fires the timers that are due and calls do, which calls the program. Then it fires the timers that the program
// has set for now or earlier, and passes the outputs on.
func (p *directProgram) step(now float64, do func()) {
	p.fireDue(now)
	do()
	p.reportDeliveries(now)
	p.fireDue(now)
	p.applyOutputs()
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

func (p *directProgram) applyOutputs() {
	for _, done := range p.outputs {
		if done.data == nil {
			p.io.Close(done.conn)
			delete(p.sent, done.conn)
			continue
		}
		p.io.Send(done.conn, done.data)
	}
	p.outputs = nil
}

// directIO is the environment of the program in a directProgram.
type directIO struct{ *directProgram }

func (io directIO) Send(conn env.Conn, data []byte) {
	io.outputs = append(io.outputs, output{conn: conn, data: slices.Clone(data)})
	io.sent[conn] += uint64(len(data))
}

func (io directIO) Close(conn env.Conn) { io.outputs = append(io.outputs, output{conn: conn}) }

func (io directIO) SetTimer(at float64, key int) {
	io.timer = timer{at: at, key: key, count: io.timer.count + 1}
}

func (io directIO) Dial(to netip.AddrPort) env.Conn         { return io.io.Dial(to) }
func (io directIO) Datagram(to netip.AddrPort, data []byte) { io.io.Datagram(to, data) }

// socketProgram runs a program on the event loop over loopback sockets in place of a simulated host, and acts as the
// peer of each connection. Virtual time advances only after every byte that was sent has been read by the peer and
// reported as delivered by the event loop, and every timer that is due has fired. So the real clock and the load of
// the machine delay nothing in virtual time.
type socketProgram struct {
	t            testing.TB
	tcp          []netip.AddrPort
	measurements netip.AddrPort
	program      env.Program
	io           env.IO // environment of the simulated host
	clock        atomic.Uint64
	server       *eventloop.Server
	datagrams    *net.UDPConn

	mu            sync.Mutex
	changed       *sync.Cond
	loopIO        env.IO
	openedConn    env.Conn // latest connection, as the event loop numbers it
	openedCount   int
	datagramCount int
	timer         timer
	outputs       []output // connections as the event loop numbers them; only the length of the data is used
	links         []*link
	bySimulated   map[env.Conn]*link
	byLoop        map[env.Conn]*link
	inCall        bool // a timer callback of the program is running
}

// link connects a simulated connection with the socket that represents it. Byte counts are totals.
type link struct {
	socket             *net.TCPConn
	simulated          env.Conn
	loop               env.Conn
	written            uint64 // bytes written by the peer
	received           uint64 // bytes received by the program
	sent               uint64 // bytes sent by the program
	delivered          uint64 // bytes reported as delivered by the event loop
	read               uint64 // bytes read by the peer
	unread             []byte // read from the socket, but not passed on to the simulated peer yet
	socketEnded        bool   // reading from the socket has ended
	programClosed      bool   // the program has closed the connection
	disconnected       bool   // the peer has closed the connection
	disconnectReported bool   // the program was notified of it
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

// stop stops the event loop and closes the peers' sockets.
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
		p.wait("open connection", func() bool { return p.openedCount > before })
		added.loop = p.openedConn
		p.links = append(p.links, added)
		p.bySimulated[conn] = added
		p.byLoop[added.loop] = added
		go p.readAll(added)
	})
}

// readAll reads the data that the program sends on a link, until the socket ends.
func (p *socketProgram) readAll(from *link) {
	buffer := make([]byte, 16<<10)
	for {
		size, err := from.socket.Read(buffer)
		p.mu.Lock()
		from.unread = append(from.unread, buffer[:size]...)
		from.read += uint64(size)
		from.socketEnded = from.socketEnded || err != nil
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
		disconnected := p.bySimulated[conn]
		disconnected.disconnected = true
		p.mu.Unlock()
		_ = disconnected.socket.Close()
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
		p.wait("arrival of the datagram", func() bool { return p.datagramCount > before })
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

// step advances the program's clock, calls do, waits until no data is in transit, and passes the outputs on.
func (p *socketProgram) step(now float64, do func()) {
	p.clock.Store(math.Float64bits(now))
	p.settle(now)
	do()
	p.settle(now)
	p.mu.Lock()
	outputs := p.outputs
	p.outputs = nil
	next := p.timer
	p.mu.Unlock()
	for _, done := range outputs {
		p.apply(done)
	}
	p.io.SetTimer(next.at, next.count)
}

// settle waits until no data is in transit and no timer is due.
func (p *socketProgram) settle(now float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wait("delivery of all data", func() bool {
		if p.inCall || p.timer.at > 0 && p.timer.at <= now {
			return false
		}
		return !slices.ContainsFunc(p.links, (*link).inTransit)
	})
}

// inTransit reports whether data or the end of the connection has not reached the other side yet.
func (l *link) inTransit() bool {
	switch {
	case l.programClosed:
		return !l.socketEnded
	case l.disconnected:
		return !l.disconnectReported
	default:
		return l.received != l.written || l.read != l.sent || l.delivered != l.sent
	}
}

// wait waits until done returns true, and fails the test after settleTimeout. The caller holds mu and releases it by
// defer, since a failure ends the goroutine.
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
			p.t.Fatalf("timeout after %v: %s", settleTimeout, what)
		}
		p.changed.Wait()
	}
}

// apply passes an output on to the simulated peer, with the bytes that arrived over the socket.
func (p *socketProgram) apply(done output) {
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

// update changes the recorded state of the program, and wakes the goroutine that waits for it.
func (p *socketProgram) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.changed.Broadcast()
}

// observedProgram passes the event loop's calls to the program and records them.
type observedProgram struct{ *socketProgram }

func (p observedProgram) Start(now float64, io env.IO) {
	p.update(func() { p.loopIO = io })
	p.program.Start(now, observedIO(p))
}

func (p observedProgram) Opened(now float64, conn env.Conn, from netip.Addr, port uint16) {
	p.program.Opened(now, conn, from, port)
	p.update(func() {
		p.openedConn = conn
		p.openedCount++
	})
}

func (p observedProgram) Connected(now float64, conn env.Conn, ok bool) {
	p.program.Connected(now, conn, ok)
}

func (p observedProgram) Receive(now float64, conn env.Conn, data []byte) {
	p.program.Receive(now, conn, data)
	p.update(func() { p.byLoop[conn].received += uint64(len(data)) })
}

func (p observedProgram) Closed(now float64, conn env.Conn) {
	p.program.Closed(now, conn)
	p.update(func() { p.byLoop[conn].disconnectReported = true })
}

func (p observedProgram) Delivered(now float64, conn env.Conn, total uint64) {
	p.program.Delivered(now, conn, total)
	p.update(func() { p.byLoop[conn].delivered = max(p.byLoop[conn].delivered, total) })
}

func (p observedProgram) Datagram(now float64, data []byte) {
	p.program.Datagram(now, data)
	p.update(func() { p.datagramCount++ })
}

func (p observedProgram) TimerFired(now float64, key int) {
	p.update(func() { p.inCall = true })
	p.program.TimerFired(now, key)
	p.update(func() {
		p.inCall = false
		if p.timer.at > 0 && p.timer.at <= now {
			p.timer.at = 0
		}
	})
}

// observedIO passes the program's calls to the event loop's environment and records them.
type observedIO struct{ *socketProgram }

func (io observedIO) Dial(to netip.AddrPort) env.Conn         { return io.loopIO.Dial(to) }
func (io observedIO) Datagram(to netip.AddrPort, data []byte) { io.loopIO.Datagram(to, data) }

func (io observedIO) Send(conn env.Conn, data []byte) {
	io.update(func() {
		io.byLoop[conn].sent += uint64(len(data))
		io.outputs = append(io.outputs, output{conn: conn, data: slices.Clone(data)})
	})
	io.loopIO.Send(conn, data)
}

func (io observedIO) Close(conn env.Conn) {
	io.update(func() {
		io.byLoop[conn].programClosed = true
		io.outputs = append(io.outputs, output{conn: conn})
	})
	io.loopIO.Close(conn)
}

func (io observedIO) SetTimer(at float64, key int) {
	io.update(func() { io.timer = timer{at: at, key: key, count: io.timer.count + 1} })
	io.loopIO.SetTimer(at, key)
}

// freePorts returns ports of 127.0.0.1 that are not in use, in ascending order.
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
