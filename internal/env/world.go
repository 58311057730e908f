// Package env is what a program sees of its host: connections, datagrams and a clock. Programs written against it
// run unchanged in virtual time (package sim) and over real sockets (package sockets).
package env

import "net/netip"

// Conn is one end of a connection. Each number is used once by a host's program.
type Conn uint64

// IO is what a program may do. It is called only from the program's own callbacks.
type IO interface {
	// Dial starts a connection; Connected tells how it ended.
	Dial(to netip.AddrPort) Conn
	// Send takes the bytes before it returns. What can't be delivered is lost with the connection.
	Send(Conn, []byte)
	Close(Conn)
	Datagram(to netip.AddrPort, b []byte)
	// SetTimer calls Woken at a clock time.
	SetTimer(at float64, what int)
}

// Program is called by one goroutine at a time. now is clock time in seconds; it never runs backwards.
type Program interface {
	Start(now float64, io IO)
	// Opened: a peer has connected to a port.
	Opened(now float64, c Conn, from netip.Addr, port uint16)
	// Connected: an own dial has ended; without ok the connection is gone.
	Connected(now float64, c Conn, ok bool)
	Receive(now float64, c Conn, b []byte)
	// Closed: the peer or the network ended it. Own closes are not told.
	Closed(now float64, c Conn)
	// Delivered: so many bytes of all that were sent have reached the peer's host.
	Delivered(now float64, c Conn, total uint64)
	Datagram(now float64, b []byte)
	TimerFired(now float64, what int)
}
