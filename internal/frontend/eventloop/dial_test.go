package eventloop

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"snowquay/internal/env"
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
