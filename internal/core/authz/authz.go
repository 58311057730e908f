// Package authz decides what callers of a hosted service may do: the host's operators, and each tenant's staff and viewers.
//
// An Authenticator finds out who a caller is, by keys today; Authorize decides what a caller may do. The package is pure.
package authz

import (
	"errors"
	"fmt"

	"snowquay/internal/core/tenancy"
)

// Principal is a caller whose credential was accepted.
type Principal struct {
	Name   string
	Role   Role
	Tenant tenancy.Name // that the caller belongs to; empty: the host
}

// Authenticator finds out who has a credential.
type Authenticator interface {
	Identify(credential string) (Principal, bool)
}

// Action is what a caller wants to do.
type Action struct {
	Role   Role         // that it needs
	Tenant tenancy.Name // whose it is; empty: the host's
}

// ErrWrongTenant says that a caller asks for what is another tenant's. A caller that does not belong to a tenant is not told whether a
// tenant of that name exists.
var ErrWrongTenant = errors.New("no tenant of this caller")

// Authorize tells whether a caller may do something; the error wraps ErrWrongTenant or ErrForbidden. The host's callers may do what their
// role allows. A tenant's callers may do nothing outside of it, and never have more than RoleStaff there.
func Authorize(caller Principal, action Action) error {
	if caller.Tenant == "" {
		return RequireRole(caller.Role, action.Role)
	}
	if action.Tenant != caller.Tenant {
		return fmt.Errorf("%w: %q", ErrWrongTenant, action.Tenant)
	}
	return RequireRole(min(caller.Role, RoleStaff), action.Role)
}
