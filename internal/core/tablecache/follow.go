// Package tablecache keeps the tables that a proxy was told: it applies what coordinators say, whole and in order, refuses what
// is older than it has followed, and outlives coordinators and its own restarts by a snapshot. It is pure.
package tablecache

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"snowquay/balancer"
	"snowquay/internal/core/picker"
	"snowquay/internal/wire/delta"
	"snowquay/internal/wire/sasp"
)

var (
	// ErrEpochOutdated says that an answer is of a coordinator that led the proxy before another one did.
	ErrEpochOutdated = errors.New("of an older epoch than was followed")
	// ErrUnknownBase says that an answer is a delta to a state that the proxy does not hold.
	ErrUnknownBase = errors.New("a delta to what is not held")
	// ErrUnknownClass says that an answer names a class that the proxy does not have.
	ErrUnknownClass = errors.New("of an unknown class")
	// ErrInvalidSnapshot says that a snapshot can't be used.
	ErrInvalidSnapshot = errors.New("snapshot that makes no sense")
)

const (
	mostLines   = 8192   // of a class; a table with more is refused whole
	oldestTable = 7200.0 // seconds; a snapshot that is older is not used: servers have moved meanwhile
)

// ClassOrder for a class that is not of lines.
type ClassOrder struct {
	Class      balancer.Class
	Admission  float64 // below 0: as before
	RetryAfter float64
	Retry      balancer.RetryPolicy
	HasRetry   bool // Way is said
}

// Tables of a proxy. Use New.
type Tables struct {
	names   []string
	by      []picker.Table
	epoch   string
	version uint64
	lead    uint64
	at      float64 // when they were last known to be the newest
	gone    map[balancer.Server]float64
	Stats   Stats
}

// Stats is what happened, for metrics.
type Stats struct{ Applied, Outdated, BaseUnknown, Invalid int }

// New makes empty tables for classes of these names; build gives each its way of picking.
func New(names []string, build func(class int) picker.Table) *Tables {
	t := &Tables{names: names, gone: map[balancer.Server]float64{}}
	for i := range names {
		t.by = append(t.by, build(i))
	}
	return t
}

// Table is a class's table.
func (t *Tables) Table(c balancer.Class) picker.Table { return t.by[c] }

// Class by its name.
func (t *Tables) Class(name string) (balancer.Class, bool) {
	for i, n := range t.names {
		if n == name {
			return balancer.Class(i), true
		}
	}
	return 0, false
}

// HeldVersion is what a poll names: the epoch and version that the proxy holds, and the newest lead that it has followed.
func (t *Tables) HeldVersion() (epoch string, version, lead uint64) {
	return t.epoch, t.version, t.lead
}

// ConnectionLost says that what is held is not to be named any more, as after an answer that did not fit.
func (t *Tables) ConnectionLost() { t.epoch, t.version = "", 0 }

// Age is how long ago the tables were known to be the newest.
func (t *Tables) Age(now float64) float64 { return now - t.at }

// MarkCurrent says that a coordinator has said that nothing is newer.
func (t *Tables) MarkCurrent(now float64) { t.at = now }

// HasServer tells whether a server has a line in any class.
func (t *Tables) HasServer(s balancer.Server) bool {
	for _, x := range t.by {
		if x.Weight(s) > 0 {
			return true
		}
	}
	return false
}

// Apply takes an answer of the long-poll API, whole or not at all. left are the servers that have no line any more in any
// class: their kept connections are to be closed, and what is in progress there ends within the grace.
func (t *Tables) Apply(now float64, a *delta.Tables) (orders []ClassOrder, left []balancer.Server, err error) {
	switch {
	case a.Stale(t.lead):
		t.Stats.Outdated++
		return nil, nil, fmt.Errorf("%w: %d, %d was followed", ErrEpochOutdated, a.OwnershipEpoch, t.lead)
	case !a.AppliesTo(t.epoch, t.version):
		t.Stats.BaseUnknown++
		return nil, nil, fmt.Errorf("%w: of version %d, %d is held", ErrUnknownBase, a.Base, t.version)
	}
	for _, c := range a.Classes {
		k, ok := t.Class(c.Class)
		if !ok {
			t.Stats.Invalid++
			return nil, nil, fmt.Errorf("%w: %q", ErrUnknownClass, c.Class)
		}
		if n := len(c.Entries); n > mostLines || !c.Full && t.by[k].Len()+n > mostLines+n/2 {
			t.Stats.Invalid++
			return nil, nil, fmt.Errorf("%w: %d lines in class %q", ErrUnknownClass, n, c.Class)
		}
	}
	touched := map[balancer.Server]bool{}
	for _, c := range a.Classes {
		k, _ := t.Class(c.Class)
		x := t.by[k]
		if c.Full {
			for _, l := range x.Entries() {
				touched[l.Server] = true
			}
			var lines []picker.Entry
			for _, l := range c.Entries {
				if l.Weight > 0 {
					lines = append(lines, picker.Entry{Server: balancer.Server(l.Server), Weight: l.Weight})
				}
			}
			picker.Replace(x, lines)
		} else {
			for _, l := range c.Entries {
				touched[balancer.Server(l.Server)] = true
				x.Set(balancer.Server(l.Server), l.Weight)
			}
		}
		o := ClassOrder{Class: k, Admission: -1}
		if c.Admission != nil {
			o.Admission = *c.Admission
			if c.RetryAfter != nil {
				o.RetryAfter = *c.RetryAfter
			}
		}
		o.Retry, o.HasRetry = ways[c.Retry], c.Retry != ""
		if c.Admission != nil || o.HasRetry {
			orders = append(orders, o)
		}
	}
	t.epoch, t.version, t.lead, t.at = a.Epoch, a.Version, a.OwnershipEpoch, now
	t.Stats.Applied++
	return orders, t.left(now, touched), nil
}

var ways = map[string]balancer.RetryPolicy{"none": balancer.RetryNever, "proof": balancer.RetryIfNotExecuted, "failure": balancer.RetryOnce,
	"twice": balancer.RetryTwice}

// ApplyRows takes a class's rows as SASP sends them: each row is a line, set or taken away.
func (t *Tables) ApplyRows(now float64, class string, rows []sasp.Row, name func(sasp.Address) balancer.Server) ([]balancer.Server, error) {
	k, ok := t.Class(class)
	if !ok {
		t.Stats.Invalid++
		return nil, fmt.Errorf("%w: %q", ErrUnknownClass, class)
	}
	if t.by[k].Len()+len(rows) > 2*mostLines {
		t.Stats.Invalid++
		return nil, fmt.Errorf("%w: %d lines in class %q", ErrUnknownClass, len(rows), class)
	}
	touched := map[balancer.Server]bool{}
	for _, r := range rows {
		s, w := name(r.Address), float64(r.Weight)
		if r.Flags&sasp.Quiesce != 0 {
			w = 0
		}
		touched[s] = true
		t.by[k].Set(s, w)
	}
	t.at = now
	t.Stats.Applied++
	return t.left(now, touched), nil
}

func (t *Tables) left(now float64, touched map[balancer.Server]bool) (left []balancer.Server) {
	for s := range touched {
		if t.HasServer(s) {
			delete(t.gone, s)
		} else if _, ok := t.gone[s]; !ok {
			t.gone[s] = now
			left = append(left, s)
		}
	}
	if len(t.gone) > mostLines { // servers that came and went; only those in progress matter, and they end within the grace
		t.gone = map[balancer.Server]float64{}
	}
	return left
}

type snapshot struct {
	At      float64         `json:"at"` // clock time at which it was last the newest
	Lead    uint64          `json:"lead"`
	Classes []snapshotClass `json:"classes"`
}

type snapshotClass struct {
	Name  string         `json:"name"`
	Lines []picker.Entry `json:"lines"`
}

// Save is a snapshot of what is held.
func (t *Tables) Save() ([]byte, error) {
	s := snapshot{At: t.at, Lead: t.lead}
	for i, n := range t.names {
		s.Classes = append(s.Classes, snapshotClass{n, t.by[i].Entries()})
	}
	return json.Marshal(s)
}

// Restore takes a snapshot of a former life, whole or not at all. Guards against a proxy without a line where its coordinators
// are gone; it does harm by sending to servers that have left since, so one that is too old is refused. The lead stays: orders
// older than a former life had followed are refused by this one too.
func (t *Tables) Restore(now float64, b []byte) error {
	var s snapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if !(s.At <= now) || now-s.At > oldestTable {
		return fmt.Errorf("%w: it is %.0f s old, %.0f at most", ErrInvalidSnapshot, now-s.At, oldestTable)
	}
	for _, c := range s.Classes {
		if _, ok := t.Class(c.Name); !ok || len(c.Lines) > mostLines {
			return fmt.Errorf("%w: class %q with %d lines", ErrInvalidSnapshot, c.Name, len(c.Lines))
		}
		for _, l := range c.Lines {
			if !(l.Weight > 0) || math.IsInf(l.Weight, 0) || l.Server == "" {
				return fmt.Errorf("%w: server %q, weight %v", ErrInvalidSnapshot, l.Server, l.Weight)
			}
		}
	}
	for _, c := range s.Classes {
		k, _ := t.Class(c.Name)
		picker.Replace(t.by[k], c.Lines)
	}
	t.at, t.lead = s.At, s.Lead
	return nil
}
