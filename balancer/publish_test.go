package balancer

import (
	"math"
	"testing"
)

// Guards against tables that lose servers faster than they get new ones, because joins fill the channel.
func TestRollingReleaseKeepsTablesFilled(t *testing.T) {
	s := defaultSite()
	s.dataPlane.MinConnections = 8
	s.channel.MaxMessages = 12
	h := startSettled(t, s, 24)
	for i := range 16 {
		h.reconcile(h.now+0.3, Events{
			Lists:       deltaList(Endpoint{Server: serverName(i), Zone: Zone(i % 2), Phase: Draining}),
			ProxyEvents: []ProxyEvent{joined(Proxy(100+i), 12)},
		})
		for proxy, tables := range h.assigned {
			entries := len(h.tables[tables[0]])
			if entries < 2 || h.violation != "" {
				t.Fatalf("after %d drains, proxy %d has %d entries, want at least 2; %s",
					i+1, proxy, entries, h.violation)
			}
		}
	}
}

func TestTableIsNeverEmptiedByPacing(t *testing.T) {
	h := startSettled(t, defaultSite(), 2)
	h.reconcile(h.now+0.1, Events{Lists: fullList(Endpoint{Server: serverName(0), Weight: 1})})
	h.reconcile(h.now+0.1, Events{Lists: fullList(Endpoint{Server: "new:1", Weight: 1})})
	if len(h.tables[1]) != 1 || h.tables[1]["new:1"] == 0 || h.violation != "" {
		t.Errorf("table is %v, want only the new server; %s", h.tables[1], h.violation)
	}
}

func TestDrainIsSentImmediatelyAndAppliesToJoiningProxy(t *testing.T) {
	h := startSettled(t, defaultSite(), 3)
	h.reconcile(h.now+0.1, Events{
		Lists:       deltaList(Endpoint{Server: serverName(1), Weight: 1, Phase: Draining}),
		ProxyEvents: []ProxyEvent{joined(50, 5)},
	})
	if h.tables[1][serverName(1)] != 0 || h.assigned[50][0] != 1 {
		t.Errorf("table is %v, joining proxy is assigned %v, want the drained server removed and table 1",
			h.tables[1], h.assigned[50])
	}
}

// Guards against overfilling a channel that is unreachable for seconds. Earlier commands and all that are issued
// in the meantime would reach it at once, while the balancer would assume that they have long left the channel.
func TestNothingIsPublishedWhileTheChannelIsStalled(t *testing.T) {
	s := defaultSite()
	s.dataPlane.Proxies = 40
	h := startSettled(t, s, 6)
	tenJoin := func(first int) []ProxyEvent {
		var events []ProxyEvent
		for i := range 10 {
			events = append(events, joined(Proxy(first+i), 5))
		}
		return events
	}
	h.reconcile(h.now+0.1, Events{ProxyEvents: tenJoin(10)})
	window := &h.balancer.channel.inFlight
	before := window.Outstanding()
	if before < 50 {
		t.Fatalf("ten joins take %.0f entries, want at least 50", before)
	}
	h.log = ""
	for i := range 20 {
		h.reconcile(h.now+0.25, Events{
			ChannelStalled: true,
			Lists:          deltaList(Endpoint{Server: serverName(i % 3), Phase: Draining}),
			ProxyEvents:    tenJoin(20)[:i%10],
		})
	}
	if h.log != "" || window.Outstanding() < before {
		t.Errorf("%.0f entries outstanding, %.0f before the stall; sent %q during the stall, want nothing",
			window.Outstanding(), before, h.log)
	}
	h.reconcile(h.now+0.01, Events{})
	if h.tables[1][serverName(1)] > 0 || h.assigned[20] == nil {
		t.Errorf("after the stall the table is %v and proxy 20 is assigned %v, want no drained server and a table",
			h.tables[1], h.assigned[20])
	}
}

func TestRedeliveredCommandsAreChargedAgain(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	b := h.balancer
	group := b.groups[0]
	joinSize := b.joinSize(b.proxies[0])
	before := b.channel.inFlight.Outstanding()
	messagesBefore := group.messages.Count(h.now, 10)
	b.chargeRedelivered(h.now, Redelivered{
		Tables:  []Table{1, 1, 99},
		Proxies: []Proxy{b.proxies[0].Proxy, 999},
	})
	if got := group.messages.Count(h.now, 10) - messagesBefore; got != 1 {
		t.Errorf("redelivered call counts as %d additional messages, want 1", got)
	}
	got := b.channel.inFlight.Outstanding() - before
	want := group.assignedProxies*(2+b.channel.messageCost()) + joinSize
	if group.assignedProxies < 1 || math.Abs(got-want) > 1e-9 {
		t.Errorf("charged %.0f entries for two weights to %.0f proxies and a join, want %.0f",
			got, group.assignedProxies, want)
	}
}

// Guards against a channel that is considered full permanently. Commands that may be delivered twice need an
// acknowledgement request of their own, even while nothing else may be published.
func TestRedeliveredCommandsAreAcknowledged(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		h := startSettled(t, defaultSite(), 6)
		b := h.balancer
		for _, p := range b.proxies {
			b.channel.inFlight.Acknowledge(int(p.awaitedAck), b.channel.inFlight.Outstanding())
		}
		sink := &recordingSink{CommandSink: h}
		b.Reconcile(h.now+0.01, Events{
			ChannelStalled: stalled,
			Redelivered:    Redelivered{Tables: []Table{1, 1}, Proxies: []Proxy{b.proxies[0].Proxy}},
		}, sink)
		if len(sink.acks) != 1 {
			t.Fatalf("stalled %t: %d acknowledgements requested, want 1", stalled, len(sink.acks))
		}
		for _, p := range b.proxies {
			if p.awaitedAck == sink.acks[0] {
				b.acknowledge(Ack{Proxy: p.Proxy, ID: sink.acks[0], Latency: 0.1})
			}
		}
		if outstanding := b.channel.inFlight.Outstanding(); outstanding > 1e-9 {
			t.Errorf("stalled %t: %.0f entries outstanding after all proxies have acknowledged them, want none",
				stalled, outstanding)
		}
	}
}

// recordingSink records the IDs of the requested acknowledgements.
type recordingSink struct {
	CommandSink
	acks []AckID
}

func (s *recordingSink) RequestAck(id AckID) { s.acks = append(s.acks, id) }
