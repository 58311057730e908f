package consensus

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"os"
	"slices"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const lockWait = time.Second // for another process that has the file open

var (
	logBucket = []byte("log") // by index
	oneBucket = []byte("one") // what there is one of
	hardKey   = []byte("hard")
	snapKey   = []byte("snapshot")
	ownerKey  = []byte("owner")
	markKey   = []byte("mark")
	pinBucket = []byte("pins") // marks of other folders, by number

	// ErrCorrupt says that a record is not what was written. The node must be replaced: what it has promised is not known.
	ErrCorrupt = errors.New("consensus: a record is damaged")
	// ErrWrongOwner says that the folder is another node's.
	ErrWrongOwner = errors.New("consensus: the folder belongs to another node")
)

// FileStorage is a Disk on an embedded store. Every record has a checksum of its own beside those of the store.
type FileStorage struct {
	db   *bolt.DB
	mark uint64
}

// OpenFileStorage opens or makes a node's file.
func OpenFileStorage(path string, id ID) (*FileStorage, error) {
	if err := whole(path); err != nil {
		return nil, err
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockWait})
	if err != nil {
		return nil, fmt.Errorf("consensus: %s: %w", path, err)
	}
	f := &FileStorage{db: db}
	err = db.Update(func(tx *bolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
			return err
		}
		b, err := tx.CreateBucketIfNotExists(oneBucket)
		if err != nil {
			return err
		}
		own := binary.BigEndian.AppendUint64(nil, uint64(id))
		if v := b.Get(ownerKey); v != nil && string(v) != string(own) {
			return fmt.Errorf("%w: %x, not %d", ErrWrongOwner, v, id)
		}
		if _, err := tx.CreateBucketIfNotExists(pinBucket); err != nil {
			return err
		}
		if v := b.Get(markKey); len(v) == 8 {
			f.mark = binary.BigEndian.Uint64(v)
		} else {
			f.mark = RandomID()
			if err := b.Put(markKey, binary.BigEndian.AppendUint64(nil, f.mark)); err != nil {
				return err
			}
		}
		return b.Put(ownerKey, own)
	})
	if err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return f, nil
}

// whole looks whether a file that is there has all the pages that it says it has. Guards against a torn file, at whose
// missing pages the store would fault.
func whole(path string) error {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) || err == nil && info.Size() == 0 {
		return nil
	}
	if err != nil {
		return err
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockWait, ReadOnly: true})
	if err != nil {
		return fmt.Errorf("%w: %s: %v", ErrCorrupt, path, err)
	}
	err = db.View(func(tx *bolt.Tx) error {
		if size := tx.Size(); size > info.Size() {
			return fmt.Errorf("%w: %s has %d bytes of %d", ErrCorrupt, path, info.Size(), size)
		}
		return nil
	})
	return errors.Join(err, db.Close())
}

// RandomID is a number that nobody else has: of a folder, or a process.
func RandomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it does not fail, by its documentation
	return binary.BigEndian.Uint64(b[:]) | 1
}

// DataDirID of Disk.
func (f *FileStorage) DataDirID() uint64 { return f.mark }

// SavePeerDataDir of Disk.
func (f *FileStorage) SavePeerDataDir(id ID, mark uint64) error {
	return f.db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket(pinBucket).Put(at(uint64(id)), binary.BigEndian.AppendUint64(nil, mark))
	})
}

// PeerDataDirs of Disk.
func (f *FileStorage) PeerDataDirs() map[ID]uint64 {
	pins := map[ID]uint64{}
	_ = f.db.View(func(tx *bolt.Tx) error { // it reads what is in memory
		return tx.Bucket(pinBucket).ForEach(func(k, v []byte) error {
			if len(k) == 8 && len(v) == 8 {
				pins[ID(binary.BigEndian.Uint64(k))] = binary.BigEndian.Uint64(v)
			}
			return nil
		})
	})
	return pins
}

// Close the file.
func (f *FileStorage) Close() error { return f.db.Close() }

func put(b *bolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, append(binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(data)), data...))
}

func get(key, v []byte, m proto.Message) error {
	if len(v) < 4 || crc32.ChecksumIEEE(v[4:]) != binary.BigEndian.Uint32(v) {
		return fmt.Errorf("%w: %x", ErrCorrupt, key)
	}
	return proto.Unmarshal(v[4:], m)
}

func at(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// Save of Disk, in one transaction. Entries replace those of their indexes and all after them.
func (f *FileStorage) Save(s PersistentState) error {
	return f.db.Update(func(tx *bolt.Tx) error {
		log, one := tx.Bucket(logBucket), tx.Bucket(oneBucket)
		if s.Snapshot != nil {
			if err := put(one, snapKey, s.Snapshot); err != nil {
				return err
			}
			c := log.Cursor()
			for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= s.Snapshot.GetMetadata().GetIndex(); k, _ = c.Next() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		if len(s.Entries) > 0 {
			c := log.Cursor()
			for k, _ := c.Seek(at(s.Entries[0].GetIndex())); k != nil; k, _ = c.Next() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		for _, e := range s.Entries {
			if err := put(log, at(e.GetIndex()), e); err != nil {
				return err
			}
		}
		if s.HardState != nil {
			return put(one, hardKey, s.HardState)
		}
		return nil
	})
}

// Load of Disk. A damaged record, or a log with a hole, is an error: nothing is half taken.
func (f *FileStorage) Load() (s PersistentState, err error) {
	err = f.db.View(func(tx *bolt.Tx) error {
		log, one := tx.Bucket(logBucket), tx.Bucket(oneBucket)
		if v := one.Get(hardKey); v != nil {
			s.HardState = &raftpb.HardState{}
			if err := get(hardKey, v, s.HardState); err != nil {
				return err
			}
		}
		last := uint64(0)
		if v := one.Get(snapKey); v != nil {
			s.Snapshot = &raftpb.Snapshot{}
			if err := get(snapKey, v, s.Snapshot); err != nil {
				return err
			}
			last = s.Snapshot.GetMetadata().GetIndex()
		}
		return log.ForEach(func(k, v []byte) error {
			e := &raftpb.Entry{}
			if err := get(k, v, e); err != nil {
				return err
			}
			if e.GetIndex() != last+1 {
				return fmt.Errorf("%w: entry %d follows %d", ErrCorrupt, e.GetIndex(), last)
			}
			last = e.GetIndex()
			s.Entries = append(s.Entries, e)
			return nil
		})
	})
	return s, err
}

// MemoryStorage is a Disk that outlives a node but not the process.
type MemoryStorage struct {
	saved        PersistentState
	SaveError    error // what Save returns instead of saving
	OwnDataDirID uint64
	pins         map[ID]uint64
}

// DataDirID of Disk.
func (m *MemoryStorage) DataDirID() uint64 { return m.OwnDataDirID }

// SavePeerDataDir of Disk.
func (m *MemoryStorage) SavePeerDataDir(id ID, mark uint64) error {
	if m.pins == nil {
		m.pins = map[ID]uint64{}
	}
	m.pins[id] = mark
	return nil
}

// PeerDataDirs of Disk.
func (m *MemoryStorage) PeerDataDirs() map[ID]uint64 { return maps.Clone(m.pins) }

// Copy is the disk as it is now, to be put back later.
func (m *MemoryStorage) Copy() MemoryStorage {
	c := *m
	c.saved.Entries, c.pins = slices.Clone(m.saved.Entries), maps.Clone(m.pins)
	return c
}

// Save of Disk.
func (m *MemoryStorage) Save(s PersistentState) error {
	if m.SaveError != nil {
		return m.SaveError
	}
	if s.Snapshot != nil {
		m.saved.Snapshot = s.Snapshot
		m.saved.Entries = slices.DeleteFunc(m.saved.Entries, func(e *raftpb.Entry) bool {
			return e.GetIndex() <= s.Snapshot.GetMetadata().GetIndex()
		})
	}
	if len(s.Entries) > 0 {
		first := s.Entries[0].GetIndex()
		m.saved.Entries = slices.DeleteFunc(m.saved.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		m.saved.Entries = append(m.saved.Entries, s.Entries...)
	}
	if s.HardState != nil {
		m.saved.HardState = s.HardState
	}
	return nil
}

// Load of Disk.
func (m *MemoryStorage) Load() (PersistentState, error) {
	s := m.saved
	s.Entries = slices.Clone(s.Entries)
	return s, nil
}
