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

const hostsKey = "change-this-key-of-the-host"

// hostOf is a host on ports of its own, and how to call it.
type hostOf struct {
	t    *testing.T
	set  *settings.Host
	stop chan os.Signal
	done chan error
}

func startHost(t *testing.T, store string) *hostOf {
	t.Helper()
	text, err := os.ReadFile("../../docs/example-host.xml")
	if err != nil {
		t.Fatal(err)
	}
	set, err := settings.ParseHost("host.xml", []byte(strings.NewReplacer(":3860", ":15851", ":8600", ":15852", ":25826", ":15853", ":9464", ":15854",
		":8601", ":15855", "tenants.db", store).Replace(string(text))))
	if err != nil {
		t.Fatal(err)
	}
	h := &hostOf{t, set, make(chan os.Signal, 1), make(chan error, 1)}
	go func() { h.done <- ServeHost(set, slog.New(slog.DiscardHandler), h.stop) }()
	eventually(t, "the host does not run", func() bool {
		_, err := CallHostAdmin(set, authz.RoleViewer, "GET", "/v1/tenants", nil)
		return err == nil
	})
	return h
}

func (h *hostOf) end() {
	h.t.Helper()
	h.stop <- os.Interrupt
	if err := <-h.done; err != nil {
		h.t.Error(err)
	}
}

func (h *hostOf) ask(key, method, path, body string, headers ...string) (int, string, http.Header) {
	h.t.Helper()
	r, err := http.NewRequest(method, "http://127.0.0.1:15855"+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	return a.StatusCode, string(b), a.Header
}

// want makes a call and holds its answer against a status and parts of its text.
func (h *hostOf) want(status int, part, key, method, path, body string, headers ...string) (string, http.Header) {
	h.t.Helper()
	got, text, head := h.ask(key, method, path, body, headers...)
	if got != status || !strings.Contains(text, part) {
		h.t.Errorf("%s %s %v: %d %s, wanted %d with %q", method, path, headers, got, text, status, part)
	}
	return text, head
}

func tenantText(t *testing.T, n int) string {
	t.Helper()
	b, err := os.ReadFile("../../docs/example-tenant.xml")
	if err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer("key-of-the-staff", fmt.Sprint("key-of-the-staff-", n), `user="first"`, fmt.Sprintf(`user="t%d"`, n), "127.0.1.",
		fmt.Sprintf("127.0.%d.", n)).Replace(string(b))
}

func staffKey(n int) string { return fmt.Sprint("change-this-key-of-the-staff-", n) }

// join makes a relay of a tenant that reads what it is sent.
func (h *hostOf) join(uid string) (net.Conn, sasp.Code) {
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
			return c, sasp.NotAccepted // it was closed
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

// A host over its API: who may do what, names, conditions, keys of calls, limits, settings that do harm, what outlives the process.
func TestHost(t *testing.T) {
	store := filepath.Join(t.TempDir(), "tenants.db")
	h := startHost(t, store)
	one, two := tenantText(t, 1), tenantText(t, 2)
	h.want(401, "", "no key of anybody at all", "GET", "/v1/tenants", "")
	for name, part := range map[string]string{"One": `\"one\"`, "o.ne": "none of a-z", "%C3%B6ne": "none of a-z", strings.Repeat("x", 64): "64 bytes"} {
		h.want(400, part, hostsKey, "PUT", "/v1/tenants/"+name, one)
	}
	h.want(400, "one:", hostsKey, "PUT", "/v1/tenants/one", strings.Replace(one, `zone="north" pod`, `zone="west" pod`, 1))
	h.want(507, "bytes of memory", hostsKey, "PUT", "/v1/tenants/one", strings.Replace(one, "</tenant>", `<limits series="100000000"/></tenant>`, 1))
	made, _ := h.want(201, `"incarnation":1`, hostsKey, "PUT", "/v1/tenants/one", one, "If-None-Match", "*", "Idempotency-Key", "make-1")
	again, _ := h.want(201, "", hostsKey, "PUT", "/v1/tenants/one", one, "If-None-Match", "*", "Idempotency-Key", "make-1")
	if made != again {
		t.Errorf("the same call again: %s, first %s", again, made)
	}
	h.want(422, "another call", hostsKey, "PUT", "/v1/tenants/one", two, "If-None-Match", "*", "Idempotency-Key", "make-1")
	h.want(412, "", hostsKey, "PUT", "/v1/tenants/one", one, "If-None-Match", "*")
	h.want(201, `"incarnation":2`, hostsKey, "PUT", "/v1/tenants/two", two)
	// What is one tenant's is nobody else's; a tenant's staff is not told of others.
	h.want(403, "no tenant of this caller", staffKey(1), "GET", "/v1/tenants/two", "")
	h.want(403, "no tenant of this caller", staffKey(1), "GET", "/v1/tenants/nobody", "")
	h.want(403, "no tenant of this caller", staffKey(1), "GET", "/v1/tenants", "")
	h.want(403, "no tenant of this caller", staffKey(1), "POST", "/v1/tenants/two/drains", `{"server":"127.0.2.2:8080","on":true}`)
	h.want(403, "", staffKey(1), "DELETE", "/v1/tenants/one", "")
	h.want(403, "only the host", staffKey(1), "PUT", "/v1/tenants/one", strings.Replace(one, `weight="1"`, `weight="5"`, 1))
	h.want(403, "only the host", staffKey(1), "PUT", "/v1/tenants/one", strings.Replace(one, `lines-per-second="400"`, `lines-per-second="4000"`, 1))
	// Settings are shown without keys, and taken back in the same form.
	shown, head := h.want(200, `uid="relay-1"`, staffKey(1), "GET", "/v1/tenants/one/settings", "")
	if strings.Contains(shown, "change-this-key") {
		t.Error("settings are shown with keys")
	}
	first := head.Get("ETag")
	h.want(200, `"version":3`, staffKey(1), "PUT", "/v1/tenants/one", strings.Replace(shown, "A first tenant", "Another title", 1), "If-Match", first)
	h.want(200, "", staffKey(1), "GET", "/v1/tenants/one", "") // the key is the same
	h.want(412, "version 3", staffKey(1), "PUT", "/v1/tenants/one", shown, "If-Match", first)
	// Two of the staff change one roll by what they saw: the second is told so.
	_, head = h.want(200, "", staffKey(1), "GET", "/v1/tenants/one", "")
	seen := head.Get("ETag")
	h.want(200, "", staffKey(1), "POST", "/v1/tenants/one/servers", `{"server":"127.0.1.9:8080","zone":"south","pod":1,"standing":true}`, "If-Match", seen)
	h.want(412, "", staffKey(1), "POST", "/v1/tenants/one/servers", `{"server":"127.0.1.8:8080","zone":"south"}`, "If-Match", seen)
	h.want(400, "needs a zone", staffKey(1), "POST", "/v1/tenants/one/servers", `{"server":"127.0.1.8:8080"}`)
	h.want(200, "127.0.1.9:8080", staffKey(1), "GET", "/v1/tenants/one/servers", "")
	// A relay comes by its tenant's name and is told its tables; as another tenant's, or under a name that looks alike, it is nobody.
	relay, code := h.join("one/relay-1")
	defer func() { _ = relay.Close() }()
	if code != sasp.OK {
		t.Fatal(code)
	}
	for _, uid := range []string{"ONE/relay-1", "relay-1", "one/relay-9", "three/relay-1"} {
		if c, code := h.join(uid); code == sasp.OK {
			t.Errorf("%q has joined", uid)
		} else {
			_ = c.Close()
		}
	}
	eventually(t, "the relay is not led", func() bool {
		_, text, _ := h.ask(staffKey(1), "GET", "/v1/tenants/one/relays", "")
		return strings.Contains(text, `"uid":"one/relay-1","zone":"north","newest":true`)
	})
	// A relay that names another tenant's group on its connection is refused there.
	if _, err := relay.Write(sasp.Append(nil, &sasp.Message{Kind: sasp.Registration, LB: 1, Groups: []sasp.Group{{UID: []byte("two/relay-1"), Name: []byte("search")}}})); err != nil {
		t.Fatal(err)
	}
	h.want(200, "", staffKey(2), "GET", "/v1/tenants/two/relays", "")
	if _, text, _ := h.ask(staffKey(2), "GET", "/v1/tenants/two/relays", ""); text != "[]" {
		t.Errorf("the other tenant has relays: %s", text)
	}
	// The same over HTTP: a connection that is one tenant's names another's relay.
	web, err := net.Dial("tcp", "127.0.0.1:15852")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = web.Close() }()
	read := bufio.NewReader(web)
	for _, x := range []struct {
		uid    string
		status int
	}{{"one%2Frelay-2", 200}, {"two%2Frelay-2", 403}} {
		_, _ = fmt.Fprintf(web, "GET /v1/proxies/%s/tables?wait=2 HTTP/1.1\r\nHost: x\r\n\r\n", x.uid)
		a, err := http.ReadResponse(read, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, _ = io.Copy(io.Discard, a.Body); a.StatusCode != x.status {
			t.Errorf("%s: %s", x.uid, a.Status)
		}
	}
	// Settings that would leave its relay without a server do harm; they can be forced, and can be looked at.
	bare := one
	for _, s := range []string{"127.0.1.2", "127.0.1.3", "127.0.1.9"} {
		i := strings.Index(bare, `    <server address="`+s)
		if i >= 0 {
			bare = bare[:i] + bare[i+strings.Index(bare[i:], "\n")+1:]
		}
	}
	h.want(409, "no open, warm server", staffKey(1), "PUT", "/v1/tenants/one", bare)
	h.want(200, "servers-removed", staffKey(1), "PUT", "/v1/tenants/one?dry-run=true", bare)
	// A drain that its tenant's API answers is known to its relay, and outlives the process.
	h.want(202, `"phase":"drains"`, staffKey(1), "POST", "/v1/tenants/one/drains", `{"server":"127.0.1.2:8080","on":true}`)
	h.want(200, `"done":true`, staffKey(1), "GET", "/v1/tenants/one/drains/127.0.1.2:8080?wait=10", "")
	eventually(t, "why is not told", func() bool {
		_, text, _ := h.ask(staffKey(1), "GET", "/v1/tenants/one/orders?relay=relay-1", "")
		return strings.Contains(text, `"facts.lists"`)
	})
	if _, text, _ := h.ask(staffKey(2), "GET", "/v1/tenants/two/orders", ""); text != "[]" {
		t.Errorf("orders of another tenant: %s", text)
	}
	h.want(409, "relays are joined", hostsKey, "DELETE", "/v1/tenants/one", "")
	if text := get(t, "http://127.0.0.1:15854/metrics"); !strings.Contains(text, `snowquay_tenant_relays_joined{tenant="one"} `) || !strings.Contains(text, "snowquay_host_tenants 2") {
		t.Error(text)
	}
	golden.Bytes(t, "metrics-host.txt", metricNames(get(t, "http://127.0.0.1:15854/metrics")))
	h.end()
	h = startHost(t, store)
	eventually(t, "the drain is forgotten", func() bool {
		_, text, _ := h.ask(staffKey(1), "GET", "/v1/tenants/one/drains/127.0.1.2:8080", "")
		return strings.Contains(text, `"phase":"drains"`)
	})
	// The answer of a call is remembered by the next process, too.
	again, _ = h.want(201, "", hostsKey, "PUT", "/v1/tenants/one", one, "If-None-Match", "*", "Idempotency-Key", "make-1")
	if made != again {
		t.Errorf("the same call in the next life: %s, first %s", again, made)
	}
	h.want(200, "", hostsKey, "DELETE", "/v1/tenants/one?force=true", "", "Idempotency-Key", "end-1")
	h.want(200, "", hostsKey, "DELETE", "/v1/tenants/one?force=true", "", "Idempotency-Key", "end-1")
	h.want(404, "", hostsKey, "DELETE", "/v1/tenants/one?force=true", "")
	h.want(401, "", staffKey(1), "GET", "/v1/tenants/one", "")
	h.want(409, "rests", hostsKey, "PUT", "/v1/tenants/one", one)
	if c, code := h.join("one/relay-1"); code == sasp.OK {
		t.Error("a relay of a tenant that is gone has joined")
	} else {
		_ = c.Close()
	}
	text, _ := h.want(200, "", hostsKey, "GET", "/v1/audit", "")
	var entries []audit.Entry
	if err := json.Unmarshal([]byte(text), &entries); err != nil || len(entries) < 3 || entries[0].Of != "one" {
		t.Errorf("%v %s", err, text)
	}
	h.end()
}

// One tenant's staff floods the API with dear calls, while another's orders an urgent drain: that is answered at once.
func TestHostFlood(t *testing.T) {
	h := startHost(t, filepath.Join(t.TempDir(), "tenants.db"))
	for n := 1; n <= 2; n++ {
		h.want(201, "", hostsKey, "PUT", fmt.Sprintf("/v1/tenants/t%d", n), tenantText(t, n))
	}
	relay, code := h.join("t2/relay-1")
	defer func() { _ = relay.Close() }()
	if code != sasp.OK {
		t.Fatal(code)
	}
	eventually(t, "the relay is not led", func() bool {
		_, text, _ := h.ask(staffKey(2), "GET", "/v1/tenants/t2/relays", "")
		return strings.Contains(text, `"newest":true`)
	})
	var wait sync.WaitGroup
	stop := make(chan struct{})
	slowed, served := make([]int, 8), make([]int, 8)
	for k := range slowed {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := 0; i < 5000; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if status, _, _ := h.ask(staffKey(1), "POST", "/v1/tenants/t1/preview", `{"drain":["127.0.1.2:8080"]}`); status == 429 {
					slowed[k]++
				} else {
					served[k]++
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	for range 10 { // looks of the other tenant are not slowed either
		h.want(200, "", staffKey(2), "GET", "/v1/tenants/t2", "")
	}
	start := time.Now()
	h.want(202, "", staffKey(2), "POST", "/v1/tenants/t2/drains", `{"server":"127.0.2.2:8080","on":true}`)
	h.want(200, `"done":true`, staffKey(2), "GET", "/v1/tenants/t2/drains/127.0.2.2:8080?wait=10", "")
	if took := time.Since(start); took > 3*time.Second {
		t.Errorf("the drain took %s beside the flood", took)
	} else {
		t.Logf("the drain took %s beside the flood", took)
	}
	close(stop)
	wait.Wait()
	// Keys of nobody are slowed before they take a turn; who is known is not.
	unknown := 0
	for i := range 200 {
		if status, _, _ := h.ask(fmt.Sprint("a key of nobody ", i), "GET", "/v1/tenants", ""); status == 429 {
			unknown++
		}
	}
	if h.want(200, "", hostsKey, "GET", "/v1/tenants", ""); unknown == 0 {
		t.Error("a flood of unknown keys is not slowed")
	}
	sum := 0
	for k := range slowed {
		sum += slowed[k]
	}
	if sum == 0 {
		t.Error("the flood was not slowed: the test tests nothing")
	}
	h.end()
}
