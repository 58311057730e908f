package store

import (
	"encoding/json"
	"fmt"

	bolt "go.etcd.io/bbolt"

	"snowquay/internal/core/registry"
)

var serversBucket = []byte("servers") // records by server

// FileStore stores the server records of one coordinator in a file. Use Open.
type FileStore struct {
	db *bolt.DB
}

// Open opens or creates the file. It fails if another process has the file open. An error wraps ErrUnknownFormat if the file has another
// format version. The caller closes the store.
func Open(path string) (*FileStore, error) {
	db, err := openFile(path, serversBucket)
	if err != nil {
		return nil, err
	}
	return &FileStore{db: db}, nil
}

// Save writes records and returns when they are durable.
func (f *FileStore) Save(records []registry.Record) error {
	return f.db.Update(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(serversBucket)
		for _, record := range records {
			data, err := json.Marshal(record)
			if err != nil {
				return fmt.Errorf("server %s: %w", record.Server, err)
			}
			if err := bucket.Put([]byte(record.Server), data); err != nil {
				return err
			}
		}
		return nil
	})
}

// Load returns all records, sorted by server.
func (f *FileStore) Load() (records []registry.Record, err error) {
	err = f.db.View(func(tx *bolt.Tx) error {
		records, err = loadRecords(tx.Bucket(serversBucket))
		return err
	})
	return records, err
}

// Close closes the file.
func (f *FileStore) Close() error { return f.db.Close() }

// loadRecords returns the records in a bucket, sorted by server.
func loadRecords(bucket *bolt.Bucket) (records []registry.Record, err error) {
	err = bucket.ForEach(func(key, data []byte) error {
		var record registry.Record
		if err := json.Unmarshal(data, &record); err != nil {
			return fmt.Errorf("server %s: %w", key, err)
		}
		records = append(records, record)
		return nil
	})
	return records, err
}
