package coordinator_test

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/membership"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
	"snowquay/internal/wire/peer"
)

// town is three members over a net in virtual time, with disks in memory.
type town struct {
	net     *simnet.Net
	at      map[membership.MemberID]netip.AddrPort
	hosts   map[membership.MemberID]*simnet.Host
	disks   map[membership.MemberID]*consensus.MemoryStorage
	members map[membership.MemberID]*coordinator.Member
	said    []string
	lives   uint64
}

func newTown(seed uint64, count int) *town {
	w := &town{net: simnet.New(seed, 1000), at: map[membership.MemberID]netip.AddrPort{}, hosts: map[membership.MemberID]*simnet.Host{},
		disks: map[membership.MemberID]*consensus.MemoryStorage{}, members: map[membership.MemberID]*coordinator.Member{}}
	for n := membership.MemberID(1); n <= membership.MemberID(count); n++ {
		w.at[n] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
		w.place(n)
	}
	for n := membership.MemberID(1); n <= membership.MemberID(count); n++ {
		w.start(n, coordinator.GroupConfig{Members: w.at})
	}
	w.net.Run(w.net.Now() + 5)
	return w
}

func (w *town) place(n membership.MemberID) {
	w.hosts[n] = w.net.Add(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), int(n), false)
	w.disks[n] = &consensus.MemoryStorage{OwnDataDirID: uint64(n) * 11}
}

func (w *town) start(n membership.MemberID, g coordinator.GroupConfig) {
	w.lives++
	g.Self, g.Weight, g.Key, g.Consensus, g.Lease = n, 1, []byte("key"), consensus.DefaultConfig, membership.DefaultLeaseConfig
	w.members[n] = coordinator.NewMember(g, w.disks[n], w.lives, func(event string, pairs ...any) {
		w.said = append(w.said, fmt.Sprint(n, " ", event, " ", pairs))
	})
	w.hosts[n].Start(w.members[n])
}

func (w *town) holds(n membership.MemberID) bool {
	m := w.members[n]
	return m.Failed == nil && m.Group.Lease.Valid(w.net.Now())
}

func (w *town) heard(what string) bool {
	for _, s := range w.said {
		if strings.Contains(s, what) {
			return true
		}
	}
	return false
}

// A folder that was emptied has forgotten its votes: its number is not heard any more, by those who knew the old one also
// after their own restart, and it is told so. Under a new number it is taken in.
func TestAnEmptiedFolderNeedsANewNumber(t *testing.T) {
	w := newTown(1, 3)
	if !w.holds(1) || !w.holds(2) || !w.holds(3) {
		t.Fatal("they do not run")
	}
	w.hosts[3].Kill()
	w.hosts[2].Kill()
	w.disks[3] = &consensus.MemoryStorage{OwnDataDirID: 999}
	w.start(2, coordinator.GroupConfig{Members: w.at})
	w.start(3, coordinator.GroupConfig{Members: w.at})
	w.net.Run(w.net.Now() + 8)
	if !errors.Is(w.members[3].Failed, coordinator.ErrRefused) || !strings.Contains(w.members[3].Failed.Error(), "new number") {
		t.Errorf("it goes on under its old number: %v\n%s", w.members[3].Failed, strings.Join(w.said, "\n"))
	}
	if !w.holds(1) || !w.holds(2) {
		t.Error("the others do not go on")
	}
	w.place(4)
	w.at[4] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 4}), 7000)
	delete(w.at, 3)
	w.start(4, coordinator.GroupConfig{Members: w.at, Join: true})
	w.net.Run(w.net.Now() + 8)
	if !w.holds(4) || !w.members[4].Group.Registered() {
		t.Errorf("under a new number it is not taken in: %v", w.members[4].Failed)
	}
	w.hosts[1].Kill() // the three of four that are left: 2, 4 and nobody; so the lost one must be taken out first
	w.net.Run(w.net.Now() + 8)
	if w.holds(2) || w.holds(4) {
		t.Error("two of four voters lead")
	}
	w.start(1, coordinator.GroupConfig{Members: w.at})
	w.net.Run(w.net.Now() + 8)
	tool := &tool{to: w.at[2], frames: []peer.Frame{{Kind: peer.Command, Message: unseat(t, 3)}, {Kind: peer.Ask}}}
	w.net.Add(netip.AddrFrom4([4]byte{10, 0, 0, 99}), 9, false).Start(tool)
	w.net.Run(w.net.Now() + 4)
	if !strings.Contains(tool.told, `"gone":true`) && !strings.Contains(tool.told, `"number":2`) {
		t.Errorf("the tool was told %s", tool.told)
	}
	w.hosts[1].Kill()
	w.net.Run(w.net.Now() + 8)
	if !w.holds(2) || !w.holds(4) {
		t.Error("two of the three that are left do not lead")
	}
}

func unseat(t *testing.T, n membership.MemberID) []byte {
	b, err := membership.Command{Kind: membership.RemoveRegistration, MemberID: n}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// tool speaks to a coordinator as the command line does.
type tool struct {
	to     netip.AddrPort
	frames []peer.Frame
	key    string
	buf    []byte
	told   string
	closed bool
	io     env.IO
}

func (x *tool) Start(_ float64, io env.IO)                   { x.io = io; io.Dial(x.to) }
func (x *tool) Opened(float64, env.Conn, netip.Addr, uint16) {}
func (x *tool) Closed(float64, env.Conn)                     { x.closed = true }
func (x *tool) Delivered(float64, env.Conn, uint64)          {}
func (x *tool) Datagram(float64, []byte)                     {}
func (x *tool) TimerFired(float64, int)                      {}
func (x *tool) Connected(_ float64, c env.Conn, _ bool) {
	if x.key == "" {
		x.key = "key"
	}
	for _, f := range x.frames {
		x.io.Send(c, peer.Append(nil, []byte(x.key), f))
	}
}
func (x *tool) Receive(_ float64, _ env.Conn, b []byte) {
	x.buf = append(x.buf, b...)
	if f, n, err := peer.Next(x.buf, []byte("key")); n > 0 && err == nil {
		x.told = string(f.Message)
	}
}

// Whoever has no key, speaks another version, forges a command or sends nonsense is not heard, and is told by a closed
// connection; the group goes on.
func TestStrangersAreNotHeard(t *testing.T) {
	w := newTown(2, 3)
	frames := map[string]*tool{
		"without the key":        {key: "x", frames: []peer.Frame{{Kind: peer.Ask}}},
		"a renewal":              {frames: []peer.Frame{{Kind: peer.Command, Message: []byte(`{"kind":1,"peer":"c1","weight":1,"renewal":99999}`)}}},
		"an expiry":              {frames: []peer.Frame{{Kind: peer.Command, Message: []byte(`{"kind":2,"peer":"c1","renewal":5}`)}}},
		"nonsense":               {frames: []peer.Frame{{Kind: peer.Command, Message: []byte(`{`)}}},
		"consensus of nobody":    {frames: []peer.Frame{{Kind: peer.Consensus, Message: []byte(`x`)}}},
		"to another number":      {frames: []peer.Frame{{To: 3, Kind: peer.Ask}}},
		"under another's number": {frames: []peer.Frame{{From: 1, Mark: 5, Kind: peer.Consensus, Message: []byte(`x`)}}},
	}
	i := byte(100)
	for name, x := range frames {
		x.to = w.at[2]
		w.net.Add(netip.AddrFrom4([4]byte{10, 0, 1, i}), 0, false).Start(x)
		i++
		w.net.Run(w.net.Now() + 1)
		if !x.closed {
			t.Errorf("%s: its connection stands", name)
		}
	}
	other := &raw{to: w.at[2], b: []byte("SQP1 is the older version's word")}
	w.net.Add(netip.AddrFrom4([4]byte{10, 0, 1, 99}), 0, false).Start(other)
	w.net.Run(w.net.Now() + 1)
	if !other.closed || !w.heard("this version's with") {
		t.Error("another version's peer is not told apart")
	}
	for n := membership.MemberID(1); n <= 3; n++ {
		if !w.holds(n) || w.members[n].Group.State.Members["c1"].Renewal > 1000 {
			t.Errorf("%d does not go on", n)
		}
	}
}

// raw sends bytes.
type raw struct {
	tool
	to netip.AddrPort
	b  []byte
}

func (r *raw) Start(_ float64, io env.IO)              { r.io = io; io.Dial(r.to) }
func (r *raw) Connected(_ float64, c env.Conn, _ bool) { r.io.Send(c, r.b) }
