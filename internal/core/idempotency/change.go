// Package idempotency keeps what makes an administrator's calls safe to repeat and to answer for: what a call with a key was
// answered, and who changed what. It is pure.
package idempotency

import (
	"errors"
	"slices"
)

// Role of whoever calls.
type Role int

const (
	Nobody Role = iota
	Viewer      // may look
	Staff       // may change what belongs to its tenant
	Host        // may do all
)

var (
	// ErrRole says that the caller may not do that.
	ErrRole = errors.New("the caller may not do that")
	// ErrStale says that what was to be changed has changed since the caller looked.
	ErrStale = errors.New("it has changed since")
	// ErrKey says that a key was used for another call.
	ErrKey = errors.New("the key was used for another call")
	// ErrBusy says that a call with this key is under way.
	ErrBusy = errors.New("a call with this key is under way")
)

const (
	mostKeys  = 4096    // answers that are remembered; the oldest are forgotten first
	keptFor   = 86400.0 // seconds
	mostAudit = 4096    // changes that can be asked for; the log has them all
)

// Answer of a call.
type Answer struct {
	Status int
	Body   []byte
}

type call struct {
	key    string
	print  uint64
	at     float64
	done   bool
	answer Answer
}

// Entry of the audit.
type Entry struct {
	At     float64 `json:"at"` // clock time
	Who    string  `json:"who"`
	What   string  `json:"what"`
	Of     string  `json:"of"`
	Result string  `json:"result"`
}

// Book keeps calls and changes. The zero value is an empty one.
type Book struct {
	calls map[string]*call
	order []string
	audit []Entry
}

// Begin takes a call of somebody with a key; print is a hash of what is asked. known says that it was answered before, with
// that answer. Guards against a call whose answer was lost and that is repeated; without a key each call counts.
func (b *Book) Begin(now float64, who, key string, print uint64) (a Answer, known bool, err error) {
	if key == "" {
		return a, false, nil
	}
	name := who + "\x00" + key
	if c := b.calls[name]; c != nil && now-c.at < keptFor {
		switch {
		case c.print != print:
			return a, false, ErrKey
		case !c.done:
			return a, false, ErrBusy
		}
		return c.answer, true, nil
	}
	if b.calls == nil {
		b.calls = map[string]*call{}
	}
	if i := slices.Index(b.order, name); i >= 0 {
		b.order = slices.Delete(b.order, i, i+1)
	}
	for len(b.order) >= mostKeys {
		delete(b.calls, b.order[0])
		b.order = b.order[1:]
	}
	b.calls[name] = &call{key: name, print: print, at: now}
	b.order = append(b.order, name)
	return a, false, nil
}

// End keeps a call's answer. Only what changed something is kept: whoever was refused may call again.
func (b *Book) End(who, key string, a Answer, keep bool) {
	name := who + "\x00" + key
	c := b.calls[name]
	if c == nil || key == "" {
		return
	}
	if !keep {
		delete(b.calls, name)
		if i := slices.Index(b.order, name); i >= 0 {
			b.order = slices.Delete(b.order, i, i+1)
		}
		return
	}
	c.done, c.answer = true, a
}

// Note a change, or one that was refused.
func (b *Book) Note(e Entry) {
	if len(b.audit) >= mostAudit {
		b.audit = slices.Delete(b.audit, 0, len(b.audit)-mostAudit+1)
	}
	b.audit = append(b.audit, e)
}

// Audit is the latest changes, newest first.
func (b *Book) Audit(most int) []Entry {
	all := slices.Clone(b.audit[max(0, len(b.audit)-most):])
	slices.Reverse(all)
	return all
}

// Match holds a caller's condition against a version; empty: none. Guards against two who change one thing at once, each by
// what it saw.
func Match(condition, version string) error {
	if condition == "" || condition == "*" || condition == version {
		return nil
	}
	return ErrStale
}

// May tells whether a role is enough.
func May(is, needs Role) error {
	if is < needs {
		return ErrRole
	}
	return nil
}
