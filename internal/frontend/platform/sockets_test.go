package platform

import (
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"snowquay/internal/deployment"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/wire/discovery"
	"snowquay/internal/wire/resp"
)

// The tests here run the program on loopback sockets. Its relay and discovery are played by the test, which so orders the two
// events that cross; nothing sleeps to have them in order, and every wait has a bound.

const waitLimit = 10 * time.Second // for what has to come

type socketSetup struct {
	*socketRelay
	*socketDiscovery
	program *Program
	server  *eventloop.Server
	listen  netip.AddrPort
}

func listenerAddress(t *testing.T, l net.Listener) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// startOnSockets starts the program with three servers and one joined proxy, and answers its calls until that is bound.
func startOnSockets(t *testing.T) *socketSetup {
	t.Helper()
	d, err := deployment.Read([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	known := discovery.List{Full: true, Version: 5, Servers: []discovery.Server{server("s-1", "ready"), server("s-2", "ready"), server("s-3", "ready")}}
	text, _ := json.Marshal(known)
	setup := &socketSetup{socketRelay: openSocketRelay(t, 1), socketDiscovery: openSocketDiscovery(t, string(text), "")}
	setup.program = New(Config{Discovery: listenerAddress(t, setup.socketDiscovery.Listener), Relay: listenerAddress(t, setup.socketRelay.Listener), MaxDescriptors: 256, CachedList: &known, Seed: 7,
		Deployment: d}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	setup.listen = listenerAddress(t, free)
	_ = free.Close()
	if setup.server, err = eventloop.Listen(setup.program, []netip.AddrPort{setup.listen}, netip.AddrPort{}, eventloop.Clock()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = setup.server.Stop() })
	setup.awaitCall(t, "binds proxy 1", func(c receivedCall) bool { return slices.Contains(c.assignedProxies(), 1) }).accept(t)
	setup.eventually(t, "two links to the relay and one to discovery", func(p *Program) bool {
		return p.relay.primary.active != nil && p.relay.standby.active != nil && p.discovery.active != nil && !p.commands.InFlight() && p.proxies.Contains(1) &&
			p.relay.standby.active.source.Complete(p.relay.standby.active.heardAt) && p.relay.primary.active.source.Complete(p.relay.primary.active.heardAt)
	})
	return setup
}

// eventually waits for what is to be seen inside of the program; calls that come meanwhile are answered.
func (g *socketSetup) eventually(t *testing.T, what string, is func(p *Program) bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		ok := false
		g.server.Do(func(float64) { ok = is(g.program) })
		if ok {
			return
		}
		select {
		case c := <-g.calls:
			c.accept(t)
		case <-time.After(2 * time.Millisecond):
		}
	}
	t.Fatalf("it never came to this: %s", what)
}

// inspect has a look inside of the program.
func (g *socketSetup) inspect(is func(now float64, p *Program)) {
	g.server.Do(func(now float64) { is(now, g.program) })
}

// extendResponseTimeout has the program wait for the answer to the call that is out for a minute: what happens then is not by its time limit.
func (g *socketSetup) extendResponseTimeout() {
	g.inspect(func(now float64, p *Program) { p.relay.callSentAt = now + 60 })
}

// drain has discovery tell that a server drains.
func (g *socketSetup) drain(id string) {
	g.socketDiscovery.mu.Lock()
	var l discovery.List
	_ = json.Unmarshal([]byte(g.fullList), &l)
	for i, s := range l.Servers {
		if s.ID == id {
			l.Servers[i].State = discovery.Draining
		}
	}
	l.Version++
	text, _ := json.Marshal(l)
	g.fullList = string(text)
	g.socketDiscovery.mu.Unlock()
	g.publish(encodeList(l.Version, false, server(id, discovery.Draining)) + "\n")
}

func removes(id string) func(receivedCall) bool {
	return func(c receivedCall) bool { v, there := c.weights()[id]; return there && v == 0 }
}

func TestResponseOnReplacedConnectionOfSocketCounts(t *testing.T) {
	setup := startOnSockets(t)
	setup.drain("s-3")
	out := setup.awaitCall(t, "takes s-3 out", removes("s-3"))
	next := openSocketRelay(t, 1)
	setup.inspect(func(now float64, p *Program) {
		p.SetAddresses(now, listenerAddress(t, setup.socketDiscovery.Listener), listenerAddress(t, next.Listener))
	})
	setup.extendResponseTimeout() // the answer is in time, however long the test takes
	for end := time.Now().Add(waitLimit); next.subscriberCount() < 2 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	setup.inspect(func(_ float64, p *Program) {
		if !p.commands.InFlight() || p.relay.retired == nil {
			t.Error("the call is not awaited on the link that it was made on")
		}
	})
	out.accept(t)
	setup.eventually(t, "the answer is taken, the old link gone", func(p *Program) bool { return !p.commands.InFlight() && p.relay.retired == nil })
	setup.inspect(func(_ float64, p *Program) {
		if p.commands.Resends != 0 {
			t.Errorf("%d calls went again", p.commands.Resends)
		}
	})
	next.expectNoCall(t, "it goes to the new relay once more, or binds anew", func(c receivedCall) bool { return removes("s-3")(c) || len(c.assignedProxies()) > 0 })
}

func TestBothRelayConnectionsEndDuringACall(t *testing.T) {
	setup := startOnSockets(t)
	setup.drain("s-3")
	setup.awaitCall(t, "takes s-3 out", removes("s-3"))
	setup.extendResponseTimeout()
	setup.closeSubscribers()
	again := setup.awaitCall(t, "takes s-3 out again", removes("s-3"))
	again.accept(t)
	setup.eventually(t, "it is known to be out", func(p *Program) bool { return !p.commands.InFlight() && p.commands.Pending() == 0 })
	setup.inspect(func(_ float64, p *Program) {
		if p.commands.Resends != 1 || !p.proxies.Contains(1) {
			t.Errorf("%d calls went again; joined: %v", p.commands.Resends, p.proxies.Contains(1))
		}
	})
}

func TestRelayClosesTheConnectionDuringACall(t *testing.T) {
	setup := startOnSockets(t)
	setup.drain("s-3")
	out := setup.awaitCall(t, "takes s-3 out", removes("s-3"))
	setup.extendResponseTimeout()
	_ = out.conn.Close() // as where a link is held to be idle
	again := setup.awaitCall(t, "takes s-3 out again", removes("s-3"))
	if again.conn == out.conn || again.id == out.id {
		t.Error("it goes on the link that has ended")
	}
	again.accept(t)
	setup.expectNoCall(t, "it goes a third time, or binds anew", func(c receivedCall) bool { return removes("s-3")(c) || len(c.assignedProxies()) > 0 })
}

func TestPrimaryEndsDuringTheSnapshotOfTheStandby(t *testing.T) {
	setup := startOnSockets(t)
	setup.inspect(func(now float64, p *Program) { p.disconnect(now, p.relay.standby.active) }) // a new second link is made
	setup.eventually(t, "the second link lists", func(p *Program) bool { return p.relay.standby.active != nil })
	setup.inspect(func(now float64, p *Program) {
		p.relay.standby.active.source.Complete(now)
		p.disconnect(now, p.relay.primary.active) // in the same moment, list or no list
	})
	setup.join(2)
	setup.awaitCall(t, "binds proxy 2", func(c receivedCall) bool { return slices.Contains(c.assignedProxies(), 2) }).accept(t)
	setup.eventually(t, "two links", func(p *Program) bool {
		return p.relay.primary.active != nil && p.relay.standby.active != nil && p.proxies.Contains(1) && p.proxies.Contains(2)
	})
}

func TestNewAddressesDuringDials(t *testing.T) {
	setup := startOnSockets(t)
	dumb, next := openSocketRelay(t), openSocketRelay(t, 1)
	disc, first := listenerAddress(t, setup.socketDiscovery.Listener), listenerAddress(t, setup.socketRelay.Listener)
	setup.inspect(func(now float64, p *Program) { p.SetAddresses(now, disc, listenerAddress(t, dumb.Listener)) })
	setup.eventually(t, "links to the dumb relay are up", func(p *Program) bool {
		return p.relay.primary.candidate != nil && p.relay.primary.candidate.established
	})
	setup.inspect(func(now float64, p *Program) { // twice more within a moment: back, and on
		p.SetAddresses(now, disc, first)
		p.SetAddresses(now, disc, listenerAddress(t, next.Listener))
		if n := p.relay.primary.candidate; n == nil || n.address != listenerAddress(t, next.Listener) {
			t.Errorf("the new address is not dialled at once: %+v", n)
		}
	})
	setup.eventually(t, "links to the new relay", func(p *Program) bool {
		return p.relay.primary.active != nil && p.relay.primary.active.address == listenerAddress(t, next.Listener) && p.relay.standby.active.address == p.relay.primary.active.address
	})
	setup.inspect(func(now float64, p *Program) { p.SetAddresses(now, disc, first) })
	setup.eventually(t, "links to the first relay again", func(p *Program) bool {
		return p.relay.primary.active.address == first && p.relay.standby.active.address == first
	})
	setup.expectNoCall(t, "proxies are bound anew", func(c receivedCall) bool { return len(c.assignedProxies()) > 0 })
}

func TestDrainInUnreadableLineIsRefetched(t *testing.T) {
	setup := startOnSockets(t)
	before := len(setup.paths())
	setup.socketDiscovery.mu.Lock()
	setup.firstLine = encodeList(7, false, server("s-3", discovery.Draining), server("s-2", discovery.Ready)) // all after version 5, as it then is
	setup.socketDiscovery.mu.Unlock()
	setup.publish(`{"version":6,"full":false,"servers":[{"id":"s-3","st` + "\n" + encodeList(7, false, server("s-2", discovery.Ready)) + "\n")
	setup.awaitCall(t, "takes s-3 out", removes("s-3")).accept(t)
	if paths := setup.paths(); len(paths) <= before || !strings.HasSuffix(paths[len(paths)-1], "index=5") {
		t.Errorf("asked for %q", paths)
	}
}

func TestNewDiscoveryStartsAtLowerVersion(t *testing.T) {
	setup := startOnSockets(t)
	whole := encodeList(2, true, server("s-1", discovery.Ready), server("s-2", discovery.Ready))
	next := openSocketDiscovery(t, whole, encodeList(2, false))
	setup.inspect(func(now float64, p *Program) {
		p.SetAddresses(now, listenerAddress(t, next.Listener), listenerAddress(t, setup.socketRelay.Listener))
	})
	setup.awaitCall(t, "takes s-3 out, which the new list lacks", removes("s-3")).accept(t)
	setup.eventually(t, "the new watch stands", func(p *Program) bool { return len(next.paths()) == 2 && p.endpoints.CompleteVersion() == 2 })
	next.publish(encodeList(3, false, server("s-2", discovery.Draining)) + "\n")
	setup.awaitCall(t, "takes s-2 out", removes("s-2")).accept(t)
}

func TestProxyLeavesAndJoinsDuringACall(t *testing.T) {
	setup := startOnSockets(t)
	setup.join(2)
	out := setup.awaitCall(t, "binds proxy 2", func(c receivedCall) bool { return slices.Contains(c.assignedProxies(), 2) })
	setup.broadcast(`{"jsonrpc":"2.0","method":"detach","params":{"sidecar":2}}`)
	setup.eventually(t, "it has left", func(p *Program) bool { return !p.proxies.Contains(2) })
	setup.broadcast(joinLine(2))
	setup.eventually(t, "it has joined again", func(p *Program) bool { return p.proxies.Contains(2) })
	_ = out.conn.Close() // and what became of the call is not known
	bound := 0
	for range 5 {
		c := setup.nextCall(t)
		if bound += len(c.assignedProxies()); bound > 0 {
			c.accept(t)
			break
		}
		c.accept(t)
	}
	if bound != 1 {
		t.Errorf("it is bound %d times", bound)
	}
	setup.expectNoCall(t, "it is bound once more", func(c receivedCall) bool { return len(c.assignedProxies()) > 0 })
}

func TestNewerCommandsWaitBehindIndeterminateCall(t *testing.T) {
	setup := startOnSockets(t)
	setup.drain("s-3")
	out := setup.awaitCall(t, "takes s-3 out", removes("s-3"))
	setup.join(2)
	setup.drain("s-2")
	setup.eventually(t, "the newer is known", func(p *Program) bool { return p.proxies.Contains(2) && p.endpoints.CompleteVersion() == 7 })
	out.respond(t, `{"jsonrpc":"2.0","id":%d,"result":{"accepted":"all"}}`, out.id)
	bound, gone := false, map[string]bool{}
	for !bound || !gone["s-2"] || !gone["s-3"] {
		c := setup.nextCall(t)
		for id, v := range c.weights() {
			if gone[id] && v > 0 {
				t.Errorf("%s, which drains, is back in the table", id)
			}
			gone[id] = gone[id] || v == 0
		}
		bound = bound || slices.Contains(c.assignedProxies(), 2)
		c.accept(t)
	}
}

func TestMessagesInPiecesAndInBulk(t *testing.T) {
	setup := startOnSockets(t)
	c, err := net.Dial("tcp", setup.listen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	report := resp.Append(nil, "upstream_stats", "az", "a", "host", "s-1", "n", "12", "bad", "3", "avg", "41.7", "window", "1000.0")
	for _, b := range append(resp.Append(nil, "telemetry", "az", "a"), report...) {
		if _, err := c.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	setup.eventually(t, "a report a byte at a time", func(p *Program) bool { return p.counts.reports == 1 })
	var many []byte
	for range 500 {
		many = append(append(many, report...), resp.Append(nil, "upstream_stats", "az", "a", "host", "nobody")...)
	}
	half := len(many)/2 + 7 // within a message
	_, _ = c.Write(many[:half])
	next := openSocketRelay(t, 1)
	setup.inspect(func(now float64, p *Program) {
		p.SetAddresses(now, listenerAddress(t, setup.socketDiscovery.Listener), listenerAddress(t, next.Listener))
	})
	_, _ = c.Write(many[half:])
	setup.eventually(t, "500 reports at once, over a hand-over", func(p *Program) bool { return p.counts.reports == 501 && p.counts.malformed == 500 })
}

func TestHalfClosedClientIsAnswered(t *testing.T) {
	setup := startOnSockets(t)
	c, err := net.Dial("tcp", setup.listen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	_, _ = c.Write(resp.Append(nil, "hb"))
	_ = c.(*net.TCPConn).CloseWrite()
	b, err := io.ReadAll(c)
	if want := string(resp.Append(nil, "hb_ok")); string(b) != want {
		t.Errorf("%q, %v", b, err)
	}
}

// The limit of a caller that has not joined, and the rest of the message that joins it, in one turn of the loop: either is right,
// but whoever is taken stays.
func TestIdentificationAtTheTimeout(t *testing.T) {
	setup := startOnSockets(t)
	c, err := net.Dial("tcp", setup.listen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	hello := resp.Append(nil, "telemetry", "az", "a")
	_, _ = c.Write(hello[:9])
	setup.eventually(t, "half a message has come", func(p *Program) bool {
		return len(p.unidentified) == 1 && p.clients[p.unidentified[0].conn] != nil && p.unidentified[0].reader.Buffered() == 9
	})
	setup.inspect(func(_ float64, p *Program) {
		x := p.unidentified[0]
		p.Receive(x.acceptedAt+identifyTimeout, x.conn, hello[9:]) // the read comes first
		p.TimerFired(x.acceptedAt+identifyTimeout+maintenanceInterval, 0)
		if !x.identified || p.clients[x.conn] != x || len(p.unidentified) != 0 {
			t.Errorf("joined %v, kept %v", x.identified, p.clients[x.conn] == x)
		}
	})
}
