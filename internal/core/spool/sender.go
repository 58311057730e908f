package spool

// State is the state of the connection to the receiver.
type State int

// States of the connection to the receiver.
const (
	Disconnected State = iota // there is no connection; the next attempt waits for its backoff
	Dialing                   // the connection is being established
	Connected                 // the connection is established
)

// Action is what a Sender asks its caller to do.
type Action int

// Actions of a Sender.
const (
	NoAction Action = iota
	// Dial asks for a connection. The caller reports the result by ConnectionEstablished or ConnectionLost.
	Dial
	// CloseConnection asks to close the connection, which has stalled. ConnectionLost need not be called.
	CloseConnection
)

// inFlightSample is a sample that was sent and may not have been read by the receiver.
type inFlightSample struct {
	*Sample
	end         uint64  // offset of its end in the bytes of the connection
	deliveredAt float64 // when the receiver's host had it, in seconds; 0: not yet
}

// Sender sends the samples of a spool to a receiver in the order of time, each at least once: after a
// connection is lost, it sends the samples again that were not delivered, and those that were delivered
// within the overlap. A receiver that keeps one value for a time, as Graphite does, sees each sample once.
// Samples are lost only if the receiver's host had them for longer than the overlap without the receiver
// reading them.
type Sender struct {
	*Spool
	Disconnects int // connections that were lost with samples in flight
	Sent        int // samples sent, including those sent again

	state      State
	attempts   int     // failed attempts to connect since the last connection
	nextDialAt float64 // time of the next attempt in seconds
	random     func() float64

	inFlight   []inFlightSample // oldest first
	sentBytes  uint64           // on this connection
	delivered  uint64           // bytes of this connection that the receiver's host has
	progressAt float64          // when bytes were last delivered, or sent while none were in flight

	tokens     float64 // values that the rate limit allows
	refilledAt float64 // when tokens were last added
}

// NewSender returns a sender with an empty spool. The function random returns uniform numbers from 0 to 1,
// which spread the attempts to connect.
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

// Unacknowledged returns the number of samples that would be sent again if the connection were lost.
func (s *Sender) Unacknowledged() int { return len(s.inFlight) }

// Tick returns what is to be done now.
func (s *Sender) Tick(now float64) Action {
	s.forgetRead(now)
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

// forgetRead removes the samples that the receiver's host has had for longer than the overlap.
func (s *Sender) forgetRead(now float64) {
	for len(s.inFlight) > 0 {
		oldest := s.inFlight[0]
		if oldest.deliveredAt <= 0 || now-oldest.deliveredAt <= s.config.Overlap {
			return
		}
		s.inFlight = s.inFlight[1:]
	}
}

// ConnectionEstablished reports that a connection is established.
func (s *Sender) ConnectionEstablished(now float64) {
	s.state = Connected
	s.attempts = 0
	s.sentBytes = 0
	s.delivered = 0
	s.progressAt = now
}

// ConnectionLost reports that the connection was lost or could not be established. The samples in flight
// are sent again.
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

// Next returns the sample that is to be sent now, or false if there is none, or if the window or the rate
// limit allows none. The caller sends it and calls RecordWrite at once.
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

// RecordWrite records that the sample that Next returned was sent, with its size in bytes.
func (s *Sender) RecordWrite(now float64, size int) {
	if s.sentBytes == s.delivered {
		s.progressAt = now
	}
	sample := s.dequeue()
	s.sentBytes += uint64(size)
	s.tokens -= float64(len(sample.Values))
	s.Sent++
	sent := inFlightSample{Sample: sample, end: s.sentBytes}
	if s.sentBytes == 0 { // it has no values, and no bytes whose delivery would be reported
		sent.deliveredAt = now
	}
	s.inFlight = append(s.inFlight, sent)
}

// Delivered reports the total number of bytes of the connection that the receiver's host has.
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
