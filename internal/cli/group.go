package cli

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"snowquay/internal/console"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/membership"
	"snowquay/internal/service"
	"snowquay/internal/settings"
)

type groupCommands struct {
	Status groupStatusCommand `cmd:"" help:"Show the state of the group as each coordinator reports it."`
	Remove groupRemoveCommand `cmd:"" help:"Remove a coordinator for good; its number is never used again."`
}

// groupTarget is the argument that selects the group of coordinators that a command calls.
type groupTarget struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (XML) of any coordinator of the group."`
}

func (t *groupTarget) load() (*coordinator.GroupConfig, error) {
	config, err := settings.LoadCoordinator(t.Settings)
	if err != nil {
		return nil, err
	}
	if config.Group == nil {
		return nil, fmt.Errorf("%s has no element group: the coordinator is not a member of a group", t.Settings)
	}
	return config.Group, nil
}

type groupStatusCommand struct {
	groupTarget
}

// Run prints the status of each member of a group. The result is negative if no majority of the members
// responds.
func (c *groupStatusCommand) Run(env *environment) error {
	group, err := c.load()
	if err != nil {
		return err
	}
	responses := 0
	for _, number := range slices.Sorted(maps.Keys(group.Members)) {
		address := group.Members[number]
		status, err := service.GroupStatus(address, group.Key)
		if err != nil {
			console.Printf(env.out, "%d at %s: %v\n", number, address, err)
			continue
		}
		responses++
		console.Printf(env.out, "%d at %s: holds its lease: %t; epoch %d; consensus leader %d, %d agreed; %d drains\n",
			number, address, status.HoldsLease, status.Epoch, status.Leader, status.Commit, status.Drains)
		printRegistrations(env, status)
		if status.Failed != "" {
			console.Printf(env.out, "    it orders nothing: %s\n", status.Failed)
		}
	}
	if responses <= len(group.Members)/2 {
		return errNegativeResult
	}
	return nil
}

// printRegistrations prints the coordinators that are registered with the group, as one member reports them.
func printRegistrations(env *environment, status coordinator.Status) {
	for _, number := range slices.Sorted(maps.Keys(status.Registrations)) {
		registration := status.Registrations[number]
		member := status.Members[registration.Peer]
		state := "lives"
		if registration.Removed {
			state = "taken out"
		} else if !member.Alive {
			state = "does not renew"
		}
		console.Printf(env.out, "    %d %s at %s: %s, weight %g\n",
			number, registration.Peer, registration.Address, state, member.Weight)
	}
}

type groupRemoveCommand struct {
	groupTarget
	Number uint64        `arg:"" help:"Number of the coordinator to remove."`
	Wait   time.Duration `help:"How long to wait for agreement." default:"10s"`
}

// Run removes a coordinator from a group permanently.
func (c *groupRemoveCommand) Run(env *environment) error {
	group, err := c.load()
	if err != nil {
		return err
	}
	if err := service.RemoveMember(group, membership.MemberID(c.Number), c.Wait); err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.out, "%d is taken out\n", c.Number)
	return err
}
