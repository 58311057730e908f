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

const scopeSeparator = "|" // separates a tenant's incarnation from the address of its server

func (s *State) applyTenantChange(command Command) error {
	if command.Tenant == nil {
		return fmt.Errorf("%w: ChangeTenant without a tenant command", ErrInvalidCommand)
	}
	if s.orderAlreadyApplied(command.ID) {
		// Its outcome was reported when it was applied, unless this coordinator received that part of the log as a snapshot.
		stored, found := s.Directory.FindOutcome(command.Tenant.ID)
		s.tenantOutcome = stored
		s.tenantOutcomeKnown = found && stored.Fingerprint == command.Tenant.Fingerprint
		return nil
	}
	s.tenantOutcomeKnown = true
	s.OrderCount++
	before, _ := s.Directory.Get(command.Tenant.Name)
	s.tenantOutcome = s.Directory.Apply(*command.Tenant)
	if command.Tenant.Kind == tenancy.Remove && s.tenantOutcome.Err() == nil {
		s.deleteTenantState(before.Incarnation)
	}
	return nil
}

// TenantOutcome returns the outcome of the tenant change that was applied last. known is false if that change was a repetition and its
// original outcome is not stored, because it was rejected or has no idempotency key.
func (s *State) TenantOutcome() (outcome tenancy.Outcome, known bool) {
	return s.tenantOutcome, s.tenantOutcomeKnown
}

// ScopePrefix returns the prefix of the servers of one tenant incarnation in the state. It allows several tenants to list the same
// addresses.
func ScopePrefix(incarnation tenancy.Incarnation) string {
	return strconv.FormatUint(uint64(incarnation), 10) + scopeSeparator
}

// SplitScoped splits a scoped server into its tenant's incarnation and the tenant's own name of the server. ok is false for a server
// without a scope, which belongs to a coordinator that hosts no tenants.
func SplitScoped(scoped balancer.Server) (incarnation tenancy.Incarnation, server balancer.Server, ok bool) {
	prefix, rest, found := strings.Cut(string(scoped), scopeSeparator)
	number, err := strconv.ParseUint(prefix, 10, 64)
	return tenancy.Incarnation(number), balancer.Server(rest), found && err == nil
}

// deleteTenantState deletes the records and drains of a removed tenant.
func (s *State) deleteTenantState(incarnation tenancy.Incarnation) {
	prefix := ScopePrefix(incarnation)
	maps.DeleteFunc(s.Records, func(server balancer.Server, _ registry.Record) bool { return strings.HasPrefix(string(server), prefix) })
	maps.DeleteFunc(s.Drains, func(server balancer.Server, _ float64) bool { return strings.HasPrefix(string(server), prefix) })
}
