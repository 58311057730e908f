package coordinator_test

import (
	"net/netip"
	"os"
	"slices"
	"testing"

	"snowquay/internal/coordinator"
	"snowquay/internal/env"
	"snowquay/internal/settings"
	"snowquay/internal/store"
	"snowquay/internal/wire/sasp"
)

// recordingIO records which connections a program closes.
type recordingIO struct{ closed []env.Conn }

func (r *recordingIO) Dial(netip.AddrPort) env.Conn    { return 0 }
func (r *recordingIO) Send(env.Conn, []byte)           {}
func (r *recordingIO) Close(conn env.Conn)             { r.closed = append(r.closed, conn) }
func (r *recordingIO) Datagram(netip.AddrPort, []byte) {}
func (r *recordingIO) SetTimer(float64, int)           {}

// startLimitedCoordinator starts the coordinator of the example settings with room for a few connections, and long polls.
func startLimitedCoordinator(t *testing.T, limit int) (*coordinator.Coordinator, *settings.Coordinator, *recordingIO) {
	t.Helper()
	text, err := os.ReadFile("../../docs/example.xml")
	if err != nil {
		t.Fatal(err)
	}
	config, err := settings.ParseCoordinator("example.xml", text)
	if err != nil {
		t.Fatal(err)
	}
	config.ConnectionLimit = limit
	config.HTTP = netip.MustParseAddrPort("127.0.0.1:8080")
	c, err := coordinator.New(0, config.Config, nil)
	if err != nil {
		t.Fatal(err)
	}
	io := &recordingIO{}
	c.Start(0, io)
	return c, config, io
}

// Guards against strangers that hold all connections of a coordinator: the oldest ones make room, and those of proxies stay.
func TestUnidentifiedConnectionsMakeRoom(t *testing.T) {
	const limit = 16
	c, config, io := startLimitedCoordinator(t, limit)
	from := netip.MustParseAddr("127.0.0.1")
	const relay, poller = 1, 2
	c.Opened(0, relay, from, config.SASP.Port())
	c.Receive(0, relay, sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("relay-1"), Flags: sasp.Push}))
	c.Opened(0, poller, from, config.HTTP.Port())
	c.Receive(0, poller, []byte("GET /v1/proxies/relay-2/tables?wait=30&epoch=1&version=1 HTTP/1.1\r\nHost: x\r\n\r\n"))
	for conn := env.Conn(3); conn <= limit; conn++ {
		if !c.HasRoom() {
			t.Fatalf("there is no room for connection %d of %d", conn, limit)
		}
		port := config.SASP.Port()
		if conn%2 == 0 {
			port = config.HTTP.Port()
		}
		c.Opened(float64(conn)/100, conn, from, port)
	}
	if c.HasRoom() {
		t.Errorf("there is room for more than %d connections", limit)
	}
	c.MakeRoom(0.5)
	if len(io.closed) != 0 {
		t.Errorf("connections %v were closed at once, want none", io.closed)
	}
	c.MakeRoom(0.8)
	if want := []env.Conn{3, 5}; !slices.Equal(io.closed, want) || !c.HasRoom() {
		t.Errorf("connections %v were closed, want %v; there is room: %v", io.closed, want, c.HasRoom())
	}
	for range limit {
		c.MakeRoom(0.9)
	}
	if slices.Contains(io.closed, relay) || slices.Contains(io.closed, poller) || len(io.closed) != limit-2 {
		t.Errorf("connections %v were closed, want all but %d and %d", io.closed, relay, poller)
	}
}

// Guards against the same at a host of many tenants.
func TestUnidentifiedConnectionsMakeRoomAtHost(t *testing.T) {
	const limit = 16
	config := parseHostSettings(t, hostSettingsText(t))
	config.ConnectionLimit = limit
	host, err := coordinator.NewHost(0, config.HostConfig, &store.MemoryTenantStore{})
	if err != nil {
		t.Fatal(err)
	}
	io := &recordingIO{}
	host.Start(0, io)
	from := netip.MustParseAddr("127.0.0.1")
	for conn := env.Conn(1); conn <= limit; conn++ {
		if !host.HasRoom() {
			t.Fatalf("there is no room for connection %d of %d", conn, limit)
		}
		host.Opened(float64(conn)/100, conn, from, config.SASP.Port())
	}
	if host.HasRoom() {
		t.Errorf("there is room for more than %d connections", limit)
	}
	host.MakeRoom(0.5)
	if len(io.closed) != 0 {
		t.Errorf("connections %v were closed at once, want none", io.closed)
	}
	host.MakeRoom(0.8)
	if want := []env.Conn{1, 2}; !slices.Equal(io.closed, want) || !host.HasRoom() {
		t.Errorf("connections %v were closed, want %v; there is room: %v", io.closed, want, host.HasRoom())
	}
}

func hostSettingsText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../docs/example-host.xml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
