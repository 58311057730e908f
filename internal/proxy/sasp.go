package proxy

import (
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/wire/sasp"
)

// saspFlags are the flags in the SetBalancer messages of the proxy.
const saspFlags = sasp.Push | sasp.Trust | sasp.NoChange

// tickSASP sends a heartbeat when it is due. If there is another coordinator, it disconnects from one that has not responded to the
// previous heartbeat.
func (c *coordinatorClient) tickSASP(now float64) {
	if now < c.nextHeartbeatAt {
		return
	}
	c.nextHeartbeatAt = now + heartbeatInterval
	if c.awaitingResponse && now-c.requestSentAt > heartbeatInterval/2 && len(c.proxy.config.Coordinators) > 1 {
		c.disconnect(now, "no response")
		return
	}
	c.sendSetBalancer()
	c.awaitingResponse = true
	c.requestSentAt = now
}

// send assigns the next message ID to a message and sends it.
func (c *coordinatorClient) send(message *sasp.Message) {
	c.messageID++
	message.ID = c.messageID
	c.proxy.io.Send(c.conn, sasp.Append(nil, message))
}

// sendSetBalancer identifies the proxy to the coordinator. The message also serves as the heartbeat.
func (c *coordinatorClient) sendSetBalancer() {
	c.send(&sasp.Message{Kind: sasp.SetBalancer, UID: []byte(c.proxy.config.UID), Flags: saspFlags})
}

// register identifies the proxy, and registers the servers in its tables as the members of one group per class.
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
		c.awaitingResponse = false
		if c.joined {
			c.proxy.Core.Tables.MarkCurrent(now)
		}
	case sasp.RegistrationReply:
		if message.Code != sasp.OK {
			c.disconnect(now, message.Code.String())
			return
		}
		c.markJoined(now)
	case sasp.SendWeights:
		c.applyWeights(now, message)
	}
}

// applyWeights applies groups in the order in which they arrive: servers are added before others are removed, so that no table is empty in
// between.
func (c *coordinatorClient) applyWeights(now float64, message *sasp.Message) {
	var allRemoved []balancer.Server
	for _, group := range message.Groups {
		name := string(group.Name)
		uid := string(group.UID)
		removed, err := c.proxy.Core.Tables.ApplyRows(now, name, message.Rows[group.From:group.To], saspsession.ServerID)
		if err != nil || uid != c.proxy.config.UID {
			c.proxy.config.Log("weights rejected", "group", name, "uid", uid, "error", err)
			continue
		}
		allRemoved = append(allRemoved, removed...)
	}
	c.proxy.handleTableChange(now, len(message.Rows), allRemoved)
}
