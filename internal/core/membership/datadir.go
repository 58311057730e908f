package membership

import (
	"errors"
	"fmt"
	"maps"
)

var (
	// ErrDataDirReplaced reports that a coordinator uses its number with a different data directory than before.
	ErrDataDirReplaced = errors.New("the data directory is not the one used with this number before: assign a new number to the coordinator")
	// ErrDataDirOutdated reports that a coordinator's data directory has reverted to an older state.
	ErrDataDirOutdated = errors.New("the data directory has reverted to an older state: assign a new number to the coordinator")
)

const maxDataDirs = maxRegistrations

// DataDirs records the data directory and the highest commit index of each coordinator number. It detects a data directory that was
// emptied or restored from a copy: such a directory has lost the votes and acknowledgements of its node, and further votes of that node
// could cause the loss of committed entries. The cost is that a number cannot be moved to a new directory on purpose: the coordinator
// needs a new number.
type DataDirs struct {
	ids     map[MemberID]uint64
	commits map[MemberID]uint64
}

// NewDataDirs returns a DataDirs that starts from the stored data directory IDs, by coordinator number.
func NewDataDirs(stored map[MemberID]uint64) *DataDirs {
	ids := maps.Clone(stored)
	if ids == nil {
		ids = map[MemberID]uint64{}
	}
	return &DataDirs{ids: ids, commits: map[MemberID]uint64{}}
}

// Verify checks that a coordinator number still uses the data directory with the given ID, and that the commit index stored there has not
// decreased. isNew reports that the ID was unknown; the caller must store it before it processes the message any further. Errors wrap
// ErrDataDirReplaced, ErrDataDirOutdated or, if there are too many numbers, ErrInvalidCommand.
func (d *DataDirs) Verify(number MemberID, dataDirID, commit uint64) (isNew bool, err error) {
	known, ok := d.ids[number]
	switch {
	case ok && known != dataDirID:
		return false, fmt.Errorf("coordinator number %d: %w", number, ErrDataDirReplaced)
	case commit < d.commits[number]:
		return false, fmt.Errorf("coordinator number %d: %w", number, ErrDataDirOutdated)
	case !ok && len(d.ids) >= maxDataDirs:
		return false, fmt.Errorf("%w: more than %d coordinator numbers", ErrInvalidCommand, maxDataDirs)
	}
	d.ids[number] = dataDirID
	d.commits[number] = commit
	return !ok, nil
}
