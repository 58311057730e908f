// Package consensus replicates commands among coordinators by etcd's raft library. A Node has no I/O of its own: messages,
// ticks and proposals come in, messages and committed commands go out, and what must be durable is saved through an
// interface before anything follows from it. Elections are timed by the node's own seeded chance, so that a day in
// virtual time follows from its seed.
package consensus

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"snowquay/internal/core/membership"
)

// ID of a node. Numbers are never used twice in a group: an emptied folder needs a new one.
type ID uint64

// PersistentState is what a disk holds.
type PersistentState struct {
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
	Snapshot  *raftpb.Snapshot
}

// Storage keeps what a node must not forget. Save returns when it is durable; an error is final for the node.
type Storage interface {
	Save(PersistentState) error
	Load() (PersistentState, error)
	// DataDirID is the folder's own, drawn when it was made.
	DataDirID() uint64
	// SavePeerDataDir keeps by which folder another number speaks.
	SavePeerDataDir(id ID, mark uint64) error
	PeerDataDirs() map[ID]uint64
}

// Handler takes what a Node orders.
type Handler interface {
	Send(to ID, b []byte)
	// Committed tells of a command, once and in order. data is nil for the raft library's own entries.
	Committed(now float64, index uint64, data []byte)
	// Restored tells of a snapshot that stands for all commands up to an index.
	Restored(now float64, index uint64, data []byte)
}

// Config of a group. Times are seconds.
type Config struct {
	HeartbeatInterval float64 // between two of a leader's
	ElectionTimeout   float64 // without a leader's word, after which a node stands for election, at least; up to twice that
	SnapshotEntries   uint64  // entries after which the state is put into a snapshot
	TrailingEntries   uint64  // entries before a snapshot that stay for nodes that are a little behind
	MaxMessageBytes   int     // bytes of entries in one message
}

// DefaultConfig are those that settings start from.
var DefaultConfig = Config{
	HeartbeatInterval: 0.1,
	ElectionTimeout:   0.5, // five heartbeats
	SnapshotEntries:   4096,
	TrailingEntries:   512,
	MaxMessageBytes:   256 << 10,
}

// neverTicks is more ticks than are ever given: the library's own election timer, whose chance is not ours, never rings.
const neverTicks = 1 << 30

var (
	// ErrStorage says that the node can't go on since it could not save.
	ErrStorage = errors.New("consensus: the disk failed")
	// ErrInvalidMessage says that a message could not be read; it changed nothing.
	ErrInvalidMessage = errors.New("consensus: message not read")
	// ErrLogTruncated says that the node's log lacks what it had confirmed: its folder is an old copy, or damaged.
	ErrLogTruncated = errors.New("consensus: the log lacks what this node has confirmed")
	// ErrNoLeader says that no leader is known, so that a command goes nowhere.
	ErrNoLeader = errors.New("consensus: no leader is known")
)

// Node is one member. Use New.
type Node struct {
	id       ID
	raw      *raft.RawNode
	storage  *raft.MemoryStorage
	disk     Storage
	out      Handler
	terms    Config
	chance   uint64
	electAt  float64
	beatAt   float64
	conf     *raftpb.ConfState
	applied  uint64
	snapped  uint64
	snapNow  bool                   // a snapshot is due, however short the log is
	changing uint64                 // index of a change that is under way
	image    func() ([]byte, error) // of the state machine
	failed   error
}

// New starts a node from its disk. With an empty disk it is one of a group's first members; without members it waits until
// a running group takes it in. image gives the state machine's snapshot.
func New(now float64, id ID, members []ID, seed uint64, disk Storage, out Handler, image func() ([]byte, error), terms Config) (*Node,
	error) {
	n := &Node{id: id, storage: raft.NewMemoryStorage(), disk: disk, out: out, terms: terms, image: image,
		chance: seed*2 + uint64(id)*2 + 1}
	saved, err := disk.Load()
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrStorage, err)
	}
	if saved.Snapshot == nil && saved.HardState == nil && len(members) > 0 {
		voters := make([]uint64, len(members))
		for i, m := range members {
			voters[i] = uint64(m)
		}
		saved.Snapshot = &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
			ConfState: &raftpb.ConfState{Voters: voters}}}
		saved.HardState = &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
		if err := disk.Save(saved); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrStorage, err)
		}
	}
	if saved.Snapshot != nil {
		if err := n.storage.ApplySnapshot(saved.Snapshot); err != nil {
			return nil, err
		}
		meta := saved.Snapshot.GetMetadata()
		n.conf, n.applied, n.snapped = meta.GetConfState(), meta.GetIndex(), meta.GetIndex()
		if len(saved.Snapshot.GetData()) > 0 {
			out.Restored(now, n.applied, saved.Snapshot.GetData())
		}
	}
	if err := n.storage.Append(saved.Entries); err != nil {
		return nil, err
	}
	if n.conf == nil {
		n.conf = &raftpb.ConfState{}
	}
	if saved.HardState != nil {
		if err := n.storage.SetHardState(saved.HardState); err != nil {
			return nil, err
		}
	}
	n.raw, err = raft.NewRawNode(&raft.Config{ID: uint64(id), ElectionTick: neverTicks, HeartbeatTick: 1, Storage: n.storage,
		Applied: n.applied, MaxSizePerMsg: uint64(terms.MaxMessageBytes), MaxInflightMsgs: 64, Logger: silent{}, PreVote: true,
		MaxUncommittedEntriesSize: uint64(terms.MaxMessageBytes) * 16})
	if err != nil {
		return nil, err
	}
	n.later(now)
	n.beatAt = now
	return n, n.ready(now)
}

func (n *Node) later(now float64) {
	n.chance = n.chance*6364136223846793005 + 1442695040888963407
	n.electAt = now + n.terms.ElectionTimeout*(1+float64(n.chance>>40)/(1<<24))
}

// IsLeader tells whether the node takes itself for the leader. A leader that is cut off does so until it hears otherwise:
// nothing but commands that were committed may follow from it.
func (n *Node) IsLeader() bool { return n.raw.BasicStatus().RaftState == raft.StateLeader }

// Leader is the node that is taken for the leader; 0: none.
func (n *Node) Leader() ID { return ID(n.raw.BasicStatus().Lead) }

// AppliedIndex is the index of the newest command that was handed out.
func (n *Node) AppliedIndex() uint64 { return n.applied }

// Includes tells whether a number takes part in consensus, as far as this node knows.
func (n *Node) Includes(id ID) bool {
	return slices.Contains(n.conf.GetVoters(), uint64(id)) || slices.Contains(n.conf.GetLearners(), uint64(id))
}

// CommitIndex is the index up to which the node knows, durably, that entries are agreed on.
func (n *Node) CommitIndex() uint64 { return n.raw.BasicStatus().GetCommit() }

// Config is who takes part, as the leader knows it; ok is false elsewhere.
func (n *Node) Config() (c membership.ConsensusConfig, ok bool) {
	if !n.IsLeader() || n.failed != nil {
		return c, false
	}
	s := n.raw.Status()
	c.Match, c.Commit, c.ChangePending = map[membership.MemberID]uint64{}, s.GetCommit(), n.changing > n.applied
	for id, p := range s.Progress {
		c.Match[membership.MemberID(id)] = p.Match
	}
	for _, id := range n.conf.GetVoters() {
		c.Voters = append(c.Voters, membership.MemberID(id))
	}
	for _, id := range n.conf.GetLearners() {
		c.Learners = append(c.Learners, membership.MemberID(id))
	}
	return c, true
}

// guard turns the library's panics into a final error. It panics where the log lacks what it has confirmed, which an old
// copy of a folder brings about: nothing may follow from such a log.
func (n *Node) guard(err *error) {
	if r := recover(); r != nil {
		n.failed = fmt.Errorf("%w: %v", ErrLogTruncated, r)
		*err = n.failed
	}
}

// Tick does what is due by time.
func (n *Node) Tick(now float64) (err error) {
	if n.failed != nil {
		return n.failed
	}
	defer n.guard(&err)
	if n.IsLeader() {
		n.later(now)
		if now >= n.beatAt {
			n.beatAt = now + n.terms.HeartbeatInterval
			n.raw.Tick()
		}
	} else if now >= n.electAt {
		n.later(now)
		if err := n.raw.Campaign(); err != nil {
			return err
		}
	}
	return n.ready(now)
}

// Step takes a message of another node.
func (n *Node) Step(now float64, b []byte) (err error) {
	if n.failed != nil {
		return n.failed
	}
	defer n.guard(&err)
	var m raftpb.Message
	if err := proto.Unmarshal(b, &m); err != nil {
		return fmt.Errorf("%w: %v", ErrInvalidMessage, err)
	}
	if ID(m.GetTo()) != n.id || m.GetFrom() == 0 {
		return fmt.Errorf("%w: from %d to %d", ErrInvalidMessage, m.GetFrom(), m.GetTo())
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgApp, raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgSnap:
		if m.GetTerm() >= n.raw.BasicStatus().GetTerm() { // a leader of the past, which was paused, is not one to wait for
			n.later(now)
		}
	}
	if err := n.raw.Step(&m); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("%w: %v", ErrInvalidMessage, err)
	}
	return n.ready(now)
}

// Propose hands a command to the group. It may be lost, and may come out even if an error is returned; whoever must know
// proposes it again until it comes out.
func (n *Node) Propose(now float64, data []byte) error {
	if n.failed != nil {
		return n.failed
	}
	if err := n.raw.Propose(data); err != nil {
		return fmt.Errorf("%w: %v", ErrNoLeader, err)
	}
	return n.ready(now)
}

// ready saves, sends and hands out what the library has ready, in that order.
func (n *Node) ready(now float64) error {
	for n.raw.HasReady() {
		r := n.raw.Ready()
		saved := PersistentState{HardState: r.HardState, Entries: r.Entries}
		if !raft.IsEmptySnap(r.Snapshot) {
			saved.Snapshot = r.Snapshot
		}
		if saved.HardState != nil || len(saved.Entries) > 0 || saved.Snapshot != nil {
			if err := n.disk.Save(saved); err != nil {
				n.failed = fmt.Errorf("%w: %v", ErrStorage, err)
				return n.failed // nothing follows from what is not durable
			}
		}
		if err := n.take(now, r, saved.Snapshot); err != nil {
			n.failed = err
			return err
		}
		for _, m := range r.Messages {
			if b, err := proto.Marshal(m); err == nil {
				n.out.Send(ID(m.GetTo()), b)
			}
			if m.GetType() == raftpb.MessageType_MsgSnap {
				n.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // if it is lost the next heartbeat's answer tells
			}
		}
		for _, e := range r.CommittedEntries {
			if err := n.commit(now, e); err != nil {
				n.failed = err
				return err
			}
		}
		n.raw.Advance(r)
	}
	return n.compact()
}

func (n *Node) take(now float64, r raft.Ready, snapshot *raftpb.Snapshot) error {
	if snapshot != nil {
		if err := n.storage.ApplySnapshot(snapshot); err != nil {
			return err
		}
		meta := snapshot.GetMetadata()
		n.conf, n.applied, n.snapped = meta.GetConfState(), meta.GetIndex(), meta.GetIndex()
		if len(snapshot.GetData()) > 0 { // that of a group's start has none
			n.out.Restored(now, n.applied, snapshot.GetData())
		}
	}
	if err := n.storage.Append(r.Entries); err != nil {
		return err
	}
	if r.HardState != nil {
		return n.storage.SetHardState(r.HardState)
	}
	return nil
}

func (n *Node) commit(now float64, e *raftpb.Entry) error {
	n.applied = e.GetIndex()
	if e.GetType() != raftpb.EntryType_EntryNormal {
		var c raftpb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &c); err != nil {
			return err
		}
		n.conf, n.changing = n.raw.ApplyConfChange(&c), 0
		n.snapNow = true // a newcomer takes only a snapshot that names it
		return nil
	}
	if len(e.GetData()) > 0 {
		n.out.Committed(now, n.applied, e.GetData())
	}
	return nil
}

// compact puts the state into a snapshot when the log is long.
func (n *Node) compact() error {
	if n.applied-n.snapped < n.terms.SnapshotEntries && !n.snapNow {
		return nil
	}
	n.snapNow = false
	data, err := n.image()
	if err != nil {
		return err
	}
	s, err := n.storage.CreateSnapshot(n.applied, n.conf, data)
	if err != nil {
		return err
	}
	if err := n.disk.Save(PersistentState{Snapshot: s}); err != nil {
		n.failed = fmt.Errorf("%w: %v", ErrStorage, err)
		return n.failed
	}
	n.snapped = n.applied
	if n.applied <= n.terms.TrailingEntries {
		return nil
	}
	if err := n.storage.Compact(n.applied - n.terms.TrailingEntries); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

// ProposeConfChange proposes one change of who takes part.
func (n *Node) ProposeConfChange(now float64, id membership.MemberID, what membership.ConfChange) error {
	if n.failed != nil {
		return n.failed
	}
	kind := raftpb.ConfChangeType_ConfChangeRemoveNode
	switch what {
	case membership.AddLearner:
		kind = raftpb.ConfChangeType_ConfChangeAddLearnerNode
	case membership.PromoteLearner:
		kind = raftpb.ConfChangeType_ConfChangeAddNode
	}
	err := n.raw.ProposeConfChange(&raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: &kind,
		NodeId: proto.Uint64(uint64(id))}}})
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNoLeader, err)
	}
	n.changing, _ = n.storage.LastIndex()
	n.changing++
	return n.ready(now)
}

// silent keeps the library from writing to standard error.
type silent struct{}

func (silent) Debug(...any)            {}
func (silent) Debugf(string, ...any)   {}
func (silent) Error(...any)            {}
func (silent) Errorf(string, ...any)   {}
func (silent) Info(...any)             {}
func (silent) Infof(string, ...any)    {}
func (silent) Warning(...any)          {}
func (silent) Warningf(string, ...any) {}
func (silent) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (silent) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silent) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
