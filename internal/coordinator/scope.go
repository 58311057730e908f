package coordinator

import (
	"maps"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/consensus"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

// scope is a tenant's part of what hosts that share their tenants agree on: its servers under names of their own, so that tenants may
// list the same addresses, and an incarnation nothing of a former one. It is the Peers of the tenant's coordinator.
type scope struct {
	h      *Host
	life   tenancy.Incarnation
	prefix string
	empty  map[balancer.Server]float64
}

func (h *Host) scope(x *TenantRuntime) *scope {
	return &scope{h: h, life: x.Incarnation, prefix: membership.ScopePrefix(x.Incarnation)}
}

// Ready of Peers.
func (s *scope) Ready() bool { return s.h.member.Ready() }

// HoldsLease of Peers.
func (s *scope) HoldsLease(now float64) bool { return s.h.member.HoldsLease(now) }

// Owns of Peers. UIDs have the tenant's name in them, so each proxy of each tenant is led by one of the living, evenly.
func (s *scope) Owns(now float64, uid string) bool { return s.h.member.Owns(now, uid) }

// Epoch of Peers.
func (s *scope) Epoch() uint64 { return s.h.member.Epoch() }

// ProxyRedirected of Peers.
func (s *scope) ProxyRedirected(now float64, uid string) { s.h.member.ProxyRedirected(now, uid) }

// Drain of Peers.
func (s *scope) Drain(now float64, v balancer.Server, on bool) (ticket uint64, ok bool) {
	if ticket, ok = s.h.member.Drain(now, balancer.Server(s.prefix)+v, on); ok {
		s.h.drains[membership.Ticket(ticket)] = s.life
	}
	return ticket, ok
}

// Drains of Peers.
func (s *scope) Drains() map[balancer.Server]float64 {
	if at := s.h.drained()[s.life]; at != nil {
		return at
	}
	return s.empty
}

// ServerRecords of Peers.
func (s *scope) ServerRecords() (records []registry.Record) {
	for _, r := range s.h.member.ServerRecords() {
		if life, own, ok := membership.SplitScoped(r.Server); ok && life == s.life {
			r.Server = own
			records = append(records, r)
		}
	}
	return records
}

// StoreRecords of Peers.
func (s *scope) StoreRecords(now float64, records []registry.Record) {
	all := make([]registry.Record, len(records))
	for i, r := range records {
		r.Server = balancer.Server(s.prefix) + r.Server
		all[i] = r
	}
	s.h.member.StoreRecords(now, all)
}

// drained is what was agreed on of drains, by tenant; worked out anew when it has changed.
func (h *Host) drained() map[tenancy.Incarnation]map[balancer.Server]float64 {
	state := h.member.Group.State
	if h.byLife != nil && h.drainsOf == state.OrderCount {
		return h.byLife
	}
	h.byLife, h.drainsOf = map[tenancy.Incarnation]map[balancer.Server]float64{}, state.OrderCount
	for s, told := range state.Drains {
		life, own, ok := membership.SplitScoped(s)
		if !ok {
			continue
		}
		if h.byLife[life] == nil {
			h.byLife[life] = map[balancer.Server]float64{}
		}
		h.byLife[life][own] = told
	}
	return h.byLife
}

// shared makes the host a member of a group of hosts.
func (h *Host) shared(g GroupConfig, disk consensus.Storage) {
	g.Capacity = h.setup.Capacity
	m := NewMember(g, disk, h.setup.Incarnation, func(event string, pairs ...any) { h.say("", event, pairs...) })
	m.OnFail = h.setup.OnFail
	m.OnDrain, m.OnOrdersCompleted, m.OnRecords, m.OnTenant = h.onDrain, h.onSettled, h.onLearnt, h.onTenant
	h.member, h.drains, h.orders = m, map[membership.Ticket]tenancy.Incarnation{}, map[membership.Ticket]*waiting{}
	h.lives = map[tenancy.Incarnation]*TenantRuntime{}
}

// waiting is a change of a tenant that was told here and is not answered yet.
type waiting struct {
	outcome tenancy.Outcome
	done    func(tenancy.Outcome, error)
}

// onDrain takes a drain that was agreed on.
func (h *Host) onDrain(now float64, c membership.Command) {
	h.byLife = nil
	life, own, ok := membership.SplitScoped(c.Server)
	if x := h.lives[life]; ok && x != nil && x.Program != nil {
		c.Server = own
		x.Program.drained(now, c)
		h.Scheduler.MarkDue(now, x.Name, true)
	}
}

// onLearnt takes what another host has heard of servers' starts.
func (h *Host) onLearnt(now float64, records []registry.Record) {
	for _, r := range records {
		life, own, ok := membership.SplitScoped(r.Server)
		if x := h.lives[life]; ok && x != nil && x.Program != nil {
			r.Server = own
			x.Program.learnt(now, []registry.Record{r})
		}
	}
}

// onSettled answers those who told of drains and of changes.
func (h *Host) onSettled(now float64, kept, refused []membership.Ticket) {
	h.settle(now, kept, true)
	h.settle(now, refused, false)
}

func (h *Host) settle(now float64, tickets []membership.Ticket, ok bool) {
	for _, t := range tickets {
		if w := h.orders[t]; w != nil {
			delete(h.orders, t)
			if ok {
				w.done(w.outcome, nil)
			} else {
				w.done(tenancy.Outcome{}, ErrNotAgreed)
			}
			continue
		}
		life, known := h.drains[t]
		delete(h.drains, t)
		if x := h.lives[life]; known && x != nil && x.Program != nil {
			x.Program.settle(now, uint64(t), ok)
		}
	}
}

// onTenant takes a change of the directory that was agreed on.
func (h *Host) onTenant(now float64, n tenancy.Name, told membership.Ticket, o tenancy.Outcome) {
	if w := h.orders[told]; w != nil {
		w.outcome = o
	}
	if h.io == nil || h.member.Group == nil {
		return // the log is played at the start; all is taken from what comes of it
	}
	if n != "" {
		h.follow(now, n)
		return
	}
	h.byLife = nil
	h.compare(now)
}

// compare brings what runs to what the directory says.
func (h *Host) compare(now float64) {
	names := map[tenancy.Name]bool{}
	for _, t := range h.Directory.All() {
		names[t.Name] = true
		if x := h.tenants[t.Name]; x == nil || x.Incarnation != t.Incarnation || x.Version != t.Version {
			h.follow(now, t.Name)
		}
	}
	for _, x := range slices.Sorted(maps.Keys(h.tenants)) {
		if !names[x] {
			h.follow(now, x)
		}
	}
}
