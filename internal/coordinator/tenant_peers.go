package coordinator

import (
	"snowquay/balancer"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

// tenantPeers implements Peers for a tenant's coordinator. In the group's state, the names of the tenant's servers have a prefix
// with the tenant's incarnation, so that several tenants may list the same addresses, and an incarnation inherits no state of an
// earlier one.
type tenantPeers struct {
	shared      *sharedTenants
	incarnation tenancy.Incarnation
	prefix      balancer.Server
}

func newTenantPeers(shared *sharedTenants, incarnation tenancy.Incarnation) *tenantPeers {
	prefix := balancer.Server(membership.ScopePrefix(incarnation))
	return &tenantPeers{shared: shared, incarnation: incarnation, prefix: prefix}
}

// Ready implements Peers.
func (p *tenantPeers) Ready() bool { return p.shared.member.Ready() }

// HoldsLease implements Peers.
func (p *tenantPeers) HoldsLease(now float64) bool { return p.shared.member.HoldsLease(now) }

// Owns implements Peers. UIDs contain the tenant's name, so that the proxies of each tenant are spread evenly over the hosts.
func (p *tenantPeers) Owns(now float64, uid string) bool { return p.shared.member.Owns(now, uid) }

// Epoch implements Peers.
func (p *tenantPeers) Epoch() uint64 { return p.shared.member.Epoch() }

// ProxyRedirected implements Peers.
func (p *tenantPeers) ProxyRedirected(now float64, uid string) {
	p.shared.member.ProxyRedirected(now, uid)
}

// Drain implements Peers.
func (p *tenantPeers) Drain(now float64, server balancer.Server, draining bool) (ticket uint64, ok bool) {
	ticket, ok = p.shared.member.Drain(now, p.prefix+server, draining)
	if ok {
		p.shared.drainOrders[membership.Ticket(ticket)] = p.incarnation
	}
	return ticket, ok
}

// Drains implements Peers.
func (p *tenantPeers) Drains() map[balancer.Server]float64 {
	return p.shared.drainsByTenant()[p.incarnation]
}

// ServerRecords implements Peers.
func (p *tenantPeers) ServerRecords() []registry.Record {
	var records []registry.Record
	for _, record := range p.shared.member.ServerRecords() {
		incarnation, server, ok := membership.SplitScoped(record.Server)
		if ok && incarnation == p.incarnation {
			record.Server = server
			records = append(records, record)
		}
	}
	return records
}

// StoreRecords implements Peers.
func (p *tenantPeers) StoreRecords(now float64, records []registry.Record) {
	scoped := make([]registry.Record, len(records))
	for i, record := range records {
		record.Server = p.prefix + record.Server
		scoped[i] = record
	}
	p.shared.member.StoreRecords(now, scoped)
}
