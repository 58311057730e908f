package longpoll

import "testing"

// A model of the protocol of versions, deltas and acknowledgements, which the test explores exhaustively at a small
// size: a coordinator with up to two epochs and the states 0 to 3, a proxy that may restart, up to two answers in
// flight that may be lost, duplicated and reordered, and polls that may be lost. A delta is valid for one base only.

const (
	maxState   = 3
	maxAnswers = 4 // number of answers of an epoch
)

type answerInFlight struct { // sent by the coordinator and not yet received by the proxy
	epoch, number int8
	from          int8 // number of the answer to which it is a delta; 0: full
	base, state   int8 // base -1: full
	present       bool
}

type modelState struct {
	epoch, state  int8    // epoch and state of the coordinator
	lastNumber    int8    // number of its newest answer
	sent          [2]int8 // states of the coordinator's two latest answers, by number%2; -1: none
	known         int8    // state that the coordinator assumes the proxy to hold; -1: unknown
	heldEpoch     int8    // epoch that the proxy names in polls
	heldNumber    int8    // number that the proxy names in polls; 0: none
	held          int8    // state that the proxy holds; -1: none; -2: corrupt
	heldFromEpoch int8    // epoch in which the proxy got that state
	inFlight      [2]answerInFlight
}

// steps returns all possible next states. trustVersions disables the guard under test: any version that a poll names
// counts as the latest one.
func (w modelState) steps(trustVersions bool) (all []modelState) {
	add := func(x modelState) { all = append(all, x) }
	if w.state < maxState { // the coordinator decides on a new state
		x := w
		x.state++
		add(x)
	}
	if w.epoch == 0 { // the coordinator restarts with the same tables, and numbers answers from the start
		x := w
		x.epoch = 1
		x.lastNumber = 0
		x.sent = [2]int8{-1, -1}
		x.known = -1
		add(x)
	}
	if w.heldNumber != 0 { // the proxy restarts
		x := w
		x.heldNumber = 0
		x.heldEpoch = 0
		x.held = -1
		add(x)
	}
	if w.lastNumber < maxAnswers { // a poll arrives, and is answered if anything is newer
		x := w
		from := int8(0)
		switch {
		case trustVersions:
			if x.lastNumber > 0 {
				x.known = x.sent[x.lastNumber%2]
			}
		case w.heldNumber > 0 && w.heldEpoch == w.epoch && w.heldNumber > w.lastNumber-2 && w.heldNumber <= w.lastNumber:
			x.known = x.sent[w.heldNumber%2]
			from = w.heldNumber
		default:
			x.known = -1
		}
		if x.known != x.state {
			for i := range x.inFlight {
				if x.inFlight[i].present {
					continue
				}
				y := x
				y.lastNumber++
				y.sent[y.lastNumber%2] = y.state
				y.inFlight[i] = answerInFlight{y.epoch, y.lastNumber, from, y.known, y.state, true}
				add(y)
				break
			}
		} else {
			add(x)
		}
	}
	for i, n := range w.inFlight {
		if !n.present {
			continue
		}
		x := w // the answer arrives, and may arrive again
		switch {
		case n.base == -1:
			x.held = n.state
		case x.held < n.base || x.heldFromEpoch != n.epoch: // the entries of a delta have their latest weights, so it also applies to later states
			x.held = -2
		default:
			x.held = n.state
		}
		x.heldEpoch = n.epoch
		x.heldNumber = n.number
		x.heldFromEpoch = n.epoch
		if !trustVersions && n.base != -1 && (w.heldEpoch != n.epoch || w.heldNumber < n.from || w.heldNumber >= n.number) {
			x = w // the proxy drops a delta that does not apply
		}
		add(x)
		x.inFlight[i] = answerInFlight{}
		add(x)
		lost := w
		lost.inFlight[i] = answerInFlight{}
		add(lost)
	}
	return all
}

func explore(trustVersions bool) (states int, corrupt, wrongVersion bool) {
	start := modelState{sent: [2]int8{-1, -1}, known: -1, held: -1}
	seen := map[modelState]bool{start: true}
	queue := []modelState{start}
	for len(queue) > 0 {
		w := queue[0]
		queue = queue[1:]
		corrupt = corrupt || w.held == -2
		// The proxy must hold the state of the version that it names, if the coordinator still stores that version.
		if w.heldNumber > 0 && w.heldEpoch == w.epoch && w.heldNumber > w.lastNumber-2 && w.sent[w.heldNumber%2] != w.held {
			wrongVersion = true
		}
		for _, x := range w.steps(trustVersions) {
			if !seen[x] {
				seen[x] = true
				queue = append(queue, x)
			}
		}
	}
	return len(seen), corrupt, wrongVersion
}

func TestProtocolModel(t *testing.T) {
	states, corrupt, wrongVersion := explore(false)
	if corrupt || wrongVersion {
		t.Errorf("some of %d states are invalid: corrupt table %t, wrong version named %t", states, corrupt, wrongVersion)
	}
	if states < 10_000 {
		t.Errorf("%d states were explored, want at least 10,000", states)
	}
	if _, corrupt, wrongVersion = explore(true); !corrupt && !wrongVersion {
		t.Error("no invalid state was found for a coordinator that trusts any version")
	}
}
