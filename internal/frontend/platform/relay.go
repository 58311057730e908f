package platform

import (
	"snowquay/balancer"
	"snowquay/internal/core/platformstate"
	"snowquay/internal/wire/jsonrpc"
)

// Times in seconds.
const (
	relaySilence      = 1.6  // without any message until a connection counts as silent: heartbeats come every second
	standbyRedialTime = 0.15 // without a standby until calls go on the primary: a dial takes a hundredth of a second
)

// relay holds two connections to the relay, both of which deliver proxy events, so that one can take the
// other's place without a gap.
//
// The proxy registry follows the primary. Calls go on the standby, since the relay may close the connection
// that a call comes on, and on the primary where there is no standby.
type relay struct {
	primary       peer
	standby       peer
	standbyLostAt float64
	watchID       uint64 // of the newest subscription

	nextCallAt float64     // no call before
	callOn     *connection // of the call in flight
	retired    *connection // callOn, if it has been replaced and stays open for the response
	callSentAt float64
	stalled    bool // the balancer was told last that commands do not reach the channel
}

func (p *Program) isStandby(to *peer) bool { return to == &p.relay.standby }

// maintainRelay keeps both connections alive and ends overdue snapshots of proxies.
func (p *Program) maintainRelay(now float64) {
	r := &p.relay
	for _, to := range []*peer{&r.primary, &r.standby} {
		p.maintainPeer(now, to, relaySilence)
		if to.active != nil {
			p.proxies.ExpireSnapshot(now, to.active.source, &p.events)
		}
	}
	if r.primary.active != nil && now-r.primary.active.heardAt > relaySilence {
		p.promoteStandby(now)
	}
}

// promoteStandby makes the standby the primary, if its snapshot is complete and it is alive.
func (p *Program) promoteStandby(now float64) {
	r := &p.relay
	standby := r.standby.active
	if standby == nil || !standby.source.Complete(now) {
		return
	}
	p.retire(r.primary.active)
	standby.peer = &r.primary
	r.primary.active = standby
	r.standby.active = nil
	r.standbyLostAt = now
	p.proxies.SwitchSource(now, standby.source, &p.events)
	p.maintainPeer(now, &r.standby, 0)
}

// subscribe requests proxy events on a new connection.
func (p *Program) subscribe(_ float64, c *connection) {
	p.relay.watchID++
	p.io.Send(c.conn, jsonrpc.AppendWatch(nil, p.relay.watchID))
}

// subscribed takes the confirmation that proxy events will come on a connection.
func (p *Program) subscribed(now float64, c *connection) {
	c.source = platformstate.NewSource(now)
	p.activate(now, c.peer)
	if c.peer == &p.relay.primary {
		p.proxies.SwitchSource(now, c.source, &p.events)
	}
}

func (p *Program) receiveRelay(now float64, c *connection, b []byte) {
	err := c.lines.Read(b, maxLineBytes, func(line []byte) {
		p.trace("relay message", line)
		message, err := jsonrpc.Parse(line)
		if event, ok := message.(*jsonrpc.Event); err == nil && ok {
			p.handleEvent(now, c, event)
			return
		}
		response, _ := message.(*jsonrpc.Response)
		p.handleResponse(now, c, response)
	})
	if err != nil && p.isOpen(c) {
		p.disconnect(now, c)
	}
}

// handleResponse takes a response, or nil for a line that cannot be read: it may have been one.
func (p *Program) handleResponse(now float64, c *connection, response *jsonrpc.Response) {
	switch {
	case c.source == nil && response != nil && response.Err == nil:
		p.subscribed(now, c)
	case c == p.relay.callOn:
		p.finishCall(now, response)
	default:
		p.counts.malformed++
	}
}

// handleEvent takes a proxy event of a subscribed connection.
func (p *Program) handleEvent(now float64, on *connection, event *jsonrpc.Event) {
	if on.source == nil || !p.isOpen(on) {
		return
	}
	p.proxies.Touch(now, on.source)
	if event.Kind == jsonrpc.Heartbeat {
		on.unresponsive = false
		p.proxies.EndSnapshot(now, on.source, &p.events)
		return
	}
	if event.Proxy < 0 || event.Proxy >= p.deployment.DataPlane.Proxies {
		p.counts.malformed++
		return
	}
	switch event.Kind {
	case jsonrpc.ProxyJoined:
		p.proxyJoined(now, on, event)
	case jsonrpc.ProxyLeft:
		p.proxies.ProxyLeft(on.source, balancer.Proxy(event.Proxy), &p.events)
	case jsonrpc.CommandsAcknowledged:
		p.acknowledged(now, on, event)
	}
}

func (p *Program) proxyJoined(now float64, c *connection, event *jsonrpc.Event) {
	zone := p.zone(event.Zone)
	if event.Incomplete || zone < 0 {
		p.counts.malformed++
		return
	}
	p.proxies.ProxyJoined(now, c.source, balancer.ProxyEvent{
		Proxy:        balancer.Proxy(event.Proxy),
		Zone:         zone,
		ExpectedRate: event.ExpectedRate,
		DefaultTable: event.DefaultTable,
	}, &p.events)
}

// acknowledged takes an acknowledgement. Both connections deliver it; the one of the primary counts.
func (p *Program) acknowledged(now float64, c *connection, event *jsonrpc.Event) {
	if event.Incomplete {
		p.counts.malformed++
		return
	}
	p.commands.Acknowledged(balancer.AckID(event.AckID))
	if c != p.relay.primary.active {
		return
	}
	p.events.Acks = append(p.events.Acks, balancer.Ack{
		Proxy:   balancer.Proxy(event.Proxy),
		ID:      balancer.AckID(event.AckID),
		Latency: event.Latency,
	})
	p.scheduleRound(now)
}
