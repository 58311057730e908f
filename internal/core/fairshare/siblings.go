package fairshare

import (
	"snowquay/internal/core/indexedheap"
)

// flow is the scheduling state of a tenant among those of its group, or of a group among all groups.
type flow struct {
	indexedheap.Position // position in siblings.throttled
	weight               float64
	virtualTime          float64 // borrowed units divided by weight, comparable among siblings
	yieldUntil           float64 // clock time in seconds until which siblings that are ahead yield to it
}

// Less orders flows by virtual time.
func (f *flow) Less(other *flow) bool { return f.virtualTime < other.virtualTime }

// siblings is a set of flows that borrow from each other: the tenants of a group, or all groups.
type siblings struct {
	totalWeight float64
	virtualTime float64                 // common virtual time, which never decreases
	throttled   indexedheap.Heap[*flow] // flows that others yield to, by virtual time
}

// yieldTo makes siblings that are ahead of a throttled flow yield to it until a clock time in seconds.
func (s *siblings) yieldTo(throttled *flow, until float64) {
	throttled.yieldUntil = max(throttled.yieldUntil, until)
	if !throttled.InHeap() {
		s.throttled.Push(throttled)
	}
}

// lead returns how far a flow is ahead of the least advanced throttled flow, in units divided by weight. A flow that is behind the common
// virtual time is advanced to it, so that it accrues no credit for units that it did not request.
func (s *siblings) lead(now float64, requesting *flow) float64 {
	for s.throttled.Len() > 0 && now > s.throttled.First().yieldUntil { // only the first delays others: those after it may remain
		s.throttled.Remove(s.throttled.First())
	}
	slowest := requesting
	if s.throttled.Len() > 0 {
		slowest = s.throttled.First()
	}
	s.virtualTime = max(s.virtualTime, slowest.virtualTime)
	if requesting.virtualTime < s.virtualTime {
		requesting.virtualTime = s.virtualTime
		s.throttled.Fix(requesting)
	}
	return requesting.virtualTime - s.virtualTime
}

// charge advances a flow's virtual time by the cost that it borrows, divided by its weight.
func (s *siblings) charge(borrowing *flow, cost float64) {
	borrowing.virtualTime += cost / borrowing.weight
	s.throttled.Fix(borrowing)
}
