// Package store is a coordinator's memory on disk: one record for each server, so that a drain outlives a restart.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"

	"snowquay/internal/core/registry"
)

const (
	lockWait = time.Second // for another process that has the file open
	format   = "1"         // of the records; another one is not read
)

var (
	bucket = []byte("servers")
	about  = []byte("about")
	// ErrUnknownFormat says that the file was written by another version.
	ErrUnknownFormat = errors.New("the store has another format")
)

// FileStore is a file. Use Open.
type FileStore struct{ db *bolt.DB }

// Open opens or makes the file. It fails where another process has it open.
func Open(path string) (*FileStore, error) {
	db, err := open(path, bucket)
	if err != nil {
		return nil, err
	}
	return &FileStore{db}, nil
}

// open opens or makes a file with buckets.
func open(path string, buckets ...[]byte) (*bolt.DB, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockWait})
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(about)
		if err != nil {
			return err
		}
		if v := b.Get([]byte("format")); v != nil && string(v) != format {
			return fmt.Errorf("%w: %q, wanted %q", ErrUnknownFormat, v, format)
		}
		for _, name := range buckets {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return b.Put([]byte("format"), []byte(format))
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("store %s: %w", path, err), db.Close())
	}
	return db, nil
}

// Save writes records and returns when they are durable.
func (s *FileStore) Save(records []registry.Record) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(bucket)
		for _, r := range records {
			text, err := json.Marshal(r)
			if err != nil {
				return fmt.Errorf("server %s: %w", r.Server, err)
			}
			if err := b.Put([]byte(r.Server), text); err != nil {
				return err
			}
		}
		return nil
	})
}

// Load reads all records, by server.
func (s *FileStore) Load() (records []registry.Record, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucket).ForEach(func(k, v []byte) error {
			var r registry.Record
			if err := json.Unmarshal(v, &r); err != nil {
				return fmt.Errorf("server %s: %w", k, err)
			}
			records = append(records, r)
			return nil
		})
	})
	return records, err
}

// Close the file.
func (s *FileStore) Close() error { return s.db.Close() }

// MemoryStore is a store that outlives a coordinator but not the process.
type MemoryStore struct {
	records   map[string]registry.Record
	SaveError error // what Keep returns instead of keeping
}

// Save of coordinator.Store.
func (m *MemoryStore) Save(records []registry.Record) error {
	if m.SaveError != nil {
		return m.SaveError
	}
	if m.records == nil {
		m.records = map[string]registry.Record{}
	}
	for _, r := range records {
		m.records[string(r.Server)] = r
	}
	return nil
}

// Load of coordinator.Store.
func (m *MemoryStore) Load() (records []registry.Record, err error) {
	for _, r := range m.records {
		records = append(records, r)
	}
	return records, nil
}
