// Package tables keeps the tables that the decision module wants, each as lines in the order in which they last
// changed, so that what changed since a version is found without looking at what did not. It is pure.
package tables

import (
	"iter"

	"snowquay/balancer"
)

// mostRemoved is how many removed lines a table remembers beyond its live ones; who holds an older version than
// the oldest of them gets the full table. 64 covers a fleet's rolling restart.
const mostRemoved = 64

// Version of a table: it grows by one with every change.
type Version uint64

// Entry of a table. A weight of 0 means that it was removed.
type Entry struct {
	Server       balancer.Server
	Weight       float64
	Changed      Version
	ChangedAt    float64 // clock time of that change
	older, newer *Entry
}

// Admission is what a table orders of one class besides lines.
type Admission struct {
	Class   balancer.Class
	Rate    float64
	Retry   balancer.RetryPolicy
	Changed Version
}

// Table of one number. The zero value is an empty one.
type Table struct {
	lines   map[balancer.Server]*Entry
	newest  *Entry
	oldest  *Entry
	version Version
	since   Version // changes from before it may be missing
	live    int
	levels  []Admission
}

// Set gives a line a weight at a clock time; 0 removes it. It reports whether that is a change.
func (t *Table) Set(now float64, s balancer.Server, weight float64) bool {
	l := t.lines[s]
	if l == nil && weight == 0 || l != nil && l.Weight == weight {
		return false
	}
	if l == nil {
		if t.lines == nil {
			t.lines = map[balancer.Server]*Entry{}
		}
		l = &Entry{Server: s}
		t.lines[s] = l
	} else {
		t.unlink(l)
	}
	if l.Weight == 0 {
		t.live++
	}
	if weight == 0 {
		t.live--
	}
	t.version++
	l.ChangedAt = now
	l.Weight, l.Changed, l.older, l.newer = weight, t.version, t.newest, nil
	if t.newest != nil {
		t.newest.newer = l
	} else {
		t.oldest = l
	}
	t.newest = l
	t.compact()
	return true
}

func (t *Table) unlink(l *Entry) {
	if l.older != nil {
		l.older.newer = l.newer
	} else {
		t.oldest = l.newer
	}
	if l.newer != nil {
		l.newer.older = l.older
	} else {
		t.newest = l.older
	}
}

// compact forgets the longest removed lines. Guards against a table that grows with every server that ever was.
func (t *Table) compact() {
	for l := t.oldest; l != nil && len(t.lines)-t.live > mostRemoved; {
		next := l.newer
		if l.Weight == 0 {
			t.unlink(l)
			delete(t.lines, l.Server)
			t.since = max(t.since, l.Changed)
		}
		l = next
	}
}

// SetAdmission orders a level and a way of repeating for a class. It reports whether that is a change.
func (t *Table) SetAdmission(c balancer.Class, level float64, again balancer.RetryPolicy) bool {
	for i := range t.levels {
		if l := &t.levels[i]; l.Class == c {
			if l.Rate == level && l.Retry == again {
				return false
			}
			t.version++
			*l = Admission{c, level, again, t.version}
			return true
		}
	}
	t.version++
	t.levels = append(t.levels, Admission{c, level, again, t.version})
	return true
}

// Admissions of the table, in the order in which classes were first ordered.
func (t *Table) Admissions() []Admission { return t.levels }

// Version of the newest change; 0: there was none yet.
func (t *Table) Version() Version { return t.version }

// CanDelta tells whether all that changed after v is still known, so that v can be brought up to date by a delta.
func (t *Table) CanDelta(v Version) bool { return v >= t.since && v <= t.version }

// RemovedAt is when a server's line was removed; ok is false where it has one, or none is remembered.
func (t *Table) RemovedAt(s balancer.Server) (at float64, ok bool) {
	if l := t.lines[s]; l != nil && l.Weight == 0 {
		return l.ChangedAt, true
	}
	return 0, false
}

// Weight of a server, 0 where it has no line.
func (t *Table) Weight(s balancer.Server) float64 {
	if l := t.lines[s]; l != nil {
		return l.Weight
	}
	return 0
}

// Len is the number of lines with a weight.
func (t *Table) Len() int { return t.live }

// TotalLen is the number of lines, those among them that were removed and are not forgotten.
func (t *Table) TotalLen() int { return len(t.lines) }

// HasEntryUpTo tells whether a line with a weight last changed at v or before: whoever is brought up to v only, holds one.
func (t *Table) HasEntryUpTo(v Version) bool {
	newer := 0
	for l := range t.ChangedSince(v) {
		if l.Weight > 0 {
			newer++
		}
	}
	return t.live > newer
}

// ChangedBetween yields the lines that last changed after v and up to a version, newest first.
func (t *Table) ChangedBetween(v, to Version) iter.Seq[*Entry] {
	return func(yield func(*Entry) bool) {
		for l := range t.ChangedSince(v) {
			if l.Changed <= to && !yield(l) {
				return
			}
		}
	}
}

// ChangedSince yields all lines changed after v, newest first, each once however often it moved; removed ones have no
// weight. The cost is that of what changed.
func (t *Table) ChangedSince(v Version) iter.Seq[*Entry] {
	return func(yield func(*Entry) bool) {
		for l := t.newest; l != nil && l.Changed > v; l = l.older {
			if !yield(l) {
				return
			}
		}
	}
}
