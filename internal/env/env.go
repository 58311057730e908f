// Package env defines the environment of an event-driven program: connections, datagrams and timers. A Program runs unchanged in
// virtual time (package simnet), over real sockets in tests (package socketnet), and in production (package eventloop).
package env

import "net/netip"

// Conn identifies a connection of a program. It is greater than 0, and no number is used twice by a program.
type Conn uint64

// IO is what a Program may do. It is called only from within the program's own methods.
type IO interface {
	// Dial opens a connection; Connected reports the result.
	Dial(to netip.AddrPort) Conn
	// Send queues data, which the caller may reuse when it returns. What can't be delivered is lost with the connection.
	Send(conn Conn, data []byte)
	// Close closes a connection. The program's Closed is not called for it.
	Close(conn Conn)
	// Datagram sends a datagram, which may get lost.
	Datagram(to netip.AddrPort, data []byte)
	// SetTimer calls TimerFired with a key at a clock time in seconds, or as soon after it as possible. Some environments keep only
	// the latest timer, so a program sets one at a time.
	SetTimer(at float64, key int)
}

// Program reacts to events. It is called by one goroutine at a time. now is the clock time in seconds, which never decreases.
type Program interface {
	// Start is called first, once.
	Start(now float64, io IO)
	// Opened reports a connection that a peer has opened to a local port.
	Opened(now float64, conn Conn, from netip.Addr, port uint16)
	// Connected reports the result of a dial. If ok is false, the connection does not exist any more.
	Connected(now float64, conn Conn, ok bool)
	// Receive takes data of a connection. It is valid until Receive returns.
	Receive(now float64, conn Conn, data []byte)
	// Closed reports that the peer or the network has closed a connection.
	Closed(now float64, conn Conn)
	// Delivered reports how many of all bytes that were sent on a connection have reached the peer's host.
	Delivered(now float64, conn Conn, total uint64)
	// Datagram takes a datagram. It is valid until Datagram returns.
	Datagram(now float64, data []byte)
	// TimerFired reports that a timer has expired.
	TimerFired(now float64, key int)
}
