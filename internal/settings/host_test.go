package settings

import (
	"errors"
	"os"
	"strings"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/tenancy"
)

// readDoc returns the text of a file in the docs folder.
func readDoc(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile("../../docs/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestParseHostAndTenant(t *testing.T) {
	host, err := ParseHost("host.xml", []byte(readDoc(t, "example-host.xml")))
	if err != nil {
		t.Fatal(err)
	}
	if host.Capacity.Memory != 4096<<20 || host.Capacity.MaxTenants != 5000 || len(host.Callers) != 1 || !strings.Contains(host.String(), "5000 tenants") {
		t.Errorf("unexpected host settings %+v", host)
	}
	text := readDoc(t, "example-tenant.xml")
	tenant, err := ParseTenant("first", []byte(text), host)
	if err != nil {
		t.Fatal(err)
	}
	s := &tenant.Config.Site
	if s.Proxies[0].UID != "first/relay-1" || tenant.Config.Policy.FleetUID != "first/fleet" || s.UIDPrefix != "first/" || len(tenant.Networks) != 1 ||
		s.ServerCapacities["127.0.1.1:8080"].Capacity != 50 || tenant.Requirements.CheckWithin(host.Capacity.Requirements) != nil || !tenant.Requirements.Valid() || s.Limits.MaxSeries > 1000 {
		t.Errorf("unexpected tenant settings %+v", tenant)
	}
	for _, c := range []struct{ from, to, problem string }{
		{`role="staff"`, `role="host"`, "callers with the role host"},
		{`127.0.0.0/16`, `127.0.0.1/16`, "bits set beyond"},
		{`key="change-this-key-of-the-staff"`, `key="short"`, "must be at least 16"},
		{`register="members"`, `register="listed"`, ""},
		{`<class name="search"`, `<class zones="west" name="search"`, `no zone is named "west"`},
		{`relay uid="relay-1"`, `relay uid="` + strings.Repeat("r", 252) + `"`, "longer than 255 bytes"},
		{`<tenant `, `<tenant limits="none" `, "unknown attribute"},
	} {
		_, err := ParseTenant("first", []byte(strings.Replace(text, c.from, c.to, 1)), host)
		if c.problem == "" {
			if err != nil {
				t.Errorf("%s: unexpected error %v", c.to, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), c.problem) || !strings.Contains(err.Error(), "first:") {
			t.Errorf("%s: %v, want %q", c.to, err, c.problem)
		}
	}
	// No listed server is in a zone where the class is allowed, and unlisted servers cannot register.
	unserved := strings.NewReplacer(`register="members"`, `register="listed"`, `<zone name="south"/>`, `<zone name="south"/><zone name="east"/>`,
		`<class name="search"`, `<class zones="east" name="search"`).Replace(text)
	if _, err := ParseTenant("first", []byte(unserved), host); err == nil || !strings.Contains(err.Error(), "no server is listed") {
		t.Error(err)
	}
	// With admission settings, proxies can only use the long-poll API, and SASP is restricted to servers.
	tenant, err = ParseTenant("first", []byte(strings.Replace(text, `<fleet relays`, `<fleet levels="fraction" relays`, 1)), host)
	if err != nil || !tenant.Config.Policy.MembersOnly || tenant.Config.Site.DataPlane.Admission != balancer.AdmissionFraction {
		t.Error(err, tenant.Config.Policy)
	}
}

func TestMergeKeysRestoresMaskedKeys(t *testing.T) {
	text := readDoc(t, "example-tenant.xml")
	masked, err := MaskKeys([]byte(text))
	if err != nil || strings.Contains(string(masked), "change-this") {
		t.Fatalf("error is %v, settings are %s", err, masked)
	}
	merged, err := MergeKeys(masked, []byte(text))
	if err != nil || !strings.Contains(string(merged), `key="change-this-key-of-the-staff"`) || !strings.Contains(string(merged), `key="change-this-key-of-measurements"`) {
		t.Fatalf("error is %v, settings are %s", err, merged)
	}
	// A masked key is rejected if there is no previous key. Otherwise the mask itself would become the key.
	if _, err := MergeKeys([]byte(strings.Replace(string(masked), `name="ann"`, `name="eve"`, 1)), []byte(text)); err == nil {
		t.Error("a masked key of a new caller is accepted")
	}
	if _, err := MergeKeys(masked, nil); err == nil {
		t.Error("masked keys of a new tenant are accepted")
	}
}

func TestServerEdit(t *testing.T) {
	host, err := ParseHost("host.xml", []byte(readDoc(t, "example-host.xml")))
	if err != nil {
		t.Fatal(err)
	}
	text := []byte(readDoc(t, "example-tenant.xml"))
	domain := 1
	next, err := ServerEdit{Server: "127.0.1.9:8080", Zone: "south", FailureDomain: &domain, Weight: 2.5, Capacity: 10}.Apply(text)
	if err != nil {
		t.Fatal(err)
	}
	tenant, err := ParseTenant(tenancy.Name("first"), next, host)
	if err != nil || len(tenant.Config.Site.Servers) != 4 || tenant.Config.Site.Servers[3].Weight != 2.5 || tenant.Config.Site.Servers[3].FailureDomain != 1 {
		t.Errorf("after the addition: error is %v, servers are %+v", err, tenant.Config.Site.Servers)
	}
	if next, err = (ServerEdit{Server: "127.0.1.9:8080", Remove: true}).Apply(next); err != nil {
		t.Fatal(err)
	}
	if tenant, err = ParseTenant("first", next, host); err != nil || len(tenant.Config.Site.Servers) != 3 {
		t.Errorf("after the removal: error is %v, servers are %+v", err, tenant.Config.Site.Servers)
	}
	for _, e := range []ServerEdit{{Server: "x"}, {Server: "127.0.1.9:8080"}, {Server: "127.0.1.9:8080", Remove: true}} {
		if _, err := e.Apply(text); !errors.Is(err, ErrInvalidEdit) {
			t.Errorf("%+v: error is %v, want ErrInvalidEdit", e, err)
		}
	}
}
