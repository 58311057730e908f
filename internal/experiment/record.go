package experiment

import (
	"fmt"
	"runtime/debug"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"snowquay/internal/scenario"
	"snowquay/internal/settings"
)

const (
	microsecondsPerSecond = 1e6
	revisionDigits        = 12
)

// ClassRecord holds the results of a request class. Latencies are in seconds.
type ClassRecord struct {
	Class     string             `json:"Class"`
	Requested float64            `json:"Asked"`    // number of requests
	Answered  float64            `json:"Answered"` // number of requests that received a response
	OnTime    float64            `json:"InTime"`   // number of requests answered within the latency objective
	P50       float64            `json:"P50"`
	P90       float64            `json:"P90"`
	P99       float64            `json:"P99"`
	P999      float64            `json:"P999"`
	Times     []hdrhistogram.Bar `json:"Times"` // histogram of response times in microseconds
}

// RuleRecord holds the verdict on a rule.
type RuleRecord struct {
	Rule    int      `json:"Rule"`
	Kept    bool     `json:"Kept"`
	Figure  string   `json:"Figure"`            // the value that came closest to the limit
	Reasons []string `json:"Reasons,omitempty"` // the first violations
}

// Record holds the result of a cell. Two runs of a cell by the same build give identical bytes.
type Record struct {
	Experiment      string        `json:"Experiment"`
	Fleet           string        `json:"Fleet"`
	Case            string        `json:"Case"`
	Arm             string        `json:"Arm"`
	Seed            uint64        `json:"Seed"`
	Version         string        `json:"Version"` // source revision of the build
	Fingerprint     string        `json:"Print"`   // hash of the experiment's text
	Servers         int           `json:"Servers"`
	Relays          int           `json:"Relays"`
	Seconds         float64       `json:"Seconds"`
	Service         float64       `json:"Service"` // fraction of the requests answered on time, weighted by priority weight
	WorstTenSeconds float64       `json:"Worst"`   // service of the worst ten seconds
	WorstClass      float64       `json:"WorstClass"`
	Classes         []ClassRecord `json:"Classes"`
	Rules           []RuleRecord  `json:"Rules"`
	AckedP50        float64       `json:"Held50"`  // median seconds from a decision until a relay acknowledged it
	AckedP99        float64       `json:"Held99"`  // 99th percentile of the same
	DrainTime       float64       `json:"Drained"` // seconds from a drain until the last request was sent to its server
	TakeoverP50     float64       `json:"Led50"`   // median seconds from a coordinator's stop until all relays had joined again
	TakeoverMax     float64       `json:"LedMost"` // maximum of the same
	Messages        int           `json:"Messages"`
	Entries         int           `json:"Lines"`     // table entries sent
	FullTables      int           `json:"Fulls"`     // full tables sent
	PeakQueue       float64       `json:"PeakQueue"` // highest number of queued table entries
	Events          int           `json:"Events"`    // number of events in the virtual network
	Faults          []string      `json:"Troubles"`  // kinds of the faults
}

// Broken returns the numbers of the rules that were broken.
func (r *Record) Broken() []int {
	var rules []int
	for _, rule := range r.Rules {
		if !rule.Kept {
			rules = append(rules, rule.Rule)
		}
	}
	return rules
}

// Version returns the source revision of this build, or "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(revisionDigits, len(setting.Value))]
		}
	}
	return "unknown"
}

// RunCell runs a cell in this process and returns its record.
func RunCell(experiment *settings.Experiment, cell Cell) (*Record, error) {
	built, err := cell.Scenario()
	if err != nil {
		return nil, err
	}
	result, err := scenario.Run(built, cell.Options())
	if err != nil {
		return nil, err
	}
	return newRecord(experiment, cell, built, result), nil
}

func newRecord(experiment *settings.Experiment, cell Cell, built *settings.Scenario, result *scenario.Result) *Record {
	record := &Record{
		Experiment:      experiment.Name,
		Fleet:           cell.Fleet.Name,
		Case:            cell.Case.Name,
		Arm:             cell.Arm.Name,
		Seed:            cell.Seed,
		Version:         Version(),
		Fingerprint:     fingerprint(experiment),
		Servers:         cell.Fleet.Servers,
		Relays:          cell.Fleet.Proxies,
		Seconds:         cell.Case.Seconds,
		Service:         result.Service,
		WorstTenSeconds: result.WorstInterval,
		WorstClass:      1,
		AckedP50:        quantile(result.AckDelays, 0.5),
		AckedP99:        quantile(result.AckDelays, 0.99),
		DrainTime:       result.LatestAfterDrain,
		TakeoverP50:     quantile(result.JoinedAfter, 0.5),
		TakeoverMax:     quantile(result.JoinedAfter, 1),
		Messages:        result.Messages,
		Entries:         result.Entries,
		FullTables:      result.ControlPlane.FullTables,
		PeakQueue:       result.PeakQueue,
		Events:          result.Events,
	}
	for i, mix := range built.Classes {
		class := newClassRecord(mix.Class, i, result)
		record.Classes = append(record.Classes, class)
		record.WorstClass = min(record.WorstClass, class.OnTime/max(class.Requested, 1))
	}
	for _, verdict := range result.Verdicts {
		record.Rules = append(record.Rules, RuleRecord{Rule: verdict.Rule, Kept: verdict.Kept, Figure: verdict.Figure, Reasons: verdict.Reasons})
	}
	for _, fault := range built.Faults {
		record.Faults = append(record.Faults, fault.Kind)
	}
	return record
}

func newClassRecord(name string, class int, result *scenario.Result) ClassRecord {
	latencies := result.Latencies[class]
	percentile := func(p float64) float64 { return float64(latencies.ValueAtQuantile(p)) / microsecondsPerSecond }
	record := ClassRecord{
		Class:     name,
		Requested: result.Requested[class],
		Answered:  result.Answered[class],
		OnTime:    result.OnTime[class],
		P50:       percentile(50),
		P90:       percentile(90),
		P99:       percentile(99),
		P999:      percentile(99.9),
	}
	for _, bar := range latencies.Distribution() {
		if bar.Count > 0 {
			record.Times = append(record.Times, bar)
		}
	}
	return record
}

// quantile returns the quantile of values in any order for a share from 0 to 1, or 0 if there are no values.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// fingerprint returns a hash of the experiment's text.
func fingerprint(experiment *settings.Experiment) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(experiment.Text))
}
