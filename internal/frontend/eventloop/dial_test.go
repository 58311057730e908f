package eventloop

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"snowquay/internal/env"
	"snowquay/internal/testaddress"
)

// dialer is a program that dials addresses when it starts and counts the results.
type dialer struct {
	addresses         []netip.AddrPort
	connected, failed atomic.Int32
}

func (d *dialer) Start(_ float64, io env.IO) {
	for _, address := range d.addresses {
		io.Dial(address)
	}
}

func (d *dialer) Connected(_ float64, _ env.Conn, ok bool) {
	if ok {
		d.connected.Add(1)
	} else {
		d.failed.Add(1)
	}
}

func (d *dialer) Opened(float64, env.Conn, netip.Addr, uint16) {}
func (d *dialer) Closed(float64, env.Conn)                     {}
func (d *dialer) Receive(float64, env.Conn, []byte)            {}
func (d *dialer) Delivered(float64, env.Conn, uint64)          {}
func (d *dialer) Datagram(float64, []byte)                     {}
func (d *dialer) TimerFired(float64, int)                      {}

// listenerAndClosedPort returns an address that accepts connections and one that refuses them.
func listenerAndClosedPort(t *testing.T) (open, closed netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed = netip.MustParseAddrPort(unused.Addr().String())
	if err := unused.Close(); err != nil {
		t.Fatal(err)
	}
	return netip.MustParseAddrPort(listener.Addr().String()), closed
}

func TestDialReportsItsResult(t *testing.T) {
	open, closed := listenerAndClosedPort(t)
	program := &dialer{addresses: []netip.AddrPort{open, closed, open}}
	s, err := Listen(program, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:14894")}, netip.AddrPort{}, Clock())
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the result of each dial", func() bool { return program.connected.Load() == 2 && program.failed.Load() == 1 })
	if err := s.Stop(); err != nil {
		t.Error(err)
	}
}

// Stop cancels pending dials instead of waiting for their results, and the program gets no results of dials after Stop.
func TestNoDialResultAfterStop(t *testing.T) {
	open, closed := listenerAndClosedPort(t)
	unanswered := netip.MustParseAddrPort("192.0.2.1:9") // reserved for documentation (RFC 5737)
	program := &dialer{addresses: []netip.AddrPort{unanswered, open, closed, unanswered}}
	s, err := Listen(program, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:14895")}, netip.AddrPort{}, Clock())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Stop(); err != nil {
		t.Fatal(err)
	}
	results := program.connected.Load() + program.failed.Load()
	time.Sleep(2 * dialTimeout)
	if later := program.connected.Load() + program.failed.Load(); later != results {
		t.Errorf("%d results of dials were reported after Stop, %d before", later-results, results)
	}
}

// hangUp is a program that closes its connection while it is being dialed.
type hangUp struct{ dialer }

func (h *hangUp) Start(_ float64, io env.IO) {
	for _, address := range h.addresses {
		io.Close(io.Dial(address))
	}
}

// Guards against a connection that stays open for good because the program has closed it before its dial had a result.
func TestClosedDialLeavesNoConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	_, closed := listenerAndClosedPort(t)
	program := &hangUp{dialer{addresses: []netip.AddrPort{netip.MustParseAddrPort(listener.Addr().String()), closed}}}
	s, err := Listen(program, []netip.AddrPort{testaddress.Next()}, netip.AddrPort{}, Clock())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := s.Stop(); err != nil {
			t.Error(err)
		}
	}()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want the end of the connection", err)
	}
	if program.connected.Load() != 0 || program.failed.Load() != 0 {
		t.Errorf("%d dials with a connection and %d without were reported, want none", program.connected.Load(), program.failed.Load())
	}
}
