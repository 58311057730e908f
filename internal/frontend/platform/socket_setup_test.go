package platform

import (
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"snowquay/internal/deployment"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/testaddress"
	"snowquay/internal/wire/discovery"
)

// waitLimit is the maximum time that a test waits for an expected event.
const waitLimit = 10 * time.Second

// socketSetup is a program that runs on sockets, with its relay and discovery.
type socketSetup struct {
	relay     *socketRelay
	discovery *socketDiscovery
	program   *Program
	server    *eventloop.Server
	address   netip.AddrPort // address of the program
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func listenerAddress(t *testing.T, listener net.Listener) netip.AddrPort {
	t.Helper()
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// acceptAll serves each connection until the listener is closed.
func acceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// callEvery calls do periodically until stop is closed.
func callEvery(interval time.Duration, stop <-chan struct{}, do func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
			do()
		}
	}
}

// startOnSockets starts the program with three servers and one joined proxy, and accepts its calls until the proxy has a
// table and all connections are active.
func startOnSockets(t *testing.T) *socketSetup {
	t.Helper()
	parsed, err := deployment.Read([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	cached := discovery.List{Full: true, Version: 5, Servers: []discovery.Server{server("s-1", "ready"), server("s-2", "ready"), server("s-3", "ready")}}
	setup := &socketSetup{
		relay:     openSocketRelay(t, 1),
		discovery: openSocketDiscovery(t, encodeList(cached.Version, true, cached.Servers...), ""),
		address:   testaddress.Next(),
	}
	setup.program = New(Config{
		Discovery:      listenerAddress(t, setup.discovery.listener),
		Relay:          listenerAddress(t, setup.relay.listener),
		MaxDescriptors: 256,
		CachedList:     &cached,
		Seed:           7,
		Deployment:     parsed,
	}, slog.New(slog.DiscardHandler))
	setup.server, err = eventloop.Listen(setup.program, []netip.AddrPort{setup.address}, netip.AddrPort{}, eventloop.Clock())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = setup.server.Stop() })
	setup.relay.awaitCall(t, "assigns proxy 1 a table", assigns(1)).accept(t)
	setup.eventually(t, "two connections to the relay and one to discovery", func(p *Program) bool {
		return isComplete(p.relay.primary.active) && isComplete(p.relay.standby.active) && p.discovery.active != nil && !p.commands.InFlight() &&
			p.proxies.Contains(1)
	})
	return setup
}

// isComplete reports whether a connection to the relay is active and its snapshot of proxies has ended.
func isComplete(c *connection) bool { return c != nil && c.source.Complete(c.lastReceivedAt) }

// eventually waits until the program meets a condition. Calls that arrive in the meantime are accepted.
func (s *socketSetup) eventually(t *testing.T, what string, condition func(p *Program) bool) {
	t.Helper()
	end := time.Now().Add(waitLimit)
	for time.Now().Before(end) {
		reached := false
		s.inspect(func(_ float64, p *Program) { reached = condition(p) })
		if reached {
			return
		}
		select {
		case call := <-s.relay.calls:
			call.accept(t)
		case <-time.After(2 * time.Millisecond):
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// inspect calls f in the program's event loop.
func (s *socketSetup) inspect(f func(now float64, p *Program)) {
	s.server.Do(func(now float64) { f(now, s.program) })
}

// setAddresses changes the program's addresses of discovery and relay, as SIGHUP does.
func (s *socketSetup) setAddresses(discovery, relay netip.AddrPort) {
	s.inspect(func(now float64, p *Program) { p.SetAddresses(now, discovery, relay) })
}

// extendResponseTimeout makes the program wait a minute longer for the response to the call in flight, so that the
// timeout does not interfere with the test.
func (s *socketSetup) extendResponseTimeout() {
	s.inspect(func(now float64, p *Program) { p.relay.callSentAt = now + 60 })
}

// drain publishes that a server is draining.
func (s *socketSetup) drain(t *testing.T, id string) {
	t.Helper()
	s.discovery.mu.Lock()
	var list discovery.List
	if err := json.Unmarshal([]byte(s.discovery.fullList), &list); err != nil {
		t.Error(err)
	}
	for i, listed := range list.Servers {
		if listed.ID == id {
			list.Servers[i].State = discovery.Draining
		}
	}
	list.Version++
	s.discovery.fullList = encodeList(list.Version, list.Full, list.Servers...)
	s.discovery.mu.Unlock()
	s.discovery.publish(encodeList(list.Version, false, server(id, discovery.Draining)) + "\n")
}

// dial connects a client to the program.
func (s *socketSetup) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	conn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(s.address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
