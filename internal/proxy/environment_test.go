package proxy

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/admission"
	"snowquay/internal/core/forwarding"
	"snowquay/internal/core/outlier"
	"snowquay/internal/core/picker"
	"snowquay/internal/core/retry"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
	"snowquay/internal/wire/http1"
)

// stubProgram is an env.Program that ignores all events. Test programs embed it and override some of its methods.
type stubProgram struct {
	io  env.IO
	net *simnet.Net
}

func (b *stubProgram) Start(_ float64, io env.IO)                   { b.io = io }
func (b *stubProgram) Opened(float64, env.Conn, netip.Addr, uint16) {}
func (b *stubProgram) Connected(float64, env.Conn, bool)            {}
func (b *stubProgram) Closed(float64, env.Conn)                     {}
func (b *stubProgram) Delivered(float64, env.Conn, uint64)          {}
func (b *stubProgram) Datagram(float64, []byte)                     {}
func (b *stubProgram) TimerFired(float64, int)                      {}
func (b *stubProgram) Receive(float64, env.Conn, []byte)            {}

// testServer responds to each request with its name, or simulates a fault.
type testServer struct {
	stubProgram
	name     string
	behavior string              // silent, reset, drip, twice, fails, full or unframed; any other value: a normal response
	received map[env.Conn][]byte // data of incomplete requests
	requests []string            // method, target and body of each request
	closed   int                 // number of connections that the proxy has closed
}

func (s *testServer) Closed(_ float64, conn env.Conn) {
	s.closed++
	delete(s.received, conn)
}

func (s *testServer) Receive(now float64, conn env.Conn, data []byte) {
	if s.received == nil {
		s.received = map[env.Conn][]byte{}
	}
	s.received[conn] = append(s.received[conn], data...)
	var request http1.Message
	length, err := http1.ParseRequest(s.received[conn], http1.DefaultLimits, &request)
	if err != nil {
		panic(err)
	}
	if length == 0 {
		return
	}
	s.received[conn] = s.received[conn][length:]
	s.requests = append(s.requests, request.Method+" "+request.Target+" "+string(request.Body))
	response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(s.name), s.name)
	switch s.behavior {
	case "silent": // no response
	case "reset": // the connection is closed within the response
		s.io.Send(conn, response[:20])
		s.io.Close(conn)
	case "drip": // one byte of the response per second
		for i := range response {
			s.net.At(now+float64(i), func() { s.io.Send(conn, response[i:i+1]) })
		}
	case "twice": // two responses to one request
		s.io.Send(conn, append(response, response...))
	case "fails":
		s.io.Send(conn, []byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops"))
	case "full": // the request is rejected before it is executed
		s.io.Send(conn, []byte("HTTP/1.1 503 Service Unavailable\r\nSnowquay-Ran: no\r\nContent-Length: 0\r\n\r\n"))
	case "unframed": // the body is delimited by the end of the connection
		s.io.Send(conn, []byte("HTTP/1.0 200 OK\r\n\r\n"+s.name))
		s.net.At(now+0.1, func() { s.io.Close(conn) })
	default:
		s.io.Send(conn, response)
	}
}

// testClient sends data on one connection to the proxy and records what it receives.
type testClient struct {
	stubProgram
	proxy      netip.AddrPort
	send       string // data to send when the connection is established
	conn       env.Conn
	received   string
	closed     bool    // whether the proxy has closed the connection
	closeAfter float64 // seconds after which the client closes the connection; 0: never
}

func (c *testClient) Start(_ float64, io env.IO) {
	c.io = io
	c.conn = io.Dial(c.proxy)
}

func (c *testClient) Connected(now float64, conn env.Conn, _ bool) {
	c.io.Send(conn, []byte(c.send))
	if c.closeAfter > 0 {
		c.net.At(now+c.closeAfter, func() { c.io.Close(conn) })
	}
}

func (c *testClient) Receive(_ float64, _ env.Conn, data []byte) { c.received += string(data) }

func (c *testClient) Closed(float64, env.Conn) { c.closed = true }

// testEnvironment runs a proxy with servers and clients in a simulated network with virtual time.
type testEnvironment struct {
	t           *testing.T
	net         *simnet.Net
	proxy       *Proxy
	proxyHost   *simnet.Host
	servers     []*testServer
	serverHosts []*simnet.Host
	clients     byte
}

// memoryStore is a Store that keeps the snapshot in memory.
type memoryStore struct{ snapshot []byte }

func (s *memoryStore) Save(snapshot []byte) error {
	s.snapshot = bytes.Clone(snapshot)
	return nil
}

func (s *memoryStore) Load() ([]byte, error) { return s.snapshot, nil }

var proxyAddress = netip.MustParseAddrPort("10.0.0.1:8080")

func serverAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}), 80)
}

// testConfig returns a configuration with an idempotent, a keyed and a non-idempotent class, whose default tables have the given number of
// servers.
func testConfig(servers int) Config {
	config := Config{
		UID:    "proxy-1",
		Routes: []Route{{"/search", 0}, {"/introduce", 1}, {"/once", 2}},
		Limits: DefaultLimits,
		Seed:   1,
		Forwarding: forwarding.Config{
			ClassNames:    []string{"search", "introduce", "once"},
			RetryPolicies: []balancer.RetryPolicy{balancer.RetryOnce, balancer.RetryOnce, balancer.RetryIfNotExecuted},
			Classes: []balancer.RequestClass{
				{LatencyObjective: 1, ClientTimeout: 5},
				{LatencyObjective: 1, ClientTimeout: 5, Idempotency: balancer.Keyed, DedupWindow: 4},
				{LatencyObjective: 1, ClientTimeout: 5, Idempotency: balancer.NonIdempotent},
			},
			Limits:   admission.DefaultLimits,
			Outliers: outlier.DefaultConfig,
			Budget:   retry.Budget{Ratio: 1, Burst: 100},
			NewTable: func(class int) picker.Table { return picker.NewEarliestDeadlineFirst(uint64(class)) },
		},
	}
	for i := range servers {
		config.DefaultServers = append(config.DefaultServers, balancer.Server(serverAddress(i).String()))
	}
	return config
}

// newTestEnvironment starts a proxy and its servers. If change is not nil, it changes the configuration of the proxy.
func newTestEnvironment(t *testing.T, servers int, change func(*Config)) *testEnvironment {
	e := &testEnvironment{t: t, net: simnet.New(1, 1000)}
	e.net.Faults.SplitProbability = 0.3
	config := testConfig(servers)
	if change != nil {
		change(&config)
	}
	for i := range servers {
		server := &testServer{stubProgram: stubProgram{net: e.net}, name: fmt.Sprint("s", i)}
		e.servers = append(e.servers, server)
		e.serverHosts = append(e.serverHosts, e.net.Add(serverAddress(i).Addr(), 0, false))
		e.serverHosts[i].Start(server)
	}
	e.proxy = New(e.net.Now(), config)
	e.proxyHost = e.net.Add(proxyAddress.Addr(), 0, false)
	e.proxyHost.Start(e.proxy)
	return e
}

// newClient starts a client that sends data, and closes its connection after closeAfter seconds unless that is 0.
func (e *testEnvironment) newClient(send string, closeAfter float64) *testClient {
	e.clients++
	client := &testClient{stubProgram: stubProgram{net: e.net}, proxy: proxyAddress, send: send, closeAfter: closeAfter}
	e.net.Add(netip.AddrFrom4([4]byte{10, 0, 2, e.clients}), 0, false).Start(client)
	return client
}

func (e *testEnvironment) runFor(seconds float64) { e.net.Run(e.net.Now() + seconds) }

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func post(path, key, body string) string {
	field := ""
	if key != "" {
		field = "Idempotency-Key: " + key + "\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", path, field, len(body), body)
}

// expectReceived checks that the data which a client has received contains each of the parts.
func (e *testEnvironment) expectReceived(client *testClient, parts ...string) {
	e.t.Helper()
	for _, part := range parts {
		if !strings.Contains(client.received, part) {
			e.t.Errorf("client received %q, which does not contain %q", client.received, part)
		}
	}
}

// testLocations returns the locations of servers, with two servers in each failure domain.
func testLocations(servers int) map[balancer.Server]retry.Location {
	locations := map[balancer.Server]retry.Location{}
	for i := range servers {
		server := balancer.Server(serverAddress(i).String())
		locations[server] = retry.Location{Server: server, FailureDomain: balancer.FailureDomain(i / 2)}
	}
	return locations
}
