package fairshare

import (
	"snowquay/internal/core/indexedheap"
)

// flow is a tenant among those of its group, or a group among all groups.
type flow struct {
	indexedheap.Position // among siblings that are waited for
	weight               float64
	virtualTime          float64 // units borrowed over weight, comparable to siblings'
	waitedUntil          float64 // clock time in seconds until which siblings that are ahead wait for it
}

// Less orders flows by virtual time.
func (f *flow) Less(other *flow) bool { return f.virtualTime < other.virtualTime }

// siblings are flows that borrow from each other: the tenants of a group, or the groups.
type siblings struct {
	totalWeight float64
	virtualTime float64 // never decreases
	throttled   indexedheap.Heap[*flow]
}

// waitFor makes siblings that are ahead of a throttled flow wait for it until a clock time in seconds.
func (s *siblings) waitFor(throttled *flow, until float64) {
	throttled.waitedUntil = max(throttled.waitedUntil, until)
	if !throttled.InHeap() {
		s.throttled.Push(throttled)
	}
}

// lead returns how far a flow is ahead of the slowest that is waited for, in units over weight. A flow behind the common virtual time
// is moved up to it: it does not save up what it has not requested.
func (s *siblings) lead(now float64, requesting *flow) float64 {
	for s.throttled.Len() > 0 && now > s.throttled.First().waitedUntil { // the others are ahead of the first and delay nobody
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

// charge advances a flow's virtual time by what it borrows.
func (s *siblings) charge(borrowing *flow, cost float64) {
	borrowing.virtualTime += cost / borrowing.weight
	s.throttled.Fix(borrowing)
}
