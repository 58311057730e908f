package settings

import (
	"os"
	"slices"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
)

// Experiment is a set of runs, one for each combination of a case, a fleet, an arm and a seed.
type Experiment struct {
	Name      string
	Seeds     int // number of seeds, which are consecutive
	FirstSeed uint64
	Fleets    []ExperimentFleet
	Cases     []ExperimentCase
	Arms      []Arm
	Text      []byte // text of the file
}

// ExperimentFleet is the size of a fleet in an experiment and the load on it.
type ExperimentFleet struct {
	Name             string
	Servers, Proxies int
	Load             float64 // requested fraction of the servers' capacity
	Rate             float64 // requests per second, which replace Load; if 0, Load applies
	Spread           float64 // the busiest proxy has up to exp(2*Spread) times the traffic of the least busy
	Retries          int     // maximum number of retries of a client
}

// ExperimentCase is a scenario of an experiment. Its faults are those listed, those drawn at random by the
// seed, and random faults of coordinators.
type ExperimentCase struct {
	Name         string
	Seconds      float64
	RandomFaults int      // number of faults drawn at random
	Kinds        []string // kinds of the faults drawn at random; if empty, any kind
	Kills        int      // number of random restarts, pauses and isolations of coordinators
	Faults       []Fault
}

// Arm is one of the variants of the system that an experiment compares.
type Arm struct {
	Name           string
	Policy         string // "snowquay", "listed", "robin" or "two"
	Frontend       string
	Coordinators   int
	ReportInterval float64 // seconds between two load reports; if 0, the default
	Admission      string
	DisabledGuards []controlplane.Guard
	Program        string // executable of another build that runs the arm; if empty, this executable runs it
}

// LoadExperiment reads the file of an experiment.
func LoadExperiment(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseExperiment(path, text)
}

// ParseExperiment parses the text of an experiment's file. The name is used in error messages.
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
	for _, n := range root.childrenNamed("fleet") {
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
	for _, n := range root.childrenNamed("case") {
		experiment.Cases = append(experiment.Cases, dec.readExperimentCase(n, names))
	}
	for _, n := range root.childrenNamed("arm") {
		experiment.Arms = append(experiment.Arms, dec.readArm(n, names))
	}
	return experiment, dec.err()
}

// uniqueName reads the name of an element, which becomes part of a file name and must be unique among the
// elements of its kind.
func (d *decoder) uniqueName(element *node, names map[string]bool) string {
	name := element.attrs["name"]
	if names[element.name+name] {
		d.addError(element, "there are two named %q", name)
	}
	if strings.ContainsAny(name, "/\\. ") {
		d.addError(element, "name %q becomes part of a file's name and must not contain /, \\, a dot or a space", name)
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
	for _, element := range caseElement.childrenNamed("trouble") {
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
			d.addError(element, problemFaultAfterEnd)
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
			d.addError(element, "without: no guard is named %q", name)
		}
		arm.DisabledGuards = append(arm.DisabledGuards, guard)
	}
	if arm.Admission != admissionIgnored && arm.Frontend != "http" {
		d.addError(element, "levels: only the front http can express them")
	}
	return arm
}
