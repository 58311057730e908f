package balancer

import "math"

// urgency is the priority of an update. It determines how much of the channel the update may use.
type urgency int

const (
	urgencyNormal   urgency = iota // weights and admission settings
	urgencyHigh                    // joins, and tables from which many servers are missing
	urgencyCritical                // drains, restarted servers, tables without a serving server
	urgencyDeferred                // not sent on its own, but with the next update of the table
)

// queueFractions are the fractions of MaxQueued up to which updates of each urgency may fill the channel.
// The remainder is reserved for more urgent updates, and the last tenth for a call that is delivered twice.
var queueFractions = [...]float64{
	urgencyNormal:   0.5,
	urgencyHigh:     0.7,
	urgencyCritical: 0.9,
	urgencyDeferred: 0,
}

// Updates that are not urgent wait in the balancer rather than in the channel, whose queue may hold half a
// minute of entries: a queued update cannot be overtaken or replaced, and is outdated when it arrives.
var (
	// queueSeconds is the maximum time in seconds for the channel to transmit everything that is queued.
	queueSeconds = [...]float64{urgencyNormal: 2, urgencyHigh: 5}
	// drainDeadlineFractions limit the same time to a fraction of the drain deadline, because drains are
	// queued behind other updates.
	drainDeadlineFractions = [...]float64{urgencyNormal: 0.25, urgencyHigh: 0.5}
)

const (
	// assumedDeliveryFraction is the fraction of EntriesPerSecond at which entries are assumed to be
	// delivered without an acknowledgement, because all proxies that should acknowledge them may be dead.
	assumedDeliveryFraction = 0.02
	// probeJoinAfter is the time in seconds without any message after which a joining proxy is sent its
	// tables even if the channel appears to be full. The acknowledgement shows whether the channel works.
	probeJoinAfter = 2.0
	// probeQueueFraction is the fraction of MaxQueued up to which such a probe may fill the channel.
	probeQueueFraction = 0.95
	// paceSmoothing is the weight of a single acknowledgement in the average of the relative pace. It is
	// low because individual proxies may be slow.
	paceSmoothing = 0.25
	// minDeliverySeconds prevents a division by zero in the computation of the pace.
	minDeliverySeconds = 1e-9
	// reservedMessages is the number of messages in a window that updates may not use: the message that
	// assigns a proxy its tables, and one that is delivered twice.
	reservedMessages = 2
	// drainMessageFraction is the fraction of the remaining messages in a window that is reserved for drains.
	drainMessageFraction = 0.2
	// drainBatchFraction is the fraction of the drain deadline for which drains are batched once only
	// messages that are reserved for drains are left.
	drainBatchFraction = 0.25
	// maxAckID is the largest acknowledgement ID that the wire format allows. The ID after it is 1.
	maxAckID = 65535
	// minGroupSize is the divisor that is used for a group without proxies.
	minGroupSize = 1e-3
)

// messageCost returns the cost of a message in addition to its entries: the overhead and an acknowledgement
// request.
func (c *channel) messageCost() float64 { return c.MessageOverhead + 1 }

// charge records that entries have been sent.
func (c *channel) charge(now, entries float64) {
	c.inFlight.Send(entries)
	c.lastSentAt = now
}

// available returns how many more entries updates of the given urgency may put into the channel. In a slow
// channel, normal updates are limited further to leave room for urgent ones.
func (c *channel) available(now float64, u urgency) float64 {
	c.inFlight.AssumeDelivered(assumedDeliveryFraction * c.EntriesPerSecond * (now - c.settledAt))
	c.settledAt = now
	limit := queueFractions[u] * c.MaxQueued
	if u < urgencyCritical {
		seconds := min(queueSeconds[u], drainDeadlineFractions[u]*c.drainDeadline)
		delay := c.MaxDelay + seconds // acknowledgements are delayed by the channel's own latency
		limit = min(limit, delay*c.EntriesPerSecond)
	}
	if u == urgencyNormal {
		limit *= c.relativePace
	}
	return limit - c.inFlight.Outstanding()
}

// mayAssignTables reports whether a proxy may be sent its complete tables, which take the given number of
// entries.
func (c *channel) mayAssignTables(now, entries float64) bool {
	if c.available(now, urgencyHigh) >= entries || c.inFlight.Outstanding() == 0 {
		return true
	}
	idle := now-c.lastSentAt > probeJoinAfter
	return idle && probeQueueFraction*c.MaxQueued-c.inFlight.Outstanding() >= entries
}

// acknowledge processes the acknowledgement of a message with the given number of entries. The relative
// pace is the expected delivery time divided by the actual one.
func (c *channel) acknowledge(ack Ack, entries float64) {
	outstanding, ok := c.inFlight.Acknowledge(int(ack.ID), entries)
	if !ok {
		return
	}
	expected := c.MaxDelay + outstanding/max(c.EntriesPerSecond, 1)
	pace := expected / max(ack.Latency, expected, minDeliverySeconds)
	c.relativePace += (pace - c.relativePace) * paceSmoothing
}

// maySendMessage reports whether the proxies of a group may be sent another message. Messages are spaced
// over the window, and some of them are reserved for drains. Drains are sent immediately, or batched once
// only the reserved messages are left.
func (c *channel) maySendMessage(now float64, group *proxyGroup, u urgency) bool {
	if c.MaxMessages <= 0 {
		return true
	}
	// If only one message is allowed, it is reserved for the assignment of tables.
	usable := max(c.MaxMessages-reservedMessages, min(c.MaxMessages-1, 1))
	unreserved := usable - int(math.Ceil(drainMessageFraction*float64(usable)))
	sent := group.messages.Count(now, c.MessageWindow)
	sinceLast, sentAny := group.messages.SinceLatest(now)
	if u < urgencyCritical {
		spacing := c.MessageWindow / float64(usable)
		return sent < unreserved && (!sentAny || sinceLast >= spacing)
	}
	if sent < unreserved {
		return true
	}
	return sent < usable && (!sentAny || sinceLast >= drainBatchFraction*c.drainDeadline)
}

// entryBudget returns how many entries each proxy of a group may be sent within the limits of the channel on
// entries and messages.
func (b *Balancer) entryBudget(now float64, group *proxyGroup, u urgency) int {
	startsMessage := group.messageSize == 0
	if startsMessage && !b.channel.maySendMessage(now, group, u) {
		return 0
	}
	return b.channelBudget(now, group, u)
}

// channelBudget returns how many entries each proxy of a group may be sent within the limit of the channel on
// entries only.
func (b *Balancer) channelBudget(now float64, group *proxyGroup, u urgency) int {
	entries := b.channel.available(now, u) / max(group.assignedProxies, minGroupSize)
	if group.messageSize == 0 {
		entries -= b.channel.messageCost()
	}
	return int(max(0, min(entries, math.MaxInt32)))
}
