package coordinator

import (
	"maps"
	"slices"
)

const (
	minAgeUnidentified = 0.5     // seconds that a peer has to identify itself even if others wait for its place
	minIdlePolled      = 1.0     // seconds that a proxy has for its next poll even if others wait for its place
	roomShare          = 1.0 / 8 // part of the connection limit that is made free at once
)

// roomStep returns the number of connections that are closed at once to make room.
func roomStep(limit int) int { return max(int(roomShare*float64(limit)), 1) }

// HasRoom implements eventloop.ConnectionLimiter.
func (c *Coordinator) HasRoom() bool {
	return c.config.ConnectionLimit <= 0 || c.incomingConnections() < c.config.ConnectionLimit
}

func (c *Coordinator) incomingConnections() int {
	count, _ := c.SASP.Connections()
	return count + c.LongPoll.Connections() + c.links.incomingPeers()
}

// MakeRoom implements eventloop.ConnectionLimiter: it closes connections whose peers have not identified themselves or do not poll.
func (c *Coordinator) MakeRoom(now float64) {
	count := roomStep(c.config.ConnectionLimit)
	count -= c.closeUnidentified(now, count)
	c.links.closeUnauthenticated(now, count)
}

// closeUnidentified closes up to count connections of proxies and strangers that have not identified themselves or do not poll, and
// returns their number.
func (c *Coordinator) closeUnidentified(now float64, count int) int {
	closed := c.SASP.CloseUnidentified(now, minAgeUnidentified, count)
	return closed + c.LongPoll.CloseIdle(now, minAgeUnidentified, minIdlePolled, count-closed)
}

// HasRoom implements eventloop.ConnectionLimiter.
func (h *Host) HasRoom() bool {
	identified, unidentified, _ := h.Router.Count()
	return h.config.ConnectionLimit <= 0 || identified+unidentified+h.links.incomingPeers() < h.config.ConnectionLimit
}

// MakeRoom implements eventloop.ConnectionLimiter: it closes connections whose peers have not identified themselves or do not poll.
func (h *Host) MakeRoom(now float64) {
	count := roomStep(h.config.ConnectionLimit)
	count -= h.closeConnections(h.Router.TakeUnidentified(now, minAgeUnidentified, count))
	for _, name := range slices.Sorted(maps.Keys(h.tenants)) {
		tenant := h.running(name)
		if tenant == nil || count <= 0 {
			continue
		}
		h.call(now, tenant, func() { count -= tenant.Coordinator.closeUnidentified(now, count) })
	}
	h.links.closeUnauthenticated(now, count)
}
