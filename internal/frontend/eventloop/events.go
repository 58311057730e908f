package eventloop

import (
	"net/netip"
	"strings"

	"github.com/panjf2000/gnet/v2"

	"snowquay/internal/env"
)

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine = engine
	s.program.Start(s.clock(), s)
	close(s.started)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, gnet.Close
	}
	s.loop = c.EventLoop()
	outgoing, ok := c.Context().(*outgoingConn)
	if ok {
		if !s.endDial(outgoing.id) {
			return nil, gnet.Close
		}
		s.add(outgoing.id, c)
		s.program.Connected(s.clock(), outgoing.id, true)
		return nil, gnet.None
	}
	id := s.nextConn()
	s.add(id, c)
	remote, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return nil, gnet.Close
	}
	local, err := netip.ParseAddrPort(c.LocalAddr().String())
	if err != nil {
		return nil, gnet.Close
	}
	s.program.Opened(s.clock(), id, remote.Addr().Unmap(), local.Port())
	return nil, gnet.None
}

func (s *Server) nextConn() env.Conn {
	s.lastConn++
	return s.lastConn
}

func (s *Server) add(id env.Conn, c gnet.Conn) {
	added := &conn{id: id, gnet: c}
	s.conns[id] = added
	c.SetContext(added)
}

func (s *Server) remove(c *conn) {
	delete(s.conns, c.id)
	delete(s.undelivered, c.id)
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, err := c.Next(-1)
	if err != nil || s.stopped {
		return gnet.None
	}
	known, ok := c.Context().(*conn)
	if !ok {
		if s.receivesDatagrams && strings.HasPrefix(c.LocalAddr().Network(), "udp") {
			s.program.Datagram(s.clock(), data)
		}
		return gnet.None
	}
	if s.conns[known.id] == known {
		s.program.Receive(s.clock(), known.id, data)
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if s.inWrite.Load() {
		s.closedDuringWrite(c)
		return gnet.None
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	closed, ok := c.Context().(*conn)
	if !ok || s.conns[closed.id] != closed {
		return gnet.None
	}
	s.remove(closed)
	s.reportClosed(closed.id)
	return gnet.None
}

// closedDuringWrite handles the end of a connection that its peer has reset while the program is writing to it. It runs on the
// goroutine of the write, which already holds mu, and reports the end to the program after the program's present callback.
func (s *Server) closedDuringWrite(c gnet.Conn) {
	closed, ok := c.Context().(*conn)
	if !ok || s.conns[closed.id] != closed {
		return
	}
	s.remove(closed)
	_ = s.execute(s.loop, func() { s.reportClosed(closed.id) }) // an error means that the loop has ended, and the program with it
}

func (s *Server) reportClosed(id env.Conn) {
	if !s.stopped {
		s.program.Closed(s.clock(), id)
	}
}
