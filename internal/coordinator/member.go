package coordinator

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/consensus"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/env"
	"snowquay/internal/wire/peer"
)

const (
	memberTick = 0.02 // seconds between two looks at what is due
	joinAgain  = 0.5  // seconds between two asks to be taken in
)

// Member is a coordinator's part in a group, as a env.Program of its own: it listens to the others, speaks to them, and
// knows which proxies are its to order.
type Member struct {
	setup             GroupConfig
	disk              consensus.Storage
	life              uint64
	say               func(event string, pairs ...any)
	peers             *peers
	io                env.IO
	folders           *membership.DataDirs
	joinAt            float64
	Group             *consensus.Group
	Failed            error // why it orders nothing any more, for good
	leaving           bool
	OnFail            func(error) // nil: nobody is told
	OnDrain           func(now float64, c membership.Command)
	OnRecords         func(now float64, records []registry.Record)
	OnOrdersCompleted func(now float64, kept, refused []membership.Ticket)
	OnTenant          func(now float64, n tenancy.Name, told membership.Ticket, o tenancy.Outcome) // nil: it hosts nobody
}

// ErrRefused says that another coordinator does not hear this one; it orders nothing any more.
var ErrRefused = errors.New("refused by another coordinator")

// NewMember makes a member; it does nothing until Start. life must differ from those of its former processes.
func NewMember(setup GroupConfig, disk consensus.Storage, life uint64, say func(string, ...any)) *Member {
	return &Member{setup: setup, disk: disk, life: life, say: say}
}

// Start of env.Program.
func (m *Member) Start(now float64, io env.IO) {
	if m.begin(now, io); m.Failed == nil {
		io.SetTimer(now, 0)
	}
}

func (m *Member) begin(now float64, io env.IO) {
	m.io, m.peers = io, newPeers(m, io)
	kept := map[membership.MemberID]uint64{}
	for id, mark := range m.disk.PeerDataDirs() {
		kept[membership.MemberID(id)] = mark
	}
	m.folders = membership.NewDataDirs(kept)
	part := consensus.GroupConfig{ID: m.setup.Self, Registration: membership.Registration{Peer: PeerName(m.setup.Self), Address: m.setup.Members[m.setup.Self]},
		Weight: m.setup.Weight, Seed: m.life, Consensus: m.setup.Consensus, Lease: m.setup.Lease, Capacity: m.setup.Capacity}
	if !m.setup.Join {
		for _, n := range sortedNumbers(m.setup.Members) {
			part.Members = append(part.Members, consensus.ID(n))
		}
	}
	g, err := consensus.NewGroup(now, part, m.disk, m)
	if m.Group = g; err != nil {
		m.fail(err)
	}
}

func sortedNumbers[V any](of map[membership.MemberID]V) []membership.MemberID {
	all := make([]membership.MemberID, 0, len(of))
	for n := range of {
		all = append(all, n)
	}
	slices.SortFunc(all, cmp.Compare[membership.MemberID])
	return all
}

// addresses are where the others are: as the settings say, and as they have agreed since.
func (m *Member) addresses() map[membership.MemberID]netip.AddrPort {
	at := make(map[membership.MemberID]netip.AddrPort, len(m.setup.Members))
	for n, a := range m.setup.Members {
		at[n] = a
	}
	if m.Group != nil {
		for n, s := range m.Group.State.Registrations {
			if at[n] = s.Address; m.Group.Node != nil && m.Group.Removed(n) {
				delete(at, n)
			}
		}
	}
	delete(at, m.setup.Self)
	return at
}

func (m *Member) commit() uint64 {
	if m.Group == nil || m.Group.Node == nil { // while the log is played at the start
		return 0
	}
	return m.Group.Node.CommitIndex()
}

// heard takes a frame. An error closes its connection.
func (m *Member) heard(now float64, c env.Conn, f peer.Frame, ours bool) error {
	if ours { // on the connection that we dialled, the other side says only why it does not hear us
		if f.Kind == peer.Refusal {
			m.fail(fmt.Errorf("%w: number %d: %s", ErrRefused, f.From, f.Message))
		}
		return nil
	}
	if f.From != 0 {
		if err := m.admit(f); err != nil {
			m.io.Send(c, m.peers.frame(membership.MemberID(f.From), peer.Refusal, []byte(err.Error())))
			return err
		}
	}
	switch f.Kind {
	case peer.Consensus:
		if f.From == 0 {
			return peer.ErrFrame
		}
		if err := m.Group.Step(now, f.Message); errors.Is(err, consensus.ErrInvalidMessage) {
			m.say("peer's message", "error", err)
		} else if err != nil {
			m.fail(err)
		}
	case peer.Command:
		x, err := membership.Decode(f.Message)
		if err != nil {
			return err
		}
		if x.Kind != membership.RegisterMember && x.Kind != membership.RemoveRegistration { // the rest is for those who are in the group to say by consensus
			return fmt.Errorf("%w: kind %d", membership.ErrInvalidCommand, x.Kind)
		}
		m.say("asked to change the group", "kind", x.Kind, "number", x.MemberID, "address", x.Address)
		m.Group.Propose(now, x)
	case peer.Ask:
		b, err := m.status(now)
		if err != nil {
			return err
		}
		m.io.Send(c, m.peers.frame(membership.MemberID(f.From), peer.Tell, b))
	}
	return nil
}

// admit looks whether a number speaks from the folder that it always had.
func (m *Member) admit(f peer.Frame) error {
	n := membership.MemberID(f.From)
	if m.Group != nil && m.Group.Removed(n) {
		return fmt.Errorf("number %d: %w", n, consensus.ErrRemoved)
	}
	first, err := m.folders.Verify(n, f.Mark, f.Commit)
	if err != nil || !first {
		return err
	}
	if err := m.disk.SavePeerDataDir(consensus.ID(n), f.Mark); err != nil {
		m.fail(fmt.Errorf("%w: %v", consensus.ErrStorage, err))
	}
	return m.Failed
}

func (m *Member) fail(err error) {
	if m.Failed == nil {
		m.Failed = err
		m.say("coordinator orders nothing", "error", err)
		if m.OnFail != nil {
			m.OnFail(err)
		}
	}
}

// Leave gives our part up; it is asked again until it says that the group knows.
func (m *Member) Leave(now float64) (known bool) {
	if !m.leaving {
		m.leaving = true
		if err := m.Group.ReleaseLease(now); err != nil {
			m.fail(err)
			return true
		}
	}
	return !m.Group.State.Members[PeerName(m.setup.Self)].Alive
}

// Send of consensus.Messenger.
func (m *Member) Send(to consensus.ID, b []byte) {
	m.peers.send(membership.MemberID(to), peer.Consensus, b)
}

// OwnershipChanged of consensus.Messenger.
func (m *Member) OwnershipChanged(_ float64, s *membership.State) {
	m.say("proxies change hands", "epoch", s.Epoch, "living", s.AliveMembers())
}

// DrainCommitted of consensus.Messenger.
func (m *Member) DrainCommitted(now float64, c membership.Command) {
	if m.OnDrain != nil {
		m.OnDrain(now, c)
	}
}

// RecordsCommitted of consensus.Messenger.
func (m *Member) RecordsCommitted(now float64, records []registry.Record) {
	if m.OnRecords != nil {
		m.OnRecords(now, records)
	}
}

// TenantChanged of consensus.Tenants.
func (m *Member) TenantChanged(now float64, n tenancy.Name, told membership.Ticket, o tenancy.Outcome) {
	if m.OnTenant != nil {
		m.OnTenant(now, n, told, o)
	}
}

// OrdersCompleted of consensus.Messenger.
func (m *Member) OrdersCompleted(now float64, kept, refused []membership.Ticket) {
	if m.OnOrdersCompleted != nil {
		m.OnOrdersCompleted(now, kept, refused)
	}
}

// Owns tells whether a proxy may be ordered now.
func (m *Member) Owns(now float64, uid string) bool {
	return m.Failed == nil && m.Group != nil && m.Group.Lease.Owns(now, m.Group.State, uid)
}

// ProxyRedirected notes that a proxy asked us and was sent away, since another one leads it.
func (m *Member) ProxyRedirected(now float64, uid string) {
	if m.Group != nil {
		m.Group.MisroutedProxies.Observe(now, uid)
	}
}

// Epoch of who leads what, as far as it is known here.
func (m *Member) Epoch() uint64 {
	if m.Group == nil {
		return 0
	}
	return uint64(m.Group.State.Epoch)
}

// Opened of env.Program.
func (m *Member) Opened(_ float64, c env.Conn, _ netip.Addr, _ uint16) { m.peers.opened(c) }

// Connected of env.Program.
func (m *Member) Connected(_ float64, c env.Conn, ok bool) { m.peers.connected(c, ok) }

// Receive of env.Program.
func (m *Member) Receive(now float64, c env.Conn, b []byte) {
	if m.Failed == nil {
		m.peers.receive(now, c, b)
	}
}

// Closed of env.Program.
func (m *Member) Closed(_ float64, c env.Conn) { m.peers.closed(c) }

// Delivered of env.Program.
func (m *Member) Delivered(_ float64, c env.Conn, total uint64) { m.peers.taken(c, total) }

// Datagram of env.Program.
func (m *Member) Datagram(float64, []byte) {}

// TimerFired of env.Program.
func (m *Member) TimerFired(now float64, _ int) {
	if m.tick(now); m.Failed == nil {
		m.io.SetTimer(now+memberTick, 0)
	}
}

func (m *Member) tick(now float64) {
	if m.Failed != nil {
		return
	}
	m.peers.tick(now)
	if err := m.Group.Tick(now); err != nil {
		m.fail(err)
		return
	}
	if m.setup.Join && !m.Group.Registered() && now >= m.joinAt { // nobody hears our proposals before we are taken in
		m.joinAt = now + joinAgain
		if b, err := m.Group.RegisterCommand().Encode(); err == nil {
			m.peers.broadcast(peer.Command, b)
		}
	}
}

// Ready of Peers.
func (m *Member) Ready() bool { return m.Failed == nil && m.Group != nil }

// HoldsLease of Peers.
func (m *Member) HoldsLease(now float64) bool { return m.Ready() && m.Group.Lease.Valid(now) }

// Drain of Peers.
func (m *Member) Drain(now float64, s balancer.Server, on bool) (ticket uint64, ok bool) {
	t, ok := m.Group.Drain(now, s, on)
	return uint64(t), ok
}

// Drains of Peers.
func (m *Member) Drains() map[balancer.Server]float64 { return m.Group.State.Drains }

// ServerRecords of Peers.
func (m *Member) ServerRecords() []registry.Record { return m.Group.State.ServerRecords() }

// StoreRecords of Peers: a round does not wait for the group.
func (m *Member) StoreRecords(now float64, records []registry.Record) {
	if news := m.Group.State.ChangedRecords(records); len(news) > 0 {
		m.Group.StoreRecords(now, news)
	}
}
