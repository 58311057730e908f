package inflight

import (
	"testing"

	"pgregory.net/rapid"
)

func TestAcknowledgementShowsThatAllBeforeItHasLeft(t *testing.T) {
	var w Window
	w.Send(100)
	w.MarkBatch(1, 100)
	w.Send(60)
	w.MarkBatch(2, 60)
	w.Send(5) // without a number
	if w.Outstanding() != 165 {
		t.Fatalf("%v are outstanding, want 165", w.Outstanding())
	}
	outstanding, ok := w.Acknowledge(2, 20)
	if !ok || outstanding != 160 || w.Outstanding() != 45 {
		t.Errorf("acknowledgement of the second batch: %v %v, %v outstanding; want 160 before, 45 after",
			outstanding, ok, w.Outstanding())
	}
	if _, ok := w.Acknowledge(1, 100); ok || w.Outstanding() != 45 {
		t.Error("a late acknowledgement of the first batch shows something new")
	}
	w.Acknowledge(2, 40)
	if _, ok := w.Acknowledge(2, 20); ok || w.Outstanding() != 5 {
		t.Errorf("%v are outstanding after all acknowledgements, want the 5 without a number", w.Outstanding())
	}
	w.AssumeDelivered(100)
	if w.Outstanding() != 0 {
		t.Error("more has left than was sent")
	}
}

func TestOpenBatchesAreBounded(t *testing.T) {
	var w Window
	for i := range 2 * maxOpenBatches {
		w.Send(1)
		if remembered := w.MarkBatch(i, 1); remembered != (i < maxOpenBatches) {
			t.Fatalf("number %d: %v", i, remembered)
		}
	}
	w.Acknowledge(maxOpenBatches-1, 1)
	if w.Outstanding() != maxOpenBatches || len(w.open) != 0 {
		t.Errorf("%v outstanding, %d open", w.Outstanding(), len(w.open))
	}
}

// Whatever the channel's pace is and whichever acknowledgements are lost, no less is outstanding than waits.
func TestNoLessIsOutstandingThanWaits(t *testing.T) {
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
				t.Fatalf("%v wait, %v are outstanding", waiting, w.Outstanding())
			}
		}
	})
}
