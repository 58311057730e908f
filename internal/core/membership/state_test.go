package membership

import (
	"errors"
	"fmt"
	"math"
	"testing"
)

// apply applies a command, which must be valid, and reports whether owners may have changed.
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
		{Kind: RenewLease, Peer: "c0", Weight: 1, Renewal: 1}, // repeated
		{Kind: ExpireLease, Peer: "c0", Renewal: 0},           // c0 has renewed its lease since
		{Kind: ExpireLease, Peer: "unknown", Renewal: 1},
		{Kind: ReleaseLease, Peer: "unknown"},
	} {
		if ownersChanged, err := s.Apply(c); ownersChanged || err != nil || s.Epoch != epoch {
			t.Errorf("%+v: owners changed: %t, error %v; want false, no error, and the same epoch", c, ownersChanged, err)
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
			t.Errorf("%+v: %v, want ErrInvalidCommand", c, err)
		}
	}
	if _, err := Decode([]byte("{")); !errors.Is(err, ErrInvalidCommand) {
		t.Errorf("decoding a truncated command: %v, want ErrInvalidCommand", err)
	}
}
