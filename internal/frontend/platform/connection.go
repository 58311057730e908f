package platform

import (
	"context"
	"log/slog"
	"net/netip"

	"snowquay/internal/core/platformstate"
	"snowquay/internal/env"
	"snowquay/internal/wire/http1"
	"snowquay/internal/wire/lines"
)

// Times in seconds.
const (
	dialTimeout       = 0.3 // time after which another dial is made, since a lost first packet is retransmitted only after 1
	activationTimeout = 2.0 // maximum time until a new connection is activated, including the dial
	minBackoff        = 0.1 // minimum time before a failed connection is dialled again
	maxBackoff        = 0.4 // maximum of that time; low, so that a peer that has returned is detected soon
)

// maxLineBytes bounds a line from the relay or discovery. The full list of 2,000 servers takes a fifth of it.
const maxLineBytes = 1 << 20

var httpLimits = http1.Limits{Head: 8 << 10, Body: 1 << 20, Fields: 50}

// connection is an outgoing connection to the relay or to discovery.
type connection struct {
	peer           *peer
	conn           env.Conn
	address        netip.AddrPort
	established    bool
	dialledAt      float64
	lastReceivedAt float64
	lines          lines.Reader

	// Used for connections to the relay only.
	source       *platformstate.Source // nil until the subscription to proxy events is confirmed
	unresponsive bool                  // a call got no valid response, and no heartbeat has arrived since

	lists discoveryStream // used for connections to discovery only
}

// peer is a service that the program maintains a connection to. If the active connection is silent or uses an outdated
// address, a candidate is dialled in addition and replaces it once it has proved to work.
type peer struct {
	address   netip.AddrPort
	active    *connection
	candidate *connection
	dialAt    float64 // earliest time of the next dial
	backoff   float64 // seconds
	replaceAt float64 // when to replace the active connection although it works; 0 for never

	connected func(now float64, c *connection)
	receive   func(now float64, c *connection, b []byte)
}

// maintainPeer dials a peer whose connection is missing, has received nothing for longer than maxSilence seconds, uses
// an outdated address or is due for replacement. A maxSilence of 0 disables the check for silence.
func (p *Program) maintainPeer(now float64, target *peer, maxSilence float64) {
	if candidate := target.candidate; candidate != nil {
		age := now - candidate.dialledAt
		subscribed := candidate.source != nil // it waits for the active connection, see activateSubscribed
		if age < dialTimeout || candidate.established && age < activationTimeout || subscribed {
			return
		}
		p.log.Debug("connection not activated in time",
			"address", candidate.address, "standby", p.isStandby(target), "established", candidate.established)
		p.close(candidate)
		target.candidate = nil
		if candidate.established {
			p.backOff(now, target)
		}
	}
	silent := target.active != nil && maxSilence > 0 && now-target.active.lastReceivedAt > maxSilence
	moved := target.active != nil && target.active.address != target.address
	replace := target.replaceAt > 0 && now >= target.replaceAt
	if now >= target.dialAt && (target.active == nil || silent || moved || replace) {
		target.replaceAt = 0
		p.dial(now, target)
	}
}

// changeAddress sets the address of a peer's future connections.
func (p *Program) changeAddress(target *peer, address netip.AddrPort) {
	target.address = address
	target.dialAt = 0
	if candidate := target.candidate; candidate != nil && candidate.address != address { // it would delay a dial to the new address
		p.close(candidate)
		target.candidate = nil
	}
}

func (p *Program) dial(now float64, target *peer) {
	candidate := &connection{peer: target, address: target.address, dialledAt: now, lastReceivedAt: now}
	candidate.conn = p.io.Dial(target.address)
	p.connections[candidate.conn] = candidate
	target.candidate = candidate
	target.dialAt = now + minBackoff // so that a peer that closes each connection at once is not dialled in a loop
}

// backOff drops a peer's candidate and delays the next dial.
func (p *Program) backOff(now float64, target *peer) {
	target.candidate = nil
	target.backoff = min(max(2*target.backoff, minBackoff), maxBackoff)
	target.dialAt = now + target.backoff
}

// dialFinished handles the result of a dial.
func (p *Program) dialFinished(now float64, c *connection, ok bool) {
	p.log.Debug("dialled", "address", c.address, "standby", p.isStandby(c.peer), "ok", ok, "seconds", now-c.dialledAt)
	if !ok {
		delete(p.connections, c.conn)
		p.backOff(now, c.peer)
		return
	}
	c.established = true
	c.lastReceivedAt = now
	c.peer.connected(now, c)
}

// activate replaces a peer's active connection by its candidate.
func (p *Program) activate(target *peer) {
	p.retire(target.active)
	target.active = target.candidate
	target.candidate = nil
	target.backoff = 0
}

// connectionLost handles the loss of a connection.
func (p *Program) connectionLost(now float64, c *connection) {
	delete(p.connections, c.conn)
	target := c.peer
	p.log.Debug("connection lost", "address", c.address, "standby", p.isStandby(target),
		"call_in_flight", p.commands.InFlight(), "candidate", target.candidate == c)
	if target.candidate == c {
		p.backOff(now, target)
		return
	}
	if p.relay.callConn == c {
		p.abandonCall(now)
	}
	if target.active != c {
		return
	}
	target.active = nil
	switch target {
	case &p.relay.standby:
		p.relay.standbyLostAt = now
	case &p.relay.primary:
		p.promoteStandby(now)
		p.activateSubscribed(now, target)
	}
	p.maintainPeer(now, target, 0)
}

// close closes a connection, which may be nil, without handling its loss.
func (p *Program) close(c *connection) {
	if c != nil {
		delete(p.connections, c.conn)
		p.io.Close(c.conn)
	}
}

// disconnect closes a connection and handles its loss.
func (p *Program) disconnect(now float64, c *connection) {
	p.close(c)
	p.connectionLost(now, c)
}

// isOpen reports whether a connection is neither closed nor lost.
func (p *Program) isOpen(c *connection) bool { return p.connections[c.conn] == c }

// trace logs a sent or received message at debug level.
func (p *Program) trace(event string, text []byte) {
	if p.log.Enabled(context.Background(), slog.LevelDebug) {
		p.log.Debug(event, "text", string(text))
	}
}
