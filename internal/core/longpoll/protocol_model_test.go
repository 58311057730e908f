package longpoll

import "testing"

// The protocol of versions, deltas and acknowledgements as a model, explored exhaustively at a small size: a coordinator
// of up to two lives with states 0 to 3, a proxy that may start anew, up to two answers on their way that may be lost,
// doubled and overtake each other, and polls that may be lost. What is sent as a delta is right for one base only.

const (
	mostState = 3
	mostSent  = 4 // answers numbered
)

type note struct { // an answer on its way
	life, number int8
	from         int8 // number of the answer that it is a delta to; 0: full
	base, state  int8 // base -1: full
	there        bool
}

type world struct {
	life, state int8    // of the coordinator
	next        int8    // number of its newest answer
	sent        [2]int8 // states of its two latest answers, by number%2; -1: none
	known       int8    // state that it takes the proxy to hold; -1: nothing known
	heldLife    int8    // what the proxy names
	heldNumber  int8    // 0: nothing
	held        int8    // what it really holds: a state; -1: nothing; -2: corrupt
	heldOf      int8    // of which life that is
	fly         [2]note
}

// step yields all that may happen next. believe leaves the guard out: any version named is taken for the newest.
func (w world) steps(believe bool) (all []world) {
	add := func(x world) { all = append(all, x) }
	if w.state < mostState { // a decision
		x := w
		x.state++
		add(x)
	}
	if w.life == 0 { // another life: it has the same tables, and numbers from the start
		x := w
		x.life, x.next, x.sent, x.known = 1, 0, [2]int8{-1, -1}, -1
		add(x)
	}
	if w.heldNumber != 0 { // the proxy starts anew
		x := w
		x.heldNumber, x.heldLife, x.held = 0, 0, -1
		add(x)
	}
	if w.next < mostSent { // a poll that arrives and is answered, if anything is newer
		x := w
		from := int8(0)
		switch {
		case believe:
			if x.next > 0 {
				x.known = x.sent[x.next%2]
			}
		case w.heldNumber > 0 && w.heldLife == w.life && w.heldNumber > w.next-2 && w.heldNumber <= w.next:
			x.known, from = x.sent[w.heldNumber%2], w.heldNumber
		default:
			x.known = -1
		}
		if x.known != x.state {
			for i := range x.fly {
				if x.fly[i].there {
					continue
				}
				y := x
				y.next++
				y.sent[y.next%2] = y.state
				y.fly[i] = note{y.life, y.next, from, y.known, y.state, true}
				add(y)
				break
			}
		} else {
			add(x)
		}
	}
	for i, n := range w.fly {
		if !n.there {
			continue
		}
		x := w // it arrives, and may arrive again
		switch {
		case n.base == -1:
			x.held = n.state
		case x.held < n.base || x.heldOf != n.life: // lines come with their newest weights: a later state does as well
			x.held = -2
		default:
			x.held = n.state
		}
		x.heldLife, x.heldNumber, x.heldOf = n.life, n.number, n.life
		if !believe && n.base != -1 && (w.heldLife != n.life || w.heldNumber < n.from || w.heldNumber >= n.number) {
			x = w // the proxy drops what is no delta to what it holds
		}
		add(x)
		x.fly[i] = note{}
		add(x)
		lost := w
		lost.fly[i] = note{}
		add(lost)
	}
	return all
}

func explore(believe bool) (states int, corrupt, claimed bool) {
	start := world{sent: [2]int8{-1, -1}, known: -1, held: -1}
	seen := map[world]bool{start: true}
	queue := []world{start}
	for len(queue) > 0 {
		w := queue[0]
		queue = queue[1:]
		corrupt = corrupt || w.held == -2
		// What the proxy names is what it holds: the state that was sent under that number, if it is remembered.
		if w.heldNumber > 0 && w.heldLife == w.life && w.heldNumber > w.next-2 && w.sent[w.heldNumber%2] != w.held {
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

func TestTheProtocolAtASmallSize(t *testing.T) {
	states, corrupt, claimed := explore(false)
	if corrupt || claimed {
		t.Errorf("of %d states some are wrong: a delta to another state %t, a false claim %t", states, corrupt, claimed)
	}
	if states < 10_000 {
		t.Errorf("only %d states were explored", states)
	}
	if _, corrupt, claimed = explore(true); !corrupt && !claimed {
		t.Error("a coordinator that believes any version was not caught")
	}
}
