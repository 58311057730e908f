package store

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	bolt "go.etcd.io/bbolt"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

func record(s string, told float64) registry.Record {
	return registry.Record{ServerConfig: registry.ServerConfig{Server: balancer.Server(s), Zone: 2, Weight: 1.5}, Phase: balancer.Draining, NotifiedAt: told}
}

func TestRecordsOutliveTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "roll.db")
	for life := range 3 {
		s, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Open(path); err == nil {
			t.Error("two processes have it open")
		}
		got, err := s.Load()
		if err != nil || len(got) != min(life, 1) || life > 0 && got[0] != record("a", float64(life-1)) {
			t.Errorf("life %d: %+v, %v", life, got, err)
		}
		if err := errors.Join(s.Save([]registry.Record{record("a", float64(life))}), s.Close()); err != nil {
			t.Fatal(err)
		}
	}
}

func TestDamagedAndForeignFilesAreRefused(t *testing.T) {
	dir := t.TempDir()
	garbage := filepath.Join(dir, "garbage")
	if err := os.WriteFile(garbage, make([]byte, 9000), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(garbage); err == nil {
		t.Error("garbage was opened")
	}
	path := filepath.Join(dir, "roll.db")
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	err = s.db.Update(func(tx *bolt.Tx) error {
		return errors.Join(tx.Bucket(bucket).Put([]byte("a"), []byte("{")), tx.Bucket(about).Put([]byte("format"), []byte("9")))
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Load(); err == nil {
		t.Error("a torn record was read")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); !errors.Is(err, ErrUnknownFormat) {
		t.Errorf("another format: %v", err)
	}
}
