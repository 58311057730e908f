package proxy

import (
	"container/list"
	"net/http"
)

const (
	minWaitNew       = 0.25      // seconds that a new client has for its first request even if others wait for its place
	minWaitServed    = 1.0       // seconds that a client has for each further request
	retryWithoutRoom = 1         // seconds after which a client may repeat a request that found no room
	roomShare        = 1.0 / 8   // part of Limits.MaxConnections that is made free at once
	clientShare      = 7.0 / 8.0 // part of Limits.MaxConnections that clients may take
)

// lackOfRoom counts what has been rejected for want of connections.
type lackOfRoom struct{ clients, requests int }

// waitingClients are clients without a request in flight, the one that has waited for the longest time first.
type waitingClients struct{ order *list.List }

func newWaitingClients() waitingClients { return waitingClients{order: list.New()} }

// add puts a client last.
func (w waitingClients) add(c *client) { c.waiting = w.order.PushBack(c) }

// remove removes a client if it is one of them.
func (w waitingClients) remove(c *client) {
	if c.waiting != nil {
		w.order.Remove(c.waiting)
		c.waiting = nil
	}
}

// first returns the client that has waited for the longest time, or nil if there is none.
func (w waitingClients) first() *client {
	element := w.order.Front()
	if element == nil {
		return nil
	}
	c, _ := element.Value.(*client)
	return c
}

// waitingIn returns the clients to which c belongs while it waits.
func (p *Proxy) waitingIn(c *client) waitingClients {
	if c.served {
		return p.waitingServed
	}
	return p.waitingNew
}

// awaitRequest begins the wait of a client for its next request.
func (p *Proxy) awaitRequest(now float64, c *client) {
	c.idleSince = now
	p.waitingIn(c).add(c)
}

// endWait ends the wait of a client for its next request.
func (p *Proxy) endWait(c *client) { p.waitingIn(c).remove(c) }

// closeIdleClients closes the connections that have been idle for longer than Limits.IdleTimeout.
func (p *Proxy) closeIdleClients(now float64) {
	for _, waiting := range []waitingClients{p.waitingNew, p.waitingServed} {
		for c := waiting.first(); c != nil && now-c.idleSince > p.config.Limits.IdleTimeout; c = waiting.first() {
			p.closeClient(now, c)
		}
	}
}

// HasRoom implements eventloop.ConnectionLimiter: clients leave room for connections to servers.
func (p *Proxy) HasRoom() bool {
	limit := p.config.Limits.MaxConnections
	return limit <= 0 || float64(len(p.clients)) < clientShare*float64(limit) && p.hasRoomForServer()
}

// hasRoomForServer reports whether another connection to a server may be opened.
func (p *Proxy) hasRoomForServer() bool {
	limit := p.config.Limits.MaxConnections
	return limit <= 0 || len(p.clients)+len(p.connections) < limit
}

// hasRoomForRequest reports whether a server connection can be had for another request. Without room, it closes waiting clients.
func (p *Proxy) hasRoomForRequest(now float64) bool {
	idle := len(p.connections) - len(p.attempts)
	if idle > 0 || p.hasRoomForServer() {
		return true
	}
	p.MakeRoom(now)
	return p.hasRoomForServer()
}

// MakeRoom implements eventloop.ConnectionLimiter: it closes clients that have waited for their next request for long enough, those
// first that have not sent a whole one yet.
func (p *Proxy) MakeRoom(now float64) {
	count := max(int(roomShare*float64(p.config.Limits.MaxConnections)), 1)
	count -= p.closeWaiting(now, p.waitingNew, minWaitNew, count)
	p.closeWaiting(now, p.waitingServed, minWaitServed, count)
}

// rejectWithoutRoom responds to a request for which no connection to a server can be had.
func (p *Proxy) rejectWithoutRoom(now float64, c *client) {
	p.Stats.RejectedRequests++
	p.withoutRoom.requests++
	p.respond(now, c, c.message.Method, problem(http.StatusServiceUnavailable, "too many connections are open", retryWithoutRoom))
}

// logLackOfRoom logs what has been rejected since its latest call.
func (p *Proxy) logLackOfRoom() {
	if p.withoutRoom == (lackOfRoom{}) {
		return
	}
	p.config.Log("too many connections are open", "closed_clients", p.withoutRoom.clients, "rejected_requests", p.withoutRoom.requests)
	p.withoutRoom = lackOfRoom{}
}

// closeWaiting closes up to count clients that have waited for at least minWait seconds, and returns their number. Those that have sent
// a part of their next request are told so.
func (p *Proxy) closeWaiting(now float64, waiting waitingClients, minWait float64, count int) int {
	closed := 0
	for ; closed < count; closed++ {
		c := waiting.first()
		if c == nil || now-c.idleSince < minWait {
			break
		}
		p.Stats.RejectedClients++
		p.withoutRoom.clients++
		if len(c.received) > 0 {
			p.rejectClient(now, c, problem(http.StatusServiceUnavailable, "too many connections are open", retryWithoutRoom))
			continue
		}
		p.closeClient(now, c)
	}
	return closed
}
