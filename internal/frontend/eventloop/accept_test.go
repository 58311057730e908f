package eventloop

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"snowquay/internal/env"
	"snowquay/internal/testaddress"
)

// slowReader takes some time for each piece of data, and counts the pieces and the connections.
type slowReader struct {
	slowEcho
	opened   atomic.Int32
	received atomic.Int32
}

func (r *slowReader) Opened(float64, env.Conn, netip.Addr, uint16) { r.opened.Add(1) }

func (r *slowReader) Receive(float64, env.Conn, []byte) {
	time.Sleep(200 * time.Microsecond)
	r.received.Add(1)
}

func (r *slowReader) HasRoom() bool { return true }

func (r *slowReader) MakeRoom(float64) {}

// Guards against a new connection that waits while the data of all others is handled once for each connection before it.
func TestNewConnectionsDoNotWaitForTheDataOfOthers(t *testing.T) {
	program := &slowReader{}
	address := testaddress.Next()
	server, err := Listen(program, []netip.AddrPort{address}, netip.AddrPort{}, Clock())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := server.Stop(); err != nil {
			t.Error(err)
		}
	}()
	const senders = 30
	const idle = 60
	for range senders {
		conn := dialTCP(t, address)
		go func() {
			for err := error(nil); err == nil; {
				_, err = conn.Write(make([]byte, 4*readBufferBytes))
			}
		}()
	}
	waitFor(t, "data of the senders", func() bool { return program.opened.Load() == senders && program.received.Load() > senders })
	for range idle {
		dialTCP(t, address)
	}
	before := program.received.Load()
	waitFor(t, "the new connections", func() bool { return program.opened.Load() == senders+idle })
	turns := (program.received.Load() - before) / senders
	t.Logf("the data of all senders was handled %d times", turns)
	if turns > idle/4 {
		t.Errorf("the data of all senders was handled %d times before %d new connections were open, want at most %d", turns, idle, idle/4)
	}
}

// Connections that are accepted beside the loop are reported like others, and closed when the server stops.
func TestEagerlyAcceptedConnectionsAreClosedByStop(t *testing.T) {
	program := &slowReader{}
	address := testaddress.Next()
	server, err := Listen(program, []netip.AddrPort{address}, netip.AddrPort{}, Clock())
	if err != nil {
		t.Fatal(err)
	}
	const clients = 300
	var conns []net.Conn
	for range clients {
		conns = append(conns, dialTCP(t, address))
	}
	waitFor(t, "all connections", func() bool { return program.opened.Load() == clients })
	for _, conn := range conns[:clients/2] {
		_ = conn.Close()
	}
	waitFor(t, "the closed connections", func() bool { return program.closed.Load() == clients/2 })
	if err := server.Stop(); err != nil {
		t.Fatal(err)
	}
	for _, conn := range conns[clients/2:] {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if n, err := conn.Read(make([]byte, 1)); n != 0 || isTimeout(err) {
			t.Fatalf("a connection is still open: %d bytes, error %v", n, err)
		}
	}
	if conn, err := net.Dial("tcp", address.String()); err == nil {
		_ = conn.Close()
		t.Error("a connection is accepted after the server has stopped")
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func dialTCP(t *testing.T, address netip.AddrPort) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// roomFor is a program that has room for a few connections, and closes the oldest one when others wait.
type roomFor struct {
	slowEcho
	limit int

	mu      sync.Mutex
	open    []env.Conn
	opened  int
	maxOpen int
}

func (r *roomFor) Opened(_ float64, conn env.Conn, _ netip.Addr, _ uint16) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open = append(r.open, conn)
	r.opened++
	r.maxOpen = max(r.maxOpen, len(r.open))
}

func (r *roomFor) HasRoom() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open) < r.limit
}

func (r *roomFor) MakeRoom(float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.io.Close(r.open[0])
	r.open = r.open[1:]
}

func (r *roomFor) counts() (opened, maxOpen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened, r.maxOpen
}

// Guards against more connections than the program has room for: further ones wait until it has made room, and none is lost.
func TestConnectionsWaitForRoom(t *testing.T) {
	const limit = 5
	const clients = 60
	program := &roomFor{limit: limit}
	address := testaddress.Next()
	server, err := Listen(program, []netip.AddrPort{address}, netip.AddrPort{}, Clock())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := server.Stop(); err != nil {
			t.Error(err)
		}
	}()
	for range clients {
		dialTCP(t, address)
	}
	waitFor(t, "all connections", func() bool { opened, _ := program.counts(); return opened == clients })
	if _, maxOpen := program.counts(); maxOpen > limit+maxAcceptedAhead {
		t.Errorf("%d connections were open at once, want at most %d and %d ahead", maxOpen, limit, maxAcceptedAhead)
	}
}

// A server stops while connections wait for room.
func TestStopWhileConnectionsWaitForRoom(t *testing.T) {
	program := &full{}
	address := testaddress.Next()
	server, err := Listen(program, []netip.AddrPort{address}, netip.AddrPort{}, Clock())
	if err != nil {
		t.Fatal(err)
	}
	conn := dialTCP(t, address)
	waitFor(t, "the connection", func() bool { return program.asked.Load() > 0 })
	if err := server.Stop(); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := conn.Read(make([]byte, 1)); n != 0 || isTimeout(err) {
		t.Errorf("the connection is still open: %d bytes, error %v", n, err)
	}
}

// full is a program without room.
type full struct {
	slowEcho
	asked atomic.Int32
}

func (f *full) HasRoom() bool {
	f.asked.Add(1)
	return false
}

func (f *full) MakeRoom(float64) {}

// Guards against connections of unreachable peers that stay open for minutes because they are accepted beside the loop.
func TestAcceptedConnectionsAreProbed(t *testing.T) {
	for name, program := range map[string]env.Program{"by the loop": &slowEcho{}, "beside the loop": &slowReader{}} {
		t.Run(name, func(t *testing.T) {
			address := testaddress.Next()
			server, err := Listen(program, []netip.AddrPort{address}, netip.AddrPort{}, Clock())
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := server.Stop(); err != nil {
					t.Error(err)
				}
			}()
			dialTCP(t, address)
			waitFor(t, "the connection", func() bool {
				count := 0
				server.Do(func(float64) { count = len(server.conns) })
				return count == 1
			})
			server.Do(func(float64) {
				for _, c := range server.conns {
					expectOption(t, c.gnet.Fd(), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
					expectOption(t, c.gnet.Fd(), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 15)
					expectOption(t, c.gnet.Fd(), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 3)
					expectOption(t, c.gnet.Fd(), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 5)
					expectOption(t, c.gnet.Fd(), unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
				}
			})
		})
	}
}

func expectOption(t *testing.T, descriptor, level, option, want int) {
	t.Helper()
	got, err := unix.GetsockoptInt(descriptor, level, option)
	if err != nil || got != want {
		t.Errorf("option %d of level %d is %d, error %v; want %d", option, level, got, err, want)
	}
}
