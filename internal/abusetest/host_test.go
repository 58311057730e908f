package abusetest

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"snowquay/internal/testaddress"
)

const operatorKey = "change-this-key-of-the-host"

// startHost starts a host with one tenant.
func startHost(t *testing.T) (*process, coordinatorAddresses) {
	t.Helper()
	return startLimitedHost(t, descriptors)
}

// startLimitedHost is startHost with a limit on file descriptors.
func startLimitedHost(t *testing.T, descriptors int) (*process, coordinatorAddresses) {
	t.Helper()
	at := coordinatorAddresses{sasp: testaddress.Next().String(), http: testaddress.Next().String(), metrics: testaddress.Next().String(), admin: testaddress.Next().String(),
		measurements: testaddress.Next().String()}
	example, err := os.ReadFile("../../docs/example-host.xml")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("127.0.0.1:3860", at.sasp, "127.0.0.1:8600", at.http, "127.0.0.1:25826", at.measurements,
		"127.0.0.1:9464", at.metrics, "127.0.0.1:8601", at.admin, "tenants.db", t.TempDir()+"/tenants.db").Replace(string(example))
	ready := allReady(newHTTP(at.metrics, "/metrics", http.StatusOK), newHTTP(at.admin, "/openapi.json", http.StatusOK))
	p := startLimited(t, descriptors, nil, ready, "host", writeFile(t, "host.xml", text))
	putTenant(t, at.admin)
	return p, at
}

// putTenant creates a tenant and waits until it serves polls.
func putTenant(t *testing.T, admin string) {
	t.Helper()
	settings, err := os.ReadFile("../../docs/example-tenant.xml")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+admin+"/v1/tenants/first", strings.NewReader(string(settings)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	request.Header.Set("Content-Type", "application/xml")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusCreated && response.StatusCode != http.StatusOK {
		t.Fatalf("the tenant was not created: %s: %s", response.Status, text)
	}
}

// hostCases are the cases of a host that is in no group.
func hostCases() map[string]func(coordinatorAddresses) abuse {
	cases := coordinatorCases("first/", operatorKey)
	maps.DeleteFunc(cases, func(name string, _ func(coordinatorAddresses) abuse) bool { return strings.HasPrefix(name, "peers") })
	return cases
}

// Guards against a host of many tenants that exceeds its memory limit, or leaves other clients without an answer.
func TestHost(t *testing.T) {
	inOrder(t, hostCases(), func(t *testing.T, name string, clients func(coordinatorAddresses) abuse) {
		p, at := startHost(t)
		path := "/v1/proxies/first%2Frelay-1/tables?wait=0"
		awaitStatus(t, at.http, path)
		probes := newHTTP(at.http, path, http.StatusOK, http.StatusTooManyRequests) // both are answers of the tenant
		switch {
		case strings.HasPrefix(name, "administration"):
			probes = bothProbes(probes, newHTTP(at.admin, "/openapi.json", http.StatusOK))
		case strings.HasPrefix(name, "metrics"):
			probes = bothProbes(probes, newHTTP(at.metrics, "/metrics", http.StatusOK))
		}
		runAbuse(t, p, probes, clients(at))
	})
}

// awaitStatus waits until a path is answered with 200.
func awaitStatus(t *testing.T, address, path string) {
	t.Helper()
	ready := newHTTP(address, path, http.StatusOK)
	var err error
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if err = ready(); err == nil {
			return
		}
	}
	t.Fatal(fmt.Errorf("the tenant does not answer: %w", err))
}
