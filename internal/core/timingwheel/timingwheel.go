// Package timingwheel implements a hierarchical timing wheel for many timers, most of which are cancelled before they expire. Setting and
// cancelling a timer take constant time and allocate no memory. It does no I/O and reads no clock.
package timingwheel

import "math/bits"

const (
	slotBits   = 6
	slotCount  = 1 << slotBits // slots per level
	levelCount = 4             // in total 64^4 ticks: 46 hours if a tick is 10 ms
	slotMask   = slotCount - 1
	maxTicks   = 1<<(slotBits*levelCount) - 1 // ticks from now until the latest tick at which a timer can expire
)

// Timer is a timer of a Wheel, and is embedded in the struct that waits for it. The zero value is not set.
type Timer[T any] struct {
	Value T // passed to the expire function of Advance

	previous   *Timer[T]
	next       *Timer[T]
	expiryTick uint64   // tick at which it expires
	slot       *slot[T] // nil if the timer is not set
	level      int
	index      int // index of the slot in its level
}

// Set reports whether the timer is set.
func (t *Timer[T]) Set() bool { return t.slot != nil }

// slot is a list of timers. The timer that was added last is first.
type slot[T any] struct{ first *Timer[T] }

// Wheel holds the timers that are set. It must be created with New.
type Wheel[T any] struct {
	tickSeconds float64
	now         uint64 // current tick
	slots       [levelCount][slotCount]slot[T]
	occupied    [levelCount]uint64 // by level; a bit is set for each slot that has timers
	timerCount  int                // timers that are set
}

// New returns a wheel that starts at the clock time now, with ticks of tickSeconds. A timer expires at the first tick at or after its time,
// and never earlier.
func New[T any](now, tickSeconds float64) *Wheel[T] {
	return &Wheel[T]{tickSeconds: tickSeconds, now: uint64(now / tickSeconds)}
}

// Len returns the number of timers that are set.
func (w *Wheel[T]) Len() int { return w.timerCount }

// Set sets a timer to expire at a clock time in seconds. A timer that is already set is rescheduled.
func (w *Wheel[T]) Set(timer *Timer[T], at float64) {
	w.Cancel(timer)
	timer.expiryTick = min(w.tickOf(at), w.now+maxTicks)
	w.insert(timer)
	w.timerCount++
}

// tickOf returns the first tick at or after a clock time, but no tick before the next one.
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

// insert adds a timer to the slot of its expiry tick.
func (w *Wheel[T]) insert(timer *Timer[T]) {
	timer.level = 0
	differing := timer.expiryTick ^ w.now
	if differing > slotMask {
		timer.level = min((bits.Len64(differing)-1)/slotBits, levelCount-1)
	}
	timer.index = slotIndex(timer.expiryTick, timer.level)
	timer.slot = &w.slots[timer.level][timer.index]
	timer.previous = nil
	timer.next = timer.slot.first
	if timer.next != nil {
		timer.next.previous = timer
	}
	timer.slot.first = timer
	w.occupied[timer.level] |= 1 << timer.index
}

// slotIndex returns the index of the slot of a tick in a level.
func slotIndex(tick uint64, level int) int { return int(tick>>(slotBits*level)) & slotMask }

// Cancel cancels a timer. It does nothing if the timer is not set.
func (w *Wheel[T]) Cancel(timer *Timer[T]) {
	if timer.slot == nil {
		return
	}
	w.unlink(timer)
	w.timerCount--
}

// unlink removes a timer from its slot.
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

// Advance advances the wheel to a clock time in seconds, and calls expire with the values of all timers that expire by then, in order of
// their ticks. The order within a tick depends only on the earlier calls. expire may set and cancel timers. If the clock goes backwards, no
// timer expires.
func (w *Wheel[T]) Advance(now float64, expire func(T)) {
	end := uint64(now / w.tickSeconds)
	for w.now < end {
		if w.timerCount == 0 {
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

// nextTick returns the next tick at which timers may expire or must be moved to a lower level.
func (w *Wheel[T]) nextTick() uint64 {
	later := w.occupied[0] >> (w.now & slotMask) >> 1
	if later != 0 {
		return w.now + 1 + uint64(bits.TrailingZeros64(later))
	}
	return w.now&^slotMask + slotCount
}

// cascade moves the timers in the current slot of a level to lower levels if the current tick is the first of the slot.
func (w *Wheel[T]) cascade(level int) {
	slotStart := w.now&(1<<(slotBits*level)-1) == 0
	if !slotStart {
		return
	}
	current := &w.slots[level][slotIndex(w.now, level)]
	for current.first != nil {
		timer := current.first
		w.unlink(timer)
		w.insert(timer)
	}
}

// expireTick expires the timers of the current tick.
func (w *Wheel[T]) expireTick(expire func(T)) {
	current := &w.slots[0][w.now&slotMask]
	for current.first != nil && current.first.expiryTick <= w.now {
		timer := current.first
		w.Cancel(timer)
		expire(timer.Value)
	}
}
