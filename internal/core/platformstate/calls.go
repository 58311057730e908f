// Package platformstate is what a coordinator on the platform knows of its proxies, its servers and its relay: who is joined, what the
// relay was told and what it answered, whom to trust when two sources disagree. It is pure, and decides nothing that balancer/
// decides.
package platformstate

import (
	"snowquay/balancer"
	"snowquay/internal/wire/jsonrpc"
)

const (
	framing   = 128 // bytes of a call besides its orders, at most
	mostTried = 3   // times that a call is taken for malformed until its orders are dropped
)

// about is what an order sets; a newer one about the same makes an older one that still waits pointless.
type about struct {
	does    byte
	table   balancer.Table
	classes balancer.ClassSet
	server  balancer.Server
	proxy   balancer.Proxy
}

const (
	weighs byte = iota
	binds
	admits
	marks
)

type order struct {
	about about
	text  []byte // nil: a newer one has taken its place
}

// Outcome of a call.
type Outcome int

const (
	Applied          Outcome = iota // all orders stand
	PartiallyApplied                // the relay could not use one; it was dropped, the rest goes on
	Rejected                        // surely not carried out; it goes again
	Indeterminate                   // carried out whole or not at all; it goes again
	Unsolicited                     // an answer to no call that waits for one
)

// CommandBuffer are the orders on their way to the relay: one call at a time is out, what is decided meanwhile waits as the newest state
// of all that is ordered, not as a queue, so it can't grow beyond tables, servers and proxies. It is the balancer.CommandSink's back.
type CommandBuffer struct {
	names   jsonrpc.ClassNames
	waiting []order
	at      map[about]int // in waiting
	out     []order       // of the call that is out
	id      uint64
	flying  bool
	tried   int // times in a row that a call was taken for malformed
	resent  balancer.Redelivered

	Dropped uint64 // orders that the relay could not use, or that it took for malformed
	Resends uint64 // calls that went again though they may have been carried out
}

// NewCommandBuffer makes the way to the relay. Classes go by names on it.
func NewCommandBuffer(names jsonrpc.ClassNames) *CommandBuffer {
	return &CommandBuffer{names: names, at: map[about]int{}}
}

func (c *CommandBuffer) put(a about, text []byte) {
	if i, ok := c.at[a]; ok {
		c.waiting[i].text = nil
	}
	c.at[a] = len(c.waiting)
	c.waiting = append(c.waiting, order{a, text})
	if len(c.waiting) > 2*len(c.at)+64 { // half and more is of no use
		c.pack()
	}
}

// pack takes out what newer orders have replaced.
func (c *CommandBuffer) pack() {
	kept := c.waiting[:0]
	for _, o := range c.waiting {
		if o.text != nil {
			c.at[o.about] = len(kept)
			kept = append(kept, o)
		}
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
}

// SetWeight of balancer.CommandSink.
func (c *CommandBuffer) SetWeight(t balancer.Table, s balancer.Server, weight float64) {
	c.put(about{does: weighs, table: t, server: s}, jsonrpc.AppendWeight(nil, int(t), string(s), weight))
}

// AssignTable of balancer.CommandSink.
func (c *CommandBuffer) AssignTable(p balancer.Proxy, t balancer.Table, classes balancer.ClassSet) {
	c.put(about{does: binds, proxy: p, classes: classes}, c.names.AppendAssignment(nil, int(p), int(t), uint64(classes)))
}

// SetAdmission of balancer.CommandSink.
func (c *CommandBuffer) SetAdmission(t balancer.Table, classes balancer.ClassSet, level float64, again balancer.RetryPolicy) {
	c.put(about{does: admits, table: t, classes: classes}, c.names.AppendAdmission(nil, int(t), uint64(classes), level, int(again)))
}

// RequestAck of balancer.CommandSink. Who answers is whom the call concerns. A call carries one mark; where orders of several rounds wait for it,
// the oldest: that all before it has left the channel is true of whoever answers, of a newer one it would not be.
func (c *CommandBuffer) RequestAck(m balancer.AckID) {
	if _, waits := c.at[about{does: marks}]; !waits {
		c.put(about{does: marks}, jsonrpc.AppendAckRequest(nil, int64(m), false))
	}
}

// ProxyLeft drops what waits for a proxy that has left: the relay could not use it.
func (c *CommandBuffer) ProxyLeft(p balancer.Proxy) {
	for i, o := range c.waiting {
		if o.text != nil && o.about.does == binds && o.about.proxy == p {
			c.waiting[i].text = nil
			delete(c.at, o.about)
		}
	}
	for i, o := range c.out { // nor should its next joining be bound by it, if the call goes again
		if o.about.does == binds && o.about.proxy == p {
			c.out[i].text = nil
		}
	}
}

// InFlight tells whether a call is out.
func (c *CommandBuffer) InFlight() bool { return c.flying }

// Pending is how many orders wait for their call.
func (c *CommandBuffer) Pending() int { return len(c.at) }

// NextCall writes the next call, if none is out and something waits.
func (c *CommandBuffer) NextCall(b []byte) ([]byte, bool) {
	if c.flying || len(c.at) == 0 {
		return b, false
	}
	c.pack()
	n := c.fitting()
	if n < len(c.waiting) {
		n = c.cut(n)
		if next := c.waiting[n].about; next.does == weighs || next.does == admits {
			c.resent.Tables = append(c.resent.Tables, next.table) // the rest of its group may have gone with this call
		}
	}
	var orders []byte
	for i, o := range c.waiting[:n] {
		if i > 0 {
			orders = append(orders, ',')
		}
		orders = append(orders, o.text...)
		delete(c.at, o.about)
	}
	c.out = append([]order(nil), c.waiting[:n]...)
	c.waiting = append([]order(nil), c.waiting[n:]...)
	for i, o := range c.waiting {
		c.at[o.about] = i
	}
	c.id++
	c.flying = true
	return jsonrpc.AppendApply(b, c.id, orders), true
}

// fitting is how many of the orders that wait one call can hold.
func (c *CommandBuffer) fitting() (n int) {
	size := 0
	for _, o := range c.waiting {
		if size += len(o.text) + 1; size > jsonrpc.MaxCallBytes-framing {
			return n
		}
		n++
	}
	return n
}

// cut moves the end of a call that can't hold all to where orders for another table or proxy begin: each call is a message of its
// own to whom it concerns, and messages are limited. A mark is not left alone, since it would reach nobody.
func (c *CommandBuffer) cut(most int) int {
	n := most
	if n == len(c.waiting)-1 && c.waiting[n].about.does == marks {
		n--
	}
	for n > 0 && c.waiting[n-1].about.together(c.waiting[n].about) {
		n--
	}
	if n == 0 { // one table is larger than a call
		return most
	}
	return n
}

// together tells whether two orders are for the same table or proxy.
func (a about) together(b about) bool {
	switch {
	case a.does == marks || b.does == marks:
		return false
	case a.does == binds || b.does == binds:
		return a.does == b.does && a.proxy == b.proxy
	}
	return a.table == b.table
}

// back puts orders that are not carried out, or not surely, before those that wait. What was decided since stands.
func (c *CommandBuffer) back(orders []order) {
	all := make([]order, 0, len(orders)+len(c.waiting))
	for _, o := range orders {
		i, newer := c.at[o.about]
		if newer && o.about.does == marks { // the older one stands
			c.waiting[i].text, newer = nil, false
		}
		if !newer && o.text != nil {
			all = append(all, o)
		}
	}
	for _, o := range c.waiting {
		if o.text != nil {
			all = append(all, o)
		}
	}
	c.waiting = all
	for i, o := range all {
		c.at[o.about] = i
	}
	c.out, c.flying = nil, false
}

// HandleAnswer takes the relay's answer. What can't be read is unclear, and so is an answer to another call.
func (c *CommandBuffer) HandleAnswer(m *jsonrpc.Message) Outcome {
	if !c.flying || m.Answer && m.ID < c.id { // late, on a link that was not given up
		return Unsolicited
	}
	if !m.Answer || m.ID != c.id {
		c.ConnectionLost()
		return Indeterminate
	}
	if m.Error != "" {
		if m.Error != "malformed" {
			c.tried = 0
		} else if c.tried++; c.tried >= mostTried { // sending it for ever would hold up all that is decided
			c.Dropped += uint64(len(c.out))
			c.tried, c.out = 0, nil
		}
		c.back(c.out)
		return Rejected
	}
	n, ok := m.AcceptedCount()
	if !ok || n > len(c.out) {
		c.ConnectionLost()
		return Indeterminate
	}
	c.tried = 0
	if n < len(c.out) {
		c.Dropped++
		c.back(c.out[n+1:])
		return PartiallyApplied
	}
	c.out, c.flying = nil, false
	return Applied
}

// ConnectionLost says that the call that is out may or may not have been carried out.
func (c *CommandBuffer) ConnectionLost() {
	if !c.flying {
		return
	}
	c.Resends++
	for _, o := range c.out {
		switch _, newer := c.at[o.about]; {
		case newer, o.text == nil:
		case o.about.does == binds:
			c.resent.Proxies = append(c.resent.Proxies, o.about.proxy)
		case o.about.does != marks:
			c.resent.Tables = append(c.resent.Tables, o.about.table)
		}
	}
	c.back(c.out)
}

// TakeRedelivered is what goes again though it may have been carried out, since the last time that this was asked.
func (c *CommandBuffer) TakeRedelivered() balancer.Redelivered {
	r := c.resent
	c.resent = balancer.Redelivered{}
	return r
}
