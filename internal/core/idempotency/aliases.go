package idempotency

import (
	"snowquay/internal/core/audit"
	"snowquay/internal/core/authz"
)

// Role is authz.Role, for callers that still name it here.
type Role = authz.Role

// Roles of package authz, for callers that still name them here.
const (
	RoleViewer = authz.RoleViewer
	RoleStaff  = authz.RoleStaff
	RoleHost   = authz.RoleHost
)

// AuditEntry is audit.Entry, for callers that still name it here.
type AuditEntry = audit.Entry
