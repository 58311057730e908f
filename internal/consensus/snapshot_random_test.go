package consensus

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

var snapshotSeeds = flag.Uint64("snapshot-seeds", 12, "runs in which coordinators take snapshots while orders go on")

// snapshotRun is a run in which coordinators are away until the log is compacted, while callers give orders.
type snapshotRun struct {
	*cluster
	draw       *rand.Rand
	calls      []*orderCall
	lastID     uint64
	lastServer int
}

// orderCall is an order and who waits for its outcome.
type orderCall struct {
	node   *testNode
	group  *Group // the process that took it
	ticket membership.Ticket
	tenant *tenancy.Command // nil for a drain
	server balancer.Server
}

// submit gives an order to a random coordinator that runs.
func (r *snapshotRun) submit(tenant *tenancy.Command, server balancer.Server, draining bool) {
	node := r.nodes[r.members[r.draw.IntN(len(r.members))]]
	if node.group == nil {
		return
	}
	command := membership.Command{Kind: membership.DrainServer, Server: server, Draining: draining}
	if tenant != nil {
		command = membership.Command{Kind: membership.ChangeTenant, Tenant: tenant}
	}
	ticket, ok := node.group.SubmitOrder(node.clock(), command)
	if ok {
		r.calls = append(r.calls, &orderCall{node: node, group: node.group, ticket: ticket, tenant: tenant, server: server})
	}
}

// act gives a few random orders.
func (r *snapshotRun) act() {
	names := []tenancy.Name{"a", "b", "c", "d"}
	for range 1 + r.draw.IntN(3) {
		switch r.draw.IntN(5) {
		case 0:
			r.lastServer++
			r.submit(nil, r.server(r.lastServer), true)
		case 1:
			r.submit(nil, r.server(1+r.draw.IntN(max(r.lastServer, 1))), false)
		default:
			r.lastID++
			kind := tenancy.CommandKind(1 + r.draw.IntN(3))
			command := tenantChange(kind, names[r.draw.IntN(len(names))], r.lastID)
			command.Time = r.now * tenancy.NameQuarantine // so that names can be used again soon
			r.submit(command, "", false)
		}
	}
}

func (r *snapshotRun) server(number int) balancer.Server {
	return balancer.Server(fmt.Sprint("drained-", number))
}

// awayUntilCompacted takes one coordinator away, in one of several ways, while orders and records go on; then it comes back.
func (r *snapshotRun) awayUntilCompacted() {
	away := r.nodes[r.members[r.draw.IntN(len(r.members))]]
	r.act()
	switch r.draw.IntN(4) {
	case 0:
		r.deafen(away.id)
	case 1:
		r.deafen(away.id)
		for _, id := range r.members {
			r.partitioned[link{away.id, id}] = true
		}
	case 2:
		away.pausedUntil = r.now + 3 + 2*r.draw.Float64()
	default:
		away.kill()
	}
	r.act()
	r.run(0.1 + 0.5*r.draw.Float64())
	for i := range 260 {
		if i%40 == 0 {
			r.act()
		}
		other := r.nodes[r.members[r.draw.IntN(len(r.members))]]
		if other != away && other.group != nil {
			record := registry.Record{ServerConfig: registry.ServerConfig{Server: balancer.Server(fmt.Sprint("started-", i%50))}, Started: r.now}
			other.group.StoreRecords(other.clock(), []registry.Record{record})
		}
		r.run(0.01)
	}
	r.heal()
	r.run(4 * r.draw.Float64())
}

// check judges the states by each other, what callers were told by the states, and what processes were told likewise.
func (r *snapshotRun) check(t *testing.T, seed uint64) (snapshots int) {
	t.Helper()
	first := r.nodes[r.members[0]].group
	want, _ := first.State.Snapshot()
	for _, id := range r.members {
		node := r.nodes[id]
		got, _ := node.group.State.Snapshot()
		if node.group.Node.AppliedIndex() == first.Node.AppliedIndex() && string(got) != string(want) {
			t.Errorf("seed %d: %d has another state:\n%s\n%s", seed, id, got, want)
		}
		snapshots += node.group.Stats.Restored
		told := slices.Sorted(maps.Keys(node.drains))
		if stand := slices.Sorted(maps.Keys(node.group.State.Drains)); !slices.Equal(told, stand) {
			t.Errorf("seed %d: %d was told of the drains %v, and %v stand", seed, id, told, stand)
		}
	}
	r.checkRecords(t, seed)
	versions := map[tenancy.Version]uint64{}
	for _, call := range r.calls {
		if call.node.group == call.group {
			r.checkCall(t, seed, call, versions)
		}
	}
	return snapshots
}

// checkRecords judges what processes were told of starts of servers.
func (r *snapshotRun) checkRecords(t *testing.T, seed uint64) {
	t.Helper()
	for _, id := range r.members {
		node := r.nodes[id]
		for server, record := range node.group.State.Records {
			if node.startRecords[server] != record && node.records[server] != record {
				t.Errorf("seed %d: %d was not told that %s started at %.2f", seed, id, server, record.Started)
				break
			}
		}
	}
}

func (r *snapshotRun) checkCall(t *testing.T, seed uint64, call *orderCall, versions map[tenancy.Version]uint64) {
	t.Helper()
	answers := 0
	for _, ticket := range slices.Concat(call.node.accepted, call.node.rejected) {
		if ticket == call.ticket {
			answers++
		}
	}
	if answers != 1 {
		t.Errorf("seed %d: order %d at %d was answered %d times", seed, call.ticket, call.node.id, answers)
	}
	if call.tenant == nil || !slices.Contains(call.node.accepted, call.ticket) {
		return
	}
	outcome := call.node.outcomes[call.ticket]
	decided, succeeded := call.group.State.Directory.FindOutcome(call.tenant.ID)
	if outcome.Err() != nil {
		if succeeded {
			t.Errorf("seed %d: change %d was made, and its caller told: %v", seed, call.tenant.ID, outcome.Err())
		}
		return
	}
	if !succeeded || outcome != decided {
		t.Errorf("seed %d: the caller of change %d was told %+v, decided was %+v", seed, call.tenant.ID, outcome, decided)
	}
	if other, taken := versions[outcome.Version]; taken {
		t.Errorf("seed %d: changes %d and %d have one version", seed, call.tenant.ID, other)
	}
	versions[outcome.Version] = call.tenant.ID
}

// Coordinators take snapshots while drains and changes of tenants go on: all states stay the same, every caller is told one
// outcome, which is the one that was decided, and every process is told of the drains that stand and of no others.
func TestOrdersAcrossSnapshots(t *testing.T) {
	snapshots := 0
	for seed := range *snapshotSeeds {
		r := &snapshotRun{cluster: newCluster(t, 3+2*int(seed%2), seed), draw: rand.New(rand.NewPCG(seed, 31))}
		r.capacity = tenancy.DefaultCapacity
		r.capacity.MaxTenants = 3
		r.heal()
		r.run(6)
		for range 4 {
			r.awayUntilCompacted()
		}
		r.heal()
		r.run(15)
		snapshots += r.check(t, seed)
		if r.conflict != "" {
			t.Errorf("seed %d: %s", seed, r.conflict)
		}
	}
	if snapshots == 0 {
		t.Error("nobody took a snapshot")
	}
	t.Logf("%d snapshots", snapshots)
}
