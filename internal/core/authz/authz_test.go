package authz

import (
	"errors"
	"testing"
)

func TestAuthorize(t *testing.T) {
	host := Principal{Name: "h", Role: RoleHost}
	staff := Principal{Name: "s", Role: RoleStaff, Tenant: "a"}
	viewer := Principal{Name: "v", Role: RoleViewer, Tenant: "a"}
	tooMuch := Principal{Name: "x", Role: RoleHost, Tenant: "a"} // a tenant's settings may claim RoleHost for a caller
	for _, c := range []struct {
		caller Principal
		action Action
		want   error
	}{
		{host, Action{RoleHost, "a"}, nil},
		{host, Action{RoleHost, ""}, nil},
		{staff, Action{RoleStaff, "a"}, nil},
		{staff, Action{RoleStaff, "b"}, ErrWrongTenant},
		{staff, Action{RoleViewer, ""}, ErrWrongTenant},
		{staff, Action{RoleHost, "a"}, ErrForbidden},
		{viewer, Action{RoleStaff, "a"}, ErrForbidden},
		{viewer, Action{RoleViewer, "a"}, nil},
		{tooMuch, Action{RoleHost, "a"}, ErrForbidden},
		{Principal{}, Action{RoleViewer, ""}, ErrForbidden},
	} {
		if err := Authorize(c.caller, c.action); !errors.Is(err, c.want) || c.want == nil && err != nil {
			t.Errorf("Authorize(%+v, %+v) = %v", c.caller, c.action, err)
		}
	}
}

func TestRequireRole(t *testing.T) {
	if err := RequireRole(RoleViewer, RoleStaff); !errors.Is(err, ErrForbidden) {
		t.Errorf("a viewer passes for staff: %v", err)
	}
	if err := RequireRole(RoleHost, RoleStaff); err != nil {
		t.Errorf("the host lacks the rights of staff: %v", err)
	}
}
