package choice

import (
	"snowquay/internal/core/histogram"
	"snowquay/internal/core/random"
	"snowquay/internal/core/slidingwindow"
)

type server struct {
	Entry
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
	classes Classes
	zones   []Zone // of the servers; none: all
	own     bool   // only servers of the proxies' zone
}

type pool struct { // a table, and what its proxies hold of it
	table            Table
	held             map[Server]float64
	levels           map[Class]order
	weighed, leveled float64 // when weights were last sent, and levels
}

type order struct {
	level float64
	again Repeats
}

type proxy struct {
	Stream
	group *group
	bound bool
	since float64   // when it joined
	left  float64   // when it left
	rate  []float64 // queries a second by class

	mark Mark    // of the newest message to it that asks for an acknowledgement
	size float64 // of that message, in lines
}

// Manager is one coordinator.
type Manager struct {
	classes  []QueryClass
	all      []Class // most benefit first
	fleet    Dataplane
	channel  channel
	promise  Guarantees
	chance   random.PCG
	servers  map[Server]*server
	order    []*server           // by zone, as first listed, so that no order of a map reaches an output
	reaches  []*reach            // narrowest first
	groups   []*group            // by zone
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
