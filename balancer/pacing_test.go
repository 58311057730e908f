package balancer

import (
	"fmt"
	"testing"
)

// Guards against a channel that is slower than promised, and a queue that grows without notice.
func TestSlowChannelIsNoticed(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	for range 6 {
		h.reconcile(h.now+1, Events{ProxyEvents: []ProxyEvent{joined(3, 5)}})
		if len(h.ackIDs) > 0 {
			ack := Ack{Proxy: 3, ID: h.ackIDs[len(h.ackIDs)-1], Latency: 3}
			h.reconcile(h.now+4, Events{Acks: []Ack{ack}})
		}
	}
	if got := h.balancer.channel.relativePace; got > 0.5 {
		t.Errorf("the pace is taken to be %.2f of the promised one", got)
	}
}

// Guards against a channel that becomes slow all at once: nothing shows it but acknowledgements that stay out.
func TestSlowChannelIsNotFilled(t *testing.T) {
	limits := Channel{EntriesPerSecond: 2700, MessageOverhead: 3, MaxQueued: 2700, MeanDelay: 0.4, MaxDelay: 1}
	for _, pace := range []float64{0.03, 0.04, 0.05} {
		t.Run(fmt.Sprintf("pace %.2f", pace), func(t *testing.T) { checkNotFilled(t, limits, pace) })
	}
}

// checkNotFilled plays a channel that goes at a part of the pace that it promises, without acknowledgements.
func checkNotFilled(t *testing.T, limits Channel, pace float64) {
	t.Helper()
	c := channel{Channel: limits, drainDeadline: 3, relativePace: 1}
	queued := 0.0
	lastSent := 0.0
	for now := 100.0; now < 130; now += 0.5 {
		entries := min(c.available(now, urgencyNormal), 550) // as on the day on which it was seen
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
			t.Fatalf("at %.2f %.0f entries are queued", now, queued)
		}
	}
	c.acknowledge(Ack{ID: c.lastAckID, Latency: 0.3}, lastSent)
	if got := c.available(140, urgencyNormal); got < 0.4*limits.MaxQueued {
		t.Errorf("once an acknowledgement has come in time %.0f entries are available", got)
	}
}

// Guards against a channel that is slow all at once while proxies join: the first acknowledgements of a round
// come soon and show few of the entries before them, and what is sent behind the round meanwhile waits.
func TestSlowChannelIsRecognizedByLaterAcks(t *testing.T) {
	for _, batch := range []float64{600, 1200, 2400} { // entries to a group of proxies
		for _, pace := range []float64{0.05, 0.12, 0.2, 0.4, 1} { // 0.12: as on the day on which it was seen
			t.Run(fmt.Sprintf("batch %.0f pace %.2f", batch, pace), func(t *testing.T) {
				checkSlowWhileProxiesJoin(t, batch, pace)
			})
		}
	}
}

// slowChannel carries messages one after the other, at a part of the pace that the account of it expects.
type slowChannel struct {
	account  channel
	pace     float64 // entries a second
	capacity float64 // entries that it may carry now
	queued   float64
	messages []slowMessage // in the order in which they leave
	acks     []slowAck     // in the order in which they arrive
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

// advance carries messages for some seconds, and hands the acknowledgements that arrive to the account.
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
		proxies  = 60.0 // of a group
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
			t.Fatalf("after %.2f s %.0f entries are queued", now-100, s.queued)
		}
	}
	if pace == 1 && batch == 600 && (refusedJoins > 0 || c.relativePace < 0.9) {
		t.Errorf("a channel that keeps its pace is taken to have %.2f of it; %d joins waited", c.relativePace, refusedJoins)
	}
}

// A round sent before the channel was out of reach is acknowledged after it: nothing has left meanwhile but what
// the acknowledgement shows.
func TestAckAfterStallCountsByItsLatency(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	h.reconcile(h.now+0.1, Events{ProxyEvents: []ProxyEvent{joined(40, 5), joined(41, 5)}})
	c := &h.balancer.channel
	before := c.inFlight.Outstanding()
	for range 20 {
		h.reconcile(h.now+0.25, Events{ChannelStalled: true})
	}
	if got := c.inFlight.Outstanding(); got != before {
		t.Errorf("%.0f entries are outstanding after the stall, want the %.0f of before it", got, before)
	}
	p := h.balancer.proxyByID[40]
	c.acknowledge(Ack{Proxy: p.Proxy, ID: c.lastAckID, Latency: 5.05}, p.messageSize)
	if got := c.inFlight.Outstanding(); got != p.messageSize {
		t.Errorf("%.0f entries are outstanding after one of two acknowledgements, want the %.0f of the other",
			got, p.messageSize)
	}
}

// After a restart proxies still acknowledge messages of the incarnation before: these show nothing of this one's.
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
		t.Errorf("request %d is acknowledged by %d", own, earlier)
	}
}
