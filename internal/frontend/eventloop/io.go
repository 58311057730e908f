package eventloop

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/panjf2000/gnet/v2"

	"snowquay/internal/core/bytebudget"
	"snowquay/internal/env"
)

const dialTimeout = time.Second

// outgoingConn is the gnet context of an outgoing connection until OnOpen.
type outgoingConn struct{ id env.Conn }

// Dial implements env.IO. It dials on a goroutine of its own and then hands the connection over to the loop.
func (s *Server) Dial(to netip.AddrPort) env.Conn {
	id := s.nextConn()
	s.dialing[id] = true
	s.dials.Go(func() {
		err := s.connect(&outgoingConn{id: id}, to)
		if err == nil {
			return // OnOpen has reported the connection
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.endDial(id) && !s.stopped {
			s.program.Connected(s.clock(), id, false)
		}
	})
	return id
}

// endDial ends the dial of a connection, and reports whether the program has not closed it in the meantime.
func (s *Server) endDial(id env.Conn) bool {
	wanted := s.dialing[id]
	delete(s.dialing, id)
	return wanted
}

// connect opens an outgoing connection and registers it with the engine. It returns when OnOpen has run; if the server stops
// before, it returns an error.
func (s *Server) connect(outgoing *outgoingConn, to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(s.dialCtx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return err
	}
	return s.register(c, outgoing)
}

// register registers a connection with the engine; outgoing is nil for an incoming one. It returns when OnOpen has run; if the server
// stops before, it returns an error.
func (s *Server) register(c net.Conn, outgoing *outgoingConn) error {
	ctx := gnet.NewNetConnContext(context.Background(), c)
	if outgoing != nil {
		ctx = gnet.NewContext(ctx, outgoing)
	}
	select {
	case <-s.ticking: // before this, the connection would be lost, because the engine does not know its loops yet
	case <-s.dialCtx.Done():
		_ = c.Close() // the error is irrelevant: the connection was not used
		return s.dialCtx.Err()
	}
	s.registering <- struct{}{}
	defer func() { <-s.registering }()
	s.registerMu.Lock()
	result, err := s.engine.Register(ctx)
	s.registerMu.Unlock()
	if err != nil {
		_ = c.Close() // the error is irrelevant: the connection was not used
		return err
	}
	select {
	case registered := <-result:
		return registered.Err
	case <-s.dialCtx.Done(): // the engine owns the connection now, and may have ended without a result
		return s.dialCtx.Err()
	}
}

// Datagram implements env.IO.
func (s *Server) Datagram(to netip.AddrPort, data []byte) {
	if s.udp == nil {
		socket, err := net.ListenUDP("udp", nil)
		if err != nil {
			return // datagrams may be lost
		}
		s.udp = socket
	}
	_, _ = s.udp.WriteToUDPAddrPort(data, to) // datagrams may be lost
}

// Send implements env.IO.
func (s *Server) Send(id env.Conn, data []byte) {
	c := s.conns[id]
	if c == nil {
		return
	}
	c.sentBytes += uint64(len(data))
	if !s.ignoresDelivery {
		s.undelivered[id] = c
	}
	s.inWrite.Store(true)
	defer s.inWrite.Store(false)
	_, _ = c.gnet.Write(data) // an error closes the connection; OnClose reports it within this call
	if s.conns[id] == c && !c.closing {
		s.limitUnread(c)
	}
}

// limitUnread resets the connection that has just been written to if its peer leaves too much unread, and those with the most unread
// bytes if all peers together leave too much.
func (s *Server) limitUnread(c *conn) {
	before := c.unread
	c.unread = c.gnet.OutboundBuffered()
	if s.maxUnread > 0 && c.unread > s.maxUnread {
		s.reset(c)
	}
	if !s.limitsTotal || c.unread <= before || !s.totalUnread.Add(c.unread-before) {
		return
	}
	unread := func(yield func(env.Conn, int) bool) {
		for id, other := range s.conns {
			if !other.closing && !yield(id, other.gnet.OutboundBuffered()) {
				return
			}
		}
	}
	for _, id := range bytebudget.Excess(&s.totalUnread, unread) {
		s.reset(s.conns[id])
	}
}

// reset closes a connection; OnClose reports that like a write error.
func (s *Server) reset(c *conn) {
	c.closing = true
	_ = c.gnet.Close()
}

// Close implements env.IO.
func (s *Server) Close(id env.Conn) {
	delete(s.dialing, id)
	c := s.conns[id]
	if c == nil {
		return
	}
	s.remove(c)
	_ = c.gnet.Close()
}
