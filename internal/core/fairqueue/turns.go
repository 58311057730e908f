// Package fairqueue says whose turn it is where many share one event loop: tenants that are due are looked at in an order that is fair
// by what their looks took, within what a loop may spend. Who asks for much waits behind who asks for little; urgent looks, which
// are for drains, go first as long as a tenant has not had more of them than its part. It is pure.
//
// Due times are kept in a timing wheel, those that are due in a heap by virtual time. A look costs a heap operation, a tenant that
// rests costs nothing.
package fairqueue

import (
	"snowquay/internal/core/timingwheel"
)

// Config of a loop.
type Config struct {
	Rate       float64 // seconds of work that may be spent a second
	Burst      float64 // seconds of work that may be spent at once after a pause; with it the longest that others wait for
	Reserve    float64 // seconds of work beyond it, for urgent looks alone
	Urgent     float64 // seconds of work that a tenant of weight 1 may take in urgent looks a second, on average
	IdleCredit float64 // seconds of work that a tenant of weight 1 is ahead of others by when it has rested: who asks for little has it at once
	Tick       float64 // seconds of the wheel
}

// DefaultConfig leave three tenths of a core to what comes in: taking bytes, answering calls.
var DefaultConfig = Config{Rate: 0.7, Burst: 0.014, Reserve: 0.007, Urgent: 0.02, IdleCredit: 0.005, Tick: 0.005}

const urgentFor = 2.0 // seconds of urgent looks that a tenant may take at once

type one[K comparable] struct {
	key      K
	weight   float64
	virt     float64
	due      timingwheel.Timer[*one[K]]
	waits    bool // in the heap
	at       int  // its place there
	urgent   bool
	turn     bool    // it has its turn, and has not said what it took
	ahead    bool    // it had it since it was urgent
	tokens   float64 // seconds of urgent work
	tokensAt float64
	spent    float64
	since    float64 // when it came to wait
	longest  float64 // that it waited
}

// Queue of keys. Use New.
type Queue[K comparable] struct {
	terms    Config
	all      map[K]*one[K]
	wheel    *timingwheel.Wheel[*one[K]]
	heap     []*one[K]
	virt     float64 // the common time: that of the latest turn
	tokens   float64
	tokensAt float64
	Stats    Stats
}

// Stats is what happened, for metrics.
type Stats struct {
	Turns, Urgent   int
	BudgetExhausted int // times that nobody had a turn though somebody was due, since the work was used up
}

// New makes turns that start at a clock time.
func New[K comparable](now float64, t Config) *Queue[K] {
	return &Queue[K]{terms: t, all: map[K]*one[K]{}, wheel: timingwheel.New[*one[K]](now, t.Tick), tokens: t.Burst, tokensAt: now}
}

// Set makes a key take part with a weight over 0, or changes it. It is due when it is woken or stirred.
func (t *Queue[K]) Set(now float64, k K, weight float64) {
	if o := t.all[k]; o != nil {
		o.weight = weight
		return
	}
	o := &one[K]{key: k, weight: weight, virt: t.virt, tokens: t.terms.Urgent * weight * urgentFor, tokensAt: now}
	o.due.Value = o
	t.all[k] = o
}

// Remove forgets a key.
func (t *Queue[K]) Remove(k K) {
	if o := t.all[k]; o != nil {
		t.wheel.Cancel(&o.due)
		t.rests(o)
		delete(t.all, k)
	}
}

// ScheduleAt makes a key due at a clock time; it takes the place of what was set before.
func (t *Queue[K]) ScheduleAt(k K, at float64) {
	if o := t.all[k]; o != nil {
		t.wheel.Set(&o.due, at)
	}
}

// MarkDue makes a key due now. urgent asks for a turn ahead of others; whether it has one depends on what it has had.
func (t *Queue[K]) MarkDue(now float64, k K, urgent bool) {
	if o := t.all[k]; o != nil {
		t.wants(now, o, urgent)
	}
}

func (t *Queue[K]) wants(now float64, o *one[K], urgent bool) {
	if urgent && !o.urgent {
		// Guards against a tenant that orders one drain after the other and so is always first.
		most := t.terms.Urgent * o.weight
		o.tokens = min(most*urgentFor, o.tokens+max(now-o.tokensAt, 0)*most)
		if o.tokensAt = now; o.tokens > 0 {
			o.urgent = true
			if o.waits {
				t.fix(o.at)
			}
		}
	}
	if o.waits {
		return
	}
	o.virt = max(o.virt, t.virt-t.terms.IdleCredit/o.weight) // more of what was not asked for is not saved up
	o.waits, o.at, o.since = true, len(t.heap), now
	t.heap = append(t.heap, o)
	t.fix(o.at)
}

// Next is whose turn it is; ok is false while nobody is due, or the work that may be spent is used up. The caller looks at it and
// says Spent.
func (t *Queue[K]) Next(now float64) (k K, ok bool) {
	t.wheel.Advance(now, func(o *one[K]) { t.wants(now, o, false) })
	left := t.HasBudget(now)
	if len(t.heap) == 0 {
		return k, false
	}
	o := t.heap[0]
	if !left && !(o.urgent && t.tokens > -t.terms.Reserve) {
		t.Stats.BudgetExhausted++
		return k, false
	}
	t.Stats.Turns++
	if o.urgent {
		t.Stats.Urgent++
	} else {
		t.virt = max(t.virt, o.virt)
	}
	o.longest = max(o.longest, now-o.since)
	t.rests(o)
	o.turn, o.ahead, o.urgent = true, o.urgent, false
	return o.key, true
}

// Charge says what a look took, in seconds of work, whether it was its turn or something came in for it.
func (t *Queue[K]) Charge(k K, work float64) {
	t.tokens -= work
	o := t.all[k]
	if o == nil {
		return
	}
	if o.turn && o.ahead {
		o.tokens -= work
	}
	o.turn = false
	o.spent += work
	o.virt = max(o.virt, t.virt-t.terms.IdleCredit/o.weight) + work/o.weight
	if o.waits {
		t.fix(o.at)
	}
}

// Usage is what a key has taken in all, and the longest that it was due and waited, both in seconds.
func (t *Queue[K]) Usage(k K) (spent, longest float64) {
	if o := t.all[k]; o != nil {
		return o.spent, o.longest
	}
	return 0, 0
}

// HasBudget tells whether there is work left to be spent now.
func (t *Queue[K]) HasBudget(now float64) bool {
	t.tokens = min(t.terms.Burst, t.tokens+max(now-t.tokensAt, 0)*t.terms.Rate)
	t.tokensAt = max(now, t.tokensAt)
	return t.tokens > 0
}

// Len is the number of keys, and Waiting how many of them are due.
func (t *Queue[K]) Len() int    { return len(t.all) }
func (t *Queue[K]) DueLen() int { return len(t.heap) }

func (o *one[K]) before(p *one[K]) bool {
	if o.urgent != p.urgent {
		return o.urgent
	}
	if o.urgent {
		return o.since < p.since
	}
	return o.virt < p.virt || o.virt == p.virt && o.since < p.since
}

func (t *Queue[K]) rests(o *one[K]) {
	if !o.waits {
		return
	}
	i, last := o.at, len(t.heap)-1
	t.swap(i, last)
	t.heap[last] = nil
	t.heap = t.heap[:last]
	o.waits = false
	if i < last {
		t.fix(i)
	}
}

func (t *Queue[K]) swap(i, j int) {
	h := t.heap
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

func (t *Queue[K]) fix(i int) {
	h := t.heap
	for i > 0 && h[i].before(h[(i-1)/2]) {
		t.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		least := i
		for k := 2*i + 1; k <= 2*i+2 && k < len(h); k++ {
			if h[k].before(h[least]) {
				least = k
			}
		}
		if least == i {
			return
		}
		t.swap(i, least)
		i = least
	}
}
