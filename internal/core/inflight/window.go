// Package inflight bounds how much may wait in a first-in first-out channel of unknown pace: whatever was sent and is
// not acknowledged. It does no I/O and reads no clock. Amounts are in whatever unit the channel counts.
package inflight

// maxOpenBatches bounds the numbered batches that are remembered.
const maxOpenBatches = 4096

// Window is the account of one channel. Its zero value is an empty channel.
type Window struct {
	sent      float64 // since the start
	delivered float64 // of it, what has surely left the channel
	open      []batch // not acknowledged in full, oldest first
}

// batch is a group of messages that carry one number.
type batch struct {
	number       int
	sentBefore   float64
	size         float64
	outstanding  float64 // including it, when it was sent
	acknowledged float64 // of its messages, those whose receivers have answered
}

// Send adds an amount to the channel.
func (w *Window) Send(amount float64) { w.sent += amount }

// Outstanding returns the most that may still wait in the channel.
func (w *Window) Outstanding() float64 { return w.sent - w.delivered }

// MarkBatch gives a number to the latest part of what was sent, of the given size. It returns false if no more
// batches can be remembered; what was sent then waits for the acknowledgement of a later batch.
func (w *Window) MarkBatch(number int, size float64) bool {
	if len(w.open) >= maxOpenBatches {
		return false
	}
	w.open = append(w.open, batch{
		number:      number,
		sentBefore:  w.sent - size,
		size:        size,
		outstanding: w.Outstanding(),
	})
	return true
}

// Acknowledge notes that one receiver has got its message, of the given size, of a numbered batch. All that was sent
// before the batch has then left the channel, and older batches are closed. It returns how much may have waited when
// the batch was sent, and false for a number that is not open.
func (w *Window) Acknowledge(number int, size float64) (outstanding float64, ok bool) {
	for i := range w.open {
		if w.open[i].number == number {
			return w.acknowledgeAt(i, size), true
		}
	}
	return 0, false
}

func (w *Window) acknowledgeAt(index int, size float64) (outstanding float64) {
	b := &w.open[index]
	b.acknowledged = min(b.acknowledged+size, b.size)
	w.delivered = max(w.delivered, b.sentBefore+b.acknowledged)
	outstanding = b.outstanding
	firstOpen := index
	if b.acknowledged >= b.size {
		firstOpen++
	}
	w.open = append(w.open[:0], w.open[firstOpen:]...)
	return outstanding
}

// AssumeDelivered notes that an amount has left the channel although nobody has acknowledged it.
func (w *Window) AssumeDelivered(amount float64) {
	w.delivered = min(w.delivered+max(amount, 0), w.sent)
}
