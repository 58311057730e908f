package tables

import "snowquay/balancer"

// Entry is a server's entry in a table.
type Entry struct {
	Server    balancer.Server
	Weight    float64 // 0 if the entry was removed
	Changed   Version // version of the last change
	ChangedAt float64 // time of the last change, in seconds

	older *Entry
	newer *Entry
}

// entryList is a doubly linked list of entries in the order of their last change.
type entryList struct {
	newest *Entry
	oldest *Entry
}

func (l *entryList) pushNewest(e *Entry) {
	e.older = l.newest
	e.newer = nil
	if l.newest != nil {
		l.newest.newer = e
	} else {
		l.oldest = e
	}
	l.newest = e
}

func (l *entryList) remove(e *Entry) {
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		l.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		l.newest = e.older
	}
}
