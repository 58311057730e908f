package membership

import (
	"errors"
	"fmt"
	"math"
	"testing"
)

// apply applies a command that fits the state and reports whether owners changed.
func apply(t testing.TB, s *State, c Command) (ownersChanged bool) {
	t.Helper()
	ownersChanged, err := s.Apply(c)
	if err != nil {
		t.Fatal(err)
	}
	return ownersChanged
}

// newGroup returns the state of a group of peers c0, c1, ... with these weights, all alive.
func newGroup(t testing.TB, weights ...float64) *State {
	t.Helper()
	s := &State{}
	for i, weight := range weights {
		apply(t, s, Command{Kind: RenewLease, Peer: Peer(fmt.Sprint("c", i)), Weight: weight, Renewal: 1})
	}
	return s
}

func TestOutdatedAndInvalidCommandsChangeNothing(t *testing.T) {
	s := newGroup(t, 1, 1)
	epoch := s.Epoch
	for _, c := range []Command{
		{Kind: RenewLease, Peer: "c0", Weight: 1, Renewal: 1}, // again
		{Kind: ExpireLease, Peer: "c0", Renewal: 0},           // it has renewed since
		{Kind: ExpireLease, Peer: "nobody", Renewal: 1},
		{Kind: ReleaseLease, Peer: "nobody"},
	} {
		if moved, err := s.Apply(c); moved || err != nil || s.Epoch != epoch {
			t.Errorf("%+v: moved %t, %v", c, moved, err)
		}
	}
	for _, c := range []Command{
		{},
		{Kind: 9},
		{Kind: RenewLease, Peer: "x"},
		{Kind: RenewLease, Weight: 1},
		{Kind: RenewLease, Peer: "x", Weight: math.Inf(1)},
		{Kind: RenewLease, Peer: "x", Weight: math.NaN()},
	} {
		if _, err := s.Apply(c); !errors.Is(err, ErrInvalidCommand) || s.Epoch != epoch {
			t.Errorf("%+v: %v", c, err)
		}
	}
	if _, err := Decode([]byte("{")); !errors.Is(err, ErrInvalidCommand) {
		t.Errorf("%v", err)
	}
}
