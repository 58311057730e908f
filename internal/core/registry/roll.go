// Package registry keeps the servers that a coordinator knows: where they stand, whether they run, drain or are gone, and
// when they last started. It is pure: time and facts in, entries for the decision module and records to keep out.
//
// A server is present while it is standing (listed for good by the settings) or registered. What is registered by a
// connection that broke stays for a while, since a broken connection is no word that a process ended. Clock times are
// well above 0, as the seconds since 1970 are.
package registry

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"snowquay/balancer"
)

const (
	uptimeSlack  = 0.5 // seconds by which two reports of one start may differ: reports are late by chance
	longestRun   = 1e9 // seconds, 30 years; an uptime over it is garbled
	youngMeans   = 2.0 // seconds; an uptime that falls by more than the slack is of another process
	tellAtMost   = 256 // changes kept for one round; more than that and the whole list is told
	returnsIn    = 1.5 // seconds after a coordinator's start, within which processes that still run dial again
	forgetsAfter = 600 // seconds after which a server that is gone and not listed is forgotten, to make room
)

// ErrFull says that no further server is taken.
var ErrFull = errors.New("the roll is full")

// ServerConfig is what the settings say of a server.
type ServerConfig struct {
	Server        balancer.Server        `json:"Server"`
	Zone          balancer.Zone          `json:"Zone"`
	Kind          balancer.Kind          `json:"Kind"`
	FailureDomain balancer.FailureDomain `json:"Pod"`
	Weight        float64                `json:"Weight"`
	Static        bool                   `json:"Standing"` // in service without registering
}

// Record is what has to outlive the coordinator of one server.
type Record struct {
	ServerConfig
	Phase        balancer.Phase `json:"Phase"`
	Started      float64        `json:"Started"` // clock time; 0: long ago
	NotifiedAt   float64        `json:"Told"`    // when it was heard that it drains or is gone; 0: it serves
	DrainOrdered bool           `json:"Drained"` // somebody ordered the drain; a registration does not undo it
}

type member struct {
	Record
	listed     bool // by the settings
	registered bool
	vouched    int     // balancers that registered it, where they may
	restored   bool    // known from a former life only
	lostAt     float64 // when its connection broke; 0: it stands
	uptime     float64 // last one heard, 0: none
	told       bool    // the entry was given to the module
	touched    bool    // it is among those changed
	removed    bool    // nobody lists it any more, and it has not registered since
}

// Registry is the list. Use New.
type Registry struct {
	members map[balancer.Server]*member
	changed []*member // since the last Changes
	hold    float64
	most    int
	version int  // grows with every change of a phase
	whole   bool // the next Changes is the whole list
	unkept  bool // something has changed since Kept
	ageless bool // starts are not taken into account (a guard left out)
}

// New makes an empty roll. hold is how long, in seconds, a server stays when the connection that registered it breaks;
// most bounds the servers. ageless leaves out the guard of cold servers, for tests of the guard.
func New(hold float64, most int, ageless bool) *Registry {
	return &Registry{members: map[balancer.Server]*member{}, hold: hold, most: most, ageless: ageless, whole: true}
}

func (r *Registry) get(s balancer.Server) *member { return r.members[s] }

func (r *Registry) add(now float64, s balancer.Server) (*member, error) {
	if m := r.members[s]; m != nil {
		return m, nil
	}
	if len(r.members) >= r.most {
		r.forget(now)
	}
	if len(r.members) >= r.most {
		return nil, fmt.Errorf("%w: %d servers", ErrFull, r.most)
	}
	m := &member{Record: Record{ServerConfig: ServerConfig{Server: s, Weight: 1}, Phase: balancer.Removed}}
	r.members[s] = m
	return m, nil
}

// forget makes room: servers that are gone for long and that no settings list.
func (r *Registry) forget(now float64) {
	for s, m := range r.members {
		if !m.listed && m.Phase == balancer.Removed && now-m.NotifiedAt > forgetsAfter {
			delete(r.members, s)
			r.changed = slices.DeleteFunc(r.changed, func(o *member) bool { return o == m })
		}
	}
}

func (r *Registry) touch(m *member) {
	r.unkept = true
	if !m.touched {
		m.touched, r.changed = true, append(r.changed, m)
	}
	if len(r.changed) > tellAtMost {
		r.whole = true
	}
}

func (m *member) present() bool { return m.registered || m.Static || m.restored || m.vouched > 0 }

// settle works out a member's phase after a fact. A drain outlives a broken connection: whoever comes again may be the
// same process, behind a cut that has healed.
func (r *Registry) settle(now float64, m *member) {
	phase := balancer.Ready
	switch {
	case !m.present():
		phase = balancer.Removed
	case m.DrainOrdered:
		phase = balancer.Draining
	}
	if phase == m.Phase {
		return
	}
	r.version++
	if m.Phase = phase; phase == balancer.Ready {
		m.NotifiedAt = 0
	} else if m.NotifiedAt == 0 {
		m.NotifiedAt = now
	}
	r.touch(m)
}

// Restore takes the records of a former life, before any other fact. Servers in service are held to run until the
// hold is over; drains go on from when they were told.
func (r *Registry) Restore(now float64, records []Record) error {
	for _, rec := range records {
		m, err := r.add(now, rec.Server)
		if err != nil {
			return err
		}
		m.Record = rec
		if m.removed = rec.Phase == balancer.Removed; !m.removed {
			m.restored, m.lostAt = true, now
		}
		r.touch(m)
	}
	return nil
}

// Configure takes what the settings list. A server whose place changed is told anew.
func (r *Registry) Configure(now float64, p ServerConfig) error {
	m, err := r.add(now, p.Server)
	if err != nil {
		return err
	}
	m.removed = false
	if m.listed = true; m.ServerConfig != p {
		m.ServerConfig = p
		r.touch(m)
	}
	r.settle(now, m)
	return nil
}

// Unconfigure says that the settings do not list s any more: it is gone, whatever connection it has. It may come back by registering,
// where the settings let servers do so that they do not list.
func (r *Registry) Unconfigure(now float64, s balancer.Server) {
	m := r.get(s)
	if m == nil {
		return
	}
	m.listed, m.Static, m.DrainOrdered, m.removed = false, false, false, true
	m.registered, m.restored, m.vouched, m.lostAt = false, false, 0, 0
	r.touch(m)
	r.settle(now, m)
}

// Register says that a process at s is up and wants queries: by itself, or by a balancer that is believed. zone is
// taken for servers that the settings do not list. A process that was gone, or whose connection broke, has started anew
// as far as anybody can tell, and is cold from now on; its uptime may correct that. Guards against a cold server that
// is taken for a warm one; it does harm where connections break without a restart and no uptime is reported.
func (r *Registry) Register(now float64, s balancer.Server, zone balancer.Zone) error {
	m, err := r.add(now, s)
	if err != nil {
		return err
	}
	if !m.listed && !m.restored {
		m.Zone = zone
	}
	again := m.registered && m.lostAt == 0
	back := m.restored && now-m.lostAt <= returnsIn // the same process that a former life knew
	if !again && !back && !r.ageless {
		m.Started, m.uptime = now, 0
		r.touch(m)
	}
	m.registered, m.restored, m.lostAt, m.removed = true, false, 0, false
	r.settle(now, m)
	return nil
}

// AdjustVouchers says that one balancer more (n = 1) or less (n = -1) has s among its members, where the site believes them.
// A server that nobody knew starts now, as with Register.
func (r *Registry) AdjustVouchers(now float64, s balancer.Server, zone balancer.Zone, n int) error {
	m, err := r.add(now, s)
	if err != nil {
		return err
	}
	if n > 0 && !m.present() {
		if !m.listed {
			m.Zone = zone
		}
		if !r.ageless {
			m.Started, m.uptime = now, 0
		}
	}
	m.vouched, m.removed = max(0, m.vouched+n), m.removed && n < 0
	r.settle(now, m)
	return nil
}

// Deregister says that the process at s is going away for good; a drain of it ends with it.
func (r *Registry) Deregister(now float64, s balancer.Server) {
	if m := r.get(s); m != nil {
		if m.DrainOrdered {
			m.DrainOrdered = false
			r.touch(m)
		}
		m.registered, m.restored, m.lostAt = false, false, 0
		r.settle(now, m)
	}
}

// SetDrain orders a drain of s, or ends it. It reports whether s is known and present, or else whether a drain of it was
// ended.
func (r *Registry) SetDrain(now float64, s balancer.Server, on bool) bool {
	m := r.get(s)
	if m == nil || m.Phase == balancer.Removed && !m.DrainOrdered {
		return false
	}
	if m.DrainOrdered != on {
		m.DrainOrdered = on
		r.touch(m)
	}
	r.settle(now, m)
	return true
}

// ConnectionLost says that the connection which registered s broke. It stays for the hold.
func (r *Registry) ConnectionLost(now float64, s balancer.Server) {
	if m := r.get(s); m != nil && m.registered && m.lostAt == 0 {
		m.lostAt = now
	}
}

// ObserveUptime takes seconds since the start of the process at s, from a measurement. It moves the start of a registered
// server only: a report alone brings nobody into service. A report that falls is of a new process; one that says the
// process is older than was thought warms it. Frozen or garbled ones change nothing.
func (r *Registry) ObserveUptime(now float64, s balancer.Server, up float64) {
	m := r.get(s)
	if m == nil || !m.registered && m.vouched == 0 || r.ageless || !(up >= 0) || up > longestRun || up == m.uptime {
		return
	}
	start, fell := now-up, up < m.uptime-youngMeans
	if m.uptime = up; fell && start > m.Started+uptimeSlack || start < m.Started-uptimeSlack {
		m.Started = start
		r.touch(m)
	}
}

// ObserveLaterStart says that another coordinator has heard that s started later than we think. Guards against a cold server that is
// taken for a warm one by a coordinator that it has not dialled again yet; it does harm where clocks of coordinators are
// apart by more than the slack, until the server's next report of its uptime.
func (r *Registry) ObserveLaterStart(s balancer.Server, started float64) {
	if m := r.get(s); m != nil && m.present() && !r.ageless && started > m.Started+youngMeans {
		m.Started = started
		r.touch(m)
	}
}

// ExpireHolds ends the hold of servers whose connection broke.
func (r *Registry) ExpireHolds(now float64) {
	for _, m := range r.members {
		if m.lostAt > 0 && now-m.lostAt >= r.hold {
			m.registered, m.restored, m.lostAt = false, false, 0
			r.settle(now, m)
		}
	}
}

// TakeChanges is what the module has not been told yet, by address, and whether it is the whole list.
func (r *Registry) TakeChanges() (entries []balancer.Endpoint, whole bool) {
	whole, r.whole = r.whole, false
	tell := r.changed
	if whole {
		tell = nil
		for _, m := range r.members {
			tell = append(tell, m)
		}
	}
	for _, m := range r.changed {
		m.touched = false
	}
	for _, m := range tell {
		if m.Phase == balancer.Removed && !m.told {
			continue // never told of, so not to be taken back
		}
		m.told = m.Phase != balancer.Removed
		entries = append(entries, balancer.Endpoint{Server: m.Server, Zone: m.Zone, Kind: m.Kind, FailureDomain: m.FailureDomain,
			Weight: m.Weight, Phase: m.Phase, Started: m.Started})
	}
	r.changed = r.changed[:0]
	slices.SortFunc(entries, func(a, b balancer.Endpoint) int { return cmp.Compare(a.Server, b.Server) })
	return entries, whole
}

// ChangedRecords is the records of all servers that have something new, to be kept before it is acted on. It must be asked
// before Changes.
func (r *Registry) ChangedRecords() (records []Record) {
	for _, m := range r.changed {
		records = append(records, m.Record)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Server, b.Server) })
	return records
}

// NeedsPersist tells whether something has changed since Kept, which says that what Changed has named is durable.
func (r *Registry) NeedsPersist() bool { return r.unkept }

// MarkPersisted is the answer to Unkept.
func (r *Registry) MarkPersisted() { r.unkept = false }

// Phase of a server, Gone where it is unknown, and when it was told of its drain or end.
func (r *Registry) Phase(s balancer.Server) (balancer.Phase, float64) {
	if m := r.get(s); m != nil {
		return m.Phase, m.NotifiedAt
	}
	return balancer.Removed, math.Inf(-1)
}

// Find is the record of a server.
func (r *Registry) Find(s balancer.Server) (Record, bool) {
	if m := r.get(s); m != nil && !m.removed {
		return m.Record, true
	}
	return Record{}, false
}

// Version grows whenever a server comes into service or leaves it.
func (r *Registry) Version() int { return r.version }

// Servers are all that are kept, by address.
func (r *Registry) Servers() []balancer.Server {
	all := make([]balancer.Server, 0, len(r.members))
	for s, m := range r.members {
		if !m.removed {
			all = append(all, s)
		}
	}
	slices.Sort(all)
	return all
}

// KnownServers are all that are remembered, by address, also those that nobody lists any more: a proxy may still hold a line to them.
func (r *Registry) KnownServers() []balancer.Server {
	return slices.Sorted(maps.Keys(r.members))
}

// OrderedDrains are the servers with a drain that somebody ordered, by address.
func (r *Registry) OrderedDrains() (all []balancer.Server) {
	for s, m := range r.members {
		if m.DrainOrdered {
			all = append(all, s)
		}
	}
	slices.Sort(all)
	return all
}

// Registered tells whether the process at s has a connection that stands.
func (r *Registry) Registered(s balancer.Server) bool {
	m := r.get(s)
	return m != nil && m.registered && m.lostAt == 0
}

// WarmingUp tells whether a server in service started less than coldFor ago.
func (r *Registry) WarmingUp(now float64, s balancer.Server, coldFor float64) bool {
	m := r.get(s)
	return m != nil && m.Started > 0 && now-m.Started < coldFor
}

// Len is the number of servers kept, gone ones among them.
func (r *Registry) Len() int { return len(r.members) }

// HasChanges tells whether there is something to keep and to tell.
func (r *Registry) HasChanges() bool { return len(r.changed) > 0 || r.whole }
