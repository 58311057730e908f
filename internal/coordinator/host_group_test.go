package coordinator_test

import (
	"errors"
	"net/netip"
	"strings"
	"testing"

	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/env/simnet"
	"snowquay/internal/scenario"
	"snowquay/internal/settings"
	"snowquay/internal/store"
)

const hostGroupSize = 3

// hostGroup is a group of hosts that share their tenants, on a simulated network.
type hostGroup struct {
	t        *testing.T
	net      *simnet.Net
	config   *settings.Host
	machines [hostGroupSize]*simnet.Host
	hosts    [hostGroupSize]*coordinator.Host
	storage  [hostGroupSize]consensus.MemoryStorage
	starts   uint64
}

func newHostGroup(t *testing.T, maxTenants int) *hostGroup {
	t.Helper()
	g := &hostGroup{t: t, net: simnet.New(1, 1000), config: parseHostSettings(t, scenario.HostSettings)}
	g.config.Capacity.MaxTenants = maxTenants
	for i := range g.machines {
		g.machines[i] = g.net.Add(hostAddress(i), 0, false)
		g.start(i)
	}
	g.net.Run(1005)
	return g
}

func hostAddress(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + i)}) }

func memberID(i int) membership.MemberID { return membership.MemberID(i + 1) }

func (g *hostGroup) start(i int) {
	g.t.Helper()
	g.starts++
	g.storage[i].OwnDataDirID = uint64(i + 1)
	config := g.config.HostConfig
	config.Storage = &g.storage[i]
	config.Incarnation = g.starts*10 + uint64(i)
	config.Group = &coordinator.GroupConfig{
		Self:      memberID(i),
		Weight:    1,
		Members:   map[membership.MemberID]netip.AddrPort{},
		Key:       []byte("a key for three hosts"),
		Consensus: consensus.DefaultConfig,
		Lease:     membership.DefaultLeaseConfig,
	}
	for k := range g.machines {
		config.Group.Members[memberID(k)] = netip.AddrPortFrom(hostAddress(k), 13900)
	}
	host, err := coordinator.NewHost(g.net.Now(), config, &store.MemoryTenantStore{})
	if err != nil {
		g.t.Fatal(err)
	}
	g.hosts[i] = host
	g.machines[i].Start(host)
}

func (g *hostGroup) run(seconds float64) { g.net.Run(g.net.Now() + seconds) }

// leader returns the index of the host that is the consensus leader.
func (g *hostGroup) leader() int { return int(g.hosts[0].Member().Group.Node.Leader()) - 1 }

var errPending = errors.New("not completed yet")

// pendingChange is a command that was submitted to a host. err is errPending until the command is completed.
type pendingChange struct {
	err     error
	outcome tenancy.Outcome
}

// change submits a command to a host.
func (g *hostGroup) change(i int, command tenancy.Command) *pendingChange {
	g.t.Helper()
	command.Time = g.net.Now()
	if command.Settings != nil {
		config, err := settings.ParseTenant(command.Name, command.Settings, g.config)
		if err != nil {
			g.t.Fatal(err)
		}
		command.Weight = config.Weight
		command.Requirements = config.Requirements
	}
	pending := &pendingChange{err: errPending}
	g.hosts[i].ChangeTenant(g.net.Now(), command, func(outcome tenancy.Outcome, err error) {
		pending.err = errors.Join(err, outcome.Err())
		pending.outcome = outcome
	})
	return pending
}

// A tenant that is created at one host runs on all hosts, and a command that is repeated at another host has the same outcome.
func TestHostsShareTenants(t *testing.T) {
	g := newHostGroup(t, 100)
	command := tenancy.Command{Kind: tenancy.Create, Name: "t000", Settings: tenantSettings(1)[0], ID: 5}
	first := g.change(0, command)
	g.run(2)
	if first.err != nil {
		t.Fatal(first.err)
	}
	for i, host := range g.hosts {
		tenant, ok := host.Tenant("t000")
		if !ok || tenant.Coordinator == nil || tenant.Incarnation != first.outcome.Incarnation {
			t.Errorf("host %d does not run the created incarnation of the tenant", i)
		}
	}
	repeated := g.change(2, command)
	g.run(2)
	if repeated.err != nil || repeated.outcome != first.outcome {
		t.Errorf("command repeated at another host: error %v, outcome %+v, want %+v", repeated.err, repeated.outcome, first.outcome)
	}
	for round := range 20 {
		g.changeWhileLeaderIsKilled(round)
	}
}

// changeWhileLeaderIsKilled submits a command to the leader, kills the leader after a time that depends on the round, and
// repeats the command at another host. The tenant must be created once.
func (g *hostGroup) changeWhileLeaderIsKilled(round int) {
	g.t.Helper()
	leader := g.leader()
	name := tenancy.Name("r" + string(tenantName(round))[1:])
	command := tenancy.Command{Kind: tenancy.Create, Name: name, Settings: tenantSettings(round + 2)[round+1], ID: uint64(100 + round)}
	g.change(leader, command)
	g.run(0.0005 * float64(round))
	g.machines[leader].Kill()
	g.run(8)
	repeated := g.change((leader+1)%hostGroupSize, command)
	g.run(8)
	g.start(leader)
	g.run(8)
	if repeated.err != nil {
		g.t.Errorf("round %d: repeated command failed: %v", round, repeated.err)
	}
	incarnations := map[tenancy.Incarnation]bool{}
	for i, host := range g.hosts {
		tenant, ok := host.Tenant(name)
		if !ok || tenant.Coordinator == nil {
			g.t.Fatalf("round %d: host %d does not run tenant %s", round, i, name)
		}
		incarnations[tenant.Incarnation] = true
	}
	if len(incarnations) != 1 {
		g.t.Errorf("round %d: hosts run incarnations %v, want a single one", round, incarnations)
	}
}

// All hosts get commands at the same time to create more tenants in total than they have capacity for, and one of the hosts is
// killed meanwhile. As many tenants are created as there is capacity for, and the remaining hosts have the same tenants.
func TestTenantCapacityAcrossHosts(t *testing.T) {
	const capacity = 7
	g := newHostGroup(t, capacity)
	var changes []*pendingChange
	for number, text := range tenantSettings(12) {
		command := tenancy.Command{Kind: tenancy.Create, Name: tenantName(number), Settings: text, ID: uint64(number + 1)}
		changes = append(changes, g.change(number%hostGroupSize, command))
		if number == 6 {
			g.run(0.002)
			g.machines[(g.leader()+1)%hostGroupSize].Kill()
		}
	}
	g.run(20)
	created := 0
	for _, change := range changes {
		switch {
		case change.err == nil:
			created++
		case errors.Is(change.err, tenancy.ErrNoCapacity):
		case errors.Is(change.err, errPending):
		case errors.Is(change.err, coordinator.ErrNotCommitted):
		default:
			t.Error(change.err)
		}
	}
	directories := map[string]int{}
	for i, host := range g.hosts {
		if !g.machines[i].Up() {
			continue
		}
		var names []string
		for _, tenant := range host.Tenants() {
			names = append(names, string(tenant.Name))
		}
		directories[strings.Join(names, " ")]++
		if len(names) != capacity {
			t.Errorf("host %d has %d tenants, want as many as its capacity", i, len(names))
		}
	}
	if len(directories) != 1 || created > capacity {
		t.Errorf("%d creations were confirmed, want 7 at most; the hosts have the tenants %v, want the same on all", created, directories)
	}
}
