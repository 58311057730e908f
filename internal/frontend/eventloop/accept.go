package eventloop

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

const (
	maxAcceptedAhead    = 16                    // connections that are accepted and not open yet
	acceptRetryInterval = 20 * time.Millisecond // time until the next attempt after a failed one, such as without a free descriptor

	keepAliveProbes = 5 // unanswered probes after which a connection is closed

	// placeholderAddress is what the engine listens on if it would have no listener of its own, which it requires. Datagrams to it
	// are ignored.
	placeholderAddress = "udp://127.0.0.1:0"
)

// keepAlive detects within half a minute that a peer is unreachable. It is what gnet derives from keepAliveInterval for the connections
// that it accepts itself.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval / keepAliveProbes, Count: keepAliveProbes}

// ConnectionLimiter is implemented by programs that tell when another connection may be opened. Their connections are accepted beside
// the loop, while it handles the data of others, and wait until there is room. For other programs, the loop accepts one connection a
// turn, after the data of all others, and ends when no descriptor is left for one.
type ConnectionLimiter interface {
	// HasRoom reports whether another connection may be opened. Up to maxAcceptedAhead may be added to those that the program knows.
	HasRoom() bool
	// MakeRoom is called when connections wait for room. The program may close others.
	MakeRoom(now float64)
}

// openAcceptors listens on the addresses of a ConnectionLimiter.
func (s *Server) openAcceptors(addresses []netip.AddrPort) error {
	s.ahead = make(chan struct{}, maxAcceptedAhead+len(addresses)) // each listener that waits for a connection holds a place
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	for _, address := range addresses {
		listener, err := config.Listen(s.dialCtx, "tcp", address.String())
		if err != nil {
			s.closeAcceptors()
			return err
		}
		s.acceptors = append(s.acceptors, listener)
	}
	return nil
}

// startAcceptors starts a goroutine for each address of a ConnectionLimiter.
func (s *Server) startAcceptors(limiter ConnectionLimiter) {
	for _, acceptor := range s.acceptors {
		s.dials.Go(func() { s.acceptConnections(acceptor, limiter) })
	}
}

func (s *Server) closeAcceptors() {
	for _, acceptor := range s.acceptors {
		_ = acceptor.Close() // the error is irrelevant: no connection is accepted any more
	}
}

// acceptConnections accepts connections and registers them with the loop until the listener is closed.
func (s *Server) acceptConnections(listener net.Listener, limiter ConnectionLimiter) {
	for {
		s.ahead <- struct{}{}
		accepted, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			<-s.ahead
			time.Sleep(acceptRetryInterval)
			continue
		}
		if !s.awaitRoom(limiter) {
			_ = accepted.Close() // the error is irrelevant: the connection was not used
			return
		}
		s.dials.Go(func() {
			_ = s.register(accepted, nil) // after an error, the connection is closed
			<-s.ahead
		})
	}
}

// awaitRoom returns when there is room for another connection. ok is false if the server stops before.
func (s *Server) awaitRoom(limiter ConnectionLimiter) (ok bool) {
	for {
		s.mu.Lock()
		hasRoom := limiter.HasRoom()
		loop := s.loop
		s.mu.Unlock()
		if hasRoom {
			return true
		}
		if loop != nil {
			_ = s.execute(loop, func() { // an error means that the loop has ended
				if !limiter.HasRoom() {
					limiter.MakeRoom(s.clock())
				}
			})
		}
		select {
		case <-s.dialCtx.Done():
			return false
		case <-time.After(acceptRetryInterval):
		}
	}
}
