package emulator

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/env"
	"snowquay/internal/feed/collectd"
)

// RelayConfig configures an emulated relay and its clients.
type RelayConfig struct {
	UID               string
	Host              netip.Addr // source address of its connections
	Coordinator       netip.AddrPort
	OtherCoordinators []netip.AddrPort // dialed in rotation with Coordinator
	UsesLongPoll      bool             // whether it uses the long-poll API instead of SASP
	Collector         netip.AddrPort   // destination of measurements
	User              string           // user that measurements are sent as
	Key               string           // key that signs the measurements
	DefaultTable      []netip.AddrPort // initial entries of each class's table
	Flags             uint8            // SASP flags: Push, Trust, NoChange
	Classes           []Class
	Rate              float64 // requests per second
	ReportInterval    float64 // seconds
	EjectAfter        int     // consecutive failures after which it ejects a server; 0 for never
	EjectDuration     float64 // seconds
	KeyCount          int     // number of distinct request keys
	Seed              uint64

	KeyPopularity    []float64 // cumulative distribution of the keys, from Popularity; nil for a uniform distribution
	ClientRetries    int       // maximum number of times that a client repeats a failed request
	ClientRetryDelay float64   // mean delay in seconds
	PatienceFraction float64   // fraction of the client timeout after which a client gives up; 0 for all of it
	Policy           Policy
	AllServers       []netip.AddrPort // table entries under policies that need no coordinator
}

// Policy selects the algorithm by which a relay picks a server.
type Policy string

// The policies.
const (
	ByTable           Policy = ""      // weighted round robin with the weights that the coordinator assigns
	RoundRobin        Policy = "robin" // round robin over all servers, regardless of the coordinator
	PowerOfTwoChoices Policy = "two"   // of two random servers in the table, the one with fewer attempts of this relay in flight
)

// The timer keys.
const (
	relayArrivalTimer     = 1
	relayReportTimer      = 2
	relayDialTimer        = 3
	relayWeightsTimer     = 4
	relayLongPollTimer    = 5
	relayHeartbeatTimer   = 6
	firstPollGapTimer     = 10_000_000 // base of the keys of timeouts between polls, to which the number of polls sent is added
	firstClientRetryTimer = 1 << 29    // base of the keys of client retries, to which the retry's number is added
	firstAttemptTimer     = 1 << 30    // base of the attempt numbers, which are the keys of the attempts' timeouts
)

const (
	heartbeatSeconds = 1.0 // interval of heartbeats, which are sent if there are several coordinators
	redialSeconds    = 1.0 // base delay of a redial, and default delay of a poll after a rejection
)

// Relay is an emulated proxy with its clients. The goroutine that runs its program may change the exported fields at any
// time.
type Relay struct {
	ignoredEvents
	RelayConfig
	LoadFactor           float64 // factor applied to Rate
	FalseFailureFraction float64 // minimum fraction of its attempts that it reports as failed, regardless of their outcomes

	checker          *InvariantChecker
	io               env.IO
	coordinatorConn  env.Conn
	joined           bool
	session          saspSession
	tables           []*table // by class index
	targets          map[netip.AddrPort]*target
	serverByConn     map[env.Conn]netip.AddrPort
	unparsed         map[env.Conn][]byte
	attempts         map[int]*attempt    // open attempts, by number
	attemptByRequest map[uint64]*attempt // open attempt of each request, by request ID
	lastAttempt      int                 // number of the latest attempt
	lastRequest      uint64              // ID of the latest request
	demand           []loadreport.Totals // by class index
	random           randomSource
	clientRetries    map[int]*request // scheduled client retries, by number
	lastClientRetry  int              // number of the latest client retry
	ignoresUpdates   bool
	heartbeatPending bool // a heartbeat has not been answered
	longPoll         longPollState
	admission        []float64              // admitted fraction of requests, by class index
	retryPolicies    []balancer.RetryPolicy // by class index
}

// Popularity returns the cumulative distribution of requests over keys by Zipf's law: the fraction of requests for the first
// key, for the first two keys, and so on. It returns nil for an exponent of 0, which stands for a uniform distribution.
func Popularity(keys int, exponent float64) []float64 {
	if exponent == 0 {
		return nil
	}
	var shares []float64
	sum := 0.0
	for i := range keys {
		sum += math.Pow(float64(i+1), -exponent)
		shares = append(shares, sum)
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// NewRelay returns a relay that reports its events to checker.
func NewRelay(config RelayConfig, checker *InvariantChecker) *Relay {
	r := &Relay{
		RelayConfig:      config,
		LoadFactor:       1,
		checker:          checker,
		targets:          map[netip.AddrPort]*target{},
		serverByConn:     map[env.Conn]netip.AddrPort{},
		unparsed:         map[env.Conn][]byte{},
		attempts:         map[int]*attempt{},
		attemptByRequest: map[uint64]*attempt{},
		clientRetries:    map[int]*request{},
		lastAttempt:      firstAttemptTimer,
		demand:           make([]loadreport.Totals, len(config.Classes)),
		random:           newRandomSource(config.Seed),
		lastRequest:      config.Seed << 32,
	}
	servers := config.DefaultTable
	if config.Policy == RoundRobin {
		servers = config.AllServers
	}
	for _, class := range config.Classes {
		r.admission = append(r.admission, 1)
		r.retryPolicies = append(r.retryPolicies, class.RetryPolicy)
		r.tables = append(r.tables, newTable(servers))
	}
	return r
}

// Start implements env.Program.
func (r *Relay) Start(now float64, io env.IO) {
	r.io = io
	r.checker.relayStarted(r.UID, r.Host)
	r.coordinatorConn = io.Dial(r.Coordinator)
	if len(r.OtherCoordinators) > 0 {
		io.SetTimer(now+heartbeatSeconds, relayHeartbeatTimer)
	}
	r.scheduleArrival(now)
	io.SetTimer(now+r.ReportInterval*r.random.uniform(), relayReportTimer)
}

// Connected implements env.Program.
func (r *Relay) Connected(now float64, conn env.Conn, ok bool) {
	if conn == r.coordinatorConn {
		r.coordinatorConnected(now, ok)
		return
	}
	target := r.targets[r.serverByConn[conn]]
	if target == nil || target.conn != conn {
		return
	}
	queued := target.queued
	target.queued = nil
	if !ok {
		delete(r.serverByConn, conn)
		target.conn = 0
		for _, unsent := range queued {
			r.attemptEnded(now, unsent, rejected)
		}
		return
	}
	target.open = true
	for _, unsent := range queued {
		r.transmit(target, unsent)
	}
}

// Receive implements env.Program.
func (r *Relay) Receive(now float64, conn env.Conn, b []byte) {
	if conn == r.coordinatorConn {
		r.receiveFromCoordinator(now, b)
		return
	}
	b = append(r.unparsed[conn], b...)
	for len(b) >= responseBytes {
		id := binary.BigEndian.Uint64(b)
		result := outcome(b[outcomeOffset])
		b = b[responseBytes:]
		answeredAttempt := r.attemptByRequest[id]
		if answeredAttempt != nil && r.targets[answeredAttempt.server].conn == conn {
			r.attemptEnded(now, answeredAttempt, result)
		}
	}
	r.unparsed[conn] = append([]byte(nil), b...)
}

// Closed implements env.Program.
func (r *Relay) Closed(now float64, conn env.Conn) {
	if conn == r.coordinatorConn {
		r.markLeft()
		r.io.SetTimer(now+r.redialDelay(), relayDialTimer)
		return
	}
	server := r.serverByConn[conn]
	delete(r.serverByConn, conn)
	delete(r.unparsed, conn)
	if target := r.targets[server]; target != nil && target.conn == conn {
		target.conn = 0
		target.open = false
	}
	for _, number := range r.openAttempts(server) {
		r.attemptEnded(now, r.attempts[number], failed) // the server may have executed it
	}
}

// TimerFired implements env.Program.
func (r *Relay) TimerFired(now float64, key int) {
	switch key {
	case relayArrivalTimer:
		r.scheduleArrival(now)
		r.newRequest(now)
	case relayReportTimer:
		r.sendReport(now)
		r.io.SetTimer(now+r.ReportInterval, relayReportTimer)
	case relayHeartbeatTimer:
		r.io.SetTimer(now+heartbeatSeconds, relayHeartbeatTimer)
		r.checkHeartbeat(now)
	case relayLongPollTimer:
		if !r.longPoll.pending {
			r.sendPoll(now)
		}
	case relayDialTimer:
		r.dialNext()
	case relayWeightsTimer:
		r.requestWeights()
	default:
		r.numberedTimerFired(now, key)
	}
}

// numberedTimerFired handles the timers of individual polls, client retries and attempts.
func (r *Relay) numberedTimerFired(now float64, key int) {
	switch {
	case key >= firstAttemptTimer:
		r.attemptTimedOut(now, key)
	case key >= firstClientRetryTimer:
		number := key - firstClientRetryTimer
		retried := r.clientRetries[number]
		if retried == nil {
			return
		}
		delete(r.clientRetries, number)
		r.admit(now, retried)
	case key > firstPollGapTimer:
		if r.joined && !r.longPoll.pending && key-firstPollGapTimer == r.longPoll.count {
			r.markLeft()
		}
	}
}

// sendReport sends the totals of all attempts per server, and of all requests per class.
func (r *Relay) sendReport(now float64) {
	packets := collectd.NewPacketWriter(now, r.UID, r.User, r.Key, func(b []byte) { r.io.Datagram(r.Collector, b) })
	var servers []netip.AddrPort
	for server := range r.targets {
		servers = append(servers, server)
	}
	slices.SortFunc(servers, netip.AddrPort.Compare)
	for _, server := range servers {
		totals := r.targets[server].totals
		totals.Failed = max(totals.Failed, r.FalseFailureFraction*totals.Attempts)
		packets.Traffic(server.String(), totals)
	}
	for i, class := range r.Classes {
		packets.Demand(class.Name, r.demand[i])
	}
	packets.Flush()
}
