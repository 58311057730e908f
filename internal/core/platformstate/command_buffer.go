// Package platformstate holds the state of a coordinator on the platform: the joined proxies, the listed servers and
// the commands to the relay.
//
// It does no I/O and reads no clock; times are seconds of the caller's clock. It reconciles the sources of this state
// where they disagree, and leaves every balancing decision to package balancer.
package platformstate

import (
	"snowquay/balancer"
	"snowquay/internal/wire/jsonrpc"
)

// minPendingSlack is the number of superseded commands that may always stay in the buffer before it is compacted.
const minPendingSlack = 64

// CommandBuffer coalesces commands to the relay and allows one call in flight at a time.
//
// It stores only the newest pending command of each key rather than a queue, so its size is bounded by the number of
// tables, servers and proxies. It implements those methods of balancer.CommandSink whose commands are sent to the relay.
type CommandBuffer struct {
	classes jsonrpc.ClassNames

	pending []command
	index   map[commandKey]int // position in pending of the newest command of each key

	call             []command // the commands of the call in flight
	callID           uint64
	callInFlight     bool
	malformedReplies int // number of consecutive calls that the relay rejected as malformed

	redelivered balancer.Redelivered

	Dropped uint64 // commands that the relay could not apply, or rejected as malformed
	Resends uint64 // calls sent again although the relay may have applied them
}

// NewCommandBuffer returns an empty buffer. names are the names of the request classes in the relay protocol.
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
// A call contains one request. If commands of several rounds are pending for the same call, the oldest request is kept:
// an acknowledgement proves that everything before its request has left the channel, which would not hold for every
// proxy with a newer request. A request that is sent again is replaced by the newer one, since its acknowledgement may
// be for the first transmission.
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

// Acknowledged records that a proxy has acknowledged a request. This proves that the call with the request was applied
// as a whole, as every call is: if the call has got no response, its commands up to the request are not sent again.
func (c *CommandBuffer) Acknowledged(id balancer.AckID) {
	for i := range c.call {
		if c.call[i].confirmedBy(id) {
			c.call[i].text = nil
		}
	}
	for i, waiting := range c.pending {
		if waiting.sent && waiting.text != nil && waiting.confirmedBy(id) {
			c.pending[i].text = nil
			delete(c.index, waiting.key)
		}
	}
}

// ProxyLeft drops the commands for a proxy that has left, because the relay could not apply them. Commands in the call
// in flight are excluded if it is sent again, so that they are not applied to the proxy's next connection.
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

// InFlight reports whether a call is waiting for its response.
func (c *CommandBuffer) InFlight() bool { return c.callInFlight }

// Pending returns the number of commands that have not been sent or are to be sent again.
func (c *CommandBuffer) Pending() int { return len(c.index) }

// HasRedelivered reports whether TakeRedelivered would return any table or proxy.
func (c *CommandBuffer) HasRedelivered() bool {
	return len(c.redelivered.Tables)+len(c.redelivered.Proxies) > 0
}

// TakeRedelivered returns and clears the list of commands that are scheduled to be sent again although they may have been
// applied.
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

// compact removes superseded commands from the buffer.
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

// requeueUnapplied is like requeue, for commands that are known not to have been applied.
func (c *CommandBuffer) requeueUnapplied(commands []command) {
	for i := range commands {
		commands[i].sent = false
		if commands[i].key.kind != requestAck {
			commands[i].firstAckID = 0
			commands[i].latestAckID = 0
		}
	}
	c.requeue(commands)
}

// requeue ends the call in flight and inserts the given commands of it before the pending ones. A newer pending command
// with the same key takes precedence, except that the older acknowledgement request is kept.
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
