// Package timingwheel is a hierarchical timing wheel for many timers, most of which are cancelled before they expire. Setting and
// cancelling take constant time and allocate nothing. It is pure.
package timingwheel

import "math/bits"

const (
	slotBits   = 6
	slotCount  = 1 << slotBits // of a level
	levelCount = 4             // together 64^4 ticks: 46 hours if a tick is 10 ms
	slotMask   = slotCount - 1
	maxTicks   = 1<<(slotBits*levelCount) - 1 // from now until the latest tick that a timer can have
)

// Timer is embedded in what waits for it. The zero value is not set. Value is passed on when the timer expires.
type Timer[T any] struct {
	Value T

	previous *Timer[T]
	next     *Timer[T]
	due      uint64   // tick
	slot     *slot[T] // nil: not set
	level    int
	index    int // of the slot in its level
}

// Set reports whether the timer is set.
func (t *Timer[T]) Set() bool { return t.slot != nil }

// slot is a list of timers, the latest one first.
type slot[T any] struct{ first *Timer[T] }

// Wheel holds timers that are set. Use New.
type Wheel[T any] struct {
	tickSeconds float64
	now         uint64 // tick
	slots       [levelCount][slotCount]slot[T]
	occupied    [levelCount]uint64 // a bit for each slot that has timers
	set         int                // timers
}

// New returns a wheel that starts at a clock time, with ticks of some seconds. A timer expires at the first tick at or after its time,
// never before.
func New[T any](now, tickSeconds float64) *Wheel[T] {
	return &Wheel[T]{tickSeconds: tickSeconds, now: uint64(now / tickSeconds)}
}

// Len returns the number of timers that are set.
func (w *Wheel[T]) Len() int { return w.set }

// Set sets a timer to expire at a clock time in seconds. One that is set already is moved.
func (w *Wheel[T]) Set(timer *Timer[T], at float64) {
	w.Cancel(timer)
	timer.due = min(w.tickOf(at), w.now+maxTicks)
	w.insert(timer)
	w.set++
}

// tickOf returns the first tick at or after a clock time that is yet to come.
func (w *Wheel[T]) tickOf(at float64) uint64 {
	next := w.now + 1
	ticks := at / w.tickSeconds
	if ticks <= float64(next) {
		return next
	}
	tick := uint64(ticks)
	if float64(tick) < ticks {
		tick++
	}
	return tick
}

// insert puts a timer into the slot of its tick.
func (w *Wheel[T]) insert(timer *Timer[T]) {
	timer.level = 0
	differing := timer.due ^ w.now
	if differing > slotMask {
		timer.level = min((bits.Len64(differing)-1)/slotBits, levelCount-1)
	}
	timer.index = slotIndex(timer.due, timer.level)
	timer.slot = &w.slots[timer.level][timer.index]
	timer.previous = nil
	timer.next = timer.slot.first
	if timer.next != nil {
		timer.next.previous = timer
	}
	timer.slot.first = timer
	w.occupied[timer.level] |= 1 << timer.index
}

func slotIndex(tick uint64, level int) int { return int(tick>>(slotBits*level)) & slotMask }

// Cancel cancels a timer. One that is not set is left alone.
func (w *Wheel[T]) Cancel(timer *Timer[T]) {
	if timer.slot == nil {
		return
	}
	w.unlink(timer)
	w.set--
}

// unlink takes a timer out of its slot.
func (w *Wheel[T]) unlink(timer *Timer[T]) {
	if timer.previous != nil {
		timer.previous.next = timer.next
	} else {
		timer.slot.first = timer.next
	}
	if timer.next != nil {
		timer.next.previous = timer.previous
	}
	if timer.slot.first == nil {
		w.occupied[timer.level] &^= 1 << timer.index
	}
	timer.previous = nil
	timer.next = nil
	timer.slot = nil
}

// Advance calls expire with the values of all timers that are due at a clock time in seconds, in the order of their ticks. The order
// within a tick depends on nothing but the earlier calls. expire may set and cancel timers. If the clock goes back,
// nothing expires.
func (w *Wheel[T]) Advance(now float64, expire func(T)) {
	end := uint64(now / w.tickSeconds)
	for w.now < end {
		if w.set == 0 {
			w.now = end
			return
		}
		w.now = min(w.nextTick(), end)
		for level := levelCount - 1; level > 0; level-- {
			w.cascade(level)
		}
		w.expireTick(expire)
	}
}

// nextTick returns the next tick at which timers may expire or move to a lower level.
func (w *Wheel[T]) nextTick() uint64 {
	later := w.occupied[0] >> (w.now & slotMask) >> 1
	if later != 0 {
		return w.now + 1 + uint64(bits.TrailingZeros64(later))
	}
	return w.now&^slotMask + slotCount
}

// cascade moves the timers of a level's present slot to lower levels when the slot begins.
func (w *Wheel[T]) cascade(level int) {
	slotStart := w.now&(1<<(slotBits*level)-1) == 0
	if !slotStart {
		return
	}
	present := &w.slots[level][slotIndex(w.now, level)]
	for present.first != nil {
		timer := present.first
		w.unlink(timer)
		w.insert(timer)
	}
}

// expireTick expires the timers of the present tick.
func (w *Wheel[T]) expireTick(expire func(T)) {
	present := &w.slots[0][w.now&slotMask]
	for present.first != nil && present.first.due <= w.now {
		timer := present.first
		w.Cancel(timer)
		expire(timer.Value)
	}
}
