package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"snowquay/internal/console"
	"snowquay/internal/experiment"
	"snowquay/internal/settings"
)

type experiments struct {
	Run     labRun     `cmd:"" help:"Play what a folder lacks of an experiment."`
	Sweep   labSweep   `cmd:"" help:"Play it, and list the worst days and the worst pairs of troubles."`
	Compare labCompare `cmd:"" help:"Two arms, by paired seeds, with intervals."`
	Report  labReport  `cmd:"" help:"Tables and charts of a folder."`
	Shrink  labShrink  `cmd:"" help:"Make a bad day of a folder small, as a scenario."`
	One     labOne     `cmd:"" help:"Play one cell and print its record; for arms that are other builds." hidden:""`
}

type labRun struct {
	Experiment string `arg:"" type:"existingfile" help:"Experiment file (XML)."`
	Folder     string `arg:"" type:"path" help:"Where its runs are kept; what is there is not played again."`
	Jobs       int    `help:"How many are played at once; 0: as many as there are cores."`
}

// play plays what the folder lacks, and returns all that is there then.
func (l *labRun) play(e *env) (*settings.Experiment, map[string]*experiment.Record, error) {
	x, err := settings.LoadExperiment(l.Experiment)
	if err != nil {
		return nil, nil, err
	}
	f, err := experiment.Open(l.Folder, x)
	if err != nil {
		return nil, nil, err
	}
	if err := experiment.Run(f, x, l.Jobs, e.out); err != nil {
		return nil, nil, err
	}
	records, err := f.Records(x)
	return x, records, err
}

func (l *labRun) Run(e *env) error {
	x, records, err := l.play(e)
	if err != nil {
		return err
	}
	return experiment.Table(e.out, experiment.Groups(x, records), "text")
}

type labSweep struct {
	labRun
	Most int `help:"How many days and pairs are listed." default:"15"`
}

func (l *labSweep) Run(e *env) error {
	_, records, err := l.play(e)
	if err != nil {
		return err
	}
	broken := 0
	for i, r := range experiment.Worst(records) {
		if len(r.Broken()) > 0 {
			broken++
		}
		if i >= l.Most {
			continue
		}
		console.Printf(e.out, "%s.%s.%s.%d  service %.3f, worst 10 s %.3f", r.Fleet, r.Case, r.Arm, r.Seed, r.Service, r.WorstTenSeconds)
		for _, v := range r.Rules {
			if !v.Kept {
				console.Printf(e.out, "; rule %d BROKEN: %s", v.Rule, v.Reasons[0])
			}
		}
		console.Printf(e.out, "  [%s]\n", strings.Join(r.Faults, " "))
	}
	console.Println(e.out, "pairs of troubles, the worst first:")
	for i, p := range experiment.Pairs(records) {
		if i < l.Most {
			console.Printf(e.out, "%-20s %-20s service %.3f on %d days, %d with a broken rule\n", p.A, p.B, p.Service.Mean, p.Service.N, p.Broken)
		}
	}
	console.Printf(e.out, "%d of %d days broke a rule\n", broken, len(records))
	if broken > 0 {
		return errBroken
	}
	return nil
}

type labCompare struct {
	Folder string `arg:"" type:"existingdir" help:"Of the runs."`
	Base   string `arg:"" help:"Arm."`
	Other  string `arg:"" help:"Arm that it is compared with."`
}

func (l *labCompare) Run(e *env) error {
	f, x, err := experiment.Read(l.Folder)
	if err != nil {
		return err
	}
	records, err := f.Records(x)
	if err != nil {
		return err
	}
	all := experiment.Compare(experiment.Groups(x, records), l.Base, l.Other)
	if len(all) == 0 {
		return fmt.Errorf("no seed was played with both %q and %q", l.Base, l.Other)
	}
	experiment.PrintDifferences(e.out, all, l.Base, l.Other)
	return nil
}

type labReport struct {
	Folder string `arg:"" type:"existingdir" help:"Of the runs."`
}

func (l *labReport) Run(e *env) error {
	f, x, err := experiment.Read(l.Folder)
	if err != nil {
		return err
	}
	written, err := experiment.Report(f, x)
	if err != nil {
		return err
	}
	console.Println(e.out, strings.Join(written, "\n"))
	return nil
}

type labShrink struct {
	Folder string  `arg:"" type:"existingdir" help:"Of the runs."`
	Cell   string  `arg:"" help:"Which day: fleet.case.arm.seed."`
	Rule   int     `help:"The rule that is to stay broken; 0: any."`
	Under  float64 `help:"Instead: the service is to stay under this."`
	Most   int     `help:"Days to be played at most." default:"200"`
	Out    string  `help:"File for the day." type:"path" default:"shrunk-day.xml"`
}

func (l *labShrink) Run(e *env) error {
	_, x, err := experiment.Read(l.Folder)
	if err != nil {
		return err
	}
	c, err := experiment.Find(x, l.Cell)
	if err != nil {
		return err
	}
	d, err := c.Day()
	if err != nil {
		return err
	}
	bad := experiment.Breaks(l.Rule, c.Options())
	if l.Under > 0 {
		bad = experiment.ServiceBelow(l.Under, c.Options())
	}
	if !bad(d) {
		return fmt.Errorf("the day %s is not bad in that way", l.Cell)
	}
	d = experiment.Shrink(d, bad, l.Most, e.out)
	text, err := d.Write()
	if err != nil {
		return err
	}
	if err := os.WriteFile(l.Out, text, 0o644); err != nil {
		return err
	}
	console.Printf(e.out, "%s: play it with scenario --virtual --front %s", l.Out, c.Arm.Front)
	if c.Arm.Coordinators > 1 {
		console.Printf(e.out, " --coordinators %d", c.Arm.Coordinators)
	}
	console.Println(e.out)
	return nil
}

type labOne struct {
	Experiment string `arg:"" type:"existingfile"`
	Cell       string `arg:""`
}

func (l *labOne) Run(e *env) error {
	x, err := settings.LoadExperiment(l.Experiment)
	if err != nil {
		return err
	}
	c, err := experiment.Find(x, l.Cell)
	if err != nil {
		return err
	}
	c.Arm.Program = ""
	r, err := experiment.Play(x, c)
	if err != nil {
		return err
	}
	return json.NewEncoder(e.out).Encode(r)
}
