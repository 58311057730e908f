package membership

import (
	"errors"
	"fmt"
	"maps"
)

var (
	// ErrDataDirReplaced says that a coordinator uses a number with another data directory than before.
	ErrDataDirReplaced = errors.New("its folder is not the one that it had under this number: it needs a new number")
	// ErrDataDirOutdated says that a coordinator's data directory is older than it was.
	ErrDataDirOutdated = errors.New("its folder is older than it was: it needs a new number")
)

const maxDataDirs = maxRegistrations

// DataDirs knows the data directory of each number, and how far its log had got. A directory that was emptied, or restored from a copy,
// has forgotten whom its node has voted for and what it has acknowledged: with that node's vote, what was agreed on could be lost. Guards
// against that; it does harm where somebody moves a number to a new directory on purpose, and has to use a new number.
type DataDirs struct {
	ids     map[MemberID]uint64
	commits map[MemberID]uint64
}

// NewDataDirs starts from the IDs of data directories that were stored, by number.
func NewDataDirs(stored map[MemberID]uint64) *DataDirs {
	ids := maps.Clone(stored)
	if ids == nil {
		ids = map[MemberID]uint64{}
	}
	return &DataDirs{ids: ids, commits: map[MemberID]uint64{}}
}

// Verify checks that a number still uses the data directory with the given ID, and that the commit index it has stored there has not
// fallen. first says that the ID is new, and has to be stored before anything else follows from the message. An error wraps
// ErrDataDirReplaced, ErrDataDirOutdated or, where there are too many numbers, ErrInvalidCommand.
func (d *DataDirs) Verify(number MemberID, dataDirID, commit uint64) (first bool, err error) {
	known, ok := d.ids[number]
	switch {
	case ok && known != dataDirID:
		return false, fmt.Errorf("number %d: %w", number, ErrDataDirReplaced)
	case commit < d.commits[number]:
		return false, fmt.Errorf("number %d: %w", number, ErrDataDirOutdated)
	case !ok && len(d.ids) >= maxDataDirs:
		return false, fmt.Errorf("%w: over %d numbers", ErrInvalidCommand, maxDataDirs)
	}
	d.ids[number] = dataDirID
	d.commits[number] = commit
	return !ok, nil
}
