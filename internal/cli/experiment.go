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

type experimentCommands struct {
	Run     experimentRunCommand     `cmd:"" help:"Run the cells of an experiment that a folder lacks."`
	Sweep   experimentSweepCommand   `cmd:"" help:"Run an experiment, and list the worst runs and the worst pairs of faults."`
	Compare experimentCompareCommand `cmd:"" help:"Compare two arms by paired seeds, with confidence intervals."`
	Report  experimentReportCommand  `cmd:"" help:"Write tables and charts of a folder."`
	Shrink  experimentShrinkCommand  `cmd:"" help:"Shrink the scenario of a bad run."`
	One     experimentOneCommand     `cmd:"" help:"Run one cell and print its record; for arms that are other builds." hidden:""`
}

type experimentRunCommand struct {
	Experiment string `arg:"" type:"existingfile" help:"Experiment file (XML)."`
	Folder     string `arg:"" type:"path" help:"Folder of the records; cells with a record are not run again."`
	Jobs       int    `help:"Number of cells that run at once; 0: one per core."`
}

// runMissingCells runs the cells that have no record in the folder. It returns the experiment and all records
// of the folder.
func (c *experimentRunCommand) runMissingCells(env *environment) (*settings.Experiment, map[string]*experiment.Record, error) {
	config, err := settings.LoadExperiment(c.Experiment)
	if err != nil {
		return nil, nil, err
	}
	folder, err := experiment.Open(c.Folder, config)
	if err != nil {
		return nil, nil, err
	}
	if err := experiment.Run(folder, config, c.Jobs, env.out); err != nil {
		return nil, nil, err
	}
	records, err := folder.Records(config)
	return config, records, err
}

// Run runs the missing cells of an experiment and prints its table of results.
func (c *experimentRunCommand) Run(env *environment) error {
	config, records, err := c.runMissingCells(env)
	if err != nil {
		return err
	}
	return experiment.Table(env.out, experiment.Groups(config, records), "text")
}

type experimentSweepCommand struct {
	experimentRunCommand
	Most int `help:"Maximum number of runs and pairs that are listed." default:"15"`
}

// Run runs the missing cells of an experiment, and prints its worst runs and the worst pairs of faults. The
// result is negative if a rule was broken.
func (c *experimentSweepCommand) Run(env *environment) error {
	_, records, err := c.runMissingCells(env)
	if err != nil {
		return err
	}
	broken := 0
	for i, record := range experiment.Worst(records) {
		if len(record.Broken()) > 0 {
			broken++
		}
		if i < c.Most {
			printRecord(env, record)
		}
	}
	console.Println(env.out, "pairs of troubles, the worst first:")
	pairs := experiment.Pairs(records)
	for _, pair := range pairs[:max(0, min(len(pairs), c.Most))] {
		console.Printf(env.out, "%-20s %-20s service %.3f on %d days, %d with a broken rule\n",
			pair.A, pair.B, pair.Service.Mean, pair.Service.N, pair.Broken)
	}
	console.Printf(env.out, "%d of %d days broke a rule\n", broken, len(records))
	if broken > 0 {
		return errNegativeResult
	}
	return nil
}

// printRecord prints a run in one line: its cell, its service, its broken rules and its faults.
func printRecord(env *environment, record *experiment.Record) {
	console.Printf(env.out, "%s.%s.%s.%d  service %.3f, worst 10 s %.3f",
		record.Fleet, record.Case, record.Arm, record.Seed, record.Service, record.WorstTenSeconds)
	for _, verdict := range record.Rules {
		if !verdict.Kept {
			console.Printf(env.out, "; rule %d BROKEN: %s", verdict.Rule, verdict.Reasons[0])
		}
	}
	console.Printf(env.out, "  [%s]\n", strings.Join(record.Faults, " "))
}

type experimentCompareCommand struct {
	Folder string `arg:"" type:"existingdir" help:"Folder of the records."`
	Base   string `arg:"" help:"Arm that is the baseline."`
	Other  string `arg:"" help:"Arm that is compared with it."`
}

// Run compares two arms of an experiment and prints the differences.
func (c *experimentCompareCommand) Run(env *environment) error {
	folder, config, err := experiment.OpenExisting(c.Folder)
	if err != nil {
		return err
	}
	records, err := folder.Records(config)
	if err != nil {
		return err
	}
	differences := experiment.Compare(experiment.Groups(config, records), c.Base, c.Other)
	if len(differences) == 0 {
		return fmt.Errorf("no seed was run with both arms %q and %q", c.Base, c.Other)
	}
	experiment.PrintDifferences(env.out, differences, c.Base, c.Other)
	return nil
}

type experimentReportCommand struct {
	Folder string `arg:"" type:"existingdir" help:"Folder of the records."`
}

// Run writes the report of an experiment and prints the names of the files written.
func (c *experimentReportCommand) Run(env *environment) error {
	folder, config, err := experiment.OpenExisting(c.Folder)
	if err != nil {
		return err
	}
	files, err := experiment.Report(folder, config)
	if err != nil {
		return err
	}
	console.Println(env.out, strings.Join(files, "\n"))
	return nil
}

type experimentShrinkCommand struct {
	Folder string  `arg:"" type:"existingdir" help:"Folder of the records."`
	Cell   string  `arg:"" help:"Name of the cell: fleet.case.arm.seed."`
	Rule   int     `help:"Number of the rule that must stay broken; 0: any."`
	Under  float64 `help:"Instead of a rule: the service must stay below this."`
	Most   int     `help:"Maximum number of runs." default:"200"`
	Out    string  `help:"File for the scenario." type:"path" default:"shrunk-day.xml"`
}

// shrunkFileMode is the file mode of a shrunk scenario.
const shrunkFileMode = 0o644

// Run shrinks the scenario of a cell while it still breaks the rule, or its service stays below the limit, and
// writes the result to a file.
func (c *experimentShrinkCommand) Run(env *environment) error {
	_, config, err := experiment.OpenExisting(c.Folder)
	if err != nil {
		return err
	}
	cell, err := experiment.Find(config, c.Cell)
	if err != nil {
		return err
	}
	scenario, err := cell.Scenario()
	if err != nil {
		return err
	}
	condition := experiment.BreaksRule(c.Rule, cell.Options())
	if c.Under > 0 {
		condition = experiment.ServiceBelow(c.Under, cell.Options())
	}
	if !condition(scenario) {
		return fmt.Errorf("the scenario of cell %s does not meet the condition for shrinking", c.Cell)
	}
	scenario = experiment.Shrink(scenario, condition, c.Most, env.out)
	text, err := scenario.Encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Out, text, shrunkFileMode); err != nil {
		return err
	}
	console.Printf(env.out, "%s: run it with scenario --virtual --front %s", c.Out, cell.Arm.Frontend)
	if cell.Arm.Coordinators > 1 {
		console.Printf(env.out, " --coordinators %d", cell.Arm.Coordinators)
	}
	console.Println(env.out)
	return nil
}

type experimentOneCommand struct {
	Experiment string `arg:"" type:"existingfile"`
	Cell       string `arg:""`
}

// Run runs one cell of an experiment in this program, whatever program its arm names, and prints its record as
// JSON.
func (c *experimentOneCommand) Run(env *environment) error {
	config, err := settings.LoadExperiment(c.Experiment)
	if err != nil {
		return err
	}
	cell, err := experiment.Find(config, c.Cell)
	if err != nil {
		return err
	}
	cell.Arm.Program = ""
	record, err := experiment.RunCell(config, cell)
	if err != nil {
		return err
	}
	return json.NewEncoder(env.out).Encode(record)
}
