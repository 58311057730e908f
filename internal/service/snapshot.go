package service

import (
	"errors"
	"os"
	"path/filepath"
)

// tableSnapshot is the path of the file to which a proxy saves its tables. It implements proxy.Store.
type tableSnapshot string

// Save implements proxy.Store. It writes a temporary file and renames it, so that the file is replaced as a whole.
func (s tableSnapshot) Save(data []byte) error {
	file, err := os.CreateTemp(filepath.Dir(string(s)), ".snapshot-*")
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	err = errors.Join(err, file.Close())
	if err == nil {
		err = os.Rename(file.Name(), string(s))
	}
	if err != nil {
		_ = os.Remove(file.Name()) // the earlier error, which is returned, matters more
	}
	return err
}

// Load implements proxy.Store. It returns nil if nothing was saved.
func (s tableSnapshot) Load() ([]byte, error) {
	data, err := os.ReadFile(string(s))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return data, err
}
