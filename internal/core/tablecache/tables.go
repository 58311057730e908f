// Package tablecache keeps a proxy's tables: it applies what coordinators send completely and in order, rejects what is older than
// the proxy has followed, and restores the tables from a snapshot after a restart. It is pure.
package tablecache

import (
	"errors"

	"snowquay/balancer"
	"snowquay/internal/core/picker"
)

var (
	// ErrEpochOutdated says that a response is from a coordinator that owned the proxy before another one did.
	ErrEpochOutdated = errors.New("ownership epoch is outdated")
	// ErrUnknownBase says that a response is a delta to a version that the proxy does not hold.
	ErrUnknownBase = errors.New("delta to a version that is not held")
	// ErrUnknownClass says that a response names a class that the proxy does not have.
	ErrUnknownClass = errors.New("unknown class")
	// ErrTooManyEntries says that a table is larger than a proxy accepts.
	ErrTooManyEntries = errors.New("too many table entries")
	// ErrInvalidSnapshot says that a snapshot cannot be used.
	ErrInvalidSnapshot = errors.New("invalid snapshot")
)

const (
	maxEntries  = 8192   // of a class; a larger table is rejected
	maxRemovals = 8192   // servers whose removal is remembered
	maxAge      = 7200.0 // seconds; the servers of an older snapshot may have moved
)

// ClassOrder is what a coordinator orders for a class besides its table.
type ClassOrder struct {
	Class      balancer.Class
	Admission  float64 // fraction or rate; below 0: unchanged
	RetryAfter float64 // seconds after which clients of rejected requests may retry
	Retry      balancer.RetryPolicy
	HasRetry   bool // Retry is ordered; false: unchanged
}

// Tables of a proxy, one for each class. Use New. Clock times are in seconds.
type Tables struct {
	classNames     []string
	tables         []picker.Table // by class
	epoch          string         // of version; empty: none is held
	version        uint64
	ownershipEpoch uint64                   // the newest that was followed
	currentAt      float64                  // when they were last known to be the newest
	removed        map[balancer.Server]bool // servers that have left the tables and not returned
	Stats          Stats
}

// Stats counts responses by what became of them, for metrics.
type Stats struct {
	Applied     int
	Outdated    int
	BaseUnknown int
	Invalid     int
}

// New returns empty tables for classes of these names; newTable makes the table of a class.
func New(classNames []string, newTable func(class int) picker.Table) *Tables {
	t := &Tables{classNames: classNames, removed: map[balancer.Server]bool{}}
	for class := range classNames {
		t.tables = append(t.tables, newTable(class))
	}
	return t
}

// Table returns the table of a class.
func (t *Tables) Table(class balancer.Class) picker.Table { return t.tables[class] }

// Class returns the class with a name; ok is false if there is none.
func (t *Tables) Class(name string) (class balancer.Class, ok bool) {
	for index, className := range t.classNames {
		if className == name {
			return balancer.Class(index), true
		}
	}
	return 0, false
}

// HeldVersion returns what a poll names: the epoch and version that the proxy holds, and the newest ownership epoch that it has
// followed.
func (t *Tables) HeldVersion() (epoch string, version, ownershipEpoch uint64) {
	return t.epoch, t.version, t.ownershipEpoch
}

// ForgetVersion makes the next poll name no version, so that complete tables are sent. The tables stay.
func (t *Tables) ForgetVersion() {
	t.epoch = ""
	t.version = 0
}

// Age returns the seconds since the tables were known to be the newest.
func (t *Tables) Age(now float64) float64 { return now - t.currentAt }

// MarkCurrent records that a coordinator has said that the tables are the newest.
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

// recordRemovals returns the touched servers that have left the tables by this change.
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
	if len(t.removed) > maxRemovals {
		t.removed = map[balancer.Server]bool{}
	}
	return left
}
