package balancer

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"snowquay/internal/testseed"
)

// The random runs always start from the same seed, so that the verdict never varies. Flags given on the command line stand.
func TestMain(m *testing.M) {
	testseed.With(m, map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true", "rapid.checks": "150", "rapid.shrinktime": "3s"})
}

// site is what the tests hand to New, and the list that they keep.
type site struct {
	classes   []RequestClass
	fleet     DataPlane
	channel   Channel
	promise   Guarantees
	reporting Reporting
	discovery Discovery
}

func usualSite() site {
	return site{
		classes: []RequestClass{
			{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3},
			{PriorityWeight: 4, LatencyObjective: 1, ClientTimeout: 3, Idempotency: NonIdempotent}},
		fleet:   DataPlane{Proxies: 8, Coordinators: 1, DefaultRetry: RetryIfNotExecuted, Admission: AdmissionFraction},
		channel: Channel{EntriesPerSecond: 2000, MessageOverhead: 4, MaxQueued: 2000, MeanDelay: 0.2, MaxDelay: 0.5, MessageWindow: 10},
		promise: Guarantees{DrainDeadline: 3, EmptyTableDeadline: 2, WarmupStartFraction: 0.2, WarmupDuration: 15, OverloadFactor: 3, OverloadWindow: 2,
			DiscoveryPollDeadline: 10},
		reporting: Reporting{Period: 1, EntriesPerSecond: 400},
	}
}

func (s site) manager() *Balancer {
	return New(7, s.classes, s.fleet, s.channel, s.promise, s.reporting, HealthChecking{}, s.discovery)
}

// recorder is a Writer that keeps every proxy's tables as the wire says, and notes what breaks a rule.
type recorder struct {
	site     site
	now      float64
	list     map[Server]Endpoint
	toldGone map[Server]float64
	tables   map[Table]map[Server]float64
	levels   map[Table]map[Class]float64
	bound    map[Proxy]map[Class]Table
	lines    map[Proxy]float64 // of this round's message
	sent     map[Proxy][]float64
	waiting  float64
	at       float64
	marks    []AckID
	marked   bool     // this round's messages ask for an answer
	answers  []answer // that are on their way
	watched  []float64
	log      string
	broken   string
}

// answer is that of a proxy to a mark.
type answer struct {
	at   float64
	news Ack
}

// arrived gives the answers that have come by a time, once.
func (r *recorder) arrived(now float64) (news []Ack) {
	r.answers = slices.DeleteFunc(r.answers, func(a answer) bool {
		if a.at <= now {
			news = append(news, a.news)
		}
		return a.at <= now
	})
	return news
}

func newRecorder(s site) *recorder {
	return &recorder{site: s, list: map[Server]Endpoint{}, toldGone: map[Server]float64{},
		tables: map[Table]map[Server]float64{}, levels: map[Table]map[Class]float64{},
		bound: map[Proxy]map[Class]Table{}, lines: map[Proxy]float64{}, sent: map[Proxy][]float64{}}
}

func (r *recorder) fail(format string, args ...any) {
	if r.broken == "" {
		r.broken = fmt.Sprintf("at %.2f: ", r.now) + fmt.Sprintf(format, args...)
	}
}

func (r *recorder) figure(v float64) {
	if !(v >= 0) || math.IsInf(v, 0) {
		r.fail("wrote the figure %v", v)
	}
}

func (r *recorder) users(t Table) (users []Proxy) {
	for x, tables := range r.bound {
		for _, held := range tables {
			if held == t && !slices.Contains(users, x) {
				users = append(users, x)
			}
		}
	}
	return users
}

func (r *recorder) SetWeight(t Table, s Server, v float64) {
	r.log += fmt.Sprintf("weigh %d %s %.3f;", t, s, v)
	r.figure(v)
	if r.tables[t] == nil {
		r.tables[t] = map[Server]float64{}
	}
	if r.tables[t][s] = v; v == 0 {
		delete(r.tables[t], s)
	}
	for _, x := range r.users(t) {
		r.lines[x]++
	}
	r.checkBare()
}

func (r *recorder) AssignTable(x Proxy, t Table, cs ClassSet) {
	r.log += fmt.Sprintf("bind %d %d %b;", x, t, cs)
	if r.bound[x] == nil {
		r.bound[x] = map[Class]Table{}
	}
	for c := range r.site.classes {
		if cs == 0 || cs&(1<<c) != 0 {
			r.bound[x][Class(c)] = t
		}
	}
	r.lines[x] += float64(1 + len(r.tables[t]) + len(r.levels[t]))
}

func (r *recorder) SetAdmission(t Table, cs ClassSet, level float64, again RetryPolicy) {
	r.log += fmt.Sprintf("admit %d %b %.3f %d;", t, cs, level, again)
	r.figure(level)
	for c, q := range r.site.classes {
		if cs == 0 || cs&(1<<c) != 0 {
			if q.Idempotency != Idempotent && again > RetryIfNotExecuted {
				r.fail("class %d may run twice", c)
			}
			if r.levels[t] == nil {
				r.levels[t] = map[Class]float64{}
			}
			r.levels[t][Class(c)] = level
		}
	}
	for _, x := range r.users(t) {
		r.lines[x]++
	}
}

func (r *recorder) RequestAck(m AckID) {
	r.log += fmt.Sprintf("mark %d;", m)
	r.marks, r.marked = append(r.marks, m), true
	for x := range r.lines {
		r.lines[x]++
	}
}

func (r *recorder) HealthCheck(Server)          {}
func (r *recorder) PollDiscovery()              { r.watched = append(r.watched, r.now) }
func (r *recorder) SetTimer(d float64, _ Timer) { r.figure(d) }
func (r *recorder) Log(string)                  {}

// round plays one round and checks the rules.
func (r *recorder) round(m *Balancer, now float64, news Events) {
	r.now = now
	for _, l := range news.Lists {
		seen := map[Server]bool{}
		for _, e := range l.Endpoints {
			seen[e.Server] = true
			if e.Phase == Ready {
				delete(r.toldGone, e.Server)
			} else if _, told := r.toldGone[e.Server]; !told {
				r.toldGone[e.Server] = now
			}
			r.list[e.Server] = e
		}
		for s, e := range r.list {
			if l.Scope == FullList && !seen[s] && e.Phase != Removed {
				e.Phase, r.toldGone[s] = Removed, now
				r.list[s] = e
			}
		}
	}
	for _, s := range news.ProxyEvents {
		delete(r.bound, s.Proxy)
		delete(r.sent, s.Proxy)
	}
	m.Reconcile(now, news, r)
	r.waiting = math.Max(0, r.waiting-(now-r.at)*r.site.channel.EntriesPerSecond)
	r.at = now
	r.answer()
	for x, lines := range r.lines {
		r.waiting += lines + r.site.channel.MessageOverhead
		r.sent[x] = append(r.sent[x], now)
		for r.sent[x][0] < now-r.site.channel.MessageWindow {
			r.sent[x] = r.sent[x][1:]
		}
		if most := r.site.channel.MaxMessages; most > 0 && len(r.sent[x]) > most {
			r.fail("%d messages to proxy %d", len(r.sent[x]), x)
		}
	}
	r.lines = map[Proxy]float64{}
	if r.waiting > r.site.channel.MaxQueued {
		r.fail("%.0f lines wait", r.waiting)
	}
	r.checkBare()
	for s, told := range r.toldGone {
		for t := range r.tables {
			if r.tables[t][s] > 0 && now-told > r.site.promise.DrainDeadline/2 {
				r.fail("%s, which drains, is still in table %d", s, t)
			}
		}
	}
}

// answer has two proxies of three answer the round's mark, once their messages have left the channel and arrived.
func (r *recorder) answer() {
	ahead := r.waiting
	for _, x := range slices.Sorted(maps.Keys(r.lines)) {
		ahead += r.lines[x] + r.site.channel.MessageOverhead
		took := ahead/r.site.channel.EntriesPerSecond + r.site.channel.MeanDelay
		if r.marked && x%3 > 0 {
			r.answers = append(r.answers, answer{r.now + took, Ack{Proxy: x, ID: r.marks[len(r.marks)-1], Latency: took}})
		}
	}
	r.marked = false
}

// checkBare looks for a bound proxy without a line while an open warm server is listed.
func (r *recorder) checkBare() {
	for x, tables := range r.bound {
		for c, t := range tables {
			for _, e := range r.list {
				q := r.site.classes[c]
				open := len(q.AllowedZones) == 0 || slices.Contains(q.AllowedZones, e.Zone)
				if open && e.Phase == Ready && r.now-e.Started >= r.site.promise.WarmupDuration && len(r.tables[t]) == 0 {
					r.fail("proxy %d has no line for class %d", x, c)
				}
			}
		}
	}
}

// share is a server's part of the weights of table 1.
func (r *recorder) share(s Server) float64 {
	sum := 0.0
	for _, weight := range r.tables[1] {
		sum += weight
	}
	return r.tables[1][s] / math.Max(sum, 1e-9)
}

// fleet lists n warm servers, and joins the site's proxies.
func fleet(r *recorder, m *Balancer, n int) {
	var l EndpointList
	for i := range n {
		l.Endpoints = append(l.Endpoints, Endpoint{Server: name(i), Weight: 1, Zone: Zone(i % 2)})
	}
	news := Events{Lists: []EndpointList{l}}
	for x := range r.site.fleet.Proxies {
		news.ProxyEvents = append(news.ProxyEvents, ProxyEvent{Proxy: Proxy(x), Joined: true, ExpectedRate: 12})
	}
	r.round(m, 100, news)
}

func name(i int) Server { return Server(fmt.Sprintf("10.0.0.%02d:80", i)) }

// met is what a server's answers look like for its share of some queries a second.
type met func(s Server, share, queries float64) UpstreamReport

// well answers everything in a quarter of a second.
func well(s Server, share, queries float64) UpstreamReport {
	return UpstreamReport{Server: s, Attempts: share * queries, Latency: 0.25}
}

// play runs seconds of reports, each period by the tables held.
func play(r *recorder, m *Balancer, seconds int, queries float64, answer met) {
	for range seconds {
		var news Events
		for i := range len(r.list) {
			if s := name(i); r.tables[1][s] > 0 {
				t := answer(s, r.share(s), queries)
				t.Interval = 1
				news.Upstreams = append(news.Upstreams, t)
			}
		}
		each := queries / float64(len(r.bound)*len(r.site.classes))
		for x := range r.bound {
			for c := range r.site.classes {
				news.Demands = append(news.Demands, DemandReport{Proxy: x, Class: Class(c), Requests: each, Interval: 1})
			}
		}
		slices.SortFunc(news.Demands, func(a, b DemandReport) int { return int(a.Proxy-b.Proxy)*64 + int(a.Class-b.Class) })
		r.round(m, r.now+1, news)
	}
}
