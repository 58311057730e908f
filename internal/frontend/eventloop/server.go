// Package eventloop runs an env.Program on real sockets with gnet's event loop: TCP listeners for proxies and other peers, and a
// UDP listener for measurements. One loop owns all connections, so the program needs no locks, messages leave in the order in
// which they were decided, and the writes of a round are system calls and nothing else.
package eventloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"snowquay/internal/env"
)

const (
	loopTimeout       = 5 * time.Second  // for the loop to start, to end, or to run a function
	keepAliveInterval = 15 * time.Second // so that a peer that has vanished is noticed within half a minute
	readBufferBytes   = 16 << 10         // read at once from one connection
	writeBufferBytes  = 4 << 10          // kept in one piece for a slow connection; more is chained
)

// errStartTimeout reports a loop that did not start within loopTimeout.
var errStartTimeout = errors.New("the event loop did not start in time")

// Server runs a program on sockets. Use Listen. The caller ends it by Stop.
type Server struct {
	gnet.BuiltinEventEngine
	program         env.Program
	clock           func() float64
	ignoresDelivery bool // the program is a DeliveryIgnorer: it is woken by timer, not by gnet's ticker
	maxUnread       int  // bytes that a peer may leave unread in this process; 0: any number

	started     chan struct{} // closed when the program has started
	ticking     chan struct{} // closed when the engine takes outgoing connections: gnet ticks first then
	tickingOnce sync.Once
	ended       chan error // receives the result of the loop

	dials      sync.WaitGroup // goroutines of Dial
	dialCtx    context.Context
	stopDials  context.CancelFunc // cancels dialCtx
	registerMu sync.Mutex         // gnet's engine takes one connection at a time

	mu          sync.Mutex // protects what follows: the loop and the ticker of an engine without connections take turns
	engine      gnet.Engine
	loop        gnet.EventLoop // nil before the first connection
	conns       map[env.Conn]*conn
	undelivered map[env.Conn]*conn // those with bytes that have not reached the peer's host yet
	lastConn    env.Conn
	wakeAt      float64 // clock time of the program's timer in seconds; 0: none is set
	timerKey    int
	timer       *time.Timer // fires at wakeAt if ignoresDelivery
	stopped     bool
	udp         *net.UDPConn // for the datagrams of the program; nil before the first one

	writing atomic.Bool // the loop's goroutine is in a write, and holds mu
}

// conn is an open connection.
type conn struct {
	id   env.Conn
	gnet gnet.Conn
	sent uint64 // bytes that the program has sent
}

// DeliveryIgnorer is a program whose Delivered does nothing: the kernel is not asked what it has delivered.
type DeliveryIgnorer interface{ IgnoreDelivery() }

// UnreadLimiter is a program that limits the bytes that a peer may leave unread, besides what the kernel holds. The connection of
// a peer that leaves more is reset.
type UnreadLimiter interface{ MaxUnread() int }

// Clock returns a clock that starts at the wall time and never jumps. It gives seconds since 1970.
func Clock() func() float64 {
	start := time.Now()
	base := float64(start.UnixNano()) / 1e9
	return func() float64 { return base + time.Since(start).Seconds() }
}

// Listen starts a program and returns when it can be reached on the TCP addresses and on the UDP address for measurements, unless
// that is not valid. clock gives the program's time in seconds.
func Listen(program env.Program, tcp []netip.AddrPort, measurements netip.AddrPort, clock func() float64) (*Server, error) {
	addresses, err := listenAddresses(tcp, measurements)
	if err != nil {
		return nil, err
	}
	s := newServer(program, clock)
	go func() { s.ended <- gnet.Rotate(s, addresses, gnetOptions()...) }()
	select {
	case <-s.started:
		return s, nil
	case err := <-s.ended:
		return nil, fmt.Errorf("event loop: %w", err)
	case <-time.After(loopTimeout):
		return nil, errStartTimeout
	}
}

func newServer(program env.Program, clock func() float64) *Server {
	s := &Server{
		program:     program,
		clock:       clock,
		started:     make(chan struct{}),
		ticking:     make(chan struct{}),
		ended:       make(chan error, 1),
		conns:       map[env.Conn]*conn{},
		undelivered: map[env.Conn]*conn{},
	}
	_, s.ignoresDelivery = program.(DeliveryIgnorer)
	limiter, ok := program.(UnreadLimiter)
	if ok {
		s.maxUnread = limiter.MaxUnread()
	}
	s.dialCtx, s.stopDials = context.WithCancel(context.Background())
	s.timer = time.AfterFunc(loopTimeout, s.timerExpired)
	s.timer.Stop()
	return s
}

// listenAddresses returns the addresses in the form that gnet takes. It tries each TCP address, because gnet does not report that
// a port is in use before it runs.
func listenAddresses(tcp []netip.AddrPort, measurements netip.AddrPort) ([]string, error) {
	var addresses []string
	if measurements.IsValid() {
		addresses = append(addresses, "udp://"+measurements.String())
	}
	for _, address := range tcp {
		probe, err := net.Listen("tcp", address.String())
		if err != nil {
			return nil, err
		}
		err = probe.Close()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, "tcp://"+address.String())
	}
	return addresses, nil
}

func gnetOptions() []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(1),
		gnet.WithTicker(true),
		gnet.WithReuseAddr(true),
		gnet.WithTCPKeepAlive(keepAliveInterval),
		// With this option the loop accepts connections itself, one at a time, so that the program can close some before it runs
		// out of descriptors. gnet's acceptor, which runs beside the loop otherwise, accepts all that wait at once, and ends the
		// engine when it can't.
		gnet.WithReusePort(true),
		gnet.WithReadBufferCap(readBufferBytes),
		gnet.WithWriteBufferCap(writeBufferBytes),
		gnet.WithLogger(discardLogger{}),
		gnet.WithLogLevel(logging.ErrorLevel),
	}
}

// discardLogger keeps gnet from writing to standard output: the program and the returned errors report what matters to operators.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}

// Ended returns a channel that receives the result of a loop that has ended by itself, after which nothing is served any more. A
// caller that has received it must not call Stop.
func (s *Server) Ended() <-chan error { return s.ended }

// Stop ends the program at once: all connections are closed. It returns when the loop and all dials have ended.
func (s *Server) Stop() error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.timer.Stop()
	s.stopDials()
	ctx, cancel := context.WithTimeout(context.Background(), loopTimeout)
	defer cancel()
	err := s.engine.Stop(ctx)
	if err != nil {
		return err
	}
	if s.udp != nil {
		_ = s.udp.Close()
	}
	err = <-s.ended
	s.dials.Wait()
	return err
}

// Do calls f between two callbacks of the program, and returns when it has run. If the loop has ended, f is not called.
func (s *Server) Do(f func(now float64)) {
	s.mu.Lock()
	if len(s.conns) == 0 || s.stopped {
		defer s.mu.Unlock()
		f(s.clock())
		return
	}
	loop := s.loop
	s.mu.Unlock()
	done := make(chan struct{})
	err := s.execute(loop, func() {
		defer close(done)
		f(s.clock())
	})
	if err != nil {
		return
	}
	select {
	case <-done:
	case <-time.After(loopTimeout):
	}
}

// execute runs f soon on a loop's goroutine, with mu held. The error says that the loop has ended.
func (s *Server) execute(loop gnet.EventLoop, f func()) error {
	return loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
		return nil
	}))
}
