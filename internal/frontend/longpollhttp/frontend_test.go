package longpollhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/routers/legacy"

	"snowquay/internal/core/controlplane"
	"snowquay/internal/frontend/longpollhttp"
	"snowquay/internal/wire/delta"
)

func TestAPIMatchesOpenAPI(t *testing.T) {
	doc, err := openapi3.NewLoader().LoadFromData(longpollhttp.OpenAPI)
	if err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(context.Background()); err != nil {
		t.Fatal(err)
	}
	config := testConfig(5, 2, 14880)
	config.Site.AllowUnlisted = false
	config.Site.Proxies = []controlplane.ProxyConfig{{UID: "r1", ExpectedRate: 5}, {UID: "r 2/x"}, {UID: "r3"}}
	config.LongPollLimits.PollBurst = 15
	program, s, base := listen(t, config)
	doc.Servers = openapi3.Servers{{URL: base}}
	router, err := legacy.NewRouter(doc)
	if err != nil {
		t.Fatal(err)
	}
	client := apiClient{t, router, base}
	resp, body := client.do("GET", "/v1/proxies/r1/tables?wait=5", "")
	var first delta.Tables
	if err := delta.Decode(body, delta.JSON, &first); err != nil || resp.StatusCode != 200 || len(first.Classes) != 1 ||
		!first.Classes[0].Full || len(first.Classes[0].Entries) != 5 || first.Base != 0 {
		t.Fatalf("%d %s, %v", resp.StatusCode, body, err)
	}
	position := fmt.Sprintf("epoch=%s&version=%d", first.Epoch, first.Version)
	if resp, body = client.do("GET", "/v1/proxies/r1/tables?wait=0.1&"+position, ""); resp.StatusCode != 204 || len(body) > 0 {
		t.Errorf("response to a poll without a change: %d %s, want 204 and no body", resp.StatusCode, body)
	}
	s.Do(func(now float64) {
		if program.Fleet.UpToDate() != 1 {
			t.Errorf("%d proxies are up to date, want 1", program.Fleet.UpToDate())
		}
		program.Fleet.Registry.SetDrain(now, serverName(2), true)
	})
	resp, body = client.do("GET", "/v1/proxies/r1/tables?wait=5&"+position, delta.CBOR)
	if resp.StatusCode != 200 {
		t.Errorf("response to the poll after the drain: status %d, want 200", resp.StatusCode)
	}
	var second delta.Tables
	if err := delta.Decode(body, delta.CBOR, &second); err != nil || second.Classes[0].Full || second.Base != first.Version ||
		len(second.Classes[0].Entries) != 1 || !second.Classes[0].Entries[0].Draining || !second.AppliesTo(first.Epoch, first.Version) ||
		second.AppliesTo("1", first.Version) {
		t.Errorf("tables with the drain: %+v, error %v", second, err)
	}
	for _, test := range []struct {
		method, path, accept string
		status               int
	}{
		{"GET", "/v1/proxies/r1/tables?wait=-1", "", 400}, {"GET", "/v1/proxies/r1/tables?wait=NaN", "", 400},
		{"GET", "/v1/proxies/r1/tables?epoch=xyz", "", 400}, {"GET", "/v1/proxies/r1/tables?version=1&version=2", "", 400},
		{"GET", "/v1/proxies/%20%20/tables", "", 403}, {"GET", "/v1/proxies/" + strings.Repeat("u", 300) + "/tables", "", 400},
		{"GET", "/v1/proxies/r%202%2Fx/tables?wait=2", "application/cbor;q=0, */*", 200},
		{"GET", "/v1/proxies/r1/tables", "text/html", 406}, {"POST", "/v1/proxies/r1/tables", "", 405},
		{"GET", "/v2", "", 404}, {"GET", "/openapi.json", "", 200}, {"GET", "/v1/proxies/r1", "", 404},
		{"DELETE", "/v1/proxies/r1", "", 204}, {"DELETE", "/v1/proxies/r1", "", 404},
	} {
		resp, body := client.do(test.method, test.path, test.accept)
		if resp.StatusCode != test.status {
			t.Errorf("%s %.60s: %d %s, want %d", test.method, test.path, resp.StatusCode, body, test.status)
		}
		if test.status >= 400 && resp.Header.Get("Content-Type") != delta.ProblemMediaType {
			t.Errorf("%s %.60s: the response is not a problem document: %s", test.method, test.path, body)
		}
	}
	for i := range 20 {
		resp, _ := client.do("GET", "/v1/proxies/r3/tables?epoch=1&version=1&wait=0", "")
		if exceeded := i >= 16; exceeded && (resp.StatusCode != 429 || resp.Header.Get("Retry-After") == "") {
			t.Errorf("poll %d of a proxy that polls without pause: status %d, want 429 and a Retry-After header", i, resp.StatusCode)
		}
	}
}

func TestHostileRequests(t *testing.T) {
	config := testConfig(3, 2, 14881)
	config.LongPollHTTPLimits.IdleTimeout = 0.6
	config.LongPollHTTPLimits.MaxConnections = 50
	program, s, base := listen(t, config)
	const get = "GET /openapi.json HTTP/1.1\r\nHost: x\r\n"
	for name, c := range map[string]struct {
		send   string
		status string
	}{
		"a body":                        {get + "Content-Length: 5\r\n\r\nabcde", "413"},
		"chunked body":                  {get + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "413"},
		"length and chunked body":       {get + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /v1", "413"},
		"conflicting lengths":           {get + "Content-Length: 0\r\nContent-Length: 9\r\n\r\n", "400"},
		"a length that is not a number": {get + "Content-Length: +0x\r\n\r\n", "400"},
		"unknown transfer encoding":     {get + "Transfer-Encoding: xchunked\r\n\r\n", "400"},
		"not HTTP":                      {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n", "400"},
		"HTTP/1.0":                      {"GET / HTTP/1.0\r\n\r\n", "505"},
		"an unterminated head":          {get + "X: " + strings.Repeat("y", 9000), "431"},
		"an oversized head":             {get + "X: " + strings.Repeat("y", 9000) + "\r\n\r\n", "431"},
	} {
		t.Run(name, func(t *testing.T) {
			got := exchangeRaw(t, base, c.send)
			if !strings.HasPrefix(got, "HTTP/1.1 "+c.status) || strings.Count(got, "HTTP/1.1") != 1 || !strings.Contains(got, "Connection: close") {
				t.Errorf("response %.200q, want status %s once and Connection: close", got, c.status)
			}
		})
	}
	pieces := strings.Split(get+"\r\n"+get+"\r\n", "")
	if got := exchangeRaw(t, base, pieces...); strings.Count(got, "HTTP/1.1 200") != 2 {
		t.Errorf("responses to two requests sent byte by byte: %.300q", got)
	}
	if got := exchangeRaw(t, base, "GET /v1/proxies/r1/tables?wait=30 HTTP/1.1\r\nHost: x\r\n\r\n", strings.Repeat(get+"\r\n", 400)); strings.Count(got, "HTTP/1.1 200") > 320 {
		t.Errorf("%d requests behind a parked poll were served", strings.Count(got, "HTTP/1.1 200"))
	}
	for range 100 { // idle connections
		if c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://")); err == nil {
			defer func() { _ = c.Close() }()
		}
	}
	time.Sleep(100 * time.Millisecond)
	connections := 0
	s.Do(func(float64) { connections = program.LongPoll.Connections() })
	if connections > 50 {
		t.Errorf("%d connections are open, want at most 50", connections)
	}
	for end := time.Now().Add(10 * time.Second); connections > 0; time.Sleep(20 * time.Millisecond) {
		s.Do(func(float64) { connections = program.LongPoll.Connections() })
		if time.Now().After(end) {
			t.Fatalf("%d idle connections are still open", connections)
		}
	}
}

// A client that does not read a large response is disconnected, and its proxy is removed from the fleet.
func TestSlowReaderIsDisconnected(t *testing.T) {
	config := testConfig(3000, 1, 14882)
	config.LongPollHTTPLimits.DeliveryTimeout = 0.4
	config.LongPollLimits.PollGap = 0.8
	program, s, base := listen(t, config)
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.(*net.TCPConn).SetReadBuffer(1024); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("GET /v1/proxies/r1/tables?wait=30 HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	joined := 1
	conns := 1
	for end := time.Now().Add(10 * time.Second); joined+conns > 0; time.Sleep(50 * time.Millisecond) {
		s.Do(func(float64) {
			joined = program.Fleet.Joined()
			conns = program.LongPoll.Connections()
		})
		if time.Now().After(end) {
			t.Fatalf("%d proxies are joined and %d connections open, want none", joined, conns)
		}
	}
}

// Guards against a client that sends many small requests and reads nothing: each was answered, into memory.
func TestRequestsWaitWhileResponsesAreUnread(t *testing.T) {
	config := testConfig(3, 2, 14883)
	program, s, base := listen(t, config)
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	const requests = 150
	if _, err := conn.Write([]byte(strings.Repeat("GET /openapi.json HTTP/1.1\r\nHost: x\r\n\r\n", requests))); err != nil {
		t.Fatal(err)
	}
	served := 0
	s.Do(func(float64) { served = program.LongPoll.Stats.Requests })
	if served == requests {
		t.Errorf("all %d requests were served at once, want some to wait", served)
	}
	reader := bufio.NewReader(conn)
	for i := range requests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against many clients whose heads don't end: what waits on all connections together is bounded.
func TestIncompleteHeadsOfAllConnectionsAreBounded(t *testing.T) {
	config := testConfig(3, 2, 14884)
	config.LongPollHTTPLimits.MaxBuffered = 64 << 10
	program, s, base := listen(t, config)
	const clients = 50
	for range clients {
		conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nX: " + strings.Repeat("y", 4<<10))); err != nil {
			t.Fatal(err)
		}
	}
	const limit = 64 / 4 * 5 / 4
	open := 0
	closed := 0
	for end := time.Now().Add(5 * time.Second); (open+closed < clients || open > limit) && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.Do(func(float64) {
			open = program.LongPoll.Connections()
			closed = program.LongPoll.Stats.Closed
		})
	}
	if open > limit || open < 5 {
		t.Errorf("%d of %d clients are connected, want 5 to %d", open, clients, limit)
	}
}
