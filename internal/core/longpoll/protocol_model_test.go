package longpoll

import "testing"

// The protocol of versions, deltas and acknowledgements as a model, explored exhaustively at a small size: a coordinator
// of up to two epochs with states 0 to 3, a proxy that may restart, up to two answers in flight that may be lost,
// duplicated and reordered, and polls that may be lost. A delta is right for one base only.

const (
	maxState   = 3
	maxAnswers = 4 // answers numbered
)

type flight struct { // an answer in flight
	epoch, number int8
	from          int8 // number of the answer that it is a delta to; 0: full
	base, state   int8 // base -1: full
	present       bool
}

type modelState struct {
	epoch, state  int8    // of the coordinator
	lastNumber    int8    // number of its newest answer
	sent          [2]int8 // states of its two latest answers, by number%2; -1: none
	known         int8    // state that the coordinator takes the proxy to hold; -1: nothing known
	heldEpoch     int8    // what the proxy names
	heldNumber    int8    // 0: nothing
	held          int8    // state that the proxy holds; -1: nothing; -2: corrupt
	heldFromEpoch int8    // epoch of that state
	inFlight      [2]flight
}

// steps returns all states that may follow. believe disables the guard: any named version counts as the newest.
func (w modelState) steps(believe bool) (all []modelState) {
	add := func(x modelState) { all = append(all, x) }
	if w.state < maxState { // a decision
		x := w
		x.state++
		add(x)
	}
	if w.epoch == 0 { // a restart: the same tables, numbered from the start
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
	if w.lastNumber < maxAnswers { // a poll that arrives and is answered, if anything is newer
		x := w
		from := int8(0)
		switch {
		case believe:
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
				y.inFlight[i] = flight{y.epoch, y.lastNumber, from, y.known, y.state, true}
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
		x := w // it arrives, and may arrive again
		switch {
		case n.base == -1:
			x.held = n.state
		case x.held < n.base || x.heldFromEpoch != n.epoch: // entries carry their newest weights, so that a later state will do
			x.held = -2
		default:
			x.held = n.state
		}
		x.heldEpoch = n.epoch
		x.heldNumber = n.number
		x.heldFromEpoch = n.epoch
		if !believe && n.base != -1 && (w.heldEpoch != n.epoch || w.heldNumber < n.from || w.heldNumber >= n.number) {
			x = w // the proxy drops a delta that does not apply
		}
		add(x)
		x.inFlight[i] = flight{}
		add(x)
		lost := w
		lost.inFlight[i] = flight{}
		add(lost)
	}
	return all
}

func explore(believe bool) (states int, corrupt, claimed bool) {
	start := modelState{sent: [2]int8{-1, -1}, known: -1, held: -1}
	seen := map[modelState]bool{start: true}
	queue := []modelState{start}
	for len(queue) > 0 {
		w := queue[0]
		queue = queue[1:]
		corrupt = corrupt || w.held == -2
		// What the proxy names is what it holds: the state that was sent under that number, if it is remembered.
		if w.heldNumber > 0 && w.heldEpoch == w.epoch && w.heldNumber > w.lastNumber-2 && w.sent[w.heldNumber%2] != w.held {
			claimed = true
		}
		for _, x := range w.steps(believe) {
			if !seen[x] {
				seen[x] = true
				queue = append(queue, x)
			}
		}
	}
	return len(seen), corrupt, claimed
}

func TestProtocolModel(t *testing.T) {
	states, corrupt, claimed := explore(false)
	if corrupt || claimed {
		t.Errorf("of %d states some are wrong: corrupt %t, a false claim %t", states, corrupt, claimed)
	}
	if states < 10_000 {
		t.Errorf("only %d states were explored", states)
	}
	if _, corrupt, claimed = explore(true); !corrupt && !claimed {
		t.Error("no fault was found in a coordinator that believes any version")
	}
}
