package balancer

import (
	"math"
	"testing"
)

// Guards against tables that lose their servers faster than new ones come, while joins fill the channel.
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
				t.Fatalf("after %d drains proxy %d has %d entries; %s", i+1, proxy, entries, h.violation)
			}
		}
	}
}

func TestTableIsNeverEmptiedByPacing(t *testing.T) {
	h := startSettled(t, defaultSite(), 2)
	h.reconcile(h.now+0.1, Events{Lists: fullList(Endpoint{Server: serverName(0), Weight: 1})})
	h.reconcile(h.now+0.1, Events{Lists: fullList(Endpoint{Server: "new:1", Weight: 1})})
	if len(h.tables[1]) != 1 || h.tables[1]["new:1"] == 0 || h.violation != "" {
		t.Errorf("table %v, %s", h.tables[1], h.violation)
	}
}

func TestDrainIsSentAtOnceAndNotToLaterJoins(t *testing.T) {
	h := startSettled(t, defaultSite(), 3)
	h.reconcile(h.now+0.1, Events{
		Lists:       deltaList(Endpoint{Server: serverName(1), Weight: 1, Phase: Draining}),
		ProxyEvents: []ProxyEvent{joined(50, 5)},
	})
	if h.tables[1][serverName(1)] != 0 || h.assigned[50][0] != 1 {
		t.Errorf("table %v, late proxy assigned %v", h.tables[1], h.assigned[50])
	}
}

// Guards against a channel that is out of reach for seconds: what was sent before and all that is decided
// meanwhile would come to it at once, while the account holds that it has long left.
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
	account := &h.balancer.channel.inFlight
	before := account.Outstanding()
	if before < 50 {
		t.Fatalf("ten joins take %.0f entries", before)
	}
	h.log = ""
	for i := range 20 {
		h.reconcile(h.now+0.25, Events{
			ChannelStalled: true,
			Lists:          deltaList(Endpoint{Server: serverName(i % 3), Phase: Draining}),
			ProxyEvents:    tenJoin(20)[:i%10],
		})
	}
	if h.log != "" || account.Outstanding() < before {
		t.Errorf("%.0f entries outstanding, %.0f before; sent %q", account.Outstanding(), before, h.log)
	}
	h.reconcile(h.now+0.01, Events{})
	if h.tables[1][serverName(1)] > 0 || h.assigned[20] == nil {
		t.Errorf("then the table is %v, proxy 20 is assigned %v", h.tables[1], h.assigned[20])
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
		t.Errorf("a call that is delivered twice counts as %d messages more, want 1", got)
	}
	got := b.channel.inFlight.Outstanding() - before
	want := group.assignedProxies*(2+b.channel.messageCost()) + joinSize
	if group.assignedProxies < 1 || math.Abs(got-want) > 1e-9 {
		t.Errorf("%.0f entries for two weights to %.0f proxies and a join, want %.0f", got, group.assignedProxies, want)
	}
}

// What may be delivered twice is acknowledged by a request of its own, also while nothing else may be written: otherwise the account of the channel
// would stay full.
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
			t.Fatalf("stalled %t: %d acknowledgements are requested", stalled, len(sink.acks))
		}
		for _, p := range b.proxies {
			if p.awaitedAck == sink.acks[0] {
				b.acknowledge(Ack{Proxy: p.Proxy, ID: sink.acks[0], Latency: 0.1})
			}
		}
		if outstanding := b.channel.inFlight.Outstanding(); outstanding > 1e-9 {
			t.Errorf("stalled %t: %.0f entries are taken to wait after all proxies have acknowledged them", stalled, outstanding)
		}
	}
}

// recordingSink keeps the acknowledgements that are requested.
type recordingSink struct {
	CommandSink
	acks []AckID
}

func (s *recordingSink) RequestAck(id AckID) { s.acks = append(s.acks, id) }
