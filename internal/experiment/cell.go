// Package experiment runs experiments in virtual time. An experiment runs every combination of fleet, case, arm and
// seed, and stores a record of each run in a folder. The package compares arms by paired seeds, finds the worst runs,
// and shrinks a bad scenario to a smaller one that is still bad. All results are of emulated servers.
package experiment

import (
	"errors"
	"fmt"

	"snowquay/balancer"
	"snowquay/internal/emulator"
	"snowquay/internal/scenario"
	"snowquay/internal/settings"
)

// ErrNoCell means that an experiment has no cell with the given name.
var ErrNoCell = errors.New("no such cell in the experiment")

// Cell identifies one run of an experiment: an arm in a case, with a fleet and a seed.
type Cell struct {
	Fleet settings.ExperimentFleet
	Case  settings.ExperimentCase
	Arm   settings.Arm
	Seed  uint64
}

// Name returns the name of the cell, which is also the base name of its record's file.
func (c Cell) Name() string {
	return fmt.Sprintf("%s.%s.%s.%d", c.Fleet.Name, c.Case.Name, c.Arm.Name, c.Seed)
}

// Cells returns the cells of an experiment. The cells of all arms with the same seed are adjacent.
func Cells(experiment *settings.Experiment) []Cell {
	var cells []Cell
	for _, fleet := range experiment.Fleets {
		for _, each := range experiment.Cases {
			for offset := range experiment.Seeds {
				for _, arm := range experiment.Arms {
					cells = append(cells, Cell{Fleet: fleet, Case: each, Arm: arm, Seed: experiment.FirstSeed + uint64(offset)})
				}
			}
		}
	}
	return cells
}

// Find returns the cell with a name, or ErrNoCell.
func Find(experiment *settings.Experiment, name string) (Cell, error) {
	for _, cell := range Cells(experiment) {
		if cell.Name() == name {
			return cell, nil
		}
	}
	return Cell{}, fmt.Errorf("%w: %q", ErrNoCell, name)
}

const (
	meanWork                = 0.23 // seconds that a request takes on a core of speed 1
	meanSpeed               = 0.9  // mean speed of a core, the middle of the range from minSpeed to maxSpeed
	minSpeed                = 0.7
	maxSpeed                = 1.1
	coresPerServer          = 4
	queueCapacity           = 30 // requests that a server can queue
	serversPerFailureDomain = 4
	keysPerServer           = 60
	minEntryRate            = 160 // minimum capacity of the channel in table entries per second
	fullUpdateSeconds       = 4.0 // time in which the channel can send all entries to all relays
	maxQueueSeconds         = 4   // time that the channel needs to send the longest allowed queue
)

// Scenario builds the scenario that the cell runs.
func (c Cell) Scenario() (*settings.Scenario, error) {
	built, err := settings.ParseScenario("bad-day.xml", scenario.DefaultScenario, c.Arm.DisabledGuards...)
	if err != nil {
		return nil, err
	}
	scenario.Enlarge(built, c.Fleet.Servers, c.Fleet.Proxies)
	built.Seconds = c.Case.Seconds
	built.Seed = c.Seed
	c.configureFleet(built)
	c.configureLoad(built)
	c.configureArm(built)
	c.addFaults(built)
	return built, nil
}

// configureFleet configures the servers and the channel. All servers of a failure domain are in the same zone and
// restart together.
func (c Cell) configureFleet(built *settings.Scenario) {
	site := &built.Coordinator.Site
	for i := range site.Servers {
		domain := i / serversPerFailureDomain
		site.Servers[i].FailureDomain = balancer.FailureDomain(domain)
		site.Servers[i].Zone = balancer.Zone(domain % len(site.Zones))
	}
	entries := len(site.Classes) * c.Fleet.Servers * c.Fleet.Proxies
	site.Channel.EntriesPerSecond = max(minEntryRate, float64(entries)/fullUpdateSeconds)
	site.Channel.MaxQueued = maxQueueSeconds * site.Channel.EntriesPerSecond
	built.Cores = coresPerServer
	built.Queue = queueCapacity
	built.Slowest = minSpeed
	built.Fastest = maxSpeed
	built.Model = settings.ServerModel{
		ConnectionLimit:  40 + 3*c.Fleet.Proxies,
		ConnectionCost:   0.004,
		KeyCacheDuration: 5,
		KeyCacheSaving:   0.15,
		MaxCachedKeys:    200,
		CancelsWork:      true,
	}
}

func (c Cell) configureLoad(built *settings.Scenario) {
	site := &built.Coordinator.Site
	built.Rate = c.Fleet.Rate
	built.Spread = c.Fleet.Spread
	built.Keys = keysPerServer * c.Fleet.Servers
	if built.Rate == 0 {
		built.Rate = c.Fleet.Load * float64(c.Fleet.Servers) * coresPerServer * meanSpeed / meanWork
	}
	for i := range site.Proxies {
		site.Proxies[i].ExpectedRate = built.Rate / float64(c.Fleet.Proxies)
	}
	built.Clients = settings.ClientModel{
		Popularity: 0.8,
		Retries:    c.Fleet.Retries,
		RetryWait:  0.5,
		Patience:   0.8,
	}
}

func (c Cell) configureArm(built *settings.Scenario) {
	site := &built.Coordinator.Site
	if c.Arm.ReportInterval > 0 {
		site.Reporting.Period = c.Arm.ReportInterval
	}
	switch c.Arm.Admission {
	case "fraction":
		site.DataPlane.Admission = balancer.AdmissionFraction
	case "rate":
		site.DataPlane.Admission = balancer.AdmissionRate
	default:
		return
	}
	built.Coordinator.Policy.MembersOnly = true // SASP does not carry admission
}

func (c Cell) addFaults(built *settings.Scenario) {
	site := &built.Coordinator.Site
	domains := int(site.Servers[len(site.Servers)-1].FailureDomain) + 1
	built.Faults = nil
	for _, fault := range c.Case.Faults {
		fault.Server %= len(site.Servers)
		fault.Proxy %= len(site.Proxies)
		fault.FailureDomain %= domains
		built.Faults = append(built.Faults, fault)
	}
	if c.Case.RandomFaults > 0 {
		addRandomFaults(built, c.Case.RandomFaults, c.Case.Kinds)
	}
	if c.Case.Kills > 0 {
		scenario.AddCoordinatorFaults(built, c.Case.Kills)
	}
}

// Options returns the options for running the cell's scenario.
func (c Cell) Options() scenario.Options {
	options := scenario.Options{
		Seed:             c.Seed,
		Front:            c.Arm.Frontend,
		Coordinators:     c.Arm.Coordinators,
		DropMeasurements: c.Arm.Policy == "listed",
	}
	switch c.Arm.Policy {
	case "robin":
		options.Policy = emulator.RoundRobin
	case "two":
		options.Policy = emulator.PowerOfTwoChoices
	}
	return options
}
