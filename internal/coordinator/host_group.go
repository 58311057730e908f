package coordinator

import (
	"snowquay/balancer"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

// serverDrains maps the draining servers of one tenant to the clock times in seconds at which their drains were ordered.
type serverDrains map[balancer.Server]float64

// sharedTenants connects a Host to the group of hosts that share its tenants.
type sharedTenants struct {
	host          *Host
	member        *Member
	byIncarnation map[tenancy.Incarnation]*TenantRuntime
	proposals     map[membership.Ticket]*proposal
	drainOrders   map[membership.Ticket]tenancy.Incarnation // drains that were ordered at this host and are not completed

	drains           map[tenancy.Incarnation]serverDrains // committed drains; nil if they must be computed again
	drainsOrderCount uint64                               // order count of the state that drains was computed from
}

// proposal is a change of a tenant that was proposed by this host and is not completed yet.
type proposal struct {
	outcome tenancy.Outcome
	done    func(tenancy.Outcome, error)
}

// joinGroup makes the host a member of a group of hosts.
func (h *Host) joinGroup(group GroupConfig) {
	group.Capacity = h.config.Capacity
	member := NewMember(group, h.config.Storage, h.config.Incarnation, func(event string, attributes ...any) {
		h.log("", event, attributes...)
	})
	h.links.member = member
	h.shared = &sharedTenants{
		host:          h,
		member:        member,
		byIncarnation: map[tenancy.Incarnation]*TenantRuntime{},
		proposals:     map[membership.Ticket]*proposal{},
		drainOrders:   map[membership.Ticket]tenancy.Incarnation{},
	}
	member.OnFail = h.config.OnFail
	member.OnDrain = h.shared.drainCommitted
	member.OnOrderCompleted = h.shared.orderCompleted
	member.OnRecords = h.shared.recordsCommitted
	member.OnTenant = h.shared.tenantCommitted
}

// running returns the tenant with the given incarnation; nil if it is not running on this host.
func (s *sharedTenants) running(incarnation tenancy.Incarnation) *TenantRuntime {
	tenant := s.byIncarnation[incarnation]
	if tenant == nil || tenant.Coordinator == nil {
		return nil
	}
	return tenant
}

// ownerOf returns the running tenant of a server with a scoped name, and the server's name without the scope.
func (s *sharedTenants) ownerOf(scoped balancer.Server) (*TenantRuntime, balancer.Server) {
	incarnation, server, ok := membership.SplitScoped(scoped)
	if !ok {
		return nil, ""
	}
	return s.running(incarnation), server
}

// drainCommitted passes a committed drain to its tenant.
func (s *sharedTenants) drainCommitted(now float64, command membership.Command) {
	s.invalidateDrains()
	tenant, server := s.ownerOf(command.Server)
	if tenant == nil {
		return
	}
	command.Server = server
	s.host.call(now, tenant, func() { tenant.Coordinator.drainCommitted(now, command) })
	s.host.Scheduler.MarkDue(now, tenant.Name, true)
}

// recordsCommitted passes committed records to their tenants.
func (s *sharedTenants) recordsCommitted(now float64, records []registry.Record) {
	for _, record := range records {
		tenant, server := s.ownerOf(record.Server)
		if tenant == nil {
			continue
		}
		record.Server = server
		s.host.call(now, tenant, func() { tenant.Coordinator.recordsCommitted(now, []registry.Record{record}) })
	}
}

// tenantCommitted applies a committed change of the directory.
func (s *sharedTenants) tenantCommitted(now float64, name tenancy.Name, ticket membership.Ticket, outcome tenancy.Outcome) {
	pending := s.proposals[ticket]
	if pending != nil {
		pending.outcome = outcome
	}
	s.host.directoryCommitted(now, name)
}

// propose proposes a change of a tenant to the group of hosts.
func (s *sharedTenants) propose(now float64, command tenancy.Command, done func(tenancy.Outcome, error)) {
	if !s.member.Ready() {
		done(tenancy.Outcome{}, ErrNotCommitted)
		return
	}
	ticket, ok := s.member.Group.SubmitOrder(now, membership.Command{Kind: membership.ChangeTenant, Tenant: &command})
	if !ok {
		done(tenancy.Outcome{}, ErrNotCommitted)
		return
	}
	s.proposals[ticket] = &proposal{done: done}
}

// orderCompleted reports to the initiator of a drain or a change at this host whether it was accepted.
func (s *sharedTenants) orderCompleted(now float64, ticket membership.Ticket, accepted bool) {
	pending := s.proposals[ticket]
	if pending != nil {
		delete(s.proposals, ticket)
		pending.complete(accepted)
		return
	}
	incarnation, known := s.drainOrders[ticket]
	delete(s.drainOrders, ticket)
	if !known {
		return
	}
	tenant := s.running(incarnation)
	if tenant != nil {
		s.host.call(now, tenant, func() { tenant.Coordinator.orderCompleted(now, ticket, accepted) })
	}
}

func (p *proposal) complete(accepted bool) {
	if !accepted {
		p.done(tenancy.Outcome{}, ErrNotCommitted)
		return
	}
	p.done(p.outcome, nil)
}

func (s *sharedTenants) invalidateDrains() { s.drains = nil }

// drainsByTenant returns the committed drains of each tenant. They are cached until the state changes.
func (s *sharedTenants) drainsByTenant() map[tenancy.Incarnation]serverDrains {
	state := s.member.Group.State
	if s.drains != nil && s.drainsOrderCount == state.OrderCount {
		return s.drains
	}
	s.drains = map[tenancy.Incarnation]serverDrains{}
	s.drainsOrderCount = state.OrderCount
	for scoped, orderedAt := range state.Drains {
		incarnation, server, ok := membership.SplitScoped(scoped)
		if !ok {
			continue
		}
		if s.drains[incarnation] == nil {
			s.drains[incarnation] = serverDrains{}
		}
		s.drains[incarnation][server] = orderedAt
	}
	return s.drains
}
