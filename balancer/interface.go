package balancer

// Each kind of identifier has its own type. Values have no meaning beyond identity.
type (
	// Server is the address of a server. It is an opaque string that commands repeat unchanged.
	Server string
	// Proxy is the ID of a proxy.
	Proxy int
	// Table is the ID of a weight table, assigned by the Balancer.
	Table int
	// Class is the index of a request class in the slice that is passed to New.
	Class int
	// ClassSet is a bit set of request classes: bit k represents class k. In commands, 0 means all classes.
	ClassSet uint64
	// Zone is the index of a zone in the site's list.
	Zone int
	// Kind is the ID of a machine type.
	Kind int
	// FailureDomain is the ID of a small set of servers in one zone that fail together and share their
	// deduplication state.
	FailureDomain int
	// Coordinator is the ID of a coordinator of the site.
	Coordinator int
	// AckID is the ID of an acknowledgement request.
	AckID int
	// Timer is the ID of a timer.
	Timer int
)

// Idempotency specifies whether a request may be executed more than once.
type Idempotency int

// The idempotency levels.
const (
	// Idempotent requests may be executed any number of times.
	Idempotent Idempotency = iota
	// Keyed requests carry a deduplication key: the servers within DedupScope drop duplicates for DedupWindow.
	Keyed
	// NonIdempotent requests must never be executed twice.
	NonIdempotent
)

// DedupScope specifies which servers recognize each other's duplicates of a keyed request.
type DedupScope int

// The deduplication scopes.
const (
	EveryServer DedupScope = iota
	SameZone
	SameFailureDomain
)

// RequestClass holds the client requirements for one class of requests. Times are in seconds.
type RequestClass struct {
	PriorityWeight   float64     // value of a response within the latency objective, relative to other classes
	LateWeight       float64     // fraction of PriorityWeight that a later response is still worth
	LatencyObjective float64     // maximum latency at which a response has its full value
	ObjectiveStretch float64     // multiple of the request's own processing time that is added to the objective
	ClientTimeout    float64     // time after which the client abandons a request
	Idempotency      Idempotency // idempotency of the requests
	DedupScope       DedupScope  // deduplication scope of Keyed requests
	DedupWindow      float64     // time for which duplicates of Keyed requests are dropped
	AllowedZones     []Zone      // zones whose servers may be used; empty for all
	ZoneLocal        bool        // only servers in the zone of the proxy may be used
	Writes           bool        // the requests modify data
}

// AdmissionMode specifies how proxies interpret the rate of an admission setting.
type AdmissionMode int

// The admission modes.
const (
	// AdmissionIgnored means that proxies ignore the rate and admit all requests.
	AdmissionIgnored AdmissionMode = iota
	// AdmissionFraction means that the rate is the fraction of the class's requests to admit, from 0 to 1.
	AdmissionFraction
	// AdmissionRate means that the rate is the number of requests per second that each proxy admits.
	AdmissionRate
)

// DataPlane describes the proxies.
type DataPlane struct {
	Proxies              int           // number of proxies of all coordinators
	Coordinators         int           // number of coordinators
	Self                 Coordinator   // ID of this coordinator
	DefaultTableSize     int           // maximum number of servers in the default table of a proxy
	EjectAfterFailures   int           // consecutive failures after which a proxy ejects a server; 0 for never
	DefaultRetry         RetryPolicy   // policy of proxies that have received no other one
	MinConnections       float64       // connection limit of the smallest servers
	AttemptTimeoutFactor float64       // timeout of an attempt as a multiple of the latency objective
	Admission            AdmissionMode // interpretation of admission settings by the proxies
}

// Channel describes the channel from the coordinator to its proxies, a first-in first-out queue. An entry is
// a table entry, an admission setting, a table assignment or an acknowledgement request.
type Channel struct {
	EntriesPerSecond float64 // rate at which entries leave the queue
	MessageOverhead  float64 // cost of a message in entries, in addition to the entries in it
	MaxQueued        float64 // maximum number of queued entries
	MeanDelay        float64 // mean delay in seconds between leaving the queue and reaching the proxy
	MaxDelay         float64 // maximum of the same delay, in seconds
	MaxMessages      int     // maximum number of messages to one proxy within MessageWindow; 0 for no limit
	MessageWindow    float64 // seconds
}

// Guarantees holds the limits that decisions must comply with. Times are in seconds.
type Guarantees struct {
	DrainDeadline         float64 // time until no proxy sends requests to a server that is known to drain
	EmptyTableDeadline    float64 // maximum time for which a proxy may have no table entry
	WarmupStartFraction   float64 // minimum fraction of its capacity that a server has when it starts
	WarmupDuration        float64 // maximum time until a started server has its full capacity
	OverloadFactor        float64 // multiple of its current capacity that overloads a server in OverloadWindow
	OverloadWindow        float64
	DiscoveryPollDeadline float64 // maximum time between two polls of discovery
	RemovalIsAdvisory     bool    // servers missing from a list without having drained may stay in tables
}

// LoadMetric identifies a value in the load report of a server.
type LoadMetric int

// The load metrics.
const (
	UnknownMetric LoadMetric = iota
	InProgress
	QueueLength
	Utilization
	ServiceTime // milliseconds
	CompletionRate
	ErrorRate
)

// Reporting describes the traffic reports that the coordinator receives from its proxies.
type Reporting struct {
	Period           float64      // seconds between two reports of the same kind
	EntriesPerSecond float64      // rate of the reports
	Metrics          []LoadMetric // metrics of a load report, in the order of its values
	Piggybacked      bool         // load reports are part of the upstream reports
}

// HealthChecking specifies whether health checks are allowed and what they cost.
type HealthChecking struct {
	Allowed bool
	Price   float64 // cost of a check in points, relative to the number of requests
	Timeout float64 // connection timeout in seconds
}

// WeightSource specifies the origin of the weights in the endpoint list.
type WeightSource int

// The origins of listed weights.
const (
	WeightsAbsent WeightSource = iota
	WeightsNominal
	WeightsApproximate
	// WeightsLive means that the weights change with the load.
	WeightsLive
)

// Discovery specifies how endpoint lists are obtained.
type Discovery struct {
	Polled  bool // a list arrives only in response to PollDiscovery
	Weights WeightSource
}

// Phase is the lifecycle phase of a listed server.
type Phase int

// The lifecycle phases of a server.
const (
	// Ready servers accept requests.
	Ready Phase = iota
	// Draining servers complete their current requests and must not receive new ones.
	Draining
	// Removed servers no longer exist.
	Removed
)

// Endpoint describes one server of an endpoint list.
type Endpoint struct {
	Server        Server
	Zone          Zone
	Kind          Kind
	FailureDomain FailureDomain
	Weight        float64 // listed relative capacity
	Phase         Phase
	Started       float64 // clock time of the last start; 0 if it was long ago
}

// ListScope specifies which servers an endpoint list covers.
type ListScope int

// The scopes of an endpoint list.
const (
	// CachedList is the last list that was known before a restart. It may be outdated.
	CachedList ListScope = iota
	// FullList contains every server: servers that are not in it have been removed.
	FullList
	// DeltaList contains only servers that have changed.
	DeltaList
	// ListFailed reports a failed poll or a broken watch. It has no endpoints.
	ListFailed
)

// EndpointList is one message from discovery.
type EndpointList struct {
	Scope     ListScope
	Endpoints []Endpoint
}

// ProxyEvent reports that a proxy joined or left.
type ProxyEvent struct {
	Proxy        Proxy
	Joined       bool // false if the proxy left
	Zone         Zone
	ExpectedRate float64 // usual number of requests per second
	DefaultTable bool    // the proxy has only its default table
}

// UpstreamReport summarizes the attempts of a zone's connected proxies at one server.
type UpstreamReport struct {
	Server   Server
	Zone     Zone      // zone of the proxies
	Attempts float64   // number of attempts within Interval
	Failed   float64   // number of attempts without a successful response
	Latency  float64   // mean latency of the successful attempts in seconds
	Interval float64   // seconds
	Load     []float64 // latest load report, in the order of Reporting.Metrics
}

// DemandReport counts the requests of one class that one proxy received, including rejected and retried
// requests.
type DemandReport struct {
	Proxy    Proxy
	Class    Class
	Requests float64 // number of requests within Interval
	Failed   float64 // number of admitted requests without a response
	Interval float64 // seconds
}

// Ack reports that a proxy has applied the message that contained an acknowledgement request.
type Ack struct {
	Proxy   Proxy
	ID      AckID
	Latency float64 // seconds from the acknowledgement request to the application of the message
}

// HealthStatus is the outcome of a health check.
type HealthStatus int

// The outcomes of a health check.
const (
	HealthOK HealthStatus = iota
	HealthError
	HealthRefused
	HealthTimeout
	HealthUnreachable
	HealthInconclusive
)

// HealthCheckResult reports the outcome of a health check.
type HealthCheckResult struct {
	Server  Server
	Status  HealthStatus
	Latency float64   // seconds
	Load    []float64 // load report, in the order of Reporting.Metrics
}

// Redelivered identifies commands that the channel may carry a second time, in a separate message. They are
// sent again because they may or may not have been executed the first time, or were not sent with the rest of
// their round.
type Redelivered struct {
	Tables  []Table // the table of each redelivered weight or admission setting, once per command
	Proxies []Proxy // proxies whose tables are assigned again
}

// Events holds all inputs of one round, each slice in the order of arrival.
type Events struct {
	ChannelStalled bool // commands currently cannot reach the channel, so nothing is published
	Redelivered    Redelivered
	Lists          []EndpointList
	ProxyEvents    []ProxyEvent
	Upstreams      []UpstreamReport
	Demands        []DemandReport
	Acks           []Ack
	HealthChecks   []HealthCheckResult
	FiredTimers    []Timer
}

// RetryPolicy specifies when a proxy retries a request on another server.
type RetryPolicy int

// The retry policies.
const (
	// RetryNever allows only one attempt.
	RetryNever RetryPolicy = iota
	// RetryIfNotExecuted retries once if the first attempt was certainly not executed.
	RetryIfNotExecuted
	// RetryOnce retries once after any failure.
	RetryOnce
	// RetryTwice retries up to two times after any failure.
	RetryTwice
)

// CommandSink receives the commands of a round. All commands of a round for a proxy are sent in one message.
type CommandSink interface {
	// SetWeight sets the weight of a server in a table. A weight of 0 removes the entry.
	SetWeight(table Table, server Server, weight float64)
	// AssignTable assigns a table to a proxy for the given classes.
	AssignTable(proxy Proxy, table Table, classes ClassSet)
	// SetAdmission sets the admission rate and the retry policy of the given classes for the proxies that use a
	// table. DataPlane.Admission specifies the unit of the rate.
	SetAdmission(table Table, classes ClassSet, rate float64, retry RetryPolicy)
	// RequestAck asks the proxies to acknowledge the messages of the round when they have applied them.
	RequestAck(id AckID)
	// HealthCheck requests a health check of a server. The result arrives as a HealthCheckResult.
	HealthCheck(server Server)
	// PollDiscovery requests one poll of discovery. The result arrives as an EndpointList.
	PollDiscovery()
	// SetTimer schedules a round after the given number of seconds.
	SetTimer(seconds float64, timer Timer)
	// Log writes a message to the operator log.
	Log(text string)
}
