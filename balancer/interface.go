package balancer

// Each kind of id is a type of its own. Ids carry no meaning beyond identity.
type (
	Server      string // address of a server, handed back unaltered
	Proxy       int    // number of a proxy
	Table       int    // number of a table, chosen by the module
	Class       int    // place of a query class among those handed at start
	Classes     uint64 // a set of classes, bit k for class k; 0 stands for all
	Zone        int    // place of a zone in the site's list
	Kind        int    // kind of machine
	Pod         int    // a few servers of one zone that fail, and drop repeats, together
	Coordinator int    // number of a fellow coordinator
	Mark        int    // number of a mark that proxies answer
	Timer       int    // number of a wake-up call
)

// Effect says what a repeat of a query may do.
type Effect int

const (
	Free       Effect = iota // safe to repeat
	Guarded                  // repeats are dropped within a group of servers, for a while
	SingleShot               // must never run twice
)

// Group names the servers that drop each other's repeats of a guarded query.
type Group int

const (
	EveryServer Group = iota
	SameZone
	SamePod
)

// QueryClass is what clients expect of one class of queries. Times are seconds.
type QueryClass struct {
	Benefit       float64 // of an answer within the goal time
	LateBenefit   float64 // share of it that a later answer still earns
	GoalTime      float64
	GoalStretch   float64 // goal time grows by this multiple of the query's own work
	ClientTimeout float64
	Effect        Effect
	Group         Group
	Window        float64 // how long a guarded repeat is dropped
	OnlyZones     []Zone  // the servers' zones it may go to; none named: all
	OwnZone       bool    // it may go only to servers of the proxy's zone
	Writes        bool
}

// LevelKind says how the proxies understand a level.
type LevelKind int

const (
	LevelsIgnored LevelKind = iota
	LevelFraction           // share of a class that is let in
	LevelRate               // queries a second let in at each proxy
)

// Dataplane describes the proxies.
type Dataplane struct {
	Proxies          int // over all coordinators
	Coordinators     int
	Self             Coordinator
	StandingTable    int     // most servers in the table that a proxy starts with
	EjectAfter       int     // failures in a row after which a proxy avoids a server; 0: never
	UsualRepeats     Repeats // when none are ordered
	LeastConnections float64 // that the smallest servers accept
	TryGoals         float64 // goal times that a try waits before it is repeated
	Levels           LevelKind
}

// Channel is the way from the coordinator to its proxies.
type Channel struct {
	LinesPerSecond float64
	MessageLines   float64 // charged for each message besides its own lines
	MostWaiting    float64 // lines that may wait
	MeanWay        float64 // seconds from leaving the channel to the proxy
	LongestWay     float64
	MostMessages   int     // to one proxy within MessageWindow; 0: no limit
	MessageWindow  float64 // seconds
}

// Guarantees are the figures of the rules.
type Guarantees struct {
	DrainWithin  float64 // seconds until no proxy sends to a server known to drain
	BareWithin   float64 // seconds that a proxy may lack a line
	ColdShare    float64 // of its capacity, at which a server starts at least
	ColdFor      float64 // seconds after which it is warm at the latest
	FallMultiple float64 // of its present capacity; more of it for FallWithin pushes it over
	FallWithin   float64 // seconds
	AskWithin    float64 // seconds that discovery may go unasked
	GoneIsAdvice bool    // a server that merely left the list may stay in tables
}

// LoadFigure names a value of a server's load report.
type LoadFigure int

const (
	UnknownFigure LoadFigure = iota
	InProgress
	Waiting
	Busy
	ServiceTime // milliseconds
	AnsweredRate
	ErrorRate
)

// Reporting is what the coordinator is given of its proxies' traffic.
type Reporting struct {
	Period         float64 // seconds
	LinesPerSecond float64
	Figures        []LoadFigure
	OnAnswers      bool // load reports come with the traffic reports
}

// Probing says whether probes are allowed and what they cost.
type Probing struct {
	Allowed bool
	Price   float64 // of one probe a query, in points
	Timeout float64 // seconds that a proxy waits for a connection
}

// WeightSource says what the listed weights hold.
type WeightSource int

const (
	WeightsSilent WeightSource = iota
	WeightsNominal
	WeightsRough
	WeightsLive // they move with the load
)

// Discovery says how the list of servers comes.
type Discovery struct {
	OnRequest bool
	Weights   WeightSource
}

// Phase of a listed server.
type Phase int

const (
	InService Phase = iota
	Terminating
	Gone
)

// Entry is one server of the list.
type Entry struct {
	Server  Server
	Zone    Zone
	Kind    Kind
	Pod     Pod
	Weight  float64
	Phase   Phase
	Started float64 // clock time of its last start; 0: long ago
}

// Scope of a list.
type Scope int

const (
	Cached Scope = iota // as last held, possibly outdated
	Whole               // what is absent is gone
	Changes
	Failed // a call failed or the subscription broke; no entries
)

// List is one word from discovery.
type List struct {
	Scope   Scope
	Entries []Entry
}

// Stream is a proxy that joined or left.
type Stream struct {
	Proxy  Proxy
	Joined bool
	Zone   Zone
	Usual  float64 // queries a second it usually gets
	Fresh  bool    // it holds only its standing table
}

// Traffic is what the joined proxies of a zone met at a server.
type Traffic struct {
	Server   Server
	Zone     Zone
	Tries    float64
	Lost     float64   // tries with no good answer
	Latency  float64   // mean of the good ones, seconds
	Interval float64   // seconds over which it was counted
	Load     []float64 // newest load report, in the order of Reporting.Figures
}

// Demand is what came to one proxy for one class, refused and repeated queries included.
type Demand struct {
	Proxy    Proxy
	Class    Class
	Queries  float64
	Lost     float64 // let in, without an answer
	Interval float64
}

// Applied says that a proxy has applied the message that carried a mark.
type Applied struct {
	Proxy Proxy
	Mark  Mark
	Took  float64
}

// Verdict is how a probe ended.
type Verdict int

const (
	ProbeGood Verdict = iota
	ProbeError
	ProbeRefused
	ProbeTimeout
	ProbeUnreachable
	ProbeMoot
)

// Probed is what a probe found.
type Probed struct {
	Server  Server
	Verdict Verdict
	Took    float64
	Load    []float64
}

// Resent are orders that the channel may carry with one message more than was decided: they go again though they may have been
// carried out, or with another call than the rest of their round.
type Resent struct {
	Tables  []Table // one for each weight or level
	Proxies []Proxy // that are bound
}

// News is all that came in for one round, each slice in arrival order.
type News struct {
	Stalled bool // what was ordered does not reach the channel now, nor would anything else
	Resent  Resent
	Lists   []List
	Streams []Stream
	Traffic []Traffic
	Demand  []Demand
	Applied []Applied
	Probed  []Probed
	Woken   []Timer
}

// Repeats says when a proxy tries another server.
type Repeats int

const (
	NoRepeat       Repeats = iota
	AfterProof             // once, when the first try surely never ran
	AfterFailure           // once, after any failure
	TwiceOnFailure         // twice
)

// Writer takes the decisions of a round. All orders of a round to a proxy travel as one message.
type Writer interface {
	Weigh(Table, Server, float64) // sets a line; 0 removes it
	Bind(Proxy, Table, Classes)
	Admit(t Table, cs Classes, level float64, again Repeats)
	Mark(Mark)
	Probe(Server)
	Watch()
	Wake(after float64, t Timer)
	Note(string)
}
