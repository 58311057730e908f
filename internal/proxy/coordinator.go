package proxy

import (
	"net/netip"

	"snowquay/internal/env"
	"snowquay/internal/wire/sasp"
)

const (
	redialInterval    = 1.0 // seconds between dials, divided by the number of coordinators; the delay is jittered
	minRedialFactor   = 0.3 // smallest fraction of redialInterval; the jitter adds up to 1
	heartbeatInterval = 1.0 // seconds between SASP heartbeats; the response timeouts derive from it
)

// coordinatorClient maintains the connection to the coordinator that owns the proxy. It uses the long-poll API or SASP.
type coordinatorClient struct {
	proxy            *Proxy
	conn             env.Conn // 0: none
	connected        bool
	joined           bool // the coordinator has accepted the proxy
	index            int  // index in Config.Coordinators of the current coordinator, or of the next one to dial
	nextDialAt       float64
	received         []byte
	awaitingResponse bool    // whether the latest poll or heartbeat has no response yet
	requestSentAt    float64 // when the latest poll or heartbeat was sent
	nextPollAt       float64 // long-poll API: earliest time of the next poll
	nextHeartbeatAt  float64 // SASP: time of the next heartbeat
	messageID        uint32  // SASP: ID of the latest message that was sent
	message          sasp.Message
}

// start dials a randomly chosen coordinator, if any is configured.
func (c *coordinatorClient) start(now float64, p *Proxy) {
	c.proxy = p
	coordinators := len(p.config.Coordinators)
	if coordinators > 0 {
		c.index = int(p.random.Float() * float64(coordinators))
		c.dial(now)
	}
}

// address returns the address of the current coordinator, or of the next one to dial. It is the zero value if none is configured.
func (c *coordinatorClient) address() netip.AddrPort {
	if len(c.proxy.config.Coordinators) == 0 {
		return netip.AddrPort{}
	}
	return c.proxy.config.Coordinators[c.index]
}

func (c *coordinatorClient) dial(now float64) {
	c.conn = c.proxy.io.Dial(c.address())
	c.connected = false
	c.received = nil
	c.awaitingResponse = false
	c.requestSentAt = now
}

// disconnect closes the connection and schedules a dial of the next coordinator.
func (c *coordinatorClient) disconnect(now float64, reason string) {
	if c.conn != 0 {
		c.proxy.io.Close(c.conn)
	}
	c.disconnected(now, reason)
}

// disconnected handles the end of the connection and schedules a dial of the next coordinator.
func (c *coordinatorClient) disconnected(now float64, reason string) {
	if c.joined {
		c.proxy.config.Log("coordinator lost", "address", c.address(), "reason", reason, "table_age_seconds", c.proxy.Core.Tables.Age(now))
	}
	c.conn = 0
	c.connected = false
	c.awaitingResponse = false
	c.markLeft(now)
	coordinators := len(c.proxy.config.Coordinators)
	c.nextDialAt = now + redialInterval*(minRedialFactor+c.proxy.random.Float())/float64(coordinators)
	c.index = (c.index + 1) % coordinators
}

// markLeft records that the current coordinator no longer accepts the proxy or is disconnected.
func (c *coordinatorClient) markLeft(now float64) {
	if c.joined && c.proxy.config.Observer != nil {
		c.proxy.config.Observer.Left(now)
	}
	c.joined = false
}

// markJoined records that the current coordinator has accepted the proxy.
func (c *coordinatorClient) markJoined(now float64) {
	if c.joined {
		return
	}
	c.joined = true
	if c.proxy.config.Observer != nil {
		c.proxy.config.Observer.Joined(now)
		c.proxy.config.Observer.TableChanged(now, -1, c.proxy.classesWithServers())
	}
}

// handleConnected handles the result of a dial of a coordinator. It returns false if the connection is a different one.
func (c *coordinatorClient) handleConnected(now float64, id env.Conn, ok bool) bool {
	if id != c.conn || id == 0 {
		return false
	}
	if !ok {
		c.disconnected(now, "cannot connect")
		return true
	}
	c.connected = true
	c.nextHeartbeatAt = now + heartbeatInterval
	c.nextPollAt = now
	if c.proxy.config.SASP {
		c.register()
		return true
	}
	c.poll(now)
	return true
}

func (c *coordinatorClient) handleClosed(now float64, id env.Conn) {
	if id == c.conn && id != 0 {
		c.disconnected(now, "connection closed")
	}
}

func (c *coordinatorClient) receive(now float64, id env.Conn, data []byte) {
	if id != c.conn || id == 0 {
		return
	}
	c.received = append(c.received, data...)
	if c.proxy.config.SASP {
		c.readMessages(now)
		return
	}
	c.readResponses(now)
}

// tick dials, polls or sends heartbeats when they are due. It disconnects from a coordinator that does not respond, because the
// connection to a paused coordinator stays open.
func (c *coordinatorClient) tick(now float64) {
	if len(c.proxy.config.Coordinators) == 0 {
		return
	}
	if c.conn == 0 {
		if now >= c.nextDialAt {
			c.dial(now)
		}
		return
	}
	if !c.connected {
		return
	}
	if c.proxy.config.SASP {
		c.tickSASP(now)
		return
	}
	c.tickLongPoll(now)
}
