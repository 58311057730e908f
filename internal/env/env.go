// Package env defines the environment of an event-driven program: connections, datagrams and timers. A Program runs unchanged in
// virtual time (package simnet), over real sockets in tests (package socketnet), and in production (package eventloop).
package env

import "net/netip"

// Conn identifies a connection of a program. It is greater than 0 and is never reused by the program.
type Conn uint64

// IO gives a Program access to connections, datagrams and timers. A program calls it only from within its own methods.
type IO interface {
	// Dial starts to open a connection. Program.Connected reports the result.
	Dial(to netip.AddrPort) Conn
	// Send queues data to be sent. The caller may reuse data after Send returns. Data that can't be delivered is lost with the
	// connection.
	Send(conn Conn, data []byte)
	// Close closes a connection. Program.Closed is not called for it.
	Close(conn Conn)
	// Datagram sends a datagram, which may get lost.
	Datagram(to netip.AddrPort, data []byte)
	// SetTimer schedules a call of Program.TimerFired with a key at a clock time in seconds, or as soon as possible after it. Some
	// environments support only one pending timer, which a later call replaces, so a program sets one at a time.
	SetTimer(at float64, key int)
}

// Program handles events. Its methods are called by one goroutine at a time. now is the clock time in seconds and never
// decreases.
type Program interface {
	// Start is called once, before all other methods.
	Start(now float64, io IO)
	// Opened reports that a peer has opened a connection to a local port.
	Opened(now float64, conn Conn, from netip.Addr, port uint16)
	// Connected reports the result of a dial. If ok is false, the connection no longer exists.
	Connected(now float64, conn Conn, ok bool)
	// Receive handles data received on a connection. The data is valid until Receive returns.
	Receive(now float64, conn Conn, data []byte)
	// Closed reports that the peer or the network has closed a connection.
	Closed(now float64, conn Conn)
	// Delivered reports the total number of bytes sent on a connection that have reached the peer's host.
	Delivered(now float64, conn Conn, total uint64)
	// Datagram handles a received datagram. The data is valid until Datagram returns.
	Datagram(now float64, data []byte)
	// TimerFired reports that a timer has expired.
	TimerFired(now float64, key int)
}
