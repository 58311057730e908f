package membership

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
)

func sit(n MemberID) Command {
	return Command{Kind: RegisterMember, MemberID: n, Peer: Peer(fmt.Sprint("c", n)), Address: netip.MustParseAddrPort(fmt.Sprint("10.0.0.", n, ":7000"))}
}

func TestSeats(t *testing.T) {
	s := &State{}
	do := func(c Command, want error) {
		t.Helper()
		if _, err := s.Apply(c); !errors.Is(err, want) {
			t.Errorf("%+v: %v", c, err)
		}
	}
	for n := MemberID(1); n <= 3; n++ {
		do(sit(n), nil)
	}
	moved := sit(2)
	moved.Address = netip.MustParseAddrPort("10.0.0.99:7000")
	do(moved, nil)
	if s.Registrations[2].Address != moved.Address {
		t.Error("a new address is not taken")
	}
	other := sit(2)
	other.Peer = "somebody"
	do(other, ErrInvalidCommand) // the number is another's
	other.MemberID, other.Peer = 9, "c2"
	do(other, ErrInvalidCommand) // the name is another's
	do(Command{Kind: RegisterMember, Peer: "x"}, ErrInvalidCommand)
	do(Command{Kind: RemoveRegistration, MemberID: 7}, ErrInvalidCommand)
	do(Command{Kind: RenewLease, Peer: "c3", Weight: 1, Renewal: 1}, nil)
	do(Command{Kind: RemoveRegistration, MemberID: 3}, nil)
	do(Command{Kind: RemoveRegistration, MemberID: 3}, ErrInvalidCommand)
	do(sit(3), ErrInvalidCommand) // gone for good
	do(Command{Kind: RenewLease, Peer: "c3", Weight: 1, Renewal: 2}, ErrInvalidCommand)
	do(Command{Kind: RemoveRegistration, MemberID: 2}, nil)
	do(Command{Kind: RemoveRegistration, MemberID: 1}, ErrInvalidCommand) // the last one
	b, err := s.Snapshot()
	var again State
	if err != nil || again.Restore(b) != nil || again.Registrations[2] != s.Registrations[2] || len(again.Registrations) != 3 {
		t.Errorf("a snapshot came back as %+v, %v", again.Registrations, err)
	}
}

func TestNextChange(t *testing.T) {
	s := &State{}
	for n := MemberID(1); n <= 4; n++ {
		if _, err := s.Apply(sit(n)); err != nil {
			t.Fatal(err)
		}
	}
	c := ConsensusConfig{Voters: []MemberID{1, 2, 3}, Commit: 1000, Match: map[MemberID]uint64{}}
	look := func(n MemberID, what ConfChange) {
		t.Helper()
		if m, w := s.NextConfChange(c); m != n || w != what {
			t.Errorf("%+v: %d, %v", c, m, w)
		}
	}
	look(4, AddLearner)
	c.ChangePending = true
	look(0, NoChange)
	c.ChangePending, c.Learners = false, []MemberID{4}
	look(0, NoChange) // it has not caught up
	c.Match[4] = 500
	look(0, NoChange)
	c.Match[4] = 990
	look(4, PromoteLearner)
	if _, err := s.Apply(Command{Kind: RemoveRegistration, MemberID: 2}); err != nil {
		t.Fatal(err)
	}
	look(2, RemoveMember) // first
	c.Voters, c.Learners = []MemberID{1, 3, 4}, nil
	look(0, NoChange)
	c.Voters = []MemberID{1, 3, 4, 8, 9}
	look(0, NoChange) // who has no seat yet is not put out
}

func TestFolders(t *testing.T) {
	f := NewDataDirs(map[MemberID]uint64{1: 77})
	look := func(n MemberID, mark, commit uint64, first bool, want error) {
		t.Helper()
		if is, err := f.Verify(n, mark, commit); is != first || !errors.Is(err, want) {
			t.Errorf("number %d, mark %d, commit %d: %t, %v", n, mark, commit, is, err)
		}
	}
	look(1, 77, 5, false, nil)
	look(1, 78, 9, false, ErrDataDirReplaced)
	look(1, 77, 4, false, ErrDataDirOutdated)
	look(1, 77, 5, false, nil)
	look(2, 99, 0, true, nil)
	look(2, 99, 0, false, nil)
	for n := MemberID(3); n <= mostFolders; n++ {
		look(n, 1, 1, true, nil)
	}
	look(mostFolders+1, 1, 1, false, ErrInvalidCommand)
}

func TestPledges(t *testing.T) {
	s, p := group(t, 1, 1), NewPendingOrders(1, 5)
	first, ok := p.Submit(100, Command{Kind: DrainServer, Server: "a", Draining: true})
	if !ok || first == 0 {
		t.Fatal("it was not taken")
	}
	due := p.DueCommands(100)
	if len(due) != 1 || len(p.DueCommands(100.1)) != 0 || len(p.DueCommands(100.6)) != 1 {
		t.Errorf("proposed %v; not twice within half a second", due)
	}
	if _, err := s.Apply(due[0]); err != nil {
		t.Fatal(err)
	}
	p.ObserveCommand(due[0], s)
	if len(p.DueCommands(102)) != 0 {
		t.Error("what was agreed on is proposed anew")
	}
	settled := func(now float64, wantKept, wantRefused []Ticket) {
		t.Helper()
		kept, refused := p.TakeCompleted(now, "c0", s)
		if !slices.Equal(kept, wantKept) || !slices.Equal(refused, wantRefused) {
			t.Errorf("kept %v, refused %v", kept, refused)
		}
	}
	settled(102, nil, nil) // c1 has not said that it knows
	if _, err := s.Apply(Command{Kind: RenewLease, Peer: "c1", Weight: 1, Renewal: 2, AppliedOrders: s.OrderCount}); err != nil {
		t.Fatal(err)
	}
	settled(102, []Ticket{first}, nil)
	settled(102, nil, nil)
	second, _ := p.Submit(103, Command{Kind: DrainServer, Server: "b", Draining: true})
	settled(107, nil, nil)
	settled(108.1, nil, []Ticket{second})
	for range mostPledges {
		if _, ok := p.Submit(109, Command{Kind: DrainServer, Server: "x", Draining: true}); !ok {
			t.Fatal("it was not taken")
		}
	}
	if _, ok := p.Submit(109, Command{Kind: DrainServer, Server: "x", Draining: true}); ok {
		t.Error("there is no limit")
	}
}

// An end of a drain that is proposed twice, since its first proposal was thought lost, does not end the next drain.
func TestADrainCountsOnce(t *testing.T) {
	s, p := group(t, 1), NewPendingOrders(7, 5)
	do := func(c Command) {
		t.Helper()
		if _, err := s.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	p.Submit(100, Command{Kind: DrainServer, Server: "a", Draining: false})
	end := p.DueCommands(100)[0]
	do(end)
	p.Submit(101, Command{Kind: DrainServer, Server: "a", Draining: true})
	again := p.DueCommands(101) // the end once more, and the new drain
	do(again[len(again)-1])
	orders := s.OrderCount
	if do(end); len(s.Drains) != 1 || s.OrderCount != orders {
		t.Errorf("drains %v after %d orders", s.Drains, s.OrderCount)
	}
	for i := range uint64(mostDone + 10) {
		do(Command{Kind: DrainServer, Server: "b", Draining: true, OrderedAt: 1, ID: 1000 + i})
	}
	if len(s.RecentOrderIDs) != mostDone {
		t.Errorf("%d are remembered", len(s.RecentOrderIDs))
	}
}

// A newcomer's part grows in steps, so that its proxies do not come all at once.
func TestANewcomersPartGrows(t *testing.T) {
	s := group(t, 1, 1)
	terms := DefaultLeaseConfig
	terms.RampUp = 8
	l := NewLease(100, "c9", 5, 1, 0, terms)
	last, epochs := 0.0, 0
	for now := 100.0; now < 112; now += 0.1 {
		for _, c := range l.DueCommands(now, s) {
			if c.Kind != RenewLease {
				continue
			}
			if c.Weight < last || c.Weight > last+0.26 {
				t.Errorf("at %.1f the weight goes from %v to %v", now, last, c.Weight)
			}
			last = c.Weight
			moved, err := s.Apply(c)
			if err != nil {
				t.Fatal(err)
			}
			if moved {
				epochs++
			}
			l.ObserveCommand(now, c, s)
		}
	}
	if last != 1 || epochs != riseSteps {
		t.Errorf("it ends at %v after %d epochs", last, epochs)
	}
	alone := &State{}
	l = NewLease(100, "c9", 5, 1, 0, terms)
	if c := l.DueCommands(100, alone); len(c) != 1 || c[0].Weight != 1 {
		t.Errorf("alone, it takes %+v", c)
	}
	if r := RampUpFor(460, 3, 600, 1600); r < 100 || r > 130 {
		t.Errorf("460 proxies with 600 lines each take %v s", r)
	}
	if RampUpFor(12, 3, 16, 1600) != 0 || RampUpFor(10, 1, 1e6, 1) != 0 || RampUpFor(1e6, 2, 1e6, 1) != longestRise {
		t.Error("small fleets wait, or large ones for ever")
	}
}

// A proxy that goes on asking another one than leads it is claimed by that one; claims end with their holder, and one that
// was decided too early is ignored.
func TestSeekersAreClaimed(t *testing.T) {
	s := group(t, 1, 1, 1)
	uid := ""
	for i := 0; uid == ""; i++ {
		if p, _ := s.Owner(fmt.Sprint("relay-", i)); p == "c0" {
			uid = fmt.Sprint("relay-", i)
		}
	}
	k := NewMisroutedProxies()
	now := 100.0
	for ; now < 105; now++ {
		if k.Observe(now, uid); len(k.DueClaims(now, "c1", s)) > 0 {
			t.Fatalf("it is claimed after %v s", now-100)
		}
	}
	now += 4 // it has found its own, and loses it again
	for from := now; ; now++ {
		k.Observe(now, uid)
		if due := k.DueClaims(now, "c1", s); len(due) > 0 {
			if now-from < seekFor {
				t.Errorf("claimed after %v s of asking", now-from)
			}
			late := due[0]
			late.Peer = "c2"
			if moved, err := s.Apply(due[0]); !moved || err != nil {
				t.Fatal(moved, err)
			}
			if p, _ := s.Owner(uid); p != "c1" || !s.Contested(uid, "c1") {
				t.Errorf("%s holds it, before its former holder knows", p)
			}
			if moved, _ := s.Apply(late); moved {
				t.Error("a claim that was decided before the other was known takes it away again")
			}
			break
		}
		if now-from > 20 {
			t.Fatal("it is never claimed")
		}
	}
	for i, p := range []Peer{"c0", "c2"} {
		if _, err := s.Apply(Command{Kind: RenewLease, Peer: p, Weight: 1, Renewal: uint64(9 + i), SeenEpoch: s.Epoch}); err != nil {
			t.Fatal(err)
		}
	}
	if s.Contested(uid, "c1") {
		t.Error("it is contested although all know")
	}
	b, err := s.Snapshot()
	var again State
	if err != nil || again.Restore(b) != nil {
		t.Fatal(err)
	}
	if p, _ := again.Owner(uid); p != "c1" {
		t.Error("a snapshot forgets the claim")
	}
	if _, err := s.Apply(Command{Kind: ExpireLease, Peer: "c1", Renewal: 1}); err != nil {
		t.Fatal(err)
	}
	if p, _ := s.Owner(uid); p != "c0" || len(s.Claims) != 0 {
		t.Errorf("after the claimer's death %s holds it", p)
	}
	if _, err := s.Apply(Command{Kind: ClaimProxies, Peer: "c1", UIDs: []string{"x"}}); !errors.Is(err, ErrInvalidCommand) {
		t.Errorf("the dead claim: %v", err)
	}
	for i := range mostSeekers + 10 {
		k.Observe(now, fmt.Sprint("x", i))
	}
	if len(k.by) > mostSeekers {
		t.Errorf("%d are remembered", len(k.by))
	}
}
