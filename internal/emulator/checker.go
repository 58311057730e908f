package emulator

import (
	"fmt"
	"net/netip"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snowquay/balancer"
)

// Rules holds the limits that an InvariantChecker checks.
type Rules struct {
	Guarantees       balancer.Guarantees
	Channel          balancer.Channel
	DisconnectHold   float64 // seconds from the close of a server's last connection until a coordinator withdraws it
	ObservationSlack float64 // maximum delay in seconds with which emulated programs observe an event
}

// The rule numbers.
const (
	ruleEmptyTable      = 1
	ruleDuplicateEffect = 2
	ruleDrainDeadline   = 3
	ruleWarmupOverload  = 4
	ruleChannelLimits   = 5
)

// Verdict is the result of checking one rule. Figure and Reasons are stored in the records of experiments, which pins
// their wording: a line is a table entry, and a query is a request.
type Verdict struct {
	Rule    int
	Title   string
	Kept    bool
	Figure  string   // observed value that came closest to the limit
	Reasons []string // descriptions of the first violations
}

const (
	maxViolationExamples = 5   // stored violations of one rule
	maxProtocolErrors    = 100 // stored protocol errors
)

// InvariantChecker checks the five rules against the events that relays and servers observe on their sockets. Its methods
// are safe for concurrent use. Its exported fields may be read once the programs that report to it have stopped.
type InvariantChecker struct {
	mu         sync.Mutex
	rules      Rules
	classes    []Class
	servers    map[netip.AddrPort]*observedServer
	relays     map[string]*observedRelay
	executedBy map[uint64][]netip.AddrPort // servers that executed a request that is not idempotent, by request ID

	longestEmptyTable    float64                         // seconds
	latestAfterDrain     float64                         // longest time in seconds from a withdrawal to a later request
	peakEntryRate        float64                         // entries per second
	peakMessages         int                             // maximum number of messages to one relay within the message window
	duplicateEffects     int                             // repeated executions of requests that are not idempotent
	overloads            int                             // overloads during warm-up by relays that could know of the server
	unavoidableOverloads int                             // other overloads during warm-up
	sentMessages         []sentMessage                   // recent messages to all relays
	violations           [ruleChannelLimits + 1][]string // descriptions of the first violations, by rule

	Requested      []float64                 // number of requests, by class
	Answered       []float64                 // number of answered requests, by class
	OnTime         []float64                 // number of requests answered within the latency objective, by class
	latencies      []*hdrhistogram.Histogram // latencies of answered requests in microseconds, by class
	intervals      []interval
	firstRequestAt float64
	ProtocolErrors []string // first protocol errors that emulated programs reported
	Attempts       int      // attempts that relays sent
	Messages       int      // messages that relays received
	Entries        int      // table entries in these messages
	Bytes          int      // total size of the long-poll responses
	FullTableBytes int      // total size of the same responses if they had held full tables
}

// NewInvariantChecker returns a checker for requests of the given classes.
func NewInvariantChecker(rules Rules, classes []Class) *InvariantChecker {
	ic := &InvariantChecker{
		rules:      rules,
		classes:    classes,
		servers:    map[netip.AddrPort]*observedServer{},
		relays:     map[string]*observedRelay{},
		executedBy: map[uint64][]netip.AddrPort{},
		Requested:  make([]float64, len(classes)),
		Answered:   make([]float64, len(classes)),
		OnTime:     make([]float64, len(classes)),
	}
	for range classes {
		ic.latencies = append(ic.latencies, newLatencyHistogram())
	}
	return ic
}

func (ic *InvariantChecker) recordViolation(rule int, now float64, format string, args ...any) {
	if len(ic.violations[rule]) < maxViolationExamples {
		ic.violations[rule] = append(ic.violations[rule], fmt.Sprintf("%.2f: ", now)+fmt.Sprintf(format, args...))
	}
}

func (ic *InvariantChecker) recordProtocolError(now float64, format string, args ...any) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if len(ic.ProtocolErrors) < maxProtocolErrors {
		ic.ProtocolErrors = append(ic.ProtocolErrors, fmt.Sprintf("%.2f: ", now)+fmt.Sprintf(format, args...))
	}
}

// CheckDeadlines checks conditions that depend only on the passage of time. The caller has to call it at short intervals.
func (ic *InvariantChecker) CheckDeadlines(now float64) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for _, server := range ic.servers {
		if server.disconnectedSince > 0 && server.withdrawnAt == 0 && now-server.disconnectedSince >= ic.rules.DisconnectHold {
			server.withdrawnAt = now
		}
	}
	ic.checkEmptyTables(now)
}

// CoordinatorDown records that the scenario stopped the only coordinator: until servers register again, the next one
// knows only the stored state.
func (ic *InvariantChecker) CoordinatorDown() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for _, server := range ic.servers {
		server.registered = false
		server.disconnectedSince = 0
	}
}

// Verdicts returns the verdicts on all five rules, ordered by rule number.
func (ic *InvariantChecker) Verdicts() []Verdict {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	guarantees := ic.rules.Guarantees
	channel := ic.rules.Channel
	// The titles are part of a scenario's printed result, which users' scripts read: don't reword them.
	verdicts := []Verdict{
		{
			Rule: ruleEmptyTable, Title: "no relay without a line",
			Figure: fmt.Sprintf("longest %.2f s of %.2f s", ic.longestEmptyTable, guarantees.EmptyTableDeadline),
		},
		{
			Rule: ruleDuplicateEffect, Title: "no effect twice",
			Figure: fmt.Sprintf("%d doubled of %d", ic.duplicateEffects, len(ic.executedBy)),
		},
		{
			Rule: ruleDrainDeadline, Title: "drains kept",
			Figure: fmt.Sprintf("last query %.2f s after the drain, %.2f s allowed", ic.latestAfterDrain, guarantees.DrainDeadline),
		},
		{
			Rule: ruleWarmupOverload, Title: "no cold server pushed over",
			Figure: fmt.Sprintf("%d fell, %d more before relays could know", ic.overloads, ic.unavoidableOverloads),
		},
		{
			Rule: ruleChannelLimits, Title: "queue and messages within limits",
			Figure: fmt.Sprintf("busiest %.0f of %.0f lines a second, %d of %d messages",
				ic.peakEntryRate, channel.EntriesPerSecond, ic.peakMessages, channel.MaxMessages),
		},
	}
	for i := range verdicts {
		verdicts[i].Reasons = ic.violations[verdicts[i].Rule]
		verdicts[i].Kept = len(verdicts[i].Reasons) == 0
	}
	return verdicts
}
