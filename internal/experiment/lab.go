// Package experiment plays experiments in virtual time: fleets, days and arms over many seeds, kept in a folder, compared by paired seeds, swept
// for what is worst, and shrunk to what is least. Days are those of package rehearse; all figures are of simulated servers.
package experiment

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"snowquay/balancer"
	"snowquay/internal/console"
	"snowquay/internal/emulator"
	"snowquay/internal/scenario"
	"snowquay/internal/settings"
)

var (
	// ErrOtherExperiment says that a folder has the runs of another experiment.
	ErrOtherExperiment = errors.New("the folder has the runs of another experiment")
	// ErrNoCell says that there is no cell of that name.
	ErrNoCell = errors.New("the experiment has no such cell")
)

// Cell is what is played once.
type Cell struct {
	Fleet settings.ExperimentFleet
	Case  settings.ExperimentCase
	Arm   settings.Arm
	Seed  uint64
}

// Name of a cell, as part of a file's.
func (c Cell) Name() string {
	return fmt.Sprintf("%s.%s.%s.%d", c.Fleet.Name, c.Case.Name, c.Arm.Name, c.Seed)
}

// Cells of an experiment, arms of one seed next to each other.
func Cells(x *settings.Experiment) (all []Cell) {
	for _, f := range x.Fleets {
		for _, c := range x.Cases {
			for s := range x.Seeds {
				for _, a := range x.Arms {
					all = append(all, Cell{f, c, a, x.First + uint64(s)})
				}
			}
		}
	}
	return all
}

// ClassRecord is what became of a class's queries. Times are seconds.
type ClassRecord struct {
	Class    string             `json:"Class"`
	Asked    float64            `json:"Asked"`
	Answered float64            `json:"Answered"`
	InTime   float64            `json:"InTime"`
	P50      float64            `json:"P50"`
	P90      float64            `json:"P90"`
	P99      float64            `json:"P99"`
	P999     float64            `json:"P999"`
	Times    []hdrhistogram.Bar `json:"Times"` // how many answers took how many microseconds
}

// RuleRecord is the verdict on a rule.
type RuleRecord struct {
	Rule    int      `json:"Rule"`
	Kept    bool     `json:"Kept"`
	Figure  string   `json:"Figure"`
	Reasons []string `json:"Reasons,omitempty"`
}

// Record is what one play came to. The same cell has the same bytes with the same build.
type Record struct {
	Experiment      string        `json:"Experiment"`
	Fleet           string        `json:"Fleet"`
	Case            string        `json:"Case"`
	Arm             string        `json:"Arm"`
	Seed            uint64        `json:"Seed"`
	Version         string        `json:"Version"` // of the build
	Fingerprint     string        `json:"Print"`   // of the experiment
	Servers         int           `json:"Servers"`
	Relays          int           `json:"Relays"`
	Seconds         float64       `json:"Seconds"`
	Service         float64       `json:"Service"` // benefit answered within the goal time over the benefit asked for
	WorstTenSeconds float64       `json:"Worst"`   // of the worst ten seconds
	WorstClass      float64       `json:"WorstClass"`
	Classes         []ClassRecord `json:"Classes"`
	Rules           []RuleRecord  `json:"Rules"`
	AckedP50        float64       `json:"Held50"`  // seconds from a decision until a relay was known to hold it
	AckedP99        float64       `json:"Held99"`  // seconds from a decision until a relay was known to hold it
	DrainTime       float64       `json:"Drained"` // seconds from a drain until the last query after it
	TakeoverP50     float64       `json:"Led50"`   // seconds from a coordinator's death until all relays were led again
	TakeoverMax     float64       `json:"LedMost"` // seconds from a coordinator's death until all relays were led again
	Messages        int           `json:"Messages"`
	Lines           int           `json:"Lines"`
	FullTables      int           `json:"Fulls"`
	PeakQueue       float64       `json:"PeakQueue"`
	Events          int           `json:"Events"`
	Faults          []string      `json:"Troubles"`
}

// Broken are the rules that were.
func (r *Record) Broken() (rules []int) {
	for _, v := range r.Rules {
		if !v.Kept {
			rules = append(rules, v.Rule)
		}
	}
	return rules
}

// Version of this build: what it was made of, as far as it knows.
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(12, len(s.Value))]
			}
		}
	}
	return "unknown"
}

const (
	meanWork   = 0.23 // seconds of a query on a core of speed 1
	meanSpeed  = 0.9
	cores      = 4
	queueEach  = 30
	podSize    = 4
	keysEach   = 60  // keys for each server
	leastCross = 4.0 // seconds in which one channel could tell all its relays all lines
)

// Day of a cell, ready to be played.
func (c Cell) Day() (*settings.Scenario, error) {
	d, err := settings.ParseScenario("bad-day.xml", scenario.DefaultScenario, c.Arm.Without...)
	if err != nil {
		return nil, err
	}
	scenario.Enlarge(d, c.Fleet.Servers, c.Fleet.Relays)
	site := &d.Coordinator.Site
	for i := range site.Servers { // servers of a pod stand in one zone, and restart together
		site.Servers[i].FailureDomain, site.Servers[i].Zone = balancer.FailureDomain(i/podSize), balancer.Zone(i/podSize%len(site.Zones))
	}
	site.Channel.EntriesPerSecond = max(160, float64(len(site.Classes)*c.Fleet.Servers*c.Fleet.Relays)/leastCross)
	site.Channel.MaxQueued = 4 * site.Channel.EntriesPerSecond
	d.Cores, d.Queue, d.Slowest, d.Fastest = cores, queueEach, 0.7, 1.1
	d.Rate, d.Spread, d.Keys = c.Fleet.Rate, c.Fleet.Spread, keysEach*c.Fleet.Servers
	if d.Rate == 0 {
		d.Rate = c.Fleet.Load * float64(c.Fleet.Servers) * cores * meanSpeed / meanWork
	}
	for i := range site.Proxies {
		site.Proxies[i].ExpectedRate = d.Rate / float64(c.Fleet.Relays)
	}
	d.Model = settings.ServerModel{Connections: 40 + 3*c.Fleet.Relays, ConnWork: 0.004, KeyFor: 5, KeyLess: 0.15, KeyMost: 200, Stops: true}
	d.Clients = settings.ClientModel{Popularity: 0.8, Retries: c.Fleet.Retries, RetryWait: 0.5, Patience: 0.8}
	d.Seconds, d.Seed = c.Case.Seconds, c.Seed
	if c.Arm.Period > 0 {
		site.Reporting.Period = c.Arm.Period
	}
	if c.Arm.Levels == "fraction" || c.Arm.Levels == "rate" {
		site.DataPlane.Admission = map[string]balancer.AdmissionMode{"fraction": balancer.AdmissionFraction, "rate": balancer.AdmissionRate}[c.Arm.Levels]
		d.Coordinator.Policy.MembersOnly = true // SASP has no word for them
	}
	d.Faults = nil
	for _, t := range c.Case.Faults {
		t.Server, t.Relay = t.Server%len(site.Servers), t.Relay%len(site.Proxies)
		t.FailureDomain %= int(site.Servers[len(site.Servers)-1].FailureDomain) + 1
		d.Faults = append(d.Faults, t)
	}
	if c.Case.Drawn > 0 {
		DrawFaults(d, c.Case.Drawn, c.Case.Kinds)
	}
	if c.Case.Kills > 0 {
		scenario.AddKills(d, c.Case.Kills)
	}
	return d, nil
}

// Options of a cell's play.
func (c Cell) Options() scenario.Options {
	o := scenario.Options{Seed: c.Seed, Front: c.Arm.Front, Coordinators: c.Arm.Coordinators, DropMeasurements: c.Arm.Policy == "listed"}
	switch c.Arm.Policy {
	case "robin":
		o.Policy = emulator.RoundRobin
	case "two":
		o.Policy = emulator.PowerOfTwoChoices
	}
	return o
}

// Play plays a cell in this process.
func Play(x *settings.Experiment, c Cell) (*Record, error) {
	d, err := c.Day()
	if err != nil {
		return nil, err
	}
	res, err := scenario.Run(d, c.Options())
	if err != nil {
		return nil, err
	}
	return record(x, c, d, res), nil
}

func record(x *settings.Experiment, c Cell, d *settings.Scenario, res *scenario.Result) *Record {
	r := &Record{Experiment: x.Name, Fleet: c.Fleet.Name, Case: c.Case.Name, Arm: c.Arm.Name, Seed: c.Seed, Version: Version(),
		Fingerprint: fingerprint(x), Servers: c.Fleet.Servers, Relays: c.Fleet.Relays, Seconds: c.Case.Seconds, Service: res.Service, WorstTenSeconds: res.WorstInterval,
		WorstClass: 1, DrainTime: res.LatestAfterDrain, Messages: res.Messages, Lines: res.Entries, FullTables: res.ControlPlane.FullTables, PeakQueue: res.PeakQueue, Events: res.Events}
	for k, q := range d.Queries {
		h := res.Latencies[k]
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
		v := ClassRecord{Class: q.Class, Asked: res.Requested[k], Answered: res.Answered[k], InTime: res.OnTime[k], P50: at(50), P90: at(90), P99: at(99),
			P999: at(99.9)}
		for _, b := range h.Distribution() {
			if b.Count > 0 {
				v.Times = append(v.Times, b)
			}
		}
		r.Classes = append(r.Classes, v)
		r.WorstClass = min(r.WorstClass, v.InTime/max(v.Asked, 1))
	}
	for _, v := range res.Verdicts {
		r.Rules = append(r.Rules, RuleRecord{v.Rule, v.Kept, v.Figure, v.Reasons})
	}
	r.AckedP50, r.AckedP99 = quantile(res.AckDelays, 0.5), quantile(res.AckDelays, 0.99)
	r.TakeoverP50, r.TakeoverMax = quantile(res.LedAfter, 0.5), quantile(res.LedAfter, 1)
	for _, t := range d.Faults {
		r.Faults = append(r.Faults, t.Kind)
	}
	return r
}

func quantile(of []float64, part float64) float64 {
	if len(of) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(of))
	return s[min(int(part*float64(len(s))), len(s)-1)]
}

// FaultKinds of troubles that can be drawn.
var FaultKinds = []string{"slow", "fast_errors", "hang", "crash", "mass_restart", "zone_cut", "drain", "coordinator_restart", "balancer_stall",
	"balancer_restart", "reconnect", "report_late", "reports_stop", "demand", "clock_gap", "answer_lost", "heavy_tail", "ageing", "conn_squeeze",
	"shared_slow", "vanish", "grow", "give_up", "false_reports"}

const (
	firstTrouble = 6.0 // seconds: the first weights are learnt
	troubleFree  = 8.0 // seconds at the end
)

// DrawFaults gives a day so many troubles more, by its seed, of kinds that are named, or of any.
func DrawFaults(d *settings.Scenario, count int, kinds []string) {
	c := rand.New(rand.NewPCG(d.Seed, 0x1ab))
	if len(kinds) == 0 {
		kinds = FaultKinds
	}
	for k := range count {
		d.Faults = append(d.Faults, DrawFault(d, c, kinds[(k+c.IntN(len(kinds)))%len(kinds)]))
	}
}

// DrawFault of a kind, somewhere and sometime on a day.
func DrawFault(d *settings.Scenario, c *rand.Rand, kind string) settings.Fault {
	site := &d.Coordinator.Site
	t := settings.Fault{Kind: kind, Server: c.IntN(len(site.Servers)), Relay: c.IntN(len(site.Proxies)), Factor: 1,
		Zone: site.Servers[c.IntN(len(site.Servers))].Zone, FailureDomain: int(site.Servers[c.IntN(len(site.Servers))].FailureDomain)}
	t.At = firstTrouble + c.Float64()*max(d.Seconds-troubleFree-firstTrouble, 1)
	between := func(a, b float64) float64 { return a + (b-a)*c.Float64() }
	t.For = between(5, 20)
	switch kind {
	case "slow", "shared_slow":
		t.Factor = between(2, 8)
	case "fast_errors":
		t.Factor = between(0.3, 0.9)
	case "answer_lost":
		t.Factor = between(0.1, 0.6)
	case "heavy_tail":
		t.Factor = between(0.02, 0.1)
	case "ageing":
		t.Factor = between(0.001, 0.01)
	case "conn_squeeze":
		t.Factor = between(0.05, 0.3)
	case "give_up":
		t.Factor = between(0.2, 0.5)
	case "false_reports":
		t.Factor = between(0.3, 1)
	case "crash", "mass_restart", "coordinator_restart", "balancer_restart":
		t.For = between(0.3, 5)
	case "balancer_stall", "clock_gap":
		t.For = between(0.5, 3)
	case "report_late":
		t.Factor = between(1, 4)
	case "demand", "grow":
		t.Factor = between(1.2, 1.8)
	}
	return t
}

func fingerprint(x *settings.Experiment) string { return fmt.Sprintf("%016x", xxhash.Sum64(x.Text)) }

// Folder of runs.
type Folder struct{ path string }

const experimentFile = "experiment.xml"

// Open opens or makes a folder for an experiment. One that has the runs of another is refused.
func Open(path string, x *settings.Experiment) (*Folder, error) {
	if err := os.MkdirAll(filepath.Join(path, "runs"), 0o755); err != nil {
		return nil, err
	}
	at := filepath.Join(path, experimentFile)
	old, err := os.ReadFile(at)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return &Folder{path}, os.WriteFile(at, x.Text, 0o644)
	case err != nil:
		return nil, err
	case string(old) != string(x.Text):
		return nil, fmt.Errorf("%w: %s differs; choose another folder", ErrOtherExperiment, at)
	}
	return &Folder{path}, nil
}

// Read opens a folder for what is in it.
func Read(path string) (*Folder, *settings.Experiment, error) {
	x, err := settings.LoadExperiment(filepath.Join(path, experimentFile))
	return &Folder{path}, x, err
}

func (f *Folder) file(c Cell) string { return filepath.Join(f.path, "runs", c.Name()+".json") }

// Has tells whether a cell was played.
func (f *Folder) Has(c Cell) bool {
	_, err := os.Stat(f.file(c))
	return err == nil
}

// Save a record. What is there is never written over.
func (f *Folder) Save(c Cell, r *Record) error {
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	part := f.file(c) + ".part"
	if err := os.WriteFile(part, append(b, '\n'), 0o644); err != nil {
		return err
	}
	defer func() { _ = os.Remove(part) }() // it is there under its own name, or of no use
	return os.Link(part, f.file(c))
}

// Records that are there, by cell.
func (f *Folder) Records(x *settings.Experiment) (all map[string]*Record, err error) {
	all = map[string]*Record{}
	for _, c := range Cells(x) {
		b, err := os.ReadFile(f.file(c))
		if errors.Is(err, os.ErrNotExist) {
			continue
		} else if err != nil {
			return nil, err
		}
		r := &Record{}
		if err := json.Unmarshal(b, r); err != nil {
			return nil, fmt.Errorf("%s: %w", f.file(c), err)
		}
		all[c.Name()] = r
	}
	return all, nil
}

// Find a cell by its name.
func Find(x *settings.Experiment, name string) (Cell, error) {
	for _, c := range Cells(x) {
		if c.Name() == name {
			return c, nil
		}
	}
	return Cell{}, fmt.Errorf("%w: %q", ErrNoCell, name)
}

// Run plays what a folder lacks, several cells at once, and says how far it is. An arm of another program is played by that.
func Run(f *Folder, x *settings.Experiment, jobs int, progress io.Writer) error {
	var todo []Cell
	cells := Cells(x)
	for _, c := range cells {
		if !f.Has(c) {
			todo = append(todo, c)
		}
	}
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	console.Printf(progress, "%d of %d are there, %d to be played, %d at once\n", len(cells)-len(todo), len(cells), len(todo), jobs)
	var (
		mu      sync.Mutex
		wait    sync.WaitGroup
		errs    []error
		done    int
		virtual float64
		start   = time.Now()
		next    = make(chan Cell)
	)
	for range jobs {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for c := range next {
				r, err := f.play(x, c)
				if err == nil {
					err = f.Save(c, r)
				}
				mu.Lock()
				if done++; err != nil {
					errs = append(errs, fmt.Errorf("%s: %w", c.Name(), err))
					console.Printf(progress, "%d/%d %s: %v\n", done, len(todo), c.Name(), err)
				} else {
					virtual += r.Seconds
					word := ""
					if b := r.Broken(); len(b) > 0 {
						word = fmt.Sprintf(", BROKEN %v", b)
					}
					console.Printf(progress, "%d/%d %s: service %.3f%s; %.0f times real time\n", done, len(todo), c.Name(), r.Service, word,
						virtual/time.Since(start).Seconds())
				}
				mu.Unlock()
			}
		}()
	}
	for _, c := range todo {
		next <- c
	}
	close(next)
	wait.Wait()
	return errors.Join(errs...)
}

func (f *Folder) play(x *settings.Experiment, c Cell) (*Record, error) {
	if c.Arm.Program == "" {
		return Play(x, c)
	}
	b, err := exec.Command(c.Arm.Program, "lab", "one", filepath.Join(f.path, experimentFile), c.Name()).Output()
	if err != nil {
		return nil, err
	}
	r := &Record{}
	return r, json.Unmarshal(b, r)
}

// Group of records: those of one fleet, case and arm, by seed.
type Group struct {
	Fleet, Case, Arm string
	Records          []*Record
}

// Groups of what is there, in the experiment's order.
func Groups(x *settings.Experiment, records map[string]*Record) (all []Group) {
	for _, f := range x.Fleets {
		for _, c := range x.Cases {
			for _, a := range x.Arms {
				g := Group{Fleet: f.Name, Case: c.Name, Arm: a.Name}
				for s := range x.Seeds {
					if r := records[Cell{f, c, a, x.First + uint64(s)}.Name()]; r != nil {
						g.Records = append(g.Records, r)
					}
				}
				if len(g.Records) > 0 {
					all = append(all, g)
				}
			}
		}
	}
	return all
}

// Worst records first: those that broke rules, then by service.
func Worst(records map[string]*Record) (all []*Record) {
	for _, r := range records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(len(b.Broken()), len(a.Broken())), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fleet+a.Case+a.Arm, b.Fleet+b.Case+b.Arm),
			cmp.Compare(a.Seed, b.Seed))
	})
	return all
}
