package scenario

import (
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/emulator"
	"snowquay/internal/env"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/store"
)

const (
	groupPort       = 13900 // port of the group protocol between coordinators that share the fleet
	groupKey        = "a key for rehearsals"
	incarnationStep = 100 // between two starts of a member; the member's index is added, so that the incarnations of all members differ
)

// coordinatorInstance is a coordinator of the scenario with the state that survives its restarts.
type coordinatorInstance struct {
	program *coordinator.Coordinator
	host    host
	running bool
	store   store.MemoryStore
	log     consensus.MemoryStorage
	starts  uint64
}

// listenerHost is the host of a coordinator that runs over sockets. It supports Kill only.
type listenerHost struct {
	server      *eventloop.Server
	recordError func(error)
}

func (h *listenerHost) Kill()                          { h.recordError(h.server.Stop()) }
func (h *listenerHost) Freeze(float64)                 {}
func (h *listenerHost) DisturbDatagrams(bool, float64) {}

// coordinatorAddr returns the address of the i-th coordinator, derived from that of the first.
func (r *run) coordinatorAddr(i int, first netip.AddrPort) netip.AddrPort {
	return offsetAddr(first, i)
}

// coordinatorAddrs returns the addresses of all coordinators, derived from that of the first.
func (r *run) coordinatorAddrs(first netip.AddrPort) []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range r.coordinators {
		addresses = append(addresses, offsetAddr(first, i))
	}
	return addresses
}

// offsetAddr adds an offset to the last octet of an IPv4 address.
func offsetAddr(address netip.AddrPort, offset int) netip.AddrPort {
	octets := address.Addr().As4()
	octets[3] += byte(offset)
	return netip.AddrPortFrom(netip.AddrFrom4(octets), address.Port())
}

func (r *run) startCoordinator(i int) {
	instance := r.coordinators[i]
	if instance.running {
		return // already restarted: two restart faults overlapped
	}
	if r.options.Processes != nil {
		process, err := r.startProcess(i)
		instance.host = process
		instance.running = err == nil
		r.recordError(err)
		return
	}
	program, err := coordinator.New(r.network.Now(), r.coordinatorConfig(i), &instance.store)
	if err != nil {
		r.recordError(err)
		return
	}
	instance.program = program
	instance.running = true
	r.startCoordinatorProgram(i)
}

func (r *run) startCoordinatorProgram(i int) {
	instance := r.coordinators[i]
	config := r.scenario.Coordinator
	if r.virtual == nil {
		server, err := eventloop.Listen(instance.program, config.ListenAddresses(), config.Measurements, r.sockets.Now)
		r.recordError(err)
		instance.host = &listenerHost{server: server, recordError: r.recordError}
		return
	}
	var program env.Program = instance.program
	if r.options.WrapCoordinator != nil {
		program = r.options.WrapCoordinator(program)
	}
	if instance.host == nil {
		zone := i % len(config.Site.Zones)
		instance.host = r.addHost(r.coordinatorAddr(i, config.SASP), zone, program, false)
		return
	}
	r.recordError(startProgram(instance.host, program))
}

// coordinatorConfig returns the configuration for the next start of a coordinator.
func (r *run) coordinatorConfig(i int) coordinator.Config {
	config := r.scenario.Coordinator.Config
	config.Log = r.options.Log
	config.OnMessageTrace = r.recordMessageTrace
	count := r.options.Coordinators
	if count <= 1 {
		return config
	}
	instance := r.coordinators[i]
	instance.starts++
	instance.log.OwnDataDirID = uint64(i + 1)
	config.Site.DataPlane.Coordinators = count
	config.Site.DataPlane.Self = balancer.Coordinator(i)
	config.Storage = &instance.log
	config.Incarnation = instance.starts*incarnationStep + uint64(i)
	sasp := r.scenario.Coordinator.SASP
	config.Group = groupConfig(count, i, func(member int) netip.Addr { return r.coordinatorAddr(member, sasp).Addr() })
	return config
}

func (r *run) recordMessageTrace(trace controlplane.MessageTrace) {
	if trace.AckedAt > 0 {
		r.result.AckDelays = append(r.result.AckDelays, trace.AckedAt-trace.DecidedAt)
	}
	if r.options.OnMessageTrace != nil {
		r.options.OnMessageTrace(trace)
	}
}

// groupConfig returns the group configuration of one of count members that share a fleet or tenants.
func groupConfig(count, self int, address func(member int) netip.Addr) *coordinator.GroupConfig {
	config := &coordinator.GroupConfig{
		Self:      membership.MemberID(self + 1),
		Weight:    1,
		Members:   map[membership.MemberID]netip.AddrPort{},
		Key:       []byte(groupKey),
		Consensus: consensus.DefaultConfig,
		Lease:     membership.DefaultLeaseConfig,
	}
	for member := range count {
		config.Members[membership.MemberID(member+1)] = netip.AddrPortFrom(address(member), groupPort)
	}
	return config
}

func (r *run) stopCoordinator(i int) {
	instance := r.coordinators[i]
	if !instance.running || r.err != nil && r.options.Processes == nil {
		return
	}
	instance.running = false
	instance.host.Kill()
	if r.options.Processes != nil {
		return
	}
	_, peak := instance.program.Fleet.QueuedEntries()
	r.checker.CheckQueue(r.network.Now(), peak)
	r.result.PeakQueue = max(r.result.PeakQueue, peak)
	addControlPlaneStats(&r.result.ControlPlane, instance.program.Fleet.Stats)
	addSASPStats(&r.result.SASP, instance.program.SASP.Stats)
	addLongPollStats(&r.result.LongPoll, instance.program.LongPoll.Polls.Stats)
	if len(r.coordinators) == 1 {
		r.checker.CoordinatorDown()
	}
}

func addControlPlaneStats(sum *controlplane.Stats, stats controlplane.Stats) {
	sum.Rounds += stats.Rounds
	sum.Idle += stats.Idle
	sum.Entries += stats.Entries
	sum.Messages += stats.Messages
	sum.FullTables += stats.FullTables
	sum.Disconnected += stats.Disconnected
	sum.Stalled += stats.Stalled
	sum.Overdue += stats.Overdue
	sum.Noncompliant += stats.Noncompliant
	sum.AdmissionChanges += stats.AdmissionChanges
	sum.UnknownProxy += stats.UnknownProxy
	sum.UnknownServer += stats.UnknownServer
	sum.SaveFailures += stats.SaveFailures
	sum.TablesAssigned += stats.TablesAssigned
	sum.Evicted += stats.Evicted
}

func addSASPStats(sum *saspsession.Stats, stats saspsession.Stats) {
	sum.Received += stats.Received
	sum.Replied += stats.Replied
	sum.Pushed += stats.Pushed
	sum.Rejected += stats.Rejected
	sum.Malformed += stats.Malformed
	sum.Closed += stats.Closed
	sum.Takeovers += stats.Takeovers
	sum.Skipped += stats.Skipped
}

func addLongPollStats(sum *longpoll.Stats, stats longpoll.Stats) {
	sum.Polls += stats.Polls
	sum.Answers += stats.Answers
	sum.EmptyAnswers += stats.EmptyAnswers
	sum.Deltas += stats.Deltas
	sum.FullTables += stats.FullTables
	sum.Rejected += stats.Rejected
	sum.LostAnswers += stats.LostAnswers
	sum.UnknownVersions += stats.UnknownVersions
}

// startAgent starts an agent that requests the drain of a server, or cancels it if quiesce is false.
func (r *run) startAgent(server int, quiesce bool) {
	target := r.servers[server]
	agent := &emulator.Agent{
		Coordinators: target.Coordinators,
		Server:       target.Addr,
		FleetUID:     target.FleetUID,
		Group:        r.classes[0].Name,
		Quiesce:      quiesce,
		Checker:      r.checker,
	}
	r.addHost(target.Addr, int(r.zoneOf(server)), agent, true)
}
