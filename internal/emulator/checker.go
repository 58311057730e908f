package emulator

import (
	"fmt"
	"net/netip"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snowquay/balancer"
)

// Rules are the limits that an InvariantChecker judges by.
type Rules struct {
	Guarantees       balancer.Guarantees
	Channel          balancer.Channel
	DisconnectHold   float64 // seconds after a server's last connection closed until a coordinator withdraws the server
	ObservationSlack float64 // seconds by which emulated programs may observe something late
}

// Numbers of the rules.
const (
	ruleTable   = 1
	ruleEffect  = 2
	ruleDrain   = 3
	ruleWarmup  = 4
	ruleChannel = 5
)

// Verdict on one rule.
type Verdict struct {
	Rule    int
	Title   string
	Kept    bool
	Figure  string   // what came closest to the limit
	Reasons []string // the first violations
}

const (
	maxViolationExamples = 5   // of one rule that are kept
	maxProtocolErrors    = 100 // that are kept
)

// InvariantChecker observes what relays and servers see on their sockets, and judges the five rules by it. Its methods
// may be called from several goroutines; its fields may be read when the programs that report to it have stopped.
type InvariantChecker struct {
	mu         sync.Mutex
	rules      Rules
	classes    []Class
	servers    map[netip.AddrPort]*observedServer
	relays     map[string]*observedRelay
	executedAt map[uint64][]netip.AddrPort // servers that executed a request with an effect, by request

	longestEmptyTable    float64 // seconds
	latestAfterDrain     float64 // seconds
	peakEntryRate        float64 // entries a second
	peakMessages         int     // to one relay within a window
	duplicateEffects     int
	overloads            int
	unavoidableOverloads int
	sentMessages         []sentMessage             // over all relays
	violations           [ruleChannel + 1][]string // by rule

	Requested      []float64                 // by class
	Answered       []float64                 // by class
	OnTime         []float64                 // by class
	latencies      []*hdrhistogram.Histogram // microseconds until an answer, by class
	intervals      []interval
	firstRequestAt float64
	ProtocolErrors []string
	Attempts       int
	Messages       int
	Entries        int
	Bytes          int // of long-poll responses
	FullTableBytes int // of the same responses, had they held full tables
}

// NewInvariantChecker returns a checker for requests of classes.
func NewInvariantChecker(rules Rules, classes []Class) *InvariantChecker {
	ic := &InvariantChecker{
		rules:      rules,
		classes:    classes,
		servers:    map[netip.AddrPort]*observedServer{},
		relays:     map[string]*observedRelay{},
		executedAt: map[uint64][]netip.AddrPort{},
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

// CheckDeadlines judges what depends on time alone. It has to be called often.
func (ic *InvariantChecker) CheckDeadlines(now float64) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for _, server := range ic.servers {
		if server.silentSince > 0 && server.withdrawnAt == 0 && now-server.silentSince >= ic.rules.DisconnectHold {
			server.withdrawnAt = now
		}
	}
	ic.checkEmptyTables(now)
}

// CoordinatorDown reports that the scenario stopped the only coordinator: until servers register again, the next one
// knows what was stored.
func (ic *InvariantChecker) CoordinatorDown() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for _, server := range ic.servers {
		server.registered = false
		server.silentSince = 0
	}
}

// Verdicts returns the verdicts on all five rules, in their order.
func (ic *InvariantChecker) Verdicts() []Verdict {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	guarantees := ic.rules.Guarantees
	channel := ic.rules.Channel
	verdicts := []Verdict{
		{
			Rule: ruleTable, Title: "no relay without a line",
			Figure: fmt.Sprintf("longest %.2f s of %.2f s", ic.longestEmptyTable, guarantees.EmptyTableDeadline),
		},
		{
			Rule: ruleEffect, Title: "no effect twice",
			Figure: fmt.Sprintf("%d doubled of %d", ic.duplicateEffects, len(ic.executedAt)),
		},
		{
			Rule: ruleDrain, Title: "drains kept",
			Figure: fmt.Sprintf("last query %.2f s after the drain, %.2f s allowed", ic.latestAfterDrain, guarantees.DrainDeadline),
		},
		{
			Rule: ruleWarmup, Title: "no cold server pushed over",
			Figure: fmt.Sprintf("%d fell, %d more before relays could know", ic.overloads, ic.unavoidableOverloads),
		},
		{
			Rule: ruleChannel, Title: "queue and messages within limits",
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
