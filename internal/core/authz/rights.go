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

// Who calls.
type Who struct {
	Name   string
	Role   idempotency.Role
	Tenant tenancy.Name // whose staff or viewer; empty: the host's
}

// Callers tells who has a credential.
type Callers interface {
	Identify(credential string) (Who, bool)
}

// Act that somebody wants to do.
type Act struct {
	Needs  idempotency.Role
	Tenant tenancy.Name // with what belongs to it; empty: with what is the host's
}

var (
	// ErrElsewhere says that what a caller asks for is not its tenant's. Whoever has no business with a tenant is not told whether
	// there is one of that name.
	ErrElsewhere = errors.New("no tenant of this caller")
	// ErrTaken says that two callers have one key.
	ErrTaken = errors.New("another caller has this key")
)

// May tells whether somebody may do something. The host may do all that its role lets it; who belongs to a tenant may do nothing
// outside of it, and has no more than staff's rights there.
func May(w Who, a Act) error {
	if w.Tenant == "" {
		return idempotency.May(w.Role, a.Needs)
	}
	if a.Tenant != w.Tenant {
		return fmt.Errorf("%w: %q", ErrElsewhere, a.Tenant)
	}
	return idempotency.May(min(w.Role, idempotency.Staff), a.Needs)
}

type digest [sha256.Size]byte

// Keys are callers by their keys. Only digests of keys are kept: looking one up takes the same time whatever part of it is right.
// The zero value has nobody.
type Keys struct {
	byKey map[digest]Who
	of    map[tenancy.Name][]digest
}

// Key of a caller.
type Key struct {
	Who
	Secret string
}

// Set takes the callers of a tenant, or of the host, in place of those that it had; all of them or none.
func (k *Keys) Set(of tenancy.Name, callers []Key) error {
	seen := map[digest]bool{}
	for _, c := range callers {
		d := digest(sha256.Sum256([]byte(c.Secret)))
		w, taken := k.byKey[d]
		if seen[d] || taken && w.Tenant != of {
			return fmt.Errorf("%w: %q", ErrTaken, c.Name)
		}
		seen[d] = true
	}
	k.Drop(of)
	if k.byKey == nil {
		k.byKey, k.of = map[digest]Who{}, map[tenancy.Name][]digest{}
	}
	for _, c := range callers {
		d := digest(sha256.Sum256([]byte(c.Secret)))
		c.Who.Tenant = of
		k.byKey[d] = c.Who
		k.of[of] = append(k.of[of], d)
	}
	return nil
}

// Drop forgets the callers of a tenant.
func (k *Keys) Drop(of tenancy.Name) {
	for _, d := range k.of[of] {
		delete(k.byKey, d)
	}
	delete(k.of, of)
}

// Identify of Callers.
func (k *Keys) Identify(credential string) (Who, bool) {
	w, ok := k.byKey[sha256.Sum256([]byte(credential))]
	return w, ok
}
