package authz

import (
	"errors"
	"testing"

	"snowquay/internal/core/idempotency"
)

func TestWhoMayWhat(t *testing.T) {
	host, staff, viewer := Principal{"h", idempotency.RoleHost, ""}, Principal{"s", idempotency.RoleStaff, "a"}, Principal{"v", idempotency.RoleViewer, "a"}
	for _, c := range []struct {
		who  Principal
		act  Action
		want error
	}{
		{host, Action{idempotency.RoleHost, "a"}, nil}, {host, Action{idempotency.RoleHost, ""}, nil},
		{staff, Action{idempotency.RoleStaff, "a"}, nil}, {staff, Action{idempotency.RoleStaff, "b"}, ErrWrongTenant}, {staff, Action{idempotency.RoleViewer, ""}, ErrWrongTenant},
		{staff, Action{idempotency.RoleHost, "a"}, idempotency.ErrForbidden}, {viewer, Action{idempotency.RoleStaff, "a"}, idempotency.ErrForbidden}, {viewer, Action{idempotency.RoleViewer, "a"}, nil},
		{Principal{"x", idempotency.RoleHost, "a"}, Action{idempotency.RoleHost, "a"}, idempotency.ErrForbidden}, // whatever a tenant's settings say of a role
		{Principal{}, Action{idempotency.RoleViewer, ""}, idempotency.ErrForbidden},
	} {
		if err := Authorize(c.who, c.act); !errors.Is(err, c.want) || c.want == nil && err != nil {
			t.Errorf("%+v, %+v: %v", c.who, c.act, err)
		}
	}
}

func TestKeys(t *testing.T) {
	var k Credentials
	if _, ok := k.Identify(""); ok {
		t.Error("nobody's key is somebody's")
	}
	if err := k.Set("", []Credential{{Principal{Name: "host", Role: idempotency.RoleHost, Tenant: "forged"}, "key-host"}}); err != nil {
		t.Fatal(err)
	}
	if err := k.Set("a", []Credential{{Principal{Name: "ann"}, "key-ann"}}); err != nil {
		t.Fatal(err)
	}
	if w, ok := k.Identify("key-ann"); !ok || w.Tenant != "a" {
		t.Errorf("%+v", w)
	}
	if w, ok := k.Identify("key-host"); !ok || w.Tenant != "" {
		t.Errorf("%+v: what the key itself says of its tenant is believed", w)
	}
	// A key that is another's, or there twice, is refused, and nothing changes.
	if err := k.Set("b", []Credential{{Principal{Name: "bob"}, "key-bob"}, {Principal{Name: "eve"}, "key-ann"}}); !errors.Is(err, ErrDuplicateKey) {
		t.Error(err)
	}
	if _, ok := k.Identify("key-bob"); ok {
		t.Error("half of them are taken")
	}
	if err := k.Set("a", []Credential{{Principal{Name: "new"}, "key-new"}}); err != nil {
		t.Fatal(err)
	}
	if _, ok := k.Identify("key-ann"); ok {
		t.Error("a former key still opens")
	}
	if k.Remove("a"); len(k.byKey) != 1 {
		t.Error("keys of a tenant that is gone are kept")
	}
}

// A flood of unknown keys is slowed; callers who are known are not.
func TestGate(t *testing.T) {
	g := LookupLimiter{Rate: 10, Burst: 20}
	g.Observe("good", true)
	passed, slowed := 0, 0
	for i := range 1000 {
		now := 1000 + float64(i)/100
		if _, ok := g.Allow(now, "bad"+string(rune(i))); ok {
			passed++
		} else {
			slowed++
		}
		if _, ok := g.Allow(now, "good"); !ok {
			t.Fatal("a known caller is slowed")
		}
	}
	if passed < 110 || passed > 125 || slowed == 0 {
		t.Errorf("%d unknown keys passed in 10 s at 10 a second", passed)
	}
	g.Observe("good", false) // its key was taken back
	for ok := true; ok; _, ok = g.Allow(1010, "bad") {
	}
	after, ok := g.Allow(1010, "good")
	if ok || after <= 0 {
		t.Errorf("%v %v", after, ok)
	}
}
