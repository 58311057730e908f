package socketnet

import (
	"bytes"
	"net"
	"net/netip"
	"time"

	"snowquay/internal/env"
)

const (
	readSize       = 16 << 10        // maximum bytes of one read
	maxQueuedWrite = 1024            // queued writes to a peer that does not read; the connection is closed when the queue is full
	dialTimeout    = 1 * time.Second // also the time until a dial to a partitioned zone fails
)

// connection is one side of a connection. Its fields are protected by the lock of the Net.
type connection struct {
	host     *Host
	id       env.Conn
	socket   net.Conn // nil until the dial has succeeded
	peerZone int
	writes   chan []byte
	closed   bool
}

func (h *Host) newConnection(peerZone int) *connection {
	h.latestConn++
	conn := &connection{host: h, id: h.latestConn, peerZone: peerZone, writes: make(chan []byte, maxQueuedWrite)}
	h.connections[conn.id] = conn
	return conn
}

// Dial implements env.IO.
func (h *Host) Dial(to netip.AddrPort) env.Conn {
	conn := h.newConnection(h.net.zoneOf(to.Addr()))
	go conn.dial(to, h.incarnation)
	return conn.id
}

func (c *connection) dial(to netip.AddrPort, incarnation int) {
	host := c.host
	socket, err := host.connect(to, c.peerZone)
	host.waitWhileFrozen()
	host.net.mu.Lock()
	defer host.net.mu.Unlock()
	if host.incarnation != incarnation || c.closed {
		if err == nil {
			_ = socket.Close()
		}
		return
	}
	if err != nil {
		c.close()
		host.program.Connected(host.net.clock(), c.id, false)
		return
	}
	c.socket = socket
	go c.writeAll(socket)
	host.program.Connected(host.net.clock(), c.id, true)
	go c.readAll(incarnation)
}

// connect opens a socket. The caller must not hold the lock, since dialling blocks.
func (h *Host) connect(to netip.AddrPort, zone int) (net.Conn, error) {
	h.net.mu.Lock()
	partitioned := h.net.partitions.Between(h.zone, zone)
	h.net.mu.Unlock()
	if partitioned {
		time.Sleep(dialTimeout)
		return nil, net.ErrClosed
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: h.addr.Addr().AsSlice()}}
	return dialer.Dial("tcp", to.String())
}

// writeAll writes the queued data until the connection is closed.
func (c *connection) writeAll(socket net.Conn) {
	for data := range c.writes {
		_, err := socket.Write(data)
		if err != nil {
			_ = socket.Close()
			break
		}
	}
	for range c.writes { // drain the channel so that it does not fill up after an error
	}
}

// readAll reads data and passes it to the program until the connection is closed.
func (c *connection) readAll(incarnation int) {
	buffer := make([]byte, readSize)
	for {
		size, err := c.socket.Read(buffer)
		c.host.waitWhileFrozen()
		open := c.received(incarnation, buffer[:size], err)
		if !open {
			return
		}
	}
}

// received handles the result of a read and reports whether to continue reading.
func (c *connection) received(incarnation int, data []byte, err error) (open bool) {
	host := c.host
	host.net.mu.Lock()
	defer host.net.mu.Unlock()
	if host.incarnation != incarnation || c.closed {
		return false
	}
	if len(data) > 0 {
		host.program.Receive(host.net.clock(), c.id, data)
	}
	if err != nil && !c.closed {
		c.close()
		host.program.Closed(host.net.clock(), c.id)
	}
	return err == nil
}

// close closes the connection without notifying the program.
func (c *connection) close() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.host.connections, c.id)
	close(c.writes)
	if c.socket != nil {
		_ = c.socket.Close()
	}
}

// Send implements env.IO.
func (h *Host) Send(id env.Conn, data []byte) {
	conn := h.connections[id]
	if conn == nil || conn.closed {
		return
	}
	select {
	case conn.writes <- bytes.Clone(data):
	default:
		_ = conn.socket.Close() // readAll detects the closed socket
	}
}

// Close implements env.IO.
func (h *Host) Close(id env.Conn) {
	conn := h.connections[id]
	if conn != nil {
		conn.close()
	}
}
