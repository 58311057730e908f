// Package forwarding implements the request handling of a proxy without its sockets: it admits requests, picks a server for each, decides
// on retries, hedged requests and deadlines, and counts attempts for load reports. It takes events and clock times, and returns the actions
// to perform. It does no I/O and reads no clock.
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

// Request describes a request on arrival.
type Request struct {
	Class          balancer.Class
	IdempotencyKey string // lets servers recognize a retry; empty if the request has none
	Fingerprint    uint64 // hash of the request, by which reuse of the key for another request is detected
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Send   ActionKind = iota // send a request to a server
	Cancel                   // close the connection of an attempt that is no longer needed, so that the server notices
	Fail                     // respond to a client whose request failed
	Reject                   // respond to a client whose request is not admitted, and say when to retry
)

// Action is an action that the caller must perform.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    AttemptID       // Send, Cancel
	Server     balancer.Server // Send, Cancel
	Err        error           // Fail, Reject
	RetryAfter float64         // Reject: seconds after which the client may retry
}

// Clients receive the texts of these errors as the titles of problem documents. Since the type of these documents is about:blank, a client
// can tell problems with the same status apart only by the title, so the texts must not change.
var (
	// ErrNoServer means that no server is eligible for a request.
	ErrNoServer = errors.New("no server may take it")
	// ErrDeadlineExceeded means that the client timeout of a request has expired.
	ErrDeadlineExceeded = errors.New("it took too long")
	// ErrAttemptsFailed means that the last attempt that was allowed has failed.
	ErrAttemptsFailed = errors.New("the servers that were tried failed")
	// ErrKeyReused means that an idempotency key was already used for a different request.
	ErrKeyReused = errors.New("the key was used for another query")
)

const (
	timerResolution    = 0.01 // seconds; client timeouts are on the order of seconds
	noServerRetryAfter = 1.0  // seconds after which a client may retry a request for which no server was available
)

// Config holds the configuration of a Proxy.
type Config struct {
	Classes       []balancer.RequestClass
	ClassNames    []string
	RetryPolicies []balancer.RetryPolicy // by class, until a coordinator sets others
	AdmissionMode balancer.AdmissionMode
	Limits        admission.Limits
	Outliers      outlier.Config
	Budget        retry.Budget // retry budget of each class
	HedgeAfter    float64      // seconds after which an idempotent request is hedged; 0 disables hedging
	Locations     map[balancer.Server]retry.Location
	NewTable      func(class int) picker.Table
}

// attempt is an attempt in flight.
type attempt struct {
	id     AttemptID
	server balancer.Server
	sentAt float64
}

// request is a request in flight.
type request struct {
	id            RequestID
	received      Request
	state         retry.Request
	attempts      []*attempt // oldest first
	hedged        bool
	deadlineTimer timingwheel.Timer[*request]
	slowTimer     timingwheel.Timer[*request] // fires when the latest attempt is slow
}

// Stats holds event counters for metrics.
type Stats struct {
	Requests         int
	Answered         int
	Failed           int
	DeadlineExceeded int // requests that failed at their deadline
	Rejected         int // requests rejected by admission control
	NoServer         int
	Attempts         int
	Retries          int
	Hedges           int
	OverBudget       int // retries that the retry budget did not allow
	ClientsGone      int
	KeysReused       int
}

// Proxy forwards requests. It must be created with New, and is not safe for concurrent use.
type Proxy struct {
	config          Config
	Tables          *tablecache.Tables
	Admission       *admission.Controller
	Outliers        *outlier.Detector
	retryPolicies   []balancer.RetryPolicy // by class
	budgets         []retry.Budget         // by class
	requests        map[RequestID]*request
	attempts        map[AttemptID]*request
	lastRequest     RequestID
	lastAttempt     AttemptID
	deadlineTimers  *timingwheel.Wheel[*request]
	slowTimers      *timingwheel.Wheel[*request]
	idempotencyKeys map[string]*keyRecord
	keyOrder        []string // oldest first
	serverTotals    map[balancer.Server]*loadreport.Totals
	classTotals     []loadreport.Totals
	actions         []Action
	Stats           Stats
}

// New returns a Proxy whose tables are empty.
func New(now float64, config Config) *Proxy {
	proxy := &Proxy{
		config:          config,
		Tables:          tablecache.New(config.ClassNames, config.NewTable),
		Admission:       admission.New(config.AdmissionMode, len(config.ClassNames), config.Limits),
		Outliers:        outlier.New(config.Outliers),
		retryPolicies:   slices.Clone(config.RetryPolicies),
		requests:        map[RequestID]*request{},
		attempts:        map[AttemptID]*request{},
		deadlineTimers:  timingwheel.New[*request](now, timerResolution),
		slowTimers:      timingwheel.New[*request](now, timerResolution),
		idempotencyKeys: map[string]*keyRecord{},
		serverTotals:    map[balancer.Server]*loadreport.Totals{},
		classTotals:     make([]loadreport.Totals, len(config.ClassNames)),
	}
	for range config.ClassNames {
		proxy.budgets = append(proxy.budgets, config.Budget)
	}
	return proxy
}

// ApplyOrders applies the admission settings and retry policies that a coordinator sent along with tables.
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

// safePolicy limits the retry policy that a coordinator ordered to what a class allows. This prevents an order from causing a
// non-idempotent request to take effect twice.
func safePolicy(class balancer.RequestClass, ordered balancer.RetryPolicy) balancer.RetryPolicy {
	if class.Idempotency == balancer.NonIdempotent {
		return min(ordered, balancer.RetryIfNotExecuted)
	}
	return ordered
}

// takeActions returns the pending actions and clears them.
func (p *Proxy) takeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// ForgetServers discards the recorded failures of servers that are no longer in any table.
func (p *Proxy) ForgetServers(servers []balancer.Server) {
	for _, server := range servers {
		p.Outliers.Forget(server)
	}
}

// RequestOf returns the request of an attempt. ok is false if the attempt is not in flight.
func (p *Proxy) RequestOf(id AttemptID) (request RequestID, ok bool) {
	req := p.attempts[id]
	if req == nil {
		return 0, false
	}
	return req.id, true
}

// InFlight returns the number of requests in flight.
func (p *Proxy) InFlight() int { return len(p.requests) }
