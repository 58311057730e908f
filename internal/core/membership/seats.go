package membership

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
)

// MemberID of a coordinator in the group's consensus. A number whose seat was taken away never comes back.
type MemberID uint64

// Registration is a coordinator's place in the group.
type Registration struct {
	Peer    Peer           `json:"peer"`
	Address netip.AddrPort `json:"address"` // that the others dial
	Removed bool           `json:"gone,omitempty"`
}

// ConsensusConfig is who takes part in consensus, as its leader knows it.
type ConsensusConfig struct {
	Voters, Learners []MemberID
	Match            map[MemberID]uint64 // newest entry that each is known to have
	Commit           uint64
	ChangePending    bool // a change is under way
}

// ConfChange is what the leader is to do next about who takes part.
type ConfChange int

const (
	NoChange       ConfChange = iota
	AddLearner                // take a newcomer in without a vote
	PromoteLearner            // give it a vote: it has caught up
	RemoveMember
)

const (
	mostSeats   = 256 // that were ever given; a group that replaces a coordinator a week is full after four years
	mostVoters  = 7   // more make every agreement slower and no safer
	learnerLags = 64  // entries by which a newcomer may be behind when it gets a vote: some seconds of renewals
)

func (s *State) seat(c Command) error {
	old, known := s.Registrations[c.MemberID]
	switch {
	case c.MemberID == 0 || c.Peer == "" || !c.Address.IsValid():
		return fmt.Errorf("%w: %+v", ErrInvalidCommand, c)
	case known && (old.Removed || old.Peer != c.Peer):
		return fmt.Errorf("%w: number %d was %s's; a newcomer needs a new one", ErrInvalidCommand, c.MemberID, old.Peer)
	case !known && len(s.Registrations) >= mostSeats:
		return fmt.Errorf("%w: %d seats were given", ErrInvalidCommand, mostSeats)
	}
	for n, o := range s.Registrations {
		if n != c.MemberID && o.Peer == c.Peer && !o.Removed {
			return fmt.Errorf("%w: %s has number %d", ErrInvalidCommand, c.Peer, n)
		}
	}
	if s.Registrations == nil {
		s.Registrations = map[MemberID]Registration{}
	}
	s.Registrations[c.MemberID] = Registration{Peer: c.Peer, Address: c.Address}
	return nil
}

// unseat takes a coordinator out for good. One that still lives stops when it hears of it, or when its lease ends: it can't
// be renewed any more, so the others take its proxies over as from one that died.
func (s *State) unseat(n MemberID) error {
	old, known := s.Registrations[n]
	left := 0
	for _, o := range s.Registrations {
		if !o.Removed {
			left++
		}
	}
	if !known || old.Removed {
		return fmt.Errorf("%w: nobody has number %d", ErrInvalidCommand, n)
	}
	if left <= 1 {
		return fmt.Errorf("%w: number %d is the last one", ErrInvalidCommand, n)
	}
	old.Removed = true
	s.Registrations[n] = old
	return nil
}

// seated tells whether a peer may renew: it may not once its seat was taken away.
func (s *State) seated(p Peer) bool {
	gone := false
	for _, o := range s.Registrations {
		if o.Peer == p && !o.Removed {
			return true
		}
		gone = gone || o.Peer == p
	}
	return !gone
}

// NextConfChange is what the leader of consensus is to do about who takes part. It follows from the state and the
// configuration alone, so that a new leader goes on where a former one stopped. A newcomer learns before it votes: with a
// vote and an empty log it would have to be waited for by every agreement.
func (s *State) NextConfChange(c ConsensusConfig) (MemberID, ConfChange) {
	if c.ChangePending {
		return 0, NoChange
	}
	numbers := make([]MemberID, 0, len(s.Registrations))
	for n := range s.Registrations {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers { // those who go first: a majority of fewer is easier to reach
		if s.Registrations[n].Removed && (slices.Contains(c.Voters, n) || slices.Contains(c.Learners, n)) {
			return n, RemoveMember
		}
	}
	for _, n := range numbers {
		switch {
		case s.Registrations[n].Removed || slices.Contains(c.Voters, n):
		case slices.Contains(c.Learners, n):
			if c.Match[n]+learnerLags >= c.Commit && c.Match[n] > 0 && len(c.Voters) < mostVoters {
				return n, PromoteLearner
			}
		default:
			return n, AddLearner
		}
	}
	return 0, NoChange
}

var (
	// ErrDataDirReplaced says that a coordinator speaks under a number whose folder was another one.
	ErrDataDirReplaced = errors.New("its folder is not the one that it had under this number: it needs a new number")
	// ErrDataDirOutdated says that a coordinator's folder is older than it was.
	ErrDataDirOutdated = errors.New("its folder is older than it was: it needs a new number")
)

const mostFolders = mostSeats // that are remembered; a number beyond is refused

// DataDirs knows by which folder each number speaks, and how far it had got. A folder that was emptied, or put back from a
// copy, has forgotten whom it has voted for and what it has confirmed: with its vote, what was agreed on could be lost.
// Guards against that; it does harm where somebody moves a number to a new folder on purpose, who is told to take a new
// number.
type DataDirs struct {
	marks   map[MemberID]uint64
	commits map[MemberID]uint64
}

// NewDataDirs goes on with the marks that were kept.
func NewDataDirs(kept map[MemberID]uint64) *DataDirs {
	f := &DataDirs{marks: map[MemberID]uint64{}, commits: map[MemberID]uint64{}}
	for n, m := range kept {
		f.marks[n] = m
	}
	return f
}

// Verify tells whether a number may speak by a folder's mark, with its newest durable agreement. first says that the mark
// is new, and to be kept before anything follows from it.
func (f *DataDirs) Verify(n MemberID, mark, commit uint64) (first bool, err error) {
	known, ok := f.marks[n]
	switch {
	case ok && known != mark:
		return false, fmt.Errorf("number %d: %w", n, ErrDataDirReplaced)
	case commit < f.commits[n]:
		return false, fmt.Errorf("number %d: %w", n, ErrDataDirOutdated)
	case !ok && len(f.marks) >= mostFolders:
		return false, fmt.Errorf("%w: over %d numbers", ErrInvalidCommand, mostFolders)
	}
	f.marks[n], f.commits[n] = mark, commit
	return !ok, nil
}
