// Package authz authenticates and authorizes the callers of a hosted service: the host's operators, and each tenant's staff and viewers.
//
// An Authenticator identifies a caller by its credential, which at present is a key. Authorize decides whether the caller may perform an
// action. The package is pure: it does no I/O, and times are passed in as arguments.
package authz

import (
	"errors"
	"fmt"

	"snowquay/internal/core/tenancy"
)

// Principal is an authenticated caller.
type Principal struct {
	Name   string
	Role   Role
	Tenant tenancy.Name // tenant that the caller belongs to; empty for a caller of the host
}

// Authenticator identifies callers by their credentials.
type Authenticator interface {
	// Identify returns the principal that a credential belongs to, and false if the credential is unknown.
	Identify(credential string) (Principal, bool)
}

// Action describes what a caller wants to do by the rights that it requires.
type Action struct {
	Role   Role         // lowest role that may perform the action
	Tenant tenancy.Name // tenant that the action concerns; empty for the host
}

// ErrWrongTenant reports that a tenant's caller requested an action outside of its own tenant. The error is the same whether or not a
// tenant of the requested name exists, so that callers cannot discover the names of other tenants.
var ErrWrongTenant = errors.New("no tenant of this caller")

// Authorize returns nil if a caller may perform an action, or an error that wraps ErrWrongTenant or ErrForbidden. Callers of the host may
// do what their role allows, for every tenant. Callers of a tenant may act only within it, with the rights of RoleStaff at most.
func Authorize(caller Principal, action Action) error {
	if caller.Tenant == "" {
		return RequireRole(caller.Role, action.Role)
	}
	if action.Tenant != caller.Tenant {
		return fmt.Errorf("%w: %q", ErrWrongTenant, action.Tenant)
	}
	return RequireRole(min(caller.Role, RoleStaff), action.Role)
}
