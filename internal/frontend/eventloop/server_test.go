package eventloop

import (
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/saspsession"
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
	t.Helper()
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

// registration returns the first messages of a proxy.
func registration(uid string) []byte {
	b := sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, ID: 1, UID: []byte(uid), Flags: sasp.Push | sasp.Trust | sasp.NoChange})
	return sasp.Append(b, &sasp.Message{Kind: sasp.Registration, ID: 2, LB: 1,
		Groups: []sasp.Group{{UID: []byte(uid), Name: []byte("search")}}})
}

func dial(t testing.TB, at, uid string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(registration(uid)); err != nil {
		t.Fatal(err)
	}
	return c
}

// read reads the next message.
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
			t.Fatalf("%s did not happen", what)
		}
	}
}

func TestProxyOnSocketIsServed(t *testing.T) {
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
		t.Errorf("the proxy received %+v", m.Rows)
	}
	holding := func() (n int) { s.Do(func(float64) { n = program.Fleet.UpToDate() }); return n }
	until(t, "the delivery of the tables", func() bool { return holding() == 1 })
	s.Do(func(now float64) {
		program.Fleet.Registry.SetDrain(now, "10.0.0.3:80", true)
	})
	if err := read(c, &m); err != nil || len(m.Rows) != 1 || m.Rows[0].Weight != 0 || m.Rows[0].Flags&sasp.Quiesce == 0 {
		t.Errorf("the drain: %+v, %v", m.Rows, err)
	}
	_ = c.Close()
	until(t, "its departure", func() bool { n := 0; s.Do(func(float64) { n = program.Fleet.Joined() }); return n == 0 })
}

func TestListenReportsPortInUse(t *testing.T) {
	_, _, at := listen(t, setup(1, 1), 14861)
	program, _ := coordinator.New(1, setup(1, 1), nil)
	if _, err := Listen(program, []netip.AddrPort{netip.MustParseAddrPort(at)}, netip.MustParseAddrPort(at), Clock()); err == nil {
		t.Error("two servers listen on one port")
	}
}
