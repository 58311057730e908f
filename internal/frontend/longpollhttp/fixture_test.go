package longpollhttp_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/frontend/longpollhttp"
	"snowquay/internal/wire/delta"
)

func testConfig(servers, proxies int, port uint16) coordinator.Config {
	site := controlplane.Site{Seed: 1, ClassNames: []string{"search"}, Zones: []string{"a"}, AllowUnlisted: true,
		Classes:    []balancer.RequestClass{{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3}},
		DataPlane:  balancer.DataPlane{Proxies: proxies, Coordinators: 1, DefaultRetry: balancer.RetryIfNotExecuted, Admission: balancer.AdmissionFraction},
		Channel:    balancer.Channel{EntriesPerSecond: 1e7, MessageOverhead: 3, MaxQueued: 2e7, MeanDelay: 0.01, MaxDelay: 0.2},
		Guarantees: balancer.Guarantees{DrainDeadline: 30, EmptyTableDeadline: 2, WarmupStartFraction: 0.2, WarmupDuration: 10, OverloadFactor: 3, OverloadWindow: 2},
		Reporting:  balancer.Reporting{Period: 0.5}, Limits: controlplane.DefaultLimits, DisabledGuards: map[controlplane.Guard]bool{}}
	for i := range servers {
		site.Servers = append(site.Servers, registry.ServerConfig{Server: serverName(i), Weight: 1, Static: true})
	}
	limits := longpoll.DefaultLimits
	limits.JoinRate = 1e6
	limits.JoinBurst = 1e6
	return coordinator.Config{Site: site, Limits: saspsession.DefaultLimits, Policy: saspsession.Policy{FleetUID: "fleet"}, LongPollHTTPLimits: longpollhttp.DefaultLimits,
		LongPollLimits: limits, HTTP: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}
}

func serverName(i int) balancer.Server {
	return balancer.Server(fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255))
}

func listen(t testing.TB, config coordinator.Config) (*coordinator.Coordinator, *eventloop.Server, string) {
	clock := eventloop.Clock()
	program, err := coordinator.New(clock(), config, nil)
	if err != nil {
		t.Fatal(err)
	}
	server, err := eventloop.Listen(program, config.ListenAddresses(), config.HTTP, clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.Stop(); err != nil {
			t.Error(err)
		}
	})
	return program, server, "http://" + config.HTTP.String()
}

// apiClient sends requests and validates the responses against the OpenAPI description.
type apiClient struct {
	t      *testing.T
	router routers.Router
	base   string
}

func (client apiClient) do(method, path, accept string) (*http.Response, []byte) {
	client.t.Helper()
	request, err := http.NewRequest(method, client.base+path, nil)
	if err != nil {
		client.t.Fatal(err)
	}
	if accept != "" {
		request.Header.Set("Accept", accept)
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		client.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		client.t.Fatal(err)
	}
	route, params, err := client.router.FindRoute(request)
	if err != nil {
		return resp, body // not in the description: 404 and 405
	}
	document := body
	if resp.Header.Get("Content-Type") == delta.CBOR { // validated as JSON, since the structure is the same
		var decoded any
		if err := cbor.Unmarshal(body, &decoded); err != nil {
			client.t.Fatal(err)
		}
		var tables delta.Tables
		if err := delta.Decode(body, delta.CBOR, &tables); err != nil {
			client.t.Fatal(err)
		}
		document, _ = json.Marshal(tables)
		resp.Header.Set("Content-Type", delta.JSON)
	}
	err = openapi3filter.ValidateResponse(context.Background(), &openapi3filter.ResponseValidationInput{
		RequestValidationInput: &openapi3filter.RequestValidationInput{Request: request, PathParams: params, Route: route},
		Status:                 resp.StatusCode, Header: resp.Header, Body: io.NopCloser(bytes.NewReader(document)),
		Options: &openapi3filter.Options{IncludeResponseStatus: true}})
	if err != nil {
		client.t.Errorf("%s %s: the response does not match the OpenAPI description: %v\n%s", method, path, err, document)
	}
	return resp, body
}

// exchangeRaw sends the parts one by one and returns what it receives until the connection is closed or the read times
// out.
func exchangeRaw(t *testing.T, base string, parts ...string) string {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for _, part := range parts {
		if _, err := conn.Write([]byte(part)); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if err := conn.SetReadDeadline(time.Now().Add(700 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	received, _ := io.ReadAll(conn) // the deadline ends the read if the connection stays open
	return string(received)
}
