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

var snapshotSeeds = flag.Uint64("snapshot-seeds", 12,
	"number of simulated runs in which coordinators restore snapshots while orders are submitted")

// snapshotRun is a simulated run in which coordinators are unavailable until the log is compacted, while callers submit orders.
type snapshotRun struct {
	*cluster
	orderRandom *rand.Rand
	calls       []*orderCall
	lastID      uint64
	lastServer  int
}

// orderCall is a submitted order and the process that reports its outcome.
type orderCall struct {
	node   *testNode
	group  *Group // the process that received the order
	ticket membership.Ticket
	tenant *tenancy.Command // nil for a drain
	server balancer.Server
}

// submit submits an order to a random coordinator, unless that coordinator is down.
func (r *snapshotRun) submit(tenant *tenancy.Command, server balancer.Server, draining bool) {
	node := r.nodes[r.members[r.orderRandom.IntN(len(r.members))]]
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

// submitRandomOrders submits one to three random orders.
func (r *snapshotRun) submitRandomOrders() {
	names := []tenancy.Name{"a", "b", "c", "d"}
	for range 1 + r.orderRandom.IntN(3) {
		switch r.orderRandom.IntN(5) {
		case 0:
			r.lastServer++
			r.submit(nil, r.server(r.lastServer), true)
		case 1:
			r.submit(nil, r.server(1+r.orderRandom.IntN(max(r.lastServer, 1))), false)
		default:
			r.lastID++
			kind := tenancy.CommandKind(1 + r.orderRandom.IntN(3))
			command := tenantChange(kind, names[r.orderRandom.IntN(len(names))], r.lastID)
			command.Time = r.now * tenancy.NameQuarantine // so that the quarantine of a removed name ends soon
			r.submit(command, "", false)
		}
	}
}

func (r *snapshotRun) server(number int) balancer.Server {
	return balancer.Server(fmt.Sprint("drained-", number))
}

// isolateUntilCompacted partitions, pauses or kills one coordinator while orders and records are submitted, and then ends the fault.
func (r *snapshotRun) isolateUntilCompacted() {
	isolated := r.nodes[r.members[r.orderRandom.IntN(len(r.members))]]
	r.submitRandomOrders()
	switch r.orderRandom.IntN(4) {
	case 0:
		r.blockIncoming(isolated.id)
	case 1:
		r.blockIncoming(isolated.id)
		for _, id := range r.members {
			r.partitioned[link{isolated.id, id}] = true
		}
	case 2:
		isolated.pausedUntil = r.now + 3 + 2*r.orderRandom.Float64()
	default:
		isolated.kill()
	}
	r.submitRandomOrders()
	r.run(0.1 + 0.5*r.orderRandom.Float64())
	for i := range 260 {
		if i%40 == 0 {
			r.submitRandomOrders()
		}
		other := r.nodes[r.members[r.orderRandom.IntN(len(r.members))]]
		if other != isolated && other.group != nil {
			record := registry.Record{ServerConfig: registry.ServerConfig{Server: balancer.Server(fmt.Sprint("started-", i%50))}, Started: r.now}
			other.group.StoreRecords(other.clock(), []registry.Record{record})
		}
		r.run(0.01)
	}
	r.heal()
	r.run(4 * r.orderRandom.Float64())
}

// check compares the states of coordinators that have applied the same entries, and compares the outcomes, drains and records that were
// reported to callers and processes with the states. It returns the number of restored snapshots.
func (r *snapshotRun) check(t *testing.T, seed uint64) (snapshots int) {
	t.Helper()
	first := r.nodes[r.members[0]].group
	want, _ := first.State.Snapshot()
	for _, id := range r.members {
		node := r.nodes[id]
		got, _ := node.group.State.Snapshot()
		if node.group.Node.AppliedIndex() == first.Node.AppliedIndex() && string(got) != string(want) {
			t.Errorf("seed %d: state of %d differs from that of the first coordinator:\n%s\n%s", seed, id, got, want)
		}
		snapshots += node.group.Stats.Restored
		reported := slices.Sorted(maps.Keys(node.drains))
		if active := slices.Sorted(maps.Keys(node.group.State.Drains)); !slices.Equal(reported, active) {
			t.Errorf("seed %d: the drains reported to %d are %v, want the active drains %v", seed, id, reported, active)
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

// checkRecords checks that every process either started with the latest record of each server or was notified of it.
func (r *snapshotRun) checkRecords(t *testing.T, seed uint64) {
	t.Helper()
	for _, id := range r.members {
		node := r.nodes[id]
		for server, record := range node.group.State.Records {
			if node.startRecords[server] != record && node.records[server] != record {
				t.Errorf("seed %d: %d was not notified that %s started at %.2f", seed, id, server, record.Started)
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
		t.Errorf("seed %d: order %d at %d was answered %d times, want once", seed, call.ticket, call.node.id, answers)
	}
	if call.tenant == nil || !slices.Contains(call.node.accepted, call.ticket) {
		return
	}
	outcome := call.node.outcomes[call.ticket]
	decided, succeeded := call.group.State.Directory.FindOutcome(call.tenant.ID)
	if outcome.Err() != nil {
		if succeeded {
			t.Errorf("seed %d: change %d was made, but its caller received: %v", seed, call.tenant.ID, outcome.Err())
		}
		return
	}
	if !succeeded || outcome != decided {
		t.Errorf("seed %d: the caller of change %d received the outcome %+v, the decided outcome is %+v", seed, call.tenant.ID, outcome, decided)
	}
	if other, exists := versions[outcome.Version]; exists {
		t.Errorf("seed %d: changes %d and %d have the same version", seed, call.tenant.ID, other)
	}
	versions[outcome.Version] = call.tenant.ID
}

// Coordinators restore snapshots while drains and tenant changes are submitted. Coordinators that have applied the same entries must have the
// same state. Every caller whose process still runs must receive exactly one outcome, the one that was decided, and every process must be
// notified of exactly the active drains.
func TestOrdersAcrossSnapshots(t *testing.T) {
	snapshots := 0
	for seed := range *snapshotSeeds {
		r := &snapshotRun{cluster: newCluster(t, 3+2*int(seed%2), seed), orderRandom: rand.New(rand.NewPCG(seed, 31))}
		r.capacity = tenancy.DefaultCapacity
		r.capacity.MaxTenants = 3
		r.heal()
		r.run(6)
		for range 4 {
			r.isolateUntilCompacted()
		}
		r.heal()
		r.run(15)
		snapshots += r.check(t, seed)
		if r.conflict != "" {
			t.Errorf("seed %d: %s", seed, r.conflict)
		}
	}
	if snapshots == 0 {
		t.Error("no coordinator restored a snapshot")
	}
	t.Logf("%d restored snapshots", snapshots)
}
