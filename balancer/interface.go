package balancer

// Each kind of id is a type of its own. Ids carry no meaning beyond identity.
type (
	Server        string // address of a server, handed back unaltered
	Proxy         int    // number of a proxy
	Table         int    // number of a table, chosen by the module
	Class         int    // place of a query class among those handed at start
	ClassSet      uint64 // a set of classes, bit k for class k; 0 stands for all
	Zone          int    // place of a zone in the site's list
	Kind          int    // kind of machine
	FailureDomain int    // a few servers of one zone that fail, and drop repeats, together
	Coordinator   int    // number of a fellow coordinator
	AckID         int    // number of a mark that proxies answer
	Timer         int    // number of a wake-up call
)

// Idempotency says what a repeat of a query may do.
type Idempotency int

const (
	Idempotent    Idempotency = iota // safe to repeat
	Keyed                            // repeats are dropped within a group of servers, for a while
	NonIdempotent                    // must never run twice
)

// DedupScope names the servers that drop each other's repeats of a guarded query.
type DedupScope int

const (
	EveryServer DedupScope = iota
	SameZone
	SameFailureDomain
)

// RequestClass is what clients expect of one class of queries. Times are seconds.
type RequestClass struct {
	PriorityWeight   float64 // of an answer within the goal time
	LateWeight       float64 // share of it that a later answer still earns
	LatencyObjective float64
	ObjectiveStretch float64 // goal time grows by this multiple of the query's own work
	ClientTimeout    float64
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      float64 // how long a guarded repeat is dropped
	AllowedZones     []Zone  // the servers' zones it may go to; none named: all
	ZoneLocal        bool    // it may go only to servers of the proxy's zone
	Writes           bool
}

// AdmissionMode says how the proxies understand a level.
type AdmissionMode int

const (
	AdmissionIgnored  AdmissionMode = iota
	AdmissionFraction               // share of a class that is let in
	AdmissionRate                   // queries a second let in at each proxy
)

// DataPlane describes the proxies.
type DataPlane struct {
	Proxies              int // over all coordinators
	Coordinators         int
	Self                 Coordinator
	DefaultTableSize     int         // most servers in the table that a proxy starts with
	EjectAfterFailures   int         // failures in a row after which a proxy avoids a server; 0: never
	DefaultRetry         RetryPolicy // when none are ordered
	MinConnections       float64     // that the smallest servers accept
	AttemptTimeoutFactor float64     // goal times that a try waits before it is repeated
	Admission            AdmissionMode
}

// Channel is the way from the coordinator to its proxies.
type Channel struct {
	EntriesPerSecond float64
	MessageOverhead  float64 // charged for each message besides its own lines
	MaxQueued        float64 // lines that may wait
	MeanDelay        float64 // seconds from leaving the channel to the proxy
	MaxDelay         float64
	MaxMessages      int     // to one proxy within MessageWindow; 0: no limit
	MessageWindow    float64 // seconds
}

// Guarantees are the figures of the rules.
type Guarantees struct {
	DrainDeadline         float64 // seconds until no proxy sends to a server known to drain
	EmptyTableDeadline    float64 // seconds that a proxy may lack a line
	WarmupStartFraction   float64 // of its capacity, at which a server starts at least
	WarmupDuration        float64 // seconds after which it is warm at the latest
	OverloadFactor        float64 // of its present capacity; more of it for FallWithin pushes it over
	OverloadWindow        float64 // seconds
	DiscoveryPollDeadline float64 // seconds that discovery may go unasked
	RemovalIsAdvisory     bool    // a server that merely left the list may stay in tables
}

// LoadMetric names a value of a server's load report.
type LoadMetric int

const (
	UnknownMetric LoadMetric = iota
	InProgress
	QueueLength
	Utilization
	ServiceTime // milliseconds
	CompletionRate
	ErrorRate
)

// Reporting is what the coordinator is given of its proxies' traffic.
type Reporting struct {
	Period           float64 // seconds
	EntriesPerSecond float64
	Metrics          []LoadMetric
	Piggybacked      bool // load reports come with the traffic reports
}

// HealthChecking says whether probes are allowed and what they cost.
type HealthChecking struct {
	Allowed bool
	Price   float64 // of one probe a query, in points
	Timeout float64 // seconds that a proxy waits for a connection
}

// WeightSource says what the listed weights hold.
type WeightSource int

const (
	WeightsAbsent WeightSource = iota
	WeightsNominal
	WeightsApproximate
	WeightsLive // they move with the load
)

// Discovery says how the list of servers comes.
type Discovery struct {
	Polled  bool
	Weights WeightSource
}

// Phase of a listed server.
type Phase int

const (
	Ready Phase = iota
	Draining
	Removed
)

// Endpoint is one server of the list.
type Endpoint struct {
	Server        Server
	Zone          Zone
	Kind          Kind
	FailureDomain FailureDomain
	Weight        float64
	Phase         Phase
	Started       float64 // clock time of its last start; 0: long ago
}

// ListScope of a list.
type ListScope int

const (
	CachedList ListScope = iota // as last held, possibly outdated
	FullList                    // what is absent is gone
	DeltaList
	ListFailed // a call failed or the subscription broke; no entries
)

// EndpointList is one word from discovery.
type EndpointList struct {
	Scope     ListScope
	Endpoints []Endpoint
}

// ProxyEvent is a proxy that joined or left.
type ProxyEvent struct {
	Proxy        Proxy
	Joined       bool
	Zone         Zone
	ExpectedRate float64 // queries a second it usually gets
	DefaultTable bool    // it holds only its standing table
}

// UpstreamReport is what the joined proxies of a zone met at a server.
type UpstreamReport struct {
	Server   Server
	Zone     Zone
	Attempts float64
	Failed   float64   // tries with no good answer
	Latency  float64   // mean of the good ones, seconds
	Interval float64   // seconds over which it was counted
	Load     []float64 // newest load report, in the order of Reporting.Figures
}

// DemandReport is what came to one proxy for one class, refused and repeated queries included.
type DemandReport struct {
	Proxy    Proxy
	Class    Class
	Requests float64
	Failed   float64 // let in, without an answer
	Interval float64
}

// Ack says that a proxy has applied the message that carried a mark.
type Ack struct {
	Proxy   Proxy
	ID      AckID
	Latency float64
}

// HealthStatus is how a probe ended.
type HealthStatus int

const (
	HealthOK HealthStatus = iota
	HealthError
	HealthRefused
	HealthTimeout
	HealthUnreachable
	HealthInconclusive
)

// HealthCheckResult is what a probe found.
type HealthCheckResult struct {
	Server  Server
	Status  HealthStatus
	Latency float64
	Load    []float64
}

// Redelivered are orders that the channel may carry with one message more than was decided: they go again though they may have been
// carried out, or with another call than the rest of their round.
type Redelivered struct {
	Tables  []Table // one for each weight or level
	Proxies []Proxy // that are bound
}

// Events is all that came in for one round, each slice in arrival order.
type Events struct {
	ChannelStalled bool // what was ordered does not reach the channel now, nor would anything else
	Redelivered    Redelivered
	Lists          []EndpointList
	ProxyEvents    []ProxyEvent
	Upstreams      []UpstreamReport
	Demands        []DemandReport
	Acks           []Ack
	HealthChecks   []HealthCheckResult
	FiredTimers    []Timer
}

// RetryPolicy says when a proxy tries another server.
type RetryPolicy int

const (
	RetryNever         RetryPolicy = iota
	RetryIfNotExecuted             // once, when the first try surely never ran
	RetryOnce                      // once, after any failure
	RetryTwice                     // twice
)

// CommandSink takes the decisions of a round. All orders of a round to a proxy travel as one message.
type CommandSink interface {
	SetWeight(Table, Server, float64) // sets a line; 0 removes it
	AssignTable(Proxy, Table, ClassSet)
	SetAdmission(t Table, cs ClassSet, level float64, again RetryPolicy)
	RequestAck(AckID)
	HealthCheck(Server)
	PollDiscovery()
	SetTimer(after float64, t Timer)
	Log(string)
}
