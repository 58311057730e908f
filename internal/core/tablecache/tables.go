// Package tablecache stores the weight tables of a proxy. It applies the responses of coordinators completely and in order, rejects those of
// older ownership epochs, and restores the tables from a snapshot after a restart. It does no I/O and reads no clock.
package tablecache

import (
	"errors"

	"snowquay/balancer"
	"snowquay/internal/core/picker"
)

var (
	// ErrEpochOutdated means that a response is from a coordinator whose ownership of the proxy has since passed to another one.
	ErrEpochOutdated = errors.New("ownership epoch is outdated")
	// ErrUnknownBase means that a response is a delta to a version that the proxy does not hold: its base is of another epoch, or newer
	// than the tables.
	ErrUnknownBase = errors.New("delta to an unknown version")
	// ErrUnknownClass means that a response names a class that is not configured.
	ErrUnknownClass = errors.New("unknown class")
	// ErrTooManyEntries means that a table would be larger than a proxy accepts.
	ErrTooManyEntries = errors.New("too many table entries")
	// ErrInvalidSnapshot means that a snapshot cannot be restored.
	ErrInvalidSnapshot = errors.New("invalid snapshot")
)

const (
	maxClassEntries   = 8192   // table entries per class; a larger table is rejected
	maxRemovedServers = 8192   // removed servers that are remembered; beyond it all are forgotten
	maxSnapshotAge    = 7200.0 // seconds; the servers of an older snapshot may have moved
)

// ClassOrder holds the orders of a coordinator for a class besides its table.
type ClassOrder struct {
	Class      balancer.Class
	Admission  float64 // fraction or rate; unchanged if below 0
	RetryAfter float64 // seconds after which clients of rejected requests may retry
	Retry      balancer.RetryPolicy
	HasRetry   bool // whether Retry is ordered; otherwise the policy is unchanged
}

// Tables holds the tables of a proxy, one for each class. It must be created with New. Clock times are in seconds.
type Tables struct {
	classNames     []string
	tables         []picker.Table // by class
	epoch          string         // epoch of version; empty if no version is known
	version        uint64
	ownershipEpoch uint64                   // newest ownership epoch of the applied responses
	currentAt      float64                  // clock time at which the tables were last known to be current
	removed        map[balancer.Server]bool // servers that were removed from all tables and not added again
	Stats          Stats
}

// Stats counts responses by outcome, for metrics.
type Stats struct {
	Applied     int
	Outdated    int
	BaseUnknown int
	Invalid     int
}

// New returns empty tables for classes with the given names. newTable creates the table of a class.
func New(classNames []string, newTable func(class int) picker.Table) *Tables {
	t := &Tables{classNames: classNames, removed: map[balancer.Server]bool{}}
	for class := range classNames {
		t.tables = append(t.tables, newTable(class))
	}
	return t
}

// Table returns the table of a class.
func (t *Tables) Table(class balancer.Class) picker.Table { return t.tables[class] }

// Class returns the class with the given name. ok is false if there is none.
func (t *Tables) Class(name string) (class balancer.Class, ok bool) {
	for index, className := range t.classNames {
		if className == name {
			return balancer.Class(index), true
		}
	}
	return 0, false
}

// HeldVersion returns the fields of a poll: the epoch and version of the tables, and the newest ownership epoch of the applied responses.
func (t *Tables) HeldVersion() (epoch string, version, ownershipEpoch uint64) {
	return t.epoch, t.version, t.ownershipEpoch
}

// ForgetVersion clears the version but not the tables, so that the response to the next poll has complete tables.
func (t *Tables) ForgetVersion() {
	t.epoch = ""
	t.version = 0
}

// Age returns the seconds since the tables were last known to be current.
func (t *Tables) Age(now float64) float64 { return now - t.currentAt }

// MarkCurrent records that a coordinator has confirmed that the tables are current.
func (t *Tables) MarkCurrent(now float64) { t.currentAt = now }

// HasServer reports whether a server is in the table of any class.
func (t *Tables) HasServer(server balancer.Server) bool {
	for _, table := range t.tables {
		if table.Weight(server) > 0 {
			return true
		}
	}
	return false
}

// recordRemovals records which of the touched servers are no longer in any table, and returns those that were not recorded already.
func (t *Tables) recordRemovals(touched map[balancer.Server]bool) (left []balancer.Server) {
	for server := range touched {
		if t.HasServer(server) {
			delete(t.removed, server)
			continue
		}
		if !t.removed[server] {
			t.removed[server] = true
			left = append(left, server)
		}
	}
	if len(t.removed) > maxRemovedServers {
		t.removed = map[balancer.Server]bool{}
	}
	return left
}
