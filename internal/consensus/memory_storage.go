package consensus

import (
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// MemoryStorage is a Storage in memory, which outlives a node but not the process. The zero value is an empty storage.
type MemoryStorage struct {
	SaveError    error  // if not nil, Save returns it and stores nothing
	OwnDataDirID uint64 // returned by DataDirID

	saved        PersistentState
	peerDataDirs map[ID]uint64
}

// DataDirID implements Storage.
func (m *MemoryStorage) DataDirID() uint64 { return m.OwnDataDirID }

// SavePeerDataDir implements Storage.
func (m *MemoryStorage) SavePeerDataDir(id ID, dataDirID uint64) error {
	if m.peerDataDirs == nil {
		m.peerDataDirs = map[ID]uint64{}
	}
	m.peerDataDirs[id] = dataDirID
	return nil
}

// PeerDataDirs implements Storage.
func (m *MemoryStorage) PeerDataDirs() map[ID]uint64 { return maps.Clone(m.peerDataDirs) }

// Copy returns an independent copy of the storage in its current state.
func (m *MemoryStorage) Copy() MemoryStorage {
	c := *m
	c.saved.Entries = slices.Clone(m.saved.Entries)
	c.peerDataDirs = maps.Clone(m.peerDataDirs)
	return c
}

// Save implements Storage.
func (m *MemoryStorage) Save(state PersistentState) error {
	if m.SaveError != nil {
		return m.SaveError
	}
	if state.Snapshot != nil {
		m.saved.Snapshot = state.Snapshot
		last := state.Snapshot.GetMetadata().GetIndex()
		m.saved.Entries = slices.DeleteFunc(m.saved.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= last })
	}
	if len(state.Entries) > 0 {
		first := state.Entries[0].GetIndex()
		m.saved.Entries = slices.DeleteFunc(m.saved.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		m.saved.Entries = append(m.saved.Entries, state.Entries...)
	}
	if state.HardState != nil {
		m.saved.HardState = state.HardState
	}
	return nil
}

// Load implements Storage.
func (m *MemoryStorage) Load() (PersistentState, error) {
	state := m.saved
	state.Entries = slices.Clone(state.Entries)
	return state, nil
}
