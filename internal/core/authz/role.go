package authz

import "errors"

// Role is the set of rights of a caller. A higher role includes the rights of all lower ones.
type Role int

// Roles, from the least to the most rights.
const (
	RoleNone   Role = iota // may do nothing
	RoleViewer             // may read
	RoleStaff              // may also change what belongs to its tenant
	RoleHost               // may do everything
)

// ErrForbidden reports that the caller's role does not allow the action.
var ErrForbidden = errors.New("the caller's role does not allow this action")

// RequireRole returns ErrForbidden if a role is lower than the one that an action requires.
func RequireRole(role, needed Role) error {
	if role < needed {
		return ErrForbidden
	}
	return nil
}
