// Package timingwheel is a hierarchical timing wheel: many deadlines, most of which are taken back before they come. Setting and
// taking back cost the same however many there are; nothing is allocated for them. It is pure.
package timingwheel

import "math/bits"

const (
	slotBits = 6
	slots    = 1 << slotBits // of a level
	levels   = 4             // 64^4 ticks: at a hundredth of a second, 46 hours
	mask     = slots - 1
)

// Timer is embedded in what waits. The zero value is not set.
type Timer[T any] struct {
	prev, next *Timer[T]
	due        uint64 // tick; 0: not set
	slot       *list[T]
	level, at  int
	Value      T
}

// Set tells whether the timer waits in a wheel.
func (t *Timer[T]) Set() bool { return t.slot != nil }

type list[T any] struct{ head *Timer[T] }

// Wheel holds timers. Use New.
type Wheel[T any] struct {
	tick    float64 // seconds
	now     uint64
	wheels  [levels][slots]list[T]
	used    [levels]uint64 // a bit for each slot that holds something
	waiting int
}

// New makes a wheel that starts at a clock time, with ticks of so many seconds. A timer fires at the first tick at or
// after its time, never before.
func New[T any](now, tick float64) *Wheel[T] {
	return &Wheel[T]{tick: tick, now: uint64(now / tick)}
}

// Len is the number of timers that are set.
func (w *Wheel[T]) Len() int { return w.waiting }

// Set makes a timer fire at a clock time; one that is set already is moved.
func (w *Wheel[T]) Set(t *Timer[T], at float64) {
	w.Cancel(t)
	due := w.now + 1
	if v := at / w.tick; v > float64(due) {
		due = uint64(v)
		if float64(due) < v {
			due++
		}
	}
	t.due = min(due, w.now+1<<(slotBits*levels)-1)
	w.place(t)
	w.waiting++
}

func (w *Wheel[T]) place(t *Timer[T]) {
	level := 0
	if left := t.due ^ w.now; left > mask {
		level = min((bits.Len64(left)-1)/slotBits, levels-1)
	}
	t.level, t.at = level, int(t.due>>(slotBits*level))&mask
	l := &w.wheels[level][t.at]
	t.slot, t.prev, t.next = l, nil, l.head
	if l.head != nil {
		l.head.prev = t
	}
	l.head = t
	w.used[level] |= 1 << t.at
}

// Cancel takes a timer back; one that is not set is left alone.
func (w *Wheel[T]) Cancel(t *Timer[T]) {
	if t.slot == nil {
		return
	}
	w.unlink(t)
	w.waiting--
}

func (w *Wheel[T]) unlink(t *Timer[T]) {
	if t.prev != nil {
		t.prev.next = t.next
	} else if t.slot.head = t.next; t.next == nil {
		w.used[t.level] &^= 1 << t.at
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	t.prev, t.next, t.slot, t.due = nil, nil, nil, 0
}

// Advance fires all timers that are due at a clock time, in the order of their ticks; those of one tick fire newest
// first. What fires may set timers again. A clock that goes back fires nothing.
func (w *Wheel[T]) Advance(now float64, fire func(T)) {
	for end := uint64(now / w.tick); w.now < end; {
		if w.waiting == 0 {
			w.now = end
			return
		}
		w.now = min(w.skip(), end)
		for level := levels - 1; level > 0; level-- { // what was far is near now
			if w.now&(1<<(slotBits*level)-1) != 0 {
				continue
			}
			l := &w.wheels[level][int(w.now>>(slotBits*level))&mask]
			for l.head != nil {
				t := l.head
				due := t.due
				w.unlink(t)
				t.due = due
				w.place(t)
			}
		}
		l := &w.wheels[0][w.now&mask]
		for l.head != nil && l.head.due <= w.now {
			t := l.head
			w.Cancel(t)
			fire(t.Value)
		}
	}
}

// skip is the next tick at which there may be something to do.
func (w *Wheel[T]) skip() uint64 {
	if ahead := w.used[0] >> (w.now & mask) >> 1; ahead != 0 {
		return w.now + 1 + uint64(bits.TrailingZeros64(ahead))
	}
	return w.now&^mask + slots // the next turn of the first wheel
}
