package consensus

import (
	"crypto/rand"
	"encoding/binary"

	"go.etcd.io/raft/v3/raftpb"
)

// PersistentState is what a node must not forget, or a part of it that has changed.
type PersistentState struct {
	HardState *raftpb.HardState // term, vote and commit index
	Entries   []*raftpb.Entry   // of the log
	Snapshot  *raftpb.Snapshot
}

// Storage is the durable storage of one node.
type Storage interface {
	// Save returns when the state is durable. Entries replace those with their indexes and all later ones; a snapshot replaces all
	// entries up to its index. An error is final for the node.
	Save(PersistentState) error
	// Load returns all that was saved.
	Load() (PersistentState, error)
	// DataDirID returns the ID that the data directory was given when it was created.
	DataDirID() uint64
	// SavePeerDataDir stores the ID of another node's data directory.
	SavePeerDataDir(id ID, dataDirID uint64) error
	// PeerDataDirs returns the IDs of data directories that were stored, by node.
	PeerDataDirs() map[ID]uint64
}

// RandomID returns a number that identifies a data directory or a process uniquely. It is never 0.
func RandomID() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:]) // it never returns an error
	return binary.BigEndian.Uint64(random[:]) | 1
}
