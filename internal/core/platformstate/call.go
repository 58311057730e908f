package platformstate

import (
	"slices"

	"snowquay/internal/wire/jsonrpc"
)

const (
	callOverhead        = 128 // bytes of a call besides its commands, at most
	maxMalformedReplies = 3   // consecutive rejections as malformed after which the commands are dropped
)

// Outcome is what became of the call in flight.
type Outcome int

// The outcomes of a call.
const (
	Applied          Outcome = iota // all commands were applied
	PartiallyApplied                // one command could not be applied and was dropped; those after it go again
	Rejected                        // no command was applied; the call goes again
	Indeterminate                   // applied whole or not at all; the call goes again
	Unsolicited                     // the response belongs to no call in flight
)

// NextCall appends the next call to buffer. It returns false if a call is in flight or no command waits.
func (c *CommandBuffer) NextCall(buffer []byte) ([]byte, bool) {
	if c.callInFlight || len(c.index) == 0 {
		return buffer, false
	}
	c.compact()
	count := c.fitting()
	if count < len(c.pending) {
		count = c.splitPoint(count)
		if next := c.pending[count].key; next.setsTable() {
			// Other commands for the table may go with this call.
			c.redelivered.Tables = append(c.redelivered.Tables, next.table)
		}
	}
	c.call = slices.Clone(c.pending[:count])
	c.pending = slices.Clone(c.pending[count:])
	for _, sent := range c.call {
		delete(c.index, sent.key)
	}
	for i, waiting := range c.pending {
		c.index[waiting.key] = i
	}
	c.markSent()
	c.callID++
	c.callInFlight = true
	return jsonrpc.AppendApply(buffer, c.callID, joinCommands(c.call)), true
}

// markSent notes which acknowledgement proves that the commands of the call are applied: that of the request in the call, for the
// commands before it. A request that goes again may be acknowledged for the earlier call, and proves nothing of commands that
// go for the first time.
func (c *CommandBuffer) markSent() {
	request := slices.IndexFunc(c.call, func(sent command) bool { return sent.key.kind == requestAck })
	for i := range c.call {
		sent := &c.call[i]
		if i >= request || c.call[request].sent {
			continue
		}
		sent.latestAckID = c.call[request].latestAckID
		if sent.firstAckID == 0 {
			sent.firstAckID = sent.latestAckID
		}
	}
	for i := range c.call {
		c.call[i].sent = true
	}
}

func joinCommands(commands []command) []byte {
	var joined []byte
	for i, sent := range commands {
		if i > 0 {
			joined = append(joined, ',')
		}
		joined = append(joined, sent.text...)
	}
	return joined
}

// fitting returns how many of the pending commands one call can hold.
func (c *CommandBuffer) fitting() int {
	size := 0
	for count, waiting := range c.pending {
		size += len(waiting.text) + 1
		if size > jsonrpc.MaxCallBytes-callOverhead {
			return count
		}
	}
	return len(c.pending)
}

// splitPoint moves the end of a call that cannot hold all commands back to where those for another table or
// proxy begin: each call is a message of its own to the proxies that it concerns, and messages are limited. It
// does not leave the request for acknowledgement alone in the next call, which would concern no proxy.
func (c *CommandBuffer) splitPoint(fitting int) int {
	count := fitting
	if count == len(c.pending)-1 && c.pending[count].key.kind == requestAck {
		count--
	}
	for count > 0 && c.pending[count-1].key.sameTarget(c.pending[count].key) {
		count--
	}
	if count == 0 { // one table is larger than a call
		return fitting
	}
	return count
}

// HandleResponse takes a response of the relay. One to a later call than the one in flight makes that
// indeterminate.
func (c *CommandBuffer) HandleResponse(response *jsonrpc.Response) Outcome {
	if !c.callInFlight || response.ID < c.callID {
		return Unsolicited
	}
	if response.ID != c.callID {
		return c.HandleUnreadable()
	}
	if response.Err != nil {
		c.handleRejection(response.Err)
		return Rejected
	}
	accepted, ok := response.AcceptedCount()
	if !ok || accepted > len(c.call) {
		return c.HandleUnreadable()
	}
	c.malformedReplies = 0
	if accepted < len(c.call) {
		c.Dropped++
		c.requeueUnsent(c.call[accepted+1:])
		return PartiallyApplied
	}
	c.endCall()
	return Applied
}

// handleRejection sends the call again. After some rejections as malformed its commands are dropped, since
// retrying them for ever would block all later commands.
func (c *CommandBuffer) handleRejection(err *jsonrpc.RemoteError) {
	if !err.Malformed() {
		c.malformedReplies = 0
		c.requeueUnsent(c.call)
		return
	}
	c.malformedReplies++
	if c.malformedReplies >= maxMalformedReplies {
		c.Dropped += uint64(len(c.call))
		c.malformedReplies = 0
		c.call = nil
	}
	c.requeueUnsent(c.call)
}

// HandleUnreadable takes a line of the relay that cannot be read: it may have been the response to the call in
// flight.
func (c *CommandBuffer) HandleUnreadable() Outcome {
	if !c.callInFlight {
		return Unsolicited
	}
	c.ConnectionLost()
	return Indeterminate
}

// ConnectionLost says that the call in flight, if any, will get no response: it may or may not have been
// carried out.
func (c *CommandBuffer) ConnectionLost() {
	if !c.callInFlight {
		return
	}
	if slices.ContainsFunc(c.call, func(sent command) bool { return sent.text != nil }) {
		c.Resends++
	}
	for _, sent := range c.call {
		_, superseded := c.index[sent.key]
		if superseded || sent.text == nil {
			continue
		}
		switch {
		case sent.key.kind == assignTable:
			c.redelivered.Proxies = append(c.redelivered.Proxies, sent.key.proxy)
		case sent.key.setsTable():
			c.redelivered.Tables = append(c.redelivered.Tables, sent.key.table)
		}
	}
	c.requeue(c.call)
}
