// Package inflight computes an upper bound of the amount that waits in a first-in first-out channel of unknown throughput:
// all that was sent and is not known to be delivered. It does no I/O and reads no clock. Amounts are in the unit of the channel.
package inflight

// maxOpenBatches is the maximum number of batches that are tracked until they are acknowledged.
const maxOpenBatches = 4096

// Window tracks what one channel may still hold. Its zero value is an empty channel.
type Window struct {
	sent      float64 // total amount sent
	delivered float64 // part of sent that has certainly left the channel
	open      []batch // batches that are not fully acknowledged, oldest first
}

// batch is a group of messages with a common number.
type batch struct {
	number       int
	sentBefore   float64 // total amount sent before the batch
	size         float64 // total amount of the batch
	outstanding  float64 // outstanding amount when the batch was sent, including the batch
	acknowledged float64 // amount of the messages that their receivers have acknowledged
}

// Send notes that an amount was sent to the channel.
func (w *Window) Send(amount float64) { w.sent += amount }

// Outstanding returns the greatest amount that may still wait in the channel.
func (w *Window) Outstanding() float64 { return w.sent - w.delivered }

// MarkBatch assigns a number to the last size units that were sent. It returns false if no more batches can be tracked;
// these units then remain outstanding until a later batch is acknowledged.
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

// Acknowledge notes that one receiver has received its message, of the given size, of a numbered batch. Everything sent
// before the batch has then left the channel, and older batches are closed. It returns the amount that may have been
// waiting when the batch was sent. ok is false if no open batch has the number.
func (w *Window) Acknowledge(number int, size float64) (outstanding float64, ok bool) {
	for i := range w.open {
		if w.open[i].number == number {
			return w.acknowledgeAt(i, size), true
		}
	}
	return 0, false
}

// acknowledgeAt notes an acknowledgement of the batch at an index of w.open.
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

// AssumeDelivered notes that an amount is assumed to have left the channel although it was not acknowledged.
func (w *Window) AssumeDelivered(amount float64) {
	w.delivered = min(w.delivered+max(amount, 0), w.sent)
}
