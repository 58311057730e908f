package eventloop

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"
)

const (
	maxAcceptedAhead    = 64                    // connections that are accepted and not open yet, for each address
	acceptRetryInterval = 20 * time.Millisecond // time until the next attempt after a failed one, such as without a free descriptor
)

// EagerAccepter is implemented by programs that let the loop accept connections while it handles the data of others. For other
// programs the loop accepts one connection each time it has handled the data of all others. That bounds how fast connections are
// opened, and keeps a new one waiting behind many others that send at full speed.
type EagerAccepter interface{ AcceptEagerly() }

// startAcceptors starts a goroutine for each TCP address that accepts connections beside the loop.
func (s *Server) startAcceptors(addresses []netip.AddrPort) error {
	for _, address := range addresses {
		listener, err := s.duplicateListener(address)
		if err != nil {
			return fmt.Errorf("accepting connections at %v: %w", address, err)
		}
		s.acceptors = append(s.acceptors, listener)
		s.dials.Go(func() { s.acceptConnections(listener) })
	}
	return nil
}

// duplicateListener returns a listener that shares the queue of new connections with the one of the loop.
func (s *Server) duplicateListener(address netip.AddrPort) (net.Listener, error) {
	descriptor, err := s.engine.DupListener("tcp", address.String())
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(descriptor), address.String())
	listener, err := net.FileListener(file)
	return listener, errors.Join(err, file.Close())
}

// acceptConnections accepts connections and registers them with the loop until the listener is closed.
func (s *Server) acceptConnections(listener net.Listener) {
	ahead := make(chan struct{}, maxAcceptedAhead)
	for {
		ahead <- struct{}{}
		accepted, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			<-ahead
			time.Sleep(acceptRetryInterval)
			continue
		}
		s.dials.Go(func() {
			_ = s.register(accepted, nil) // after an error, the connection is closed
			<-ahead
		})
	}
}
