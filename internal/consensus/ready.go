package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// processReady processes the library's pending output: it saves state, then sends messages, then applies committed entries.
func (n *Node) processReady(now float64) error {
	for n.raw.HasReady() {
		ready := n.raw.Ready()
		if err := n.saveReady(now, ready); err != nil {
			n.failed = err
			return err
		}
		n.sendMessages(ready.Messages)
		for _, entry := range ready.CommittedEntries {
			if err := n.applyEntry(now, entry); err != nil {
				n.failed = err
				return err
			}
		}
		n.raw.Advance(ready)
	}
	return n.compact()
}

// saveReady makes entries, votes and snapshots durable, and then adds them to the in-memory log.
func (n *Node) saveReady(now float64, ready raft.Ready) error {
	unsaved := PersistentState{HardState: ready.HardState, Entries: ready.Entries}
	if !raft.IsEmptySnap(ready.Snapshot) {
		unsaved.Snapshot = ready.Snapshot
	}
	if unsaved.HardState != nil || len(unsaved.Entries) > 0 || unsaved.Snapshot != nil {
		if err := n.storage.Save(unsaved); err != nil {
			return fmt.Errorf("%w: %w", ErrStorage, err)
		}
	}
	return n.restore(now, unsaved)
}

func (n *Node) sendMessages(messages []*raftpb.Message) {
	for _, message := range messages {
		if data, err := proto.Marshal(message); err == nil {
			n.handler.Send(ID(message.GetTo()), data)
		}
		if message.GetType() == raftpb.MessageType_MsgSnap {
			n.raw.ReportSnapshot(message.GetTo(), raft.SnapshotFinish) // if the snapshot is lost, the response to the next heartbeat reveals it
		}
	}
}

// applySnapshot makes a snapshot the start of the log and passes it to the handler.
func (n *Node) applySnapshot(now float64, snapshot *raftpb.Snapshot) error {
	if err := n.log.ApplySnapshot(snapshot); err != nil {
		return err
	}
	metadata := snapshot.GetMetadata()
	if conf := metadata.GetConfState(); conf != nil {
		n.confState = conf
	}
	n.applied = metadata.GetIndex()
	n.snapshotIndex = metadata.GetIndex()
	if len(snapshot.GetData()) > 0 { // the initial snapshot of a new group is empty
		n.handler.Restored(now, n.applied, snapshot.GetData())
	}
	return nil
}

func (n *Node) applyEntry(now float64, entry *raftpb.Entry) error {
	n.applied = entry.GetIndex()
	if entry.GetType() != raftpb.EntryType_EntryNormal {
		var change raftpb.ConfChangeV2
		if err := proto.Unmarshal(entry.GetData(), &change); err != nil {
			return err
		}
		n.confState = n.raw.ApplyConfChange(&change)
		n.confChangeIndex = 0
		n.snapshotDue = true // a new member accepts only a snapshot that lists it
		return nil
	}
	if len(entry.GetData()) > 0 { // a new leader's first entry is empty
		n.handler.Committed(now, n.applied, entry.GetData())
	}
	return nil
}

// compact replaces the log with a snapshot if the log is long or a snapshot is due.
func (n *Node) compact() error {
	if n.applied-n.snapshotIndex < n.config.SnapshotEntries && !n.snapshotDue {
		return nil
	}
	n.snapshotDue = false
	state, err := n.encodeState()
	if err != nil {
		return err
	}
	snapshot, err := n.log.CreateSnapshot(n.applied, n.confState, state)
	if err != nil {
		return err
	}
	if err := n.storage.Save(PersistentState{Snapshot: snapshot}); err != nil {
		n.failed = fmt.Errorf("%w: %w", ErrStorage, err)
		return n.failed
	}
	n.snapshotIndex = n.applied
	if n.applied <= n.config.TrailingEntries {
		return nil
	}
	if err := n.log.Compact(n.applied - n.config.TrailingEntries); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}
