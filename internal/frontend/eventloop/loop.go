// Package eventloop runs a env.Program on real sockets with gnet's event loops: TCP listeners for
// proxies and a UDP one for measurements. One loop owns all connections, so the program needs no locks and messages leave in the order in
// which they were decided; a round's writes are system calls and nothing else.
package eventloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"golang.org/x/sys/unix"

	"snowquay/internal/env"
)

const (
	bootWithin  = 5 * time.Second
	dialWithin  = time.Second          // until a dial is given up
	askKernel   = 5 * time.Millisecond // between two looks at what peers' hosts have taken, while something is on its way
	readBuffer  = 16 << 10             // bytes read at once from one connection
	writeBuffer = 4 << 10              // bytes kept in place for a connection that does not take them; more is chained
	never       = 1000 * time.Hour     // until the next tick of a program that a timer wakes
	keepAlive   = 15 * time.Second     // a peer that is gone without a word is noticed within half a minute
)

// Server is a program on sockets. Use Listen.
type Server struct {
	gnet.BuiltinEventEngine
	program env.Program
	clock   func() float64

	mu      sync.Mutex // a loop and the ticker of an engine without connections take turns
	engine  gnet.Engine
	loop    gnet.EventLoop
	conns   map[env.Conn]*conn
	untaken map[env.Conn]*conn
	next    env.Conn
	wakeAt  float64
	what    int
	stopped bool
	udp     *net.UDPConn // for what the program sends
	blind   bool         // the program does not ask what peers' hosts have taken: a timer wakes it, no ticker
	timer   *time.Timer
	unread  int         // bytes that a peer may leave unread here, besides what the kernel holds; 0: any number
	writing atomic.Bool // the loop's goroutine is in a write, and holds mu
	booted  chan struct{}
	running chan struct{} // closed when the engine takes connections of our own: gnet ticks first then
	once    sync.Once
	taking  sync.Mutex // gnet's engine is handed one connection at a time
	done    chan error
}

type conn struct {
	id   env.Conn
	c    gnet.Conn
	sent uint64
}

// quiet keeps gnet from writing to standard output: what concerns operators is told by the program and by errors.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(string, ...any) {}

// Clock is the wall clock at its start, carried on by the monotonic one: it never jumps.
func Clock() func() float64 {
	start := time.Now()
	base := float64(start.UnixNano()) / 1e9
	return func() float64 { return base + time.Since(start).Seconds() }
}

// DeliveryIgnorer is a program whose Taken does nothing: the kernel is not asked for it.
type DeliveryIgnorer interface{ IgnoreDelivery() }

// UnreadLimiter is a program whose peers may leave only so many bytes unread, besides what the kernel holds: then their connection is reset.
type UnreadLimiter interface{ MaxUnread() int }

// Listen starts a program and returns when it can be dialled, on TCP by proxies or
// peers, and on UDP by those who measure unless that address is not valid.
func Listen(program env.Program, tcp []netip.AddrPort, measurements netip.AddrPort, clock func() float64) (*Server,
	error) {
	_, blind := program.(DeliveryIgnorer)
	s := &Server{program: program, clock: clock, blind: blind, conns: map[env.Conn]*conn{}, untaken: map[env.Conn]*conn{},
		booted: make(chan struct{}), running: make(chan struct{}), done: make(chan error, 1)}
	if bounded, ok := program.(UnreadLimiter); ok {
		s.unread = bounded.MaxUnread()
	}
	// gnet does not tell of a port that is taken until it runs; this tells it plainly.
	var addrs []string
	if measurements.IsValid() {
		addrs = append(addrs, "udp://"+measurements.String())
	}
	for _, a := range tcp {
		probe, err := net.Listen("tcp", a.String())
		if err != nil {
			return nil, err
		}
		if err := probe.Close(); err != nil {
			return nil, err
		}
		addrs = append(addrs, "tcp://"+a.String())
	}
	s.timer = time.AfterFunc(bootWithin, s.turn)
	s.timer.Stop()
	go func() {
		s.done <- gnet.Rotate(s, addrs,
			gnet.WithNumEventLoop(1), gnet.WithTicker(true), gnet.WithReuseAddr(true), gnet.WithTCPKeepAlive(keepAlive),
			// The one loop accepts too, one caller at a time, so that the program can close some before it runs out of descriptors;
			// gnet's acceptor beside it takes all that wait at once, and ends the engine when it can't.
			gnet.WithReusePort(true),
			gnet.WithReadBufferCap(readBuffer), gnet.WithWriteBufferCap(writeBuffer), gnet.WithLogger(quiet{}), gnet.WithLogLevel(logging.ErrorLevel))
	}()
	select {
	case <-s.booted:
		return s, nil
	case err := <-s.done:
		return nil, fmt.Errorf("event loop: %w", err)
	case <-time.After(bootWithin):
		return nil, errors.New("the event loop did not start in time")
	}
}

// Ended gives the error that the event loop ended with by itself: nobody is served any more.
func (s *Server) Ended() <-chan error { return s.done }

// Stop ends the program at once: all connections are closed.
func (s *Server) Stop() error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), bootWithin)
	defer cancel()
	if err := s.engine.Stop(ctx); err != nil {
		return err
	}
	if s.udp != nil {
		_ = s.udp.Close()
	}
	return <-s.done
}

// Do calls f on the loop, between the program's callbacks, and returns when it is done.
func (s *Server) Do(f func(now float64)) {
	s.mu.Lock()
	loop := s.loop
	if len(s.conns) == 0 || s.stopped {
		defer s.mu.Unlock()
		f(s.clock())
		return
	}
	s.mu.Unlock()
	done := make(chan struct{})
	if err := loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		defer close(done)
		f(s.clock())
		return nil
	})); err != nil {
		return // the loop has ended, and the program with it
	}
	select {
	case <-done:
	case <-time.After(bootWithin):
	}
}

// OnBoot of gnet.EventHandler.
func (s *Server) OnBoot(e gnet.Engine) gnet.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine = e
	s.program.Start(s.clock(), s)
	close(s.booted)
	return gnet.None
}

// OnOpen of gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, gnet.Close
	}
	s.loop = c.EventLoop()
	if d, ok := c.Context().(*dialled); ok {
		x := &conn{id: d.id, c: c}
		s.conns[x.id] = x
		c.SetContext(x)
		s.program.Connected(s.clock(), x.id, true)
		return nil, gnet.None
	}
	s.next++
	x := &conn{id: s.next, c: c}
	s.conns[x.id] = x
	c.SetContext(x)
	from, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return nil, gnet.Close
	}
	at, err := netip.ParseAddrPort(c.LocalAddr().String())
	if err != nil {
		return nil, gnet.Close
	}
	s.program.Opened(s.clock(), x.id, from.Addr().Unmap(), at.Port())
	return nil, gnet.None
}

// OnTraffic of gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, err := c.Next(-1)
	if err != nil || s.stopped {
		return gnet.None
	}
	x, ok := c.Context().(*conn)
	if !ok {
		if strings.HasPrefix(c.LocalAddr().Network(), "udp") {
			s.program.Datagram(s.clock(), b)
		}
		return gnet.None
	}
	if s.conns[x.id] == x {
		s.program.Receive(s.clock(), x.id, b)
	}
	return gnet.None
}

// OnClose of gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if s.writing.Load() { // the peer has reset what the program is writing to, on this goroutine: it hears of it afterwards
		if x, ok := c.Context().(*conn); ok && s.conns[x.id] == x {
			s.forget(x)
			_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { // else the loop has ended
				s.mu.Lock()
				defer s.mu.Unlock()
				if !s.stopped {
					s.program.Closed(s.clock(), x.id)
				}
				return nil
			}))
		}
		return gnet.None
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := c.Context().(*conn)
	if !ok || s.conns[x.id] != x {
		return gnet.None
	}
	s.forget(x)
	if !s.stopped {
		s.program.Closed(s.clock(), x.id)
	}
	return gnet.None
}

func (s *Server) forget(x *conn) {
	delete(s.conns, x.id)
	delete(s.untaken, x.id)
}

// OnTick of gnet.EventHandler. gnet calls it beside its loops; what is due runs on the loop that owns the connections.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	s.once.Do(func() { close(s.running) })
	if s.blind { // the timer wakes it
		return never, gnet.None
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return bootWithin, gnet.None
	}
	s.onLoop()
	wait := time.Duration((s.wakeAt - s.clock()) * float64(time.Second))
	if len(s.untaken) > 0 {
		wait = min(wait, askKernel)
	}
	return max(wait, time.Millisecond), gnet.None
}

// onLoop does what is due on the loop, or at once where there is none yet.
func (s *Server) onLoop() {
	if len(s.conns) == 0 || s.loop == nil {
		s.due()
		return
	}
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { // else the loop has ended
		s.mu.Lock()
		defer s.mu.Unlock()
		s.due()
		return nil
	}))
}

// turn is the timer of a blind program.
func (s *Server) turn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.onLoop()
	}
}

func (s *Server) due() {
	if s.stopped {
		return
	}
	s.ask()
	if now := s.clock(); s.wakeAt > 0 && now >= s.wakeAt {
		s.wakeAt = 0
		s.program.TimerFired(now, s.what)
	} else if s.blind && s.wakeAt > 0 { // the timer was early
		s.SetTimer(s.wakeAt, s.what)
	}
}

// ask tells the program what the peers' hosts have taken: all that was sent, but for what waits here and what the
// kernel has not seen acknowledged (SIOCOUTQ, tcp(7)).
func (s *Server) ask() {
	now := s.clock()
	for id, x := range s.untaken {
		left, err := unix.IoctlGetInt(x.c.Fd(), unix.SIOCOUTQ)
		if err != nil {
			delete(s.untaken, id)
			continue
		}
		left += x.c.OutboundBuffered()
		if left == 0 {
			delete(s.untaken, id)
		}
		if uint64(left) <= x.sent {
			s.program.Delivered(now, id, x.sent-uint64(left))
		}
	}
}

// dialled marks a connection of our own until it is open.
type dialled struct{ id env.Conn }

// Dial of env.IO. The dial is made beside the loop, and its connection then belongs to it.
func (s *Server) Dial(to netip.AddrPort) env.Conn {
	s.next++
	id, engine := s.next, s.engine
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialWithin)
		defer cancel()
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", to.String())
		if err == nil {
			var result <-chan gnet.RegisteredResult
			<-s.running // Guards against a dial at the start that comes before the loops are known, and is lost.
			s.taking.Lock()
			result, err = engine.Register(gnet.NewContext(gnet.NewNetConnContext(context.Background(), c), &dialled{id}))
			s.taking.Unlock()
			if err == nil {
				err = (<-result).Err
			}
		}
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.stopped {
				s.program.Connected(s.clock(), id, false)
			}
		}
	}()
	return id
}

// Datagram of env.IO.
func (s *Server) Datagram(to netip.AddrPort, b []byte) {
	if s.udp == nil {
		var err error
		if s.udp, err = net.ListenUDP("udp", nil); err != nil {
			return // as any that is lost
		}
	}
	_, _ = s.udp.WriteToUDPAddrPort(b, to) // likewise
}

// Send of env.IO.
func (s *Server) Send(id env.Conn, b []byte) {
	x := s.conns[id]
	if x == nil {
		return
	}
	if x.sent += uint64(len(b)); !s.blind {
		s.untaken[id] = x
	}
	s.writing.Store(true)
	_, _ = x.c.Write(b) // an error closes the connection, and OnClose tells, from within this call
	if s.unread > 0 && s.conns[id] == x && x.c.OutboundBuffered() > s.unread {
		_ = x.c.Close() // OnClose tells of it as of an error
	}
	s.writing.Store(false)
}

// Close of env.IO.
func (s *Server) Close(id env.Conn) {
	if x := s.conns[id]; x != nil {
		s.forget(x)
		_ = x.c.Close()
	}
}

// SetTimer of env.IO. A program that listens has one wake-up at a time.
func (s *Server) SetTimer(at float64, what int) {
	s.wakeAt, s.what = at, what
	if s.blind {
		s.timer.Reset(max(time.Duration((at-s.clock())*float64(time.Second)), 0) + time.Microsecond)
	}
}
