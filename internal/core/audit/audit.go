// Package audit stores the latest changes that administrators made or were denied. It performs no I/O.
package audit

import "slices"

const maxEntries = 4096 // retained entries; the coordinator's own log has all of them

// Entry records one change or one attempted change.
type Entry struct {
	At     float64 `json:"at"`     // wall-clock time in seconds
	Caller string  `json:"who"`    // the caller's name
	Action string  `json:"what"`   // the action
	Target string  `json:"of"`     // the changed object
	Result string  `json:"result"` // the outcome
}

// Log holds the latest entries. The zero value is an empty log. It is not safe for concurrent use.
type Log struct {
	entries []Entry // oldest first
}

// Record appends an entry and drops the oldest one if the log is full.
func (l *Log) Record(entry Entry) {
	if len(l.entries) >= maxEntries {
		l.entries = slices.Delete(l.entries, 0, len(l.entries)-maxEntries+1)
	}
	l.entries = append(l.entries, entry)
}

// Latest returns up to limit entries, newest first.
func (l *Log) Latest(limit int) []Entry {
	latest := slices.Clone(l.entries[max(0, len(l.entries)-limit):])
	slices.Reverse(latest)
	return latest
}
