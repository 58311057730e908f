// Publishing: which differences to the tables that proxies hold go out in a round.

package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	movedBy      = 0.1  // part of the held weight that a move must exceed to be sent; the design's
	weightsEvery = 5.0  // seconds between two sendings of weights; the design's
	urgentBy     = 0.33 // of the held weight; a weight off by more is trouble, not drift, and does not wait
	urgentEvery  = 1.0  // seconds between two sendings then: time to gather others like it
)

func (m *Balancer) publish(now float64, w CommandSink) {
	taken := map[Server]float64{}
	wants := make([][][]line, len(m.reaches))
	for k := range m.reaches {
		wants[k] = m.wanted(now, k, taken)
	}
	before := m.channel.queue.Outstanding()
	for i, g := range m.groups { // a group's orders stand together: they are to travel in one message
		for k, p := range g.pools {
			m.weigh(now, g, p, wants[k][i], w)
			if now-p.leveled >= levelEvery && m.fit(now, g, ordinary) >= len(m.all) {
				m.setLevels(now, g, p, m.reaches[k].classes, w)
			}
		}
	}
	m.join(now, w)
	if size := m.channel.queue.Outstanding() - before; size > 0 {
		m.mark(now, size, w)
	}
}

// join binds the proxies that have come to the tables of their groups.
func (m *Balancer) join(now float64, w CommandSink) {
	for _, x := range m.proxies {
		lines := m.joins(x)
		if x.bound || !m.channel.admitsJoin(now, lines) {
			continue
		}
		for k, p := range x.group.pools {
			w.AssignTable(x.Proxy, p.table, m.reaches[k].classes)
		}
		x.bound, x.size = true, lines
		x.group.users++
		m.channel.charge(now, lines)
	}
}

// weigh sends the weights of a table that moved, largest first, and at once what drains or has started again.
func (m *Balancer) weigh(now float64, g *group, p *pool, want []line, w CommandSink) {
	pace, most, missing, wanted, serving, rides := weightsEvery, 0, 0.0, 0.0, 0.0, false
	var moves []move
	for _, v := range m.moves(p, want) {
		if wanted += v.want; v.server.Phase == Ready && (v.want > 0 || m.cold(now, v.server) >= 1) {
			serving += v.held
		}
		if v.held == 0 {
			missing += v.want
		}
		moved := math.Abs(v.want-v.held) / max(v.held, usual/4) // small lines count as a quarter of a usual one
		if v.held > 0 && v.want > 0 && moved > urgentBy {
			pace = urgentEvery
		}
		if moved > movedBy || (v.held > 0) != (v.want > 0) {
			moves = append(moves, v)
			rides = rides || m.pressure(now, v) == urgent
		}
	}
	slices.SortStableFunc(moves, func(a, b move) int { return cmp.Compare(b.size(), a.size()) })
	pressure := ordinary
	if serving == 0 {
		pressure = urgent
	} else if missing > urgentBy*wanted {
		pressure = pressing
	}
	n := m.fit(now, g, pressure)
	if rides = rides && m.fit(now, g, urgent) > 0; rides { // the message that has to go takes the rest along
		n = m.lines(now, g, max(pressure, pressing))
	}
	if n > 0 && len(moves) > 0 && (now-p.weighed >= pace || pressure > ordinary || rides) {
		most, p.weighed = n, now // a table that has lost much of its servers does not wait
	}
	for i, v := range moves {
		if v.want == 0 && v.server.Phase == Ready && m.cold(now, v.server) >= 1 && missing > 0 {
			continue // it serves until others do
		}
		if i >= most && m.fit(now, g, m.pressure(now, v)) == 0 {
			continue
		}
		w.SetWeight(p.table, v.server.Server, v.want)
		m.concern(now, g)
		if p.held[v.server.Server] = v.want; v.held == 0 {
			missing -= v.want
		} else if v.want == 0 {
			delete(p.held, v.server.Server)
		}
	}
}

// pressure is how urgent a line's move is by itself, or that it waits for the table's turn.
func (m *Balancer) pressure(now float64, v move) urgency {
	switch cold := m.cold(now, v.server) < 1; {
	case v.server.Phase != Ready, cold && v.want > 0 && v.want < v.held/2:
		return urgent
	case cold && v.want == 0: // another table takes it over
		return pressing
	}
	return waits
}
