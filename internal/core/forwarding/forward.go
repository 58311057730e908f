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

// Query identifies a client's request. Each number is used once.
type Query uint64

// Try identifies one attempt to forward a query to a server. Each number is used once.
type Try uint64

// Ask is what is known of a query when it comes.
type Ask struct {
	Class balancer.Class
	Key   string // by which servers know a repeat; empty: none
	Print uint64 // a hash of what is asked, to tell whether a key was used for something else
}

// Kind of an order.
type Kind int

// What the driver is asked to do.
const (
	Send   Kind = iota // try a query at a server
	Cancel             // nobody waits for a try any more: its connection is closed, so that the server notices
	Fail               // tell a client that its query has no answer
	Refuse             // tell a client that its query is not let in, and when to come back
)

// Order is what the driver has to do.
type Order struct {
	Kind   Kind
	Query  Query
	Try    Try
	Server balancer.Server
	Why    error
	Back   float64 // seconds after which the client may come again
}

var (
	// ErrNowhere says that no server may take a query.
	ErrNowhere = errors.New("no server may take it")
	// ErrLate says that a query's client timeout is over.
	ErrLate = errors.New("it took too long")
	// ErrFailed says that the last try that was allowed failed.
	ErrFailed = errors.New("the servers that were tried failed")
	// ErrKey says that a key was used for another query.
	ErrKey = errors.New("the key was used for another query")
)

const (
	tick     = 0.01   // seconds of the timing wheel: client timeouts are of seconds
	mostKeys = 65536  // keys that are remembered; older ones are forgotten first, and a client's own repeat may then go anywhere
	backSoon = 1.0    // seconds after which a client for whom there was no server may come again
	mostSeen = 16384  // servers that are counted; those without a line go first
	hedgeMin = 0.0001 // seconds; a hedge is never sent at once
)

// Setup of a proxy.
type Setup struct {
	Classes []balancer.RequestClass
	Names   []string
	Ways    []balancer.RetryPolicy // by class, until a coordinator orders otherwise
	Levels  balancer.AdmissionMode
	Limits  admission.Limits
	Avoid   outlier.Terms
	Budget  retry.Budget
	Hedge   float64 // seconds after which a query that is safe to repeat is tried once more beside the first try; 0: never
	Places  map[balancer.Server]retry.Place
	Make    func(class int) picker.Table
}

type try struct {
	number Try
	server balancer.Server
	sent   float64
}

type query struct {
	number Query
	ask    Ask
	repeat retry.Query
	came   float64
	tries  []*try // under way
	timer  timingwheel.Timer[*query]
	hedged bool
	look   timingwheel.Timer[*query] // when its newest try has taken long
}

type keyed struct {
	key   string
	print uint64
	first retry.Place
	at    float64
	ran   bool
	until float64
}

// Counts is what happened, for metrics.
type Counts struct {
	Asked, Answered, Failed, Late, Refused, Nowhere, Tries, Repeats, Hedges, OverBudget, Left, Keys int
}

// Proxy is one. Use New.
type Proxy struct {
	setup   Setup
	Tables  *tablecache.Tables
	Door    *admission.Controller
	Avoid   *outlier.Detector
	ways    []balancer.RetryPolicy
	budgets []retry.Budget
	queries map[Query]*query
	tries   map[Try]*query
	nextQ   Query
	nextT   Try
	wheel   *timingwheel.Wheel[*query]
	looks   *timingwheel.Wheel[*query]
	keys    map[string]*keyed
	order   []string // keys, oldest first
	served  map[balancer.Server]*loadreport.Totals
	demand  []loadreport.Totals
	orders  []Order
	Counts  Counts
}

// New makes a proxy without a table.
func New(now float64, s Setup) *Proxy {
	p := &Proxy{setup: s, Tables: tablecache.New(s.Names, s.Make), Door: admission.New(s.Levels, len(s.Names), s.Limits),
		Avoid: outlier.New(s.Avoid), ways: append([]balancer.RetryPolicy(nil), s.Ways...), queries: map[Query]*query{}, tries: map[Try]*query{},
		wheel: timingwheel.New[*query](now, tick), looks: timingwheel.New[*query](now, tick), keys: map[string]*keyed{},
		served: map[balancer.Server]*loadreport.Totals{}, demand: make([]loadreport.Totals, len(s.Names))}
	for range s.Names {
		p.budgets = append(p.budgets, s.Budget)
	}
	return p
}

// Follow takes orders for classes that came with tables.
func (p *Proxy) Follow(now float64, orders []tablecache.Order) {
	for _, o := range orders {
		if o.Level >= 0 {
			p.Door.Level(now, o.Class, o.Level, o.ComeBack)
		}
		if o.Ways {
			p.ways[o.Class] = safe(p.setup.Classes[o.Class], o.Way)
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
func (p *Proxy) take() []Order {
	o := p.orders
	p.orders = nil
	return o
}

// Ask takes a query.
func (p *Proxy) Ask(now float64, a Ask) (Query, []Order) {
	p.Counts.Asked++
	p.nextQ++
	n := p.nextQ
	p.demand[a.Class].Attempts++
	class := p.setup.Classes[a.Class]
	k, err := p.key(now, a, class)
	if err != nil {
		p.Counts.Keys++
		return n, []Order{{Kind: Refuse, Query: n, Why: err}}
	}
	back, err := p.Door.Enter(now, a.Class)
	if err != nil {
		p.Counts.Refused++
		return n, []Order{{Kind: Refuse, Query: n, Why: err, Back: back}}
	}
	q := &query{number: n, ask: a, came: now, repeat: retry.Query{Class: class, Way: p.ways[a.Class], Until: now + class.ClientTimeout,
		Keyed: a.Key != ""}}
	if k != nil && k.ran { // its client repeats it: it goes where the first one may have run
		q.repeat.Ran, q.repeat.First, q.repeat.FirstAt = true, k.first, k.at
	}
	p.queries[n] = q
	q.timer.Value, q.look.Value = q, q
	p.wheel.Set(&q.timer, q.repeat.Until)
	p.budgets[a.Class].First()
	if !p.send(now, q) {
		p.Counts.Nowhere++
		p.end(q)
		p.demand[a.Class].Failed++
		return n, append(p.take(), Order{Kind: Refuse, Query: n, Why: ErrNowhere, Back: backSoon})
	}
	return n, p.take()
}

// key looks whether a key is known: for the same query, whose client repeats it, or for another one, which is refused.
func (p *Proxy) key(now float64, a Ask, class balancer.RequestClass) (*keyed, error) {
	if a.Key == "" || class.Idempotency == balancer.Idempotent {
		return nil, nil
	}
	k := p.keys[a.Key]
	if k != nil && now < k.until {
		if k.print != a.Print {
			return nil, ErrKey
		}
		return k, nil
	}
	if k == nil {
		p.order = append(p.order, a.Key)
	}
	for len(p.order) > mostKeys || len(p.order) > 0 && p.keys[p.order[0]] != nil && now >= p.keys[p.order[0]].until && p.order[0] != a.Key {
		delete(p.keys, p.order[0])
		p.order = p.order[1:]
	}
	k = &keyed{key: a.Key, print: a.Print, until: now + class.ClientTimeout + class.DedupWindow}
	p.keys[a.Key] = k
	return k, nil
}

func (p *Proxy) place(s balancer.Server) retry.Place {
	if at, ok := p.setup.Places[s]; ok {
		return at
	}
	return retry.Place{Server: s, Zone: -1, Pod: -1} // nobody knows: it is in no group but its own
}

// send picks a server for a query's next try; false: none may take it. Servers that fail are avoided, unless all that are
// left do; so are those that the query has been at, unless it is safe there.
func (p *Proxy) send(now float64, q *query) bool {
	t := p.Tables.Of(q.ask.Class)
	may := func(avoid, again bool) func(balancer.Server) bool {
		return func(s balancer.Server) bool {
			return p.Door.Room(s) && (avoid || !p.Avoid.Avoids(now, s)) && (again || !q.repeat.Tried(s)) && q.repeat.At(p.place(s))
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
	q.repeat.Sent(s)
	p.tries[x.number] = q
	p.Door.Begin(s)
	p.Counts.Tries++
	if m := p.met(s); m != nil {
		m.Attempts++
	}
	after := q.repeat.Class.LatencyObjective
	if p.hedges(q) {
		after = p.setup.Hedge
	}
	p.looks.Set(&q.look, now+after)
	p.orders = append(p.orders, Order{Kind: Send, Query: q.number, Try: x.number, Server: s})
	return true
}

func (p *Proxy) met(s balancer.Server) *loadreport.Totals {
	m := p.served[s]
	if m == nil {
		if len(p.served) >= mostSeen {
			for o := range p.served {
				if !p.Tables.Any(o) && p.Door.At(o) == 0 {
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

func (q *query) find(t Try) *try {
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
	p.Door.End(x.server)
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
		p.orders = append(p.orders, Order{Kind: Cancel, Query: q.number, Try: x.number, Server: x.server})
	}
	p.wheel.Cancel(&q.timer)
	p.looks.Cancel(&q.look)
	delete(p.queries, q.number)
	p.Door.Leave()
}

// Answered tells that a try brought an answer for its client; ok is false if nobody waits for it any more.
func (p *Proxy) Answered(now float64, t Try) (Query, []Order, bool) {
	q := p.tries[t]
	if q == nil {
		return 0, nil, false
	}
	x := q.find(t)
	p.over(q, x)
	p.Avoid.Answered(x.server)
	if m := p.met(x.server); m != nil {
		m.Seconds += now - x.sent
	}
	p.remember(q, x)
	p.Counts.Answered++
	p.end(q)
	return q.number, p.take(), true
}

// remember notes under a query's key where it may have run, for its client's own repeats.
func (p *Proxy) remember(q *query, x *try) {
	if k := p.keys[q.ask.Key]; k != nil && q.ask.Key != "" && !k.ran && q.repeat.Class.Idempotency != balancer.Idempotent {
		k.ran, k.first, k.at = true, p.place(x.server), x.sent
	}
}

// Failed tells that a try brought none. The query is tried once more where that is allowed, or fails.
func (p *Proxy) Failed(now float64, t Try, o retry.Outcome) []Order {
	q := p.tries[t]
	if q == nil {
		return nil
	}
	p.failed(now, q, q.find(t), o)
	return p.take()
}

func (p *Proxy) failed(now float64, q *query, x *try, o retry.Outcome) {
	p.over(q, x)
	p.Avoid.Failed(now, x.server)
	if m := p.met(x.server); m != nil {
		m.Failed++
	}
	q.repeat.Failed(p.place(x.server), x.sent, o)
	if o == retry.MayHaveRun {
		p.remember(q, x)
	}
	if len(q.tries) > 0 { // the other one of a hedge goes on
		return
	}
	if q.repeat.May(now, o) {
		if !p.budgets[q.ask.Class].Take() {
			p.Counts.OverBudget++
		} else if p.send(now, q) {
			p.Counts.Repeats++
			return
		}
	}
	p.fail(q, ErrFailed)
}

func (p *Proxy) fail(q *query, why error) {
	p.Counts.Failed++
	p.demand[q.ask.Class].Failed++
	p.end(q)
	p.orders = append(p.orders, Order{Kind: Fail, Query: q.number, Why: why})
}

// Left tells that a query's client has gone: what is under way for it is called back.
func (p *Proxy) Left(n Query) []Order {
	q := p.queries[n]
	if q == nil {
		return nil
	}
	p.Counts.Left++
	p.end(q)
	return p.take()
}

// Tick gives up what took too long, and sends hedges.
func (p *Proxy) Tick(now float64) []Order {
	p.wheel.Advance(now, func(q *query) {
		p.Counts.Late++
		for _, x := range q.tries { // a server that answers nothing fails, as one that breaks does
			p.Avoid.Failed(now, x.server)
			if m := p.met(x.server); m != nil {
				m.Failed++
			}
			p.remember(q, x)
		}
		p.fail(q, ErrLate)
	})
	p.looks.Advance(now, func(q *query) { p.slow(now, q) })
	return p.take()
}

// hedges tells whether a query is to be tried beside its first try, once that has taken long.
func (p *Proxy) hedges(q *query) bool {
	return p.setup.Hedge > hedgeMin && !q.hedged && q.repeat.Class.Idempotency == balancer.Idempotent
}

// slow looks at a query whose newest try has taken long: longer than a hedge waits, or than its goal time. In the second case
// the try is given up where the query may be tried elsewhere; else its answer is waited for, late as it will be.
func (p *Proxy) slow(now float64, q *query) {
	if p.hedges(q) {
		if q.hedged = true; len(q.tries) == 1 && p.budgets[q.ask.Class].Take() && p.send(now, q) {
			p.Counts.Hedges++
			return
		}
	}
	if len(q.tries) == 0 {
		return
	}
	x := q.tries[0]
	then := q.repeat
	if then.Failed(p.place(x.server), x.sent, retry.MayHaveRun); len(q.tries) > 1 || !then.May(now, retry.MayHaveRun) {
		return
	}
	p.orders = append(p.orders, Order{Kind: Cancel, Query: q.number, Try: x.number, Server: x.server})
	p.failed(now, q, x, retry.MayHaveRun)
}

// Retire forgets servers that have no line any more, where nothing is under way.
func (p *Proxy) Retire(servers []balancer.Server) {
	for _, s := range servers {
		p.Avoid.Forget(s)
	}
}

// Of is the query of a try that is under way.
func (p *Proxy) Of(t Try) (Query, bool) {
	q := p.tries[t]
	if q == nil {
		return 0, false
	}
	return q.number, true
}

// Under is the number of queries under way.
func (p *Proxy) Under() int { return len(p.queries) }

// Reports are the totals since the start, by server and by class, for measurements.
func (p *Proxy) Reports(server func(balancer.Server, loadreport.Totals), class func(balancer.Class, loadreport.Totals)) {
	for _, s := range slices.Sorted(maps.Keys(p.served)) {
		server(s, *p.served[s])
	}
	for c, t := range p.demand {
		class(balancer.Class(c), t)
	}
}
