package service

import (
	"encoding/json"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"snowquay/internal/golden"
	"snowquay/internal/wire/sasp"
)

// dialEventually dials an address until it accepts a connection.
func dialEventually(t *testing.T, address string) net.Conn {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

// A coordinator with the example settings serves a proxy, its metrics and its message traces, and stops on a signal.
func TestServe(t *testing.T) {
	store := filepath.Join(t.TempDir(), "roll.db")
	config := parseExample(t, ":3860", ":14870", ":25826", ":14871", ":9464", ":14872", "snowquay.db", store)
	coordinator := startCoordinator(config)
	_ = dialEventually(t, "127.0.0.1:14872").Close() // metrics are served last, so all other ports are open by now
	proxy := dialEventually(t, config.SASP.String())
	defer func() { _ = proxy.Close() }()
	b := sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("relay-1"), Flags: sasp.Push | sasp.Trust})
	b = sasp.Append(b, &sasp.Message{Kind: sasp.Registration, LB: 1,
		Groups: []sasp.Group{{UID: []byte("relay-1"), Name: []byte("search")}}})
	if _, err := proxy.Write(b); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		metrics := get(t, "http://127.0.0.1:14872/metrics")
		if strings.Contains(metrics, "snowquay_relays_holding 1") && strings.Contains(metrics, `held_seconds_count{urgent="no"} 1`) {
			break
		}
		if time.Now().After(end) {
			t.Fatal(metrics)
		}
	}
	golden.Bytes(t, "metrics-coordinator.txt", metricNames(get(t, "http://127.0.0.1:14872/metrics")))
	var orders []map[string]any
	if err := json.Unmarshal([]byte(get(t, "http://127.0.0.1:14872/orders?relay=relay-1")), &orders); err != nil {
		t.Fatal(err)
	}
	if len(orders) != 1 || orders[0]["held"] != true || orders[0]["facts.streams"] != 1.0 || orders[0]["trace"] == "" {
		t.Errorf("message traces %v, want one that is acknowledged, caused by one proxy event and has a trace ID", orders)
	}
	golden.Bytes(t, "order-keys.txt", []byte(strings.Join(slices.Sorted(maps.Keys(orders[0])), "\n")+"\n"))
	if other := get(t, "http://127.0.0.1:14872/orders?relay=x"); strings.TrimSpace(other) != "[]" {
		t.Errorf("message traces of an unknown proxy: %s, want none", other)
	}
	coordinator.end(t)
	if _, err := os.Stat(store); err != nil {
		t.Error(err)
	}
}
