// Package admission decides which queries are let in: by levels that the coordinator orders for each class, and by limits of
// what may be under way. What is not let in is refused at once, and told when to come back. It is pure.
package admission

import (
	"errors"

	"snowquay/balancer"
)

var (
	// ErrRateLimited says that the coordinator lets fewer queries of this class in.
	ErrRateLimited = errors.New("fewer queries of this class are let in")
	// ErrTooManyInFlight says that as many queries are under way as may be.
	ErrTooManyInFlight = errors.New("as many queries are under way as may be")
)

const rateBurst = 0.25 // seconds of a rate that may come at once: traffic is not even

// Limits of what may be under way; a query beyond one is refused.
type Limits struct {
	MaxInFlight  int // in all
	MaxPerServer int // at one server
}

// DefaultLimits are those that settings start from.
var DefaultLimits = Limits{MaxInFlight: 10000, MaxPerServer: 1000}

type gate struct {
	level    float64
	back     float64
	credit   float64 // of a fraction: what was let in too little
	tokens   float64 // of a rate
	tokensAt float64
}

// Controller lets queries in. Use New.
type Controller struct {
	kind   balancer.AdmissionMode
	limits Limits
	gates  []gate
	inside int
	at     map[balancer.Server]int
	Stats  Stats
}

// Stats is what happened, for metrics.
type Stats struct{ Admitted, RateLimited, Overloaded int }

// New makes a door for so many classes, all open.
func New(kind balancer.AdmissionMode, classes int, limits Limits) *Controller {
	d := &Controller{kind: kind, limits: limits, gates: make([]gate, classes), at: map[balancer.Server]int{}}
	for i := range d.gates {
		d.gates[i].level = 1
		if kind == balancer.AdmissionRate {
			d.gates[i].level = -1 // until one is ordered
		}
	}
	return d
}

// SetAdmission takes an order for a class: what part or rate is let in, and after how many seconds the others may come back.
func (d *Controller) SetAdmission(now float64, c balancer.Class, level, back float64) {
	g := &d.gates[c]
	if g.level < 0 {
		g.tokens, g.tokensAt = level*rateBurst, now
	}
	g.level, g.back = level, back
}

// Admit asks for a query. With an error it is refused, and back is when its client may come again, in seconds; else Leave must
// follow. A fraction is let in evenly: of ten queries at a level of 0.3 the same three, not three by chance.
func (d *Controller) Admit(now float64, c balancer.Class) (back float64, err error) {
	if d.inside >= d.limits.MaxInFlight {
		d.Stats.Overloaded++
		return 1, ErrTooManyInFlight
	}
	g := &d.gates[c]
	switch {
	case d.kind == balancer.AdmissionFraction && g.level < 1:
		if g.credit += g.level; g.credit < 1 {
			d.Stats.RateLimited++
			return g.back, ErrRateLimited
		}
		g.credit--
	case d.kind == balancer.AdmissionRate && g.level >= 0:
		g.tokens = min(max(1, g.level*rateBurst), g.tokens+(now-g.tokensAt)*g.level)
		if g.tokensAt = now; g.tokens < 1 {
			d.Stats.RateLimited++
			return g.back, ErrRateLimited
		}
		g.tokens--
	}
	d.inside++
	d.Stats.Admitted++
	return 0, nil
}

// Done ends a query that was let in.
func (d *Controller) Done() { d.inside-- }

// InFlight is the number of queries under way.
func (d *Controller) InFlight() int { return d.inside }

// HasCapacity tells whether a server may have one more.
func (d *Controller) HasCapacity(s balancer.Server) bool { return d.at[s] < d.limits.MaxPerServer }

// Begin and End count what is under way at a server.
func (d *Controller) Begin(s balancer.Server) { d.at[s]++ }

// End of Begin.
func (d *Controller) End(s balancer.Server) {
	if d.at[s]--; d.at[s] <= 0 {
		delete(d.at, s)
	}
}

// InFlightAt is the number of queries under way at a server.
func (d *Controller) InFlightAt(s balancer.Server) int { return d.at[s] }
