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
	dialTimeout       = 0.3 // then another dial is made: a lost first packet is repeated only after 1
	activationTimeout = 2.0 // for a new connection to show that it works, the dial included
	minBackoff        = 0.1 // before a connection that broke is dialled again
	maxBackoff        = 0.4 // a peer that is back is to be noticed soon
)

// maxLineBytes bounds a line of relay or discovery; the full list of 2,000 servers has a fifth of it.
const maxLineBytes = 1 << 20

var httpLimits = http1.Limits{Head: 8 << 10, Body: 1 << 20, Fields: 50}

// connection is one that the program dials to the relay or to discovery.
type connection struct {
	peer        *peer
	conn        env.Conn
	address     netip.AddrPort
	established bool
	dialledAt   float64
	heardAt     float64
	lines       lines.Reader

	// Of connections to the relay.
	source       *platformstate.Source // nil until the subscription to proxy events is confirmed
	unresponsive bool                  // a call was not answered properly, and no heartbeat has come since

	lists discoveryStream // of a connection to discovery
}

// peer is a service that the program keeps a connection to. Where the active connection is silent, or goes to
// an address that is no longer the one to use, a candidate is dialled beside it, and takes its place when it
// has shown that it works.
type peer struct {
	address   netip.AddrPort
	active    *connection
	candidate *connection
	dialAt    float64 // no dial before
	backoff   float64 // seconds
	replaceAt float64 // when the active connection is replaced although it works; 0 if it is not to be

	connected func(now float64, c *connection)
	receive   func(now float64, c *connection, b []byte)
}

// maintainPeer dials where a connection is missing, has been silent for longer than a time in seconds, or goes
// to an old address. With silence 0 a silent connection stays.
func (p *Program) maintainPeer(now float64, to *peer, silence float64) {
	if candidate := to.candidate; candidate != nil {
		age := now - candidate.dialledAt
		if age < dialTimeout || candidate.established && age < activationTimeout {
			return
		}
		p.log.Debug("connection not activated in time",
			"address", candidate.address, "standby", p.isStandby(to), "established", candidate.established)
		p.close(candidate)
		to.candidate = nil
		if candidate.established {
			p.backOff(now, to)
		}
	}
	silent := to.active != nil && silence > 0 && now-to.active.heardAt > silence
	moved := to.active != nil && to.active.address != to.address
	replace := to.replaceAt > 0 && now >= to.replaceAt
	if now >= to.dialAt && (to.active == nil || silent || moved || replace) {
		to.replaceAt = 0
		p.dial(now, to)
	}
}

// move makes a peer's next connections go to an address.
func (p *Program) move(to *peer, address netip.AddrPort) {
	to.address = address
	to.dialAt = 0
	if candidate := to.candidate; candidate != nil && candidate.address != address { // it would be waited for
		p.close(candidate)
		to.candidate = nil
	}
}

func (p *Program) dial(now float64, to *peer) {
	candidate := &connection{peer: to, address: to.address, dialledAt: now, heardAt: now}
	candidate.conn = p.io.Dial(to.address)
	p.connections[candidate.conn] = candidate
	to.candidate = candidate
	to.dialAt = now + minBackoff // so that a peer that closes each connection at once is not dialled in a loop
}

// backOff gives up a peer's candidate, and dials again after a pause.
func (p *Program) backOff(now float64, to *peer) {
	to.candidate = nil
	to.backoff = min(max(2*to.backoff, minBackoff), maxBackoff)
	to.dialAt = now + to.backoff
}

// dialled takes the end of a dial.
func (p *Program) dialled(now float64, c *connection, ok bool) {
	p.log.Debug("dialled", "address", c.address, "standby", p.isStandby(c.peer), "ok", ok, "seconds", now-c.dialledAt)
	if !ok {
		delete(p.connections, c.conn)
		p.backOff(now, c.peer)
		return
	}
	c.established = true
	c.heardAt = now
	c.peer.connected(now, c)
}

// activate puts a peer's candidate into the place of its active connection.
func (p *Program) activate(now float64, to *peer) {
	if to.active != nil {
		p.proxies.MarkReplaced(now, to.active.source)
	}
	p.retire(to.active)
	to.active = to.candidate
	to.candidate = nil
	to.backoff = 0
}

// lost takes the end of a connection.
func (p *Program) lost(now float64, c *connection) {
	delete(p.connections, c.conn)
	to := c.peer
	p.log.Debug("connection lost", "address", c.address, "standby", p.isStandby(to),
		"call_in_flight", p.commands.InFlight(), "candidate", to.candidate == c)
	if to.candidate == c {
		p.backOff(now, to)
		return
	}
	if p.relay.callOn == c {
		p.abandonCall(now)
	}
	if to.active != c {
		return
	}
	to.active = nil
	switch to {
	case &p.relay.standby:
		p.relay.standbyLostAt = now
	case &p.relay.primary:
		p.promoteStandby(now)
	}
	p.maintainPeer(now, to, 0)
}

// close closes a connection, which may be nil, and does nothing about its loss.
func (p *Program) close(c *connection) {
	if c != nil {
		delete(p.connections, c.conn)
		p.io.Close(c.conn)
	}
}

// disconnect closes a connection and handles its loss.
func (p *Program) disconnect(now float64, c *connection) {
	p.close(c)
	p.lost(now, c)
}

// isOpen reports whether a connection is neither closed nor lost.
func (p *Program) isOpen(c *connection) bool { return p.connections[c.conn] == c }

// trace logs a message that passes on a connection.
func (p *Program) trace(event string, text []byte) {
	if p.log.Enabled(context.Background(), slog.LevelDebug) {
		p.log.Debug(event, "text", string(text))
	}
}
