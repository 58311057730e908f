// Bookkeeping without tuned values: what proxies hold, what they were sent, and what they have acknowledged.

package balancer

import (
	"cmp"
	"math"
	"slices"
)

// holds gives the lines of a pool, in the servers' order.
func (m *Balancer) holds(p *pool) []line {
	lines := make([]line, 0, len(p.held))
	for name, weight := range p.held {
		lines = append(lines, line{m.servers[name], weight})
	}
	slices.SortFunc(lines, func(a, b line) int { return cmp.Compare(a.server.place, b.server.place) })
	return lines
}

// moves gives what a table holds and what is wanted of each server that is in either, in the servers' order.
func (m *Balancer) moves(p *pool, want []line) (moves []move) {
	for _, l := range m.holds(p) {
		for len(want) > 0 && want[0].server.place < l.server.place {
			moves, want = append(moves, move{server: want[0].server, want: want[0].weight}), want[1:]
		}
		v := move{server: l.server, held: l.weight}
		if len(want) > 0 && want[0].server == l.server {
			v.want, want = want[0].weight, want[1:]
		}
		moves = append(moves, v)
	}
	for _, l := range want {
		moves = append(moves, move{server: l.server, want: l.weight})
	}
	return moves
}

func (v move) size() float64 { return math.Abs(v.want-v.held) * min(v.want, 1) } // removals come last

func share(arc []line, s *server) float64 { // of a server in a stretch
	i, found := slices.BinarySearchFunc(arc, s, func(l line, s *server) int { return cmp.Compare(l.server.place, s.place) })
	if !found {
		return 0
	}
	return arc[i].weight
}

// mark asks whoever this round has written to for an acknowledgement.
func (m *Balancer) mark(now, size float64, w CommandSink) {
	c := &m.channel
	c.newest = c.newest%mostMark + 1
	if !c.queue.MarkBatch(int(c.newest), size) {
		return
	}
	w.RequestAck(c.newest)
	for _, x := range m.proxies {
		if x.bound && x.mark == 0 { // it has joined with this round
			x.mark = c.newest
		} else if x.bound && x.group.lines > 0 {
			x.mark, x.size = c.newest, x.group.lines
		}
	}
}

// acknowledge takes a proxy's answer to a mark.
func (m *Balancer) acknowledge(a Ack) {
	size := 0.0
	if x := m.joined[a.Proxy]; x != nil && x.mark == a.ID {
		size = x.size
	}
	m.channel.acknowledge(a, size)
}

func (m *Balancer) joins(x *proxy) float64 { // the lines that its whole tables take
	lines := m.channel.head()
	for _, p := range x.group.pools {
		lines += float64(1 + len(p.held) + len(p.levels))
	}
	return lines
}

func (m *Balancer) resent(now float64, r Redelivered) { // charges what the channel may carry a second time
	for _, g := range m.groups {
		g.lines = 0
		for _, t := range r.Tables {
			if slices.ContainsFunc(g.pools, func(p *pool) bool { return p.table == t }) {
				m.concern(now, g)
			}
		}
		g.lines = 0
	}
	for _, x := range m.proxies {
		if x.bound && slices.Contains(r.Proxies, x.Proxy) {
			m.channel.charge(now, m.joins(x))
		}
	}
}

// concern charges a line to each proxy of a group, and a message its head.
func (m *Balancer) concern(now float64, g *group) {
	lines := 1.0
	if g.lines == 0 {
		lines += m.channel.head()
		if g.users > 0 {
			g.messages.Add(now, m.channel.MessageWindow)
		}
	}
	g.lines += lines
	m.channel.charge(now, lines*g.users)
}
