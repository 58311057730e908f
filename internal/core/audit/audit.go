// Package audit keeps the latest changes that administrators made, or were denied. It is pure.
package audit

import "slices"

const maxEntries = 4096 // that can be asked for; the coordinator's own log has all

// Entry is one change, or attempt of a change.
type Entry struct {
	At     float64 `json:"at"`     // clock time in seconds
	Caller string  `json:"who"`    // the caller's name
	Action string  `json:"what"`   // the action
	Target string  `json:"of"`     // what was changed
	Result string  `json:"result"` // what came of it
}

// Log keeps the latest entries. The zero value is an empty log. It is not safe for concurrent use.
type Log struct {
	entries []Entry // oldest first
}

// Record appends an entry; the oldest is dropped where there are too many.
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
