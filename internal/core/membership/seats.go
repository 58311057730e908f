package membership

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
)

// Number of a coordinator in the group's consensus. A number whose seat was taken away never comes back.
type Number uint64

// Seat is a coordinator's place in the group.
type Seat struct {
	Peer    Peer           `json:"peer"`
	Address netip.AddrPort `json:"address"` // that the others dial
	Gone    bool           `json:"gone,omitempty"`
}

// Config is who takes part in consensus, as its leader knows it.
type Config struct {
	Voters, Learners []Number
	Match            map[Number]uint64 // newest entry that each is known to have
	Commit           uint64
	Changing         bool // a change is under way
}

// Change is what the leader is to do next about who takes part.
type Change int

const (
	NoChange Change = iota
	Learn           // take a newcomer in without a vote
	Promote         // give it a vote: it has caught up
	Remove
)

const (
	mostSeats   = 256 // that were ever given; a group that replaces a coordinator a week is full after four years
	mostVoters  = 7   // more make every agreement slower and no safer
	learnerLags = 64  // entries by which a newcomer may be behind when it gets a vote: some seconds of renewals
)

func (s *State) seat(c Command) error {
	old, known := s.Seats[c.Number]
	switch {
	case c.Number == 0 || c.Peer == "" || !c.Address.IsValid():
		return fmt.Errorf("%w: %+v", ErrCommand, c)
	case known && (old.Gone || old.Peer != c.Peer):
		return fmt.Errorf("%w: number %d was %s's; a newcomer needs a new one", ErrCommand, c.Number, old.Peer)
	case !known && len(s.Seats) >= mostSeats:
		return fmt.Errorf("%w: %d seats were given", ErrCommand, mostSeats)
	}
	for n, o := range s.Seats {
		if n != c.Number && o.Peer == c.Peer && !o.Gone {
			return fmt.Errorf("%w: %s has number %d", ErrCommand, c.Peer, n)
		}
	}
	if s.Seats == nil {
		s.Seats = map[Number]Seat{}
	}
	s.Seats[c.Number] = Seat{Peer: c.Peer, Address: c.Address}
	return nil
}

// unseat takes a coordinator out for good. One that still lives stops when it hears of it, or when its lease ends: it can't
// be renewed any more, so the others take its proxies over as from one that died.
func (s *State) unseat(n Number) error {
	old, known := s.Seats[n]
	left := 0
	for _, o := range s.Seats {
		if !o.Gone {
			left++
		}
	}
	if !known || old.Gone {
		return fmt.Errorf("%w: nobody has number %d", ErrCommand, n)
	}
	if left <= 1 {
		return fmt.Errorf("%w: number %d is the last one", ErrCommand, n)
	}
	old.Gone = true
	s.Seats[n] = old
	return nil
}

// seated tells whether a peer may renew: it may not once its seat was taken away.
func (s *State) seated(p Peer) bool {
	gone := false
	for _, o := range s.Seats {
		if o.Peer == p && !o.Gone {
			return true
		}
		gone = gone || o.Peer == p
	}
	return !gone
}

// NextChange is what the leader of consensus is to do about who takes part. It follows from the state and the
// configuration alone, so that a new leader goes on where a former one stopped. A newcomer learns before it votes: with a
// vote and an empty log it would have to be waited for by every agreement.
func (s *State) NextChange(c Config) (Number, Change) {
	if c.Changing {
		return 0, NoChange
	}
	numbers := make([]Number, 0, len(s.Seats))
	for n := range s.Seats {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers { // those who go first: a majority of fewer is easier to reach
		if s.Seats[n].Gone && (slices.Contains(c.Voters, n) || slices.Contains(c.Learners, n)) {
			return n, Remove
		}
	}
	for _, n := range numbers {
		switch {
		case s.Seats[n].Gone || slices.Contains(c.Voters, n):
		case slices.Contains(c.Learners, n):
			if c.Match[n]+learnerLags >= c.Commit && c.Match[n] > 0 && len(c.Voters) < mostVoters {
				return n, Promote
			}
		default:
			return n, Learn
		}
	}
	return 0, NoChange
}

var (
	// ErrEmptied says that a coordinator speaks under a number whose folder was another one.
	ErrEmptied = errors.New("its folder is not the one that it had under this number: it needs a new number")
	// ErrOlder says that a coordinator's folder is older than it was.
	ErrOlder = errors.New("its folder is older than it was: it needs a new number")
)

const mostFolders = mostSeats // that are remembered; a number beyond is refused

// Folders knows by which folder each number speaks, and how far it had got. A folder that was emptied, or put back from a
// copy, has forgotten whom it has voted for and what it has confirmed: with its vote, what was agreed on could be lost.
// Guards against that; it does harm where somebody moves a number to a new folder on purpose, who is told to take a new
// number.
type Folders struct {
	marks   map[Number]uint64
	commits map[Number]uint64
}

// NewFolders goes on with the marks that were kept.
func NewFolders(kept map[Number]uint64) *Folders {
	f := &Folders{marks: map[Number]uint64{}, commits: map[Number]uint64{}}
	for n, m := range kept {
		f.marks[n] = m
	}
	return f
}

// Admit tells whether a number may speak by a folder's mark, with its newest durable agreement. first says that the mark
// is new, and to be kept before anything follows from it.
func (f *Folders) Admit(n Number, mark, commit uint64) (first bool, err error) {
	known, ok := f.marks[n]
	switch {
	case ok && known != mark:
		return false, fmt.Errorf("number %d: %w", n, ErrEmptied)
	case commit < f.commits[n]:
		return false, fmt.Errorf("number %d: %w", n, ErrOlder)
	case !ok && len(f.marks) >= mostFolders:
		return false, fmt.Errorf("%w: over %d numbers", ErrCommand, mostFolders)
	}
	f.marks[n], f.commits[n] = mark, commit
	return !ok, nil
}
