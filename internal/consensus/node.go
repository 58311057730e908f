// Package consensus replicates commands among coordinators by etcd's raft library.
//
// A Node has no I/O of its own: messages, ticks and proposals come in, messages and committed commands go out through its Handler, and what
// must be durable is saved through its Storage before anything follows from it. Elections are timed by the node's own seeded random
// numbers, so a run in virtual time follows from its seed. A Group joins a Node with the state and lease of one coordinator. Times are
// seconds. Nothing here is safe for concurrent use.
package consensus

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"snowquay/internal/core/membership"
	"snowquay/internal/core/random"
)

// ID is a node's number. Numbers are never used twice in a group: a node with an emptied data directory needs a new one.
type ID uint64

// Handler receives what a Node sends and commits.
type Handler interface {
	// Send sends a message to another node. It may be lost.
	Send(to ID, message []byte)
	// Committed receives each committed command once, in the order of the log.
	Committed(now float64, index uint64, command []byte)
	// Restored receives a snapshot that stands for all commands up to an index.
	Restored(now float64, index uint64, snapshot []byte)
}

// Config configures the consensus of a group. Times are seconds.
type Config struct {
	HeartbeatInterval float64 // between two heartbeats of a leader
	ElectionTimeout   float64 // the least time without a heartbeat after which a node calls an election; the most is twice that
	SnapshotEntries   uint64  // log entries after which a snapshot replaces them
	TrailingEntries   uint64  // log entries before a snapshot that are kept for nodes that are a little behind
	MaxMessageBytes   int     // of log entries in one message
}

// DefaultConfig is what settings start from.
var DefaultConfig = Config{
	HeartbeatInterval: 0.1,
	ElectionTimeout:   0.5, // five heartbeats
	SnapshotEntries:   4096,
	TrailingEntries:   512,
	MaxMessageBytes:   256 << 10,
}

const (
	maxInflightMessages    = 64      // to one node that has not acknowledged them
	maxUncommittedMessages = 16      // of Config.MaxMessageBytes each; further proposals are dropped
	disabledElectionTicks  = 1 << 30 // the library's own election timer, whose random numbers are not seeded, never fires
)

var (
	// ErrStorage says that the node's storage failed. It is final for the node.
	ErrStorage = errors.New("consensus: the disk failed")
	// ErrInvalidMessage says that a message of another node was rejected; it changed nothing.
	ErrInvalidMessage = errors.New("consensus: message not read")
	// ErrLogTruncated says that the node's log lacks what the node had acknowledged: its data directory is an old copy, or damaged. It is
	// final for the node.
	ErrLogTruncated = errors.New("consensus: the log lacks what this node has confirmed")
	// ErrNoLeader says that a proposal was dropped, for example because no leader is known.
	ErrNoLeader = errors.New("consensus: no leader is known")
)

// NodeConfig is what a Node consists of.
type NodeConfig struct {
	ID       ID
	Members  []ID                   // the group's first members; none: the node waits until a running group adds it
	Seed     uint64                 // of the random numbers that time elections
	Storage  Storage                // owned by the caller, who closes it after the node's last use
	Handler  Handler                // receives messages and commands
	Snapshot func() ([]byte, error) // encodes the state machine's present state
	Config   Config
}

// Node is one member of a raft group. Use NewNode.
type Node struct {
	id          ID
	raw         *raft.RawNode
	log         *raft.MemoryStorage // what the library reads; Storage has the durable copy
	storage     Storage
	handler     Handler
	config      Config
	stateImage  func() ([]byte, error)
	random      random.LCG
	electionAt  float64
	heartbeatAt float64
	confState   *raftpb.ConfState

	applied         uint64 // index of the newest entry that was handed out
	snapshotIndex   uint64
	snapshotDue     bool   // however short the log is
	confChangeIndex uint64 // of the configuration change that was proposed last; 0 once it is applied
	failed          error  // a final error
}

// NewNode starts a node from its storage; before it returns, the handler receives the snapshot and the committed commands there. With an
// empty storage the node is one of the group's first members, if it has any. An error wraps ErrStorage or the raft library's.
func NewNode(now float64, config NodeConfig) (*Node, error) {
	node := &Node{
		id:         config.ID,
		log:        raft.NewMemoryStorage(),
		storage:    config.Storage,
		handler:    config.Handler,
		config:     config.Config,
		stateImage: config.Snapshot,
		random:     random.NewLCG(config.Seed + uint64(config.ID)),
		confState:  &raftpb.ConfState{},
	}
	saved, err := node.loadOrBootstrap(config.Members)
	if err != nil {
		return nil, err
	}
	if err := node.restore(now, saved); err != nil {
		return nil, err
	}
	node.raw, err = raft.NewRawNode(&raft.Config{
		ID:                        uint64(node.id),
		ElectionTick:              disabledElectionTicks,
		HeartbeatTick:             1,
		Storage:                   node.log,
		Applied:                   node.applied,
		MaxSizePerMsg:             uint64(node.config.MaxMessageBytes),
		MaxInflightMsgs:           maxInflightMessages,
		Logger:                    silentLogger{},
		PreVote:                   true,
		MaxUncommittedEntriesSize: uint64(node.config.MaxMessageBytes) * maxUncommittedMessages,
	})
	if err != nil {
		return nil, err
	}
	node.postponeElection(now)
	node.heartbeatAt = now
	return node, node.processReady(now)
}

// loadOrBootstrap returns what is stored. In an empty storage it first saves the start of a group of these members.
func (n *Node) loadOrBootstrap(members []ID) (PersistentState, error) {
	saved, err := n.storage.Load()
	if err != nil {
		return saved, fmt.Errorf("%w: %w", ErrStorage, err)
	}
	if saved.Snapshot != nil || saved.HardState != nil || len(members) == 0 {
		return saved, nil
	}
	voters := make([]uint64, len(members))
	for i, id := range members {
		voters[i] = uint64(id)
	}
	saved.Snapshot = &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{
		Index:     proto.Uint64(1),
		Term:      proto.Uint64(1),
		ConfState: &raftpb.ConfState{Voters: voters},
	}}
	saved.HardState = &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
	if err := n.storage.Save(saved); err != nil {
		return saved, fmt.Errorf("%w: %w", ErrStorage, err)
	}
	return saved, nil
}

// restore makes what is stored the node's log, and hands a snapshot out.
func (n *Node) restore(now float64, saved PersistentState) error {
	if saved.Snapshot != nil {
		if err := n.applySnapshot(now, saved.Snapshot); err != nil {
			return err
		}
	}
	if err := n.log.Append(saved.Entries); err != nil {
		return err
	}
	if saved.HardState != nil {
		return n.log.SetHardState(saved.HardState)
	}
	return nil
}

// postponeElection draws the time of the next election that this node calls if it does not hear from a leader before.
func (n *Node) postponeElection(now float64) {
	n.electionAt = now + n.config.ElectionTimeout*(1+n.random.Float24())
}

// IsLeader tells whether the node regards itself as the leader. A leader that is cut off does so until it hears otherwise: nothing but
// committed commands may follow from it.
func (n *Node) IsLeader() bool { return n.raw.BasicStatus().RaftState == raft.StateLeader }

// Leader returns the node that this one regards as the leader, or 0.
func (n *Node) Leader() ID { return ID(n.raw.BasicStatus().Lead) }

// AppliedIndex returns the index of the newest command that was handed out.
func (n *Node) AppliedIndex() uint64 { return n.applied }

// CommitIndex returns the index up to which the node knows, durably, that entries are committed.
func (n *Node) CommitIndex() uint64 { return n.raw.BasicStatus().GetCommit() }

// Includes tells whether a node takes part in consensus, as far as this one knows.
func (n *Node) Includes(id ID) bool {
	return slices.Contains(n.confState.GetVoters(), uint64(id)) || slices.Contains(n.confState.GetLearners(), uint64(id))
}

// Config returns who takes part, as the leader knows it; ok is false on other nodes.
func (n *Node) Config() (config membership.ConsensusConfig, ok bool) {
	if !n.IsLeader() || n.failed != nil {
		return config, false
	}
	status := n.raw.Status()
	config.Commit = status.GetCommit()
	config.ChangePending = n.confChangeIndex > n.applied
	config.Match = map[membership.MemberID]uint64{}
	for id, progress := range status.Progress {
		config.Match[membership.MemberID(id)] = progress.Match
	}
	for _, id := range n.confState.GetVoters() {
		config.Voters = append(config.Voters, membership.MemberID(id))
	}
	for _, id := range n.confState.GetLearners() {
		config.Learners = append(config.Learners, membership.MemberID(id))
	}
	return config, true
}

// Tick does what is due by time: heartbeats of a leader, elections of the others. It has to be called several times in a heartbeat
// interval. An error is final for the node.
func (n *Node) Tick(now float64) (err error) {
	if n.failed != nil {
		return n.failed
	}
	defer n.recoverPanic(&err)
	switch {
	case n.IsLeader():
		n.postponeElection(now)
		if now >= n.heartbeatAt {
			n.heartbeatAt = now + n.config.HeartbeatInterval
			n.raw.Tick()
		}
	case now >= n.electionAt:
		n.postponeElection(now)
		if err := n.raw.Campaign(); err != nil {
			return err
		}
	}
	return n.processReady(now)
}

// Step takes a message of another node. An error that wraps ErrInvalidMessage concerns the message only; any other is final for the node.
func (n *Node) Step(now float64, data []byte) (err error) {
	if n.failed != nil {
		return n.failed
	}
	defer n.recoverPanic(&err)
	var message raftpb.Message
	if err := proto.Unmarshal(data, &message); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	if ID(message.GetTo()) != n.id || message.GetFrom() == 0 {
		return fmt.Errorf("%w: from %d to %d", ErrInvalidMessage, message.GetFrom(), message.GetTo())
	}
	switch message.GetType() {
	case raftpb.MessageType_MsgApp, raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgSnap:
		if message.GetTerm() >= n.raw.BasicStatus().GetTerm() { // not from a former leader that was paused
			n.postponeElection(now)
		}
	}
	if err := n.raw.Step(&message); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	return n.processReady(now)
}

// Propose proposes a command to the group. It may be lost, and may be committed even if an error is returned; a proposer that needs it
// committed proposes it again until it is. An error that wraps ErrNoLeader concerns this proposal only; any other is final for the node.
func (n *Node) Propose(now float64, command []byte) (err error) {
	if n.failed != nil {
		return n.failed
	}
	defer n.recoverPanic(&err)
	if err := n.raw.Propose(command); err != nil {
		return fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	return n.processReady(now)
}

// ProposeConfChange proposes one change of who takes part. Errors are as with Propose.
func (n *Node) ProposeConfChange(now float64, id membership.MemberID, change membership.ConfChange) (err error) {
	if n.failed != nil {
		return n.failed
	}
	defer n.recoverPanic(&err)
	kind := raftpb.ConfChangeType_ConfChangeRemoveNode
	switch change {
	case membership.AddLearner:
		kind = raftpb.ConfChangeType_ConfChangeAddLearnerNode
	case membership.PromoteLearner:
		kind = raftpb.ConfChangeType_ConfChangeAddNode
	}
	single := &raftpb.ConfChangeSingle{Type: &kind, NodeId: proto.Uint64(uint64(id))}
	if err := n.raw.ProposeConfChange(&raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{single}}); err != nil {
		return fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	last, _ := n.log.LastIndex() // the library's memory storage returns no error
	n.confChangeIndex = last + 1
	return n.processReady(now)
}

// recoverPanic turns a panic of the library into a final error. It panics where the log lacks what the node has acknowledged, which an
// old copy of a data directory brings about: nothing may follow from such a log.
func (n *Node) recoverPanic(err *error) {
	if cause := recover(); cause != nil {
		n.failed = fmt.Errorf("%w: %v", ErrLogTruncated, cause)
		*err = n.failed
	}
}
