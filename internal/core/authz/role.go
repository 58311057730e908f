package authz

import "errors"

// Role is what a caller may do at most.
type Role int

// Roles, from the least to the most rights.
const (
	RoleNone   Role = iota // nothing
	RoleViewer             // read
	RoleStaff              // change what belongs to its tenant
	RoleHost               // everything
)

// ErrForbidden says that the caller's role does not allow the action.
var ErrForbidden = errors.New("the caller may not do that")

// RequireRole returns ErrForbidden where a role is less than an action needs.
func RequireRole(role, needed Role) error {
	if role < needed {
		return ErrForbidden
	}
	return nil
}
