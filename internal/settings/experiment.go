package settings

import (
	"os"
	"slices"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
)

// Experiment is a set of runs: each case with each fleet, each arm and each seed.
type Experiment struct {
	Name      string
	Seeds     int    // number of seeds
	FirstSeed uint64 // first seed
	Fleets    []ExperimentFleet
	Cases     []ExperimentCase
	Arms      []Arm
	Text      []byte // the file
}

// ExperimentFleet is the size and the load of an experiment's fleet.
type ExperimentFleet struct {
	Name             string
	Servers, Proxies int
	Load             float64 // fraction of the servers' capacity that is requested
	Rate             float64 // requests per second instead of Load; 0: by Load
	Spread           float64 // of traffic between proxies: a busy one has exp(2*Spread) times the least
	Retries          int     // retries of a client
}

// ExperimentCase is a scenario: faults that are listed, faults that are drawn by the seed, and crashes of
// coordinators.
type ExperimentCase struct {
	Name         string
	Seconds      float64
	RandomFaults int      // number of faults that are drawn
	Kinds        []string // kinds of faults that are drawn; none: any
	Kills        int      // crashes of coordinators
	Faults       []Fault
}

// Arm is one of the variants that an experiment compares.
type Arm struct {
	Name           string
	Policy         string // snowquay, listed, robin or two
	Frontend       string
	Coordinators   int
	ReportInterval float64 // seconds between two load reports; 0: the default
	Admission      string
	DisabledGuards []controlplane.Guard // guards that are disabled
	Program        string               // executable of another build that runs it; empty: this one
}

// LoadExperiment reads an experiment file.
func LoadExperiment(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseExperiment(path, text)
}

// ParseExperiment reads the text of an experiment file. The name is for error messages.
func ParseExperiment(name string, text []byte) (*Experiment, error) {
	return readDocument(name, text, "experiment", func(root *node) (*Experiment, error) {
		x, err := readExperiment(root)
		x.Text = text
		return x, err
	})
}

func readExperiment(root *node) (*Experiment, error) {
	dec := newDecoder()
	experiment := &Experiment{
		Name:      root.attrs["name"],
		Seeds:     root.int("seeds"),
		FirstSeed: uint64(root.int("first-seed")),
	}
	names := map[string]bool{}
	for _, n := range root.all("fleet") {
		experiment.Fleets = append(experiment.Fleets, ExperimentFleet{
			Name:    dec.uniqueName(n, names),
			Servers: n.int("servers"),
			Proxies: n.int("relays"),
			Load:    n.number("load"),
			Rate:    n.number("rate"),
			Spread:  n.number("spread"),
			Retries: n.int("again"),
		})
	}
	for _, n := range root.all("case") {
		experiment.Cases = append(experiment.Cases, dec.readExperimentCase(n, names))
	}
	for _, n := range root.all("arm") {
		experiment.Arms = append(experiment.Arms, dec.readArm(n, names))
	}
	return experiment, dec.err()
}

// uniqueName reads a name that becomes part of a file name and must be unique among the elements of its
// kind.
func (d *decoder) uniqueName(element *node, names map[string]bool) string {
	name := element.attrs["name"]
	if names[element.name+name] {
		d.fail(element, "there are two named %q", name)
	}
	if strings.ContainsAny(name, "/\\. ") {
		d.fail(element, "name %q: it becomes part of a file's", name)
	}
	names[element.name+name] = true
	return name
}

func (d *decoder) readExperimentCase(caseElement *node, names map[string]bool) ExperimentCase {
	experimentCase := ExperimentCase{
		Name:         d.uniqueName(caseElement, names),
		Seconds:      caseElement.number("seconds"),
		RandomFaults: caseElement.int("drawn"),
		Kinds:        strings.Fields(caseElement.attrs["kinds"]),
		Kills:        caseElement.int("kills"),
	}
	for _, element := range caseElement.all("trouble") {
		fault := Fault{
			Kind:          element.attrs["kind"],
			At:            element.number("at"),
			Duration:      element.number("for"),
			Factor:        element.number("factor"),
			Server:        element.int("server"),
			Proxy:         element.int("relay"),
			FailureDomain: element.int("pod"),
			Zone:          balancer.Zone(1),
		}
		if fault.At > experimentCase.Seconds {
			d.fail(element, problemFaultAfterEnd)
		}
		experimentCase.Faults = append(experimentCase.Faults, fault)
	}
	return experimentCase
}

func (d *decoder) readArm(element *node, names map[string]bool) Arm {
	arm := Arm{
		Name:           d.uniqueName(element, names),
		Policy:         element.attrs["policy"],
		Frontend:       element.attrs["front"],
		Coordinators:   element.int("coordinators"),
		ReportInterval: element.number("period"),
		Admission:      element.attrs["levels"],
		Program:        element.attrs["program"],
	}
	for _, name := range strings.Fields(element.attrs["without"]) {
		guard := controlplane.Guard(name)
		if !slices.Contains(controlplane.Guards, guard) {
			d.fail(element, "without: no guard is named %q", name)
		}
		arm.DisabledGuards = append(arm.DisabledGuards, guard)
	}
	if arm.Admission != admissionIgnored && arm.Frontend != "http" {
		d.fail(element, "levels: only the front http has a word for them")
	}
	return arm
}
