package consensus

import (
	"errors"
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
)

// order is what a coordinator orders a proxy.
type order struct {
	uid   string
	by    membership.Peer
	epoch membership.Epoch
}

// leadership says which histories of orders to one proxy are right: epochs do not fall, and each is one coordinator's.
var leadership = porcupine.Model{
	Partition: func(h []porcupine.Operation) (parts [][]porcupine.Operation) {
		by := map[string]int{}
		for _, o := range h {
			uid := o.Input.(order).uid
			i, ok := by[uid]
			if !ok {
				i, by[uid] = len(parts), len(parts)
				parts = append(parts, nil)
			}
			parts[i] = append(parts[i], o)
		}
		return parts
	},
	Init: func() any { return order{} },
	Step: func(state, input, _ any) (bool, any) {
		s, o := state.(order), input.(order)
		return o.epoch > s.epoch || o.epoch == s.epoch && o.by == s.by, o
	},
	Equal: func(a, b any) bool { return a == b },
}

// drainOp is a drain told by a client (read is false), or what a coordinator that holds its lease knows of it.
type drainOp struct {
	server balancer.Server
	read   bool
}

// drains says which histories of drains are right: what was confirmed is known from then on. All drains are of different
// servers and none ends.
var drains = porcupine.Model{
	Partition: func(h []porcupine.Operation) (parts [][]porcupine.Operation) {
		by := map[balancer.Server]int{}
		for _, o := range h {
			s := o.Input.(drainOp).server
			i, ok := by[s]
			if !ok {
				i, by[s] = len(parts), len(parts)
				parts = append(parts, nil)
			}
			parts[i] = append(parts[i], o)
		}
		return parts
	},
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		if input.(drainOp).read {
			return output.(bool) == state.(bool), state
		}
		return true, true
	},
	Equal: func(a, b any) bool { return a == b },
}

// faults that are planted, to see them caught.
type faults struct {
	careless     bool // leases ignore pauses
	unchecked    bool // proxies follow orders of an older epoch
	unreplicated bool // drains are confirmed by the coordinator that was told, alone
}

// history plays a day and writes down who ordered what, what proxies followed, and what was known of drains.
type history struct {
	*town
	faults
	given, followed, known []porcupine.Operation
	newest                 map[string]membership.Epoch // that each proxy has followed
	flying                 []flight
	told                   []*telling
	late                   string // a holder that did not know of a confirmed drain
}

type flight struct {
	order
	call, at float64
}

type telling struct {
	server balancer.Server
	peer   *peer
	group  *Group
	ticket membership.Ticket
	call   float64
	kept   float64
	lost   bool
}

const micro = 1e6 // operations are timed in whole microseconds

func (h *history) record(to *[]porcupine.Operation, input, output any, call, end float64) {
	*to = append(*to, porcupine.Operation{Input: input, Output: output, Call: int64(call * micro), Return: int64(end*micro) + 1})
}

// orders: each coordinator that may orders some proxies. Between its look at the lease and the order's leaving it may be
// paused.
func (h *history) orders() {
	for _, id := range h.members {
		p := h.peers[id]
		for _, uid := range uids[:6] {
			if p.group == nil || p.paused > h.now || h.chance.Float64() > 0.03 || !p.group.Lease.Owns(p.clock(), p.group.State, uid) {
				continue
			}
			o := order{uid, p.name(), p.group.State.Epoch}
			h.record(&h.given, o, nil, h.now, h.now)
			if h.chance.Float64() < 0.003 {
				p.paused = h.now + 10*h.chance.Float64()
			}
			h.flying = append(h.flying, flight{o, h.now, max(h.now, p.paused) + 0.02*h.chance.Float64()})
		}
	}
	rest := h.flying[:0]
	for _, f := range h.flying {
		switch {
		case f.at > h.now:
			rest = append(rest, f)
		case h.unchecked || f.epoch >= h.newest[f.uid]:
			h.newest[f.uid] = f.epoch
			h.record(&h.followed, f.order, nil, h.now, h.now) // it takes effect when the proxy follows it
		}
	}
	h.flying = rest
}

func (h *history) drains() {
	if h.chance.Float64() < 0.02 {
		p := h.peers[h.members[h.chance.IntN(len(h.members))]]
		if p.group != nil && p.paused <= h.now {
			x := &telling{server: balancer.Server(fmt.Sprint("s", len(h.told))), peer: p, group: p.group, call: h.now}
			if h.unreplicated {
				x.kept = h.now
				if p.group.State.Drains == nil {
					p.group.State.Drains = map[balancer.Server]float64{}
				}
				p.group.State.Drains[x.server] = h.now
			} else {
				x.ticket, _ = p.group.Drain(p.clock(), x.server, true)
			}
			h.told = append(h.told, x)
		}
	}
	for _, x := range h.told {
		if x.kept > 0 || x.lost {
			continue
		}
		for _, t := range x.peer.kept {
			if t == x.ticket && x.peer.group == x.group {
				x.kept = h.now
			}
		}
		x.lost = x.peer.group != x.group
	}
	for _, id := range h.members {
		p := h.peers[id]
		if p.group == nil || p.paused > h.now || h.chance.Float64() > 0.05 || !p.group.Lease.Valid(p.clock()) {
			continue
		}
		since := min(h.now, (p.group.Lease.RenewedAt()-1000)/p.rate)
		for _, x := range h.told[max(0, len(h.told)-8):] {
			_, drains := p.group.State.Drains[x.server]
			h.record(&h.known, drainOp{x.server, true}, drains, since, h.now)
			if x.kept > 0 && !drains && h.late == "" {
				h.late = fmt.Sprintf("at %.2f %s does not know of %s, which was confirmed at %.2f", h.now, p.name(), x.server, x.kept)
			}
		}
	}
}

func playHistory(t testing.TB, seed uint64, f faults) *history {
	h := &history{town: found(t, 3+2*int(seed%2), seed), faults: f, newest: map[string]membership.Epoch{}}
	h.town.careless = f.careless
	h.heal()
	h.run(6)
	for range 15 {
		h.trouble()
		for range 60 {
			h.run(step * 3)
			h.orders()
			h.drains()
		}
	}
	h.heal()
	for range 200 {
		h.run(step * 5)
		h.orders()
		h.drains()
	}
	for _, x := range h.told {
		end := x.kept
		if end == 0 {
			end = h.now + 1 // it may have taken effect at any time, or not
		}
		h.record(&h.known, drainOp{x.server, false}, nil, x.call, end)
	}
	return h
}

func (h *history) verdict() error {
	var errs []error
	for _, c := range []struct {
		name  string
		model porcupine.Model
		ops   []porcupine.Operation
	}{{"given", leadership, h.given}, {"followed", leadership, h.followed}, {"drains", drains, h.known}} {
		if !porcupine.CheckOperations(c.model, c.ops) {
			errs = append(errs, errors.New(c.name))
		}
	}
	if h.late != "" {
		errs = append(errs, errors.New(h.late))
	}
	return errors.Join(errs...)
}

// Histories of orders that were given, of orders that proxies followed, and of drains are linearizable, whatever dies,
// stops, is cut off or pauses between its look at the lease and its order.
func TestHistories(t *testing.T) {
	followed, kept := 0, 0
	for seed := range min(*seeds, 12) {
		h := playHistory(t, seed, faults{})
		if err := h.verdict(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		followed += len(h.followed)
		for _, x := range h.told {
			if x.kept > 0 {
				kept++
			}
		}
	}
	if followed < 1000 || kept < 50 {
		t.Errorf("%d orders followed, %d drains confirmed: too few to say anything", followed, kept)
	}
}

// Each fault that is planted shows in the histories.
func TestPlantedFaultsAreCaught(t *testing.T) {
	for name, f := range map[string]faults{"a lease that ignores pauses": {careless: true}, "an epoch that is not checked": {unchecked: true},
		"a drain that is not replicated": {unreplicated: true}} {
		caught := false
		for seed := uint64(0); seed < 10 && !caught; seed++ {
			caught = playHistory(t, seed, f).verdict() != nil
		}
		if !caught {
			t.Errorf("%s is not caught in 10 days", name)
		}
	}
}
