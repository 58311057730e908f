// Package tables implements versioned weight tables. Their entries are ordered by their last change, so that the changes
// since a version are found without scanning other entries. The package performs no I/O.
package tables

import (
	"iter"

	"snowquay/balancer"
)

// maxRemoved is the maximum number of removed entries that a table stores in addition to its live ones. A proxy that holds
// a version older than the oldest of them is sent the full table. 64 covers a rolling restart of all servers.
const maxRemoved = 64

// Version is the version of a table. Every change increments it by one.
type Version uint64

// Admission holds the admission rate and retry policy of a request class in a table.
type Admission struct {
	Class   balancer.Class
	Rate    float64 // fraction of requests that are admitted
	Retry   balancer.RetryPolicy
	Changed Version // version of the last change
}

// Table is a versioned weight table. The zero value is an empty table. It is not safe for concurrent use.
type Table struct {
	version    Version
	deltaSince Version // deltas since earlier versions are incomplete: removals up to it may be forgotten
	entries    map[balancer.Server]*Entry
	byChange   entryList
	live       int // number of entries with a weight
	admissions []Admission
}

// Set sets the weight of a server's entry at a time in seconds; a weight of 0 removes the entry. It reports whether the
// table has changed.
func (t *Table) Set(now float64, server balancer.Server, weight float64) bool {
	if t.Weight(server) == weight {
		return false
	}
	entry := t.entries[server]
	if entry == nil {
		if t.entries == nil {
			t.entries = map[balancer.Server]*Entry{}
		}
		entry = &Entry{Server: server}
		t.entries[server] = entry
	} else {
		t.byChange.remove(entry)
	}
	if entry.Weight == 0 {
		t.live++
	}
	if weight == 0 {
		t.live--
	}
	t.version++
	entry.Weight = weight
	entry.Changed = t.version
	entry.ChangedAt = now
	t.byChange.pushNewest(entry)
	t.forgetOldestRemoved()
	return true
}

// forgetOldestRemoved limits the number of removed entries, so that a table does not grow with every server ever listed.
func (t *Table) forgetOldestRemoved() {
	entry := t.byChange.oldest
	for entry != nil && len(t.entries)-t.live > maxRemoved {
		next := entry.newer
		if entry.Weight == 0 {
			t.byChange.remove(entry)
			delete(t.entries, entry.Server)
			t.deltaSince = max(t.deltaSince, entry.Changed)
		}
		entry = next
	}
}

// SetAdmission sets the admission rate and retry policy of a class. It reports whether the table has changed.
func (t *Table) SetAdmission(class balancer.Class, rate float64, retry balancer.RetryPolicy) bool {
	for i := range t.admissions {
		admission := &t.admissions[i]
		if admission.Class != class {
			continue
		}
		if admission.Rate == rate && admission.Retry == retry {
			return false
		}
		t.version++
		admission.Rate = rate
		admission.Retry = retry
		admission.Changed = t.version
		return true
	}
	t.version++
	t.admissions = append(t.admissions, Admission{Class: class, Rate: rate, Retry: retry, Changed: t.version})
	return true
}

// Admissions returns the admission settings in the order in which the classes were first set. The table owns the slice.
func (t *Table) Admissions() []Admission { return t.admissions }

// Version returns the version of the newest change; 0 if there has been none.
func (t *Table) Version() Version { return t.version }

// HasDeltaSince reports whether all changes after a version are known, so that its holder can be updated by a delta.
func (t *Table) HasDeltaSince(version Version) bool {
	return version >= t.deltaSince && version <= t.version
}

// RemovedAt returns the time in seconds at which a server's entry was removed. ok is false if the server has an entry, or
// if no removal is remembered.
func (t *Table) RemovedAt(server balancer.Server) (at float64, ok bool) {
	entry := t.entries[server]
	if entry == nil || entry.Weight != 0 {
		return 0, false
	}
	return entry.ChangedAt, true
}

// Weight returns the weight of a server's entry; 0 if it has none.
func (t *Table) Weight(server balancer.Server) float64 {
	entry := t.entries[server]
	if entry == nil {
		return 0
	}
	return entry.Weight
}

// Len returns the number of entries with a weight.
func (t *Table) Len() int { return t.live }

// TotalLen returns the number of entries, including remembered removals.
func (t *Table) TotalLen() int { return len(t.entries) }

// HasEntryUpTo reports whether any entry with a weight was last changed at or before a version. If so, a holder that is
// updated only up to that version has an entry.
func (t *Table) HasEntryUpTo(version Version) bool {
	newer := 0
	for entry := range t.ChangedSince(version) {
		if entry.Weight > 0 {
			newer++
		}
	}
	return t.live > newer
}

// ChangedSince yields the entries that changed after a version, newest first, each once. Removed entries have a weight
// of 0. The cost is proportional to the number of entries yielded. The table owns the entries, and must not be changed
// during the iteration.
func (t *Table) ChangedSince(version Version) iter.Seq[*Entry] {
	return func(yield func(*Entry) bool) {
		for entry := t.byChange.newest; entry != nil && entry.Changed > version; entry = entry.older {
			if !yield(entry) {
				return
			}
		}
	}
}

// ChangedBetween yields the entries that last changed after one version and up to another, newest first.
func (t *Table) ChangedBetween(after, upTo Version) iter.Seq[*Entry] {
	return func(yield func(*Entry) bool) {
		for entry := range t.ChangedSince(after) {
			if entry.Changed <= upTo && !yield(entry) {
				return
			}
		}
	}
}
