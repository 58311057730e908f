package cli

import (
	"fmt"

	"snowquay/internal/settings"
)

type checkCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (XML)."`
	Day      bool   `help:"The file is a scenario."`
}

// Run checks a settings file and prints a summary of the settings.
func (c *checkCommand) Run(env *environment) error {
	if c.Day {
		return c.checkScenario(env)
	}
	config, err := settings.LoadCoordinator(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(env.out, config)
	return err
}

func (c *checkCommand) checkScenario(env *environment) error {
	scenario, err := settings.LoadScenario(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.out, "%s%g s, %d troubles\n", scenario.Coordinator, scenario.Seconds, len(scenario.Faults))
	return err
}

type schemaCommand struct{}

// Run prints the schema of all settings files.
func (schemaCommand) Run(env *environment) error {
	_, err := env.out.Write(settings.Schema)
	return err
}
