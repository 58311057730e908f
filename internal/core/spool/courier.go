package spool

// State of the way to a receiver.
type State int

// States of the connection to a receiver.
const (
	Disconnected State = iota // there is no connection; the next try has its time
	Dialing                   // one is being made
	Connected                 // it stands
)

// Action is what a Courier wants done.
type Action int

// What a Sender can ask for.
const (
	NoAction        Action = iota
	Dial                   // make a connection, and say Reached or Broke
	CloseConnection        // close it: it stalls. Broke need not be said
)

// sent is a sample on its way, or that was taken so recently that it may not have been read.
type sent struct {
	*Sample
	end   uint64  // bytes of the connection up to it
	taken float64 // when the receiver's host had it; 0: it is on its way
}

// Sender brings a spool's samples to a receiver, in the order of time, each at least once: what was not taken, and what was taken
// within the overlap, goes again after a break. A receiver that keeps one value for a time, as Graphite does, sees each once. What may be
// lost is what a receiver's host had taken for longer than the overlap without its program reading it.
type Sender struct {
	*Spool
	state       State
	tries       int
	nextAt      float64 // of a dial
	chance      func() float64
	flight      []sent
	bytes       uint64 // sent on this connection
	taken       uint64
	movedAt     float64 // when something was last taken, or sent after nothing was on its way
	tokens      float64
	at          float64
	Disconnects int
	Sent        int // samples, again ones counted again
}

// NewSender makes a courier for an empty spool. chance draws evenly from 0 to 1; tries to reach the receiver are spread by it.
func NewSender(now float64, t Config, chance func() float64) *Sender {
	return &Sender{Spool: New(t), nextAt: now, chance: chance, at: now, tokens: t.MaxRate}
}

// State of the way.
func (c *Sender) State() State { return c.state }

// Unacknowledged is the number of samples that would be sent anew after a break.
func (c *Sender) Unacknowledged() int { return len(c.flight) }

// Tick says what is to be done now.
func (c *Sender) Tick(now float64) Action {
	for len(c.flight) > 0 && c.flight[0].taken > 0 && now-c.flight[0].taken > c.terms.Overlap {
		c.flight = c.flight[1:]
	}
	switch {
	case c.state == Disconnected && now >= c.nextAt && (len(c.samples) > 0 || len(c.flight) > 0):
		c.state = Dialing
		return Dial
	case c.state == Connected && c.taken < c.bytes && now-c.movedAt > c.terms.StallTimeout:
		c.ConnectionLost(now)
		return CloseConnection
	}
	return NoAction
}

// ConnectionEstablished says that a connection stands.
func (c *Sender) ConnectionEstablished(now float64) {
	c.state, c.tries, c.bytes, c.taken, c.movedAt = Connected, 0, 0, 0, now
}

// ConnectionLost says that there is no connection, or none came about. What was on its way goes back.
func (c *Sender) ConnectionLost(now float64) {
	c.state = Disconnected
	wait := c.terms.MinBackoff
	for range c.tries {
		wait = min(wait*2, c.terms.MaxBackoff)
	}
	c.tries++
	c.nextAt = now + wait*(0.5+c.chance()/2)
	if len(c.flight) == 0 {
		return
	}
	c.Disconnects++
	list := make([]*Sample, 0, len(c.flight))
	for _, s := range c.flight {
		list = append(list, s.Sample)
	}
	c.flight = nil
	c.back(list)
}

// Next is the sample that is to be sent now; ok is false while none is, the window is full, or the pace allows none. The caller says
// Wrote at once.
func (c *Sender) Next(now float64) (s *Sample, ok bool) {
	c.tokens = min(c.terms.MaxRate, c.tokens+max(0, now-c.at)*c.terms.MaxRate)
	c.at = max(c.at, now)
	if c.state != Connected || len(c.samples) == 0 || c.tokens <= 0 || c.bytes-c.taken >= uint64(c.terms.MaxInFlightBytes) {
		return nil, false
	}
	return c.samples[0], true
}

// RecordWrite says that the sample that Next named is on its way, in so many bytes.
func (c *Sender) RecordWrite(now float64, bytes int) {
	if c.bytes == c.taken {
		c.movedAt = now
	}
	s := c.take()
	c.bytes += uint64(bytes)
	c.tokens -= float64(len(s.Values))
	c.Sent++
	c.flight = append(c.flight, sent{Sample: s, end: c.bytes})
}

// Delivered says how many bytes of the connection the receiver's host has.
func (c *Sender) Delivered(now float64, total uint64) {
	if c.state != Connected || total <= c.taken {
		return
	}
	c.taken, c.movedAt = min(total, c.bytes), now
	for i := range c.flight {
		if f := &c.flight[i]; f.taken == 0 && f.end > 0 && f.end <= c.taken {
			f.taken = now
		}
	}
}
