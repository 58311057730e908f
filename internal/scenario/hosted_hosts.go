package scenario

import (
	"errors"
	"fmt"
	"net/netip"

	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/env/simnet"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/settings"
)

const (
	hostSASPPort         = 14960
	hostHTTPPort         = 18760
	hostMeasurementsPort = 15927
	hostZones            = 2
)

var firstHostAddr = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// HostSettings is the settings file of the hosts of a hosted scenario.
const HostSettings = `<host>
  <listen sasp="127.0.0.1:14960" http="127.0.0.1:18760" measurements="127.0.0.1:15927" admin="127.0.0.1:18770" store="host.db"/>
  <caller name="host" key="a-key-for-rehearsals-of-hosts" role="host"/>
</host>`

// hostInstance is a host of the scenario with the state that survives its restarts.
type hostInstance struct {
	host    *simnet.Host      // nil over sockets
	server  *eventloop.Server // nil in virtual time
	program *coordinator.Host
	running bool
	store   coordinator.HostStore
	log     consensus.MemoryStorage
	starts  uint64
}

// hostAddr returns the address of the i-th host.
func hostAddr(i int, port uint16) netip.AddrPort {
	return offsetAddr(netip.AddrPortFrom(firstHostAddr, port), i)
}

func (r *hostedRun) hostAddrs(port uint16) []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range r.hosts {
		addresses = append(addresses, hostAddr(i, port))
	}
	return addresses
}

func (r *hostedRun) startHost(i int) {
	now := r.network.Now()
	instance := r.hosts[i]
	program, err := coordinator.NewHost(now, r.hostConfig(i), instance.store)
	if err != nil {
		r.recordError(err)
		return
	}
	instance.program = program
	instance.running = true
	r.startedAt = now
	r.updatedAt = 0
	if r.virtual == nil {
		instance.server, err = eventloop.Listen(program, r.settings.ListenAddresses(), r.settings.Measurements, r.sockets.Now)
		if err != nil {
			r.recordError(err)
			instance.running = false
		}
		return
	}
	if instance.host == nil {
		instance.host = r.virtual.Add(hostAddr(i, 0).Addr(), i%hostZones, false)
	}
	instance.host.Start(program)
}

// hostConfig returns the configuration for the next start of a host.
func (r *hostedRun) hostConfig(i int) coordinator.HostConfig {
	config := r.settings.HostConfig
	count := len(r.hosts)
	if count <= 1 {
		return config
	}
	instance := r.hosts[i]
	instance.starts++
	instance.log.OwnDataDirID = uint64(i + 1)
	config.SASP = hostAddr(i, hostSASPPort)
	config.HTTP = hostAddr(i, hostHTTPPort)
	config.Storage = &instance.log
	config.Incarnation = instance.starts*incarnationStep + uint64(i)
	config.Group = groupConfig(count, i, func(member int) netip.Addr { return hostAddr(member, 0).Addr() })
	return config
}

func (r *hostedRun) stopHost(i int) {
	instance := r.hosts[i]
	if !instance.running {
		return
	}
	instance.running = false
	r.addStats(instance)
	if r.virtual != nil {
		instance.host.Kill()
	} else {
		r.recordError(instance.server.Stop())
	}
	if len(r.hosts) == 1 {
		for _, tenant := range r.tenants {
			tenant.checker.CoordinatorDown()
		}
	}
}

// restartHost kills a host and starts it again after the restart delay.
func (r *hostedRun) restartHost(i int) {
	r.stopHost(i)
	r.after(r.scenario.RestartDelay, func() { r.startHost(i) })
}

// addStats adds the counters of a host's program to the result.
func (r *hostedRun) addStats(instance *hostInstance) {
	host := instance.program.Stats
	sum := &r.result.Host
	sum.Starts += host.Starts
	sum.Stops += host.Stops
	sum.Restarts += host.Restarts
	sum.Reconfigured += host.Reconfigured
	sum.SaveFailures += host.SaveFailures
	sum.UnsignedPackets += host.UnsignedPackets
	sum.UnknownUserPackets += host.UnknownUserPackets
	scheduler := instance.program.Scheduler.Stats
	r.result.Scheduler.Turns += scheduler.Turns
	r.result.Scheduler.Urgent += scheduler.Urgent
	r.result.Scheduler.BudgetExhausted += scheduler.BudgetExhausted
	if r.result.Rejected == nil {
		r.result.Rejected = map[tenancy.RejectReason]int{}
	}
	for reason, count := range instance.program.Router.Rejected {
		r.result.Rejected[reason] += count
	}
}

// runningHost returns a random running host, or nil if all are down.
func (r *hostedRun) runningHost() *hostInstance {
	first := r.random.IntN(len(r.hosts))
	for i := range r.hosts {
		if instance := r.hosts[(first+i)%len(r.hosts)]; instance.running {
			return instance
		}
	}
	return nil
}

// onRunningHost calls do with a random running host, between two of the steps of its program. It does nothing if all
// hosts are down.
func (r *hostedRun) onRunningHost(do func(now float64, host *coordinator.Host)) {
	instance := r.runningHost()
	switch {
	case instance == nil:
	case r.virtual != nil:
		do(r.network.Now(), instance.program)
	default:
		instance.server.Do(func(now float64) { do(now, instance.program) })
	}
}

// changeTenant creates or removes a tenant through a running host, and records a failure as a problem of the result.
func (r *hostedRun) changeTenant(command tenancy.Command) {
	r.onRunningHost(func(now float64, host *coordinator.Host) {
		command.Time = now
		if command.Kind != tenancy.Remove {
			config, err := settings.ParseTenant(command.Name, command.Settings, r.settings)
			if err != nil {
				r.recordError(err)
				return
			}
			command.Weight = config.Weight
			command.Requirements = config.Requirements
		}
		host.ChangeTenant(now, command, func(outcome tenancy.Outcome, err error) {
			err = errors.Join(err, outcome.Err())
			if err != nil {
				r.addProblem("%s: %v", command.Name, err)
			}
		})
	})
}

func (r *hostedRun) addProblem(format string, args ...any) {
	r.result.Problems = append(r.result.Problems, fmt.Sprintf(format, args...))
}
