package proxy

import (
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/wire/sasp"
)

const saspFlags = sasp.Push | sasp.Trust | sasp.NoChange

func (c *coordinatorClient) tickSASP(now float64) {
	if now < c.heartbeatAt {
		return
	}
	c.heartbeatAt = now + heartbeatInterval
	if c.awaiting && now-c.requestedAt > heartbeatInterval/2 && len(c.proxy.config.Coordinators) > 1 {
		c.disconnect(now, "no response")
		return
	}
	c.sendSetBalancer()
	c.awaiting = true
	c.requestedAt = now
}

func (c *coordinatorClient) send(message *sasp.Message) {
	c.messageID++
	message.ID = c.messageID
	c.proxy.io.Send(c.conn, sasp.Append(nil, message))
}

// sendSetBalancer identifies the proxy. It is the heartbeat too.
func (c *coordinatorClient) sendSetBalancer() {
	c.send(&sasp.Message{Kind: sasp.SetBalancer, UID: []byte(c.proxy.config.UID), Flags: saspFlags})
}

// register identifies the proxy, and registers the servers that it holds as the members of its groups.
func (c *coordinatorClient) register() {
	c.sendSetBalancer()
	registration := &sasp.Message{Kind: sasp.Registration, LB: sasp.FromBalancer}
	for class, name := range c.proxy.config.Forwarding.ClassNames {
		group := sasp.Group{UID: []byte(c.proxy.config.UID), Name: []byte(name), From: len(registration.Rows)}
		for _, entry := range c.proxy.Core.Tables.Table(balancer.Class(class)).Entries() {
			address, err := netip.ParseAddrPort(string(entry.Server))
			if err == nil {
				registration.Rows = append(registration.Rows, sasp.Row{Address: sasp.AddressOf(address)})
			}
		}
		group.To = len(registration.Rows)
		registration.Groups = append(registration.Groups, group)
	}
	c.send(registration)
}

func (c *coordinatorClient) readMessages(now float64) {
	id := c.conn
	for c.conn == id {
		length, err := sasp.Frame(c.received, sasp.MaxMessageBytes)
		if err == nil && length > 0 {
			err = sasp.Decode(c.received[:length], &c.message)
		}
		if err != nil {
			c.disconnect(now, err.Error())
			return
		}
		if length == 0 {
			return
		}
		c.handleMessage(now, &c.message)
		if c.conn == id {
			c.received = append(c.received[:0], c.received[length:]...)
		}
	}
}

func (c *coordinatorClient) handleMessage(now float64, message *sasp.Message) {
	switch message.Kind {
	case sasp.SetBalancerReply:
		c.awaiting = false
		if c.joined {
			c.proxy.Core.Tables.MarkCurrent(now)
		}
	case sasp.RegistrationReply:
		if message.Code != sasp.OK {
			c.disconnect(now, message.Code.String())
			return
		}
		c.join(now)
	case sasp.SendWeights:
		c.applyWeights(now, message)
	}
}

// applyWeights applies the groups in the order in which they come: servers are added before others are removed, so that no table is
// empty meanwhile.
func (c *coordinatorClient) applyWeights(now float64, message *sasp.Message) {
	var left []balancer.Server
	for _, group := range message.Groups {
		name := string(group.Name)
		uid := string(group.UID)
		removed, err := c.proxy.Core.Tables.ApplyRows(now, name, message.Rows[group.From:group.To], saspsession.ServerID)
		if err != nil || uid != c.proxy.config.UID {
			c.proxy.config.Log("weights rejected", "group", name, "uid", uid, "error", err)
			continue
		}
		left = append(left, removed...)
	}
	c.proxy.tablesChanged(now, len(message.Rows), left)
}
