// Package store is a coordinator's durable storage in bbolt files, so that drains and other facts about servers survive a restart, and
// for a host of many tenants the directory of tenants, too. Its memory stores stand in for the files in tests and simulations.
package store

import (
	"errors"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
)

const (
	fileLockTimeout = time.Second // for another process that has the file open
	formatVersion   = "1"         // of the records; files of another version are rejected
)

// Buckets and keys that all files have.
var (
	metadataBucket = []byte("about")
	formatKey      = []byte("format")
)

// ErrUnknownFormat says that a file was written by another version.
var ErrUnknownFormat = errors.New("the store has another format")

// openFile opens or creates a file with buckets. The caller closes it.
func openFile(path string, buckets ...[]byte) (*bolt.DB, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: fileLockTimeout})
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	err = db.Update(func(tx *bolt.Tx) error { return initialize(tx, buckets) })
	if err != nil {
		return nil, errors.Join(fmt.Errorf("store %s: %w", path, err), db.Close())
	}
	return db, nil
}

// initialize checks the format of a file, and creates what is missing.
func initialize(tx *bolt.Tx, buckets [][]byte) error {
	metadata, err := tx.CreateBucketIfNotExists(metadataBucket)
	if err != nil {
		return err
	}
	if version := metadata.Get(formatKey); version != nil && string(version) != formatVersion {
		return fmt.Errorf("%w: %q, wanted %q", ErrUnknownFormat, version, formatVersion)
	}
	for _, name := range buckets {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return metadata.Put(formatKey, []byte(formatVersion))
}
