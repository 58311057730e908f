package balancer

// Identifiers of one kind have a type of their own. They carry no meaning beyond identity.
type (
	// Server is the address of a server, handed back unaltered.
	Server string
	// Proxy is the number of a proxy.
	Proxy int
	// Table is the number of a weight table, chosen by the Balancer.
	Table int
	// Class is the index of a request class among those handed to New.
	Class int
	// ClassSet is a set of request classes: bit k stands for class k. 0 stands for all classes.
	ClassSet uint64
	// Zone is the index of a zone in the site's list.
	Zone int
	// Kind is the number of a kind of machine.
	Kind int
	// FailureDomain is the number of a few servers of one zone that fail together and share what they know for
	// deduplication.
	FailureDomain int
	// Coordinator is the number of a coordinator of the site.
	Coordinator int
	// AckID is the number of an acknowledgement request.
	AckID int
	// Timer is the number of a timer.
	Timer int
)

// Idempotency says what a repeated request may do.
type Idempotency int

// The kinds of idempotency.
const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota
	// Keyed requests carry a key by which servers drop repetitions within DedupScope for DedupWindow.
	Keyed
	// NonIdempotent requests must never run twice.
	NonIdempotent
)

// DedupScope names the servers that drop each other's repetitions of a keyed request.
type DedupScope int

// The scopes of deduplication.
const (
	EveryServer DedupScope = iota
	SameZone
	SameFailureDomain
)

// RequestClass is what clients expect of one class of requests. Times are in seconds.
type RequestClass struct {
	PriorityWeight   float64     // of an answer within the latency objective, against other classes
	LateWeight       float64     // part of PriorityWeight that a later answer is still worth
	LatencyObjective float64     // within which an answer has its full worth
	ObjectiveStretch float64     // multiple of the request's own work that is added to the objective
	ClientTimeout    float64     // after which the client gives up
	Idempotency      Idempotency // of its requests
	DedupScope       DedupScope  // of Keyed requests
	DedupWindow      float64     // for which repetitions of Keyed requests are dropped
	AllowedZones     []Zone      // zones of the servers that it may go to; none named: all
	ZoneLocal        bool        // it may go only to servers of the proxy's zone
	Writes           bool        // its requests change data
}

// AdmissionMode says how the proxies understand the rate of an admission setting.
type AdmissionMode int

// The admission modes.
const (
	// AdmissionIgnored means that proxies admit everything.
	AdmissionIgnored AdmissionMode = iota
	// AdmissionFraction means the part of a class's requests that is admitted, from 0 to 1.
	AdmissionFraction
	// AdmissionRate means the requests per second that each proxy admits.
	AdmissionRate
)

// DataPlane describes the proxies.
type DataPlane struct {
	Proxies              int           // of all coordinators together
	Coordinators         int           // how many there are
	Self                 Coordinator   // this one's number
	DefaultTableSize     int           // most servers in the table that a proxy starts with
	EjectAfterFailures   int           // failures in a row after which a proxy ejects a server; 0: never
	DefaultRetry         RetryPolicy   // of proxies that have no other order
	MinConnections       float64       // that the smallest servers accept
	AttemptTimeoutFactor float64       // timeout of an attempt, in latency objectives
	Admission            AdmissionMode // how proxies understand admission settings
}

// Channel describes the way from the coordinator to its proxies, a first-in first-out queue. An entry is a
// table entry, an admission setting, an assigned table or an acknowledgement request.
type Channel struct {
	EntriesPerSecond float64 // pace at which entries leave it
	MessageOverhead  float64 // entries charged for each message besides its own
	MaxQueued        float64 // entries that may wait in it
	MeanDelay        float64 // seconds from leaving it to the proxy
	MaxDelay         float64 // seconds
	MaxMessages      int     // to one proxy within MessageWindow; 0: no limit
	MessageWindow    float64 // seconds
}

// Guarantees are the limits that the decisions keep. Times are in seconds.
type Guarantees struct {
	DrainDeadline         float64 // until no proxy sends to a server known to drain
	EmptyTableDeadline    float64 // that a proxy may be without a table entry
	WarmupStartFraction   float64 // part of its capacity that a server has at least when it starts
	WarmupDuration        float64 // after which a server has its whole capacity at the latest
	OverloadFactor        float64 // multiple of a server's present capacity that overloads it within OverloadWindow
	OverloadWindow        float64
	DiscoveryPollDeadline float64 // that discovery may go unpolled
	RemovalIsAdvisory     bool    // a server that merely left the list may stay in tables
}

// LoadMetric names a value of a server's load report.
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

// Reporting says which reports of its proxies' traffic the coordinator gets.
type Reporting struct {
	Period           float64      // seconds between two reports of one kind
	EntriesPerSecond float64      // pace of the reports
	Metrics          []LoadMetric // of a load report, in their order
	Piggybacked      bool         // load reports come with the upstream reports
}

// HealthChecking says whether health checks are allowed and what they cost.
type HealthChecking struct {
	Allowed bool
	Price   float64 // points for each check, per request
	Timeout float64 // seconds that a proxy waits for a connection
}

// WeightSource says what the weights in the endpoint list rest on.
type WeightSource int

// The sources of listed weights.
const (
	WeightsAbsent WeightSource = iota
	WeightsNominal
	WeightsApproximate
	// WeightsLive change with the load.
	WeightsLive
)

// Discovery says how endpoint lists come.
type Discovery struct {
	Polled  bool // they come only when PollDiscovery asks for them
	Weights WeightSource
}

// Phase is the part of its life that a listed server is in.
type Phase int

// The phases of a server.
const (
	// Ready servers take requests.
	Ready Phase = iota
	// Draining servers finish what they have, and must get no new requests.
	Draining
	// Removed servers no longer exist.
	Removed
)

// Endpoint is one server of an endpoint list.
type Endpoint struct {
	Server        Server
	Zone          Zone
	Kind          Kind
	FailureDomain FailureDomain
	Weight        float64 // relative capacity as listed
	Phase         Phase
	Started       float64 // clock time of its last start; 0: long ago
}

// ListScope says what an endpoint list covers.
type ListScope int

// The scopes of an endpoint list.
const (
	// CachedList is the list as last known before a restart, possibly out of date.
	CachedList ListScope = iota
	// FullList names every server: those absent are removed.
	FullList
	// DeltaList names only what has changed.
	DeltaList
	// ListFailed stands for a poll that failed or a watch that broke; it has no endpoints.
	ListFailed
)

// EndpointList is one message from discovery.
type EndpointList struct {
	Scope     ListScope
	Endpoints []Endpoint
}

// ProxyEvent is a proxy that joined or left.
type ProxyEvent struct {
	Proxy        Proxy
	Joined       bool // otherwise it left
	Zone         Zone
	ExpectedRate float64 // requests per second that it usually gets
	DefaultTable bool    // it holds only its default table
}

// UpstreamReport is what the connected proxies of a zone met at one server.
type UpstreamReport struct {
	Server   Server
	Zone     Zone      // of the proxies
	Attempts float64   // within Interval
	Failed   float64   // attempts without a good answer
	Latency  float64   // mean of the good ones, seconds
	Interval float64   // seconds
	Load     []float64 // newest load report, in the order of Reporting.Metrics
}

// DemandReport is what came to one proxy of one class, rejected and retried requests included.
type DemandReport struct {
	Proxy    Proxy
	Class    Class
	Requests float64 // within Interval
	Failed   float64 // admitted ones without an answer
	Interval float64 // seconds
}

// Ack says that a proxy has applied the message that carried an acknowledgement request.
type Ack struct {
	Proxy   Proxy
	ID      AckID
	Latency float64 // seconds from the request to its application
}

// HealthStatus is how a health check ended.
type HealthStatus int

// The results of a health check.
const (
	HealthOK HealthStatus = iota
	HealthError
	HealthRefused
	HealthTimeout
	HealthUnreachable
	HealthInconclusive
)

// HealthCheckResult is the result of a health check.
type HealthCheckResult struct {
	Server  Server
	Status  HealthStatus
	Latency float64   // seconds
	Load    []float64 // load report, in the order of Reporting.Metrics
}

// Redelivered names commands that the channel may carry a second time, with a message of their own: they are
// sent again although they may have been carried out, or not with the rest of their round.
type Redelivered struct {
	Tables  []Table // one for each weight or admission setting
	Proxies []Proxy // that are assigned their tables again
}

// Events is all that came in for one round, each slice in the order of arrival.
type Events struct {
	ChannelStalled bool // commands do not reach the channel at present: nothing is published
	Redelivered    Redelivered
	Lists          []EndpointList
	ProxyEvents    []ProxyEvent
	Upstreams      []UpstreamReport
	Demands        []DemandReport
	Acks           []Ack
	HealthChecks   []HealthCheckResult
	FiredTimers    []Timer
}

// RetryPolicy says when a proxy sends a request to another server.
type RetryPolicy int

// The retry policies.
const (
	// RetryNever makes one attempt.
	RetryNever RetryPolicy = iota
	// RetryIfNotExecuted retries once if the first attempt surely did not run.
	RetryIfNotExecuted
	// RetryOnce retries once after any failure.
	RetryOnce
	// RetryTwice retries up to two times after any failure.
	RetryTwice
)

// CommandSink receives the decisions of a round. All commands of a round for a proxy travel in one message.
type CommandSink interface {
	// SetWeight sets the entry of a server in a table; 0 removes it.
	SetWeight(table Table, server Server, weight float64)
	// AssignTable has a proxy use a table for some classes.
	AssignTable(proxy Proxy, table Table, classes ClassSet)
	// SetAdmission sets what the users of a table admit of some classes, by DataPlane.Admission, and when they
	// retry.
	SetAdmission(table Table, classes ClassSet, rate float64, retry RetryPolicy)
	// RequestAck has the round's messages acknowledged when they are applied.
	RequestAck(id AckID)
	// HealthCheck has a server checked; the result comes as a HealthCheckResult.
	HealthCheck(server Server)
	// PollDiscovery has discovery polled once; the result comes as an EndpointList.
	PollDiscovery()
	// SetTimer schedules a round after some seconds.
	SetTimer(seconds float64, timer Timer)
	// Log records a message for the operators.
	Log(text string)
}
