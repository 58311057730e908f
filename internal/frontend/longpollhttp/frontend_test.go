package longpollhttp_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/legacy"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/frontend/longpollhttp"
	"snowquay/internal/wire/delta"
	"snowquay/internal/wire/sasp"
)

func testConfig(servers, proxies int, port uint16) coordinator.Config {
	s := controlplane.Site{Seed: 1, ClassNames: []string{"search"}, Zones: []string{"a"}, AllowUnlisted: true,
		Classes:    []balancer.RequestClass{{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3}},
		DataPlane:  balancer.DataPlane{Proxies: proxies, Coordinators: 1, DefaultRetry: balancer.RetryIfNotExecuted, Admission: balancer.AdmissionFraction},
		Channel:    balancer.Channel{EntriesPerSecond: 1e7, MessageOverhead: 3, MaxQueued: 2e7, MeanDelay: 0.01, MaxDelay: 0.2},
		Guarantees: balancer.Guarantees{DrainDeadline: 30, EmptyTableDeadline: 2, WarmupStartFraction: 0.2, WarmupDuration: 10, OverloadFactor: 3, OverloadWindow: 2},
		Reporting:  balancer.Reporting{Period: 0.5}, Limits: controlplane.DefaultLimits, DisabledGuards: map[controlplane.Guard]bool{}}
	for i := range servers {
		s.Servers = append(s.Servers, registry.ServerConfig{Server: serverName(i), Weight: 1, Static: true})
	}
	limits := longpoll.DefaultLimits
	limits.JoinRate, limits.JoinBurst = 1e6, 1e6
	return coordinator.Config{Site: s, Limits: saspsession.DefaultLimits, Policy: saspsession.Policy{FleetUID: "fleet"}, LongPoll: longpollhttp.DefaultLimits,
		Parking: limits, HTTP: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}
}

func serverName(i int) balancer.Server {
	return balancer.Server(fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255))
}

func listen(t testing.TB, set coordinator.Config) (*coordinator.Coordinator, *eventloop.Server, string) {
	clock := eventloop.Clock()
	program, err := coordinator.New(clock(), set, nil)
	if err != nil {
		t.Fatal(err)
	}
	s, err := eventloop.Listen(program, set.Ports(), set.HTTP, clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(); err != nil {
			t.Error(err)
		}
	})
	return program, s, "http://" + set.HTTP.String()
}

// apiClient holds every exchange against the description.
type apiClient struct {
	t      *testing.T
	router routers.Router
	base   string
}

func (c apiClient) do(method, path, accept string) (*http.Response, []byte) {
	c.t.Helper()
	r, err := http.NewRequest(method, c.base+path, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if accept != "" {
		r.Header.Set("Accept", accept)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	route, params, err := c.router.FindRoute(r)
	if err != nil {
		return resp, body // not among what is described: 404 and 405
	}
	shown := body
	if resp.Header.Get("Content-Type") == delta.CBOR { // the same structure by another notation
		var v any
		if err := cbor.Unmarshal(body, &v); err != nil {
			c.t.Fatal(err)
		}
		var tables delta.Tables
		if err := delta.Decode(body, delta.CBOR, &tables); err != nil {
			c.t.Fatal(err)
		}
		shown, _ = json.Marshal(tables)
		resp.Header.Set("Content-Type", delta.JSON)
	}
	err = openapi3filter.ValidateResponse(context.Background(), &openapi3filter.ResponseValidationInput{
		RequestValidationInput: &openapi3filter.RequestValidationInput{Request: r, PathParams: params, Route: route},
		Status:                 resp.StatusCode, Header: resp.Header, Body: io.NopCloser(bytes.NewReader(shown)),
		Options: &openapi3filter.Options{IncludeResponseStatus: true}})
	if err != nil {
		c.t.Errorf("%s %s: not as described: %v\n%s", method, path, err, shown)
	}
	return resp, body
}

func TestAPIMatchesOpenAPI(t *testing.T) {
	doc, err := openapi3.NewLoader().LoadFromData(longpollhttp.OpenAPI)
	if err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(context.Background()); err != nil {
		t.Fatal(err)
	}
	set := testConfig(5, 2, 14880)
	set.Site.AllowUnlisted = false
	set.Site.Proxies = []controlplane.ProxyConfig{{UID: "r1", ExpectedRate: 5}, {UID: "r 2/x"}, {UID: "r3"}}
	set.Parking.PollBurst = 15
	program, s, base := listen(t, set)
	doc.Servers = openapi3.Servers{{URL: base}}
	router, err := legacy.NewRouter(doc)
	if err != nil {
		t.Fatal(err)
	}
	c := apiClient{t, router, base}
	resp, body := c.do("GET", "/v1/proxies/r1/tables?wait=5", "")
	var first delta.Tables
	if err := delta.Decode(body, delta.JSON, &first); err != nil || resp.StatusCode != 200 || len(first.Classes) != 1 ||
		!first.Classes[0].Full || len(first.Classes[0].Entries) != 5 || first.Base != 0 {
		t.Fatalf("%d %s, %v", resp.StatusCode, body, err)
	}
	at := fmt.Sprintf("epoch=%s&version=%d", first.Epoch, first.Version)
	if resp, body = c.do("GET", "/v1/proxies/r1/tables?wait=0.1&"+at, ""); resp.StatusCode != 204 || len(body) > 0 {
		t.Errorf("nothing is newer: %d %s", resp.StatusCode, body)
	}
	s.Do(func(now float64) {
		if program.Fleet.UpToDate() != 1 {
			t.Errorf("%d hold the newest tables", program.Fleet.UpToDate())
		}
		program.Fleet.Registry.SetDrain(now, serverName(2), true)
	})
	resp, body = c.do("GET", "/v1/proxies/r1/tables?wait=5&"+at, delta.CBOR)
	if resp.StatusCode != 200 {
		t.Errorf("the drain is answered with %d", resp.StatusCode)
	}
	var second delta.Tables
	if err := delta.Decode(body, delta.CBOR, &second); err != nil || second.Classes[0].Full || second.Base != first.Version ||
		len(second.Classes[0].Entries) != 1 || !second.Classes[0].Entries[0].Draining || !second.AppliesTo(first.Epoch, first.Version) ||
		second.AppliesTo("1", first.Version) {
		t.Errorf("the drain: %+v, %v", second, err)
	}
	for _, x := range []struct {
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
		resp, body := c.do(x.method, x.path, x.accept)
		if resp.StatusCode != x.status {
			t.Errorf("%s %.60s: %d %s, want %d", x.method, x.path, resp.StatusCode, body, x.status)
		}
		if x.status >= 400 && resp.Header.Get("Content-Type") != delta.ProblemMediaType {
			t.Errorf("%s %.60s: no problem document: %s", x.method, x.path, body)
		}
	}
	for i := range 20 {
		resp, _ := c.do("GET", "/v1/proxies/r3/tables?epoch=1&version=1&wait=0", "")
		if late := i >= 16; late && (resp.StatusCode != 429 || resp.Header.Get("Retry-After") == "") {
			t.Errorf("poll %d of a proxy that asks all the time: %d", i, resp.StatusCode)
		}
	}
}

// exchangeRaw sends bytes and returns what comes until the connection is closed, or a while has passed.
func exchangeRaw(t *testing.T, base string, parts ...string) string {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	for _, p := range parts {
		if _, err := c.Write([]byte(p)); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if err := c.SetReadDeadline(time.Now().Add(700 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	b, _ := io.ReadAll(c) // the deadline ends it where the connection stands
	return string(b)
}

func TestHostileRequests(t *testing.T) {
	set := testConfig(3, 2, 14881)
	set.LongPoll.IdleTimeout, set.LongPoll.MaxConnections = 0.6, 50
	program, s, base := listen(t, set)
	const get = "GET /openapi.json HTTP/1.1\r\nHost: x\r\n"
	for name, c := range map[string]struct {
		send   string
		status string
	}{
		"a body":                     {get + "Content-Length: 5\r\n\r\nabcde", "413"},
		"chunks":                     {get + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "413"},
		"length and chunks":          {get + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /v1", "413"},
		"two lengths that disagree":  {get + "Content-Length: 0\r\nContent-Length: 9\r\n\r\n", "400"},
		"a length that is no number": {get + "Content-Length: +0x\r\n\r\n", "400"},
		"odd chunking":               {get + "Transfer-Encoding: xchunked\r\n\r\n", "400"},
		"no request":                 {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n", "400"},
		"HTTP/1.0":                   {"GET / HTTP/1.0\r\n\r\n", "505"},
		"a head without end":         {get + "X: " + strings.Repeat("y", 9000), "431"},
		"a large head":               {get + "X: " + strings.Repeat("y", 9000) + "\r\n\r\n", "431"},
	} {
		got := exchangeRaw(t, base, c.send)
		if !strings.HasPrefix(got, "HTTP/1.1 "+c.status) || strings.Count(got, "HTTP/1.1") != 1 || !strings.Contains(got, "Connection: close") {
			t.Errorf("%s: %.200q, want %s once and a close", name, got, c.status)
		}
	}
	pieces := strings.Split(get+"\r\n"+get+"\r\n", "")
	if got := exchangeRaw(t, base, pieces...); strings.Count(got, "HTTP/1.1 200") != 2 {
		t.Errorf("two requests a byte at a time: %.300q", got)
	}
	if got := exchangeRaw(t, base, "GET /v1/proxies/r1/tables?wait=30 HTTP/1.1\r\nHost: x\r\n\r\n", strings.Repeat(get+"\r\n", 400)); strings.Count(got, "HTTP/1.1 200") > 320 {
		t.Errorf("%d requests behind a poll were kept", strings.Count(got, "HTTP/1.1 200"))
	}
	for range 100 { // that say nothing
		if c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://")); err == nil {
			defer func() { _ = c.Close() }()
		}
	}
	time.Sleep(100 * time.Millisecond)
	n := 0
	if s.Do(func(float64) { n = program.LongPoll.Connections() }); n > 50 {
		t.Errorf("%d connections stand", n)
	}
	for end := time.Now().Add(10 * time.Second); n > 0; time.Sleep(20 * time.Millisecond) {
		if s.Do(func(float64) { n = program.LongPoll.Connections() }); time.Now().After(end) {
			t.Fatalf("%d silent connections still stand", n)
		}
	}
}

// A client that takes a byte a second of a large answer is closed, and its proxy is held for gone.
func TestSlowReaderIsDisconnected(t *testing.T) {
	set := testConfig(3000, 1, 14882)
	set.LongPoll.DeliveryTimeout, set.Parking.PollGap = 0.4, 0.8
	program, s, base := listen(t, set)
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.(*net.TCPConn).SetReadBuffer(1024); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("GET /v1/proxies/r1/tables?wait=30 HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	joined, conns := 1, 1
	for end := time.Now().Add(10 * time.Second); joined+conns > 0; time.Sleep(50 * time.Millisecond) {
		s.Do(func(float64) {
			joined, conns = program.Fleet.Joined(), program.LongPoll.Connections()
		})
		if time.Now().After(end) {
			t.Fatalf("%d joined, %d connections", joined, conns)
		}
	}
}

// Memory of a parked poll: what the coordinator keeps for it, the client's end in the same process among it.
func BenchmarkParkedPoll(b *testing.B) {
	const n = 2000
	program, s, base := listen(b, testConfig(12, n, 14883))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conns := make([]net.Conn, n)
	for i := range conns {
		c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			b.Fatal(err)
		}
		conns[i] = c
		_, _ = fmt.Fprintf(c, "GET /v1/proxies/p%d/tables?wait=50 HTTP/1.1\r\nHost: x\r\n\r\n", i)
	}
	for i, c := range conns {
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode != 200 {
			b.Fatalf("%v %v", r, err)
		}
		var t delta.Tables
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			b.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "GET /v1/proxies/p%d/tables?wait=50&epoch=%s&version=%d HTTP/1.1\r\nHost: x\r\n\r\n", i, t.Epoch, t.Version)
	}
	parked := 0
	for end := time.Now().Add(20 * time.Second); parked < n; time.Sleep(time.Millisecond) {
		if s.Do(func(float64) { parked, _ = program.LongPoll.LongPoll.Parked() }); time.Now().After(end) {
			b.Fatalf("%d of %d polls wait", parked, n)
		}
	}
	for b.Loop() {
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/n, "B/poll")
	for _, c := range conns {
		_ = c.Close()
	}
}

// From a decision until all proxies are known to hold it: proxies that ask, each over its own connection, against relays
// on SASP that the kernel's word is taken for, on the same machine in one run.
func BenchmarkDecisionToAcknowledged(b *testing.B) {
	for _, n := range []int{460, 5000} {
		for i, front := range []string{"sasp", "http"} {
			b.Run(fmt.Sprintf("%s/%d", front, n), func(b *testing.B) {
				set := testConfig(200, n, 14884)
				set.Site.Limits.MinRoundInterval = 0
				set.SASP = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 14885)
				program, s, base := listen(b, set)
				for k := range n {
					if i == 0 {
						go runRelay(set.SASP.String(), fmt.Sprint("p", k))
					} else {
						go runPollingProxy(strings.TrimPrefix(base, "http://"), fmt.Sprint("p", k))
					}
				}
				holding := func() (h int) { s.Do(func(float64) { h = program.Fleet.UpToDate() }); return h }
				all := func() {
					for end := time.Now().Add(5 * time.Second); holding() < n; time.Sleep(200 * time.Microsecond) {
						if time.Now().After(end) {
							b.Fatalf("%d of %d hold the tables", holding(), n)
						}
					}
				}
				all()
				next := 0
				for b.Loop() {
					next++
					s.Do(func(now float64) {
						program.Fleet.Registry.SetDrain(now, serverName(next%199), true)
						program.TimerFired(now, 0)
					})
					all()
				}
			})
		}
	}
}

func runRelay(at, uid string) {
	c, err := net.Dial("tcp", at)
	if err != nil {
		return
	}
	b := sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, ID: 1, UID: []byte(uid), Flags: sasp.Push | sasp.Trust | sasp.NoChange})
	_, _ = c.Write(sasp.Append(b, &sasp.Message{Kind: sasp.Registration, ID: 2, LB: 1,
		Groups: []sasp.Group{{UID: []byte(uid), Name: []byte("search")}}}))
	_, _ = io.Copy(io.Discard, c)
}

func runPollingProxy(at, uid string) {
	c, err := net.Dial("tcp", at)
	if err != nil {
		return
	}
	r, version := bufio.NewReaderSize(c, 1024), ""
	for {
		if _, err := fmt.Fprintf(c, "GET /v1/proxies/%s/tables?wait=50%s HTTP/1.1\r\nHost: x\r\nAccept: application/cbor\r\n\r\n", uid, version); err != nil {
			return
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		var t delta.Tables
		if resp.StatusCode == 200 && delta.Decode(body, delta.CBOR, &t) == nil {
			version = fmt.Sprintf("&epoch=%s&version=%d", t.Epoch, t.Version)
		}
	}
}
