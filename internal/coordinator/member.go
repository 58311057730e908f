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
	memberTickInterval = 0.02 // seconds between ticks of a member that runs as its own program
	joinRetryInterval  = 0.5  // seconds between requests to join the group
)

// ErrRefused reports that another coordinator refuses this one. A refused coordinator issues no more commands.
var ErrRefused = errors.New("refused by another coordinator")

// GroupConfig configures a Member of a group.
type GroupConfig struct {
	// Self is the number of this member.
	Self membership.MemberID
	// Weight is this member's share of the proxies, relative to the weights of the other members.
	Weight float64
	// Members maps the numbers of the known members of the group, including this one, to their listen addresses.
	Members map[membership.MemberID]netip.AddrPort
	// Join makes the member request its registration with a group that is already running.
	Join bool
	// Key authenticates frames between members.
	Key       []byte
	Consensus consensus.Config
	Lease     membership.LeaseConfig
	// Capacity is the capacity of each host, in a group of hosts.
	Capacity tenancy.Capacity
}

// PeerName returns the name of the member with the given number.
func PeerName(id membership.MemberID) membership.Peer { return membership.Peer(fmt.Sprint("c", id)) }

// Member is a coordinator's membership of a group: it connects to the other members, participates in consensus, and determines
// which proxies it owns. It implements env.Program and Peers.
type Member struct {
	config      GroupConfig
	storage     consensus.Storage
	incarnation uint64
	log         func(event string, attributes ...any)
	io          env.IO
	peers       *peerTransport
	dataDirs    *membership.DataDirs
	nextJoinAt  float64 // clock time in seconds
	leaving     bool

	// Group is this member's replica of the group's state; nil before Start.
	Group *consensus.Group
	// Failed is the error because of which the member issues no more commands; nil while it works.
	Failed error

	// OnFail is called once, when Failed is set. OnFail and the callbacks below may be nil.
	OnFail func(error)
	// OnDrain is called when a drain or the end of a drain is committed.
	OnDrain func(now float64, command membership.Command)
	// OnRecords is called when server records are committed.
	OnRecords func(now float64, records []registry.Record)
	// OnOrderCompleted is called when an order that this member submitted is accepted or rejected.
	OnOrderCompleted func(now float64, ticket membership.Ticket, accepted bool)
	// OnTenant is called when a change of a tenant is committed.
	OnTenant func(now float64, name tenancy.Name, ticket membership.Ticket, outcome tenancy.Outcome)
}

// NewMember returns a member that does nothing until Start. No earlier process of the member may have used the incarnation. The
// caller owns the storage and closes it after the member has ended.
func NewMember(config GroupConfig, storage consensus.Storage, incarnation uint64, log func(event string, attributes ...any)) *Member {
	return &Member{config: config, storage: storage, incarnation: incarnation, log: log}
}

// Start implements env.Program.
func (m *Member) Start(now float64, io env.IO) {
	m.begin(now, io)
	if m.Failed == nil {
		io.SetTimer(now, 0)
	}
}

// begin starts the member without setting a timer.
func (m *Member) begin(now float64, io env.IO) {
	m.io = io
	m.peers = newPeerTransport(m, io)
	known := map[membership.MemberID]uint64{}
	for id, dataDir := range m.storage.PeerDataDirs() {
		known[membership.MemberID(id)] = dataDir
	}
	m.dataDirs = membership.NewDataDirs(known)
	group, err := consensus.NewGroup(now, m.groupConfig(), m.storage, m)
	m.Group = group
	if err != nil {
		m.fail(err)
	}
}

func (m *Member) groupConfig() consensus.GroupConfig {
	self := m.config.Self
	config := consensus.GroupConfig{
		ID:           self,
		Registration: membership.Registration{Peer: PeerName(self), Address: m.config.Members[self]},
		Weight:       m.config.Weight,
		Seed:         m.incarnation,
		Consensus:    m.config.Consensus,
		Lease:        m.config.Lease,
		Capacity:     m.config.Capacity,
	}
	if m.config.Join {
		return config
	}
	for _, id := range sortedIDs(m.config.Members) {
		config.Members = append(config.Members, consensus.ID(id))
	}
	return config
}

func sortedIDs[V any](byID map[membership.MemberID]V) []membership.MemberID {
	ids := make([]membership.MemberID, 0, len(byID))
	for id := range byID {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare[membership.MemberID])
	return ids
}

// port returns the port on which the member listens for the others.
func (m *Member) port() uint16 { return m.config.Members[m.config.Self].Port() }

// addresses returns the addresses of the other members. Registered addresses take precedence over those of the settings.
func (m *Member) addresses() map[membership.MemberID]netip.AddrPort {
	addresses := make(map[membership.MemberID]netip.AddrPort, len(m.config.Members))
	for id, address := range m.config.Members {
		addresses[id] = address
	}
	if m.Group != nil {
		for id, registration := range m.Group.State.Registrations {
			addresses[id] = registration.Address
			if m.Group.Node != nil && m.Group.Removed(id) {
				delete(addresses, id)
			}
		}
	}
	delete(addresses, m.config.Self)
	return addresses
}

func (m *Member) commitIndex() uint64 {
	replaying := m.Group == nil || m.Group.Node == nil
	if replaying {
		return 0
	}
	return m.Group.Node.CommitIndex()
}

// fail permanently ends the member's participation in the group.
func (m *Member) fail(err error) {
	if m.Failed != nil {
		return
	}
	m.Failed = err
	m.log("coordinator failed, issuing no more commands", "error", err)
	if m.OnFail != nil {
		m.OnFail(err)
	}
}

// TimerFired implements env.Program.
func (m *Member) TimerFired(now float64, _ int) {
	m.tick(now)
	if m.Failed == nil {
		m.io.SetTimer(now+memberTickInterval, 0)
	}
}

func (m *Member) tick(now float64) {
	if m.Failed != nil {
		return
	}
	m.peers.tick(now)
	err := m.Group.Tick(now)
	if err != nil {
		m.fail(err)
		return
	}
	if m.config.Join && !m.Group.Registered() && now >= m.nextJoinAt {
		m.nextJoinAt = now + joinRetryInterval
		m.requestJoin()
	}
}

// requestJoin asks all members that can be reached to propose this member's registration, since proposals of an unregistered
// member are ignored.
func (m *Member) requestJoin() {
	command, err := m.Group.RegisterCommand().Encode()
	if err == nil {
		m.peers.broadcast(peer.Command, command)
	}
}

// Leave releases the member's lease. It reports whether the lease has ended in the committed state of the group, or can't be
// released because the member has failed. The caller repeats the call until it returns true.
func (m *Member) Leave(now float64) (released bool) {
	if !m.leaving {
		m.leaving = true
		err := m.Group.ReleaseLease(now)
		if err != nil {
			m.fail(err)
			return true
		}
	}
	return !m.Group.State.Members[PeerName(m.config.Self)].Alive
}

// Opened implements env.Program.
func (m *Member) Opened(now float64, conn env.Conn, _ netip.Addr, _ uint16) {
	m.peers.opened(now, conn)
}

// Connected implements env.Program.
func (m *Member) Connected(_ float64, conn env.Conn, ok bool) { m.peers.connected(conn, ok) }

// Receive implements env.Program.
func (m *Member) Receive(now float64, conn env.Conn, data []byte) {
	if m.Failed == nil {
		m.peers.receive(now, conn, data)
	}
}

// Closed implements env.Program.
func (m *Member) Closed(_ float64, conn env.Conn) { m.peers.closed(conn) }

// Delivered implements env.Program.
func (m *Member) Delivered(_ float64, conn env.Conn, total uint64) { m.peers.delivered(conn, total) }

// Datagram implements env.Program. A member receives no datagrams.
func (m *Member) Datagram(float64, []byte) {}

// Ready implements Peers.
func (m *Member) Ready() bool { return m.Failed == nil && m.Group != nil }

// HoldsLease implements Peers.
func (m *Member) HoldsLease(now float64) bool { return m.Ready() && m.Group.Lease.Valid(now) }

// Owns implements Peers.
func (m *Member) Owns(now float64, uid string) bool {
	return m.Ready() && m.Group.Lease.Owns(now, m.Group.State, uid)
}

// Epoch implements Peers. It is 0 before Start.
func (m *Member) Epoch() uint64 {
	if m.Group == nil {
		return 0
	}
	return uint64(m.Group.State.Epoch)
}

// ProxyRedirected implements Peers.
func (m *Member) ProxyRedirected(now float64, uid string) {
	if m.Group != nil {
		m.Group.MisroutedProxies.Observe(now, uid)
	}
}

// Drain implements Peers.
func (m *Member) Drain(now float64, server balancer.Server, draining bool) (ticket uint64, ok bool) {
	order, ok := m.Group.Drain(now, server, draining)
	return uint64(order), ok
}

// Drains implements Peers.
func (m *Member) Drains() map[balancer.Server]float64 { return m.Group.State.Drains }

// ServerRecords implements Peers.
func (m *Member) ServerRecords() []registry.Record { return m.Group.State.ServerRecords() }

// StoreRecords implements Peers.
func (m *Member) StoreRecords(now float64, records []registry.Record) {
	changed := m.Group.State.ChangedRecords(records)
	if len(changed) > 0 {
		m.Group.StoreRecords(now, changed)
	}
}
