package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ticket of an order whose teller waits for an answer; 0 is none.
type Ticket uint64

const (
	mostPledges = 4096 // orders that wait to be agreed on; one more is refused at once
	pledgeAgain = 0.5  // seconds until an order that was not agreed on is proposed anew: its command may be lost
)

// pledge is an order on its way.
type pledge struct {
	ticket  Ticket
	command Command
	since   float64
	last    float64 // when it was last proposed
	order   uint64  // its number among the agreed ones; 0: not yet
}

// PendingOrders are orders that were told here and not answered yet: drains, their ends, changes of tenants. One is kept when it was agreed on and every living
// coordinator has renewed since it applied it: from then on no order that any of them gives ignores it, and it outlives
// any minority. Guards against a drain that is confirmed and then forgotten by a takeover, or unknown to a coordinator that
// is cut off but still holds its lease; the cost is that an answer takes some round trips, and after a death a lease.
type PendingOrders struct {
	list []*pledge
	next Ticket
	life uint64
	wait float64
}

// NewPendingOrders makes an empty list for a process of its own number. wait is how long an order may take to be kept, in seconds; then it is refused. It must be
// longer than it takes to hold a dead coordinator for dead.
func NewPendingOrders(life uint64, wait float64) *PendingOrders {
	return &PendingOrders{life: life, wait: wait}
}

// Submit takes an order, a command of kind Drain or Tenants. ok is false where too many wait.
func (p *PendingOrders) Submit(now float64, c Command) (Ticket, bool) {
	if len(p.list) >= mostPledges {
		return 0, false
	}
	p.next++
	c.ID, c.OrderedAt = p.id(p.next), now
	p.list = append(p.list, &pledge{ticket: p.next, command: c, since: now, last: now - pledgeAgain})
	return p.next, true
}

// id is an order's own among all that any coordinator is ever told.
func (p *PendingOrders) id(t Ticket) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], p.life)
	binary.BigEndian.PutUint64(b[8:], uint64(t))
	return xxhash.Sum64(b[:])
}

// DueCommands are the commands to be proposed now.
func (p *PendingOrders) DueCommands(now float64) (due []Command) {
	for _, x := range p.list {
		if x.order == 0 && now-x.last >= pledgeAgain {
			x.last = now
			due = append(due, x.command)
		}
	}
	return due
}

// ObserveCommand tells of an order that was agreed on, after the state has taken it. It returns the ticket if it was told here.
func (p *PendingOrders) ObserveCommand(c Command, s *State) (told Ticket) {
	for _, x := range p.list {
		if x.order == 0 && x.command.ID == c.ID {
			x.order, told = s.OrderCount, x.ticket
		}
	}
	return told
}

// TakeCompleted takes those that have come to an end off the list: kept, or refused since they took too long. A refused one may
// still come true; who told it tells it again, which does no harm.
func (p *PendingOrders) TakeCompleted(now float64, self Peer, s *State) (kept, refused []Ticket) {
	known := s.knownByAll(self)
	p.list = slices.DeleteFunc(p.list, func(x *pledge) bool {
		switch {
		case x.order > 0 && x.order <= known:
			kept = append(kept, x.ticket)
		case now-x.since > p.wait:
			refused = append(refused, x.ticket)
		default:
			return false
		}
		return true
	})
	return kept, refused
}

// knownByAll is the newest order that every living coordinator is known to have applied; we ourselves have all.
func (s *State) knownByAll(self Peer) uint64 {
	known := s.OrderCount
	for p, m := range s.Members {
		if m.Alive && p != self {
			known = min(known, m.AppliedOrders)
		}
	}
	return known
}
