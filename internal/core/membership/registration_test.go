package membership

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
)

func registerCommand(id MemberID) Command {
	return Command{Kind: RegisterMember, MemberID: id, Peer: Peer(fmt.Sprint("c", id)), Address: netip.MustParseAddrPort(fmt.Sprint("10.0.0.", id, ":7000"))}
}

func TestRegistrations(t *testing.T) {
	s := &State{}
	expect := func(c Command, want error) {
		t.Helper()
		if _, err := s.Apply(c); !errors.Is(err, want) {
			t.Errorf("applying %+v: unexpected error %v", c, err)
		}
	}
	for id := MemberID(1); id <= 3; id++ {
		expect(registerCommand(id), nil)
	}
	moved := registerCommand(2)
	moved.Address = netip.MustParseAddrPort("10.0.0.99:7000")
	expect(moved, nil)
	if s.Registrations[2].Address != moved.Address {
		t.Error("a new address is not applied")
	}
	other := registerCommand(2)
	other.Peer = "other"
	expect(other, ErrInvalidCommand) // the number belongs to another coordinator
	other.MemberID = 9
	other.Peer = "c2"
	expect(other, ErrInvalidCommand) // the name belongs to another coordinator
	expect(Command{Kind: RegisterMember, Peer: "x"}, ErrInvalidCommand)
	expect(Command{Kind: RemoveRegistration, MemberID: 7}, ErrInvalidCommand)
	expect(Command{Kind: RenewLease, Peer: "c3", Weight: 1, Renewal: 1}, nil)
	expect(Command{Kind: RemoveRegistration, MemberID: 3}, nil)
	expect(Command{Kind: RemoveRegistration, MemberID: 3}, ErrInvalidCommand)
	expect(registerCommand(3), ErrInvalidCommand) // removed permanently
	expect(Command{Kind: RenewLease, Peer: "c3", Weight: 1, Renewal: 2}, ErrInvalidCommand)
	expect(Command{Kind: RemoveRegistration, MemberID: 2}, nil)
	expect(Command{Kind: RemoveRegistration, MemberID: 1}, ErrInvalidCommand) // the last coordinator
	snapshot, err := s.Snapshot()
	var again State
	if err != nil || again.Restore(snapshot) != nil || again.Registrations[2] != s.Registrations[2] || len(again.Registrations) != 3 {
		t.Errorf("the registrations after restoring a snapshot: %+v, want the same three; error %v", again.Registrations, err)
	}
}
