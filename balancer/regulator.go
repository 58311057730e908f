// The regulator: the intake of each server, from its work in process against a common target.

package balancer

import "math"

const (
	gainRatio = 0.2       // q/r, error against correction; the design starts at 0.1, slow in large fleets
	ignored   = 1.0 / 5.0 // of the target; errors below it are left alone; the design's
)

func gain(ratio float64) float64 { // the one-server solution of the Riccati equation
	s := (ratio + math.Sqrt(ratio*ratio+4*ratio)) / 2
	return s / (1 + s)
}

// regulate sets every server's intake = completion rate - gain x error / step, in which the mean work is
// worked off. A failed try is no completion but work for a goal time; a rise is scaled by what succeeds.
func (m *Balancer) regulate(now, due, gain float64) {
	type state struct{ rate, now, work, late, good float64 }
	states, rate, work, n, sent, kept := make([]state, len(m.order)), 0.0, 0.0, 0.0, 1e-9, 1e-9
	for i, s := range m.order {
		t, tries := s.sum(window, math.Inf(1), due)
		l, latest := s.sum(window, recent, due)
		if l.lost == 0 && latest >= leastTries/2 && t.lost > 0 { // what failed before is over
			t, tries = l, latest
		}
		if s.dropped && t.good == 0 {
			s.Phase = Removed
		}
		if !t.enough(tries) {
			continue
		}
		states[i] = state{t.good, l.good, t.seconds + t.lost*m.goal, l.seconds + l.lost*m.goal, t.good / t.tries}
		if s.Phase == Ready && m.ready(now, s) >= 1 {
			rate, work, n = rate+t.good, work+states[i].work, n+1
			if t.lost < t.tries/2 && t.seconds < calm*m.goal*t.good {
				sent, kept = sent+t.tries, kept+t.good
			}
		}
	}
	target, step := work/max(n, 1), work/max(rate, 1e-9)
	for i, s := range m.order {
		a := states[i]
		if a.good == 0 && a.work == 0 || target == 0 { // no evidence: as it was
			continue
		}
		// Work that is there no more, or no longer missing, is not corrected again.
		e := max(min(a.work, a.late)-target, 0) + min(max(a.work, a.late)-target, 0)*a.good
		if math.Abs(e) < ignored*target {
			e = 0
		}
		a.rate *= min(sent/kept, 1/max(a.good, 1e-9)) // what all lose that answer in calm time is no fault of one
		if s.met = true; e < 0 {
			a.rate = max(a.rate, a.now) // its weight has risen since
		}
		s.intake = min(max(a.rate-gain*e/step, 0), 2*max(a.rate, rate/n/4))
	}
}
