package proxy

import (
	"net/netip"

	"snowquay/internal/env"
	"snowquay/internal/wire/sasp"
)

const (
	redialInterval    = 1.0 // seconds until the next coordinator is dialled, divided by their number; the wait is jittered
	minRedialFactor   = 0.3 // of redialInterval; the jitter adds up to 1
	heartbeatInterval = 1.0 // seconds
)

// coordinatorClient is the connection to the coordinator that owns the proxy, by the long-poll API or SASP.
type coordinatorClient struct {
	proxy       *Proxy
	conn        env.Conn // 0: none
	connected   bool
	joined      bool // the coordinator has accepted the proxy
	index       int  // of the current coordinator, or of the next one
	dialAt      float64
	received    []byte
	awaiting    bool    // a response to the latest poll or heartbeat
	requestedAt float64 // when that was sent
	pollAt      float64 // long-poll API: no poll before
	heartbeatAt float64 // SASP: when the next heartbeat is due
	messageID   uint32  // SASP: of the latest message
	message     sasp.Message
}

func (c *coordinatorClient) start(now float64, p *Proxy) {
	c.proxy = p
	coordinators := len(p.config.Coordinators)
	if coordinators > 0 {
		c.index = int(p.random.Float() * float64(coordinators))
		c.dial(now)
	}
}

// address of the current coordinator, or of the next one; the zero value if there is none.
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
	c.awaiting = false
	c.requestedAt = now
}

// disconnect closes the connection; the next coordinator is dialled after a wait.
func (c *coordinatorClient) disconnect(now float64, reason string) {
	if c.conn != 0 {
		c.proxy.io.Close(c.conn)
	}
	c.disconnected(now, reason)
}

func (c *coordinatorClient) disconnected(now float64, reason string) {
	if c.joined {
		c.proxy.config.Log("coordinator lost", "address", c.address(), "reason", reason, "table_age_seconds", c.proxy.Core.Tables.Age(now))
	}
	c.conn = 0
	c.connected = false
	c.awaiting = false
	c.leave(now)
	coordinators := len(c.proxy.config.Coordinators)
	c.dialAt = now + redialInterval*(minRedialFactor+c.proxy.random.Float())/float64(coordinators)
	c.index = (c.index + 1) % coordinators
}

func (c *coordinatorClient) leave(now float64) {
	if c.joined && c.proxy.config.Observer != nil {
		c.proxy.config.Observer.Left(now)
	}
	c.joined = false
}

func (c *coordinatorClient) join(now float64) {
	if c.joined {
		return
	}
	c.joined = true
	if c.proxy.config.Observer != nil {
		c.proxy.config.Observer.Joined(now)
		c.proxy.config.Observer.TableChanged(now, -1, c.proxy.classesWithServers())
	}
}

// handleConnected reports whether the connection is the coordinator's.
func (c *coordinatorClient) handleConnected(now float64, id env.Conn, ok bool) bool {
	if id != c.conn || id == 0 {
		return false
	}
	if !ok {
		c.disconnected(now, "cannot connect")
		return true
	}
	c.connected = true
	c.heartbeatAt = now + heartbeatInterval
	c.pollAt = now
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

// tick dials, polls or sends heartbeats when they are due. It disconnects from a coordinator that does not respond, since the
// connection to one that is paused stays open.
func (c *coordinatorClient) tick(now float64) {
	if len(c.proxy.config.Coordinators) == 0 {
		return
	}
	if c.conn == 0 {
		if now >= c.dialAt {
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
