// Package forwarding is a proxy without its sockets: it lets queries in, picks a server for each, decides what happens when a
// try fails, gives up in time, and counts what it met. Facts and times come in, orders go out. It is pure.
package forwarding

import (
	"errors"
	"maps"
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

// RequestID identifies a client's request. Each number is used once.
type RequestID uint64

// AttemptID identifies one attempt to forward a query to a server. Each number is used once.
type AttemptID uint64

// Request is what is known of a query when it comes.
type Request struct {
	Class          balancer.Class
	IdempotencyKey string // by which servers know a repeat; empty: none
	Fingerprint    uint64 // a hash of what is asked, to tell whether a key was used for something else
}

// ActionKind of an order.
type ActionKind int

// What the driver is asked to do.
const (
	Send   ActionKind = iota // try a query at a server
	Cancel                   // nobody waits for a try any more: its connection is closed, so that the server notices
	Fail                     // tell a client that its query has no answer
	Reject                   // tell a client that its query is not let in, and when to come back
)

// Action is what the driver has to do.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    AttemptID
	Server     balancer.Server
	Err        error
	RetryAfter float64 // seconds after which the client may come again
}

var (
	// ErrNoServer says that no server may take a query.
	ErrNoServer = errors.New("no server may take it")
	// ErrDeadlineExceeded says that a query's client timeout is over.
	ErrDeadlineExceeded = errors.New("it took too long")
	// ErrAttemptsFailed says that the last try that was allowed failed.
	ErrAttemptsFailed = errors.New("the servers that were tried failed")
	// ErrKeyReused says that a key was used for another query.
	ErrKeyReused = errors.New("the key was used for another query")
)

const (
	tick     = 0.01   // seconds of the timing wheel: client timeouts are of seconds
	mostKeys = 65536  // keys that are remembered; older ones are forgotten first, and a client's own repeat may then go anywhere
	backSoon = 1.0    // seconds after which a client for whom there was no server may come again
	mostSeen = 16384  // servers that are counted; those without a line go first
	hedgeMin = 0.0001 // seconds; a hedge is never sent at once
)

// Config of a proxy.
type Config struct {
	Classes       []balancer.RequestClass
	ClassNames    []string
	RetryPolicies []balancer.RetryPolicy // by class, until a coordinator orders otherwise
	AdmissionMode balancer.AdmissionMode
	Limits        admission.Limits
	Outliers      outlier.Config
	Budget        retry.Budget
	HedgeAfter    float64 // seconds after which a query that is safe to repeat is tried once more beside the first try; 0: never
	Locations     map[balancer.Server]retry.Location
	NewTable      func(class int) picker.Table
}

type try struct {
	number AttemptID
	server balancer.Server
	sent   float64
}

type query struct {
	number RequestID
	ask    Request
	repeat retry.Request
	came   float64
	tries  []*try // under way
	timer  timingwheel.Timer[*query]
	hedged bool
	look   timingwheel.Timer[*query] // when its newest try has taken long
}

type keyed struct {
	key   string
	print uint64
	first retry.Location
	at    float64
	ran   bool
	until float64
}

// Stats is what happened, for metrics.
type Stats struct {
	Requests, Answered, Failed, Late, Rejected, NoServer, Attempts, Retries, Hedges, OverBudget, ClientsGone, KeysReused int
}

// Proxy is one. Use New.
type Proxy struct {
	setup     Config
	Tables    *tablecache.Tables
	Admission *admission.Controller
	Outliers  *outlier.Detector
	ways      []balancer.RetryPolicy
	budgets   []retry.Budget
	queries   map[RequestID]*query
	tries     map[AttemptID]*query
	nextQ     RequestID
	nextT     AttemptID
	wheel     *timingwheel.Wheel[*query]
	looks     *timingwheel.Wheel[*query]
	keys      map[string]*keyed
	order     []string // keys, oldest first
	served    map[balancer.Server]*loadreport.Totals
	demand    []loadreport.Totals
	orders    []Action
	Stats     Stats
}

// New makes a proxy without a table.
func New(now float64, s Config) *Proxy {
	p := &Proxy{setup: s, Tables: tablecache.New(s.ClassNames, s.NewTable), Admission: admission.New(s.AdmissionMode, len(s.ClassNames), s.Limits),
		Outliers: outlier.New(s.Outliers), ways: append([]balancer.RetryPolicy(nil), s.RetryPolicies...), queries: map[RequestID]*query{}, tries: map[AttemptID]*query{},
		wheel: timingwheel.New[*query](now, tick), looks: timingwheel.New[*query](now, tick), keys: map[string]*keyed{},
		served: map[balancer.Server]*loadreport.Totals{}, demand: make([]loadreport.Totals, len(s.ClassNames))}
	for range s.ClassNames {
		p.budgets = append(p.budgets, s.Budget)
	}
	return p
}

// ApplyOrders takes orders for classes that came with tables.
func (p *Proxy) ApplyOrders(now float64, orders []tablecache.ClassOrder) {
	for _, o := range orders {
		if o.Admission >= 0 {
			p.Admission.SetAdmission(now, o.Class, o.Admission, o.RetryAfter)
		}
		if o.HasRetry {
			p.ways[o.Class] = safe(p.setup.Classes[o.Class], o.Retry)
		}
	}
}

// safe is how a class is repeated at most, whatever was ordered: a proxy that knows its classes does not follow an order that
// could make an effect happen twice.
func safe(q balancer.RequestClass, wish balancer.RetryPolicy) balancer.RetryPolicy {
	if q.Idempotency == balancer.NonIdempotent {
		return min(wish, balancer.RetryIfNotExecuted)
	}
	return wish
}

// take hands out what was ordered.
func (p *Proxy) take() []Action {
	o := p.orders
	p.orders = nil
	return o
}

// HandleRequest takes a query.
func (p *Proxy) HandleRequest(now float64, a Request) (RequestID, []Action) {
	p.Stats.Requests++
	p.nextQ++
	n := p.nextQ
	p.demand[a.Class].Attempts++
	class := p.setup.Classes[a.Class]
	k, err := p.key(now, a, class)
	if err != nil {
		p.Stats.KeysReused++
		return n, []Action{{Kind: Reject, Request: n, Err: err}}
	}
	back, err := p.Admission.Admit(now, a.Class)
	if err != nil {
		p.Stats.Rejected++
		return n, []Action{{Kind: Reject, Request: n, Err: err, RetryAfter: back}}
	}
	q := &query{number: n, ask: a, came: now, repeat: retry.Request{Class: class, Policy: p.ways[a.Class], Deadline: now + class.ClientTimeout,
		HasKey: a.IdempotencyKey != ""}}
	if k != nil && k.ran { // its client repeats it: it goes where the first one may have run
		q.repeat.MaybeExecuted, q.repeat.FirstExecution, q.repeat.FirstSentAt = true, k.first, k.at
	}
	p.queries[n] = q
	q.timer.Value, q.look.Value = q, q
	p.wheel.Set(&q.timer, q.repeat.Deadline)
	p.budgets[a.Class].RecordRequest()
	if !p.send(now, q) {
		p.Stats.NoServer++
		p.end(q)
		p.demand[a.Class].Failed++
		return n, append(p.take(), Action{Kind: Reject, Request: n, Err: ErrNoServer, RetryAfter: backSoon})
	}
	return n, p.take()
}

// key looks whether a key is known: for the same query, whose client repeats it, or for another one, which is refused.
func (p *Proxy) key(now float64, a Request, class balancer.RequestClass) (*keyed, error) {
	if a.IdempotencyKey == "" || class.Idempotency == balancer.Idempotent {
		return nil, nil
	}
	k := p.keys[a.IdempotencyKey]
	if k != nil && now < k.until {
		if k.print != a.Fingerprint {
			return nil, ErrKeyReused
		}
		return k, nil
	}
	if k == nil {
		p.order = append(p.order, a.IdempotencyKey)
	}
	for len(p.order) > mostKeys || len(p.order) > 0 && p.keys[p.order[0]] != nil && now >= p.keys[p.order[0]].until && p.order[0] != a.IdempotencyKey {
		delete(p.keys, p.order[0])
		p.order = p.order[1:]
	}
	k = &keyed{key: a.IdempotencyKey, print: a.Fingerprint, until: now + class.ClientTimeout + class.DedupWindow}
	p.keys[a.IdempotencyKey] = k
	return k, nil
}

func (p *Proxy) place(s balancer.Server) retry.Location {
	if at, ok := p.setup.Locations[s]; ok {
		return at
	}
	return retry.Location{Server: s, Zone: -1, FailureDomain: -1} // nobody knows: it is in no group but its own
}

// send picks a server for a query's next try; false: none may take it. Servers that fail are avoided, unless all that are
// left do; so are those that the query has been at, unless it is safe there.
func (p *Proxy) send(now float64, q *query) bool {
	t := p.Tables.Table(q.ask.Class)
	may := func(avoid, again bool) func(balancer.Server) bool {
		return func(s balancer.Server) bool {
			return p.Admission.HasCapacity(s) && (avoid || !p.Outliers.Ejected(now, s)) && (again || !q.repeat.Tried(s)) && q.repeat.AllowedAt(p.place(s))
		}
	}
	s, ok := t.Pick(may(false, false))
	for _, x := range [][2]bool{{true, false}, {false, true}, {true, true}} {
		if !ok {
			s, ok = t.Pick(may(x[0], x[1]))
		}
	}
	if !ok {
		return false
	}
	p.nextT++
	x := &try{number: p.nextT, server: s, sent: now}
	q.tries = append(q.tries, x)
	q.repeat.RecordAttempt(s)
	p.tries[x.number] = q
	p.Admission.Begin(s)
	p.Stats.Attempts++
	if m := p.met(s); m != nil {
		m.Attempts++
	}
	after := q.repeat.Class.LatencyObjective
	if p.hedges(q) {
		after = p.setup.HedgeAfter
	}
	p.looks.Set(&q.look, now+after)
	p.orders = append(p.orders, Action{Kind: Send, Request: q.number, Attempt: x.number, Server: s})
	return true
}

func (p *Proxy) met(s balancer.Server) *loadreport.Totals {
	m := p.served[s]
	if m == nil {
		if len(p.served) >= mostSeen {
			for o := range p.served {
				if !p.Tables.HasServer(o) && p.Admission.InFlightAt(o) == 0 {
					delete(p.served, o)
				}
			}
		}
		if len(p.served) >= mostSeen {
			return nil
		}
		m = &loadreport.Totals{}
		p.served[s] = m
	}
	return m
}

func (q *query) find(t AttemptID) *try {
	for _, x := range q.tries {
		if x.number == t {
			return x
		}
	}
	return nil
}

// over ends a try.
func (p *Proxy) over(q *query, x *try) {
	delete(p.tries, x.number)
	p.Admission.End(x.server)
	for i, o := range q.tries {
		if o == x {
			q.tries = append(q.tries[:i], q.tries[i+1:]...)
			break
		}
	}
}

// end forgets a query; what is still under way for it is called back.
func (p *Proxy) end(q *query) {
	for len(q.tries) > 0 {
		x := q.tries[0]
		p.over(q, x)
		p.orders = append(p.orders, Action{Kind: Cancel, Request: q.number, Attempt: x.number, Server: x.server})
	}
	p.wheel.Cancel(&q.timer)
	p.looks.Cancel(&q.look)
	delete(p.queries, q.number)
	p.Admission.Done()
}

// AttemptSucceeded tells that a try brought an answer for its client; ok is false if nobody waits for it any more.
func (p *Proxy) AttemptSucceeded(now float64, t AttemptID) (RequestID, []Action, bool) {
	q := p.tries[t]
	if q == nil {
		return 0, nil, false
	}
	x := q.find(t)
	p.over(q, x)
	p.Outliers.RecordSuccess(x.server)
	if m := p.met(x.server); m != nil {
		m.Seconds += now - x.sent
	}
	p.remember(q, x)
	p.Stats.Answered++
	p.end(q)
	return q.number, p.take(), true
}

// remember notes under a query's key where it may have run, for its client's own repeats.
func (p *Proxy) remember(q *query, x *try) {
	if k := p.keys[q.ask.IdempotencyKey]; k != nil && q.ask.IdempotencyKey != "" && !k.ran && q.repeat.Class.Idempotency != balancer.Idempotent {
		k.ran, k.first, k.at = true, p.place(x.server), x.sent
	}
}

// AttemptFailed tells that a try brought none. The query is tried once more where that is allowed, or fails.
func (p *Proxy) AttemptFailed(now float64, t AttemptID, o retry.Outcome) []Action {
	q := p.tries[t]
	if q == nil {
		return nil
	}
	p.failed(now, q, q.find(t), o)
	return p.take()
}

func (p *Proxy) failed(now float64, q *query, x *try, o retry.Outcome) {
	p.over(q, x)
	p.Outliers.RecordFailure(now, x.server)
	if m := p.met(x.server); m != nil {
		m.Failed++
	}
	q.repeat.RecordFailure(p.place(x.server), x.sent, o)
	if o == retry.MaybeExecuted {
		p.remember(q, x)
	}
	if len(q.tries) > 0 { // the other one of a hedge goes on
		return
	}
	if q.repeat.MayRetry(now, o) {
		if !p.budgets[q.ask.Class].TryRetry() {
			p.Stats.OverBudget++
		} else if p.send(now, q) {
			p.Stats.Retries++
			return
		}
	}
	p.fail(q, ErrAttemptsFailed)
}

func (p *Proxy) fail(q *query, why error) {
	p.Stats.Failed++
	p.demand[q.ask.Class].Failed++
	p.end(q)
	p.orders = append(p.orders, Action{Kind: Fail, Request: q.number, Err: why})
}

// ClientGone tells that a query's client has gone: what is under way for it is called back.
func (p *Proxy) ClientGone(n RequestID) []Action {
	q := p.queries[n]
	if q == nil {
		return nil
	}
	p.Stats.ClientsGone++
	p.end(q)
	return p.take()
}

// Tick gives up what took too long, and sends hedges.
func (p *Proxy) Tick(now float64) []Action {
	p.wheel.Advance(now, func(q *query) {
		p.Stats.Late++
		for _, x := range q.tries { // a server that answers nothing fails, as one that breaks does
			p.Outliers.RecordFailure(now, x.server)
			if m := p.met(x.server); m != nil {
				m.Failed++
			}
			p.remember(q, x)
		}
		p.fail(q, ErrDeadlineExceeded)
	})
	p.looks.Advance(now, func(q *query) { p.slow(now, q) })
	return p.take()
}

// hedges tells whether a query is to be tried beside its first try, once that has taken long.
func (p *Proxy) hedges(q *query) bool {
	return p.setup.HedgeAfter > hedgeMin && !q.hedged && q.repeat.Class.Idempotency == balancer.Idempotent
}

// slow looks at a query whose newest try has taken long: longer than a hedge waits, or than its goal time. In the second case
// the try is given up where the query may be tried elsewhere; else its answer is waited for, late as it will be.
func (p *Proxy) slow(now float64, q *query) {
	if p.hedges(q) {
		if q.hedged = true; len(q.tries) == 1 && p.budgets[q.ask.Class].TryRetry() && p.send(now, q) {
			p.Stats.Hedges++
			return
		}
	}
	if len(q.tries) == 0 {
		return
	}
	x := q.tries[0]
	then := q.repeat
	if then.RecordFailure(p.place(x.server), x.sent, retry.MaybeExecuted); len(q.tries) > 1 || !then.MayRetry(now, retry.MaybeExecuted) {
		return
	}
	p.orders = append(p.orders, Action{Kind: Cancel, Request: q.number, Attempt: x.number, Server: x.server})
	p.failed(now, q, x, retry.MaybeExecuted)
}

// RemoveServers forgets servers that have no line any more, where nothing is under way.
func (p *Proxy) RemoveServers(servers []balancer.Server) {
	for _, s := range servers {
		p.Outliers.Forget(s)
	}
}

// RequestOf is the query of a try that is under way.
func (p *Proxy) RequestOf(t AttemptID) (RequestID, bool) {
	q := p.tries[t]
	if q == nil {
		return 0, false
	}
	return q.number, true
}

// InFlight is the number of queries under way.
func (p *Proxy) InFlight() int { return len(p.queries) }

// Reports are the totals since the start, by server and by class, for measurements.
func (p *Proxy) Reports(server func(balancer.Server, loadreport.Totals), class func(balancer.Class, loadreport.Totals)) {
	for _, s := range slices.Sorted(maps.Keys(p.served)) {
		server(s, *p.served[s])
	}
	for c, t := range p.demand {
		class(balancer.Class(c), t)
	}
}
