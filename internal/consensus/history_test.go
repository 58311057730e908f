package consensus

import (
	"errors"
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
)

// order is an order of a coordinator to a proxy.
type order struct {
	uid   string
	by    membership.Peer
	epoch membership.Epoch
}

// orderModel accepts the histories of orders to one proxy in which epochs do not fall and each epoch has one coordinator.
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

// drainOperation is a drain that a client submits or, with read, what a coordinator that holds its lease knows of it.
type drainOperation struct {
	server balancer.Server
	read   bool
}

// drainModel accepts the histories of drains in which an accepted drain is known from then on. All drains are of different servers and
// none ends.
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

// partitionBy divides a history into those of each key.
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

// plantedFaults are faults of the program itself, which the histories have to show.
type plantedFaults struct {
	pauseGuardDisabled bool // leases ignore pauses
	epochUnchecked     bool // proxies follow orders of an older epoch
	drainUnreplicated  bool // drains are accepted by the coordinator that they were submitted to, alone
}

// history plays a cluster with faults and records who gave which orders, which of them proxies followed, and what was known of drains.
type history struct {
	*cluster
	planted        plantedFaults
	ordersGiven    []porcupine.Operation
	ordersFollowed []porcupine.Operation
	drainsKnown    []porcupine.Operation
	newestEpoch    map[string]membership.Epoch // that each proxy has followed
	inFlight       []inFlightOrder
	submissions    []*drainSubmission
	missedDrain    string // a lease holder that did not know of an accepted drain
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
	acceptedAt  float64 // 0: not yet
	lost        bool    // the process that it was submitted to has ended
}

const microsecondsPerSecond = 1e6 // operations are timed in whole microseconds

func (h *history) record(to *[]porcupine.Operation, input, output any, call, end float64) {
	*to = append(*to, porcupine.Operation{
		Input:  input,
		Output: output,
		Call:   int64(call * microsecondsPerSecond),
		Return: int64(end*microsecondsPerSecond) + 1,
	})
}

// giveOrders lets each coordinator that may do so give orders to some proxies. Between the check of its lease and the sending of the
// order it may be paused.
func (h *history) giveOrders() {
	for _, id := range h.members {
		node := h.nodes[id]
		for _, uid := range proxyUIDs[:6] {
			if node.group == nil || node.paused() || h.random.Float64() > 0.03 || !node.group.Lease.Owns(node.clock(), node.group.State, uid) {
				continue
			}
			given := order{uid: uid, by: node.name(), epoch: node.group.State.Epoch}
			h.record(&h.ordersGiven, given, nil, h.now, h.now)
			if h.random.Float64() < 0.003 {
				node.pausedUntil = h.now + 10*h.random.Float64()
			}
			arrivesAt := max(h.now, node.pausedUntil) + 0.02*h.random.Float64()
			h.inFlight = append(h.inFlight, inFlightOrder{order: given, arrivesAt: arrivesAt})
		}
	}
}

// followOrders lets proxies follow the orders that arrive.
func (h *history) followOrders() {
	remaining := h.inFlight[:0]
	for _, o := range h.inFlight {
		switch {
		case o.arrivesAt > h.now:
			remaining = append(remaining, o)
		case h.planted.epochUnchecked || o.epoch >= h.newestEpoch[o.uid]:
			h.newestEpoch[o.uid] = o.epoch
			h.record(&h.ordersFollowed, o.order, nil, h.now, h.now) // it takes effect when the proxy follows it
		}
	}
	h.inFlight = remaining
}

// submitDrain lets a client submit a drain to some coordinator now and then.
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
	if !h.planted.drainUnreplicated {
		submission.ticket, _ = node.group.Drain(node.clock(), submission.server, true)
		return
	}
	submission.acceptedAt = h.now
	if node.group.State.Drains == nil {
		node.group.State.Drains = map[balancer.Server]float64{}
	}
	node.group.State.Drains[submission.server] = h.now
}

// noteAcceptedDrains notes which drains were accepted since.
func (h *history) noteAcceptedDrains() {
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

// readDrains records what coordinators that hold their lease know of the latest drains.
func (h *history) readDrains() {
	for _, id := range h.members {
		node := h.nodes[id]
		if node.group == nil || node.paused() || h.random.Float64() > 0.05 || !node.holdsLease() {
			continue
		}
		since := min(h.now, (node.group.Lease.RenewedAt()-1000)/node.clockRate)
		for _, submission := range h.submissions[max(0, len(h.submissions)-8):] {
			_, known := node.group.State.Drains[submission.server]
			h.record(&h.drainsKnown, drainOperation{server: submission.server, read: true}, known, since, h.now)
			if submission.acceptedAt > 0 && !known && h.missedDrain == "" {
				h.missedDrain = fmt.Sprintf("at %.2f %s does not know of %s, which was accepted at %.2f", h.now, node.name(), submission.server, submission.acceptedAt)
			}
		}
	}
}

// play lets a number of steps pass.
func (h *history) play(steps int, seconds float64) {
	for range steps {
		h.run(seconds)
		h.giveOrders()
		h.followOrders()
		h.submitDrain()
		h.noteAcceptedDrains()
		h.readDrains()
	}
}

func playHistory(t testing.TB, seed uint64, planted plantedFaults) *history {
	t.Helper()
	h := &history{cluster: newCluster(t, 3+2*int(seed%2), seed), planted: planted, newestEpoch: map[string]membership.Epoch{}}
	h.pauseGuardDisabled = planted.pauseGuardDisabled
	h.heal()
	h.run(6)
	for range 15 {
		h.injectFault()
		h.play(60, stepSeconds*3)
	}
	h.heal()
	h.play(200, stepSeconds*5)
	for _, submission := range h.submissions {
		end := submission.acceptedAt
		if end == 0 {
			end = h.now + 1 // it may have taken effect at any time, or not
		}
		h.record(&h.drainsKnown, drainOperation{server: submission.server}, nil, submission.submittedAt, end)
	}
	return h
}

// check says which of the histories are not linearizable.
func (h *history) check() error {
	var errs []error
	for _, c := range []struct {
		name       string
		model      porcupine.Model
		operations []porcupine.Operation
	}{
		{"given", orderModel, h.ordersGiven},
		{"followed", orderModel, h.ordersFollowed},
		{"drains", drainModel, h.drainsKnown},
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

// Histories of orders that were given, of orders that proxies followed, and of drains are linearizable, whatever dies, pauses, is
// partitioned, or pauses between the check of its lease and its order.
func TestHistoriesAreLinearizable(t *testing.T) {
	followed := 0
	accepted := 0
	for seed := range min(*seeds, 12) {
		h := playHistory(t, seed, plantedFaults{})
		if err := h.check(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		followed += len(h.ordersFollowed)
		for _, submission := range h.submissions {
			if submission.acceptedAt > 0 {
				accepted++
			}
		}
	}
	if followed < 1000 || accepted < 50 {
		t.Errorf("%d orders followed, %d drains accepted: too few to say anything", followed, accepted)
	}
}

// Each fault that is planted shows in the histories.
func TestPlantedFaultsAreCaught(t *testing.T) {
	for name, planted := range map[string]plantedFaults{
		"a lease that ignores pauses":    {pauseGuardDisabled: true},
		"an epoch that is not checked":   {epochUnchecked: true},
		"a drain that is not replicated": {drainUnreplicated: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				if playHistory(t, seed, planted).check() != nil {
					return
				}
			}
			t.Error("it is not caught in 10 days")
		})
	}
}
