package coordinator

import (
	"encoding/json"
	"errors"
	"fmt"

	"snowquay/internal/consensus"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/env"
	"snowquay/internal/wire/peer"
)

// Send implements consensus.Messenger.
func (m *Member) Send(to consensus.ID, message []byte) {
	m.peers.send(membership.MemberID(to), peer.Consensus, message)
}

// OwnershipChanged implements consensus.Messenger.
func (m *Member) OwnershipChanged(_ float64, state *membership.State) {
	m.log("proxy ownership changed", "epoch", state.Epoch, "alive_members", state.AliveMembers())
}

// DrainCommitted implements consensus.Messenger.
func (m *Member) DrainCommitted(now float64, command membership.Command) {
	if m.OnDrain != nil {
		m.OnDrain(now, command)
	}
}

// RecordsCommitted implements consensus.Messenger.
func (m *Member) RecordsCommitted(now float64, records []registry.Record) {
	if m.OnRecords != nil {
		m.OnRecords(now, records)
	}
}

// OrdersCompleted implements consensus.Messenger.
func (m *Member) OrdersCompleted(now float64, accepted, rejected []membership.Ticket) {
	if m.OnOrderCompleted == nil {
		return
	}
	for _, ticket := range accepted {
		m.OnOrderCompleted(now, ticket, true)
	}
	for _, ticket := range rejected {
		m.OnOrderCompleted(now, ticket, false)
	}
}

// TenantChanged implements consensus.TenantObserver.
func (m *Member) TenantChanged(now float64, name tenancy.Name, ticket membership.Ticket, outcome tenancy.Outcome) {
	if m.OnTenant != nil {
		m.OnTenant(now, name, ticket, outcome)
	}
}

// receiveReply handles a frame on a connection that this member dialled. The only frame that the peer sends on it is a
// rejection of this member.
func (m *Member) receiveReply(frame peer.Frame) {
	if frame.Kind == peer.Rejection {
		m.fail(fmt.Errorf("%w: member %d: %s", ErrRefused, frame.From, frame.Message))
	}
}

// receiveFrame handles a frame on a connection that another member or a tool dialled. If it returns an error, the caller
// closes the connection.
func (m *Member) receiveFrame(now float64, conn env.Conn, frame peer.Frame) error {
	sender := membership.MemberID(frame.From)
	if sender != 0 {
		err := m.authorize(frame)
		if err != nil {
			_ = m.peers.reply(conn, sender, peer.Rejection, []byte(err.Error())) // the connection is closed in any case
			return err
		}
	}
	switch frame.Kind {
	case peer.Consensus:
		if sender == 0 {
			return peer.ErrFrame
		}
		m.step(now, frame.Message)
	case peer.Command:
		return m.proposeRegistration(now, frame.Message)
	case peer.StatusRequest:
		status, err := m.status(now)
		if err != nil {
			return err
		}
		return m.peers.reply(conn, sender, peer.StatusResponse, status)
	}
	return nil
}

func (m *Member) step(now float64, message []byte) {
	err := m.Group.Step(now, message)
	switch {
	case errors.Is(err, consensus.ErrInvalidMessage):
		m.log("invalid consensus message from peer", "error", err)
	case err != nil:
		m.fail(err)
	}
}

// proposeRegistration proposes the registration or the removal of a member. Other commands are rejected here; members propose
// them through consensus.
func (m *Member) proposeRegistration(now float64, message []byte) error {
	command, err := membership.Decode(message)
	if err != nil {
		return err
	}
	if command.Kind != membership.RegisterMember && command.Kind != membership.RemoveRegistration {
		return fmt.Errorf("%w: kind %d", membership.ErrInvalidCommand, command.Kind)
	}
	m.log("membership change requested", "kind", command.Kind, "member", command.MemberID, "address", command.Address)
	m.Group.Propose(now, command)
	return nil
}

// authorize checks that the sender was not removed from the group, and that it still uses the data directory that its number has
// used before: an emptied directory has lost the member's votes.
func (m *Member) authorize(frame peer.Frame) error {
	sender := membership.MemberID(frame.From)
	if m.Group != nil && m.Group.Removed(sender) {
		return fmt.Errorf("member %d: %w", sender, consensus.ErrRemoved)
	}
	first, err := m.dataDirs.Verify(sender, frame.DataDirID, frame.Commit)
	if err != nil || !first {
		return err
	}
	err = m.storage.SavePeerDataDir(consensus.ID(sender), frame.DataDirID)
	if err != nil {
		m.fail(fmt.Errorf("%w: %w", consensus.ErrStorage, err))
	}
	return m.Failed
}

// Status is one member's view of the state of its group, for operators.
type Status struct {
	Number        membership.MemberID                             `json:"number"`
	Leader        membership.MemberID                             `json:"consensus-leader"` // 0 if unknown
	Commit        uint64                                          `json:"commit"`
	Epoch         membership.Epoch                                `json:"epoch"`
	HoldsLease    bool                                            `json:"holds-lease"`
	Failed        string                                          `json:"failed,omitempty"` // why the member issues no more commands; empty while it works
	Registrations map[membership.MemberID]membership.Registration `json:"seats"`
	Members       map[membership.Peer]membership.Member           `json:"members"`
	Drains        int                                             `json:"drains"`
}

func (m *Member) status(now float64) ([]byte, error) {
	status := Status{Number: m.config.Self}
	if m.Group != nil {
		state := m.Group.State
		status.Leader = membership.MemberID(m.Group.Node.Leader())
		status.Commit = m.commitIndex()
		status.Epoch = state.Epoch
		status.HoldsLease = m.HoldsLease(now)
		status.Registrations = state.Registrations
		status.Members = state.Members
		status.Drains = len(state.Drains)
	}
	if m.Failed != nil {
		status.Failed = m.Failed.Error()
	}
	return json.Marshal(status)
}
