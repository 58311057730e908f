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

// slowEcho replies to data late and twice, so that it writes to a peer whose reset it does not know of yet.
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
		time.Sleep(50 * time.Millisecond) // until the reset has arrived; otherwise the test tests nothing
	}
	e.io.Send(c, []byte("a"))
	e.io.Send(c, []byte("b"))
}

// A peer that resets its connection during a write to it ends that connection and nothing else. Without closedDuringWrite the
// loop would wait for its own lock.
func TestResetDuringWrite(t *testing.T) {
	program := &slowEcho{}
	at := netip.MustParseAddrPort("127.0.0.1:14893")
	s, err := Listen(program, []netip.AddrPort{at}, netip.AddrPort{}, Clock())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := s.Stop(); err != nil {
			t.Error(err)
		}
	}()
	for range 3 {
		c, err := net.Dial("tcp", at.String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if err := c.(*net.TCPConn).SetLinger(0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond) // so that the byte is read before the reset
		_ = c.Close()
	}
	c, err := net.Dial("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("y")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 2)); err != nil {
		t.Fatalf("the program hangs: %v", err)
	}
	for end := time.Now().Add(5 * time.Second); program.closed.Load() < 3; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of 3 closed connections were reported", program.closed.Load())
		}
	}
}
