package coordinator

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"snowquay/internal/consensus"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/env"
	"snowquay/internal/wire/peer"
)

// GroupConfig is what a coordinator that shares its fleet is told of the others.
type GroupConfig struct {
	Self      membership.MemberID
	Weight    float64
	Members   map[membership.MemberID]netip.AddrPort // of the group as far as it is known, ourselves among them
	Join      bool                                   // the group runs already, and is to take us in
	Key       []byte
	Consensus consensus.Config
	Lease     membership.LeaseConfig
	Capacity  tenancy.Capacity // of a host of many tenants
}

// PeerName of a coordinator by its number.
func PeerName(n membership.MemberID) membership.Peer { return membership.Peer(fmt.Sprint("c", n)) }

const (
	peerRedial = 0.25    // seconds between two dials of a coordinator that does not answer
	peerUnread = 4 << 20 // bytes on their way to one; more is dropped: consensus sends anew what is lost
	mostIn     = 32      // connections of others; one more is closed: a group has few, and tools come one at a time
)

// link is our connection to another coordinator, for what we say to it.
type link struct {
	id     membership.MemberID
	conn   env.Conn
	up     bool
	dialAt float64
	sent   uint64
	taken  uint64
	heard  []byte // what it says on it: only why it does not hear us
}

// peers carries a group's messages: each coordinator dials each other and speaks on its own connections, so that a cut on
// one side stops one direction only.
type peers struct {
	member *Member
	io     env.IO
	links  map[membership.MemberID]*link
	byOut  map[env.Conn]*link
	in     map[env.Conn][]byte // of connections that others dialled
	bytes  []byte
}

func newPeers(m *Member, io env.IO) *peers {
	return &peers{member: m, io: io, links: map[membership.MemberID]*link{}, byOut: map[env.Conn]*link{}, in: map[env.Conn][]byte{}}
}

// tick dials those that are to be spoken to, where they are now, and lets go of those that are not in the group any more.
func (p *peers) tick(now float64) {
	at := p.member.addresses()
	for id, l := range p.links {
		if _, ok := at[id]; !ok {
			delete(p.links, id)
			if l.conn != 0 {
				delete(p.byOut, l.conn)
				p.io.Close(l.conn)
			}
		}
	}
	for _, id := range sortedNumbers(at) {
		l := p.links[id]
		if l == nil {
			l = &link{id: id}
			p.links[id] = l
		}
		if l.conn == 0 && now >= l.dialAt {
			l.dialAt = now + peerRedial
			l.conn, l.sent, l.taken, l.heard = p.io.Dial(at[id]), 0, 0, nil
			p.byOut[l.conn] = l
		}
	}
}

// frame is what we say, with what tells our folder.
func (p *peers) frame(to membership.MemberID, kind peer.Kind, b []byte) []byte {
	m := p.member
	p.bytes = peer.Append(p.bytes[:0], m.setup.Key, peer.Frame{From: uint64(m.setup.Self), To: uint64(to), Mark: m.disk.DataDirID(),
		Commit: m.commit(), Kind: kind, Message: b})
	return p.bytes
}

func (p *peers) send(to membership.MemberID, kind peer.Kind, b []byte) {
	l := p.links[to]
	if l == nil || !l.up || l.sent-l.taken > peerUnread {
		return
	}
	f := p.frame(to, kind, b)
	l.sent += uint64(len(f))
	p.io.Send(l.conn, f)
}

// broadcast says something to all that can be reached.
func (p *peers) broadcast(kind peer.Kind, b []byte) {
	for _, id := range sortedNumbers(p.links) {
		p.send(id, kind, b)
	}
}

func (p *peers) opened(c env.Conn) {
	if len(p.in) >= mostIn {
		p.member.say("peer's connection closed", "why", "too many")
		p.io.Close(c)
		return
	}
	p.in[c] = nil
}

// connected, closed, taken and receive tell whether the connection is one of ours.
func (p *peers) connected(c env.Conn, ok bool) bool {
	l := p.byOut[c]
	if l == nil {
		return false
	}
	if l.up = ok; !ok {
		delete(p.byOut, c)
		l.conn = 0
	} else { // so that each knows each other's folder, also where consensus has nothing to say
		p.send(l.id, peer.Hello, nil)
	}
	return true
}

func (p *peers) closed(c env.Conn) bool {
	if _, ok := p.in[c]; ok {
		delete(p.in, c)
		return true
	}
	return p.connected(c, false)
}

func (p *peers) taken(c env.Conn, total uint64) bool {
	if l := p.byOut[c]; l != nil {
		l.taken = total
		return true
	}
	_, ok := p.in[c]
	return ok
}

func (p *peers) receive(now float64, c env.Conn, b []byte) bool {
	l := p.byOut[c]
	buf, ok := p.in[c]
	if !ok && l == nil {
		return false
	}
	if l != nil {
		buf = l.heard
	}
	buf = append(buf, b...)
	for {
		f, n, err := peer.Next(buf, p.member.setup.Key)
		if err == nil && n > 0 && f.To != 0 && f.To != uint64(p.member.setup.Self) {
			err = peer.ErrFrame
		}
		if err == nil && n > 0 {
			err = p.member.heard(now, c, f, l != nil)
		}
		if err != nil {
			p.member.say("peer's connection closed", "from", f.From, "why", err)
			delete(p.in, c)
			if l != nil {
				p.connected(c, false)
			}
			p.io.Close(c)
			return true
		}
		if n == 0 {
			break
		}
		buf = buf[n:]
	}
	rest := append([]byte(nil), buf...)
	if l != nil {
		l.heard = rest
	} else if _, ok := p.in[c]; ok {
		p.in[c] = rest
	}
	return true
}

// Status is how a group is, as one coordinator sees it.
type Status struct {
	Number        membership.MemberID                             `json:"number"`
	Leader        membership.MemberID                             `json:"consensus-leader"` // 0: none is known
	Commit        uint64                                          `json:"commit"`
	Epoch         membership.Epoch                                `json:"epoch"`
	HoldsLease    bool                                            `json:"holds-lease"`
	Failed        string                                          `json:"failed,omitempty"` // why it orders nothing any more
	Registrations map[membership.MemberID]membership.Registration `json:"seats"`
	Members       map[membership.Peer]membership.Member           `json:"members"`
	Drains        int                                             `json:"drains"`
}

func (m *Member) status(now float64) ([]byte, error) {
	g := m.Group
	s := Status{Number: m.setup.Self}
	if g != nil {
		s.Leader, s.Commit, s.Epoch, s.HoldsLease = membership.MemberID(g.Node.Leader()), m.commit(), g.State.Epoch, m.Failed == nil && g.Lease.Valid(now)
		s.Registrations, s.Members, s.Drains = g.State.Registrations, g.State.Members, len(g.State.Drains)
	}
	if m.Failed != nil {
		s.Failed = m.Failed.Error()
	}
	return json.Marshal(s)
}
