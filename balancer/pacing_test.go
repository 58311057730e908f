package balancer

import (
	"fmt"
	"testing"
)

// Guards against a queue that grows undetected because the channel is slower than its configured rate.
func TestSlowChannelIsDetected(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	for range 6 {
		h.reconcile(h.now+1, Events{ProxyEvents: []ProxyEvent{joined(3, 5)}})
		if len(h.ackIDs) > 0 {
			ack := Ack{Proxy: 3, ID: h.ackIDs[len(h.ackIDs)-1], Latency: 3}
			h.reconcile(h.now+4, Events{Acks: []Ack{ack}})
		}
	}
	if got := h.balancer.channel.relativePace; got > 0.5 {
		t.Errorf("relative pace is estimated as %.2f, want at most 0.5", got)
	}
}

// Guards against overfilling a channel that slows down suddenly. The only sign is that acknowledgements are
// missing.
func TestSuddenlySlowChannelIsNotOverfilled(t *testing.T) {
	limits := Channel{EntriesPerSecond: 2700, MessageOverhead: 3, MaxQueued: 2700, MeanDelay: 0.4, MaxDelay: 1}
	for _, pace := range []float64{0.03, 0.04, 0.05} {
		t.Run(fmt.Sprintf("pace %.2f", pace), func(t *testing.T) { checkNotFilled(t, limits, pace) })
	}
}

// checkNotFilled simulates a channel that runs at a fraction of its configured rate, without acknowledgements.
func checkNotFilled(t *testing.T, limits Channel, pace float64) {
	t.Helper()
	c := channel{Channel: limits, drainDeadline: 3, relativePace: 1}
	queued := 0.0
	lastSent := 0.0
	for now := 100.0; now < 130; now += 0.5 {
		entries := min(c.available(now, urgencyNormal), 550) // 550 as in the incident that was observed
		if entries < 100 {
			entries = 0
		}
		c.charge(now, entries)
		if entries > 0 {
			lastSent = entries
			c.lastAckID++
			c.inFlight.MarkBatch(int(c.lastAckID), entries)
		}
		queued = max(0, queued-0.5*pace*limits.EntriesPerSecond) + entries
		if queued > limits.MaxQueued {
			t.Fatalf("at %.2f s, %.0f entries are queued, more than allowed", now, queued)
		}
	}
	c.acknowledge(Ack{ID: c.lastAckID, Latency: 0.3}, lastSent)
	if got := c.available(140, urgencyNormal); got < 0.4*limits.MaxQueued {
		t.Errorf("%.0f entries are available after a timely acknowledgement, want at least 0.4 of the maximum", got)
	}
}

// Guards against overfilling a channel that is suddenly slow while proxies join. The first acknowledgements of a
// round arrive early and prove delivery of only a few entries before them, while entries that are sent after the
// round are still queued.
func TestSlowChannelIsRecognizedByLaterAcks(t *testing.T) {
	for _, batch := range []float64{600, 1200, 2400} { // entries per update of a proxy group
		for _, pace := range []float64{0.05, 0.12, 0.2, 0.4, 1} { // 0.12 as in the incident that was observed
			t.Run(fmt.Sprintf("batch %.0f pace %.2f", batch, pace), func(t *testing.T) {
				checkSlowWhileProxiesJoin(t, batch, pace)
			})
		}
	}
}

// slowChannel transmits messages in order, at a fraction of the rate that the channel accounting expects.
type slowChannel struct {
	account  channel
	pace     float64 // entries per second
	capacity float64 // entries that may be transmitted now
	queued   float64
	messages []slowMessage // in the order of transmission
	acks     []slowAck     // in the order of arrival
}

type slowMessage struct {
	entries float64
	ackID   AckID
	sentAt  float64
}

type slowAck struct {
	arrivesAt float64
	ack       Ack
	entries   float64
}

func (s *slowChannel) send(message slowMessage) {
	s.messages = append(s.messages, message)
	s.queued += message.entries
}

// advance transmits messages for the given number of seconds, and passes the acknowledgements that arrive to the
// channel accounting.
func (s *slowChannel) advance(now, seconds float64) {
	delay := s.account.MeanDelay
	s.capacity += seconds * s.pace
	for len(s.messages) > 0 && s.messages[0].entries <= s.capacity {
		message := s.messages[0]
		s.messages = s.messages[1:]
		s.capacity -= message.entries
		s.queued -= message.entries
		s.acks = append(s.acks, slowAck{
			arrivesAt: now + 2*delay,
			ack:       Ack{ID: message.ackID, Latency: now + delay - message.sentAt},
			entries:   message.entries,
		})
	}
	if len(s.messages) == 0 {
		s.capacity = 0
	}
	for len(s.acks) > 0 && s.acks[0].arrivesAt <= now {
		s.account.acknowledge(s.acks[0].ack, s.acks[0].entries)
		s.acks = s.acks[1:]
	}
}

func checkSlowWhileProxiesJoin(t *testing.T, batch, pace float64) {
	t.Helper()
	const (
		tick     = 0.05
		joinSize = 25.0
		proxies  = 60.0 // number of proxies in a group
	)
	limits := Channel{EntriesPerSecond: 1500, MessageOverhead: 3, MaxQueued: 4400, MeanDelay: 0.3, MaxDelay: 1}
	s := &slowChannel{
		account: channel{Channel: limits, drainDeadline: 4, relativePace: 1},
		pace:    pace * limits.EntriesPerSecond,
	}
	c := &s.account
	refusedJoins := 0
	for i := range 600 {
		now := 100 + float64(i)*tick
		s.advance(now, tick)
		id := c.lastAckID + 1
		sent := 0.0
		entries := min(c.available(now, urgencyNormal), batch)
		if i%10 == 0 && entries > 100 {
			c.charge(now, entries)
			sent += entries
			for range int(proxies) {
				s.send(slowMessage{entries: entries / proxies, ackID: id, sentAt: now})
			}
		}
		if c.mayAssignTables(now, joinSize) {
			c.charge(now, joinSize)
			sent += joinSize
			s.send(slowMessage{entries: joinSize, ackID: id, sentAt: now})
		} else {
			refusedJoins++
		}
		if sent > 0 {
			c.lastAckID = id
			c.inFlight.MarkBatch(int(id), sent)
		}
		if s.queued > limits.MaxQueued {
			t.Fatalf("after %.2f s, %.0f entries are queued, more than allowed", now-100, s.queued)
		}
	}
	if pace == 1 && batch == 600 && (refusedJoins > 0 || c.relativePace < 0.9) {
		t.Errorf("relative pace of a channel at its full rate is estimated as %.2f; %d joins had to wait, want none",
			c.relativePace, refusedJoins)
	}
}

// If a round is sent before a stall and acknowledged after it, the acknowledged entries are the only ones known to
// have left the channel in the meantime.
func TestAckAfterStallCountsByItsLatency(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	h.reconcile(h.now+0.1, Events{ProxyEvents: []ProxyEvent{joined(40, 5), joined(41, 5)}})
	c := &h.balancer.channel
	before := c.inFlight.Outstanding()
	for range 20 {
		h.reconcile(h.now+0.25, Events{ChannelStalled: true})
	}
	if got := c.inFlight.Outstanding(); got != before {
		t.Errorf("%.0f entries are outstanding after the stall, want %.0f as before it", got, before)
	}
	p := h.balancer.proxyByID[40]
	c.acknowledge(Ack{Proxy: p.Proxy, ID: c.lastAckID, Latency: 5.05}, p.messageSize)
	if got := c.inFlight.Outstanding(); got != p.messageSize {
		t.Errorf("%.0f entries are outstanding after one of two acknowledgements, want %.0f for the other",
			got, p.messageSize)
	}
}

// After a restart, proxies still acknowledge messages of the previous incarnation. These acknowledgements prove
// nothing about messages of the current one.
func TestAcksOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	start := func(seed uint64) *harness {
		h := defaultSite().startWithSeed(seed)
		h.listAndJoin(4)
		if len(h.ackIDs) == 0 || h.balancer.channel.inFlight.Outstanding() == 0 {
			t.Fatal("no acknowledgement was requested")
		}
		return h
	}
	earlier := start(0x8c1f30d27a5be964).balancer.channel.lastAckID
	h := start(0x1f30d27a5be9648c)
	c := &h.balancer.channel
	before := c.inFlight.Outstanding()
	own := c.lastAckID
	h.reconcile(h.now+0.01, Events{Acks: []Ack{{Proxy: 1, ID: earlier, Latency: 9}}})
	if c.inFlight.Outstanding() < before-1 || c.relativePace < 1 {
		t.Errorf("acknowledgement request %d is acknowledged by the earlier ID %d", own, earlier)
	}
}
