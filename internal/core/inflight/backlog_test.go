package inflight

import (
	"testing"

	"pgregory.net/rapid"
)

func TestAnAnswerShowsThatAllBeforeItHasLeft(t *testing.T) {
	var q Window
	q.Send(100)
	q.MarkBatch(1, 100)
	q.Send(60)
	q.MarkBatch(2, 60)
	q.Send(5) // without a number
	if q.Outstanding() != 165 {
		t.Fatalf("%v are outstanding, want 165", q.Outstanding())
	}
	if outstanding, ok := q.Acknowledge(2, 20); !ok || outstanding != 160 || q.Outstanding() != 45 {
		t.Errorf("an answer to the second batch: %v %v, %v outstanding; want 160 before, 45 after", outstanding, ok, q.Outstanding())
	}
	if _, ok := q.Acknowledge(1, 100); ok || q.Outstanding() != 45 {
		t.Error("a late answer to the first batch says something new")
	}
	q.Acknowledge(2, 40)
	if _, ok := q.Acknowledge(2, 20); ok || q.Outstanding() != 5 {
		t.Errorf("%v are outstanding after all answers, want the 5 without a number", q.Outstanding())
	}
	if q.AssumeDelivered(100); q.Outstanding() != 0 {
		t.Error("more has left than was sent")
	}
}

func TestSequenceNumbersAreBounded(t *testing.T) {
	var q Window
	for i := range 2 * mostOpen {
		q.Send(1)
		if remembered := q.MarkBatch(i, 1); remembered != (i < mostOpen) {
			t.Fatalf("number %d: %v", i, remembered)
		}
	}
	if q.Acknowledge(mostOpen-1, 1); q.Outstanding() != mostOpen || len(q.open) != 0 {
		t.Errorf("%v outstanding, %d open", q.Outstanding(), len(q.open))
	}
}

// Whatever the channel's pace is and whichever answers are lost, no less is outstanding than waits.
func TestNoLessIsOutstandingThanWaits(t *testing.T) {
	type message struct {
		number int
		size   float64
	}
	rapid.Check(t, func(t *rapid.T) {
		var q Window
		var channel []message
		waits := 0.0
		for number := range rapid.IntRange(1, 60).Draw(t, "batches") {
			batch := 0.0
			for range rapid.IntRange(1, 5).Draw(t, "messages") {
				m := message{number, rapid.Float64Range(1, 40).Draw(t, "size")}
				channel, batch = append(channel, m), batch+m.size
			}
			waits += batch
			q.Send(batch)
			q.MarkBatch(number, batch)
			for range rapid.IntRange(0, len(channel)).Draw(t, "left") {
				m := channel[0]
				channel, waits = channel[1:], waits-m.size
				if rapid.Bool().Draw(t, "answered") {
					q.Acknowledge(m.number, m.size)
				}
			}
			if q.Outstanding() < waits-1e-6 {
				t.Fatalf("%v wait, %v are held to be outstanding", waits, q.Outstanding())
			}
		}
	})
}
