// Package admission decides which requests a proxy admits, according to the fraction or rate that the coordinator sets for each class and
// to limits on the requests in flight. Other requests are rejected immediately, with a time after which the client may retry. It does no
// I/O and reads no clock.
package admission

import (
	"errors"

	"snowquay/balancer"
)

// Clients receive the texts of these errors as the titles of problem documents. Since the type of these documents is about:blank, a client
// can tell problems with the same status apart only by the title, so the texts must not change.
var (
	// ErrRateLimited means that the coordinator has limited the requests of the class.
	ErrRateLimited = errors.New("fewer queries of this class are let in")
	// ErrTooManyInFlight means that the proxy has as many requests in flight as Limits allow.
	ErrTooManyInFlight = errors.New("as many queries are under way as may be")
)

const (
	rateBurst            = 0.25 // burst in seconds of the rate, since traffic is uneven
	overloadedRetryAfter = 1.0  // seconds after which a client may retry when too many requests are in flight
	unlimitedRate        = -1.0 // rate limit of a class before a rate is set
)

// Limits are limits on the number of requests in flight. Requests that exceed them are rejected.
type Limits struct {
	MaxInFlight  int // for all servers together
	MaxPerServer int // per server
}

// DefaultLimits are the limits that are used if the settings specify none.
var DefaultLimits = Limits{MaxInFlight: 10000, MaxPerServer: 1000}

// classState holds the admission state of a request class.
type classState struct {
	admission  float64 // admitted fraction, or rate in requests per second
	retryAfter float64 // seconds
	credit     float64 // for AdmissionFraction: fraction of a request carried over; a request is admitted once it reaches 1
	tokens     float64 // for AdmissionRate: requests that may be admitted at once
	refilledAt float64 // clock time in seconds of the latest refill of tokens
}

// Controller admits requests. It must be created with New.
type Controller struct {
	mode     balancer.AdmissionMode
	limits   Limits
	classes  []classState
	inFlight int
	byServer map[balancer.Server]int // attempts in flight
	Stats    Stats
}

// Stats holds decision counters for metrics.
type Stats struct {
	Admitted    int
	RateLimited int
	Overloaded  int // rejected because too many requests were in flight
}

// New returns a Controller for a number of classes. It admits all requests within the limits until SetAdmission is called.
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

// SetAdmission sets the fraction of the requests of a class that is admitted, or their rate in requests per second, and the time in seconds
// after which clients may retry rejected requests.
func (c *Controller) SetAdmission(now float64, class balancer.Class, admission, retryAfter float64) {
	state := &c.classes[class]
	if state.admission < 0 {
		state.tokens = admission * rateBurst
		state.refilledAt = now
	}
	state.admission = admission
	state.retryAfter = retryAfter
}

// Admit decides whether to admit a request. A rejection is returned as ErrTooManyInFlight or ErrRateLimited, with the time in seconds
// after which the client may retry. For an admitted request, EndRequest must be called when it ends. A fraction is admitted evenly: at 0.3
// every third or fourth request is admitted, rather than a random selection.
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

// admit reports whether the fraction or rate of the class admits one more request, and counts it.
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

// EndRequest records the end of an admitted request.
func (c *Controller) EndRequest() { c.inFlight-- }

// InFlight returns the number of admitted requests in flight.
func (c *Controller) InFlight() int { return c.inFlight }

// HasCapacity reports whether one more attempt may be sent to a server.
func (c *Controller) HasCapacity(server balancer.Server) bool {
	return c.byServer[server] < c.limits.MaxPerServer
}

// BeginAttempt records an attempt at a server as in flight, until EndAttempt is called.
func (c *Controller) BeginAttempt(server balancer.Server) { c.byServer[server]++ }

// EndAttempt records the end of an attempt that was passed to BeginAttempt.
func (c *Controller) EndAttempt(server balancer.Server) {
	c.byServer[server]--
	if c.byServer[server] <= 0 {
		delete(c.byServer, server)
	}
}

// InFlightAt returns the number of attempts in flight at a server.
func (c *Controller) InFlightAt(server balancer.Server) int { return c.byServer[server] }
