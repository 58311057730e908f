package service

import (
	"bufio"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"snowquay/internal/golden"
	"snowquay/internal/settings"
	"snowquay/internal/wire/graphite"
)

// A coordinator over sockets sends its figures to a receiver that comes late, goes, and comes back.
func TestFiguresAreSent(t *testing.T) {
	text, err := os.ReadFile("../../docs/example.xml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := settings.ParseCoordinator("example.xml", []byte(strings.NewReplacer(":3860", ":15861", ":25826", ":15862", ":9464", ":15863", "snowquay.db",
		filepath.Join(t.TempDir(), "roll.db"), `<zone name="north"/>`, `<graphite address="127.0.0.1:15864" prefix="sq" every="0.2"/><zone name="north"/>`).Replace(string(text))))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(c.String(), "figures to 127.0.0.1:15864 each 0.2 s") {
		t.Error(c)
	}
	s := serveOne(c)
	defer s.end(t)
	eventually(t, "it does not run", func() bool { c, err := net.Dial("tcp", "127.0.0.1:15861"); return err == nil && c.Close() == nil })
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:15864")
		if err != nil {
			t.Fatal(err)
		}
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		seen := map[string]bool{} // servers have three each, the fleet seven
		in := bufio.NewScanner(conn)
		for len(seen) < 19 && in.Scan() {
			x, err := graphite.Parse(in.Bytes())
			if err != nil {
				t.Fatal(err)
			}
			seen[x.Path] = true
		}
		if !seen["sq.fleet.joined"] || !seen["sq.servers.___1__8080.serves"] {
			t.Error(seen)
		}
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if text := get(t, "http://127.0.0.1:15863/metrics"); !strings.Contains(text, "snowquay_graphite_samples_total") {
		t.Error(text)
	}
	golden.Bytes(t, "metrics-graphite.txt", metricNames(get(t, "http://127.0.0.1:15863/metrics")))
}
