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

func drainingRecord(server balancer.Server, notifiedAt float64) registry.Record {
	return registry.Record{ServerConfig: registry.ServerConfig{Server: server, Zone: 2, Weight: 1.5}, Phase: balancer.Draining, NotifiedAt: notifiedAt}
}

func TestRecordsSurviveRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers.db")
	for incarnation := range 3 {
		s, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Open(path); err == nil {
			t.Error("the file was opened twice")
		}
		got, err := s.Load()
		if err != nil || len(got) != min(incarnation, 1) || incarnation > 0 && got[0] != drainingRecord("a", float64(incarnation-1)) {
			t.Errorf("incarnation %d: %+v, %v", incarnation, got, err)
		}
		record := drainingRecord("a", float64(incarnation))
		if err := errors.Join(s.Save([]registry.Record{record}), s.Close()); err != nil {
			t.Fatal(err)
		}
	}
}

func TestDamagedAndForeignFilesAreRejected(t *testing.T) {
	dir := t.TempDir()
	garbage := filepath.Join(dir, "garbage")
	if err := os.WriteFile(garbage, make([]byte, 9000), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(garbage); err == nil {
		t.Error("a file without a store was opened")
	}
	path := filepath.Join(dir, "servers.db")
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	err = s.db.Update(func(tx *bolt.Tx) error {
		return errors.Join(tx.Bucket(serversBucket).Put([]byte("a"), []byte("{")), tx.Bucket(metadataBucket).Put(formatKey, []byte("9")))
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Load(); err == nil {
		t.Error("a truncated record was loaded")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); !errors.Is(err, ErrUnknownFormat) {
		t.Errorf("a file of another format version: %v", err)
	}
}
