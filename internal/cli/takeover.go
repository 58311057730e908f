package cli

import (
	"cmp"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"snowquay/internal/console"
	"snowquay/internal/scenario"
	"snowquay/internal/settings"
)

type takeoverCommand struct {
	Proxies bool    `help:"Snowquay's proxies with HTTP clients instead of emulated proxies."`
	Kills   int     `help:"Number of kills." default:"100"`
	Every   float64 `help:"Seconds between two kills, on average." default:"4"`
	Seed    uint64  `help:"Seed of the faults." default:"1"`
	Front   string  `help:"Protocol by which proxies join: sasp, http, or both." enum:"sasp,http,both" default:"both"`
	Virtual bool    `help:"In virtual time: coordinators run in this process, and their hosts are killed."`
	Calm    bool    `help:"No faults but the kills and pauses of coordinators."`
	Servers int     `help:"Number of servers; by default, the scenario's. Other numbers in virtual time only."`
	Relays  int     `help:"Number of proxies, likewise."`
	Spare   bool    `help:"The same scenario without the kills and pauses, to compare with."`
	Folder  string  `help:"Folder for settings, stores and logs; by default, a temporary one." type:"path"`
}

const (
	// takeoverCoordinators is the number of coordinators of the group.
	takeoverCoordinators = 3
	// coordinatorFaultPrefix is the prefix of the kinds of faults that stop a coordinator.
	coordinatorFaultPrefix = "coordinator_"
)

// Run runs a scenario in which coordinators are killed and stopped.
func (c *takeoverCommand) Run(env *environment) error {
	day, err := loadScenario("", nil)
	if err != nil {
		return err
	}
	if c.Servers > 0 || c.Relays > 0 {
		if !c.Virtual {
			return errors.New("another number of servers or proxies runs in virtual time only, with --virtual")
		}
		site := &day.Coordinator.Site
		scenario.Enlarge(day, cmp.Or(c.Servers, len(site.Servers)), cmp.Or(c.Relays, len(site.Proxies)))
	}
	scenario.AddTakeovers(day, c.Kills, c.Every, c.Seed, c.Calm)
	if c.Spare {
		day.Faults = slices.DeleteFunc(day.Faults, func(fault settings.Fault) bool {
			return strings.HasPrefix(fault.Kind, coordinatorFaultPrefix)
		})
	}
	options := scenario.Options{
		Log:          env.log,
		Front:        c.Front,
		Coordinators: takeoverCoordinators,
		RealProxies:  c.Proxies,
	}
	if c.Virtual {
		return runScenario(env, day, options)
	}
	return c.runProcesses(env, day, options)
}

// runProcesses runs the scenario over sockets, with a process for each coordinator.
func (c *takeoverCommand) runProcesses(env *environment, day *settings.Scenario, options scenario.Options) (err error) {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	folder := c.Folder
	if folder == "" {
		folder, err = os.MkdirTemp("", "snowquay")
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	}
	log, err := os.Create(filepath.Join(folder, "coordinators.log"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	console.Printf(env.out, "playing %.0f s over loopback sockets, three coordinators as processes, %d kills ...\n",
		day.Seconds, c.Kills)
	options.Sockets = true
	options.Processes = &scenario.Processes{Executable: exe, Folder: folder, Log: log}
	return runScenario(env, day, options)
}
