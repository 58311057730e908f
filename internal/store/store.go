// Package store provides a coordinator's durable storage in bbolt files. Drains and other server records survive a restart, and so does
// the tenant directory of a host of many tenants. The in-memory stores replace the files in tests and simulations.
package store

import (
	"errors"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
)

const (
	fileLockTimeout = time.Second // how long to wait for another process that has the file open
	formatVersion   = "1"         // version of the record format; files of another version are rejected
)

// Buckets and keys present in every file.
var (
	metadataBucket = []byte("about")
	formatKey      = []byte("format")
)

// ErrUnknownFormat reports that a file was written in another format version.
var ErrUnknownFormat = errors.New("unknown store format")

// openFile opens a file, or creates it, and creates missing buckets. The caller closes it.
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

// initialize checks a file's format version, and creates missing buckets and metadata.
func initialize(tx *bolt.Tx, buckets [][]byte) error {
	metadata, err := tx.CreateBucketIfNotExists(metadataBucket)
	if err != nil {
		return err
	}
	if version := metadata.Get(formatKey); version != nil && string(version) != formatVersion {
		return fmt.Errorf("%w: version %q, want %q", ErrUnknownFormat, version, formatVersion)
	}
	for _, name := range buckets {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return metadata.Put(formatKey, []byte(formatVersion))
}
