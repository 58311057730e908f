package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"snowquay/internal/core/audit"
	"snowquay/internal/core/authz"
	"snowquay/internal/settings"
	"snowquay/internal/wire/sasp"
)

// asked makes a call with a key and headers.
func asked(t *testing.T, key, method, path, body string, headers ...string) (status int, text string, head http.Header) {
	t.Helper()
	r, err := http.NewRequest(method, "http://127.0.0.1:15844"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, string(b), a.Header
}

// The administration API of a coordinator that runs, alone and in a group: who may do what, drains that would do harm, that
// are repeated, that two order at once, that are followed to their end, and a flood of calls beside an urgent drain.
func TestAdministration(t *testing.T) {
	const staff, viewer = "the staff's own key", "the viewer's own key"
	for _, grouped := range []bool{false, true} {
		dir := t.TempDir()
		text, err := os.ReadFile("../../docs/example.xml")
		if err != nil {
			t.Fatal(err)
		}
		group := ""
		if grouped {
			group = fmt.Sprintf(`<group number="1" key="%s" store="%s"><peer number="1" address="127.0.0.1:15845"/></group>`, groupKey,
				filepath.Join(dir, "group"))
		}
		settled, err := settings.ParseCoordinator("example.xml", []byte(strings.NewReplacer(":3860", ":15841", ":25826", ":15842", ":9464",
			`:15843" admin="127.0.0.1:15844`, "snowquay.db", filepath.Join(dir, "roll.db"), `<zone name="north"/>`, group+
				`<caller name="ann" key="`+staff+`" role="staff"/><caller name="bob" key="`+viewer+`" role="viewer"/><zone name="north"/>`,
			`address="127.0.1.1:8080"`, `standing="true" address="127.0.1.1:8080"`).Replace(string(text))))
		if err != nil {
			t.Fatal(err)
		}
		s := serveOne(settled)
		eventually(t, "it does not run", func() bool {
			_, err := CallAdmin(settled, authz.RoleViewer, "GET", "/v1/servers", nil)
			return err == nil
		})
		relay, err := net.Dial("tcp", "127.0.0.1:15841")
		if err != nil {
			t.Fatal(err)
		}
		b := sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("relay-1"), Flags: sasp.Push | sasp.Trust})
		b = sasp.Append(b, &sasp.Message{Kind: sasp.Registration, LB: 1, Groups: []sasp.Group{{UID: []byte("relay-1"), Name: []byte("search")}}})
		if grouped { // it is led when the group has a lease
			eventually(t, "nobody leads", func() bool {
				st, err := GroupStatus(settled.Group.Members[1], []byte(groupKey))
				return err == nil && st.HoldsLease
			})
		}
		if _, err := relay.Write(b); err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, relay) }()
		want := func(what string, status, want int, text string, parts ...string) {
			t.Helper()
			for _, p := range append(parts, "") {
				if status != want || !strings.Contains(text, p) {
					t.Errorf("%s (group %t): %d %s, want %d with %q", what, grouped, status, text, want, p)
				}
			}
		}
		status, got, _ := asked(t, "a wrong key altogether", "GET", "/v1/servers", "")
		want("a wrong key", status, 401, got)
		status, got, head := asked(t, viewer, "GET", "/v1/servers", "")
		want("servers", status, 200, got, `"127.0.1.1:8080","phase":"in service"`)
		tag := head.Get("ETag")
		one, two := `{"server":"127.0.1.1:8080","on":true}`, `{"server":"[::1]:8080","on":true}`
		status, got, _ = asked(t, viewer, "POST", "/v1/drains", one)
		want("a viewer's drain", status, 403, got)
		status, got, _ = asked(t, staff, "POST", "/v1/drains", `{"server":"x","on":true}`)
		want("nobody's drain", status, 404, got)
		status, got, _ = asked(t, staff, "POST", "/v1/drains", `{"server":"x","off":true}`)
		want("nonsense", status, 400, got)
		eventually(t, "the relay is not led", func() bool {
			_, got, _ := asked(t, viewer, "GET", "/v1/drains/127.0.1.1:8080", "")
			return strings.Contains(got, `"proxies":1`)
		})
		status, got, _ = asked(t, staff, "POST", "/v1/drains", one, "If-Match", tag, "Idempotency-Key", "k1")
		want("a drain", status, 202, got, `"phase":"drains"`)
		status, again, _ := asked(t, staff, "POST", "/v1/drains", one, "If-Match", tag, "Idempotency-Key", "k1")
		want("the same, its answer was lost", status, 202, again, got)
		status, got, _ = asked(t, staff, "POST", "/v1/drains", two, "Idempotency-Key", "k1")
		want("another one with its key", status, 422, got)
		status, got, _ = asked(t, staff, "POST", "/v1/drains", two, "If-Match", tag)
		want("what somebody else has changed meanwhile", status, 412, got)
		status, got, _ = asked(t, viewer, "GET", "/v1/drains/127.0.1.1:8080?wait=10", "")
		want("followed", status, 200, got, `"done":true`, `"proxies-without":1`)
		status, got, _ = asked(t, viewer, "POST", "/v1/preview", `{"drain":["[::1]:8080"]}`)
		want("a preview", status, 200, got, `"harmless":false`, "no open, warm server")
		status, got, _ = asked(t, staff, "POST", "/v1/drains", two)
		want("the last one", status, 409, got, "would do harm")
		eventually(t, "why orders were given is not told", func() bool { // an order is told of when it is known to be held
			raw, err := CallAdmin(settled, authz.RoleViewer, "GET", "/v1/orders?relay=relay-1", nil)
			return err == nil && strings.Contains(string(raw), `"facts.lists"`)
		})
		refused := 0
		for range 400 {
			if status, _, _ := asked(t, viewer, "GET", "/v1/servers", ""); status == 429 {
				refused++
			}
		}
		status, got, _ = asked(t, staff, "POST", "/v1/drains", `{"server":"[::1]:8080","on":true,"force":true}`)
		want("an urgent drain beside a flood", status, 202, got)
		if refused == 0 {
			t.Error("a flood of calls is not slowed: the test tests nothing")
		}
		var raw json.RawMessage
		eventually(t, "the audit", func() bool {
			raw, err = CallAdmin(settled, authz.RoleStaff, "GET", "/v1/audit", nil)
			return err == nil
		})
		var entries []audit.Entry
		if err != nil || json.Unmarshal(raw, &entries) != nil || len(entries) < 5 || entries[0].Who != "ann" || entries[0].What != "drain by force" {
			t.Errorf("audit %s, %v", raw, err)
		}
		_ = relay.Close()
		s.end(t)
		s = serveOne(settled) // what was confirmed outlives it
		eventually(t, "the drain is forgotten", func() bool {
			b, err := CallAdmin(settled, authz.RoleViewer, "GET", "/v1/drains/127.0.1.1:8080", nil)
			return err == nil && strings.Contains(string(b), `"phase":"drains"`)
		})
		s.end(t)
	}
}
