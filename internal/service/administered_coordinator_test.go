package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"

	"snowquay/internal/core/audit"
	"snowquay/internal/core/authz"
	"snowquay/internal/settings"
	"snowquay/internal/wire/sasp"
)

const administrationAddress = "127.0.0.1:15844"

// TestAdministration calls the administration API of a running coordinator, alone and in a group. It covers roles,
// rejected harmful drains, repeated drains, drains with an outdated version, drains that are followed to their end,
// and an urgent drain during a flood of calls.
func TestAdministration(t *testing.T) {
	for _, test := range []struct {
		name    string
		grouped bool
	}{{"alone", false}, {"in a group", true}} {
		t.Run(test.name, func(t *testing.T) { testAdministration(t, test.grouped) })
	}
}

const (
	staffSecret  = "the staff's own key"
	viewerSecret = "the viewer's own key"
)

// administeredConfig returns the example settings with an administration API, optionally in a group of one member.
func administeredConfig(t *testing.T, grouped bool) *settings.Coordinator {
	t.Helper()
	dir := t.TempDir()
	group := ""
	if grouped {
		group = fmt.Sprintf(`<group number="1" key="%s" store="%s"><peer number="1" address="127.0.0.1:15845"/></group>`, groupKey,
			filepath.Join(dir, "group"))
	}
	callers := `<caller name="ann" key="` + staffSecret + `" role="staff"/><caller name="bob" key="` + viewerSecret + `" role="viewer"/>`
	return parseExample(t,
		":3860", ":15841",
		":25826", ":15842",
		":9464", `:15843" admin="`+administrationAddress,
		"snowquay.db", filepath.Join(dir, "roll.db"),
		`<zone name="north"/>`, group+callers+`<zone name="north"/>`,
		`address="127.0.1.1:8080"`, `standing="true" address="127.0.1.1:8080"`)
}

// joinProxy connects a proxy that joins a coordinator and discards what it receives.
func joinProxy(t *testing.T, config *settings.Coordinator) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", config.SASP.String())
	if err != nil {
		t.Fatal(err)
	}
	if config.Group != nil { // proxies are served only while the coordinator holds a lease
		eventually(t, "the coordinator holds no lease", func() bool {
			status, err := GroupStatus(config.Group.Members[1], []byte(groupKey))
			return err == nil && status.HoldsLease
		})
	}
	b := sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("relay-1"), Flags: sasp.Push | sasp.Trust})
	b = sasp.Append(b, &sasp.Message{Kind: sasp.Registration, LB: 1, Groups: []sasp.Group{{UID: []byte("relay-1"), Name: []byte("search")}}})
	if _, err := conn.Write(b); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	return conn
}

// want calls the administration API and checks the status of the response, and that its body contains the given parts.
func want(t *testing.T, call string, status int, parts []string, key, method, path, body string, headers ...string) apiResponse {
	t.Helper()
	got := callAPI(t, administrationAddress, key, method, path, body, headers...)
	for _, part := range append(parts, "") {
		if got.status != status || !strings.Contains(got.body, part) {
			t.Errorf("%s: %d %s, want %d with %q", call, got.status, got.body, status, part)
		}
	}
	return got
}

func testAdministration(t *testing.T, grouped bool) {
	config := administeredConfig(t, grouped)
	coordinator := startCoordinator(config)
	eventually(t, "the coordinator does not serve its administration API", func() bool {
		_, err := CallAdmin(config, authz.RoleViewer, "GET", "/v1/servers", nil)
		return err == nil
	})
	proxy := joinProxy(t, config)
	checkDrains(t, config)
	checkFlood(t)
	checkAudit(t, config)
	_ = proxy.Close()
	coordinator.end(t)
	coordinator = startCoordinator(config)
	eventually(t, "a confirmed drain is lost after a restart", func() bool {
		body, err := CallAdmin(config, authz.RoleViewer, "GET", "/v1/drains/127.0.1.1:8080", nil)
		return err == nil && strings.Contains(string(body), `"phase":"drains"`)
	})
	coordinator.end(t)
}

func checkDrains(t *testing.T, config *settings.Coordinator) {
	t.Helper()
	want(t, "an unknown key", 401, nil, "a wrong key altogether", "GET", "/v1/servers", "")
	servers := want(t, "servers", 200, []string{`"127.0.1.1:8080","phase":"in service"`}, viewerSecret, "GET", "/v1/servers", "")
	tag := servers.header.Get("ETag")
	one := `{"server":"127.0.1.1:8080","on":true}`
	two := `{"server":"[::1]:8080","on":true}`
	want(t, "a viewer's drain", 403, nil, viewerSecret, "POST", "/v1/drains", one)
	want(t, "a drain of an unknown server", 404, nil, staffSecret, "POST", "/v1/drains", `{"server":"x","on":true}`)
	want(t, "an unknown field", 400, nil, staffSecret, "POST", "/v1/drains", `{"server":"x","off":true}`)
	eventually(t, "the relay has not joined", func() bool {
		got := callAPI(t, administrationAddress, viewerSecret, "GET", "/v1/drains/127.0.1.1:8080", "")
		return strings.Contains(got.body, `"proxies":1`)
	})
	first := want(t, "a drain", 202, []string{`"phase":"drains"`}, staffSecret, "POST", "/v1/drains", one, "If-Match", tag, "Idempotency-Key", "k1")
	want(t, "the same drain, repeated as after a lost response", 202, []string{first.body}, staffSecret, "POST", "/v1/drains", one, "If-Match", tag,
		"Idempotency-Key", "k1")
	want(t, "another drain with the same idempotency key", 422, nil, staffSecret, "POST", "/v1/drains", two, "Idempotency-Key", "k1")
	want(t, "a drain with an outdated version", 412, nil, staffSecret, "POST", "/v1/drains", two, "If-Match", tag)
	want(t, "a drain that is followed", 200, []string{`"done":true`, `"proxies-without":1`}, viewerSecret, "GET", "/v1/drains/127.0.1.1:8080?wait=10", "")
	want(t, "a preview", 200, []string{`"harmless":false`, "no open, warm server"}, viewerSecret, "POST", "/v1/preview", `{"drain":["[::1]:8080"]}`)
	want(t, "a drain of the last server", 409, []string{"would do harm"}, staffSecret, "POST", "/v1/drains", two)
	eventually(t, "no message trace is recorded", func() bool { // a trace is recorded when its message is acknowledged
		body, err := CallAdmin(config, authz.RoleViewer, "GET", "/v1/orders?relay=relay-1", nil)
		return err == nil && strings.Contains(string(body), `"facts.lists"`)
	})
}

// checkFlood checks that a flood of calls of one caller is throttled and that an urgent drain of another caller is still
// accepted.
func checkFlood(t *testing.T) {
	t.Helper()
	limited := 0
	for range 400 {
		got := callAPI(t, administrationAddress, viewerSecret, "GET", "/v1/servers", "")
		if got.status == 429 {
			limited++
		}
	}
	want(t, "an urgent drain during a flood", 202, nil, staffSecret, "POST", "/v1/drains", `{"server":"[::1]:8080","on":true,"force":true}`)
	if limited == 0 {
		t.Error("none of 400 calls was rejected with status 429: the flood did not reach the rate limit")
	}
}

func checkAudit(t *testing.T, config *settings.Coordinator) {
	t.Helper()
	var body json.RawMessage
	var err error
	eventually(t, "the audit log cannot be fetched", func() bool {
		body, err = CallAdmin(config, authz.RoleStaff, "GET", "/v1/audit", nil)
		return err == nil
	})
	var entries []audit.Entry
	if err != nil || json.Unmarshal(body, &entries) != nil || len(entries) < 5 || entries[0].Caller != "ann" || entries[0].Action != "drain by force" {
		t.Errorf("audit log %s, error %v, want at least 5 entries and a forced drain by ann first", body, err)
	}
}
