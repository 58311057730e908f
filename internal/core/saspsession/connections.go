package saspsession

import (
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

const expiryCheckInterval = 0.25 // seconds between two searches for connections that have to be closed

type role int

const (
	roleUnknown role = iota
	roleBalancer
	roleMember
)

type connection struct {
	id              Conn
	from            netip.Addr
	openedAt        float64
	role            role
	uid             string // of its balancer
	buffer          []byte // an incomplete message
	sentBytes       uint64
	deliveredBytes  uint64 // bytes that the peer's host has received
	updateEnd       uint64 // position in the sent bytes at which the update in flight ends
	tokens          float64
	tokensUpdatedAt float64
	servers         map[balancer.Server]bool // that registered themselves on it
	closeAfterReply string                   // why it is closed when the present message is answered; empty: it is not
}

func (c *connection) addServer(server balancer.Server) {
	if c.servers == nil {
		c.servers = map[balancer.Server]bool{}
	}
	c.servers[server] = true
}

// Connections reports the number of open connections, and the bytes of incomplete messages that are kept for them.
func (s *Server) Connections() (count, bufferedBytes int) { return len(s.conns), s.bufferedBytes }

// Opened accepts a connection from an address.
func (s *Server) Opened(now float64, id Conn, from netip.Addr) {
	conn := &connection{id: id, from: from.Unmap(), openedAt: now, tokens: s.limits.MessageBurst, tokensUpdatedAt: now}
	s.conns[id] = conn
	if len(s.conns) > s.limits.MaxConnections {
		s.close(now, conn, "too many connections")
	}
}

// Closed reports that a connection has ended, on either side.
func (s *Server) Closed(now float64, id Conn) {
	conn := s.conns[id]
	if conn != nil {
		s.forget(now, conn)
	}
}

func (s *Server) close(now float64, conn *connection, reason string) {
	s.Stats.Closed++
	s.handler.Log("connection closed", "reason", reason, "from", conn.from, "uid", conn.uid, "sent", conn.sentBytes,
		"delivered", conn.deliveredBytes)
	s.forget(now, conn)
	s.handler.Close(conn.id)
}

// forget drops a connection and its state. What a balancer registered ends with its connection; what members registered
// stays until the registry's hold time is over.
func (s *Server) forget(now float64, conn *connection) {
	delete(s.conns, conn.id)
	s.bufferedBytes -= len(conn.buffer)
	s.memberConnectionEnded(now, conn)
	lb := s.balancerOf(conn)
	if lb == nil {
		return
	}
	lb.conn = nil
	for _, group := range lb.groupOrder {
		s.withdrawGroup(now, lb, group)
	}
	s.disconnect(now, lb)
	delete(s.balancers, conn.uid)
}

// Delivered reports how many of the bytes sent on a connection the peer's host has received, as the kernel sees it.
func (s *Server) Delivered(now float64, id Conn, total uint64) {
	conn := s.conns[id]
	if conn == nil || total <= conn.deliveredBytes {
		return
	}
	conn.deliveredBytes = min(total, conn.sentBytes)
	lb := s.balancerOf(conn)
	if lb == nil {
		return
	}
	joined, ok := lb.joined()
	if ok && joined.proxy.InFlight() && conn.deliveredBytes >= conn.updateEnd {
		s.fleet.MarkDelivered(now, joined.proxy)
	}
}

// HasUndelivered reports whether sent bytes have not yet reached the peer of a connection, so that the driver has to keep
// asking the kernel.
func (s *Server) HasUndelivered(id Conn) bool {
	conn := s.conns[id]
	return conn != nil && conn.deliveredBytes < conn.sentBytes
}

// Receive takes bytes of a connection, split in any way.
func (s *Server) Receive(now float64, id Conn, data []byte) {
	conn := s.conns[id]
	if conn == nil {
		return
	}
	if len(conn.buffer) > 0 {
		s.bufferedBytes += len(data)
		conn.buffer = append(conn.buffer, data...)
		data = conn.buffer
	}
	rest := s.receiveMessages(now, conn, data)
	if s.conns[id] != conn {
		return
	}
	s.bufferedBytes += len(rest) - len(conn.buffer)
	conn.buffer = append(conn.buffer[:0], rest...)
	if len(rest) == 0 {
		conn.buffer = nil // an idle connection must not hold memory
	}
	if s.bufferedBytes > s.limits.MaxBuffered {
		s.close(now, conn, "too many buffered bytes over all connections")
	}
}

// receiveMessages handles the complete messages at the start of data and returns the bytes after them. It stops when the
// connection is closed.
func (s *Server) receiveMessages(now float64, conn *connection, data []byte) (rest []byte) {
	for s.conns[conn.id] == conn {
		size, err := sasp.Frame(data, s.limits.MaxMessageBytes)
		if err != nil {
			s.Stats.Malformed++
			s.close(now, conn, err.Error())
			return nil
		}
		if size == 0 {
			return data
		}
		if !s.takeToken(now, conn) {
			s.close(now, conn, "it floods")
			return nil
		}
		s.Stats.Received++
		s.handleMessage(now, conn, data[:size])
		data = data[size:]
	}
	return nil
}

// takeToken limits the message rate of a connection by a token bucket.
func (s *Server) takeToken(now float64, conn *connection) bool {
	conn.tokens = min(s.limits.MessageBurst, conn.tokens+(now-conn.tokensUpdatedAt)*s.limits.MessageRate) - 1
	conn.tokensUpdatedAt = now
	return conn.tokens >= 0
}

// closeExpired closes connections whose peer has not identified itself in time, and those of relays that the fleet wants
// disconnected.
func (s *Server) closeExpired(now float64) {
	var silent []*connection
	for _, conn := range s.conns {
		if conn.role == roleUnknown && now-conn.openedAt > s.limits.IdentifyTimeout {
			silent = append(silent, conn)
		}
	}
	slices.SortFunc(silent, func(a, b *connection) int { return int(a.id) - int(b.id) })
	for _, conn := range silent {
		s.close(now, conn, "not identified in time")
	}
	for _, lb := range s.joinedBalancers() {
		reason := s.fleet.DisconnectReason(now, lb.proxy)
		if reason == "" {
			continue
		}
		s.fleet.Stats.Disconnected++
		s.close(now, lb.conn, reason)
	}
}
