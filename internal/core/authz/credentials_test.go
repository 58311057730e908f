package authz

import (
	"errors"
	"testing"

	"snowquay/internal/core/tenancy"
)

func TestCredentials(t *testing.T) {
	var c Credentials
	set := func(tenant tenancy.Name, principal Principal, secret string) {
		t.Helper()
		if err := c.Set(tenant, []Credential{{Principal: principal, Secret: secret}}); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := c.Identify(""); ok {
		t.Error("an empty key is accepted")
	}
	set("", Principal{Name: "host", Role: RoleHost, Tenant: "forged"}, "key-host")
	set("a", Principal{Name: "ann"}, "key-ann")
	if principal, ok := c.Identify("key-ann"); !ok || principal.Tenant != "a" {
		t.Errorf("ann's key belongs to %+v", principal)
	}
	if principal, ok := c.Identify("key-host"); !ok || principal.Tenant != "" {
		t.Errorf("%+v: the tenant that the credential itself names was not ignored", principal)
	}
	// A key that belongs to another tenant's caller is rejected, and the call changes nothing.
	err := c.Set("b", []Credential{{Principal{Name: "bob"}, "key-bob"}, {Principal{Name: "eve"}, "key-ann"}})
	if !errors.Is(err, ErrDuplicateKey) {
		t.Error(err)
	}
	if _, ok := c.Identify("key-bob"); ok {
		t.Error("a key of the rejected call is accepted")
	}
	set("a", Principal{Name: "new"}, "key-new")
	if _, ok := c.Identify("key-ann"); ok {
		t.Error("a replaced key is still accepted")
	}
	if c.Remove("a"); len(c.principals) != 1 {
		t.Error("keys of a removed tenant are kept")
	}
}
