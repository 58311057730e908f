package service

import (
	"bufio"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"snowquay/internal/golden"
	"snowquay/internal/wire/graphite"
)

// A coordinator sends its metrics to a Graphite server that starts late, disconnects, and is reachable again.
func TestMetricsAreSentToGraphite(t *testing.T) {
	config := parseExample(t, ":3860", ":15861", ":25826", ":15862", ":9464", ":15863", "snowquay.db", filepath.Join(t.TempDir(), "roll.db"),
		`<zone name="north"/>`, `<graphite address="127.0.0.1:15864" prefix="sq" every="0.2"/><zone name="north"/>`)
	if !strings.Contains(config.String(), "figures to 127.0.0.1:15864 each 0.2 s") {
		t.Error(config)
	}
	coordinator := startCoordinator(config)
	defer coordinator.end(t)
	eventually(t, "the coordinator does not accept connections", func() bool {
		conn, err := net.Dial("tcp", "127.0.0.1:15861")
		return err == nil && conn.Close() == nil
	})
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:15864")
		if err != nil {
			t.Fatal(err)
		}
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		seen := map[string]bool{} // by path: three series of each server, seven of the fleet
		lines := bufio.NewScanner(conn)
		for len(seen) < 19 && lines.Scan() {
			sample, err := graphite.Parse(lines.Bytes())
			if err != nil {
				t.Fatal(err)
			}
			seen[sample.Path] = true
		}
		if !seen["sq.fleet.joined"] || !seen["sq.servers.___1__8080.serves"] {
			t.Error(seen)
		}
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if text := get(t, "http://127.0.0.1:15863/metrics"); !strings.Contains(text, "snowquay_graphite_samples_total") {
		t.Error(text)
	}
	golden.Bytes(t, "metrics-graphite.txt", metricNames(get(t, "http://127.0.0.1:15863/metrics")))
}
