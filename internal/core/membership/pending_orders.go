package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ticket identifies an order whose submitter waits for the outcome; 0 is none.
type Ticket uint64

const (
	maxPendingOrders = 4096
	proposeInterval  = 0.5 // seconds between two proposals of an order that is not committed yet: a proposal may be lost
)

type pendingOrder struct {
	ticket         Ticket
	command        Command
	submittedAt    float64
	lastProposedAt float64
	number         uint64 // State.OrderCount once it was committed; 0 before
	outcomeLost    bool   // it was committed, and its outcome is not known here
}

// PendingOrders are the orders that were submitted to this coordinator and are not completed yet: drains, their ends, and changes of
// tenants. An order is accepted once it was committed and every living coordinator has renewed its lease since applying it: from then on
// no coordinator gives an order that ignores it, and it survives any minority of failures. Guards against a drain that is confirmed and
// then forgotten by a takeover, or unknown to a coordinator that is cut off but still holds its lease; the cost is that an answer takes
// some round trips, and after a failure the rest of a lease.
type PendingOrders struct {
	orders      []*pendingOrder // oldest first
	lastTicket  Ticket
	incarnation uint64
	timeout     float64
}

// NewPendingOrders returns an empty list. incarnation is unique to this process. timeout is the number of seconds after which an order
// that is not accepted is rejected; it must be longer than it takes to detect a dead coordinator.
func NewPendingOrders(incarnation uint64, timeout float64) *PendingOrders {
	return &PendingOrders{incarnation: incarnation, timeout: timeout}
}

// Submit takes an order, a command of kind DrainServer or ChangeTenant. ok is false where too many orders are pending.
func (p *PendingOrders) Submit(now float64, command Command) (ticket Ticket, ok bool) {
	if len(p.orders) >= maxPendingOrders {
		return 0, false
	}
	p.lastTicket++
	command.ID = p.orderID(p.lastTicket)
	command.OrderedAt = now
	p.orders = append(p.orders, &pendingOrder{
		ticket:         p.lastTicket,
		command:        command,
		submittedAt:    now,
		lastProposedAt: now - proposeInterval,
	})
	return p.lastTicket, true
}

// orderID returns an ID that no other order to any coordinator has.
func (p *PendingOrders) orderID(ticket Ticket) uint64 {
	var seed [16]byte
	binary.BigEndian.PutUint64(seed[:], p.incarnation)
	binary.BigEndian.PutUint64(seed[8:], uint64(ticket))
	return xxhash.Sum64(seed[:])
}

// DueCommands returns the commands that have to be proposed now.
func (p *PendingOrders) DueCommands(now float64) (due []Command) {
	for _, order := range p.orders {
		if order.number == 0 && now-order.lastProposedAt >= proposeInterval {
			order.lastProposedAt = now
			due = append(due, order.command)
		}
	}
	return due
}

// ObserveCommand takes a committed order after state has applied it. It returns the order's ticket, or 0 if it was submitted elsewhere.
func (p *PendingOrders) ObserveCommand(command Command, state *State) (ticket Ticket) {
	for _, order := range p.orders {
		if order.number == 0 && order.command.ID == command.ID {
			order.number = state.OrderCount
			ticket = order.ticket
		}
	}
	return ticket
}

// MarkOutcomeUnknown says that an order was committed, and that its outcome is not known here. It counts as rejected.
func (p *PendingOrders) MarkOutcomeUnknown(ticket Ticket) {
	for _, order := range p.orders {
		if order.ticket == ticket {
			order.outcomeLost = true
		}
	}
}

// TakeCompleted removes and returns the orders that are accepted, and those that are rejected because they took too long, or because
// their outcome is lost. A rejected order may have been committed, or be committed later; submitting it again does no harm.
func (p *PendingOrders) TakeCompleted(now float64, self Peer, state *State) (accepted, rejected []Ticket) {
	appliedByAll := state.ordersAppliedByAll(self)
	p.orders = slices.DeleteFunc(p.orders, func(order *pendingOrder) bool {
		switch {
		case order.outcomeLost:
			rejected = append(rejected, order.ticket)
		case order.number > 0 && order.number <= appliedByAll:
			accepted = append(accepted, order.ticket)
		case now-order.submittedAt > p.timeout:
			rejected = append(rejected, order.ticket)
		default:
			return false
		}
		return true
	})
	return accepted, rejected
}

// ordersAppliedByAll returns the number of the newest order that every living coordinator is known to have applied. self has applied all.
func (s *State) ordersAppliedByAll(self Peer) uint64 {
	applied := s.OrderCount
	for peer, member := range s.Members {
		if member.Alive && peer != self {
			applied = min(applied, member.AppliedOrders)
		}
	}
	return applied
}
