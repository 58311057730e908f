package authz

import (
	"crypto/sha256"
	"errors"
	"fmt"

	"snowquay/internal/core/tenancy"
)

// ErrDuplicateKey reports that two callers have the same key.
var ErrDuplicateKey = errors.New("another caller has this key")

// digest is the SHA-256 digest of a secret.
type digest [sha256.Size]byte

func digestOf(secret string) digest { return sha256.Sum256([]byte(secret)) }

// Credential is a caller and the secret key that authenticates it.
type Credential struct {
	Principal
	Secret string
}

// Credentials is an Authenticator that identifies callers by their keys. It stores only digests of the keys, so the duration of a lookup
// does not reveal how much of a guessed key is correct. The zero value has no callers and accepts no key. It is not safe for concurrent
// use.
type Credentials struct {
	principals map[digest]Principal
	byTenant   map[tenancy.Name][]digest
}

// Set replaces the callers of a tenant, or of the host if the tenant is empty. The callers' own Tenant fields are ignored. If a key
// occurs twice or belongs to a caller of another tenant, Set changes nothing and returns an error that wraps ErrDuplicateKey.
func (c *Credentials) Set(tenant tenancy.Name, callers []Credential) error {
	digests := make([]digest, 0, len(callers))
	seen := map[digest]bool{}
	for _, caller := range callers {
		key := digestOf(caller.Secret)
		holder, taken := c.principals[key]
		if seen[key] || taken && holder.Tenant != tenant {
			return fmt.Errorf("%w: %q", ErrDuplicateKey, caller.Name)
		}
		seen[key] = true
		digests = append(digests, key)
	}
	c.Remove(tenant)
	if c.principals == nil {
		c.principals = map[digest]Principal{}
		c.byTenant = map[tenancy.Name][]digest{}
	}
	for i, caller := range callers {
		principal := caller.Principal
		principal.Tenant = tenant
		c.principals[digests[i]] = principal
	}
	if len(digests) > 0 {
		c.byTenant[tenant] = digests
	}
	return nil
}

// Remove removes the callers of a tenant, or of the host if the tenant is empty.
func (c *Credentials) Remove(tenant tenancy.Name) {
	for _, key := range c.byTenant[tenant] {
		delete(c.principals, key)
	}
	delete(c.byTenant, tenant)
}

// Identify implements Authenticator.
func (c *Credentials) Identify(credential string) (Principal, bool) {
	principal, ok := c.principals[digestOf(credential)]
	return principal, ok
}
