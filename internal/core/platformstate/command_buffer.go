// Package platformstate keeps what a coordinator on the platform knows of its proxies, its servers and the
// commands to its relay.
//
// It is pure: it has no sockets and no clock; times are seconds of the caller's clock. It resolves disagreement
// between two sources, and leaves every balancing decision to package balancer.
package platformstate

import (
	"snowquay/balancer"
	"snowquay/internal/wire/jsonrpc"
)

// minPendingSlack is the number of superseded commands that may stay in the buffer before it is compacted.
const minPendingSlack = 64

// CommandBuffer coalesces commands to the relay and keeps one call in flight.
//
// Commands that are decided while a call is in flight wait as the newest state of each key, not as a queue, so
// that they cannot outgrow the tables, servers and proxies. The buffer implements the part of
// balancer.CommandSink that goes to the relay.
type CommandBuffer struct {
	classes jsonrpc.ClassNames

	pending []command
	index   map[commandKey]int // position in pending of the newest command of each key

	call             []command // of the call in flight
	callID           uint64
	callInFlight     bool
	malformedReplies int // consecutive calls that the relay rejected as malformed

	redelivered balancer.Redelivered

	Dropped uint64 // commands that the relay could not apply, or rejected as malformed
	Resends uint64 // calls sent again although the relay may have carried them out
}

// NewCommandBuffer returns an empty buffer. The relay knows the request classes by names.
func NewCommandBuffer(names jsonrpc.ClassNames) *CommandBuffer {
	return &CommandBuffer{classes: names, index: map[commandKey]int{}}
}

// SetWeight implements balancer.CommandSink.
func (c *CommandBuffer) SetWeight(t balancer.Table, s balancer.Server, weight float64) {
	key := commandKey{kind: setWeight, table: t, server: s}
	c.put(command{key: key, text: jsonrpc.AppendWeight(nil, int(t), string(s), weight)})
}

// AssignTable implements balancer.CommandSink.
func (c *CommandBuffer) AssignTable(p balancer.Proxy, t balancer.Table, classes balancer.ClassSet) {
	key := commandKey{kind: assignTable, proxy: p, classes: classes}
	c.put(command{key: key, text: c.classes.AppendAssignment(nil, int(p), int(t), uint64(classes))})
}

// SetAdmission implements balancer.CommandSink.
func (c *CommandBuffer) SetAdmission(t balancer.Table, classes balancer.ClassSet, rate float64, policy balancer.RetryPolicy) {
	key := commandKey{kind: setAdmission, table: t, classes: classes}
	c.put(command{key: key, text: c.classes.AppendAdmission(nil, int(t), uint64(classes), rate, int(policy))})
}

// RequestAck implements balancer.CommandSink. Only the proxies that the call concerns acknowledge it.
//
// A call carries one request. Where commands of several rounds wait for the same call the oldest request stays:
// an acknowledgement proves that everything before the request has left the channel, which for a newer request
// would not be true of every proxy. A request that goes again gives its place to the newer one, since its acknowledgement may be that
// of the first time.
func (c *CommandBuffer) RequestAck(id balancer.AckID) {
	request := newAckRequest(id)
	i, pending := c.index[request.key]
	switch {
	case !pending:
		c.put(request)
	case c.pending[i].sent:
		c.pending[i] = request
	}
}

// Acknowledged says that a proxy has acknowledged a request. That proves that the call with the request was carried out, whole, as calls are:
// if it has not been answered, its commands up to the request do not go again.
func (c *CommandBuffer) Acknowledged(id balancer.AckID) {
	for i := range c.call {
		if c.call[i].provedBy(id) {
			c.call[i].text = nil
		}
	}
	for i, waiting := range c.pending {
		if waiting.sent && waiting.text != nil && waiting.provedBy(id) {
			c.pending[i].text = nil
			delete(c.index, waiting.key)
		}
	}
}

// ProxyLeft drops the commands for a proxy that has left, which the relay could not apply. Those of the call in
// flight are dropped from its retry, so that they do not apply to the proxy's next connection.
func (c *CommandBuffer) ProxyLeft(p balancer.Proxy) {
	for i, waiting := range c.pending {
		if waiting.text != nil && waiting.key.assigns(p) {
			c.pending[i].text = nil
			delete(c.index, waiting.key)
		}
	}
	for i, sent := range c.call {
		if sent.key.assigns(p) {
			c.call[i].text = nil
		}
	}
}

// InFlight reports whether a call waits for its response.
func (c *CommandBuffer) InFlight() bool { return c.callInFlight }

// Pending returns the number of commands that wait for a call.
func (c *CommandBuffer) Pending() int { return len(c.index) }

// HasRedelivered reports whether TakeRedelivered has something to return.
func (c *CommandBuffer) HasRedelivered() bool {
	return len(c.redelivered.Tables)+len(c.redelivered.Proxies) > 0
}

// TakeRedelivered returns, and forgets, what has been scheduled to go again although it may have been carried
// out.
func (c *CommandBuffer) TakeRedelivered() balancer.Redelivered {
	taken := c.redelivered
	c.redelivered = balancer.Redelivered{}
	return taken
}

func (c *CommandBuffer) put(added command) {
	if i, ok := c.index[added.key]; ok {
		c.pending[i].text = nil
	}
	c.index[added.key] = len(c.pending)
	c.pending = append(c.pending, added)
	if len(c.pending) > 2*len(c.index)+minPendingSlack {
		c.compact()
	}
}

// compact removes superseded commands.
func (c *CommandBuffer) compact() {
	kept := c.pending[:0]
	for _, waiting := range c.pending {
		if waiting.text == nil {
			continue
		}
		c.index[waiting.key] = len(kept)
		kept = append(kept, waiting)
	}
	clear(c.pending[len(kept):])
	c.pending = kept
}

// requeueUnsent is requeue for commands that were surely not carried out.
func (c *CommandBuffer) requeueUnsent(commands []command) {
	for i := range commands {
		commands[i].sent = false
		if commands[i].key.kind != requestAck {
			commands[i].firstAckID = 0
			commands[i].latestAckID = 0
		}
	}
	c.requeue(commands)
}

// requeue ends the call in flight and puts commands of it before the pending ones. Newer commands of the same
// key win, except that the older request for acknowledgement stays.
func (c *CommandBuffer) requeue(commands []command) {
	all := make([]command, 0, len(commands)+len(c.pending))
	for _, sent := range commands {
		if sent.text == nil {
			continue
		}
		i, superseded := c.index[sent.key]
		if superseded && sent.key.kind == requestAck {
			c.pending[i].text = nil
			superseded = false
		}
		if !superseded {
			all = append(all, sent)
		}
	}
	for _, waiting := range c.pending {
		if waiting.text != nil {
			all = append(all, waiting)
		}
	}
	c.pending = all
	for i, waiting := range all {
		c.index[waiting.key] = i
	}
	c.endCall()
}

func (c *CommandBuffer) endCall() {
	c.call = nil
	c.callInFlight = false
}
