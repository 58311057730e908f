package balancer

import "math"

// urgency says how much of the channel an update may use.
type urgency int

const (
	urgencyNormal   urgency = iota // weights and admission settings
	urgencyHigh                    // joins, and tables that lack much of what they want
	urgencyCritical                // drains, restarted servers, tables of which no server serves
	urgencyDeferred                // none of it, until it is the table's turn
)

// queueFractions are the parts of MaxQueued up to which updates may fill the channel. The rest of a
// less urgent kind's is for more urgent ones, and the last tenth for a call that is delivered twice.
var queueFractions = [...]float64{
	urgencyNormal:   0.5,
	urgencyHigh:     0.7,
	urgencyCritical: 0.9,
	urgencyDeferred: 0,
}

// Updates that can wait do so here, not in the channel, whose limit may be worth half a minute of its
// pace: there nothing can overtake them, and they arrive out of date.
var (
	// queueSeconds are the seconds within which all that waits in the channel has to leave it.
	queueSeconds = [...]float64{urgencyNormal: 2, urgencyHigh: 5}
	// drainDeadlineFractions are the parts of the drain deadline within which it has to, where that is
	// less: drains come behind it.
	drainDeadlineFractions = [...]float64{urgencyNormal: 0.25, urgencyHigh: 0.5}
)

const (
	// assumedDeliveryFraction is the part of EntriesPerSecond at which entries are assumed to be delivered
	// though nobody acknowledges them: all that were to may be dead.
	assumedDeliveryFraction = 0.02
	// probeJoinAfter is the time in seconds without anything sent after which a proxy that joins is sent
	// its tables all the same: its acknowledgement shows whether the channel is alive.
	probeJoinAfter = 2.0
	// probeQueueFraction is the part of MaxQueued up to which such a join may fill the channel.
	probeQueueFraction = 0.95
	// paceSmoothing is the weight of one acknowledgement in the relative pace: single proxies may be slow.
	paceSmoothing = 0.25
	// minDeliverySeconds keeps the divisor of the pace above zero.
	minDeliverySeconds = 1e-9
	// reservedMessages of MaxMessages are never planned: the one that binds a proxy, and one delivered
	// twice.
	reservedMessages = 2
	// drainMessageFraction is the part of the messages in a window that is kept for drains.
	drainMessageFraction = 0.2
	// drainBatchFraction is the part of the drain deadline for which drains are gathered into one message
	// once only the messages kept for them are left.
	drainBatchFraction = 0.25
	// maxAckID is the last ID of an acknowledgement request; they begin anew after it. The wire sets it.
	maxAckID = 65535
	// minGroupSize stands in for the number of proxies of an empty group.
	minGroupSize = 1e-3
)

// messageCost is what a message takes besides its entries: the overhead and an acknowledgement request.
func (c *channel) messageCost() float64 { return c.MessageOverhead + 1 }

// charge notes that entries have been sent.
func (c *channel) charge(now, entries float64) {
	c.inFlight.Send(entries)
	c.lastSentAt = now
}

// available is how many entries an update may still put into the channel. Normal updates leave a slow
// channel emptier, for what comes after them.
func (c *channel) available(now float64, u urgency) float64 {
	c.inFlight.AssumeDelivered(assumedDeliveryFraction * c.EntriesPerSecond * (now - c.settledAt))
	c.settledAt = now
	limit := queueFractions[u] * c.MaxQueued
	if u < urgencyCritical {
		seconds := min(queueSeconds[u], drainDeadlineFractions[u]*c.drainDeadline)
		delay := c.MaxDelay + seconds // an acknowledgement is as late as the way is long
		limit = min(limit, delay*c.EntriesPerSecond)
	}
	if u == urgencyNormal {
		limit *= c.relativePace
	}
	return limit - c.inFlight.Outstanding()
}

// mayJoin tells whether a proxy may be sent its whole tables, of so many entries.
func (c *channel) mayJoin(now, entries float64) bool {
	if c.available(now, urgencyHigh) >= entries || c.inFlight.Outstanding() == 0 {
		return true
	}
	silent := now-c.lastSentAt > probeJoinAfter
	return silent && probeQueueFraction*c.MaxQueued-c.inFlight.Outstanding() >= entries
}

// acknowledge takes the acknowledgement of a message of some entries. The relative pace is the time
// that its delivery should have taken against the time that it took.
func (c *channel) acknowledge(ack Ack, entries float64) {
	outstanding, ok := c.inFlight.Acknowledge(int(ack.ID), entries)
	if !ok {
		return
	}
	expected := c.MaxDelay + outstanding/max(c.EntriesPerSecond, 1)
	pace := expected / max(ack.Latency, expected, minDeliverySeconds)
	c.relativePace += (pace - c.relativePace) * paceSmoothing
}

// mayMessage tells whether the proxies of a group may be sent another message. Messages are spread over
// the window, so that some of it comes free at any time, and a part is kept for drains: these go at
// once, and are gathered once only that part is left.
func (c *channel) mayMessage(now float64, group *proxyGroup, u urgency) bool {
	if c.MaxMessages <= 0 {
		return true
	}
	most := max(c.MaxMessages-reservedMessages, min(c.MaxMessages-1, 1)) // a single one binds the proxy
	forAll := most - int(math.Ceil(drainMessageFraction*float64(most)))
	sent := group.messages.Count(now, c.MessageWindow)
	sinceLast, sentAny := group.messages.Since(now)
	if u < urgencyCritical {
		spacing := c.MessageWindow / float64(most)
		return sent < forAll && (!sentAny || sinceLast >= spacing)
	}
	if sent < forAll {
		return true
	}
	return sent < most && (!sentAny || sinceLast >= drainBatchFraction*c.drainDeadline)
}

// entryBudget is how many entries to each proxy of a group the channel and the limit on messages allow.
func (b *Balancer) entryBudget(now float64, group *proxyGroup, u urgency) int {
	startsMessage := group.messageSize == 0
	if startsMessage && !b.channel.mayMessage(now, group, u) {
		return 0
	}
	return b.channelBudget(now, group, u)
}

// channelBudget is how many entries to each proxy of a group the channel alone allows.
func (b *Balancer) channelBudget(now float64, group *proxyGroup, u urgency) int {
	entries := b.channel.available(now, u) / max(group.boundProxies, minGroupSize)
	if group.messageSize == 0 {
		entries -= b.channel.messageCost()
	}
	return int(max(0, min(entries, math.MaxInt32)))
}
