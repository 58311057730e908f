package spool

// State is the state of the connection to the receiver.
type State int

// States of the connection to the receiver.
const (
	Disconnected State = iota // there is no connection; the next attempt follows after a backoff
	Dialing                   // the connection is being established
	Connected                 // the connection is established
)

// Action is an action that a Sender requests from its caller.
type Action int

// Actions of a Sender.
const (
	NoAction Action = iota
	// Dial requests a connection. The caller reports the result by ConnectionEstablished or ConnectionLost.
	Dial
	// CloseConnection requests that the stalled connection be closed. The caller need not call ConnectionLost.
	CloseConnection
)

// inFlightSample is a sample that was sent but may not have been read by the receiver.
type inFlightSample struct {
	*Sample
	end         uint64  // offset of its end in the byte stream of the connection
	deliveredAt float64 // time in seconds when it was delivered to the receiver's host; 0 if not yet delivered
}

// Sender sends the samples of a spool to a receiver in chronological order, each at least once. After a
// connection was lost, it resends the samples that were not delivered and those that were delivered within the
// overlap. A receiver that stores one value per timestamp, such as Graphite, stores each sample once. Samples
// are lost only if they were delivered to the receiver's host and the receiver did not read them for longer than
// the overlap.
type Sender struct {
	*Spool
	Disconnects int // number of connections lost with samples in flight
	Sent        int // number of samples sent, including resent ones

	state      State
	attempts   int     // number of lost connections and failed attempts since a connection was last established
	nextDialAt float64 // earliest time of the next attempt to connect in seconds
	random     func() float64

	inFlight   []inFlightSample // oldest first
	sentBytes  uint64           // bytes sent on this connection
	delivered  uint64           // bytes of this connection that were delivered to the receiver's host
	progressAt float64          // time when bytes were last delivered, or sent while none were in flight

	tokens     float64 // number of values that the rate limit allows to be sent
	refilledAt float64 // time when tokens were last added
}

// NewSender returns a Sender with an empty spool. The function random returns uniformly distributed numbers from
// 0 to 1, which randomize the backoff between attempts to connect.
func NewSender(now float64, config Config, random func() float64) *Sender {
	return &Sender{
		Spool:      New(config),
		nextDialAt: now,
		random:     random,
		refilledAt: now,
		tokens:     config.MaxRate,
	}
}

// State returns the state of the connection.
func (s *Sender) State() State { return s.state }

// Unacknowledged returns the number of samples that would be resent if the connection were lost.
func (s *Sender) Unacknowledged() int { return len(s.inFlight) }

// Tick advances the sender to the time now and returns the action that the caller must take.
func (s *Sender) Tick(now float64) Action {
	s.discardRead(now)
	switch s.state {
	case Disconnected:
		hasWork := len(s.samples) > 0 || len(s.inFlight) > 0
		if hasWork && now >= s.nextDialAt {
			s.state = Dialing
			return Dial
		}
	case Connected:
		if s.delivered < s.sentBytes && now-s.progressAt > s.config.StallTimeout {
			s.ConnectionLost(now)
			return CloseConnection
		}
	}
	return NoAction
}

// discardRead removes the samples that were delivered to the receiver's host longer ago than the overlap. The
// receiver is assumed to have read them.
func (s *Sender) discardRead(now float64) {
	for len(s.inFlight) > 0 {
		oldest := s.inFlight[0]
		if oldest.deliveredAt <= 0 || now-oldest.deliveredAt <= s.config.Overlap {
			return
		}
		s.inFlight = s.inFlight[1:]
	}
}

// ConnectionEstablished notifies the sender that a connection is established.
func (s *Sender) ConnectionEstablished(now float64) {
	s.state = Connected
	s.attempts = 0
	s.sentBytes = 0
	s.delivered = 0
	s.progressAt = now
}

// ConnectionLost notifies the sender that the connection was lost or could not be established. The samples in
// flight will be resent.
func (s *Sender) ConnectionLost(now float64) {
	s.state = Disconnected
	backoff := s.config.MinBackoff
	for range s.attempts {
		backoff = min(backoff*2, s.config.MaxBackoff)
	}
	s.attempts++
	s.nextDialAt = now + backoff*(0.5+s.random()/2)
	if len(s.inFlight) == 0 {
		return
	}
	s.Disconnects++
	samples := make([]*Sample, 0, len(s.inFlight))
	for _, sent := range s.inFlight {
		samples = append(samples, sent.Sample)
	}
	s.inFlight = nil
	s.requeue(samples)
}

// Next returns the sample to send now. It returns false if there is none, or if the limit of bytes in flight or the
// rate limit does not allow it. The caller must send the sample and call RecordWrite immediately.
func (s *Sender) Next(now float64) (*Sample, bool) {
	s.tokens = min(s.config.MaxRate, s.tokens+max(0, now-s.refilledAt)*s.config.MaxRate)
	s.refilledAt = max(s.refilledAt, now)
	if s.state != Connected || len(s.samples) == 0 {
		return nil, false
	}
	if s.tokens <= 0 || s.sentBytes-s.delivered >= uint64(s.config.MaxInFlightBytes) {
		return nil, false
	}
	return s.samples[0], true
}

// RecordWrite records that the sample returned by Next was sent, with its encoded size in bytes.
func (s *Sender) RecordWrite(now float64, size int) {
	if s.sentBytes == s.delivered {
		s.progressAt = now
	}
	sample := s.dequeue()
	s.sentBytes += uint64(size)
	s.tokens -= float64(len(sample.Values))
	s.Sent++
	sent := inFlightSample{Sample: sample, end: s.sentBytes}
	if s.sentBytes == 0 { // it has no values, and thus no bytes whose delivery would be reported
		sent.deliveredAt = now
	}
	s.inFlight = append(s.inFlight, sent)
}

// Delivered notifies the sender of the total number of bytes of the connection that were delivered to the
// receiver's host.
func (s *Sender) Delivered(now float64, total uint64) {
	if s.state != Connected || total <= s.delivered {
		return
	}
	s.delivered = min(total, s.sentBytes)
	s.progressAt = now
	for i := range s.inFlight {
		sent := &s.inFlight[i]
		if sent.deliveredAt == 0 && sent.end > 0 && sent.end <= s.delivered {
			sent.deliveredAt = now
		}
	}
}
