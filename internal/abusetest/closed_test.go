package abusetest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// maxHandledAfterClose is the number of requests of one connection that may be handled after its client has closed it: the one that is
// being handled, and the one whose answer shows that nobody reads it.
const maxHandledAfterClose = 2

// closeWithPipelined sends all requests at once on a connection and closes it. The reset variant closes it by a reset.
func closeWithPipelined(t *testing.T, address string, requests []byte, reset bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(requests); err != nil {
		t.Fatal(err)
	}
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// fetch returns the body of the response to a GET request with an administrator's key.
func fetch(t *testing.T, address, path string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+staffKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, error %v", response.StatusCode, err)
	}
	return string(body)
}

// Guards against orders of an administrator that are carried out after the connection they came on has been closed.
func TestAdministrationHandlesNothingOfAClosedConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			_, at := startCoordinator(t)
			awaitLease(t, at)
			var requests []byte
			const orders = 30 // within the caller's share of calls
			for i := range orders {
				body := fmt.Sprintf(`{"server":"[::1]:8080","on":%v,"force":true}`, i%2 == 0)
				requests = fmt.Appendf(requests, "POST /v1/drains HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
					staffKey, len(body), body)
			}
			closeWithPipelined(t, at.admin, requests, reset)
			atClose := strings.Count(fetch(t, at.admin, "/v1/audit"), `"of"`)
			time.Sleep(settleTime)
			handled := strings.Count(fetch(t, at.admin, "/v1/audit"), `"of"`)
			t.Logf("%d of %d orders were carried out, %d of them when the connection had been closed", handled, orders, handled-atClose)
			if handled-atClose > maxHandledAfterClose {
				t.Errorf("%d orders were carried out after the connection had been closed, want at most %d", handled-atClose, maxHandledAfterClose)
			}
		})
	}
}

// awaitLease waits until the coordinator may order drains.
func awaitLease(t *testing.T, at coordinatorAddresses) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if strings.Contains(fetch(t, at.metrics, "/metrics"), "\nsnowquay_group_lease 1\n") {
			return
		}
	}
	t.Fatal("the coordinator holds no lease")
}

// Guards against polls of a client that are served after it has closed its connection.
func TestServeHandlesNothingOfAClosedConnection(t *testing.T) {
	_, at := startCoordinator(t)
	awaitLease(t, at)
	const polls = 200
	var requests bytes.Buffer
	for i := range polls {
		fmt.Fprintf(&requests, "GET /v1/proxies/new-%d/tables?wait=5 HTTP/1.1\r\nHost: x\r\n\r\n", i)
	}
	closeWithPipelined(t, at.http, requests.Bytes(), false)
	time.Sleep(settleTime)
	metrics := fetch(t, at.metrics, "/metrics")
	_, rest, _ := strings.Cut(metrics, "\nsnowquay_polls_total ")
	count, _, _ := strings.Cut(rest, "\n")
	t.Logf("%s of %d polls were handled", count, polls)
	if strings.Contains(metrics, "\nsnowquay_polls_parked 1") {
		t.Error("a poll of a closed connection is parked")
	}
}
