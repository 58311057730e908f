package settings

import (
	"errors"
	"os"
	"slices"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
)

// Experiment is what is played: each case of each fleet with each arm and each seed.
type Experiment struct {
	Name   string
	Seeds  int
	First  uint64
	Fleets []ExperimentFleet
	Cases  []ExperimentCase
	Arms   []Arm
	Text   []byte // as it was read
}

// ExperimentFleet is how large an experiment's fleet is, and how busy.
type ExperimentFleet struct {
	Name            string
	Servers, Relays int
	Load            float64 // part of the servers' capacity that is asked for
	Rate            float64 // queries a second in its place; 0: by the load
	Spread          float64 // of traffic between relays: a busy one has exp(2*spread) times the least
	Retries         int     // times that clients ask anew
}

// ExperimentCase is a day: its own troubles, some that are drawn by the seed, deaths of coordinators.
type ExperimentCase struct {
	Name    string
	Seconds float64
	Drawn   int
	Kinds   []string // that are drawn; none: any
	Kills   int
	Faults  []Fault
}

// Arm is one way in which it is played.
type Arm struct {
	Name         string
	Policy       string // snowquay, listed, robin, two
	Front        string
	Coordinators int
	Period       float64 // seconds between two reports; 0: as usual
	Levels       string
	Without      []controlplane.Guard
	Program      string // another build of this program that plays it; empty: this one
}

// LoadExperiment reads a file.
func LoadExperiment(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseExperiment(path, text)
}

// ParseExperiment reads a file's text; name is for its errors.
func ParseExperiment(name string, text []byte) (*Experiment, error) {
	root, err := load(text, "experiment")
	if err != nil {
		return nil, named(name, err)
	}
	x, err := experiment(root)
	if x != nil {
		x.Text = text
	}
	return x, named(name, err)
}

func experiment(root *node) (*Experiment, error) {
	r := &reader{}
	x := &Experiment{Name: root.attrs["name"], Seeds: root.int("seeds"), First: uint64(root.int("first-seed"))}
	seen := map[string]bool{}
	name := func(n *node) string {
		v := n.attrs["name"]
		if seen[n.name+v] {
			r.wrong(n, "there are two named %q", v)
		}
		if strings.ContainsAny(v, "/\\. ") {
			r.wrong(n, "name %q: it becomes part of a file's", v)
		}
		seen[n.name+v] = true
		return v
	}
	for _, n := range root.all("fleet") {
		x.Fleets = append(x.Fleets, ExperimentFleet{Name: name(n), Servers: n.int("servers"), Relays: n.int("relays"), Load: n.number("load"),
			Rate: n.number("rate"), Spread: n.number("spread"), Retries: n.int("again")})
	}
	for _, n := range root.all("case") {
		c := ExperimentCase{Name: name(n), Seconds: n.number("seconds"), Drawn: n.int("drawn"), Kills: n.int("kills"), Kinds: strings.Fields(n.attrs["kinds"])}
		for _, t := range n.all("trouble") {
			v := Fault{Kind: t.attrs["kind"], At: t.number("at"), For: t.number("for"), Factor: t.number("factor"), Server: t.int("server"),
				Relay: t.int("relay"), FailureDomain: t.int("pod"), Zone: balancer.Zone(1)}
			if v.At > c.Seconds {
				r.wrong(t, "it comes after the day's end")
			}
			c.Faults = append(c.Faults, v)
		}
		x.Cases = append(x.Cases, c)
	}
	for _, n := range root.all("arm") {
		a := Arm{Name: name(n), Policy: n.attrs["policy"], Front: n.attrs["front"], Coordinators: n.int("coordinators"), Period: n.number("period"),
			Levels: n.attrs["levels"], Program: n.attrs["program"]}
		for _, g := range strings.Fields(n.attrs["without"]) {
			if !slices.Contains(controlplane.Guards, controlplane.Guard(g)) {
				r.wrong(n, "without: no guard is named %q", g)
			}
			a.Without = append(a.Without, controlplane.Guard(g))
		}
		if a.Levels != "ignored" && a.Front != "http" {
			r.wrong(n, "levels: only the front http has a word for them")
		}
		x.Arms = append(x.Arms, a)
	}
	return x, errors.Join(r.errs...)
}
