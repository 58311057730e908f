package service

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// startLimitedServer starts an HTTP server that answers with the number of a request's fields, and returns its address.
func startLimitedServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, len(r.Header)) })
	server, err := listenHTTP("test", netip.MustParseAddrPort(address), handler, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.abort() })
	return address
}

// Guards against clients that send no complete head and keep others out.
func TestSilentClientsDoNotKeepOthersOut(t *testing.T) {
	address := startLimitedServer(t)
	for range maxHTTPConnections + 100 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\na:b\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	client := http.Client{Timeout: readHeaderTimeout / 2, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address)
	if err != nil {
		t.Fatalf("another client is not answered: %v", err)
	}
	_ = response.Body.Close()
}

// Guards against heads of very many short fields: with hundreds of clients that sent a megabyte of them, a process took gigabytes.
func TestHeadsOfManyFieldsAreRejected(t *testing.T) {
	address := startLimitedServer(t)
	for _, test := range []struct {
		fields int
		want   string
	}{{100, "200 OK"}, {4000, "431"}} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+strings.Repeat("a:b\r\n", test.fields)+"\r\n")
		answer, _ := io.ReadAll(conn)
		if !strings.Contains(string(answer), test.want) {
			t.Errorf("a head of %d fields is answered with %.60q, want %s", test.fields, answer, test.want)
		}
		_ = conn.Close()
	}
}
