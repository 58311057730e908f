// Package admission decides which requests a proxy admits: by the fraction or rate that the coordinator sets for each class, and by
// limits of the requests in flight. The others are rejected at once, with a time after which the client may retry. It is pure.
package admission

import (
	"errors"

	"snowquay/balancer"
)

var (
	// ErrRateLimited says that the coordinator has limited the requests of this class.
	ErrRateLimited = errors.New("fewer queries of this class are let in")
	// ErrTooManyInFlight says that the proxy has as many requests in flight as Limits allow.
	ErrTooManyInFlight = errors.New("as many queries are under way as may be")
)

const (
	rateBurst            = 0.25 // seconds of a rate that may come at once, since traffic is uneven
	overloadedRetryAfter = 1.0  // seconds after which a client may retry when too many requests are in flight
	unlimitedRate        = -1.0 // no rate has been set
)

// Limits of the requests in flight; a request beyond one is rejected.
type Limits struct {
	MaxInFlight  int // in all
	MaxPerServer int // at one server
}

// DefaultLimits are the limits when the settings have none.
var DefaultLimits = Limits{MaxInFlight: 10000, MaxPerServer: 1000}

type classState struct {
	admission  float64 // fraction, or requests per second
	retryAfter float64 // seconds
	credit     float64 // AdmissionFraction: the part of a request that has not been admitted yet
	tokens     float64 // AdmissionRate: requests that may be admitted at once
	refilledAt float64 // clock time in seconds of tokens
}

// Controller admits requests. Use New.
type Controller struct {
	mode     balancer.AdmissionMode
	limits   Limits
	classes  []classState
	inFlight int
	byServer map[balancer.Server]int // in flight
	Stats    Stats
}

// Stats counts decisions, for metrics.
type Stats struct {
	Admitted    int
	RateLimited int
	Overloaded  int
}

// New returns a Controller for this number of classes, which admits all requests within the limits until SetAdmission.
func New(mode balancer.AdmissionMode, classes int, limits Limits) *Controller {
	c := &Controller{
		mode:     mode,
		limits:   limits,
		classes:  make([]classState, classes),
		byServer: map[balancer.Server]int{},
	}
	for i := range c.classes {
		c.classes[i].admission = 1
		if mode == balancer.AdmissionRate {
			c.classes[i].admission = unlimitedRate
		}
	}
	return c
}

// SetAdmission sets the fraction, or the rate in requests per second, of a class that is admitted, and the seconds after which the
// clients of rejected requests may retry.
func (c *Controller) SetAdmission(now float64, class balancer.Class, admission, retryAfter float64) {
	state := &c.classes[class]
	if state.admission < 0 {
		state.tokens = admission * rateBurst
		state.refilledAt = now
	}
	state.admission = admission
	state.retryAfter = retryAfter
}

// Admit decides on a request. An error, ErrTooManyInFlight or ErrRateLimited, says that it is rejected, and retryAfter is the time in
// seconds after which its client may retry; otherwise Done must follow. A fraction is admitted evenly: at 0.3 every third or fourth
// request, not a random one.
func (c *Controller) Admit(now float64, class balancer.Class) (retryAfter float64, err error) {
	if c.inFlight >= c.limits.MaxInFlight {
		c.Stats.Overloaded++
		return overloadedRetryAfter, ErrTooManyInFlight
	}
	state := &c.classes[class]
	if !state.admit(c.mode, now) {
		c.Stats.RateLimited++
		return state.retryAfter, ErrRateLimited
	}
	c.inFlight++
	c.Stats.Admitted++
	return 0, nil
}

func (s *classState) admit(mode balancer.AdmissionMode, now float64) bool {
	switch {
	case mode == balancer.AdmissionFraction && s.admission < 1:
		s.credit += s.admission
		if s.credit < 1 {
			return false
		}
		s.credit--
	case mode == balancer.AdmissionRate && s.admission >= 0:
		s.tokens = min(max(1, s.admission*rateBurst), s.tokens+(now-s.refilledAt)*s.admission)
		s.refilledAt = now
		if s.tokens < 1 {
			return false
		}
		s.tokens--
	}
	return true
}

// EndRequest ends a request that was admitted.
func (c *Controller) EndRequest() { c.inFlight-- }

// InFlight returns the number of admitted requests in flight.
func (c *Controller) InFlight() int { return c.inFlight }

// HasCapacity reports whether a server may have one more attempt in flight.
func (c *Controller) HasCapacity(server balancer.Server) bool {
	return c.byServer[server] < c.limits.MaxPerServer
}

// BeginAttempt counts an attempt at a server as in flight, until End.
func (c *Controller) BeginAttempt(server balancer.Server) { c.byServer[server]++ }

// EndAttempt ends an attempt that Begin counted.
func (c *Controller) EndAttempt(server balancer.Server) {
	c.byServer[server]--
	if c.byServer[server] <= 0 {
		delete(c.byServer, server)
	}
}

// InFlightAt returns the number of attempts in flight at a server.
func (c *Controller) InFlightAt(server balancer.Server) int { return c.byServer[server] }
