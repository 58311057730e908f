// Pacing of updates: how much of the channel, and how many messages, each kind of update may use.

package balancer

import (
	"math"

	"snowquay/internal/core/inflight"
)

// urgency says how much of the channel an update may use.
type urgency int

const (
	ordinary urgency = iota // weights and levels
	pressing                // joins, and tables that lack much of what they want
	urgent                  // drains, servers that have started again, tables of which nothing serves
	waits                   // nothing, until it is the table's turn
)

// queueParts are the parts of the channel's limit up to which updates may fill it: what is left over is for
// the more urgent ones, and at last for a call that is carried twice.
var queueParts = [...]float64{ordinary: 0.5, pressing: 0.7, urgent: 0.9, waits: 0}

// Updates that can wait do so here, not in the channel: there nothing can overtake them, and they are out of
// date when they arrive, since the limit may be half a minute of the channel's pace.
var (
	// queueTimes are the seconds in which all that waits in the channel has to leave.
	queueTimes = [...]float64{ordinary: 2, pressing: 5}
	// graceParts are the parts of the grace of drains in which it has to, where that is less: drains come
	// behind it.
	graceParts = [...]float64{ordinary: 0.25, pressing: 0.5}
)

const (
	// forgiven is the part of the promised pace by which what nobody acknowledges is held to leave the channel:
	// those who were to may all be dead.
	forgiven = 0.02
	// probeAfter is the time in seconds after which, with nothing sent, a proxy that joins is sent its tables,
	// to learn by its acknowledgement whether the channel is alive; probePart of the channel's limit may then
	// be full.
	probeAfter = 2.0
	probePart  = 0.95
	// paceStep is the weight of one acknowledgement in the pace: single proxies may be slow.
	paceStep = 0.25
	// spareMessages of the limit on messages are left over: the one that binds a proxy, and one that goes twice.
	spareMessages = 2
	// drainMessages is the part of the messages of a window that is kept for drains.
	drainMessages = 0.2
	// gatherPart is the part of their grace for which drains are gathered once only those messages are left.
	gatherPart = 0.25
	// mostMark is the last number of a mark; they begin anew after it. It is the wire's.
	mostMark = 65535
)

// channel is what is known of the way to the proxies. What was written and is not acknowledged may still
// wait in it, at whatever pace it goes: that alone decides what more may be written, so that its limit is
// kept in a channel that slows all at once.
type channel struct {
	Channel
	grace  float64 // of drains, seconds
	queue  inflight.Window
	pace   float64 // of the promised one, by the latest acknowledgements
	newest AckID
	at     float64 // when unacknowledged lines were last forgiven
	sentAt float64 // when something was last written
}

// head is what a message takes besides its lines: a mark too.
func (c *channel) head() float64 { return c.MessageOverhead + 1 }

func (c *channel) charge(now, lines float64) {
	c.queue.Send(lines)
	c.sentAt = now
}

// room is how many lines an update may still put into the channel. Ordinary ones leave a slow channel
// short, for what comes after them.
func (c *channel) room(now float64, u urgency) float64 {
	c.queue.AssumeDelivered(forgiven * c.EntriesPerSecond * (now - c.at))
	c.at = now
	limit := queueParts[u] * c.MaxQueued
	if u < urgent { // acknowledgements are as late as the way is long
		seconds := c.MaxDelay + min(queueTimes[u], graceParts[u]*c.grace)
		limit = min(limit, seconds*c.EntriesPerSecond)
	}
	if u == ordinary {
		limit *= c.pace
	}
	return limit - c.queue.Outstanding()
}

// admitsJoin tells whether a proxy may be sent its whole tables. Where nothing has been sent for a while,
// one is, to learn by its acknowledgement whether the channel is alive.
func (c *channel) admitsJoin(now, lines float64) bool {
	if c.room(now, pressing) >= lines || c.queue.Outstanding() == 0 {
		return true
	}
	return now-c.sentAt > probeAfter && probePart*c.MaxQueued-c.queue.Outstanding() >= lines
}

// acknowledge takes an answer to a mark, to a message of some lines. The pace is the time that it should
// have taken against that which it took.
func (c *channel) acknowledge(a Ack, lines float64) {
	outstanding, ok := c.queue.Acknowledge(int(a.ID), lines)
	if !ok {
		return
	}
	due := c.MaxDelay + outstanding/max(c.EntriesPerSecond, 1)
	c.pace += (due/max(a.Latency, due, 1e-9) - c.pace) * paceStep
}

// mayWrite tells whether a group's proxies may be sent another message. They are spread over the window, so
// that some of its messages come free at any time, and a part of them is kept for drains; these go at once,
// and gathered once only that part is left.
func (c *channel) mayWrite(now float64, g *group, u urgency) bool {
	if c.MaxMessages <= 0 {
		return true
	}
	most := max(c.MaxMessages-spareMessages, min(c.MaxMessages-1, 1)) // where there is but one it binds
	free := most - int(math.Ceil(drainMessages*float64(most)))
	written := g.messages.Count(now, c.MessageWindow)
	since, some := g.messages.Since(now)
	if u < urgent {
		return written < free && (!some || since >= c.MessageWindow/float64(most))
	}
	return written < free || written < most && (!some || since >= gatherPart*c.grace)
}

// fit is how many lines to every proxy of a group the channel and the limit on messages still bear.
func (m *Balancer) fit(now float64, g *group, u urgency) int {
	if g.lines == 0 && !m.channel.mayWrite(now, g, u) {
		return 0
	}
	return m.lines(now, g, u)
}

// lines is how many the channel alone bears.
func (m *Balancer) lines(now float64, g *group, u urgency) int {
	lines := m.channel.room(now, u) / max(g.users, 1e-3)
	if g.lines == 0 {
		lines -= m.channel.head()
	}
	return int(max(0, min(lines, math.MaxInt32)))
}
