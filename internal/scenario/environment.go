package scenario

import (
	"fmt"
	"net/netip"

	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
	"snowquay/internal/env/socketnet"
)

// host runs a program in virtual time or over sockets.
type host interface {
	Kill()
	Freeze(seconds float64)
	DisturbDatagrams(lost bool, lateBy float64)
}

// network is the network of a scenario. It also provides the clock.
type network interface {
	Now() float64
	At(at float64, do func())
	Run(until float64)
	Cut(zone, zones int, on bool)
}

// environment holds the network of a scenario, simulated or over sockets, and the first error that occurred in it.
type environment struct {
	network network
	virtual *simnet.Net    // nil over sockets
	sockets *socketnet.Net // nil in virtual time
	err     error
}

// exclusively calls do while no program of the scenario runs.
func (e *environment) exclusively(do func()) {
	if e.sockets != nil {
		e.sockets.Do(do)
		return
	}
	do()
}

// after calls do after the given number of seconds.
func (e *environment) after(seconds float64, do func()) { e.network.At(e.network.Now()+seconds, do) }

// recordError stores an error unless an earlier one is stored.
func (e *environment) recordError(err error) {
	if err != nil && e.err == nil {
		e.err = err
	}
}

// addHost adds a host and starts a program on it. A guest shares the IP address of another host.
func (e *environment) addHost(address netip.AddrPort, zone int, program env.Program, guest bool) host {
	added := e.newHost(address, zone, guest)
	e.recordError(startProgram(added, program))
	return added
}

func (e *environment) newHost(address netip.AddrPort, zone int, guest bool) host {
	if e.virtual != nil {
		return e.virtual.Add(address.Addr(), zone, guest)
	}
	if guest {
		address = netip.AddrPortFrom(address.Addr(), 0)
	}
	return e.sockets.Add(address, zone)
}

// startProgram starts a program on a host that runs no program.
func startProgram(target host, program env.Program) error {
	switch target := target.(type) {
	case *simnet.Host:
		target.Start(program)
	case *socketnet.Host:
		if err := target.Start(program); err != nil {
			return fmt.Errorf("start program: %w", err)
		}
	}
	return nil
}
