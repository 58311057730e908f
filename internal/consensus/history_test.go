package consensus

import (
	"errors"
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
)

// order is a command that a coordinator sends to a proxy.
type order struct {
	uid   string
	by    membership.Peer
	epoch membership.Epoch
}

// orderModel accepts histories of orders to one proxy in which epochs never decrease and each epoch has only one coordinator.
var orderModel = porcupine.Model{
	Partition: partitionBy(func(input any) string { return input.(order).uid }),
	Init:      func() any { return order{} },
	Step: func(state, input, _ any) (bool, any) {
		last := state.(order)
		next := input.(order)
		return next.epoch > last.epoch || next.epoch == last.epoch && next.by == last.by, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// drainOperation is the submission of a drain by a client or, if read is set, a read of the drain from a coordinator with a valid lease.
type drainOperation struct {
	server balancer.Server
	read   bool
}

// drainModel accepts histories in which every read after the acceptance of a drain returns it. Each drain is of a different server, and no
// drain ends.
var drainModel = porcupine.Model{
	Partition: partitionBy(func(input any) string { return string(input.(drainOperation).server) }),
	Init:      func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		if input.(drainOperation).read {
			return output.(bool) == state.(bool), state
		}
		return true, true
	},
	Equal: func(a, b any) bool { return a == b },
}

// partitionBy splits a history into one history per key.
func partitionBy(key func(input any) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(history []porcupine.Operation) (parts [][]porcupine.Operation) {
		partOf := map[string]int{}
		for _, operation := range history {
			k := key(operation.Input)
			part, ok := partOf[k]
			if !ok {
				part = len(parts)
				partOf[k] = part
				parts = append(parts, nil)
			}
			parts[part] = append(parts[part], operation)
		}
		return parts
	}
}

// injectedDefects are defects of the program itself, which the histories must reveal.
type injectedDefects struct {
	pauseGuardDisabled bool // leases ignore pauses
	epochUnchecked     bool // proxies apply orders of an older epoch
	drainUnreplicated  bool // drains are accepted without replication by the coordinator that received them
}

// history runs a cluster with faults and records which coordinator sent which orders, which orders proxies applied, and the submissions and
// reads of drains.
type history struct {
	*cluster
	defects         injectedDefects
	ordersSent      []porcupine.Operation
	ordersApplied   []porcupine.Operation
	drainOperations []porcupine.Operation
	newestEpoch     map[string]membership.Epoch // newest epoch that each proxy has applied
	inFlight        []inFlightOrder
	submissions     []*drainSubmission
	missedDrain     string // describes the first lease holder that did not know an accepted drain
}

type inFlightOrder struct {
	order
	arrivesAt float64
}

type drainSubmission struct {
	server      balancer.Server
	node        *testNode
	group       *Group
	ticket      membership.Ticket
	submittedAt float64
	acceptedAt  float64 // 0 if not accepted yet
	lost        bool    // the process that received the drain has ended
}

const microsecondsPerSecond = 1e6 // porcupine's operation times are integers; they are in whole microseconds

func (h *history) record(to *[]porcupine.Operation, input, output any, call, end float64) {
	*to = append(*to, porcupine.Operation{
		Input:  input,
		Output: output,
		Call:   int64(call * microsecondsPerSecond),
		Return: int64(end*microsecondsPerSecond) + 1,
	})
}

// sendOrders sends orders to some proxies from each coordinator whose lease permits it. A coordinator may be paused between the check of its
// lease and the sending of the order.
func (h *history) sendOrders() {
	for _, id := range h.members {
		node := h.nodes[id]
		for _, uid := range proxyUIDs[:6] {
			if node.group == nil || node.paused() || h.random.Float64() > 0.03 || !node.group.Lease.Owns(node.clock(), node.group.State, uid) {
				continue
			}
			sent := order{uid: uid, by: node.name(), epoch: node.group.State.Epoch}
			h.record(&h.ordersSent, sent, nil, h.now, h.now)
			if h.random.Float64() < 0.003 {
				node.pausedUntil = h.now + 10*h.random.Float64()
			}
			arrivesAt := max(h.now, node.pausedUntil) + 0.02*h.random.Float64()
			h.inFlight = append(h.inFlight, inFlightOrder{order: sent, arrivesAt: arrivesAt})
		}
	}
}

// applyOrders applies the orders that arrive at proxies.
func (h *history) applyOrders() {
	remaining := h.inFlight[:0]
	for _, o := range h.inFlight {
		switch {
		case o.arrivesAt > h.now:
			remaining = append(remaining, o)
		case h.defects.epochUnchecked || o.epoch >= h.newestEpoch[o.uid]:
			h.newestEpoch[o.uid] = o.epoch
			h.record(&h.ordersApplied, o.order, nil, h.now, h.now) // it takes effect when the proxy applies it
		}
	}
	h.inFlight = remaining
}

// submitDrain occasionally submits a drain to a random coordinator.
func (h *history) submitDrain() {
	if h.random.Float64() >= 0.02 {
		return
	}
	node := h.nodes[h.members[h.random.IntN(len(h.members))]]
	if node.group == nil || node.paused() {
		return
	}
	submission := &drainSubmission{server: balancer.Server(fmt.Sprint("s", len(h.submissions))), node: node, group: node.group, submittedAt: h.now}
	h.submissions = append(h.submissions, submission)
	if !h.defects.drainUnreplicated {
		submission.ticket, _ = node.group.Drain(node.clock(), submission.server, true)
		return
	}
	submission.acceptedAt = h.now
	if node.group.State.Drains == nil {
		node.group.State.Drains = map[balancer.Server]float64{}
	}
	node.group.State.Drains[submission.server] = h.now
}

// recordAcceptedDrains marks submissions that were accepted, or whose process has ended, since the last call.
func (h *history) recordAcceptedDrains() {
	for _, submission := range h.submissions {
		if submission.acceptedAt > 0 || submission.lost {
			continue
		}
		for _, ticket := range submission.node.accepted {
			if ticket == submission.ticket && submission.node.group == submission.group {
				submission.acceptedAt = h.now
			}
		}
		submission.lost = submission.node.group != submission.group
	}
}

// readDrains records reads of the latest drains from coordinators with a valid lease.
func (h *history) readDrains() {
	for _, id := range h.members {
		node := h.nodes[id]
		if node.group == nil || node.paused() || h.random.Float64() > 0.05 || !node.holdsLease() {
			continue
		}
		since := min(h.now, (node.group.Lease.RenewedAt()-1000)/node.clockRate)
		for _, submission := range h.submissions[max(0, len(h.submissions)-8):] {
			_, known := node.group.State.Drains[submission.server]
			h.record(&h.drainOperations, drainOperation{server: submission.server, read: true}, known, since, h.now)
			if submission.acceptedAt > 0 && !known && h.missedDrain == "" {
				h.missedDrain = fmt.Sprintf("at %.2f %s does not know the drain of %s, which was accepted at %.2f",
					h.now, node.name(), submission.server, submission.acceptedAt)
			}
		}
	}
}

// advance runs the cluster and its clients for a number of steps.
func (h *history) advance(steps int, seconds float64) {
	for range steps {
		h.run(seconds)
		h.sendOrders()
		h.applyOrders()
		h.submitDrain()
		h.recordAcceptedDrains()
		h.readDrains()
	}
}

func runHistory(t testing.TB, seed uint64, defects injectedDefects) *history {
	t.Helper()
	h := &history{cluster: newCluster(t, 3+2*int(seed%2), seed), defects: defects, newestEpoch: map[string]membership.Epoch{}}
	h.pauseGuardDisabled = defects.pauseGuardDisabled
	h.heal()
	h.run(6)
	for range 15 {
		h.injectFault()
		h.advance(60, stepSeconds*3)
	}
	h.heal()
	h.advance(200, stepSeconds*5)
	for _, submission := range h.submissions {
		end := submission.acceptedAt
		if end == 0 {
			end = h.now + 1 // it may have taken effect at any time, or not at all
		}
		h.record(&h.drainOperations, drainOperation{server: submission.server}, nil, submission.submittedAt, end)
	}
	return h
}

// check returns an error that names the histories that are not linearizable.
func (h *history) check() error {
	var errs []error
	for _, c := range []struct {
		name       string
		model      porcupine.Model
		operations []porcupine.Operation
	}{
		{"sent orders", orderModel, h.ordersSent},
		{"applied orders", orderModel, h.ordersApplied},
		{"drains", drainModel, h.drainOperations},
	} {
		if !porcupine.CheckOperations(c.model, c.operations) {
			errs = append(errs, errors.New(c.name))
		}
	}
	if h.missedDrain != "" {
		errs = append(errs, errors.New(h.missedDrain))
	}
	return errors.Join(errs...)
}

// The histories of sent orders, of orders that proxies applied, and of drains are linearizable while coordinators are killed, paused and
// partitioned, including pauses between the check of a lease and the sending of an order.
func TestHistoriesAreLinearizable(t *testing.T) {
	applied := 0
	accepted := 0
	for seed := range min(*seeds, 12) {
		h := runHistory(t, seed, injectedDefects{})
		if err := h.check(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		applied += len(h.ordersApplied)
		for _, submission := range h.submissions {
			if submission.acceptedAt > 0 {
				accepted++
			}
		}
	}
	if applied < 1000 || accepted < 50 {
		t.Errorf("%d orders applied, %d drains accepted: too few for a meaningful check, want at least 1000 and 50", applied, accepted)
	}
}

// Each injected defect must be detected in the histories of one of 10 runs.
func TestInjectedDefectsAreDetected(t *testing.T) {
	for name, defects := range map[string]injectedDefects{
		"a lease that ignores pauses":    {pauseGuardDisabled: true},
		"an epoch that is not checked":   {epochUnchecked: true},
		"a drain that is not replicated": {drainUnreplicated: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				if runHistory(t, seed, defects).check() != nil {
					return
				}
			}
			t.Error("the defect was not detected in 10 runs")
		})
	}
}
