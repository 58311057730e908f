package consensus

import (
	"encoding/binary"
	"maps"
	"os"
	"path/filepath"
	"testing"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"snowquay/internal/core/membership"
	"snowquay/internal/golden"
)

const goldenDataDirID = 0x0102030405060708

func goldenPersistentState(t *testing.T) PersistentState {
	t.Helper()
	command, err := membership.Command{Kind: membership.DrainServer, Server: "127.0.1.2:8080", Draining: true, ID: 101, OrderedAt: 2000.5}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	state, err := (&membership.State{Epoch: 3}).Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return PersistentState{
		HardState: &raftpb.HardState{Term: new(uint64(4)), Vote: new(uint64(2)), Commit: new(uint64(12))},
		Snapshot: &raftpb.Snapshot{Data: state, Metadata: &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3}},
			Index: new(uint64(11)), Term: new(uint64(3))}},
		Entries: []*raftpb.Entry{{Term: new(uint64(4)), Index: new(uint64(12)), Data: command}, {Term: new(uint64(4)), Index: new(uint64(13)), Data: command}},
	}
}

func TestStoredLog(t *testing.T) {
	fill := func(path string) {
		f, err := OpenFileStorage(path, 1)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.Save(goldenPersistentState(t)); err != nil {
			t.Fatal(err)
		}
		if err := f.SavePeerDataDir(2, 0x22); err != nil {
			t.Fatal(err)
		}
		// The data directory ID of a new file is random, so it is replaced by a fixed one.
		if err := f.db.Update(func(tx *bolt.Tx) error {
			return tx.Bucket(singletonBucket).Put(dataDirIDKey, binary.BigEndian.AppendUint64(nil, goldenDataDirID))
		}); err != nil {
			t.Fatal(err)
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
	}
	fresh := filepath.Join(t.TempDir(), "fresh.db")
	fill(fresh)
	if _, err := os.Stat("testdata/golden/raft.db"); err != nil {
		b, err := os.ReadFile(fresh)
		if err != nil {
			t.Fatal(err)
		}
		golden.Bytes(t, "raft.db", b)
	}
	golden.Bytes(t, "raft.txt", golden.DumpStore(t, fresh, "%x"))

	path := filepath.Join(t.TempDir(), "raft.db")
	if err := os.WriteFile(path, golden.Read(t, "raft.db"), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := OpenFileStorage(path, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	got, err := f.Load()
	if err != nil {
		t.Fatal(err)
	}
	want := goldenPersistentState(t)
	if !proto.Equal(got.HardState, want.HardState) || !proto.Equal(got.Snapshot, want.Snapshot) || len(got.Entries) != len(want.Entries) {
		t.Errorf("loaded %+v, want %+v", got, want)
	}
	for i, e := range got.Entries {
		if !proto.Equal(e, want.Entries[i]) {
			t.Errorf("entry %d is %+v, which is not the stored one", i, e)
		}
	}
	if f.DataDirID() != goldenDataDirID || !maps.Equal(f.PeerDataDirs(), map[ID]uint64{2: 0x22}) {
		t.Errorf("data directory ID %x, want 102030405060708; IDs of peers %v, want 0x22 of peer 2", f.DataDirID(), f.PeerDataDirs())
	}
}
