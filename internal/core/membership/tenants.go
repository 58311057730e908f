package membership

import (
	"fmt"
	"maps"
	"strconv"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

const scopeSeparator = "|" // between a tenant's incarnation and the address of its server

func (s *State) applyTenantChange(command Command) error {
	if command.Tenant == nil {
		return fmt.Errorf("%w: a tenant change without a tenant", ErrInvalidCommand)
	}
	if s.orderAlreadyApplied(command.ID) {
		// Its outcome was told when it was applied, unless that was in a part of the log that came as a snapshot.
		remembered, found := s.Directory.FindOutcome(command.Tenant.ID)
		s.tenantOutcome = remembered
		s.tenantOutcomeKnown = found && remembered.Fingerprint == command.Tenant.Fingerprint
		return nil
	}
	s.tenantOutcomeKnown = true
	s.OrderCount++
	before, _ := s.Directory.Get(command.Tenant.Name)
	s.tenantOutcome = s.Directory.Apply(*command.Tenant)
	if command.Tenant.Kind == tenancy.Remove && s.tenantOutcome.Err() == nil {
		s.forgetTenant(before.Incarnation)
	}
	return nil
}

// TenantOutcome returns the outcome of the tenant change that was applied last. known is false where that change was a
// repetition, and the outcome of the first time is not remembered: it was rejected, or has no idempotency key.
func (s *State) TenantOutcome() (outcome tenancy.Outcome, known bool) {
	return s.tenantOutcome, s.tenantOutcomeKnown
}

// ScopePrefix returns the prefix that the servers of one incarnation of a tenant have in the state, so that several tenants may list the
// same addresses.
func ScopePrefix(incarnation tenancy.Incarnation) string {
	return strconv.FormatUint(uint64(incarnation), 10) + scopeSeparator
}

// SplitScoped separates a scoped server into its tenant's incarnation and the server as the tenant names it. ok is false for a server
// without a scope, which belongs to a coordinator that hosts no tenants.
func SplitScoped(scoped balancer.Server) (incarnation tenancy.Incarnation, server balancer.Server, ok bool) {
	prefix, rest, found := strings.Cut(string(scoped), scopeSeparator)
	number, err := strconv.ParseUint(prefix, 10, 64)
	return tenancy.Incarnation(number), balancer.Server(rest), found && err == nil
}

// forgetTenant deletes the records and drains of a tenant that was removed.
func (s *State) forgetTenant(incarnation tenancy.Incarnation) {
	prefix := ScopePrefix(incarnation)
	maps.DeleteFunc(s.Records, func(server balancer.Server, _ registry.Record) bool { return strings.HasPrefix(string(server), prefix) })
	maps.DeleteFunc(s.Drains, func(server balancer.Server, _ float64) bool { return strings.HasPrefix(string(server), prefix) })
}
