package membership

import (
	"slices"
	"testing"
)

func TestPendingOrders(t *testing.T) {
	s := newGroup(t, 1, 1)
	p := NewPendingOrders(1, 5)
	first, ok := p.Submit(100, Command{Kind: DrainServer, Server: "a", Draining: true})
	if !ok || first == 0 {
		t.Fatal("the order was not accepted for submission")
	}
	due := p.DueCommands(100)
	if len(due) != 1 || len(p.DueCommands(100.1)) != 0 || len(p.DueCommands(100.6)) != 1 {
		t.Errorf("proposed %v, want one proposal per half second", due)
	}
	apply(t, s, due[0])
	p.ObserveCommand(due[0], s)
	if len(p.DueCommands(102)) != 0 {
		t.Error("a committed order was proposed again")
	}
	completed := func(now float64, wantAccepted, wantRejected []Ticket) {
		t.Helper()
		accepted, rejected := p.TakeCompleted(now, "c0", s)
		if !slices.Equal(accepted, wantAccepted) || !slices.Equal(rejected, wantRejected) {
			t.Errorf("completed orders are accepted %v, rejected %v, not as expected", accepted, rejected)
		}
	}
	completed(102, nil, nil) // c1 is not known to have applied the order
	apply(t, s, Command{Kind: RenewLease, Peer: "c1", Weight: 1, Renewal: 2, AppliedOrders: s.OrderCount})
	completed(102, []Ticket{first}, nil)
	completed(102, nil, nil)
	second, _ := p.Submit(103, Command{Kind: DrainServer, Server: "b", Draining: true})
	completed(107, nil, nil)
	completed(108.1, nil, []Ticket{second})
	for range maxPendingOrders {
		if _, ok := p.Submit(109, Command{Kind: DrainServer, Server: "x", Draining: true}); !ok {
			t.Fatal("the order was not accepted for submission")
		}
	}
	if _, ok := p.Submit(109, Command{Kind: DrainServer, Server: "x", Draining: true}); ok {
		t.Error("the number of pending orders is unlimited")
	}
}

// The end of a drain that is proposed twice, because its first proposal seemed lost, must not end the next drain of the server.
func TestOrderIsAppliedOnce(t *testing.T) {
	s := newGroup(t, 1)
	p := NewPendingOrders(7, 5)
	p.Submit(100, Command{Kind: DrainServer, Server: "a", Draining: false})
	end := p.DueCommands(100)[0]
	apply(t, s, end)
	p.Submit(101, Command{Kind: DrainServer, Server: "a", Draining: true})
	due := p.DueCommands(101) // the end again, and the new drain
	apply(t, s, due[len(due)-1])
	orders := s.OrderCount
	if apply(t, s, end); len(s.Drains) != 1 || s.OrderCount != orders {
		t.Errorf("drains %v after %d orders, want one drain and no further order", s.Drains, s.OrderCount)
	}
	for i := range uint64(maxRecentOrders + 10) {
		apply(t, s, Command{Kind: DrainServer, Server: "b", Draining: true, OrderedAt: 1, ID: 1000 + i})
	}
	if len(s.RecentOrderIDs) != maxRecentOrders {
		t.Errorf("%d order IDs are stored, want the maximum", len(s.RecentOrderIDs))
	}
}
