package eventloop

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/env"
	"snowquay/internal/wire/sasp"
)

func setup(servers, relays int) coordinator.Config {
	s := controlplane.Site{Seed: 1, ClassNames: []string{"search"}, Zones: []string{"a"}, AllowUnlisted: true,
		Classes:    []balancer.RequestClass{{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3}},
		DataPlane:  balancer.DataPlane{Proxies: relays, Coordinators: 1, DefaultRetry: balancer.RetryIfNotExecuted},
		Channel:    balancer.Channel{EntriesPerSecond: 1e7, MessageOverhead: 3, MaxQueued: 2e7, MeanDelay: 0.01, MaxDelay: 0.2},
		Guarantees: balancer.Guarantees{DrainDeadline: 30, EmptyTableDeadline: 2, WarmupStartFraction: 0.2, WarmupDuration: 10, OverloadFactor: 3, OverloadWindow: 2},
		Reporting:  balancer.Reporting{Period: 0.5}, Limits: controlplane.DefaultLimits}
	for i := range servers {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		s.Servers = append(s.Servers, registry.ServerConfig{Server: balancer.Server(a.String()), Weight: 1, Static: true})
	}
	return coordinator.Config{Site: s, Limits: saspsession.DefaultLimits, Policy: saspsession.Policy{FleetUID: "fleet"}}
}

func listen(t testing.TB, setup coordinator.Config, port uint16) (*coordinator.Coordinator, *Server, string) {
	clock := Clock()
	program, err := coordinator.New(clock(), setup, nil)
	if err != nil {
		t.Fatal(err)
	}
	at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	s, err := Listen(program, []netip.AddrPort{at}, at, clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(); err != nil {
			t.Error(err)
		}
	})
	return program, s, at.String()
}

// hello is what a relay says first.
func hello(uid string) []byte {
	b := sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, ID: 1, UID: []byte(uid), Flags: sasp.Push | sasp.Trust | sasp.NoChange})
	return sasp.Append(b, &sasp.Message{Kind: sasp.Registration, ID: 2, LB: 1,
		Groups: []sasp.Group{{UID: []byte(uid), Name: []byte("search")}}})
}

func dial(t testing.TB, at, uid string) net.Conn {
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(hello(uid)); err != nil {
		t.Fatal(err)
	}
	return c
}

// read is the next message.
func read(c net.Conn, m *sasp.Message) error {
	head := make([]byte, sasp.HeaderSize)
	if _, err := io.ReadFull(c, head); err != nil {
		return err
	}
	n := int(head[5])<<24 | int(head[6])<<16 | int(head[7])<<8 | int(head[8])
	b := slices.Concat(head, make([]byte, n-len(head)))
	if _, err := io.ReadFull(c, b[len(head):]); err != nil {
		return err
	}
	return sasp.Decode(b, m)
}

func until(t testing.TB, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come about", what)
		}
	}
}

func TestARelayOnASocketIsServed(t *testing.T) {
	program, s, at := listen(t, setup(5, 1), 14860)
	c := dial(t, at, "r1")
	defer func() { _ = c.Close() }()
	var m sasp.Message
	for _, want := range []sasp.Kind{sasp.SetBalancerReply, sasp.RegistrationReply, sasp.SendWeights} {
		if err := read(c, &m); err != nil || m.Kind != want {
			t.Fatalf("kind %#x, %v; want %#x", uint16(m.Kind), err, uint16(want))
		}
	}
	if len(m.Rows) != 5 || m.Rows[0].Weight == 0 {
		t.Errorf("it was sent %+v", m.Rows)
	}
	holding := func() (n int) { s.Do(func(float64) { n = program.Fleet.UpToDate() }); return n }
	until(t, "the kernel's word that it was taken", func() bool { return holding() == 1 })
	s.Do(func(now float64) {
		program.Fleet.Registry.SetDrain(now, "10.0.0.3:80", true)
	})
	if err := read(c, &m); err != nil || len(m.Rows) != 1 || m.Rows[0].Weight != 0 || m.Rows[0].Flags&sasp.Quiesce == 0 {
		t.Errorf("the drain: %+v, %v", m.Rows, err)
	}
	_ = c.Close()
	until(t, "its leaving", func() bool { n := 0; s.Do(func(float64) { n = program.Fleet.Joined() }); return n == 0 })
}

func TestAPortThatIsTakenIsSaid(t *testing.T) {
	_, _, at := listen(t, setup(1, 1), 14861)
	program, _ := coordinator.New(1, setup(1, 1), nil)
	if _, err := Listen(program, []netip.AddrPort{netip.MustParseAddrPort(at)}, netip.MustParseAddrPort(at), Clock()); err == nil {
		t.Error("two servers listen on one port")
	}
}

// crowd dials relays that count the bytes of what they are sent.
func crowd(b testing.TB, at string, n int) (conns []net.Conn, bytes *atomic.Int64) {
	bytes = &atomic.Int64{}
	for i := range n {
		c := dial(b, at, fmt.Sprintf("r%d", i))
		conns = append(conns, c)
		go func() {
			buf := make([]byte, 4096)
			for {
				n, err := c.Read(buf)
				bytes.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
	}
	return conns, bytes
}

// From a decision to the last relay's having read it: drains ordered one after the other, and the same bytes written raw
// to the same number of sockets by one goroutine.
func BenchmarkDecisionToLastRelay(b *testing.B) {
	for _, n := range []int{460, 5000} {
		servers := 200
		least := func() int64 {
			m := sasp.Message{Kind: sasp.SendWeights, Groups: []sasp.Group{{UID: []byte("r1"), Name: []byte("search"), To: 1}},
				Rows: make([]sasp.Row, 1)}
			return int64(n) * int64(len(sasp.Append(nil, &m)))
		}()
		b.Run(fmt.Sprintf("coordinator/%d", n), func(b *testing.B) {
			set := setup(servers, n)
			set.Site.Limits.MinRoundInterval = 0
			program, s, at := listen(b, set, 14862)
			conns, bytes := crowd(b, at, n)
			defer closeAll(conns)
			holding := func() (h int) { s.Do(func(float64) { h = program.Fleet.UpToDate() }); return h }
			until(b, "all joined", func() bool { return holding() == n })
			next := 0
			for b.Loop() {
				b.StopTimer()
				until(b, "all hold the tables", func() bool { return holding() == n })
				if next++; next >= servers-1 {
					b.Fatal("no server is left to drain")
				}
				before := bytes.Load()
				b.StartTimer()
				s.Do(func(now float64) {
					program.Fleet.Registry.SetDrain(now, program.Fleet.Registry.Servers()[next], true)
					program.TimerFired(now, 0)
				})
				for bytes.Load() < before+least {
					time.Sleep(50 * time.Microsecond)
				}
			}
		})
		b.Run(fmt.Sprintf("raw/%d", n), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:14863")
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			accepted := make(chan net.Conn, n)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					accepted <- c
				}
			}()
			conns, bytes := crowd(b, l.Addr().String(), n)
			defer closeAll(conns)
			var ends []net.Conn
			for range n {
				ends = append(ends, <-accepted)
			}
			defer closeAll(ends)
			part := make([]byte, least/int64(n))
			for b.Loop() {
				before := bytes.Load()
				for _, c := range ends {
					if _, err := c.Write(part); err != nil {
						b.Fatal(err)
					}
				}
				for bytes.Load() < before+least {
					time.Sleep(50 * time.Microsecond)
				}
			}
		})
	}
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// Memory of an idle relay at the coordinator, sockets' kernel memory left out.
func BenchmarkIdleRelayMemory(b *testing.B) {
	const n = 2000
	program, s, at := listen(b, setup(300, n), 14864)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conns := make([]net.Conn, n)
	for i := range conns {
		conns[i] = dial(b, at, fmt.Sprintf("r%d", i)) // it reads nothing: tables of 300 lines fit into its host's buffer
	}
	defer closeAll(conns)
	until(b, "all hold the tables", func() bool { h := 0; s.Do(func(float64) { h = program.Fleet.UpToDate() }); return h == n })
	for b.Loop() {
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/n, "B/relay")
}

// late answers each byte late and twice, so that a peer that resets is written to before its end is known.
type late struct {
	io     env.IO
	closed atomic.Int32
}

func (l *late) Start(_ float64, io env.IO)                   { l.io = io }
func (l *late) Opened(float64, env.Conn, netip.Addr, uint16) {}
func (l *late) Connected(float64, env.Conn, bool)            {}
func (l *late) Closed(float64, env.Conn)                     { l.closed.Add(1) }
func (l *late) Delivered(float64, env.Conn, uint64)          {}
func (l *late) Datagram(float64, []byte)                     {}
func (l *late) TimerFired(float64, int)                      {}
func (l *late) Receive(_ float64, c env.Conn, b []byte) {
	if b[0] == 'x' {
		time.Sleep(50 * time.Millisecond) // until the reset is here; it decides nothing but whether the test tests
	}
	l.io.Send(c, []byte("a"))
	l.io.Send(c, []byte("b"))
}

// A peer that resets its connection while it is written to ends that connection and nothing else. Without the guard the
// whole program stands still.
func TestAResetInTheMiddleOfAWrite(t *testing.T) {
	program := &late{}
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
		t.Fatalf("the program stands still: %v", err)
	}
	for end := time.Now().Add(5 * time.Second); program.closed.Load() < 3; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of 3 ends were told", program.closed.Load())
		}
	}
}
