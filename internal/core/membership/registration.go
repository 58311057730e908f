package membership

import (
	"fmt"
	"net/netip"
)

// MemberID is a coordinator's number in the group's consensus. A number that was removed is never used again.
type MemberID uint64

// Registration is a coordinator's entry in the group.
type Registration struct {
	Peer    Peer           `json:"peer"`
	Address netip.AddrPort `json:"address"` // that the other coordinators dial
	Removed bool           `json:"gone,omitempty"`
}

const maxRegistrations = 256 // ever, removed ones included: enough to replace one coordinator a week for four years

func (s *State) applyRegistration(command Command) error {
	current, known := s.Registrations[command.MemberID]
	switch {
	case command.MemberID == 0 || command.Peer == "" || !command.Address.IsValid():
		return fmt.Errorf("%w: %+v", ErrInvalidCommand, command)
	case known && (current.Removed || current.Peer != command.Peer):
		return fmt.Errorf("%w: number %d belongs to %s; a new coordinator needs a new number", ErrInvalidCommand, command.MemberID, current.Peer)
	case !known && len(s.Registrations) >= maxRegistrations:
		return fmt.Errorf("%w: over %d registrations", ErrInvalidCommand, maxRegistrations)
	}
	for id, other := range s.Registrations {
		if id != command.MemberID && other.Peer == command.Peer && !other.Removed {
			return fmt.Errorf("%w: %s has number %d", ErrInvalidCommand, command.Peer, id)
		}
	}
	if s.Registrations == nil {
		s.Registrations = map[MemberID]Registration{}
	}
	s.Registrations[command.MemberID] = Registration{Peer: command.Peer, Address: command.Address}
	return nil
}

// applyRemoval removes a coordinator for good. If it is still running it stops when it hears of the removal or when its lease ends; it
// cannot renew any more, so the others take its proxies over as from one that died.
func (s *State) applyRemoval(id MemberID) error {
	registration, known := s.Registrations[id]
	if !known || registration.Removed {
		return fmt.Errorf("%w: number %d is not registered", ErrInvalidCommand, id)
	}
	remaining := 0
	for _, other := range s.Registrations {
		if !other.Removed {
			remaining++
		}
	}
	if remaining <= 1 {
		return fmt.Errorf("%w: number %d is the last one", ErrInvalidCommand, id)
	}
	registration.Removed = true
	s.Registrations[id] = registration
	return nil
}

// removed tells whether a peer was registered and is no more. A peer that never was may renew its lease.
func (s *State) removed(peer Peer) bool {
	removed := false
	for _, registration := range s.Registrations {
		if registration.Peer != peer {
			continue
		}
		if !registration.Removed {
			return false
		}
		removed = true
	}
	return removed
}
