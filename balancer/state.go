// The state of one coordinator: types without tuned values, and sums over them.

package balancer

import (
	"slices"

	"snowquay/internal/core/histogram"
	"snowquay/internal/core/random"
	"snowquay/internal/core/slidingwindow"
)

type server struct {
	Endpoint
	place   int                 // in the order of servers
	known   float64             // when its present start was heard of, if not there from the first
	rows    []row               // the latest of each zone, oldest first
	answers histogram.Histogram // queries a second that it usually answers
	dropped bool                // the list has lost it
	met     bool                // tries have shown what it does
	able    bool                // and that it answers in calm time
	deaf    float64             // until when reports of it are still of an outage that is over
	intake  float64             // queries a second that the regulator wants it to get
}

type row struct { // what the proxies of a zone met at a server in the time it covers; or, summed up, a second
	zone                                 Zone
	at, span, tries, good, lost, seconds float64
}

type group struct { // proxies that share tables: all, or some of one zone
	home  Zone
	share float64 // of all queries; 1 is an even one
	pools []*pool // one for each reach
	users float64 // proxies bound to its tables
	lines float64 // of the message that this round writes to each of its proxies, head included; 0: none

	messages slidingwindow.Counter // that were written to its proxies
}

type reach struct { // the servers open to some classes
	classes ClassSet
	zones   []Zone // of the servers; none: all
	own     bool   // only servers of the proxies' zone
}

type pool struct { // a table, and what its proxies hold of it
	table            Table
	held             map[Server]float64
	levels           map[Class]order
	weighed, leveled float64 // when weights were last sent, and levels
}

// line is a server of a table, or of a group's stretch of servers.
type line struct {
	server *server
	weight float64
}

// move is a line that a table holds, and what is wanted of it.
type move struct {
	server     *server
	held, want float64
}

type order struct {
	level float64
	again RetryPolicy
}

type proxy struct {
	ProxyEvent
	group *group
	bound bool
	since float64   // when it joined
	left  float64   // when it left
	rate  []float64 // queries a second by class

	mark AckID   // of the newest message to it that asks for an acknowledgement
	size float64 // of that message, in lines
}

// Balancer is one coordinator.
type Balancer struct {
	classes  []RequestClass
	all      []Class // most benefit first
	fleet    DataPlane
	channel  channel
	promise  Guarantees
	chance   random.PCG
	servers  map[Server]*server
	order    []*server // by zone, as first listed, so that no order of a map reaches an output
	reaches  []*reach  // narrowest first
	groups   []*group  // by zone
	joined   map[Proxy]*proxy
	proxies  []*proxy            // in the order of joining
	absent   []*proxy            // that left and have not come back
	returned float64             // when the last of them did
	lossy    bool                // proxies avoid servers, so many tries are lost
	pressed  bool                // the work takes longer than the goal time bears
	answers  histogram.Histogram // queries a second that a warm server usually answers
	tries    float64             // a second, of joined proxies, repeats among them
	let, was []float64           // by class, the share of new queries let in, and that which reports show
	fresh    bool                // reports have come since the last period
	cycle    float64             // seconds from one row of a server to the next

	period, goal          float64 // of reports, and the longest goal time, seconds
	closed, askAt, wakeAt float64 // when the last period was, discovery is asked and the next round is due
}

func (s *server) within(zones []Zone) bool { return len(zones) == 0 || slices.Contains(zones, s.Zone) }

func offered(proxies []*proxy, g *group, set ClassSet) (sum float64) { // queries a second; g nil: of all
	for _, x := range proxies {
		for c, r := range x.rate {
			if set>>c&1 == 1 && (g == nil || g == x.group) {
				sum += r
			}
		}
	}
	return sum
}

func (s *server) sum(periods int, cover, due float64) (t row, tries float64) {
	for i, newest := range s.rows {
		if slices.ContainsFunc(s.rows[i+1:], func(r row) bool { return r.zone == newest.zone }) {
			continue
		}
		a, n := row{span: max(due-newest.at, 0)}, 0 // rows that stay out while others' come count as silence
		for _, r := range slices.Backward(s.rows[:i+1]) {
			if r.zone == newest.zone && n < periods && a.span < cover {
				a.tries, a.good, a.lost = a.tries+r.tries, a.good+r.good, a.lost+r.lost
				a.seconds, a.span, n = a.seconds+r.seconds, a.span+r.span, n+1
			}
		}
		t.tries, t.good, t.lost = t.tries+a.tries/a.span, t.good+a.good/a.span, t.lost+a.lost/a.span
		t.seconds, tries = t.seconds+a.seconds/a.span, tries+a.tries
	}
	return t, tries
}
