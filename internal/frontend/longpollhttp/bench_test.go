package longpollhttp_test

import (
	"bufio"
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

	"snowquay/internal/wire/delta"
	"snowquay/internal/wire/sasp"
)

// BenchmarkParkedPoll measures the memory of a parked poll, including the client's end in the same process.
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
		s.Do(func(float64) { parked, _ = program.LongPoll.Polls.Parked() })
		if time.Now().After(end) {
			b.Fatalf("%d of %d polls are parked", parked, n)
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

// BenchmarkDecisionToAcknowledged measures the time from a decision until all proxies have acknowledged it: proxies that
// poll, each over its own connection, against SASP relays whose host acknowledges, on the same machine in one run.
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
	r := bufio.NewReaderSize(c, 1024)
	version := ""
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
