package cli

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"snowquay/internal/console"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/scenario"
	"snowquay/internal/settings"
)

type scenarioCommands struct {
	Day      scenarioCommand `cmd:"" default:"withargs" help:"Run one scenario, with one coordinator, or with several in virtual time."`
	Hosted   hostedCommand   `cmd:"" help:"Run a scenario with many tenants on one host."`
	Takeover takeoverCommand `cmd:"" help:"Run a scenario in which coordinators, which are processes of their own, are killed and paused repeatedly."`
}

type scenarioCommand struct {
	Proxies      bool     `help:"Snowquay's proxies with HTTP clients instead of emulated proxies."`
	Day          string   `arg:"" optional:"" type:"existingfile" help:"Scenario file (XML); by default, the built-in scenario."`
	Virtual      bool     `help:"In virtual time, seeded, instead of over loopback sockets."`
	Front        string   `help:"Protocol by which proxies join: sasp, http, or both." enum:"sasp,http,both" default:"sasp"`
	Coordinators int      `help:"How many coordinators share the fleet; more than one in virtual time only." default:"1"`
	Seed         uint64   `help:"Seed instead of the scenario's."`
	Without      []string `help:"Disable a guard: ${guards}." placeholder:"GUARD"`
}

// Run runs one scenario.
func (c *scenarioCommand) Run(env *environment) error {
	without, err := parseGuards(c.Without)
	if err != nil {
		return err
	}
	day, err := loadScenario(c.Day, without)
	if err != nil {
		return err
	}
	if c.Coordinators > 1 && !c.Virtual {
		return errors.New("several coordinators run in virtual time only, with --virtual")
	}
	if !c.Virtual {
		console.Printf(env.out, "playing %g s over loopback sockets ...\n", day.Seconds)
	}
	return runScenario(env, day, scenario.Options{
		Sockets:      !c.Virtual,
		Log:          env.log,
		Seed:         c.Seed,
		Front:        c.Front,
		Coordinators: c.Coordinators,
		RealProxies:  c.Proxies,
	})
}

// builtInScenario is the name of the built-in scenario in errors.
const builtInScenario = "bad-day.xml"

// loadScenario reads a scenario file, or the built-in scenario if the path is empty.
func loadScenario(path string, without []controlplane.Guard) (*settings.Scenario, error) {
	if path == "" {
		return settings.ParseScenario(builtInScenario, scenario.DefaultScenario, without...)
	}
	return settings.LoadScenario(path, without...)
}

// guardNames returns the names of all guards, for help and errors.
func guardNames() string {
	var names []string
	for _, guard := range controlplane.Guards {
		names = append(names, string(guard))
	}
	return strings.Join(names, ", ")
}

func parseGuards(names []string) ([]controlplane.Guard, error) {
	var guards []controlplane.Guard
	for _, name := range names {
		guard := controlplane.Guard(name)
		if !slices.Contains(controlplane.Guards, guard) {
			return nil, fmt.Errorf("no guard is named %q; there are %s", name, guardNames())
		}
		guards = append(guards, guard)
	}
	return guards, nil
}

// runScenario runs a scenario and prints the verdicts. The result is negative if a rule was broken.
func runScenario(env *environment, day *settings.Scenario, options scenario.Options) error {
	result, err := scenario.Run(day, options)
	if err != nil {
		return err
	}
	if err := result.Print(env.out, day.Coordinator.Site.ClassNames); err != nil {
		return err
	}
	if !result.Kept() {
		return errNegativeResult
	}
	return nil
}

type hostedCommand struct {
	Tenants int     `help:"Number of tenants." default:"20"`
	Servers int     `help:"Servers of each tenant." default:"4"`
	Relays  int     `help:"Proxies of each tenant." default:"4"`
	Seconds float64 `help:"Duration in seconds." default:"30"`
	Rate    float64 `help:"Requests per second of each tenant." default:"24"`
	Seed    uint64  `default:"1" help:"Seed of the scenario."`
	Flood   int     `help:"Number of the tenant that floods the host; -1: none." default:"-1"`
	Drains  bool    `help:"Drain a server of each tenant."`
	Hosts   int     `help:"Number of hosts that share the tenants; more than one in virtual time only." default:"1"`
	Kills   int     `help:"Number of times that a host is killed."`
	Restart float64 `help:"Second at which the host is killed; 0: it is not." default:"0"`
	Remove  int     `help:"Number of the tenant that is removed and created again; -1: none." default:"-1"`
	Virtual bool    `help:"In virtual time instead of over loopback sockets."`
}

const (
	// hostedFloodRate is the rate of a flooding tenant in messages per second.
	hostedFloodRate = 2000
	// hostedDowntime is the time in seconds until a killed host runs again.
	hostedDowntime = 1
	// allTenants selects all tenants of a host.
	allTenants = -1
)

// Run runs a scenario with many tenants.
func (c *hostedCommand) Run(env *environment) error {
	if c.Hosts > 1 && !c.Virtual {
		return errors.New("several hosts run in virtual time only, with --virtual")
	}
	if !c.Virtual {
		console.Printf(env.out, "playing %g s over loopback sockets ...\n", c.Seconds)
	}
	result, err := scenario.RunHosted(scenario.HostedScenario{
		Tenants:      c.Tenants,
		Servers:      c.Servers,
		Relays:       c.Relays,
		Seconds:      c.Seconds,
		Seed:         c.Seed,
		Sockets:      !c.Virtual,
		Hosts:        c.Hosts,
		Kills:        c.Kills,
		OnlyTenant:   allTenants,
		Rate:         c.Rate,
		Flood:        c.Flood,
		FloodRate:    hostedFloodRate,
		Restart:      c.Restart,
		RestartDelay: hostedDowntime,
		Remove:       c.Remove,
		Drains:       c.Drains,
		Log:          env.log,
	})
	if err != nil {
		return err
	}
	if err := result.Print(env.out); err != nil {
		return err
	}
	if !result.Kept() {
		return errNegativeResult
	}
	return nil
}
