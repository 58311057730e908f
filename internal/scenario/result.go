package scenario

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/emulator"
)

const (
	maxPrintedErrors      = 10
	millisecondsPerSecond = 1000
)

// Result is the result of a run. Service, latency and request counts are those of emulated servers.
type Result struct {
	Verdicts         []emulator.Verdict
	Service          float64                   // fraction of the requests answered on time, weighted by priority weight
	WorstInterval    float64                   // service in the worst ten seconds
	LatestAfterDrain float64                   // longest time in seconds from a drain to the last request to the server
	Latencies        []*hdrhistogram.Histogram // response latencies in microseconds, by class
	P50              float64                   // median latency in seconds
	P99              float64                   // 99th percentile of the latency in seconds
	Requested        []float64                 // number of requests, by class
	Answered         []float64                 // number of answered requests, by class
	OnTime           []float64                 // number of requests answered within the latency objective, by class
	Attempts         int
	Messages         int
	Entries          int
	PeakQueue        float64 // maximum number of queued entries
	ProtocolErrors   []string
	ControlPlane     controlplane.Stats
	SASP             saspsession.Stats
	LongPoll         longpoll.Stats
	Bytes            int // size of all long-poll responses
	FullTableBytes   int // size of the long-poll responses with full tables
	Events           int // events that the virtual network processed
	Seconds          float64
	JoinedAfter      []float64 // seconds from each stop of a coordinator until all relays were joined again
	UpdatedAfter     []float64 // seconds from each stop of a coordinator until all relays had received their tables
	AckDelays        []float64 // seconds from decision to acknowledgement of each acknowledged message
}

// Kept reports whether all rules were kept.
func (r *Result) Kept() bool { return allKept(r.Verdicts) }

func allKept(verdicts []emulator.Verdict) bool {
	return !slices.ContainsFunc(verdicts, func(v emulator.Verdict) bool { return !v.Kept })
}

// finish collects the result of a run that started at the given time.
func (r *run) finish(start float64) {
	result := &r.result
	result.Verdicts = r.checker.Verdicts()
	result.Service = r.checker.Service()
	result.P50 = r.checker.LatencyQuantile(0.5)
	result.P99 = r.checker.LatencyQuantile(0.99)
	result.WorstInterval = r.checker.WorstInterval()
	result.LatestAfterDrain = r.checker.LatestAfterDrain()
	for class := range r.classes {
		result.Latencies = append(result.Latencies, r.checker.Latencies(class))
	}
	result.Requested = r.checker.Requested
	result.Answered = r.checker.Answered
	result.OnTime = r.checker.OnTime
	result.Bytes = r.checker.Bytes
	result.FullTableBytes = r.checker.FullTableBytes
	result.Attempts = r.checker.Attempts
	result.Messages = r.checker.Messages
	result.Entries = r.checker.Entries
	result.ProtocolErrors = r.checker.ProtocolErrors
	result.Seconds = r.network.Now() - start
	if r.virtual != nil {
		result.Events = r.virtual.Events
	}
}

// Print writes the result as text. The classes are the names of the request classes.
func (r *Result) Print(w io.Writer, classes []string) error {
	var text strings.Builder
	r.printVerdicts(&text)
	fmt.Fprintf(&text, "service %.3f of the benefit asked for, in time (simulated servers); median %.0f ms, p99 %.0f ms\n", r.Service,
		r.P50*millisecondsPerSecond, r.P99*millisecondsPerSecond)
	for i, name := range classes {
		fmt.Fprintf(&text, "  %-12s %6.0f asked, %6.0f answered, %6.0f in time\n", name, r.Requested[i], r.Answered[i], r.OnTime[i])
	}
	fmt.Fprintf(&text, "%d messages of %d lines reached relays; at most %.0f lines waited\n", r.Messages, r.Entries, r.PeakQueue)
	fmt.Fprintf(&text, "%d rounds (%d idle), %d full tables, %d relays cut off, %d refusals, %d malformed\n", r.ControlPlane.Rounds,
		r.ControlPlane.Idle, r.ControlPlane.FullTables, r.ControlPlane.Disconnected, r.SASP.Rejected, r.SASP.Malformed)
	r.printTakeovers(&text)
	r.printLongPoll(&text)
	for _, message := range r.ProtocolErrors[:min(len(r.ProtocolErrors), maxPrintedErrors)] {
		fmt.Fprintf(&text, "  seen: %s\n", message)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func (r *Result) printVerdicts(text *strings.Builder) {
	for _, verdict := range r.Verdicts {
		state := "kept  "
		if !verdict.Kept {
			state = "BROKEN"
		}
		fmt.Fprintf(text, "rule %d  %s  %-36s %s\n", verdict.Rule, state, verdict.Title, verdict.Figure)
		for _, reason := range verdict.Reasons {
			fmt.Fprintf(text, "        %s\n", reason)
		}
	}
}

func (r *Result) printTakeovers(text *strings.Builder) {
	if len(r.JoinedAfter) == 0 {
		return
	}
	fmt.Fprintf(text, "%d deaths of coordinators; all relays led again after %.2f s (median), %.2f s (p90), %.2f s (most); told their tables after %.2f, %.2f, %.2f s\n",
		len(r.JoinedAfter), quantile(r.JoinedAfter, 0.5), quantile(r.JoinedAfter, 0.9), quantile(r.JoinedAfter, 1),
		quantile(r.UpdatedAfter, 0.5), quantile(r.UpdatedAfter, 0.9), quantile(r.UpdatedAfter, 1))
}

func (r *Result) printLongPoll(text *strings.Builder) {
	stats := r.LongPoll
	if stats.Polls == 0 {
		return
	}
	fmt.Fprintf(text, "%d polls: %d classes as deltas, %d in full, %d waits ended empty, %d refused, %d answers lost; %d bytes, %d with whole tables\n", stats.Polls,
		stats.Deltas, stats.FullTables, stats.EmptyAnswers, stats.Rejected, stats.LostAnswers, r.Bytes, r.FullTableBytes)
}

// quantile returns a quantile of unsorted values, or 0 if there are none.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
