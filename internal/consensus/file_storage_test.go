package consensus

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	bolt "go.etcd.io/bbolt"
)

func openTestStorage(t testing.TB, path string) *FileStorage {
	t.Helper()
	f, err := OpenFileStorage(path, 1)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func closeTestStorage(t testing.TB, f *FileStorage) {
	t.Helper()
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

// The subtests share one file and depend on their order.
func TestFileStorage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log.db")
	t.Run("survives a restart", func(t *testing.T) { testFileSurvivesRestart(t, path) })
	t.Run("belongs to one node", func(t *testing.T) {
		if _, err := OpenFileStorage(path, 2); !errors.Is(err, ErrWrongOwner) {
			t.Errorf("opening the data directory of another node: error %v, want ErrWrongOwner", err)
		}
	})
	t.Run("rejects a truncated file", func(t *testing.T) { testTruncatedFiles(t, path) })
	t.Run("rejects a flipped bit", func(t *testing.T) { testFlippedBit(t, path) })
}

func testFileSurvivesRestart(t *testing.T, path string) {
	node := newCluster(t, 1, 3).nodes[1]
	config := Config{HeartbeatInterval: 0.1, ElectionTimeout: 0.5, SnapshotEntries: 10, TrailingEntries: 3, MaxMessageBytes: 1 << 16}
	f := openTestStorage(t, path)
	group := newTestGroup(t, node, f, config)
	tick(t, node, group, 3000, stepSeconds)
	applied := group.Node.AppliedIndex()
	renewal := group.State.Members["c1"].Renewal
	if applied < 30 || renewal < 20 {
		t.Fatalf("%d entries applied, want at least 30; lease renewal %d, want at least 20", applied, renewal)
	}
	closeTestStorage(t, f)

	f = openTestStorage(t, path)
	group = newTestGroup(t, node, f, config)
	tick(t, node, group, 3000, stepSeconds)
	if group.Node.AppliedIndex() <= applied || group.State.Members["c1"].Renewal <= renewal || group.Stats.Restored != 1 {
		t.Errorf("after a restart: %d entries applied, lease renewal %d, want more than before; want one restored snapshot in %+v", group.Node.AppliedIndex(), group.State.Members["c1"].Renewal, group.Stats)
	}
	closeTestStorage(t, f)
}

// testTruncatedFiles checks that a file of which less than half is left is rejected. Larger parts may be accepted, but must not cause a
// panic.
func testTruncatedFiles(t *testing.T, path string) {
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, length := range []int{1, 100, 5000, len(content) / 2, len(content) - 5000} {
		truncated := filepath.Join(t.TempDir(), "truncated.db")
		if err := os.WriteFile(truncated, content[:length], 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := OpenFileStorage(truncated, 1)
		if err == nil {
			_, err = f.Load()
			closeTestStorage(t, f)
		}
		if err == nil && length < len(content)/2 {
			t.Errorf("a file truncated to %d of %d bytes was accepted", length, len(content))
		}
	}
}

func testFlippedBit(t *testing.T, path string) {
	f := openTestStorage(t, path)
	defer closeTestStorage(t, f)
	err := f.db.Update(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(singletonBucket)
		record := slices.Clone(bucket.Get(hardStateKey))
		record[len(record)-1] ^= 1
		return bucket.Put(hardStateKey, record)
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Load(); !errors.Is(err, ErrCorrupt) {
		t.Errorf("loading a record with a flipped bit: error %v, want ErrCorrupt", err)
	}
}
