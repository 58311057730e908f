package service

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"snowquay/internal/golden"
	"snowquay/internal/settings"
)

// backends starts n servers that respond with their index. It returns their addresses and a function that returns the
// number of requests that each has received.
func backends(t testing.TB, n int) (at []string, hits func() []int64) {
	var mu sync.Mutex
	counts := make([]int64, n)
	for i := range n {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			counts[i]++
			mu.Unlock()
			_, _ = fmt.Fprintf(w, "server %d got %s", i, r.URL.Path)
		}))
		t.Cleanup(s.Close)
		at = append(at, strings.TrimPrefix(s.URL, "http://"))
	}
	return at, func() []int64 {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(counts)
	}
}

// A proxy applies the weights that a coordinator publishes, and continues with them after the coordinator has stopped.
func TestServeProxy(t *testing.T) {
	at, hits := backends(t, 3)
	dir := t.TempDir()
	text := readFile(t, "../../docs/example.xml")
	for i, old := range []string{"127.0.1.1:8080", "127.0.1.2:8080", "127.0.1.3:8080"} {
		text = strings.Replace(text, `address="`+old+`"`, `standing="true" address="`+at[i]+`"`, 1)
	}
	text = strings.Replace(text, `<server address="[::1]:8080" zone="south" pod="1" standing="true"/>`, "", 1)
	coordinator := startCoordinator(parseCoordinator(t, strings.NewReplacer(":3860", `:15810" http="127.0.0.1:15811`, ":25826", ":15812",
		":9464", ":15813", "snowquay.db", filepath.Join(dir, "roll.db")).Replace(text)))
	text = strings.NewReplacer(":8000", ":15814", ":9465", ":15815", ":8600", ":15811", "25826", "15812", "relay-1.table",
		filepath.Join(dir, "table"), "127.0.1.1:8080", at[0], "127.0.1.2:8080", at[1], "127.0.1.3:8080", at[2]).
		Replace(readFile(t, "../../docs/example-proxy.xml"))
	config, err := settings.ParseProxy("example-proxy.xml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	proxy := startProxy(config)
	eventually(t, "the proxy has no coordinator or no table", func() bool {
		r, err := http.Get("http://127.0.0.1:15815/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = r.Body.Close() }()
		b, _ := io.ReadAll(r.Body)
		return strings.Contains(string(b), "snowquay_proxy_led 1") && !strings.Contains(string(b), "snowquay_proxy_tables_total 0")
	})
	for range 90 {
		if got := get(t, "http://127.0.0.1:15814/search/a"); !strings.Contains(got, "got /search/a") {
			t.Fatal(got)
		}
	}
	for i, n := range hits() {
		if n < 5 {
			t.Errorf("server %d got %d of 90 requests, want at least 5", i, n)
		}
	}
	eventually(t, "no valid measurement reaches the coordinator", func() bool {
		figures := get(t, "http://127.0.0.1:15813/metrics")
		return strings.Contains(figures, "snowquay_relays_holding 1") && !strings.Contains(figures, "snowquay_measurements_total 0") &&
			strings.Contains(figures, "snowquay_measurements_garbled_total 0")
	})
	golden.Bytes(t, "metrics-proxy.txt", metricNames(get(t, "http://127.0.0.1:15815/metrics")))
	coordinator.end(t)
	if got := get(t, "http://127.0.0.1:15814/search/b"); !strings.Contains(got, "got /search/b") {
		t.Error("the proxy does not forward requests without its coordinator")
	}
	eventually(t, "the proxy saves no snapshot", func() bool { _, err := os.Stat(filepath.Join(dir, "table")); return err == nil })
	proxy.end(t)
}

// load sends requests on several connections. It returns the sorted durations of all requests, and the total duration.
func load(b testing.TB, address string, conns, perConn int) (times []time.Duration, elapsed time.Duration) {
	var mu sync.Mutex
	var group sync.WaitGroup
	begin := time.Now()
	for range conns {
		group.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Error(err)
				return
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			durations := make([]time.Duration, 0, perConn)
			for range perConn {
				sentAt := time.Now()
				if _, err := io.WriteString(c, "GET /search HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
					b.Error(err)
					return
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Error(err)
					return
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != 200 {
					b.Error(err, resp.StatusCode)
					return
				}
				durations = append(durations, time.Since(sentAt))
			}
			mu.Lock()
			times = append(times, durations...)
			mu.Unlock()
		})
	}
	group.Wait()
	elapsed = time.Since(begin)
	slices.Sort(times)
	return times, elapsed
}

// BenchmarkProxy compares this proxy with the standard library's reverse proxy, which selects servers at random, and
// with direct connections to a server, on the same servers.
func BenchmarkProxy(b *testing.B) {
	at, _ := backends(b, 8)
	var list strings.Builder
	for i, a := range at {
		fmt.Fprintf(&list, `<server address="%s" zone="a" pod="%d" standing="true"/>`, a, i)
	}
	config, err := settings.ParseProxy("x.xml", []byte(`<proxy uid="p"><listen clients="127.0.0.1:15820"/><zone name="a"/><route path="/" class="search"/>`+
		`<class name="search" benefit="1" goal-time="5" client-timeout="9" effect="free"/>`+list.String()+`</proxy>`))
	if err != nil {
		b.Fatal(err)
	}
	proxy := startProxy(config)
	transport := &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: 1000}
	plain := httptest.NewServer(&httputil.ReverseProxy{Transport: transport, Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(&url.URL{Scheme: "http", Host: at[rand.IntN(len(at))]})
	}})
	defer plain.Close()
	time.Sleep(200 * time.Millisecond)
	for _, conns := range []int{1, 32, 256} {
		for _, x := range []struct{ name, at string }{{"none", at[0]}, {"ours", "127.0.0.1:15820"}, {"plain", strings.TrimPrefix(plain.URL, "http://")}} {
			b.Run(fmt.Sprintf("%s/%d-connections", x.name, conns), func(b *testing.B) {
				load(b, x.at, conns, 20)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				var times []time.Duration
				var took time.Duration
				n := 0
				for b.Loop() {
					t, d := load(b, x.at, conns, max(20000/conns/4, 20))
					times, took, n = append(times, t...), took+d, n+len(t)
				}
				runtime.ReadMemStats(&after)
				slices.Sort(times)
				b.ReportMetric(float64(n)/took.Seconds(), "queries/s")
				for _, q := range []float64{0.5, 0.99, 0.999} {
					b.ReportMetric(float64(times[int(q*float64(len(times)-1))].Microseconds()), fmt.Sprintf("us-p%g", q*100))
				}
				b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(n), "allocs/query-of-all")
			})
		}
	}
	proxy.end(b)
}

// BenchmarkIdleConnections measures the memory of an idle connection on which one request was answered.
func BenchmarkIdleConnections(b *testing.B) {
	at, _ := backends(b, 1)
	config, err := settings.ParseProxy("x.xml", []byte(`<proxy uid="p"><listen clients="127.0.0.1:15830"/><zone name="a"/><route path="/" class="search"/>`+
		`<class name="search" benefit="1" goal-time="5" client-timeout="9" effect="free"/><server address="`+at[0]+`" zone="a" standing="true"/></proxy>`))
	if err != nil {
		b.Fatal(err)
	}
	proxy := startProxy(config)
	time.Sleep(200 * time.Millisecond)
	for b.Loop() {
		const n = 5000
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		conns := make([]net.Conn, n)
		buf := make([]byte, 1024)
		for i := range conns {
			if conns[i], err = net.Dial("tcp", "127.0.0.1:15830"); err != nil {
				b.Fatal(err)
			}
			if _, err := io.WriteString(conns[i], "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				b.Fatal(err)
			}
			if _, err := conns[i].Read(buf); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/n, "B/connection-both-ends")
		for _, c := range conns {
			_ = c.Close()
		}
	}
	proxy.end(b)
}
