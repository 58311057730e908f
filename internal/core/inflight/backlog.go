// Package inflight bounds how much waits in a first-in first-out channel whose pace is not known, from acknowledgements alone: what
// was sent and is not acknowledged may still wait. It is pure; amounts are in whatever unit the channel counts.
package inflight

// mostOpen bounds the sequence numbers that are remembered. A batch without one waits for the acknowledgement of a later one.
const mostOpen = 4096

// Window is the account of one channel. Its zero value is an empty channel.
type Window struct {
	sent      float64    // since the start
	delivered float64    // of it, what has surely left the channel
	open      []sequence // not acknowledged in full, oldest first
}

// sequence is a batch of messages that carries one sequence number.
type sequence struct {
	number       int
	before       float64 // sent before it
	size         float64
	outstanding  float64 // with it, when it was sent
	acknowledged float64 // of its messages, those whose receivers have answered
}

// Send adds an amount to the channel.
func (q *Window) Send(amount float64) { q.sent += amount }

// Outstanding is the most that may still wait.
func (q *Window) Outstanding() float64 { return q.sent - q.delivered }

// MarkBatch says that the latest size of what was sent carries a sequence number. It is false where no more can be remembered.
func (q *Window) MarkBatch(number int, size float64) bool {
	if len(q.open) >= mostOpen {
		return false
	}
	q.open = append(q.open, sequence{number: number, before: q.sent - size, size: size, outstanding: q.Outstanding()})
	return true
}

// Acknowledge says that one receiver has got its message, of this size, of the numbered batch. All that was sent before the batch
// has then left the channel. It returns how much may have waited when the batch had been sent, and false for an unknown number.
func (q *Window) Acknowledge(number int, size float64) (outstanding float64, ok bool) {
	for i := range q.open {
		s := &q.open[i]
		if s.number != number {
			continue
		}
		outstanding = s.outstanding
		s.acknowledged = min(s.acknowledged+size, s.size)
		q.delivered = max(q.delivered, s.before+s.acknowledged)
		if s.acknowledged >= s.size {
			i++
		}
		q.open = append(q.open[:0], q.open[i:]...)
		return outstanding, true
	}
	return 0, false
}

// AssumeDelivered says that an amount has left the channel though nobody has acknowledged it.
func (q *Window) AssumeDelivered(amount float64) {
	q.delivered = min(q.delivered+max(amount, 0), q.sent)
}

// Reset says that nothing waits any more: all receivers have gone.
func (q *Window) Reset() {
	q.delivered = q.sent
	q.open = q.open[:0]
}
