// Package consensus replicates commands among coordinators with etcd's raft library.
//
// A Node performs no I/O of its own. Its caller passes in messages, ticks and proposals; the Node passes outgoing messages and committed
// commands to its Handler. Durable state is saved through its Storage before any message or command that depends on it is passed on.
// Elections are timed by the node's own seeded random numbers, so that a run in virtual time is reproducible from its seed. A Group combines
// a Node with the state and lease of one coordinator. Times are in seconds. The types of this package are not safe for concurrent use.
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

// ID identifies a node. IDs are never reused in a group: a node whose data directory was emptied needs a new ID.
type ID uint64

// Handler receives the outgoing messages, committed commands and snapshots of a Node.
type Handler interface {
	// Send sends a message to another node. The message may be lost.
	Send(to ID, message []byte)
	// Committed is called once for each committed command, in log order.
	Committed(now float64, index uint64, command []byte)
	// Restored is called with a snapshot that replaces all commands up to an index.
	Restored(now float64, index uint64, snapshot []byte)
}

// Config configures the consensus of a group. Times are in seconds.
type Config struct {
	HeartbeatInterval float64 // time between two heartbeats of a leader
	ElectionTimeout   float64 // minimum time without a heartbeat before a node starts an election; the maximum is twice that
	SnapshotEntries   uint64  // number of log entries after which a snapshot replaces them
	TrailingEntries   uint64  // number of log entries before a snapshot that are retained for nodes that are slightly behind
	MaxMessageBytes   int     // maximum size of the log entries in one message
}

// DefaultConfig is the default configuration, which settings override.
var DefaultConfig = Config{
	HeartbeatInterval: 0.1,
	ElectionTimeout:   0.5, // five heartbeats
	SnapshotEntries:   4096,
	TrailingEntries:   512,
	MaxMessageBytes:   256 << 10,
}

const (
	maxInflightMessages    = 64      // unacknowledged messages to one node
	maxUncommittedMessages = 16      // uncommitted entries, in units of Config.MaxMessageBytes; further proposals are dropped
	disabledElectionTicks  = 1 << 30 // never reached: disables the library's election timer, whose random numbers are not seeded
)

var (
	// ErrStorage reports that the node's storage failed. It is final for the node.
	ErrStorage = errors.New("consensus: storage failed")
	// ErrInvalidMessage reports that a message from another node was rejected and had no effect.
	ErrInvalidMessage = errors.New("consensus: invalid message")
	// ErrLogTruncated reports that the node's log lacks entries that the node has acknowledged: its data directory is an old copy, or
	// damaged. It is final for the node.
	ErrLogTruncated = errors.New("consensus: the log lacks entries that this node has acknowledged")
	// ErrNoLeader reports that a proposal was dropped, for example because no leader is known.
	ErrNoLeader = errors.New("consensus: no leader is known")
)

// NodeConfig configures a Node and provides its storage, handler and state machine.
type NodeConfig struct {
	ID       ID
	Members  []ID                   // the group's initial members; if empty, the node waits until a running group adds it
	Seed     uint64                 // seed of the random election timeouts
	Storage  Storage                // owned by the caller, which closes it after the last use of the node
	Handler  Handler                // receives messages, commands and snapshots
	Snapshot func() ([]byte, error) // encodes the current state of the state machine
	Config   Config
}

// Node is one member of a raft group. Use NewNode.
type Node struct {
	id          ID
	raw         *raft.RawNode
	log         *raft.MemoryStorage // the log as the library reads it; storage has the durable copy
	storage     Storage
	handler     Handler
	config      Config
	encodeState func() ([]byte, error)
	random      random.LCG
	electionAt  float64
	heartbeatAt float64
	confState   *raftpb.ConfState

	applied         uint64 // index of the newest entry or snapshot that was applied
	snapshotIndex   uint64
	snapshotDue     bool   // create a snapshot regardless of the log's length
	confChangeIndex uint64 // index of the configuration change that was proposed last; 0 after it is applied
	failed          error  // a final error
}

// NewNode starts a node from its storage. Before it returns, it passes the stored snapshot and the stored committed commands to the handler.
// If the storage is empty and config lists the group's initial members, the node starts as one of them. An error wraps ErrStorage or an
// error of the raft library.
func NewNode(now float64, config NodeConfig) (*Node, error) {
	node := &Node{
		id:          config.ID,
		log:         raft.NewMemoryStorage(),
		storage:     config.Storage,
		handler:     config.Handler,
		config:      config.Config,
		encodeState: config.Snapshot,
		random:      random.NewLCG(config.Seed + uint64(config.ID)),
		confState:   &raftpb.ConfState{},
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

// loadOrBootstrap returns the stored state. If the storage is empty, it first saves the initial state of a group with these members.
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

// restore adds saved state to the node's log, and passes a snapshot to the handler.
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

// postponeElection sets a random time at which this node starts an election unless it receives a message from a leader before then.
func (n *Node) postponeElection(now float64) {
	n.electionAt = now + n.config.ElectionTimeout*(1+n.random.Float24())
}

// IsLeader reports whether the node considers itself the leader. A partitioned leader does so until it learns otherwise, so only committed
// commands may have effects.
func (n *Node) IsLeader() bool { return n.raw.BasicStatus().RaftState == raft.StateLeader }

// Leader returns the ID of the node that this node considers the leader, or 0.
func (n *Node) Leader() ID { return ID(n.raw.BasicStatus().Lead) }

// AppliedIndex returns the index of the newest log entry or snapshot that the node has applied.
func (n *Node) AppliedIndex() uint64 { return n.applied }

// CommitIndex returns the index up to which the node durably knows that log entries are committed.
func (n *Node) CommitIndex() uint64 { return n.raw.BasicStatus().GetCommit() }

// Includes reports whether a node is a voter or learner, as far as this node knows.
func (n *Node) Includes(id ID) bool {
	return slices.Contains(n.confState.GetVoters(), uint64(id)) || slices.Contains(n.confState.GetLearners(), uint64(id))
}

// Config returns the consensus configuration as known to the leader; ok is false on other nodes.
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

// Tick performs the work that is due: it sends heartbeats if the node is the leader, and otherwise starts elections. It must be called
// several times per heartbeat interval. An error is final for the node.
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

// Step processes a message from another node. An error that wraps ErrInvalidMessage concerns only the message; any other error is final for
// the node.
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
		return fmt.Errorf("%w: sender %d, receiver %d", ErrInvalidMessage, message.GetFrom(), message.GetTo())
	}
	switch message.GetType() {
	case raftpb.MessageType_MsgApp, raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgSnap:
		if message.GetTerm() >= n.raw.BasicStatus().GetTerm() { // ignore a former leader that was paused
			n.postponeElection(now)
		}
	}
	if err := n.raw.Step(&message); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	return n.processReady(now)
}

// Propose proposes a command to the group. The command may be lost, and may be committed even if an error is returned; a proposer that needs
// it committed must repeat the proposal until it is. An error that wraps ErrNoLeader concerns only this proposal; any other error is final
// for the node.
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

// ProposeConfChange proposes one change of the consensus configuration. Errors are as in Propose.
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
	last, _ := n.log.LastIndex() // raft.MemoryStorage never returns an error here
	n.confChangeIndex = last + 1
	return n.processReady(now)
}

// recoverPanic turns a panic of the raft library into a final error. The library panics if the log lacks entries that the node has
// acknowledged, which happens if the data directory is an old copy. Such a log must not have any effects.
func (n *Node) recoverPanic(err *error) {
	if cause := recover(); cause != nil {
		n.failed = fmt.Errorf("%w: %v", ErrLogTruncated, cause)
		*err = n.failed
	}
}
