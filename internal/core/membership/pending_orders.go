package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ticket identifies a pending order to its submitter, who waits for the outcome. 0 means no order.
type Ticket uint64

const (
	maxPendingOrders = 4096
	proposeInterval  = 0.5 // seconds between two proposals of an uncommitted order, since a proposal may be lost
)

type pendingOrder struct {
	ticket         Ticket
	command        Command
	submittedAt    float64
	lastProposedAt float64
	orderNumber    uint64 // State.OrderCount just after the order was committed; 0: not committed
	outcomeUnknown bool   // the order was committed, but its outcome is not known here
}

// PendingOrders holds the orders that were submitted to this coordinator and are not completed yet: drains, ends of drains, and tenant
// changes. An order is accepted once it is committed and every live coordinator has renewed its lease after applying it: from then on no
// coordinator issues commands that ignore it, and it survives the failure of any minority. Without this, a confirmed drain could be lost
// in a takeover, or be unknown to a coordinator that is cut off but still holds its lease. The cost is that the response takes some round
// trips and, after a failure, the remaining time of a lease.
type PendingOrders struct {
	orders      []*pendingOrder // oldest first
	lastTicket  Ticket
	incarnation uint64
	timeout     float64
}

// NewPendingOrders returns an empty list. incarnation must be unique to this process. timeout is the time in seconds after which an order
// that was not accepted is rejected; it must exceed the time to detect a coordinator's failure.
func NewPendingOrders(incarnation uint64, timeout float64) *PendingOrders {
	return &PendingOrders{incarnation: incarnation, timeout: timeout}
}

// Submit adds an order, a command of kind DrainServer or ChangeTenant. ok is false if too many orders are pending.
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

// orderID returns an ID that is unique among the orders submitted to all coordinators.
func (p *PendingOrders) orderID(ticket Ticket) uint64 {
	var seed [16]byte
	binary.BigEndian.PutUint64(seed[:], p.incarnation)
	binary.BigEndian.PutUint64(seed[8:], uint64(ticket))
	return xxhash.Sum64(seed[:])
}

// DueCommands returns the commands that have to be proposed now.
func (p *PendingOrders) DueCommands(now float64) (due []Command) {
	for _, order := range p.orders {
		if order.orderNumber == 0 && now-order.lastProposedAt >= proposeInterval {
			order.lastProposedAt = now
			due = append(due, order.command)
		}
	}
	return due
}

// ObserveCommand marks an order as committed, after state has applied it. It returns the order's ticket, or 0 if it is not pending here.
func (p *PendingOrders) ObserveCommand(command Command, state *State) (ticket Ticket) {
	for _, order := range p.orders {
		if order.orderNumber == 0 && order.command.ID == command.ID {
			order.orderNumber = state.OrderCount
			ticket = order.ticket
		}
	}
	return ticket
}

// MarkOutcomeUnknown marks an order that was committed with an outcome that is not known here. TakeCompleted returns it as rejected.
func (p *PendingOrders) MarkOutcomeUnknown(ticket Ticket) {
	for _, order := range p.orders {
		if order.ticket == ticket {
			order.outcomeUnknown = true
		}
	}
}

// TakeCompleted removes and returns the accepted orders and the rejected ones, which have timed out or have an unknown outcome. A rejected
// order may have been committed, or may be committed later; submitting it again does no harm.
func (p *PendingOrders) TakeCompleted(now float64, self Peer, state *State) (accepted, rejected []Ticket) {
	appliedByAll := state.ordersAppliedByAll(self)
	p.orders = slices.DeleteFunc(p.orders, func(order *pendingOrder) bool {
		switch {
		case order.outcomeUnknown:
			rejected = append(rejected, order.ticket)
		case order.orderNumber > 0 && order.orderNumber <= appliedByAll:
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

// ordersAppliedByAll returns the number of orders that every live coordinator is known to have applied. self has applied all of them.
func (s *State) ordersAppliedByAll(self Peer) uint64 {
	applied := s.OrderCount
	for peer, member := range s.Members {
		if member.Alive && peer != self {
			applied = min(applied, member.AppliedOrders)
		}
	}
	return applied
}
