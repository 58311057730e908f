package authz

import (
	"errors"
	"testing"

	"snowquay/internal/core/idempotency"
)

func TestWhoMayWhat(t *testing.T) {
	host, staff, viewer := Who{"h", idempotency.Host, ""}, Who{"s", idempotency.Staff, "a"}, Who{"v", idempotency.Viewer, "a"}
	for _, c := range []struct {
		who  Who
		act  Act
		want error
	}{
		{host, Act{idempotency.Host, "a"}, nil}, {host, Act{idempotency.Host, ""}, nil},
		{staff, Act{idempotency.Staff, "a"}, nil}, {staff, Act{idempotency.Staff, "b"}, ErrElsewhere}, {staff, Act{idempotency.Viewer, ""}, ErrElsewhere},
		{staff, Act{idempotency.Host, "a"}, idempotency.ErrRole}, {viewer, Act{idempotency.Staff, "a"}, idempotency.ErrRole}, {viewer, Act{idempotency.Viewer, "a"}, nil},
		{Who{"x", idempotency.Host, "a"}, Act{idempotency.Host, "a"}, idempotency.ErrRole}, // whatever a tenant's settings say of a role
		{Who{}, Act{idempotency.Viewer, ""}, idempotency.ErrRole},
	} {
		if err := May(c.who, c.act); !errors.Is(err, c.want) || c.want == nil && err != nil {
			t.Errorf("%+v, %+v: %v", c.who, c.act, err)
		}
	}
}

func TestKeys(t *testing.T) {
	var k Keys
	if _, ok := k.Identify(""); ok {
		t.Error("nobody's key is somebody's")
	}
	if err := k.Set("", []Key{{Who{Name: "host", Role: idempotency.Host, Tenant: "forged"}, "key-host"}}); err != nil {
		t.Fatal(err)
	}
	if err := k.Set("a", []Key{{Who{Name: "ann"}, "key-ann"}}); err != nil {
		t.Fatal(err)
	}
	if w, ok := k.Identify("key-ann"); !ok || w.Tenant != "a" {
		t.Errorf("%+v", w)
	}
	if w, ok := k.Identify("key-host"); !ok || w.Tenant != "" {
		t.Errorf("%+v: what the key itself says of its tenant is believed", w)
	}
	// A key that is another's, or there twice, is refused, and nothing changes.
	if err := k.Set("b", []Key{{Who{Name: "bob"}, "key-bob"}, {Who{Name: "eve"}, "key-ann"}}); !errors.Is(err, ErrTaken) {
		t.Error(err)
	}
	if _, ok := k.Identify("key-bob"); ok {
		t.Error("half of them are taken")
	}
	if err := k.Set("a", []Key{{Who{Name: "new"}, "key-new"}}); err != nil {
		t.Fatal(err)
	}
	if _, ok := k.Identify("key-ann"); ok {
		t.Error("a former key still opens")
	}
	if k.Drop("a"); len(k.byKey) != 1 {
		t.Error("keys of a tenant that is gone are kept")
	}
}

// A flood of unknown keys is slowed; callers who are known are not.
func TestGate(t *testing.T) {
	g := Gate{Rate: 10, Burst: 20}
	g.Found("good", true)
	passed, slowed := 0, 0
	for i := range 1000 {
		now := 1000 + float64(i)/100
		if _, ok := g.Pass(now, "bad"+string(rune(i))); ok {
			passed++
		} else {
			slowed++
		}
		if _, ok := g.Pass(now, "good"); !ok {
			t.Fatal("a known caller is slowed")
		}
	}
	if passed < 110 || passed > 125 || slowed == 0 {
		t.Errorf("%d unknown keys passed in 10 s at 10 a second", passed)
	}
	g.Found("good", false) // its key was taken back
	for ok := true; ok; _, ok = g.Pass(1010, "bad") {
	}
	after, ok := g.Pass(1010, "good")
	if ok || after <= 0 {
		t.Errorf("%v %v", after, ok)
	}
}
