package membership

import (
	"errors"
	"testing"
)

func TestDataDirs(t *testing.T) {
	dirs := NewDataDirs(map[MemberID]uint64{1: 77})
	verify := func(number MemberID, dataDirID, commit uint64, wantNew bool, want error) {
		t.Helper()
		if isNew, err := dirs.Verify(number, dataDirID, commit); isNew != wantNew || !errors.Is(err, want) {
			t.Errorf("Verify(%d, %d, %d) = %t, %v", number, dataDirID, commit, isNew, err)
		}
	}
	verify(1, 77, 5, false, nil)
	verify(1, 78, 9, false, ErrDataDirReplaced)
	verify(1, 77, 4, false, ErrDataDirOutdated)
	verify(1, 77, 5, false, nil)
	verify(2, 99, 0, true, nil)
	verify(2, 99, 0, false, nil)
	for number := MemberID(3); number <= maxDataDirs; number++ {
		verify(number, 1, 1, true, nil)
	}
	verify(maxDataDirs+1, 1, 1, false, ErrInvalidCommand)
}
