package saspsession

import (
	"cmp"
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

const expiryCheckInterval = 0.25 // seconds between two searches for connections that must be closed

// role is the role in which the peer of a connection has identified itself.
type role int

const (
	roleUnknown role = iota
	roleBalancer
	roleMember // a member or its agent
)

// connection is the state of one open connection.
type connection struct {
	id              Conn
	from            netip.Addr
	openedAt        float64
	role            role
	uid             string // UID of its balancer; empty if it has none
	buffer          []byte // bytes of an incomplete message
	sentBytes       uint64
	deliveredBytes  uint64  // bytes that the peer's host has received
	updateEnd       uint64  // position in the sent bytes at which the update in flight ends
	tokens          float64 // messages that may still be received at tokensUpdatedAt
	tokensUpdatedAt float64
	servers         map[balancer.Server]bool // servers that registered themselves on the connection
	closeAfterReply string                   // reason for closing it after the current reply; empty if it stays open
}

func (c *connection) addServer(server balancer.Server) {
	if c.servers == nil {
		c.servers = map[balancer.Server]bool{}
	}
	c.servers[server] = true
}

// Connections returns the number of open connections and the total size of the incomplete messages that are buffered
// for them.
func (s *Server) Connections() (count, bufferedBytes int) { return len(s.conns), s.bufferedBytes }

// Opened handles a new connection from an address. It closes a connection beyond Limits.MaxConnections.
func (s *Server) Opened(now float64, id Conn, from netip.Addr) {
	conn := &connection{id: id, from: from.Unmap(), openedAt: now, tokens: s.limits.MessageBurst, tokensUpdatedAt: now}
	s.conns[id] = conn
	if len(s.conns) > s.limits.MaxConnections {
		s.close(now, conn, "too many connections")
	}
}

// Closed handles the end of a connection, whichever side closed it.
func (s *Server) Closed(now float64, id Conn) {
	conn := s.conns[id]
	if conn != nil {
		s.removeConnection(now, conn)
	}
}

// close closes a connection, logs the reason, and removes its state.
func (s *Server) close(now float64, conn *connection, reason string) {
	s.Stats.Closed++
	s.handler.Log("connection closed", "reason", reason, "from", conn.from, "uid", conn.uid, "sent", conn.sentBytes,
		"delivered", conn.deliveredBytes)
	s.removeConnection(now, conn)
	s.handler.Close(conn.id)
}

// removeConnection removes a connection and its state. A balancer's registrations end with its connection; those of
// members stay until the registry's hold time has passed.
func (s *Server) removeConnection(now float64, conn *connection) {
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

// Delivered handles a report of the kernel on how many of the bytes sent on a connection the peer's host has received
// in total.
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

// HasUndelivered reports whether some of the bytes sent on a connection have not yet reached the peer's host, so that
// the driver must continue to query the kernel.
func (s *Server) HasUndelivered(id Conn) bool {
	conn := s.conns[id]
	return conn != nil && conn.deliveredBytes < conn.sentBytes
}

// Receive handles bytes received on a connection. They need not be split at message boundaries.
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
		conn.buffer = nil // an idle connection must not retain a buffer
	}
	for s.bufferedBytes > s.limits.MaxBuffered {
		s.close(now, s.largestBuffer(), "too many buffered bytes over all connections")
	}
}

// largestBuffer returns the connection with the most buffered bytes, the oldest of several.
func (s *Server) largestBuffer() *connection {
	var largest *connection
	for _, conn := range s.conns {
		larger := largest == nil || len(conn.buffer) > len(largest.buffer)
		if larger || len(conn.buffer) == len(largest.buffer) && conn.id < largest.id {
			largest = conn
		}
	}
	return largest
}

// receiveMessages handles the complete messages at the start of data and returns the bytes that follow them. It stops
// if the connection is closed meanwhile.
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
			s.close(now, conn, "message rate limit exceeded")
			return nil
		}
		s.Stats.Received++
		s.handleMessage(now, conn, data[:size])
		data = data[size:]
	}
	return nil
}

// takeToken limits the message rate of a connection by a token bucket. It reports whether a message is within the
// limit.
func (s *Server) takeToken(now float64, conn *connection) bool {
	conn.tokens = min(s.limits.MessageBurst, conn.tokens+(now-conn.tokensUpdatedAt)*s.limits.MessageRate) - 1
	conn.tokensUpdatedAt = now
	return conn.tokens >= 0
}

// CloseUnidentified closes up to count connections whose peers have not identified themselves within some seconds, the oldest first. It
// returns their number.
func (s *Server) CloseUnidentified(now, seconds float64, count int) int {
	var unidentified []*connection
	for _, conn := range s.conns {
		if conn.role == roleUnknown && now-conn.openedAt > seconds {
			unidentified = append(unidentified, conn)
		}
	}
	slices.SortFunc(unidentified, func(a, b *connection) int { return cmp.Compare(a.id, b.id) })
	unidentified = unidentified[:min(len(unidentified), max(count, 0))]
	for _, conn := range unidentified {
		s.close(now, conn, "not identified in time")
	}
	return len(unidentified)
}

// closeExpired closes the connections whose peer has not identified itself in time, and those of relays that the fleet
// requires to be disconnected.
func (s *Server) closeExpired(now float64) {
	s.CloseUnidentified(now, s.limits.IdentifyTimeout, len(s.conns))
	for _, lb := range s.joinedBalancers() {
		reason := s.fleet.DisconnectReason(now, lb.proxy)
		if reason == "" {
			continue
		}
		s.fleet.Stats.Disconnected++
		s.close(now, lb.conn, reason)
	}
}
