package consensus

import (
	"crypto/rand"
	"encoding/binary"

	"go.etcd.io/raft/v3/raftpb"
)

// PersistentState is the state that a node must store durably, or the part of it that has changed.
type PersistentState struct {
	HardState *raftpb.HardState // term, vote and commit index
	Entries   []*raftpb.Entry   // log entries
	Snapshot  *raftpb.Snapshot
}

// Storage is the durable storage of one node.
type Storage interface {
	// Save stores the state and returns when it is durable. Entries replace the stored entries with the same and all later indexes; a
	// snapshot replaces all entries up to its index. An error is final for the node.
	Save(PersistentState) error
	// Load returns the whole saved state.
	Load() (PersistentState, error)
	// DataDirID returns the ID that was assigned to the data directory when it was created.
	DataDirID() uint64
	// SavePeerDataDir stores the ID of another node's data directory.
	SavePeerDataDir(id ID, dataDirID uint64) error
	// PeerDataDirs returns the stored data directory IDs by node.
	PeerDataDirs() map[ID]uint64
}

// RandomID returns a random number that uniquely identifies a data directory or a process. It is never 0.
func RandomID() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:]) // rand.Read never returns an error
	return binary.BigEndian.Uint64(random[:]) | 1
}
