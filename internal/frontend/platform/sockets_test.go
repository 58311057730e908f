package platform

import (
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"snowquay/internal/wire/discovery"
	"snowquay/internal/wire/resp"
)

// The tests in this file run the program on loopback sockets. Each test acts as the relay and discovery, and thereby
// controls the order of concurrent events: no test relies on a sleep for the order, and every wait has a time limit.

func TestResponseOnReplacedConnectionOverSockets(t *testing.T) {
	setup := startOnSockets(t)
	setup.drain(t, "s-3")
	firstCall := setup.relay.awaitCall(t, "removes s-3", removes("s-3"))
	next := openSocketRelay(t, 1)
	setup.setAddresses(listenerAddress(t, setup.discovery.listener), listenerAddress(t, next.listener))
	setup.extendResponseTimeout() // so that the response is in time however long the test takes
	end := time.Now().Add(waitLimit)
	for next.subscriberCount() < 2 && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	setup.inspect(func(_ float64, p *Program) {
		if !p.commands.InFlight() || p.relay.retired == nil {
			t.Error("program does not wait for the response on the replaced connection")
		}
	})
	firstCall.accept(t)
	setup.eventually(t, "the response is accepted and the old connection closed", func(p *Program) bool { return !p.commands.InFlight() && p.relay.retired == nil })
	setup.inspect(func(_ float64, p *Program) {
		if p.commands.Resends != 0 {
			t.Errorf("%d calls were resent, want none", p.commands.Resends)
		}
	})
	next.expectNoCall(t, "commands are sent to the new relay too, or proxies are assigned again", func(c receivedCall) bool { return removes("s-3")(c) || assignsAny(c) })
}

func TestBothRelayConnectionsEndDuringACall(t *testing.T) {
	setup := startOnSockets(t)
	setup.drain(t, "s-3")
	setup.relay.awaitCall(t, "removes s-3", removes("s-3"))
	setup.extendResponseTimeout()
	setup.relay.closeSubscribers()
	again := setup.relay.awaitCall(t, "removes s-3 again", removes("s-3"))
	again.accept(t)
	setup.eventually(t, "the removal is known to be applied", func(p *Program) bool { return !p.commands.InFlight() && p.commands.Pending() == 0 })
	setup.inspect(func(_ float64, p *Program) {
		if p.commands.Resends != 1 || !p.proxies.Contains(1) {
			t.Errorf("%d calls were resent, want 1; proxy 1 is joined: %v, want true", p.commands.Resends, p.proxies.Contains(1))
		}
	})
}

func TestRelayClosesTheConnectionDuringACall(t *testing.T) {
	setup := startOnSockets(t)
	setup.drain(t, "s-3")
	firstCall := setup.relay.awaitCall(t, "removes s-3", removes("s-3"))
	setup.extendResponseTimeout()
	_ = firstCall.conn.Close() // as a relay does with a connection that it considers idle
	again := setup.relay.awaitCall(t, "removes s-3 again", removes("s-3"))
	if again.conn == firstCall.conn || again.id == firstCall.id {
		t.Error("call is resent on the closed connection or with the same ID")
	}
	again.accept(t)
	setup.relay.expectNoCall(t, "commands are sent a third time, or proxies are assigned again", func(c receivedCall) bool { return removes("s-3")(c) || assignsAny(c) })
}

func TestPrimaryEndsDuringTheSnapshotOfTheStandby(t *testing.T) {
	setup := startOnSockets(t)
	setup.inspect(func(now float64, p *Program) { p.disconnect(now, p.relay.standby.active) }) // another standby is dialled
	setup.eventually(t, "the standby is in its snapshot", func(p *Program) bool { return p.relay.standby.active != nil })
	setup.inspect(func(now float64, p *Program) {
		p.relay.standby.active.source.Complete(now)
		p.disconnect(now, p.relay.primary.active) // whether or not the snapshot of the standby has ended
	})
	setup.relay.join(2)
	setup.relay.awaitCall(t, "assigns proxy 2 a table", assigns(2)).accept(t)
	setup.eventually(t, "two connections", func(p *Program) bool {
		return p.relay.primary.active != nil && p.relay.standby.active != nil && p.proxies.Contains(1) && p.proxies.Contains(2)
	})
}

func TestNewAddressesDuringDials(t *testing.T) {
	setup := startOnSockets(t)
	silent := openSocketRelay(t)
	next := openSocketRelay(t, 1)
	discoveryAt := listenerAddress(t, setup.discovery.listener)
	first := listenerAddress(t, setup.relay.listener)
	second := listenerAddress(t, next.listener)
	setup.setAddresses(discoveryAt, listenerAddress(t, silent.listener))
	setup.eventually(t, "a connection to the silent relay is established", func(p *Program) bool {
		return p.relay.primary.candidate != nil && p.relay.primary.candidate.established
	})
	setup.inspect(func(now float64, p *Program) { // changed twice more in one event of the loop: to the first relay, then to the second
		p.SetAddresses(now, discoveryAt, first)
		p.SetAddresses(now, discoveryAt, second)
		if candidate := p.relay.primary.candidate; candidate == nil || candidate.address != second {
			t.Errorf("new address is not dialled immediately: %+v", candidate)
		}
	})
	setup.eventually(t, "connections to the new relay", func(p *Program) bool {
		return p.relay.primary.active != nil && p.relay.primary.active.address == second && p.relay.standby.active.address == second
	})
	setup.setAddresses(discoveryAt, first)
	setup.eventually(t, "connections to the first relay again", func(p *Program) bool {
		return p.relay.primary.active.address == first && p.relay.standby.active.address == first
	})
	setup.relay.expectNoCall(t, "proxies are assigned again", assignsAny)
}

func TestDrainInUnreadableLineIsRefetched(t *testing.T) {
	setup := startOnSockets(t)
	before := len(setup.discovery.paths())
	sinceVersion5 := encodeList(7, false, server("s-3", discovery.Draining), server("s-2", discovery.Ready))
	setup.discovery.setFirstLine(sinceVersion5)
	setup.discovery.publish(`{"version":6,"full":false,"servers":[{"id":"s-3","st` + "\n" + encodeList(7, false, server("s-2", discovery.Ready)) + "\n")
	setup.relay.awaitCall(t, "removes s-3", removes("s-3")).accept(t)
	if paths := setup.discovery.paths(); len(paths) <= before || !strings.HasSuffix(paths[len(paths)-1], "index=5") {
		t.Errorf("requested paths %q, want a new one that ends with index=5", paths)
	}
}

func TestNewDiscoveryStartsAtLowerVersion(t *testing.T) {
	setup := startOnSockets(t)
	fullList := encodeList(2, true, server("s-1", discovery.Ready), server("s-2", discovery.Ready))
	next := openSocketDiscovery(t, fullList, encodeList(2, false))
	setup.setAddresses(listenerAddress(t, next.listener), listenerAddress(t, setup.relay.listener))
	setup.relay.awaitCall(t, "removes s-3, which is absent from the new list", removes("s-3")).accept(t)
	setup.eventually(t, "the new watch has delivered its list", func(p *Program) bool { return len(next.paths()) == 2 && p.endpoints.CompleteVersion() == 2 })
	next.publish(encodeList(3, false, server("s-2", discovery.Draining)) + "\n")
	setup.relay.awaitCall(t, "removes s-2", removes("s-2")).accept(t)
}

func TestProxyLeavesAndJoinsDuringACall(t *testing.T) {
	setup := startOnSockets(t)
	setup.relay.join(2)
	firstCall := setup.relay.awaitCall(t, "assigns proxy 2 a table", assigns(2))
	setup.relay.broadcast(leaveLine(2))
	setup.eventually(t, "proxy 2 has left", func(p *Program) bool { return !p.proxies.Contains(2) })
	setup.relay.broadcast(joinLine(2, "a"))
	setup.eventually(t, "proxy 2 has joined again", func(p *Program) bool { return p.proxies.Contains(2) })
	_ = firstCall.conn.Close() // makes the outcome of the call unknown
	assignments := 0
	for range 5 {
		call := setup.relay.nextCall(t)
		assignments += len(call.assignedProxies())
		call.accept(t)
		if assignments > 0 {
			break
		}
	}
	if assignments != 1 {
		t.Errorf("proxy 2 is assigned a table %d times, want once", assignments)
	}
	setup.relay.expectNoCall(t, "proxy 2 is assigned a table once more", assignsAny)
}

func TestNewerCommandsWaitBehindIndeterminateCall(t *testing.T) {
	setup := startOnSockets(t)
	setup.drain(t, "s-3")
	firstCall := setup.relay.awaitCall(t, "removes s-3", removes("s-3"))
	setup.relay.join(2)
	setup.drain(t, "s-2")
	setup.eventually(t, "the newer events are known", func(p *Program) bool { return p.proxies.Contains(2) && p.endpoints.CompleteVersion() == 7 })
	firstCall.respond(t, `{"jsonrpc":"2.0","id":%d,"result":{"accepted":"all"}}`, firstCall.id)
	assigned := false
	removed := map[string]bool{}
	for !assigned || !removed["s-2"] || !removed["s-3"] {
		call := setup.relay.nextCall(t)
		for id, weight := range call.weights() {
			if removed[id] && weight > 0 {
				t.Errorf("draining server %s is added to the table again", id)
			}
			removed[id] = removed[id] || weight == 0
		}
		assigned = assigned || assigns(2)(call)
		call.accept(t)
	}
}

func TestMessagesInPiecesAndInBulk(t *testing.T) {
	setup := startOnSockets(t)
	conn := setup.dial(t)
	report := resp.Append(nil, "upstream_stats", "az", "a", "host", "s-1", "n", "12", "bad", "3", "avg", "41.7", "window", "1000.0")
	for _, b := range slices.Concat(hello("a"), report) {
		if _, err := conn.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	setup.eventually(t, "a report sent one byte at a time is accepted", func(p *Program) bool { return p.counts.reports == 1 })
	var many []byte
	for range 500 {
		many = slices.Concat(many, report, resp.Append(nil, "upstream_stats", "az", "a", "host", "nobody"))
	}
	half := len(many)/2 + 7 // not at the end of a message
	_, _ = conn.Write(many[:half])
	next := openSocketRelay(t, 1)
	setup.setAddresses(listenerAddress(t, setup.discovery.listener), listenerAddress(t, next.listener))
	_, _ = conn.Write(many[half:])
	setup.eventually(t, "501 reports are accepted across a change of the relay address", func(p *Program) bool { return p.counts.reports == 501 && p.counts.malformed == 500 })
}

func TestHalfClosedClientIsAnswered(t *testing.T) {
	setup := startOnSockets(t)
	conn := setup.dial(t)
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	_, _ = conn.Write(readinessCheck)
	_ = conn.CloseWrite()
	answer, err := io.ReadAll(conn)
	if string(answer) != readyResponse {
		t.Errorf("response to a half-closed client is %q, error %v; want hb_ok", answer, err)
	}
}

// The rest of a client's first message and the timeout for its identification are handled in one iteration of the event
// loop, the message first: the client is accepted, and the timeout does not disconnect it.
func TestIdentificationAtTheTimeout(t *testing.T) {
	setup := startOnSockets(t)
	conn := setup.dial(t)
	message := hello("a")
	_, _ = conn.Write(message[:9])
	setup.eventually(t, "half a message has been received", func(p *Program) bool {
		return len(p.unidentified) == 1 && p.clients[p.unidentified[0].conn] != nil && p.unidentified[0].reader.Buffered() == 9
	})
	setup.inspect(func(_ float64, p *Program) {
		late := p.unidentified[0]
		p.Receive(late.acceptedAt+identifyTimeout, late.conn, message[9:]) // the message is handled before the timeout
		p.TimerFired(late.acceptedAt+identifyTimeout+maintenanceInterval, 0)
		if !late.identified || p.clients[late.conn] != late || len(p.unidentified) != 0 {
			t.Errorf("identified: %v, still connected: %v; want true for both, and no unidentified client", late.identified, p.clients[late.conn] == late)
		}
	})
}
