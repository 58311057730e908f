// Package retry decides whether a query that failed may be sent once more, and where: by what its class allows, by what is
// known of the tries so far, and within a budget. It is pure.
package retry

import "snowquay/balancer"

// Outcome of a try that brought no answer.
type Outcome int

// What is known of a failed attempt.
const (
	NeverRan   Outcome = iota // it is proved that the server never began with it
	MayHaveRun                // it failed after the server may have had it
)

// Place of a server.
type Place struct {
	Server balancer.Server
	Zone   balancer.Zone
	Pod    balancer.FailureDomain
}

// Query is what is known of a query's tries.
type Query struct {
	Class   balancer.RequestClass
	Way     balancer.RetryPolicy // that the coordinator orders, or the settings
	Until   float64              // clock time at which its client gives it up
	Keyed   bool                 // it carries a key by which servers know a repeat
	Tries   int                  // so far
	Ran     bool                 // one of them may have run
	First   Place                // the first that may have run
	FirstAt float64              // when that one was sent
	tried   [keptTried]balancer.Server
}

const (
	keptTried = 4    // servers that a query has been at
	leastLeft = 0.02 // seconds that a client must still wait for a repeat to make sense: a way there and back, and a little work
)

// Sent notes a try.
func (q *Query) Sent(s balancer.Server) {
	q.tried[q.Tries%keptTried] = s
	q.Tries++
}

// Failed notes how the latest try ended.
func (q *Query) Failed(at Place, sent float64, o Outcome) {
	if o == MayHaveRun && !q.Ran {
		q.Ran, q.First, q.FirstAt = true, at, sent
	}
}

// Tried tells whether a server had the query already.
func (q *Query) Tried(s balancer.Server) bool {
	for i := range min(q.Tries, keptTried) {
		if q.tried[i] == s {
			return true
		}
	}
	return false
}

// May tells whether a query whose latest try ended so may be sent once more now. Guards against effects that happen twice: a
// single-shot query is repeated only on proof that no try of it has run; a guarded one only under its key, to servers that
// drop each other's repeats, and while they still know the first. It does harm to those who would rather have had two
// effects than none.
func (q *Query) May(now float64, last Outcome) bool {
	most := 1
	switch q.Way {
	case balancer.RetryNever:
		return false
	case balancer.RetryTwice:
		most = 2
	}
	if q.Tries > most || q.Until-now < leastLeft || last == MayHaveRun && q.Way == balancer.RetryIfNotExecuted {
		return false
	}
	if !q.Ran {
		return true
	}
	switch q.Class.Idempotency {
	case balancer.Idempotent:
		return true
	case balancer.Keyed:
		return q.Keyed && now < q.FirstAt+q.Class.DedupWindow
	}
	return false
}

// At tells whether a repeat may go to a server.
func (q *Query) At(p Place) bool {
	if q.Class.Idempotency == balancer.Idempotent || !q.Ran {
		return true
	}
	if q.Class.Idempotency == balancer.NonIdempotent {
		return false
	}
	switch q.Class.DedupScope {
	case balancer.SameZone:
		return p.Zone == q.First.Zone
	case balancer.SameFailureDomain:
		return p.Pod == q.First.Pod
	}
	return true
}

// Budget keeps repeats under a part of all first tries, so that a fleet in trouble is not sent more than it is asked.
type Budget struct {
	Part  float64 // repeats for each first try
	Burst float64 // that may come at once
	left  float64
	begun bool
}

// UsualBudget is what settings start from.
var UsualBudget = Budget{Part: 0.2, Burst: 10}

// First notes a query's first try.
func (b *Budget) First() {
	if !b.begun {
		b.begun, b.left = true, b.Burst
	}
	b.left = min(b.Burst, b.left+b.Part)
}

// Take asks for a repeat.
func (b *Budget) Take() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
