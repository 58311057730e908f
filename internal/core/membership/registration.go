package membership

import (
	"fmt"
	"net/netip"
)

// MemberID is a coordinator's number in the group's consensus. The number of a removed coordinator is never used again.
type MemberID uint64

// Registration is a coordinator's entry in the list of the group's coordinators.
type Registration struct {
	Peer    Peer           `json:"peer"`
	Address netip.AddrPort `json:"address"` // address at which the other coordinators connect to it
	Removed bool           `json:"gone,omitempty"`
}

const maxRegistrations = 256 // in the group's lifetime, including removed ones; allows for one replacement per week for four years

func (s *State) applyRegistration(command Command) error {
	current, known := s.Registrations[command.MemberID]
	switch {
	case command.MemberID == 0 || command.Peer == "" || !command.Address.IsValid():
		return fmt.Errorf("%w: %+v", ErrInvalidCommand, command)
	case known && (current.Removed || current.Peer != command.Peer):
		return fmt.Errorf("%w: coordinator number %d belongs to %s; assign a new number to the new coordinator", ErrInvalidCommand, command.MemberID, current.Peer)
	case !known && len(s.Registrations) >= maxRegistrations:
		return fmt.Errorf("%w: more than %d registrations", ErrInvalidCommand, maxRegistrations)
	}
	for id, other := range s.Registrations {
		if id != command.MemberID && other.Peer == command.Peer && !other.Removed {
			return fmt.Errorf("%w: %s is already registered with coordinator number %d", ErrInvalidCommand, command.Peer, id)
		}
	}
	if s.Registrations == nil {
		s.Registrations = map[MemberID]Registration{}
	}
	s.Registrations[command.MemberID] = Registration{Peer: command.Peer, Address: command.Address}
	return nil
}

// applyRemoval permanently removes a coordinator. If it is still running, it stops when it applies the removal or when its lease ends: it
// can no longer renew the lease, so the other coordinators take over its proxies as they do after a failure.
func (s *State) applyRemoval(id MemberID) error {
	registration, known := s.Registrations[id]
	if !known || registration.Removed {
		return fmt.Errorf("%w: coordinator number %d is not registered", ErrInvalidCommand, id)
	}
	remaining := 0
	for _, other := range s.Registrations {
		if !other.Removed {
			remaining++
		}
	}
	if remaining <= 1 {
		return fmt.Errorf("%w: coordinator number %d is the last one in the group", ErrInvalidCommand, id)
	}
	registration.Removed = true
	s.Registrations[id] = registration
	return nil
}

// removed reports whether a peer was registered and then removed. A peer that was never registered may renew its lease.
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
