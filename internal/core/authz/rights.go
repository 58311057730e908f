// Package authz says who may do what in a hosted service: the host, each tenant's staff and viewers, and its relays. Whoever
// knows callers, by keys today, answers one question (Identify); what they may do is decided here. It is pure.
package authz

import (
	"crypto/sha256"
	"errors"
	"fmt"

	"snowquay/internal/core/idempotency"
	"snowquay/internal/core/tenancy"
)

// Principal calls.
type Principal struct {
	Name   string
	Role   idempotency.Role
	Tenant tenancy.Name // whose staff or viewer; empty: the host's
}

// Authenticator tells who has a credential.
type Authenticator interface {
	Identify(credential string) (Principal, bool)
}

// Action that somebody wants to do.
type Action struct {
	Role   idempotency.Role
	Tenant tenancy.Name // with what belongs to it; empty: with what is the host's
}

var (
	// ErrWrongTenant says that what a caller asks for is not its tenant's. Whoever has no business with a tenant is not told whether
	// there is one of that name.
	ErrWrongTenant = errors.New("no tenant of this caller")
	// ErrDuplicateKey says that two callers have one key.
	ErrDuplicateKey = errors.New("another caller has this key")
)

// Authorize tells whether somebody may do something. The host may do all that its role lets it; who belongs to a tenant may do nothing
// outside of it, and has no more than staff's rights there.
func Authorize(w Principal, a Action) error {
	if w.Tenant == "" {
		return idempotency.RequireRole(w.Role, a.Role)
	}
	if a.Tenant != w.Tenant {
		return fmt.Errorf("%w: %q", ErrWrongTenant, a.Tenant)
	}
	return idempotency.RequireRole(min(w.Role, idempotency.RoleStaff), a.Role)
}

type digest [sha256.Size]byte

// Credentials are callers by their keys. Only digests of keys are kept: looking one up takes the same time whatever part of it is right.
// The zero value has nobody.
type Credentials struct {
	byKey map[digest]Principal
	of    map[tenancy.Name][]digest
}

// Credential of a caller.
type Credential struct {
	Principal
	Secret string
}

// Set takes the callers of a tenant, or of the host, in place of those that it had; all of them or none.
func (k *Credentials) Set(of tenancy.Name, callers []Credential) error {
	seen := map[digest]bool{}
	for _, c := range callers {
		d := digest(sha256.Sum256([]byte(c.Secret)))
		w, taken := k.byKey[d]
		if seen[d] || taken && w.Tenant != of {
			return fmt.Errorf("%w: %q", ErrDuplicateKey, c.Name)
		}
		seen[d] = true
	}
	k.Remove(of)
	if k.byKey == nil {
		k.byKey, k.of = map[digest]Principal{}, map[tenancy.Name][]digest{}
	}
	for _, c := range callers {
		d := digest(sha256.Sum256([]byte(c.Secret)))
		c.Principal.Tenant = of
		k.byKey[d] = c.Principal
		k.of[of] = append(k.of[of], d)
	}
	return nil
}

// Remove forgets the callers of a tenant.
func (k *Credentials) Remove(of tenancy.Name) {
	for _, d := range k.of[of] {
		delete(k.byKey, d)
	}
	delete(k.of, of)
}

// Identify of Callers.
func (k *Credentials) Identify(credential string) (Principal, bool) {
	w, ok := k.byKey[sha256.Sum256([]byte(credential))]
	return w, ok
}
