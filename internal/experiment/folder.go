package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"snowquay/internal/settings"
)

// ErrOtherExperiment means that a folder contains another experiment.
var ErrOtherExperiment = errors.New("the folder contains another experiment")

const (
	experimentFile = "experiment.xml"
	recordsFolder  = "runs"
	reportFolder   = "report"
	folderMode     = 0o755
	fileMode       = 0o644
)

// Folder stores an experiment and its records.
type Folder struct{ path string }

// Open opens or creates a folder for an experiment. It returns ErrOtherExperiment if the folder contains another one.
func Open(path string, experiment *settings.Experiment) (*Folder, error) {
	if err := os.MkdirAll(filepath.Join(path, recordsFolder), folderMode); err != nil {
		return nil, err
	}
	file := filepath.Join(path, experimentFile)
	stored, err := os.ReadFile(file)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return &Folder{path: path}, os.WriteFile(file, experiment.Text, fileMode)
	case err != nil:
		return nil, err
	case string(stored) != string(experiment.Text):
		return nil, fmt.Errorf("%w: %s differs; use another folder", ErrOtherExperiment, file)
	}
	return &Folder{path: path}, nil
}

// OpenExisting opens a folder and reads the experiment that it contains.
func OpenExisting(path string) (*Folder, *settings.Experiment, error) {
	experiment, err := settings.LoadExperiment(filepath.Join(path, experimentFile))
	return &Folder{path: path}, experiment, err
}

func (f *Folder) recordPath(cell Cell) string {
	return filepath.Join(f.path, recordsFolder, cell.Name()+".json")
}

// HasRecord reports whether the folder contains the record of a cell.
func (f *Folder) HasRecord(cell Cell) bool {
	_, err := os.Stat(f.recordPath(cell))
	return err == nil
}

// Save stores the record of a cell. It returns an error if the folder already contains one: records are never
// overwritten.
func (f *Folder) Save(cell Cell, record *Record) error {
	text, err := json.MarshalIndent(record, "", " ")
	if err != nil {
		return err
	}
	temporary := f.recordPath(cell) + ".part"
	if err := os.WriteFile(temporary, append(text, '\n'), fileMode); err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary) }() // after a successful link, the record remains under its final name
	return os.Link(temporary, f.recordPath(cell))
}

// Records returns the stored records of an experiment, by the names of their cells.
func (f *Folder) Records(experiment *settings.Experiment) (map[string]*Record, error) {
	records := map[string]*Record{}
	for _, cell := range Cells(experiment) {
		text, err := os.ReadFile(f.recordPath(cell))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		record := &Record{}
		if err := json.Unmarshal(text, record); err != nil {
			return nil, fmt.Errorf("%s: %w", f.recordPath(cell), err)
		}
		records[cell.Name()] = record
	}
	return records, nil
}
