package coordinator_test

import (
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

const testGroupKey = "key"

// memberGroup is a group of members on a simulated network, with storage in memory.
type memberGroup struct {
	net         *simnet.Net
	addresses   map[membership.MemberID]netip.AddrPort
	hosts       map[membership.MemberID]*simnet.Host
	storage     map[membership.MemberID]*consensus.MemoryStorage
	members     map[membership.MemberID]*coordinator.Member
	logLines    []string
	incarnation uint64 // of the latest start
}

// newMemberGroup starts a group of count members and runs it for 5 seconds.
func newMemberGroup(seed uint64, count int) *memberGroup {
	group := &memberGroup{
		net:       simnet.New(seed, 1000),
		addresses: map[membership.MemberID]netip.AddrPort{},
		hosts:     map[membership.MemberID]*simnet.Host{},
		storage:   map[membership.MemberID]*consensus.MemoryStorage{},
		members:   map[membership.MemberID]*coordinator.Member{},
	}
	for id := membership.MemberID(1); id <= membership.MemberID(count); id++ {
		group.addresses[id] = memberAddress(id)
		group.addHost(id)
	}
	for id := membership.MemberID(1); id <= membership.MemberID(count); id++ {
		group.start(id, coordinator.GroupConfig{Members: group.addresses})
	}
	group.run(5)
	return group
}

func memberAddress(id membership.MemberID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 7000)
}

func (g *memberGroup) addHost(id membership.MemberID) {
	g.hosts[id] = g.net.Add(memberAddress(id).Addr(), int(id), false)
	g.storage[id] = &consensus.MemoryStorage{OwnDataDirID: uint64(id) * 11}
}

func (g *memberGroup) start(id membership.MemberID, config coordinator.GroupConfig) {
	g.incarnation++
	config.Self = id
	config.Weight = 1
	config.Key = []byte(testGroupKey)
	config.Consensus = consensus.DefaultConfig
	config.Lease = membership.DefaultLeaseConfig
	log := func(event string, attributes ...any) {
		g.logLines = append(g.logLines, fmt.Sprint(id, " ", event, " ", attributes))
	}
	g.members[id] = coordinator.NewMember(config, g.storage[id], g.incarnation, log)
	g.hosts[id].Start(g.members[id])
}

func (g *memberGroup) run(seconds float64) { g.net.Run(g.net.Now() + seconds) }

func (g *memberGroup) holdsLease(id membership.MemberID) bool {
	member := g.members[id]
	return member.Failed == nil && member.Group.Lease.Valid(g.net.Now())
}

func (g *memberGroup) logged(text string) bool {
	for _, line := range g.logLines {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

// groupTool sends frames to a member as the command-line tool does.
type groupTool struct {
	to     netip.AddrPort
	frames []peer.Frame
	key    string // empty for the key of the group
	buffer []byte
	reply  string
	closed bool
	io     env.IO
}

func (t *groupTool) Start(_ float64, io env.IO) {
	t.io = io
	io.Dial(t.to)
}

func (t *groupTool) Connected(_ float64, conn env.Conn, _ bool) {
	if t.key == "" {
		t.key = testGroupKey
	}
	for _, frame := range t.frames {
		t.io.Send(conn, peer.Append(nil, []byte(t.key), frame))
	}
}

func (t *groupTool) Receive(_ float64, _ env.Conn, data []byte) {
	t.buffer = append(t.buffer, data...)
	frame, size, err := peer.Next(t.buffer, []byte(testGroupKey))
	if size > 0 && err == nil {
		t.reply = string(frame.Message)
	}
}

func (t *groupTool) Closed(float64, env.Conn)                     { t.closed = true }
func (t *groupTool) Opened(float64, env.Conn, netip.Addr, uint16) {}
func (t *groupTool) Delivered(float64, env.Conn, uint64)          {}
func (t *groupTool) Datagram(float64, []byte)                     {}
func (t *groupTool) TimerFired(float64, int)                      {}

// rawClient sends data without framing.
type rawClient struct {
	groupTool
	to   netip.AddrPort
	data []byte
}

func (c *rawClient) Start(_ float64, io env.IO) {
	c.io = io
	io.Dial(c.to)
}

func (c *rawClient) Connected(_ float64, conn env.Conn, _ bool) { c.io.Send(conn, c.data) }

// removeMember returns a command that removes a member from the group.
func removeMember(t *testing.T, id membership.MemberID) []byte {
	t.Helper()
	command, err := membership.Command{Kind: membership.RemoveRegistration, MemberID: id}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return command
}
