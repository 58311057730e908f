// Package eventloop runs an env.Program on real sockets, with the event loop of gnet: TCP listeners for proxies and other peers,
// and a UDP listener for measurements. A single loop owns all connections. The program therefore needs no locks, messages are sent
// in the order in which they were decided, and the writes of a round cost only their system calls.
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

	"snowquay/internal/core/bytebudget"
	"snowquay/internal/env"
)

const (
	loopTimeout       = 5 * time.Second  // limit for the loop to start, to end, or to run a function
	keepAliveInterval = 15 * time.Second // detects within half a minute that a peer is unreachable
	readBufferBytes   = 16 << 10         // limit for one read from a connection
	maxRegistering    = 32               // connections that are registered at the same time; each has two descriptors then
	writeBufferBytes  = 4 << 10          // size of the first output buffer of a slow connection; further data is stored in linked buffers
)

// errStartTimeout is returned if the loop did not start within loopTimeout.
var errStartTimeout = errors.New("the event loop did not start in time")

// Server runs a program on sockets. Listen starts it and Stop ends it.
type Server struct {
	gnet.BuiltinEventEngine
	program         env.Program
	clock           func() float64
	ignoresDelivery bool // the program is a DeliveryIgnorer; its timer is timer instead of gnet's ticker
	maxUnread       int  // limit for the bytes that this process buffers for a peer; 0: no limit
	limitsTotal     bool // totalUnread is set

	receivesDatagrams bool // the program listens for measurements

	started     chan struct{} // closed when the program has started
	ticking     chan struct{} // closed at gnet's first tick, from which on the engine accepts outgoing connections
	tickingOnce sync.Once
	ended       chan error // receives the result of the loop when it has ended

	engine      gnet.Engine    // set before the program starts
	ahead       chan struct{}  // has an element for each connection that is accepted and not open yet
	acceptors   []net.Listener // used if the program is a ConnectionLimiter
	dials       sync.WaitGroup // goroutines of Dial and of the acceptors
	dialCtx     context.Context
	stopDials   context.CancelFunc // cancels dialCtx
	registering chan struct{}      // has an element for each connection that is being registered
	registerMu  sync.Mutex         // held while a connection is registered, which gnet's engine does not support concurrently

	mu          sync.Mutex     // protects the fields below, which are used by the loop and, while there are no connections, by the ticker
	loop        gnet.EventLoop // nil before the first connection
	conns       map[env.Conn]*conn
	dialing     map[env.Conn]bool  // outgoing connections that are not open yet, and that the program has not closed
	undelivered map[env.Conn]*conn // connections with bytes that have not reached the peer's host yet
	totalUnread bytebudget.Budget  // of the bytes that this process buffers for all peers
	lastConn    env.Conn
	wakeAt      float64 // clock time in seconds at which the program's timer expires; 0: no timer is set
	timerKey    int
	timer       *time.Timer // fires at wakeAt if ignoresDelivery
	stopped     bool
	udp         *net.UDPConn // socket for datagrams that the program sends; nil before the first one

	inWrite atomic.Bool // the loop's goroutine is in a write and holds mu
}

// conn is an open connection.
type conn struct {
	id        env.Conn
	gnet      gnet.Conn
	sentBytes uint64 // number of bytes that the program has sent
	unread    int    // number of bytes that this process buffered for the peer after the latest write
	closing   bool   // the connection is being closed because of its unread bytes
}

// DeliveryIgnorer is implemented by programs that ignore Delivered. For them, the kernel is not queried for delivered bytes.
type DeliveryIgnorer interface{ IgnoreDelivery() }

// UnreadLimiter is implemented by programs that limit the number of bytes that a peer may leave unread, in addition to those that
// the kernel buffers. The connection of a peer that exceeds the limit is reset.
type UnreadLimiter interface{ MaxUnread() int }

// TotalUnreadLimiter is implemented by programs that limit the number of bytes that all peers together may leave unread, in addition
// to those that the kernel buffers. Beyond it, the connections with the most are reset.
type TotalUnreadLimiter interface{ MaxTotalUnread() int }

// Clock returns a monotonic clock that is set to the wall-clock time at the call. It returns seconds since 1970.
func Clock() func() float64 {
	start := time.Now()
	base := float64(start.UnixNano()) / 1e9
	return func() float64 { return base + time.Since(start).Seconds() }
}

// Listen starts a program and returns when it can be reached on the TCP addresses and, if measurements is valid, on that UDP
// address. clock returns the program's time in seconds.
func Listen(program env.Program, tcp []netip.AddrPort, measurements netip.AddrPort, clock func() float64) (*Server, error) {
	s := newServer(program, clock)
	s.receivesDatagrams = measurements.IsValid()
	limiter, ok := program.(ConnectionLimiter)
	if ok {
		err := s.openAcceptors(tcp)
		if err != nil {
			return nil, err
		}
		tcp = nil
	}
	addresses, err := engineAddresses(tcp, measurements)
	if err != nil {
		return nil, err
	}
	go func() { s.ended <- gnet.Rotate(s, addresses, gnetOptions()...) }()
	select {
	case <-s.started:
		s.startAcceptors(limiter)
		return s, nil
	case err := <-s.ended:
		s.closeAcceptors()
		return nil, fmt.Errorf("event loop: %w", err)
	case <-time.After(loopTimeout):
		s.closeAcceptors()
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
		registering: make(chan struct{}, maxRegistering),
		conns:       map[env.Conn]*conn{},
		dialing:     map[env.Conn]bool{},
		undelivered: map[env.Conn]*conn{},
	}
	_, s.ignoresDelivery = program.(DeliveryIgnorer)
	limiter, ok := program.(UnreadLimiter)
	if ok {
		s.maxUnread = limiter.MaxUnread()
	}
	totalLimiter, ok := program.(TotalUnreadLimiter)
	if ok {
		s.limitsTotal = true
		s.totalUnread = bytebudget.New(totalLimiter.MaxTotalUnread())
	}
	s.dialCtx, s.stopDials = context.WithCancel(context.Background())
	s.timer = time.AfterFunc(loopTimeout, s.timerExpired)
	s.timer.Stop()
	return s
}

// engineAddresses returns the addresses on which gnet listens, in its format. It tries to listen on each TCP address, because gnet
// reports a port that is in use only when it is already running.
func engineAddresses(tcp []netip.AddrPort, measurements netip.AddrPort) ([]string, error) {
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
	if len(addresses) == 0 {
		addresses = append(addresses, placeholderAddress)
	}
	return addresses, nil
}

func gnetOptions() []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(1),
		gnet.WithTicker(true),
		gnet.WithReuseAddr(true),
		gnet.WithTCPKeepAlive(keepAliveInterval),
		// With this option the loop itself accepts connections, one a turn, so that the program can close some before it runs
		// out of file descriptors. Otherwise gnet runs an acceptor beside the loop, which accepts all waiting connections at once
		// and stops the engine if that fails.
		gnet.WithReusePort(true),
		gnet.WithReadBufferCap(readBufferBytes),
		gnet.WithWriteBufferCap(writeBufferBytes),
		gnet.WithLogger(discardLogger{}),
		gnet.WithLogLevel(logging.ErrorLevel),
	}
}

// discardLogger discards gnet's log messages, which would go to standard output. What operators need to know is reported by the
// program and by returned errors.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}

// Ended returns a channel that receives the result of a loop that has ended without Stop. The server then serves no connections,
// and a caller that has received the result must not call Stop.
func (s *Server) Ended() <-chan error { return s.ended }

// Stop ends the program at once and closes all connections. It returns when the loop and all dials have ended.
func (s *Server) Stop() error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.timer.Stop()
	s.stopDials()
	s.closeAcceptors()
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

// Do calls f between two callbacks of the program, and returns when f has returned, or after loopTimeout. Without connections, and
// after Stop, f runs on the caller's goroutine. Otherwise it runs on the loop, and is not called if the loop has ended.
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

// execute schedules f on a loop's goroutine, where it runs with mu held. It returns an error if the loop has ended.
func (s *Server) execute(loop gnet.EventLoop, f func()) error {
	return loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
		return nil
	}))
}
