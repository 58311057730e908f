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

// RelayConfig describes an emulated relay and its clients.
type RelayConfig struct {
	UID               string
	Host              netip.Addr // it dials from
	Coordinator       netip.AddrPort
	OtherCoordinators []netip.AddrPort // tried in turn
	UsesLongPoll      bool             // it speaks the long-poll API instead of SASP
	Collector         netip.AddrPort   // for measurements
	User              string           // of its measurements
	Key               string           // of its measurements
	DefaultTable      []netip.AddrPort // servers that it starts with
	Flags             uint8            // of SASP: Push, Trust, NoChange
	Classes           []Class
	Rate              float64 // requests a second
	ReportInterval    float64 // seconds
	EjectAfter        int     // consecutive failures, after which it avoids a server; 0: never
	EjectDuration     float64 // seconds
	KeyCount          int
	Seed              uint64

	KeyPopularity    []float64 // as Popularity returns it; nil: requests spread evenly over keys
	ClientRetries    int       // times that a client retries a request that failed
	ClientRetryDelay float64   // seconds, on average
	PatienceFraction float64   // of the client timeout, after which a client leaves; 0: all of it
	Policy           Policy
	AllServers       []netip.AddrPort // for policies that need no coordinator
}

// Policy names how a relay picks a server.
type Policy string

// The policies of a relay.
const (
	ByTable           Policy = ""      // by the weights that its coordinator assigns
	RoundRobin        Policy = "robin" // all servers in turn, whatever the coordinator assigns
	PowerOfTwoChoices Policy = "two"   // the less loaded, by its own requests, of two servers drawn from its table
)

// Numbers of the timers.
const (
	relayArrivalTimer     = 1
	relayReportTimer      = 2
	relayDialTimer        = 3
	relayWeightsTimer     = 4
	relayLongPollTimer    = 5
	relayHeartbeatTimer   = 6
	firstPollGapTimer     = 10_000_000 // one for each poll from here on
	firstClientRetryTimer = 1 << 29    // one for each client retry from here on
	firstAttemptTimer     = 1 << 30    // one for each attempt from here on
)

const (
	heartbeatSeconds = 1.0 // between two heartbeats, where there are several coordinators
	redialSeconds    = 1.0
)

// Relay is an emulated proxy with its clients. The exported fields may be changed while it runs, by the goroutine that
// runs its program.
type Relay struct {
	ignoredEvents
	RelayConfig
	LoadFactor           float64 // times Rate
	FalseFailureFraction float64 // share of its attempts that it reports as failed, whatever became of them

	checker          *InvariantChecker
	io               env.IO
	coordinatorConn  env.Conn
	joined           bool
	session          saspSession
	tables           []*table // by class
	targets          map[netip.AddrPort]*target
	byConn           map[env.Conn]netip.AddrPort
	unparsed         map[env.Conn][]byte
	attempts         map[int]*attempt
	attemptByRequest map[uint64]*attempt // the latest of each request
	lastAttempt      int
	lastRequest      uint64
	demand           []loadreport.Totals // by class
	random           randomSource
	clientRetries    map[int]*request
	lastClientRetry  int
	ignoresUpdates   bool
	heartbeatPending bool
	longPoll         longPollState
	admission        []float64              // admitted share, by class
	retryPolicies    []balancer.RetryPolicy // by class
}

// Popularity returns how requests spread over keys by Zipf's law: the share of the first key, the first two keys, and so
// on. It returns nil for an exponent of 0, where all keys are alike.
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

// NewRelay returns a relay that reports what it does to checker.
func NewRelay(config RelayConfig, checker *InvariantChecker) *Relay {
	r := &Relay{
		RelayConfig:      config,
		LoadFactor:       1,
		checker:          checker,
		targets:          map[netip.AddrPort]*target{},
		byConn:           map[env.Conn]netip.AddrPort{},
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

// Start of env.Program.
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

// Connected of env.Program.
func (r *Relay) Connected(now float64, conn env.Conn, ok bool) {
	if conn == r.coordinatorConn {
		r.coordinatorConnected(now, ok)
		return
	}
	target := r.targets[r.byConn[conn]]
	if target == nil || target.conn != conn {
		return
	}
	queued := target.queued
	target.queued = nil
	if !ok {
		delete(r.byConn, conn)
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

// Receive of env.Program.
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

// Closed of env.Program.
func (r *Relay) Closed(now float64, conn env.Conn) {
	if conn == r.coordinatorConn {
		r.markLeft()
		r.io.SetTimer(now+r.redialDelay(), relayDialTimer)
		return
	}
	server := r.byConn[conn]
	delete(r.byConn, conn)
	delete(r.unparsed, conn)
	if target := r.targets[server]; target != nil && target.conn == conn {
		target.conn = 0
		target.open = false
	}
	for _, number := range r.openAttempts(server) {
		r.attemptEnded(now, r.attempts[number], failed) // it may have been executed
	}
}

// TimerFired of env.Program.
func (r *Relay) TimerFired(now float64, what int) {
	switch what {
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
		r.numberedTimerFired(now, what)
	}
}

// numberedTimerFired handles the timers of which there is one for each poll, client retry or attempt.
func (r *Relay) numberedTimerFired(now float64, what int) {
	switch {
	case what >= firstAttemptTimer:
		r.attemptTimedOut(now, what)
	case what >= firstClientRetryTimer:
		number := what - firstClientRetryTimer
		retried := r.clientRetries[number]
		if retried == nil {
			return
		}
		delete(r.clientRetries, number)
		r.admit(now, retried)
	case what > firstPollGapTimer:
		if r.joined && !r.longPoll.pending && what-firstPollGapTimer == r.longPoll.count {
			r.markLeft()
		}
	}
}

// sendReport sends the totals of all attempts by server, and of all requests by class.
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
