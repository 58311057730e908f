package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// processReady saves, sends and hands out what the library has ready, in that order.
func (n *Node) processReady(now float64) error {
	for n.raw.HasReady() {
		ready := n.raw.Ready()
		if err := n.saveReady(now, ready); err != nil {
			n.failed = err
			return err
		}
		n.sendMessages(ready.Messages)
		for _, entry := range ready.CommittedEntries {
			if err := n.commit(now, entry); err != nil {
				n.failed = err
				return err
			}
		}
		n.raw.Advance(ready)
	}
	return n.compact()
}

// saveReady makes entries, votes and snapshots durable, then adds them to the log.
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
			n.raw.ReportSnapshot(message.GetTo(), raft.SnapshotFinish) // if it is lost, the answer to the next heartbeat shows it
		}
	}
}

// applySnapshot makes a snapshot the start of the log and hands it out.
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
	if len(snapshot.GetData()) > 0 { // the one by which a group starts is empty
		n.handler.Restored(now, n.applied, snapshot.GetData())
	}
	return nil
}

func (n *Node) commit(now float64, entry *raftpb.Entry) error {
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

// compact replaces the log by a snapshot when it is long or a snapshot is due.
func (n *Node) compact() error {
	if n.applied-n.snapshotIndex < n.config.SnapshotEntries && !n.snapshotDue {
		return nil
	}
	n.snapshotDue = false
	image, err := n.stateImage()
	if err != nil {
		return err
	}
	snapshot, err := n.log.CreateSnapshot(n.applied, n.confState, image)
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
