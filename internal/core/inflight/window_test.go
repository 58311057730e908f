package inflight

import (
	"testing"

	"pgregory.net/rapid"
)

func TestAcknowledgementCoversEarlierMessages(t *testing.T) {
	var w Window
	w.Send(100)
	w.MarkBatch(1, 100)
	w.Send(60)
	w.MarkBatch(2, 60)
	w.Send(5) // not in a batch
	if w.Outstanding() != 165 {
		t.Fatalf("outstanding amount is %v, want 165", w.Outstanding())
	}
	outstanding, ok := w.Acknowledge(2, 20)
	if !ok || outstanding != 160 || w.Outstanding() != 45 {
		t.Errorf("acknowledgement of the second batch returns %v, %v and leaves %v outstanding; want 160, true and 45",
			outstanding, ok, w.Outstanding())
	}
	if _, ok := w.Acknowledge(1, 100); ok || w.Outstanding() != 45 {
		t.Error("a late acknowledgement of the first batch has an effect")
	}
	w.Acknowledge(2, 40)
	if _, ok := w.Acknowledge(2, 20); ok || w.Outstanding() != 5 {
		t.Errorf("outstanding amount after all acknowledgements is %v, want the 5 that are in no batch", w.Outstanding())
	}
	w.AssumeDelivered(100)
	if w.Outstanding() != 0 {
		t.Error("the assumed amount is not limited to what was sent")
	}
}

func TestOpenBatchesAreBounded(t *testing.T) {
	var w Window
	for i := range 2 * maxOpenBatches {
		w.Send(1)
		if tracked := w.MarkBatch(i, 1); tracked != (i < maxOpenBatches) {
			t.Fatalf("batch %d is tracked: %v", i, tracked)
		}
	}
	w.Acknowledge(maxOpenBatches-1, 1)
	if w.Outstanding() != maxOpenBatches || len(w.open) != 0 {
		t.Errorf("outstanding amount is %v with %d open batches, want the maximum number and none", w.Outstanding(), len(w.open))
	}
}

// The outstanding amount is never less than what waits, for any throughput of the channel and any loss of acknowledgements.
func TestOutstandingIsAnUpperBound(t *testing.T) {
	type message struct {
		number int
		size   float64
	}
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		var channel []message
		waiting := 0.0
		for number := range rapid.IntRange(1, 60).Draw(t, "batches") {
			size := 0.0
			for range rapid.IntRange(1, 5).Draw(t, "messages") {
				m := message{number: number, size: rapid.Float64Range(1, 40).Draw(t, "size")}
				channel = append(channel, m)
				size += m.size
			}
			waiting += size
			w.Send(size)
			w.MarkBatch(number, size)
			for range rapid.IntRange(0, len(channel)).Draw(t, "left") {
				m := channel[0]
				channel = channel[1:]
				waiting -= m.size
				if rapid.Bool().Draw(t, "answered") {
					w.Acknowledge(m.number, m.size)
				}
			}
			if w.Outstanding() < waiting-1e-6 {
				t.Fatalf("%v are waiting but only %v are outstanding", waiting, w.Outstanding())
			}
		}
	})
}
