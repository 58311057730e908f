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
	RoleNone   Role = iota
	RoleViewer      // may look
	RoleStaff       // may change what belongs to its tenant
	RoleHost        // may do all
)

var (
	// ErrForbidden says that the caller may not do that.
	ErrForbidden = errors.New("the caller may not do that")
	// ErrVersionMismatch says that what was to be changed has changed since the caller looked.
	ErrVersionMismatch = errors.New("it has changed since")
	// ErrKeyReused says that a key was used for another call.
	ErrKeyReused = errors.New("the key was used for another call")
	// ErrInProgress says that a call with this key is under way.
	ErrInProgress = errors.New("a call with this key is under way")
)

const (
	mostKeys  = 4096    // answers that are remembered; the oldest are forgotten first
	keptFor   = 86400.0 // seconds
	mostAudit = 4096    // changes that can be asked for; the log has them all
)

// Response of a call.
type Response struct {
	Status int
	Body   []byte
}

type call struct {
	key    string
	print  uint64
	at     float64
	done   bool
	answer Response
}

// AuditEntry of the audit.
type AuditEntry struct {
	At     float64 `json:"at"` // clock time
	Who    string  `json:"who"`
	What   string  `json:"what"`
	Of     string  `json:"of"`
	Result string  `json:"result"`
}

// Log keeps calls and changes. The zero value is an empty one.
type Log struct {
	calls map[string]*call
	order []string
	audit []AuditEntry
}

// Begin takes a call of somebody with a key; print is a hash of what is asked. known says that it was answered before, with
// that answer. Guards against a call whose answer was lost and that is repeated; without a key each call counts.
func (b *Log) Begin(now float64, who, key string, print uint64) (a Response, known bool, err error) {
	if key == "" {
		return a, false, nil
	}
	name := who + "\x00" + key
	if c := b.calls[name]; c != nil && now-c.at < keptFor {
		switch {
		case c.print != print:
			return a, false, ErrKeyReused
		case !c.done:
			return a, false, ErrInProgress
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
func (b *Log) End(who, key string, a Response, keep bool) {
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

// RecordAudit a change, or one that was refused.
func (b *Log) RecordAudit(e AuditEntry) {
	if len(b.audit) >= mostAudit {
		b.audit = slices.Delete(b.audit, 0, len(b.audit)-mostAudit+1)
	}
	b.audit = append(b.audit, e)
}

// Audit is the latest changes, newest first.
func (b *Log) Audit(most int) []AuditEntry {
	all := slices.Clone(b.audit[max(0, len(b.audit)-most):])
	slices.Reverse(all)
	return all
}

// CheckVersion holds a caller's condition against a version; empty: none. Guards against two who change one thing at once, each by
// what it saw.
func CheckVersion(condition, version string) error {
	if condition == "" || condition == "*" || condition == version {
		return nil
	}
	return ErrVersionMismatch
}

// RequireRole tells whether a role is enough.
func RequireRole(is, needs Role) error {
	if is < needs {
		return ErrForbidden
	}
	return nil
}
