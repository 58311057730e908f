// Package tables holds versioned weight tables, whose entries are ordered by their last change, so that the changes since
// a version are found without looking at other entries. It is pure.
package tables

import (
	"iter"

	"snowquay/balancer"
)

// maxRemoved is how many removed entries a table remembers beside its live ones. A proxy that holds a version older than
// the oldest of them gets the full table. 64 covers a rolling restart of all servers.
const maxRemoved = 64

// Version of a table. It grows by one with every change.
type Version uint64

// Admission is the admission setting of a request class in a table.
type Admission struct {
	Class   balancer.Class
	Rate    float64 // admitted fraction of the requests
	Retry   balancer.RetryPolicy
	Changed Version // in which it last changed
}

// Table is one weight table. The zero value is an empty one. It is not safe for concurrent use.
type Table struct {
	version    Version
	deltaSince Version // removals up to it may be forgotten
	entries    map[balancer.Server]*Entry
	byChange   entryList
	live       int // entries with a weight
	admissions []Admission
}

// Set gives a server's entry a weight at a time in seconds; a weight of 0 removes it. It reports whether that is a change.
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

// forgetOldestRemoved keeps a table from growing with every server that ever was.
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

// SetAdmission sets the admission rate and retry policy of a class. It reports whether that is a change.
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

// Admissions lists the admission settings, in the order in which classes were first set. The table owns the slice.
func (t *Table) Admissions() []Admission { return t.admissions }

// Version is that of the newest change; 0 if there was none yet.
func (t *Table) Version() Version { return t.version }

// HasDeltaSince tells whether all changes after a version are known, so that its holder can be updated by a delta.
func (t *Table) HasDeltaSince(version Version) bool {
	return version >= t.deltaSince && version <= t.version
}

// RemovedAt is the time in seconds when a server's entry was removed. ok is false if the server has an entry, or no
// removal is remembered.
func (t *Table) RemovedAt(server balancer.Server) (at float64, ok bool) {
	entry := t.entries[server]
	if entry == nil || entry.Weight != 0 {
		return 0, false
	}
	return entry.ChangedAt, true
}

// Weight of a server's entry; 0 if it has none.
func (t *Table) Weight(server balancer.Server) float64 {
	entry := t.entries[server]
	if entry == nil {
		return 0
	}
	return entry.Weight
}

// Len is the number of entries with a weight.
func (t *Table) Len() int { return t.live }

// TotalLen is the number of entries, remembered removals included.
func (t *Table) TotalLen() int { return len(t.entries) }

// HasEntryUpTo tells whether an entry with a weight last changed at a version or before: the holder of a table that is
// updated up to that version only has one.
func (t *Table) HasEntryUpTo(version Version) bool {
	newer := 0
	for entry := range t.ChangedSince(version) {
		if entry.Weight > 0 {
			newer++
		}
	}
	return t.live > newer
}

// ChangedSince yields the entries that changed after a version, newest first, each once. Removed ones have no weight. The
// cost is that of the entries yielded. The table must not change meanwhile, and owns the entries.
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
