package run

import (
	"net/netip"

	"snowquay/internal/consensus"
	"snowquay/internal/core/share"
	"snowquay/internal/run/world"
)

const memberTick = 0.02 // seconds between two looks at what is due

// Member is a coordinator's part in a group, as a world.Program of its own: it listens to the others, speaks to them, and
// knows which proxies are its to order.
type Member struct {
	setup   GroupSetup
	disk    consensus.Disk
	life    uint64
	say     func(event string, pairs ...any)
	peers   *peers
	io      world.IO
	Group   *consensus.Group
	Failed  error // why it orders nothing any more, for good
	OnDrain func(now float64, c share.Command)
}

// NewMember makes a member; it does nothing until Start. life must differ from those of its former processes.
func NewMember(setup GroupSetup, disk consensus.Disk, life uint64, say func(string, ...any)) *Member {
	return &Member{setup: setup, disk: disk, life: life, say: say}
}

// Start of world.Program.
func (m *Member) Start(now float64, io world.IO) {
	if m.begin(now, io); m.Failed == nil {
		io.Wake(now, 0)
	}
}

func (m *Member) begin(now float64, io world.IO) {
	m.io = io
	m.peers = newPeers(m.setup, func(now float64, b []byte) error { return m.Group.Step(now, b) }, m.say)
	m.peers.io = io
	m.Group, m.Failed = consensus.NewGroup(now, m.setup.Name, m.setup.Weight, m.setup.Self, m.setup.Order, m.life, m.disk, m,
		m.setup.Terms, m.setup.Lease)
	if m.Failed != nil {
		m.say("coordinator orders nothing", "error", m.Failed)
	}
}

// Send of consensus.Messenger.
func (m *Member) Send(to consensus.ID, b []byte) { m.peers.Send(to, b) }

// Moved of consensus.Messenger.
func (m *Member) Moved(_ float64, _, after *share.State) {
	m.say("proxies change hands", "epoch", after.Epoch, "living", after.Living())
}

// Drained of consensus.Messenger.
func (m *Member) Drained(now float64, c share.Command) {
	if m.OnDrain != nil {
		m.OnDrain(now, c)
	}
}

// Leads tells whether a proxy may be ordered now.
func (m *Member) Leads(now float64, uid string) bool {
	return m.Failed == nil && m.Group != nil && m.Group.Lease.Leads(now, m.Group.State, uid)
}

// Opened of world.Program.
func (m *Member) Opened(_ float64, c world.Conn, _ netip.Addr, _ uint16) { m.peers.in[c] = nil }

// Connected of world.Program.
func (m *Member) Connected(_ float64, c world.Conn, ok bool) { m.peers.connected(c, ok) }

// Receive of world.Program.
func (m *Member) Receive(now float64, c world.Conn, b []byte) {
	if m.Failed == nil {
		m.peers.receive(now, c, b)
	}
}

// Closed of world.Program.
func (m *Member) Closed(_ float64, c world.Conn) { m.peers.closed(c) }

// Taken of world.Program.
func (m *Member) Taken(_ float64, c world.Conn, total uint64) { m.peers.taken(c, total) }

// Datagram of world.Program.
func (m *Member) Datagram(float64, []byte) {}

// Woken of world.Program.
func (m *Member) Woken(now float64, _ int) {
	if m.tick(now); m.Failed == nil {
		m.io.Wake(now+memberTick, 0)
	}
}

func (m *Member) tick(now float64) {
	if m.Failed != nil {
		return
	}
	m.peers.tick(now)
	if err := m.Group.Tick(now); err != nil {
		m.Failed = err
		m.say("coordinator orders nothing", "error", err)
	}
}
