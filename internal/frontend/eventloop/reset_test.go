package eventloop

import (
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"snowquay/internal/env"
)

// slowEcho replies to data twice and after a delay, so that it writes to a peer that has already reset the connection.
type slowEcho struct {
	io     env.IO
	closed atomic.Int32
}

func (e *slowEcho) Start(_ float64, io env.IO)                   { e.io = io }
func (e *slowEcho) Opened(float64, env.Conn, netip.Addr, uint16) {}
func (e *slowEcho) Connected(float64, env.Conn, bool)            {}
func (e *slowEcho) Closed(float64, env.Conn)                     { e.closed.Add(1) }
func (e *slowEcho) Delivered(float64, env.Conn, uint64)          {}
func (e *slowEcho) Datagram(float64, []byte)                     {}
func (e *slowEcho) TimerFired(float64, int)                      {}
func (e *slowEcho) Receive(_ float64, c env.Conn, b []byte) {
	if b[0] == 'x' {
		time.Sleep(50 * time.Millisecond) // until the reset has arrived, without which the test checks nothing
	}
	e.io.Send(c, []byte("a"))
	e.io.Send(c, []byte("b"))
}

// A peer that resets its connection while the program writes to it ends only that connection. Without closedDuringWrite, the loop
// would deadlock on mu.
func TestResetDuringWrite(t *testing.T) {
	program := &slowEcho{}
	address := netip.MustParseAddrPort("127.0.0.1:14893")
	server, err := Listen(program, []netip.AddrPort{address}, netip.AddrPort{}, Clock())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := server.Stop(); err != nil {
			t.Error(err)
		}
	}()
	for range 3 {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond) // so that the byte is read before the reset
		_ = conn.Close()
	}
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("y")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 2)); err != nil {
		t.Fatalf("no reply on another connection: %v", err)
	}
	for end := time.Now().Add(5 * time.Second); program.closed.Load() < 3; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of 3 closed connections were reported to the program", program.closed.Load())
		}
	}
}

// sender sends to each new connection, whatever the peer reads.
type sender struct {
	slowEcho
	conns atomic.Int32
}

const sentBytes = 8 << 20 // more than the kernel buffers for one connection

func (s *sender) MaxTotalUnread() int { return sentBytes }

func (s *sender) Opened(_ float64, conn env.Conn, _ netip.Addr, _ uint16) {
	s.conns.Add(1)
	for range 8 {
		s.io.Send(conn, make([]byte, sentBytes/8))
	}
}

// Guards against many peers that read nothing: what the process buffers for all of them together is bounded, and the others stay.
func TestUnreadBytesOfAllPeersAreBounded(t *testing.T) {
	program := &sender{}
	address := netip.MustParseAddrPort("127.0.0.1:14894")
	server, err := Listen(program, []netip.AddrPort{address}, netip.AddrPort{}, Clock())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := server.Stop(); err != nil {
			t.Error(err)
		}
	}()
	const peers = 20
	for range peers {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	for end := time.Now().Add(5 * time.Second); program.conns.Load() < peers && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // until the connections that were reset are closed
	unread := 0
	server.Do(func(float64) {
		for _, c := range server.conns {
			unread += c.gnet.OutboundBuffered()
		}
	})
	if limit := sentBytes + sentBytes/4; unread > limit || program.closed.Load() == 0 || program.closed.Load() == peers {
		t.Errorf("%d bytes are buffered, want at most %d; %d of %d connections were closed", unread, limit, program.closed.Load(), peers)
	}
}
