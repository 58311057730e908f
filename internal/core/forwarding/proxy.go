// Package forwarding is a proxy without its sockets: it admits requests, picks a server for each, decides on retries, hedged requests
// and deadlines, and counts attempts for load reports. Events and clock times come in, actions go out. It is pure.
package forwarding

import (
	"errors"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/admission"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/core/outlier"
	"snowquay/internal/core/picker"
	"snowquay/internal/core/retry"
	"snowquay/internal/core/tablecache"
	"snowquay/internal/core/timingwheel"
)

// RequestID identifies a client's request. Each ID is used once.
type RequestID uint64

// AttemptID identifies one attempt to forward a request to a server. Each ID is used once.
type AttemptID uint64

// Request is what is known of a request when it arrives.
type Request struct {
	Class          balancer.Class
	IdempotencyKey string // by which servers recognise a retry; empty: none
	Fingerprint    uint64 // a hash of the request, which tells whether its key was used for another one
}

// ActionKind says what an Action asks for.
type ActionKind int

// Kinds of actions.
const (
	Send   ActionKind = iota // send a request to a server
	Cancel                   // close the connection of an attempt that is not needed any more, so that the server notices
	Fail                     // answer a client that its request failed
	Reject                   // answer a client that its request is not admitted, and when to retry
)

// Action is what the caller has to do.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    AttemptID       // Send, Cancel
	Server     balancer.Server // Send, Cancel
	Err        error           // Fail, Reject
	RetryAfter float64         // Reject: seconds after which the client may retry
}

var (
	// ErrNoServer says that no server may take a request.
	ErrNoServer = errors.New("no server may take it")
	// ErrDeadlineExceeded says that a request's client timeout is over.
	ErrDeadlineExceeded = errors.New("it took too long")
	// ErrAttemptsFailed says that the last attempt that was allowed failed.
	ErrAttemptsFailed = errors.New("the servers that were tried failed")
	// ErrKeyReused says that an idempotency key was used for another request.
	ErrKeyReused = errors.New("the key was used for another query")
)

const (
	timerResolution    = 0.01 // seconds; client timeouts are of seconds
	noServerRetryAfter = 1.0  // seconds after which a client for whom there was no server may retry
)

// Config of a Proxy.
type Config struct {
	Classes       []balancer.RequestClass
	ClassNames    []string
	RetryPolicies []balancer.RetryPolicy // by class, until a coordinator orders others
	AdmissionMode balancer.AdmissionMode
	Limits        admission.Limits
	Outliers      outlier.Config
	Budget        retry.Budget // of each class
	HedgeAfter    float64      // seconds after which an idempotent request is hedged; 0: never
	Locations     map[balancer.Server]retry.Location
	NewTable      func(class int) picker.Table
}

// attempt is one that is in flight.
type attempt struct {
	id     AttemptID
	server balancer.Server
	sentAt float64
}

// request is one that is in flight.
type request struct {
	id       RequestID
	received Request
	state    retry.Request
	attempts []*attempt // oldest first
	hedged   bool
	deadline timingwheel.Timer[*request]
	slow     timingwheel.Timer[*request] // fires when the latest attempt has taken long
}

// Stats counts events, for metrics.
type Stats struct {
	Requests         int
	Answered         int
	Failed           int
	DeadlineExceeded int // failed at their deadline
	Rejected         int // by admission control
	NoServer         int
	Attempts         int
	Retries          int
	Hedges           int
	OverBudget       int // retries that the budget did not allow
	ClientsGone      int
	KeysReused       int
}

// Proxy forwards requests. Use New. It is not safe for concurrent use.
type Proxy struct {
	config        Config
	Tables        *tablecache.Tables
	Admission     *admission.Controller
	Outliers      *outlier.Detector
	retryPolicies []balancer.RetryPolicy // by class
	budgets       []retry.Budget         // by class
	requests      map[RequestID]*request
	attempts      map[AttemptID]*request
	lastRequest   RequestID
	lastAttempt   AttemptID
	deadlines     *timingwheel.Wheel[*request]
	slowTimers    *timingwheel.Wheel[*request]
	keys          map[string]*keyRecord
	keyOrder      []string // oldest first
	serverTotals  map[balancer.Server]*loadreport.Totals
	classTotals   []loadreport.Totals
	actions       []Action
	Stats         Stats
}

// New returns a Proxy whose tables are empty.
func New(now float64, config Config) *Proxy {
	proxy := &Proxy{
		config:        config,
		Tables:        tablecache.New(config.ClassNames, config.NewTable),
		Admission:     admission.New(config.AdmissionMode, len(config.ClassNames), config.Limits),
		Outliers:      outlier.New(config.Outliers),
		retryPolicies: slices.Clone(config.RetryPolicies),
		requests:      map[RequestID]*request{},
		attempts:      map[AttemptID]*request{},
		deadlines:     timingwheel.New[*request](now, timerResolution),
		slowTimers:    timingwheel.New[*request](now, timerResolution),
		keys:          map[string]*keyRecord{},
		serverTotals:  map[balancer.Server]*loadreport.Totals{},
		classTotals:   make([]loadreport.Totals, len(config.ClassNames)),
	}
	for range config.ClassNames {
		proxy.budgets = append(proxy.budgets, config.Budget)
	}
	return proxy
}

// ApplyOrders applies what came with tables for the classes: admission and retry policies.
func (p *Proxy) ApplyOrders(now float64, orders []tablecache.ClassOrder) {
	for _, order := range orders {
		if order.Admission >= 0 {
			p.Admission.SetAdmission(now, order.Class, order.Admission, order.RetryAfter)
		}
		if order.HasRetry {
			p.retryPolicies[order.Class] = safePolicy(p.config.Classes[order.Class], order.Retry)
		}
	}
}

// safePolicy limits an ordered policy to what a class allows: a proxy does not follow an order by which an effect could happen twice.
func safePolicy(class balancer.RequestClass, ordered balancer.RetryPolicy) balancer.RetryPolicy {
	if class.Idempotency == balancer.NonIdempotent {
		return min(ordered, balancer.RetryIfNotExecuted)
	}
	return ordered
}

// takeActions returns the collected actions.
func (p *Proxy) takeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// ForgetServers forgets the failures of servers that are in no table any more.
func (p *Proxy) ForgetServers(servers []balancer.Server) {
	for _, server := range servers {
		p.Outliers.Forget(server)
	}
}

// RequestOf returns the request of an attempt that is in flight; ok is false if the attempt is not.
func (p *Proxy) RequestOf(id AttemptID) (request RequestID, ok bool) {
	req := p.attempts[id]
	if req == nil {
		return 0, false
	}
	return req.id, true
}

// InFlight returns the number of requests in flight.
func (p *Proxy) InFlight() int { return len(p.requests) }
