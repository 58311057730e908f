package forwarding

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/core/admission"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/core/outlier"
	"snowquay/internal/core/picker"
	"snowquay/internal/core/retry"
	"snowquay/internal/testseed"
	"snowquay/internal/wire/delta"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	idempotent = balancer.Class(iota)
	keyed
	nonIdempotent
)

func server(i int) balancer.Server { return balancer.Server(fmt.Sprintf("10.0.0.%d:80", i)) }

func testConfig(servers int) Config {
	s := Config{ClassNames: []string{"free", "guarded", "single"}, RetryPolicies: []balancer.RetryPolicy{balancer.RetryOnce, balancer.RetryOnce, balancer.RetryOnce},
		Classes: []balancer.RequestClass{{LatencyObjective: 1, ClientTimeout: 5}, {LatencyObjective: 1, ClientTimeout: 5, Idempotency: balancer.Keyed,
			DedupScope: balancer.SameFailureDomain, DedupWindow: 4}, {LatencyObjective: 1, ClientTimeout: 5, Idempotency: balancer.NonIdempotent}},
		Limits: admission.Limits{MaxInFlight: 100, MaxPerServer: 20}, Outliers: outlier.Config{ConsecutiveFailures: 3, BaseEjection: 4, MaxEjection: 30},
		Budget: retry.Budget{Ratio: 0.2, Burst: 10}, Locations: map[balancer.Server]retry.Location{},
		NewTable: func(c int) picker.Table { return picker.NewSmoothWeighted(uint64(c)) }}
	s.AdmissionMode = balancer.AdmissionFraction
	for i := range servers {
		s.Locations[server(i)] = retry.Location{Server: server(i), Zone: balancer.Zone(i % 2), FailureDomain: balancer.FailureDomain(i / 2)}
	}
	return s
}

func testTables(full bool, version uint64, lead uint64, servers ...int) *delta.Tables {
	t := &delta.Tables{Epoch: "a", Version: version, OwnershipEpoch: lead}
	for _, name := range []string{"free", "guarded", "single"} {
		c := delta.Class{Class: name, Full: full}
		for _, i := range servers {
			c.Entries = append(c.Entries, delta.Entry{Server: string(server(i)), Weight: 1})
		}
		t.Classes = append(t.Classes, c)
	}
	return t
}

func newTestProxy(t testing.TB, servers int, change func(*Config)) *Proxy {
	s := testConfig(servers)
	if change != nil {
		change(&s)
	}
	p := New(1000, s)
	var all []int
	for i := range servers {
		all = append(all, i)
	}
	if _, _, err := p.Tables.Apply(1000, testTables(true, 1, 0, all...)); err != nil {
		t.Fatal(err)
	}
	return p
}

// onlyAction is the single order of a kind.
func onlyAction(t *testing.T, orders []Action, kind ActionKind) Action {
	t.Helper()
	if len(orders) != 1 || orders[0].Kind != kind {
		t.Fatalf("orders %+v, want one of kind %d", orders, kind)
	}
	return orders[0]
}

func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	p := newTestProxy(t, 4, nil)
	_, o := p.HandleRequest(1000, Request{Class: idempotent})
	first := onlyAction(t, o, Send)
	second := onlyAction(t, p.AttemptFailed(1000.1, first.Attempt, retry.MaybeExecuted), Send)
	if second.Server == first.Server {
		t.Error("it is sent to the same server again")
	}
	if end := onlyAction(t, p.AttemptFailed(1000.2, second.Attempt, retry.MaybeExecuted), Fail); !errors.Is(end.Err, ErrAttemptsFailed) || p.InFlight() != 0 {
		t.Errorf("%+v", end)
	}
	if _, _, ok := p.AttemptSucceeded(1001, second.Attempt); ok {
		t.Error("a try that is over is answered")
	}
}

// A single-shot query is repeated on proof alone, and never once any try of it may have run.
func TestNonIdempotentRequestIsRetriedOnlyIfNotExecuted(t *testing.T) {
	p := newTestProxy(t, 4, nil)
	_, o := p.HandleRequest(1000, Request{Class: nonIdempotent})
	onlyAction(t, p.AttemptFailed(1000.1, onlyAction(t, o, Send).Attempt, retry.MaybeExecuted), Fail)
	_, o = p.HandleRequest(1001, Request{Class: nonIdempotent})
	second := onlyAction(t, p.AttemptFailed(1001.1, onlyAction(t, o, Send).Attempt, retry.NotExecuted), Send)
	onlyAction(t, p.AttemptFailed(1001.2, second.Attempt, retry.NotExecuted), Fail) // one repeat
	_, o = p.HandleRequest(1002, Request{Class: nonIdempotent})
	if n := len(p.Tick(1003.5)); n != 0 || len(o) != 1 {
		t.Errorf("%d orders when its goal time is over: it must be waited for", n)
	}
}

// A guarded one goes to servers that drop each other's repeats, under its key, while they know the first.
func TestKeyedRequestStaysInItsDedupScope(t *testing.T) {
	p := newTestProxy(t, 8, func(s *Config) { s.Budget.Burst = 100 })
	for i := range 20 {
		now := 1000 + float64(i)*20
		_, o := p.HandleRequest(now, Request{Class: keyed, IdempotencyKey: fmt.Sprint("k", i), Fingerprint: 1})
		first := onlyAction(t, o, Send)
		second := onlyAction(t, p.AttemptFailed(now+0.1, first.Attempt, retry.MaybeExecuted), Send)
		if a, b := p.location(first.Server), p.location(second.Server); a.FailureDomain != b.FailureDomain || a.Server == b.Server {
			t.Fatalf("from %+v to %+v", a, b)
		}
		if _, _, ok := p.AttemptSucceeded(now+0.2, second.Attempt); !ok {
			t.Fatal("not answered")
		}
		_, o = p.HandleRequest(now+1, Request{Class: keyed, IdempotencyKey: fmt.Sprint("k", i), Fingerprint: 1}) // its client has not heard the answer
		third := onlyAction(t, o, Send)
		if p.location(third.Server).FailureDomain != p.location(first.Server).FailureDomain {
			t.Fatal("its client's own repeat goes to another group")
		}
		p.AttemptSucceeded(now+1.1, third.Attempt)
		_, o = p.HandleRequest(now+2, Request{Class: keyed, IdempotencyKey: fmt.Sprint("k", i), Fingerprint: 2})
		if r := onlyAction(t, o, Reject); !errors.Is(r.Err, ErrKeyReused) {
			t.Errorf("the key of another query: %+v", r)
		}
	}
	_, o := p.HandleRequest(5000, Request{Class: keyed}) // without a key no server knows a repeat
	onlyAction(t, p.AttemptFailed(5000.1, onlyAction(t, o, Send).Attempt, retry.MaybeExecuted), Fail)
	_, o = p.HandleRequest(6000, Request{Class: keyed, IdempotencyKey: "late", Fingerprint: 1})
	onlyAction(t, p.AttemptFailed(6004.5, onlyAction(t, o, Send).Attempt, retry.MaybeExecuted), Fail) // they have forgotten it
	// The table changes between a try and its repeat, with the drain of the servers that the repeat would pick.
	_, o = p.HandleRequest(7000, Request{Class: keyed, IdempotencyKey: "drained", Fingerprint: 1})
	first := onlyAction(t, o, Send)
	var left []int
	for i := range 8 {
		if p.location(server(i)).FailureDomain != p.location(first.Server).FailureDomain || server(i) == first.Server {
			left = append(left, i)
		}
	}
	if _, _, err := p.Tables.Apply(7000.05, testTables(true, 2, 0, left...)); err != nil {
		t.Fatal(err)
	}
	if again := onlyAction(t, p.AttemptFailed(7000.1, first.Attempt, retry.MaybeExecuted), Send); again.Server != first.Server {
		t.Errorf("it goes to %s, where its repeat is not known", again.Server)
	}
}

func TestRetryBudgetHedgingAndDeadlines(t *testing.T) {
	p := newTestProxy(t, 6, func(s *Config) { s.Budget = retry.Budget{Ratio: 0.1, Burst: 2} })
	repeats := 0
	for i := range 100 {
		now := 1000 + float64(i)
		_, o := p.HandleRequest(now, Request{Class: idempotent})
		for len(o) == 1 && o[0].Kind == Send {
			o = p.AttemptFailed(now+0.01, o[0].Attempt, retry.MaybeExecuted)
		}
		repeats = p.Stats.Retries
	}
	if repeats > 13 || repeats < 8 || p.Stats.OverBudget == 0 {
		t.Errorf("%d repeats of 100 queries with a budget of a tenth", repeats)
	}
	p = newTestProxy(t, 6, func(s *Config) { s.HedgeAfter = 0.3 })
	q, o := p.HandleRequest(1000, Request{Class: idempotent})
	first := onlyAction(t, o, Send)
	second := onlyAction(t, p.Tick(1000.35), Send)
	n, o, ok := p.AttemptSucceeded(1000.4, second.Attempt)
	if cancel := onlyAction(t, o, Cancel); !ok || n != q || cancel.Attempt != first.Attempt || second.Server == first.Server {
		t.Errorf("%v %v, %+v", n, ok, cancel)
	}
	if _, o = p.HandleRequest(1001, Request{Class: keyed, IdempotencyKey: "k"}); len(p.Tick(1001.5)) != 0 || len(o) != 1 {
		t.Error("a guarded query is hedged")
	}
	p = newTestProxy(t, 6, nil)
	_, o = p.HandleRequest(1000, Request{Class: idempotent}) // its server says nothing
	first = onlyAction(t, o, Send)
	o = p.Tick(1001.05)
	if len(o) != 2 || o[0].Kind != Cancel || o[0].Attempt != first.Attempt || o[1].Kind != Send || o[1].Server == first.Server {
		t.Fatalf("after its goal time: %+v", o)
	}
	o = p.Tick(1005.1)
	if len(o) != 2 || o[0].Kind != Cancel || o[1].Kind != Fail || !errors.Is(o[1].Err, ErrDeadlineExceeded) || p.InFlight() != 0 || p.Admission.InFlight() != 0 {
		t.Errorf("after its client timeout: %+v", o)
	}
	q, _ = p.HandleRequest(1010, Request{Class: idempotent})
	onlyAction(t, p.ClientGone(q), Cancel)
	if p.ClientGone(q) != nil || p.InFlight() != 0 {
		t.Error("one that has left is there")
	}
}

func TestAdmissionLimitsAndFractions(t *testing.T) {
	p := newTestProxy(t, 2, func(s *Config) { s.Limits = admission.Limits{MaxInFlight: 5, MaxPerServer: 2} })
	for range 4 {
		if _, o := p.HandleRequest(1000, Request{Class: idempotent}); o[0].Kind != Send {
			t.Fatalf("%+v", o)
		}
	}
	_, o := p.HandleRequest(1000, Request{Class: idempotent})
	if r := onlyAction(t, o, Reject); !errors.Is(r.Err, ErrNoServer) || r.RetryAfter <= 0 {
		t.Errorf("all servers are full: %+v", r)
	}
	p = newTestProxy(t, 2, func(s *Config) { s.Limits = admission.Limits{MaxInFlight: 5, MaxPerServer: 50} })
	for range 5 {
		p.HandleRequest(1000, Request{Class: idempotent})
	}
	_, o = p.HandleRequest(1000, Request{Class: idempotent})
	if r := onlyAction(t, o, Reject); !errors.Is(r.Err, admission.ErrTooManyInFlight) {
		t.Errorf("%+v", r)
	}
	p = newTestProxy(t, 2, nil)
	level, back := 0.3, 2.0
	a := testTables(false, 2, 0)
	a.Classes[0].Admission, a.Classes[0].RetryAfter, a.Classes[0].Retry = &level, &back, "none"
	orders, _, err := p.Tables.Apply(1000, a)
	if err != nil {
		t.Fatal(err)
	}
	p.ApplyOrders(1000, orders)
	in := 0
	for range 100 {
		_, o := p.HandleRequest(1000, Request{Class: idempotent})
		if o[0].Kind == Send {
			in++
			if f := p.AttemptFailed(1000, o[0].Attempt, retry.NotExecuted); f[0].Kind != Fail {
				t.Fatalf("repeats were forbidden: %+v", f)
			}
		} else if o[0].RetryAfter != 2 || !errors.Is(o[0].Err, admission.ErrRateLimited) {
			t.Fatalf("%+v", o[0])
		}
	}
	if in < 29 || in > 31 {
		t.Errorf("%d of 100 are let in at a level of 0.3", in)
	}
	a = testTables(false, 3, 0)
	a.Classes[2].Retry = "failure" // whatever is ordered, a single-shot query is not repeated after a failure
	orders, _, _ = p.Tables.Apply(1000, a)
	p.ApplyOrders(1000, orders)
	_, o = p.HandleRequest(1000, Request{Class: nonIdempotent})
	onlyAction(t, p.AttemptFailed(1000.1, o[0].Attempt, retry.MaybeExecuted), Fail)
}

// A server that fails is avoided for a while, never the last one, even if all of them fail.
func TestFailingServersAreEjected(t *testing.T) {
	p := newTestProxy(t, 3, nil)
	hits := map[balancer.Server]int{}
	for i := range 300 {
		now := 1000 + float64(i)*0.01
		_, o := p.HandleRequest(now, Request{Class: nonIdempotent})
		x := onlyAction(t, o, Send)
		if hits[x.Server]++; x.Server == server(1) {
			p.AttemptFailed(now, x.Attempt, retry.MaybeExecuted)
		} else {
			p.AttemptSucceeded(now, x.Attempt)
		}
	}
	if hits[server(1)] > 5 || p.Outliers.Ejections != 1 {
		t.Errorf("a failing server was sent %d of 300 queries", hits[server(1)])
	}
	for i := range 100 {
		now := 1100 + float64(i)*0.01
		_, o := p.HandleRequest(now, Request{Class: nonIdempotent})
		p.AttemptFailed(now, onlyAction(t, o, Send).Attempt, retry.MaybeExecuted)
	}
	reported := 0.0
	p.Reports(func(_ balancer.Server, m loadreport.Totals) { reported += m.Failed }, func(balancer.Class, loadreport.Totals) {})
	if reported < 100 {
		t.Errorf("%v failures are reported", reported)
	}
}

// Tables come whole or not at all, and what is older than was followed is refused, also after a restart.
func TestOutdatedTablesAreRejected(t *testing.T) {
	p := newTestProxy(t, 4, nil)
	if _, left, err := p.Tables.Apply(1001, testTables(true, 9, 7, 0, 1)); err != nil || len(left) != 2 {
		t.Fatal(left, err)
	}
	for name, a := range map[string]*delta.Tables{"an older epoch": testTables(true, 10, 6, 2, 3), "none": testTables(true, 10, 0, 2, 3)} {
		if _, _, err := p.Tables.Apply(1002, a); err == nil {
			t.Errorf("%s is followed", name)
		}
	}
	late := testTables(false, 12, 7, 3)
	late.Base = 11
	if _, _, err := p.Tables.Apply(1002, late); err == nil {
		t.Error("a delta to what is not held is applied")
	}
	wrong := testTables(true, 13, 7, 3)
	wrong.Classes[2].Class = "x"
	if _, _, err := p.Tables.Apply(1002, wrong); err == nil || p.Tables.Table(idempotent).Weight(server(3)) != 0 {
		t.Error("a table with an unknown class is half taken")
	}
	b, err := p.Tables.Save()
	if err != nil {
		t.Fatal(err)
	}
	next := New(1010, testConfig(4))
	if err := next.Tables.Restore(1010, b); err != nil || next.Tables.Table(keyed).Len() != 2 {
		t.Fatal(err)
	}
	if _, _, err := next.Tables.Apply(1011, testTables(true, 1, 6, 2, 3)); err == nil {
		t.Error("its next life follows an older epoch")
	}
	for name, bad := range map[string]string{"nonsense": "{", "the future": `{"at":9e9,"classes":[]}`, "too old": `{"at":1,"classes":[]}`,
		"a class": `{"at":1000,"classes":[{"name":"x","lines":[]}]}`,
		"weight":  `{"at":1000,"classes":[{"name":"free","lines":[{"Server":"a","Weight":-1}]}]}`} {
		q := New(9000, testConfig(4))
		if q.Tables.Restore(9000, []byte(bad)) == nil || q.Tables.Table(idempotent).Len() != 0 {
			t.Errorf("%s: taken", name)
		}
	}
}

// Whatever happens, in any order: each query ends once, nothing stays behind, no effect can happen twice by our own repeats,
// and no query goes to a server without a line.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := newTestProxy(t, 6, func(s *Config) { s.HedgeAfter = 0.2 })
		now, version := 1000.0, uint64(1)
		type flying struct {
			q     RequestID
			class balancer.Class
			at    balancer.Server
			sent  float64
		}
		tries, ends, ran := map[AttemptID]flying{}, map[RequestID]int{}, map[RequestID][]flying{}
		class, has := map[RequestID]balancer.Class{}, map[balancer.Server]bool{}
		for i := range 6 {
			has[server(i)] = true
		}
		perform := func(orders []Action) {
			for _, o := range orders {
				switch o.Kind {
				case Send:
					if !has[o.Server] || ends[o.Request] > 0 {
						r.Fatalf("%+v is sent to a server without a line, or after its end", o)
					}
					f := flying{o.Request, class[o.Request], o.Server, now}
					for _, e := range ran[o.Request] {
						if f.class == nonIdempotent || f.class == keyed && (p.location(e.at).FailureDomain != p.location(f.at).FailureDomain || now > e.sent+4) {
							r.Fatalf("query %d of class %d may have run at %s and is sent to %s", o.Request, f.class, e.at, f.at)
						}
					}
					tries[o.Attempt] = f
				case Cancel: // it may have run all the same
					ran[o.Request] = append(ran[o.Request], tries[o.Attempt])
					delete(tries, o.Attempt)
				default:
					ends[o.Request]++
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(r, "events") {
			now += rapid.Float64Range(0, 0.6).Draw(r, "time")
			var oldest AttemptID
			for k := range tries {
				if oldest == 0 || k < oldest {
					oldest = k
				}
			}
			f := tries[oldest]
			switch rapid.IntRange(0, 7).Draw(r, "event") {
			case 0, 1, 2:
				c := balancer.Class(rapid.IntRange(0, 2).Draw(r, "class"))
				class[p.lastRequest+1] = c
				key := ""
				if c == keyed {
					key = fmt.Sprint("k", p.lastRequest)
				}
				_, o := p.HandleRequest(now, Request{Class: c, IdempotencyKey: key})
				perform(o)
			case 3:
				if oldest != 0 {
					delete(tries, oldest)
					if _, o, ok := p.AttemptSucceeded(now, oldest); ok {
						ends[f.q]++
						perform(o)
					}
				}
			case 4:
				if oldest != 0 {
					delete(tries, oldest)
					ran[f.q] = append(ran[f.q], f)
					perform(p.AttemptFailed(now, oldest, retry.MaybeExecuted))
				}
			case 5:
				if oldest != 0 {
					delete(tries, oldest)
					perform(p.AttemptFailed(now, oldest, retry.NotExecuted))
				}
			case 6:
				var some []int
				clear(has)
				for i := range 6 {
					if rapid.Bool().Draw(r, "line") {
						some = append(some, i)
						has[server(i)] = true
					}
				}
				version++
				if _, _, err := p.Tables.Apply(now, testTables(true, version, 0, some...)); err != nil {
					r.Fatal(err)
				}
			default:
				if oldest != 0 && rapid.Bool().Draw(r, "leaves") {
					ends[f.q]++
					perform(p.ClientGone(f.q))
				}
			}
			perform(p.Tick(now))
		}
		now += 10
		perform(p.Tick(now))
		for q := range class {
			if q <= p.lastRequest && ends[q] != 1 {
				r.Fatalf("query %d ended %d times", q, ends[q])
			}
		}
		if p.InFlight() != 0 || len(p.attempts) != 0 || p.Admission.InFlight() != 0 || len(tries) != 0 {
			r.Fatalf("%d queries, %d tries, %d inside, %d flying are left", p.InFlight(), len(p.attempts), p.Admission.InFlight(), len(tries))
		}
	})
}

// A whole new table of 300 lines for one class, and of one line, from bytes to picks: what a query may have to wait for.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{1, 300, 5000} {
		b.Run(fmt.Sprint(n, "-lines"), func(b *testing.B) {
			p := newTestProxy(b, 2, nil)
			var texts [2][]byte
			for k := range texts {
				t := &delta.Tables{Epoch: "a", Version: 2, Classes: []delta.Class{{Class: "free", Full: n > 1}}}
				for i := range n {
					t.Classes[0].Entries = append(t.Classes[0].Entries, delta.Entry{Server: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), Weight: float64(1 + (i+k)%9)})
				}
				texts[k], _ = delta.Append(nil, delta.CBOR, t)
			}
			i := 0
			for b.Loop() {
				i++
				var t delta.Tables
				if err := delta.Decode(texts[i%2], delta.CBOR, &t); err != nil {
					b.Fatal(err)
				}
				if _, _, err := p.Tables.Apply(1000, &t); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// A query from its asking to its answer, without sockets.
func BenchmarkRequest(b *testing.B) {
	p := newTestProxy(b, 8, nil)
	now := 1000.0
	for b.Loop() {
		now += 1e-5
		_, o := p.HandleRequest(now, Request{Class: idempotent})
		p.AttemptSucceeded(now, o[0].Attempt)
	}
	b.ReportAllocs()
}
