package platformstate

import (
	"slices"

	"snowquay/internal/wire/jsonrpc"
)

const (
	callOverhead        = 128 // upper bound on the bytes of a call other than its commands
	maxMalformedReplies = 3   // consecutive "malformed" rejections after which the commands of a call are dropped
)

// Outcome is the result of the call in flight.
type Outcome int

// Possible outcomes of a call.
const (
	Applied          Outcome = iota // all commands were applied
	PartiallyApplied                // one command could not be applied and was dropped; those after it are sent again
	Rejected                        // no command was applied; the call is sent again
	Indeterminate                   // it is unknown whether the call was applied as a whole or not at all; it is sent again
	Unsolicited                     // the response does not belong to the call in flight
)

// NextCall appends the next call to buffer. It returns false if a call is in flight or no command is pending.
func (c *CommandBuffer) NextCall(buffer []byte) ([]byte, bool) {
	if c.callInFlight || len(c.index) == 0 {
		return buffer, false
	}
	c.compact()
	count := c.countFitting()
	if count < len(c.pending) {
		count = c.splitPoint(count)
		if next := c.pending[count].key; next.setsTable() {
			// Other commands for the same table may be part of this call.
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

// markSent marks the commands of the call as sent and records which acknowledgement confirms them. The request in the call
// covers the commands before it. If the request is itself sent again, its acknowledgement may refer to the earlier call and
// does not confirm commands that are sent for the first time.
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

// countFitting returns how many pending commands, from the first on, fit into one call.
func (c *CommandBuffer) countFitting() int {
	size := 0
	for count, waiting := range c.pending {
		size += len(waiting.text) + 1
		if size > jsonrpc.MaxCallBytes-callOverhead {
			return count
		}
	}
	return len(c.pending)
}

// splitPoint returns how many pending commands to send if only the first fitting ones fit into a call. It splits
// between the commands for two tables or proxies, because each call is a separate message to the proxies that it
// concerns, and the number of messages is limited. It also never leaves the acknowledgement request alone in the next
// call, which would then concern no proxy.
func (c *CommandBuffer) splitPoint(fitting int) int {
	count := fitting
	if count == len(c.pending)-1 && c.pending[count].key.kind == requestAck {
		count--
	}
	for count > 0 && c.pending[count-1].key.sameTarget(c.pending[count].key) {
		count--
	}
	if count == 0 { // the commands for one table do not fit into a call
		return fitting
	}
	return count
}

// HandleResponse handles a response of the relay and returns the outcome of the call in flight. A response to a later
// call than the one in flight makes the outcome indeterminate.
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
		c.requeueUnapplied(c.call[accepted+1:])
		return PartiallyApplied
	}
	c.endCall()
	return Applied
}

// handleRejection schedules the rejected call to be sent again. After maxMalformedReplies consecutive rejections as
// malformed its commands are dropped, since retrying them forever would block all later commands.
func (c *CommandBuffer) handleRejection(err *jsonrpc.RemoteError) {
	if !err.Malformed() {
		c.malformedReplies = 0
		c.requeueUnapplied(c.call)
		return
	}
	c.malformedReplies++
	if c.malformedReplies >= maxMalformedReplies {
		c.Dropped += uint64(len(c.call))
		c.malformedReplies = 0
		c.call = nil
	}
	c.requeueUnapplied(c.call)
}

// HandleUnreadable handles a line of the relay that cannot be parsed. It may have been the response to the call in
// flight, whose outcome is then indeterminate.
func (c *CommandBuffer) HandleUnreadable() Outcome {
	if !c.callInFlight {
		return Unsolicited
	}
	c.ConnectionLost()
	return Indeterminate
}

// ConnectionLost records that the call in flight, if any, will get no response. The call may or may not have been
// applied, so it is sent again.
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
