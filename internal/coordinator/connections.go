package coordinator

import (
	"net/netip"

	"snowquay/internal/core/saspsession"
	"snowquay/internal/env"
	"snowquay/internal/frontend/longpollhttp"
)

// Opened implements env.Program.
func (c *Coordinator) Opened(now float64, conn env.Conn, from netip.Addr, port uint16) {
	if c.links.opened(now, conn, from, port) {
		return
	}
	if c.config.HTTP.IsValid() && port == c.config.HTTP.Port() {
		c.pollConnections[conn] = true
		c.LongPoll.Opened(now, longpollhttp.Conn(conn), from)
		return
	}
	c.SASP.Opened(now, saspsession.Conn(conn), from)
}

// Connected implements env.Program. A coordinator dials only the other members of its group and the Graphite receiver.
func (c *Coordinator) Connected(now float64, conn env.Conn, ok bool) {
	c.links.connected(now, conn, ok)
}

// Receive implements env.Program.
func (c *Coordinator) Receive(now float64, conn env.Conn, data []byte) {
	if c.links.receive(now, conn, data) != clientLink {
		return
	}
	if c.pollConnections[conn] {
		c.LongPoll.Receive(now, longpollhttp.Conn(conn), data)
		return
	}
	c.SASP.Receive(now, saspsession.Conn(conn), data)
	if c.Fleet.Registry.HasChanges() { // send a drain without waiting for the next tick
		c.tickSoon(now)
	}
}

// Closed implements env.Program.
func (c *Coordinator) Closed(now float64, conn env.Conn) {
	if c.links.closed(now, conn) {
		return
	}
	if c.pollConnections[conn] {
		delete(c.pollConnections, conn)
		c.LongPoll.Closed(now, longpollhttp.Conn(conn))
		return
	}
	c.SASP.Closed(now, saspsession.Conn(conn))
}

// Delivered implements env.Program.
func (c *Coordinator) Delivered(now float64, conn env.Conn, total uint64) {
	if c.links.delivered(now, conn, total) {
		return
	}
	if c.pollConnections[conn] {
		c.LongPoll.Delivered(now, longpollhttp.Conn(conn), total)
		return
	}
	c.SASP.Delivered(now, saspsession.Conn(conn), total)
}

// Datagram implements env.Program: it handles a measurement packet.
func (c *Coordinator) Datagram(now float64, data []byte) {
	err := c.Collector.Packet(now, data)
	if err != nil && c.config.Log != nil {
		c.config.Log.Debug("measurement packet rejected", "error", err)
	}
}

// maxTotalUnreadBytes is the limit on the bytes that the process buffers for all peers together.
const maxTotalUnreadBytes = 24 << 20

// MaxTotalUnread implements eventloop.TotalUnreadLimiter, in bytes.
func (c *Coordinator) MaxTotalUnread() int { return maxTotalUnreadBytes }

// Send implements saspsession.Handler.
func (c *Coordinator) Send(conn saspsession.Conn, data []byte) { c.io.Send(env.Conn(conn), data) }

// Close implements saspsession.Handler.
func (c *Coordinator) Close(conn saspsession.Conn) { c.io.Close(env.Conn(conn)) }

// SendPoll implements longpollhttp.Handler.
func (c *Coordinator) SendPoll(conn longpollhttp.Conn, data []byte) { c.io.Send(env.Conn(conn), data) }

// ClosePoll implements longpollhttp.Handler.
func (c *Coordinator) ClosePoll(conn longpollhttp.Conn) {
	delete(c.pollConnections, env.Conn(conn))
	c.io.Close(env.Conn(conn))
}
