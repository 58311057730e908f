package service

import (
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"snowquay/internal/golden"
	"snowquay/internal/settings"
	"snowquay/internal/wire/sasp"
)

func get(t *testing.T, url string) string {
	t.Helper()
	r, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// metricNames are the names, types and help texts in what a server of figures answers, without the runtime's own.
func metricNames(figures string) []byte {
	var names []byte
	for line := range strings.Lines(figures) {
		if strings.HasPrefix(line, "# ") && strings.Contains(line, " snowquay_") {
			names = append(names, line...)
		}
	}
	return names
}

// The example's coordinator runs, serves a relay, tells its figures and why it gave an order, and ends on a signal.
func TestServe(t *testing.T) {
	text, err := os.ReadFile("../../docs/example.xml")
	if err != nil {
		t.Fatal(err)
	}
	store := filepath.Join(t.TempDir(), "roll.db")
	c, err := settings.ParseCoordinator("example.xml", []byte(strings.NewReplacer(":3860", ":14870", ":25826", ":14871",
		":9464", ":14872", "snowquay.db", store).Replace(string(text))))
	if err != nil {
		t.Fatal(err)
	}
	stop, done := make(chan os.Signal, 1), make(chan error, 1)
	go func() { done <- Serve(c, slog.New(slog.DiscardHandler), stop) }()
	dial := func(at string) (c net.Conn) {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			if c, err = net.Dial("tcp", at); err == nil {
				return c
			} else if time.Now().After(end) {
				t.Fatal(err)
			}
		}
	}
	_ = dial("127.0.0.1:14872").Close() // figures are served last: all else is
	relay := dial(c.SASP.String())
	defer func() { _ = relay.Close() }()
	b := sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("relay-1"), Flags: sasp.Push | sasp.Trust})
	b = sasp.Append(b, &sasp.Message{Kind: sasp.Registration, LB: 1,
		Groups: []sasp.Group{{UID: []byte("relay-1"), Name: []byte("search")}}})
	if _, err := relay.Write(b); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		figures := get(t, "http://127.0.0.1:14872/metrics")
		if strings.Contains(figures, "snowquay_relays_holding 1") && strings.Contains(figures, `held_seconds_count{urgent="no"} 1`) {
			break
		} else if time.Now().After(end) {
			t.Fatal(figures)
		}
	}
	golden.Bytes(t, "metrics-coordinator.txt", metricNames(get(t, "http://127.0.0.1:14872/metrics")))
	var orders []map[string]any
	if err := json.Unmarshal([]byte(get(t, "http://127.0.0.1:14872/orders?relay=relay-1")), &orders); err != nil {
		t.Fatal(err)
	}
	if len(orders) != 1 || orders[0]["held"] != true || orders[0]["facts.streams"] != 1.0 || orders[0]["trace"] == "" {
		t.Errorf("%v", orders)
	}
	golden.Bytes(t, "order-keys.txt", []byte(strings.Join(slices.Sorted(maps.Keys(orders[0])), "\n")+"\n"))
	if other := get(t, "http://127.0.0.1:14872/orders?relay=x"); strings.TrimSpace(other) != "[]" {
		t.Errorf("orders of nobody: %s", other)
	}
	stop <- os.Interrupt
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(store); err != nil {
		t.Error(err)
	}
}
