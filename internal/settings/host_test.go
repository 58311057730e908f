package settings

import (
	"errors"
	"os"
	"strings"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/tenancy"
)

func readDoc(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile("../../docs/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestParseHostAndTenant(t *testing.T) {
	h, err := ParseHost("host.xml", []byte(readDoc(t, "example-host.xml")))
	if err != nil {
		t.Fatal(err)
	}
	if h.Capacity.Memory != 4096<<20 || h.Capacity.MaxTenants != 5000 || len(h.Callers) != 1 || !strings.Contains(h.String(), "5000 tenants") {
		t.Errorf("%+v", h)
	}
	text := readDoc(t, "example-tenant.xml")
	m, err := ParseTenant("first", []byte(text), h)
	if err != nil {
		t.Fatal(err)
	}
	s := &m.Config.Site
	if s.Proxies[0].UID != "first/relay-1" || m.Config.Policy.FleetUID != "first/fleet" || s.UIDPrefix != "first/" || len(m.Networks) != 1 ||
		s.ServerCapacities["127.0.1.1:8080"].Capacity != 50 || m.Requirements.CheckWithin(h.Capacity.Requirements) != nil || !m.Requirements.Valid() || s.Limits.MaxSeries > 1000 {
		t.Errorf("%+v", m)
	}
	for _, c := range []struct{ from, to, problem string }{
		{`role="staff"`, `role="host"`, "the host's callers"},
		{`127.0.0.0/16`, `127.0.0.1/16`, "bits behind"},
		{`key="change-this-key-of-the-staff"`, `key="short"`, "16 at least"},
		{`register="members"`, `register="listed"`, ""},
		{`<class name="search"`, `<class zones="west" name="search"`, `no zone is named "west"`},
		{`relay uid="relay-1"`, `relay uid="` + strings.Repeat("r", 252) + `"`, "over 255 bytes"},
		{`<tenant `, `<tenant limits="none" `, "unknown attribute"},
	} {
		_, err := ParseTenant("first", []byte(strings.Replace(text, c.from, c.to, 1)), h)
		if c.problem == "" {
			if err != nil {
				t.Errorf("%s: %v", c.to, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), c.problem) || !strings.Contains(err.Error(), "first:") {
			t.Errorf("%s: %v, want %q", c.to, err, c.problem)
		}
	}
	// No listed server may serve a class, and no others can register.
	unserved := strings.NewReplacer(`register="members"`, `register="listed"`, `<zone name="south"/>`, `<zone name="south"/><zone name="east"/>`,
		`<class name="search"`, `<class zones="east" name="search"`).Replace(text)
	if _, err := ParseTenant("first", []byte(unserved), h); err == nil || !strings.Contains(err.Error(), "no server is listed") {
		t.Error(err)
	}
	// With admission, proxies use the long-poll API only, and SASP is left to the servers.
	m, err = ParseTenant("first", []byte(strings.Replace(text, `<fleet relays`, `<fleet levels="fraction" relays`, 1)), h)
	if err != nil || !m.Config.Policy.MembersOnly || m.Config.Site.DataPlane.Admission != balancer.AdmissionFraction {
		t.Error(err, m.Config.Policy)
	}
}

func TestMergeKeysRestoresMaskedKeys(t *testing.T) {
	text := readDoc(t, "example-tenant.xml")
	shown, err := MaskKeys([]byte(text))
	if err != nil || strings.Contains(string(shown), "change-this") {
		t.Fatalf("%v %s", err, shown)
	}
	back, err := MergeKeys(shown, []byte(text))
	if err != nil || !strings.Contains(string(back), `key="change-this-key-of-the-staff"`) || !strings.Contains(string(back), `key="change-this-key-of-measurements"`) {
		t.Fatalf("%v %s", err, back)
	}
	// A masked key without a previous one is rejected: otherwise the mask itself would become the key.
	if _, err := MergeKeys([]byte(strings.Replace(string(shown), `name="ann"`, `name="eve"`, 1)), []byte(text)); err == nil {
		t.Error("a new caller with a masked key is accepted")
	}
	if _, err := MergeKeys(shown, nil); err == nil {
		t.Error("a new tenant with masked keys is accepted")
	}
}

func TestServerEdit(t *testing.T) {
	h, err := ParseHost("host.xml", []byte(readDoc(t, "example-host.xml")))
	if err != nil {
		t.Fatal(err)
	}
	text := []byte(readDoc(t, "example-tenant.xml"))
	pod := 1
	next, err := ServerEdit{Server: "127.0.1.9:8080", Zone: "south", FailureDomain: &pod, Weight: 2.5, Capacity: 10}.Apply(text)
	if err != nil {
		t.Fatal(err)
	}
	m, err := ParseTenant(tenancy.Name("first"), next, h)
	if err != nil || len(m.Config.Site.Servers) != 4 || m.Config.Site.Servers[3].Weight != 2.5 || m.Config.Site.Servers[3].FailureDomain != 1 {
		t.Errorf("%v %+v", err, m.Config.Site.Servers)
	}
	if next, err = (ServerEdit{Server: "127.0.1.9:8080", Remove: true}).Apply(next); err != nil {
		t.Fatal(err)
	}
	if m, err = ParseTenant("first", next, h); err != nil || len(m.Config.Site.Servers) != 3 {
		t.Errorf("%v %+v", err, m.Config.Site.Servers)
	}
	for _, e := range []ServerEdit{{Server: "x"}, {Server: "127.0.1.9:8080"}, {Server: "127.0.1.9:8080", Remove: true}} {
		if _, err := e.Apply(text); !errors.Is(err, ErrInvalidEdit) {
			t.Errorf("%+v: %v", e, err)
		}
	}
}
