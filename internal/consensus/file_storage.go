package consensus

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	fileLockTimeout = time.Second // how long to wait for another process that has the file open
	checksumBytes   = 4           // length of the checksum before each record
)

// Buckets and keys of the file.
var (
	logBucket          = []byte("log")  // entries by index
	singletonBucket    = []byte("one")  // records that exist once
	peerDataDirsBucket = []byte("pins") // data directory IDs of other nodes, by node ID

	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
	ownerKey     = []byte("owner")
	dataDirIDKey = []byte("mark")
)

var (
	// ErrCorrupt reports that a record differs from what was written. The node must be replaced, because it is unknown what it has
	// acknowledged.
	ErrCorrupt = errors.New("consensus: corrupt record")
	// ErrWrongOwner reports that the data directory belongs to another node.
	ErrWrongOwner = errors.New("consensus: the data directory belongs to another node")
)

// FileStorage is a Storage in a bbolt file. Every record has its own checksum in addition to those of bbolt.
type FileStorage struct {
	db        *bolt.DB
	dataDirID uint64
}

// OpenFileStorage opens or creates a node's file. An error wraps ErrCorrupt, ErrWrongOwner or an error of bbolt. The caller closes the
// storage.
func OpenFileStorage(path string, id ID) (*FileStorage, error) {
	if err := checkNotTruncated(path); err != nil {
		return nil, err
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: fileLockTimeout})
	if err != nil {
		return nil, fmt.Errorf("consensus: %s: %w", path, err)
	}
	f := &FileStorage{db: db}
	if err := db.Update(func(tx *bolt.Tx) error { return f.initialize(tx, id) }); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return f, nil
}

// initialize creates missing buckets and records, and checks that the file belongs to this node.
func (f *FileStorage) initialize(tx *bolt.Tx, id ID) error {
	for _, name := range [][]byte{logBucket, singletonBucket, peerDataDirsBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	singletons := tx.Bucket(singletonBucket)
	owner := encodeUint64(uint64(id))
	if stored := singletons.Get(ownerKey); stored != nil && !bytes.Equal(stored, owner) {
		return fmt.Errorf("%w: stored owner %x (hex), opened by node %d", ErrWrongOwner, stored, id)
	}
	if err := singletons.Put(ownerKey, owner); err != nil {
		return err
	}
	if stored := singletons.Get(dataDirIDKey); len(stored) == 8 {
		f.dataDirID = binary.BigEndian.Uint64(stored)
		return nil
	}
	f.dataDirID = RandomID()
	return singletons.Put(dataDirIDKey, encodeUint64(f.dataDirID))
}

// checkNotTruncated checks that an existing file contains all the pages that its header lists. Accessing the missing pages of a truncated
// file would cause a memory fault in bbolt.
func checkNotTruncated(path string) error {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return nil
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: fileLockTimeout, ReadOnly: true})
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
	}
	err = db.View(func(tx *bolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%w: %s has %d bytes, its header lists %d", ErrCorrupt, path, info.Size(), tx.Size())
		}
		return nil
	})
	return errors.Join(err, db.Close())
}

// Close closes the file.
func (f *FileStorage) Close() error { return f.db.Close() }

// DataDirID implements Storage.
func (f *FileStorage) DataDirID() uint64 { return f.dataDirID }

// SavePeerDataDir implements Storage.
func (f *FileStorage) SavePeerDataDir(id ID, dataDirID uint64) error {
	return f.db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket(peerDataDirsBucket).Put(encodeUint64(uint64(id)), encodeUint64(dataDirID))
	})
}

// PeerDataDirs implements Storage.
func (f *FileStorage) PeerDataDirs() map[ID]uint64 {
	dirs := map[ID]uint64{}
	_ = f.db.View(func(tx *bolt.Tx) error { // View fails only after Close
		return tx.Bucket(peerDataDirsBucket).ForEach(func(key, value []byte) error {
			if len(key) == 8 && len(value) == 8 {
				dirs[ID(binary.BigEndian.Uint64(key))] = binary.BigEndian.Uint64(value)
			}
			return nil
		})
	})
	return dirs
}

// Save implements Storage. It writes in one transaction.
func (f *FileStorage) Save(state PersistentState) error {
	return f.db.Update(func(tx *bolt.Tx) error {
		log := tx.Bucket(logBucket)
		singletons := tx.Bucket(singletonBucket)
		if state.Snapshot != nil {
			if err := putRecord(singletons, snapshotKey, state.Snapshot); err != nil {
				return err
			}
			if err := deleteEntries(log, 0, state.Snapshot.GetMetadata().GetIndex()); err != nil {
				return err
			}
		}
		if len(state.Entries) > 0 {
			if err := deleteEntries(log, state.Entries[0].GetIndex(), math.MaxUint64); err != nil {
				return err
			}
		}
		for _, entry := range state.Entries {
			if err := putRecord(log, encodeUint64(entry.GetIndex()), entry); err != nil {
				return err
			}
		}
		if state.HardState != nil {
			return putRecord(singletons, hardStateKey, state.HardState)
		}
		return nil
	})
}

// deleteEntries deletes the entries with indexes from first to last, inclusive.
func deleteEntries(log *bolt.Bucket, first, last uint64) error {
	cursor := log.Cursor()
	for key, _ := cursor.Seek(encodeUint64(first)); key != nil && binary.BigEndian.Uint64(key) <= last; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Load implements Storage. If a record is corrupt or the log has a gap, the error wraps ErrCorrupt.
func (f *FileStorage) Load() (state PersistentState, err error) {
	err = f.db.View(func(tx *bolt.Tx) error {
		singletons := tx.Bucket(singletonBucket)
		if data := singletons.Get(hardStateKey); data != nil {
			state.HardState = &raftpb.HardState{}
			if err := readRecord(hardStateKey, data, state.HardState); err != nil {
				return err
			}
		}
		if data := singletons.Get(snapshotKey); data != nil {
			state.Snapshot = &raftpb.Snapshot{}
			if err := readRecord(snapshotKey, data, state.Snapshot); err != nil {
				return err
			}
		}
		entries, err := loadEntries(tx.Bucket(logBucket), state.Snapshot.GetMetadata().GetIndex())
		state.Entries = entries
		return err
	})
	return state, err
}

// loadEntries reads the log entries that follow index last.
func loadEntries(log *bolt.Bucket, last uint64) (entries []*raftpb.Entry, err error) {
	err = log.ForEach(func(key, data []byte) error {
		entry := &raftpb.Entry{}
		if err := readRecord(key, data, entry); err != nil {
			return err
		}
		if entry.GetIndex() != last+1 {
			return fmt.Errorf("%w: entry %d follows entry %d", ErrCorrupt, entry.GetIndex(), last)
		}
		last = entry.GetIndex()
		entries = append(entries, entry)
		return nil
	})
	return entries, err
}

// putRecord writes a record, preceded by its checksum.
func putRecord(bucket *bolt.Bucket, key []byte, record proto.Message) error {
	data, err := proto.Marshal(record)
	if err != nil {
		return err
	}
	checksum := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(data))
	return bucket.Put(key, append(checksum, data...))
}

// readRecord verifies the checksum of a record written by putRecord, and decodes the record.
func readRecord(key, data []byte, record proto.Message) error {
	if len(data) < checksumBytes || crc32.ChecksumIEEE(data[checksumBytes:]) != binary.BigEndian.Uint32(data) {
		return fmt.Errorf("%w: key %x", ErrCorrupt, key)
	}
	return proto.Unmarshal(data[checksumBytes:], record)
}

// encodeUint64 encodes a number as a key. Keys sort in numeric order.
func encodeUint64(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }
