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

func testConfig(servers, proxies int) coordinator.Config {
	site := controlplane.Site{Seed: 1, ClassNames: []string{"search"}, Zones: []string{"a"}, AllowUnlisted: true,
		Classes:    []balancer.RequestClass{{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3}},
		DataPlane:  balancer.DataPlane{Proxies: proxies, Coordinators: 1, DefaultRetry: balancer.RetryIfNotExecuted},
		Channel:    balancer.Channel{EntriesPerSecond: 1e7, MessageOverhead: 3, MaxQueued: 2e7, MeanDelay: 0.01, MaxDelay: 0.2},
		Guarantees: balancer.Guarantees{DrainDeadline: 30, EmptyTableDeadline: 2, WarmupStartFraction: 0.2, WarmupDuration: 10, OverloadFactor: 3, OverloadWindow: 2},
		Reporting:  balancer.Reporting{Period: 0.5}, Limits: controlplane.DefaultLimits}
	for i := range servers {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		site.Servers = append(site.Servers, registry.ServerConfig{Server: balancer.Server(address.String()), Weight: 1, Static: true})
	}
	return coordinator.Config{Site: site, Limits: saspsession.DefaultLimits, Policy: saspsession.Policy{FleetUID: "fleet"}}
}

func listen(t testing.TB, config coordinator.Config, port uint16) (*coordinator.Coordinator, *Server, string) {
	t.Helper()
	clock := Clock()
	program, err := coordinator.New(clock(), config, nil)
	if err != nil {
		t.Fatal(err)
	}
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	server, err := Listen(program, []netip.AddrPort{address}, address, clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.Stop(); err != nil {
			t.Error(err)
		}
	})
	return program, server, address.String()
}

// registration returns the messages with which a proxy registers.
func registration(uid string) []byte {
	messages := sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, ID: 1, UID: []byte(uid), Flags: sasp.Push | sasp.Trust | sasp.NoChange})
	return sasp.Append(messages, &sasp.Message{Kind: sasp.Registration, ID: 2, LB: 1,
		Groups: []sasp.Group{{UID: []byte(uid), Name: []byte("search")}}})
}

func dial(t testing.TB, address, uid string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(registration(uid)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// read reads the next message from a connection.
func read(conn net.Conn, message *sasp.Message) error {
	header := make([]byte, sasp.HeaderSize)
	if _, err := io.ReadFull(conn, header); err != nil {
		return err
	}
	size := int(header[5])<<24 | int(header[6])<<16 | int(header[7])<<8 | int(header[8])
	data := slices.Concat(header, make([]byte, size-len(header)))
	if _, err := io.ReadFull(conn, data[len(header):]); err != nil {
		return err
	}
	return sasp.Decode(data, message)
}

func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting for %s", what)
		}
	}
}

func TestProxyOnSocketIsServed(t *testing.T) {
	program, s, address := listen(t, testConfig(5, 1), 14860)
	conn := dial(t, address, "r1")
	defer func() { _ = conn.Close() }()
	var message sasp.Message
	for _, want := range []sasp.Kind{sasp.SetBalancerReply, sasp.RegistrationReply, sasp.SendWeights} {
		if err := read(conn, &message); err != nil || message.Kind != want {
			t.Fatalf("message kind %#x, error %v; want kind %#x", uint16(message.Kind), err, uint16(want))
		}
	}
	if len(message.Rows) != 5 || message.Rows[0].Weight == 0 {
		t.Errorf("the proxy received the entries %+v, want 5 with weights", message.Rows)
	}
	upToDate := func() (n int) { s.Do(func(float64) { n = program.Fleet.UpToDate() }); return n }
	waitFor(t, "the delivery of the tables", func() bool { return upToDate() == 1 })
	s.Do(func(now float64) {
		program.Fleet.Registry.SetDrain(now, "10.0.0.3:80", true)
	})
	if err := read(conn, &message); err != nil || len(message.Rows) != 1 || message.Rows[0].Weight != 0 || message.Rows[0].Flags&sasp.Quiesce == 0 {
		t.Errorf("message with the drain: entries %+v, error %v", message.Rows, err)
	}
	_ = conn.Close()
	waitFor(t, "the proxy's departure", func() bool { n := 0; s.Do(func(float64) { n = program.Fleet.Joined() }); return n == 0 })
}

func TestListenReportsPortInUse(t *testing.T) {
	_, _, address := listen(t, testConfig(1, 1), 14861)
	program, _ := coordinator.New(1, testConfig(1, 1), nil)
	if _, err := Listen(program, []netip.AddrPort{netip.MustParseAddrPort(address)}, netip.MustParseAddrPort(address), Clock()); err == nil {
		t.Error("Listen succeeded on a port in use")
	}
}
