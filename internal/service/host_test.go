package service

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"snowquay/internal/core/audit"
	"snowquay/internal/core/authz"
	"snowquay/internal/golden"
	"snowquay/internal/settings"
	"snowquay/internal/wire/sasp"
)

const (
	hostKey                   = "change-this-key-of-the-host"
	hostAdministrationAddress = "127.0.0.1:15855"
)

// testHost is a running host with helpers that call its API.
type testHost struct {
	*runningProgram
	t *testing.T
}

func startHost(t *testing.T, store string) *testHost {
	t.Helper()
	text := strings.NewReplacer(":3860", ":15851", ":8600", ":15852", ":25826", ":15853", ":9464", ":15854", ":8601", ":15855",
		"tenants.db", store).Replace(readFile(t, "../../docs/example-host.xml"))
	config, err := settings.ParseHost("host.xml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	host := start(func(stop <-chan os.Signal) error { return ServeHost(config, slog.New(slog.DiscardHandler), stop) })
	eventually(t, "the host does not serve its administration API", func() bool {
		_, err := CallHostAdmin(config, authz.RoleViewer, "GET", "/v1/tenants", nil)
		return err == nil
	})
	return &testHost{runningProgram: host, t: t}
}

func (h *testHost) end() {
	h.t.Helper()
	h.runningProgram.end(h.t)
}

func (h *testHost) call(key, method, path, body string, headers ...string) apiResponse {
	h.t.Helper()
	return callAPI(h.t, hostAdministrationAddress, key, method, path, body, headers...)
}

// want makes a call, and checks the status of the response and that its body contains part.
func (h *testHost) want(status int, part, key, method, path, body string, headers ...string) (string, http.Header) {
	h.t.Helper()
	got := h.call(key, method, path, body, headers...)
	if got.status != status || !strings.Contains(got.body, part) {
		h.t.Errorf("%s %s %v: %d %s, want %d with %q", method, path, headers, got.status, got.body, status, part)
	}
	return got.body, got.header
}

// tenantText returns the example settings of a tenant, with a key, a user and server addresses that are unique to
// tenant n.
func tenantText(t *testing.T, n int) string {
	t.Helper()
	return strings.NewReplacer("key-of-the-staff", fmt.Sprint("key-of-the-staff-", n), `user="first"`, fmt.Sprintf(`user="t%d"`, n), "127.0.1.",
		fmt.Sprintf("127.0.%d.", n)).Replace(readFile(t, "../../docs/example-tenant.xml"))
}

func staffKey(n int) string { return fmt.Sprint("change-this-key-of-the-staff-", n) }

// join connects a proxy that joins the host and discards what it receives later. It returns the code of the reply.
func (h *testHost) join(uid string) (net.Conn, sasp.Code) {
	h.t.Helper()
	c, err := net.Dial("tcp", "127.0.0.1:15851")
	if err != nil {
		h.t.Fatal(err)
	}
	b := sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte(uid), Flags: sasp.Push | sasp.Trust})
	b = sasp.Append(b, &sasp.Message{Kind: sasp.Registration, LB: 1, Groups: []sasp.Group{{UID: []byte(uid), Name: []byte("search")}}})
	if _, err := c.Write(b); err != nil {
		h.t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	var m sasp.Message
	for m.Kind != sasp.RegistrationReply {
		head := make([]byte, sasp.HeaderSize)
		if _, err := io.ReadFull(c, head); err != nil {
			return c, sasp.NotAccepted // the host closed the connection
		}
		frame := slices.Concat(head, make([]byte, int(binary.BigEndian.Uint32(head[5:]))-len(head)))
		if _, err := io.ReadFull(c, frame[len(head):]); err != nil {
			return c, sasp.NotAccepted
		}
		if err := sasp.Decode(frame, &m); err != nil {
			h.t.Fatal(err)
		}
	}
	_ = c.SetReadDeadline(time.Time{})
	go func() { _, _ = io.Copy(io.Discard, c) }()
	return c, m.Code
}

// TestHost covers a host and its API: roles, tenant names, conditional and repeated calls, limits, harmful settings,
// and the state that is kept across a restart.
func TestHost(t *testing.T) {
	store := filepath.Join(t.TempDir(), "tenants.db")
	one := tenantText(t, 1)
	h := startHost(t, store)
	created := h.checkCreation(one)
	h.checkIsolation(one)
	h.checkSettings()
	proxy := h.checkJoin()
	defer func() { _ = proxy.Close() }()
	h.checkGroupOfOtherTenant(proxy)
	poller := h.checkHTTPIsolation()
	defer func() { _ = poller.Close() }()
	h.checkRejectedSettingsAndDrains(one)
	h.end()
	h = startHost(t, store)
	h.checkRestart(one, created)
	h.checkRemoval(one)
	h.end()
}

// checkCreation creates the tenants one and two. It returns the response of the first creation.
func (h *testHost) checkCreation(one string) (created string) {
	h.t.Helper()
	two := tenantText(h.t, 2)
	h.want(401, "", "an unknown key", "GET", "/v1/tenants", "")
	for name, part := range map[string]string{"One": `\"one\"`, "o.ne": "none of a-z", "%C3%B6ne": "none of a-z", strings.Repeat("x", 64): "64 bytes"} {
		h.want(400, part, hostKey, "PUT", "/v1/tenants/"+name, one)
	}
	h.want(400, "one:", hostKey, "PUT", "/v1/tenants/one", strings.Replace(one, `zone="north" pod`, `zone="west" pod`, 1))
	h.want(507, "bytes of memory", hostKey, "PUT", "/v1/tenants/one", strings.Replace(one, "</tenant>", `<limits series="100000000"/></tenant>`, 1))
	created, _ = h.want(201, `"incarnation":1`, hostKey, "PUT", "/v1/tenants/one", one, "If-None-Match", "*", "Idempotency-Key", "make-1")
	again, _ := h.want(201, "", hostKey, "PUT", "/v1/tenants/one", one, "If-None-Match", "*", "Idempotency-Key", "make-1")
	if created != again {
		h.t.Errorf("the repeated call returned %s, the first call %s", again, created)
	}
	h.want(422, "another call", hostKey, "PUT", "/v1/tenants/one", two, "If-None-Match", "*", "Idempotency-Key", "make-1")
	h.want(412, "", hostKey, "PUT", "/v1/tenants/one", one, "If-None-Match", "*")
	h.want(201, `"incarnation":2`, hostKey, "PUT", "/v1/tenants/two", two)
	return created
}

// checkIsolation checks that the staff of a tenant has no access to other tenants and can't raise the weight and
// limits of its own tenant.
func (h *testHost) checkIsolation(one string) {
	h.t.Helper()
	h.want(403, "no tenant of this caller", staffKey(1), "GET", "/v1/tenants/two", "")
	h.want(403, "no tenant of this caller", staffKey(1), "GET", "/v1/tenants/nobody", "")
	h.want(403, "no tenant of this caller", staffKey(1), "GET", "/v1/tenants", "")
	h.want(403, "no tenant of this caller", staffKey(1), "POST", "/v1/tenants/two/drains", `{"server":"127.0.2.2:8080","on":true}`)
	h.want(403, "", staffKey(1), "DELETE", "/v1/tenants/one", "")
	h.want(403, "only the host", staffKey(1), "PUT", "/v1/tenants/one", strings.Replace(one, `weight="1"`, `weight="5"`, 1))
	h.want(403, "only the host", staffKey(1), "PUT", "/v1/tenants/one", strings.Replace(one, `lines-per-second="400"`, `lines-per-second="4000"`, 1))
}

// checkSettings checks that settings are returned without keys and accepted in that form, and that changes with an
// outdated ETag are rejected.
func (h *testHost) checkSettings() {
	h.t.Helper()
	shown, head := h.want(200, `uid="relay-1"`, staffKey(1), "GET", "/v1/tenants/one/settings", "")
	if strings.Contains(shown, "change-this-key") {
		h.t.Error("the returned settings contain keys")
	}
	first := head.Get("ETag")
	h.want(200, `"version":3`, staffKey(1), "PUT", "/v1/tenants/one", strings.Replace(shown, "A first tenant", "Another title", 1), "If-Match", first)
	h.want(200, "", staffKey(1), "GET", "/v1/tenants/one", "") // the key is unchanged
	h.want(412, "version 3", staffKey(1), "PUT", "/v1/tenants/one", shown, "If-Match", first)
	// If two callers change the servers of the same version, the second one is rejected.
	_, head = h.want(200, "", staffKey(1), "GET", "/v1/tenants/one", "")
	seen := head.Get("ETag")
	h.want(200, "", staffKey(1), "POST", "/v1/tenants/one/servers", `{"server":"127.0.1.9:8080","zone":"south","pod":1,"standing":true}`, "If-Match", seen)
	h.want(412, "", staffKey(1), "POST", "/v1/tenants/one/servers", `{"server":"127.0.1.8:8080","zone":"south"}`, "If-Match", seen)
	h.want(400, "needs a zone", staffKey(1), "POST", "/v1/tenants/one/servers", `{"server":"127.0.1.8:8080"}`)
	h.want(200, "127.0.1.9:8080", staffKey(1), "GET", "/v1/tenants/one/servers", "")
}

// checkJoin checks that a proxy joins and is served with the name of its tenant in its UID, and with no other or
// similar name.
func (h *testHost) checkJoin() net.Conn {
	h.t.Helper()
	proxy, code := h.join("one/relay-1")
	if code != sasp.OK {
		h.t.Fatal(code)
	}
	for _, uid := range []string{"ONE/relay-1", "relay-1", "one/relay-9", "three/relay-1"} {
		if c, code := h.join(uid); code == sasp.OK {
			h.t.Errorf("a proxy with UID %q has joined, want it rejected", uid)
		} else {
			_ = c.Close()
		}
	}
	eventually(h.t, "the relay does not hold the newest tables", func() bool {
		got := h.call(staffKey(1), "GET", "/v1/tenants/one/relays", "")
		return strings.Contains(got.body, `"uid":"one/relay-1","zone":"north","newest":true`)
	})
	return proxy
}

// checkGroupOfOtherTenant checks that a proxy can't register for the group of another tenant on its connection.
func (h *testHost) checkGroupOfOtherTenant(proxy net.Conn) {
	h.t.Helper()
	if _, err := proxy.Write(sasp.Append(nil, &sasp.Message{Kind: sasp.Registration, LB: 1, Groups: []sasp.Group{{UID: []byte("two/relay-1"), Name: []byte("search")}}})); err != nil {
		h.t.Fatal(err)
	}
	h.want(200, "", staffKey(2), "GET", "/v1/tenants/two/relays", "")
	if got := h.call(staffKey(2), "GET", "/v1/tenants/two/relays", ""); got.body != "[]" {
		h.t.Errorf("the other tenant has relays %s, want none", got.body)
	}
}

// checkHTTPIsolation checks that a connection of one tenant can't poll for a proxy of another. It returns the connection.
func (h *testHost) checkHTTPIsolation() net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", "127.0.0.1:15852")
	if err != nil {
		h.t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for _, x := range []struct {
		uid    string
		status int
	}{{"one%2Frelay-2", 200}, {"two%2Frelay-2", 403}} {
		_, _ = fmt.Fprintf(conn, "GET /v1/proxies/%s/tables?wait=2 HTTP/1.1\r\nHost: x\r\n\r\n", x.uid)
		a, err := http.ReadResponse(reader, nil)
		if err != nil {
			h.t.Fatal(err)
		}
		if _, _ = io.Copy(io.Discard, a.Body); a.StatusCode != x.status {
			h.t.Errorf("poll for a proxy with UID %s: status %s, want 200 in tenant one and 403 in tenant two", x.uid, a.Status)
		}
	}
	return conn
}

// checkRejectedSettingsAndDrains checks that settings that leave a proxy without a server are rejected but can be
// previewed, and that a drain is acknowledged by the proxy.
func (h *testHost) checkRejectedSettingsAndDrains(one string) {
	h.t.Helper()
	withoutServers := one
	for _, address := range []string{"127.0.1.2", "127.0.1.3", "127.0.1.9"} {
		i := strings.Index(withoutServers, `    <server address="`+address)
		if i >= 0 {
			withoutServers = withoutServers[:i] + withoutServers[i+strings.Index(withoutServers[i:], "\n")+1:]
		}
	}
	h.want(409, "no open, warm server", staffKey(1), "PUT", "/v1/tenants/one", withoutServers)
	h.want(200, "servers-removed", staffKey(1), "PUT", "/v1/tenants/one?dry-run=true", withoutServers)
	h.want(202, `"phase":"drains"`, staffKey(1), "POST", "/v1/tenants/one/drains", `{"server":"127.0.1.2:8080","on":true}`)
	h.want(200, `"done":true`, staffKey(1), "GET", "/v1/tenants/one/drains/127.0.1.2:8080?wait=10", "")
	eventually(h.t, "no message trace is recorded", func() bool {
		got := h.call(staffKey(1), "GET", "/v1/tenants/one/orders?relay=relay-1", "")
		return strings.Contains(got.body, `"facts.lists"`)
	})
	if got := h.call(staffKey(2), "GET", "/v1/tenants/two/orders", ""); got.body != "[]" {
		h.t.Errorf("message traces of the other tenant: %s, want none", got.body)
	}
	h.want(409, "relays are joined", hostKey, "DELETE", "/v1/tenants/one", "")
	if text := get(h.t, "http://127.0.0.1:15854/metrics"); !strings.Contains(text, `snowquay_tenant_relays_joined{tenant="one"} `) || !strings.Contains(text, "snowquay_host_tenants 2") {
		h.t.Error(text)
	}
	golden.Bytes(h.t, "metrics-host.txt", metricNames(get(h.t, "http://127.0.0.1:15854/metrics")))
}

// checkRestart checks that drains and the responses to idempotent calls are kept across a restart.
func (h *testHost) checkRestart(one, created string) {
	h.t.Helper()
	eventually(h.t, "the drain is lost after a restart", func() bool {
		got := h.call(staffKey(1), "GET", "/v1/tenants/one/drains/127.0.1.2:8080", "")
		return strings.Contains(got.body, `"phase":"drains"`)
	})
	again, _ := h.want(201, "", hostKey, "PUT", "/v1/tenants/one", one, "If-None-Match", "*", "Idempotency-Key", "make-1")
	if created != again {
		h.t.Errorf("the repeated call after a restart returned %s, the first call %s", again, created)
	}
}

// checkRemoval removes a tenant, and checks that it is no longer served and that its name is in quarantine.
func (h *testHost) checkRemoval(one string) {
	h.t.Helper()
	h.want(200, "", hostKey, "DELETE", "/v1/tenants/one?force=true", "", "Idempotency-Key", "end-1")
	h.want(200, "", hostKey, "DELETE", "/v1/tenants/one?force=true", "", "Idempotency-Key", "end-1")
	h.want(404, "", hostKey, "DELETE", "/v1/tenants/one?force=true", "")
	h.want(401, "", staffKey(1), "GET", "/v1/tenants/one", "")
	h.want(409, "removed recently", hostKey, "PUT", "/v1/tenants/one", one)
	if c, code := h.join("one/relay-1"); code == sasp.OK {
		h.t.Error("a proxy of a removed tenant has joined")
	} else {
		_ = c.Close()
	}
	text, _ := h.want(200, "", hostKey, "GET", "/v1/audit", "")
	var entries []audit.Entry
	if err := json.Unmarshal([]byte(text), &entries); err != nil || len(entries) < 3 || entries[0].Target != "one" {
		h.t.Errorf("error %v, audit log %s, want at least 3 entries and one of tenant one first", err, text)
	}
}

// While the staff of one tenant floods the API with expensive calls, the API completes an urgent drain of another
// tenant without delay.
func TestHostFlood(t *testing.T) {
	h := startHost(t, filepath.Join(t.TempDir(), "tenants.db"))
	for n := 1; n <= 2; n++ {
		h.want(201, "", hostKey, "PUT", fmt.Sprintf("/v1/tenants/t%d", n), tenantText(t, n))
	}
	relay, code := h.join("t2/relay-1")
	defer func() { _ = relay.Close() }()
	if code != sasp.OK {
		t.Fatal(code)
	}
	eventually(t, "the relay does not hold the newest tables", func() bool {
		got := h.call(staffKey(2), "GET", "/v1/tenants/t2/relays", "")
		return strings.Contains(got.body, `"newest":true`)
	})
	var wait sync.WaitGroup
	stop := make(chan struct{})
	throttled, served := make([]int, 8), make([]int, 8)
	for k := range throttled {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := 0; i < 5000; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if got := h.call(staffKey(1), "POST", "/v1/tenants/t1/preview", `{"drain":["127.0.1.2:8080"]}`); got.status == 429 {
					throttled[k]++
				} else {
					served[k]++
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	for range 10 { // reads of the other tenant are not throttled either
		h.want(200, "", staffKey(2), "GET", "/v1/tenants/t2", "")
	}
	start := time.Now()
	h.want(202, "", staffKey(2), "POST", "/v1/tenants/t2/drains", `{"server":"127.0.2.2:8080","on":true}`)
	h.want(200, `"done":true`, staffKey(2), "GET", "/v1/tenants/t2/drains/127.0.2.2:8080?wait=10", "")
	if took := time.Since(start); took > 3*time.Second {
		t.Errorf("the drain took %s during the flood, want at most 3s", took)
	} else {
		t.Logf("the drain took %s during the flood", took)
	}
	close(stop)
	wait.Wait()
	// Calls with unknown keys are throttled before they take a turn; calls with a known key are not.
	unknown := 0
	for i := range 200 {
		if got := h.call(fmt.Sprint("an unknown key ", i), "GET", "/v1/tenants", ""); got.status == 429 {
			unknown++
		}
	}
	if h.want(200, "", hostKey, "GET", "/v1/tenants", ""); unknown == 0 {
		t.Error("a flood of calls with unknown keys is not throttled")
	}
	sum := 0
	for k := range throttled {
		sum += throttled[k]
	}
	if sum == 0 {
		t.Error("no call of the flood was rejected with status 429: the flood did not reach the rate limit")
	}
	h.end()
}
