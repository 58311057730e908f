package run

import (
	"net/netip"

	"snowquay/internal/consensus"
	"snowquay/internal/core/share"
	"snowquay/internal/run/world"
	"snowquay/internal/wire/peer"
)

// GroupSetup is what a coordinator that shares its fleet is told of the others.
type GroupSetup struct {
	Self    consensus.ID
	Name    share.Peer
	Weight  float64
	Members map[consensus.ID]netip.AddrPort // of the group, ourselves among them
	Order   []consensus.ID                  // their numbers, the same everywhere
	Key     []byte
	Terms   consensus.Terms
	Lease   share.Terms
}

const (
	peerRedial = 0.25    // seconds between two dials of a coordinator that does not answer
	peerUnread = 4 << 20 // bytes on their way to one; more is dropped: consensus sends anew what is lost
)

// link is our connection to another coordinator, for what we say to it.
type link struct {
	id     consensus.ID
	conn   world.Conn
	up     bool
	dialAt float64
	sent   uint64
	taken  uint64
}

// peers carries a group's messages: each coordinator dials each other and speaks on its own connections, so that a cut on
// one side stops one direction only.
type peers struct {
	setup GroupSetup
	io    world.IO
	links map[consensus.ID]*link
	byOut map[world.Conn]*link
	in    map[world.Conn][]byte // of connections that others dialled
	step  func(now float64, b []byte) error
	say   func(event string, pairs ...any)
	bytes []byte
}

func newPeers(s GroupSetup, step func(float64, []byte) error, say func(string, ...any)) *peers {
	p := &peers{setup: s, links: map[consensus.ID]*link{}, byOut: map[world.Conn]*link{}, in: map[world.Conn][]byte{},
		step: step, say: say}
	for _, id := range s.Order {
		if id != s.Self {
			p.links[id] = &link{id: id}
		}
	}
	return p
}

func (p *peers) tick(now float64) {
	for _, id := range p.setup.Order {
		if l := p.links[id]; l != nil && l.conn == 0 && now >= l.dialAt {
			l.dialAt = now + peerRedial
			l.conn, l.sent, l.taken = p.io.Dial(p.setup.Members[id]), 0, 0
			p.byOut[l.conn] = l
		}
	}
}

// Send of consensus.Messenger.
func (p *peers) Send(to consensus.ID, b []byte) {
	l := p.links[to]
	if l == nil || !l.up || l.sent-l.taken > peerUnread {
		return
	}
	p.bytes = peer.Append(p.bytes[:0], p.setup.Key, uint64(p.setup.Self), uint64(to), b)
	l.sent += uint64(len(p.bytes))
	p.io.Send(l.conn, p.bytes)
}

// connected, closed, taken and receive tell whether the connection is one of ours.
func (p *peers) connected(c world.Conn, ok bool) bool {
	l := p.byOut[c]
	if l == nil {
		return false
	}
	if l.up = ok; !ok {
		delete(p.byOut, c)
		l.conn = 0
	}
	return true
}

func (p *peers) closed(c world.Conn) bool {
	if _, ok := p.in[c]; ok {
		delete(p.in, c)
		return true
	}
	return p.connected(c, false)
}

func (p *peers) taken(c world.Conn, total uint64) bool {
	if l := p.byOut[c]; l != nil {
		l.taken = total
		return true
	}
	_, ok := p.in[c]
	return ok
}

func (p *peers) receive(now float64, c world.Conn, b []byte) bool {
	buf, ok := p.in[c]
	if !ok {
		return p.byOut[c] != nil // nobody speaks on our own connections but we
	}
	buf = append(buf, b...)
	for {
		_, to, m, n, err := peer.Next(buf, p.setup.Key)
		if err == nil && n > 0 && to != uint64(p.setup.Self) {
			err = peer.ErrFrame
		}
		if err != nil {
			p.say("peer's connection closed", "why", err)
			delete(p.in, c)
			p.io.Close(c)
			return true
		}
		if n == 0 {
			break
		}
		if err := p.step(now, m); err != nil {
			p.say("peer's message", "error", err)
		}
		buf = buf[n:]
	}
	p.in[c] = append([]byte(nil), buf...)
	return true
}
