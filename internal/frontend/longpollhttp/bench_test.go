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

// BenchmarkParkedPoll measures the memory of a parked poll, including that of the client, which runs in the same
// process.
func BenchmarkParkedPoll(b *testing.B) {
	const n = 2000
	program, s, base := listen(b, testConfig(12, n, 14883))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conns := make([]net.Conn, n)
	for i := range conns {
		conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			b.Fatal(err)
		}
		conns[i] = conn
		_, _ = fmt.Fprintf(conn, "GET /v1/proxies/p%d/tables?wait=50 HTTP/1.1\r\nHost: x\r\n\r\n", i)
	}
	for i, conn := range conns {
		reply, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || reply.StatusCode != 200 {
			b.Fatalf("response %v, error %v", reply, err)
		}
		var first delta.Tables
		if err := json.NewDecoder(reply.Body).Decode(&first); err != nil {
			b.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "GET /v1/proxies/p%d/tables?wait=50&epoch=%s&version=%d HTTP/1.1\r\nHost: x\r\n\r\n", i, first.Epoch, first.Version)
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
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// BenchmarkDecisionToAcknowledged measures the time from a decision until all proxies have acknowledged it. It compares
// long-polling proxies, each with its own connection, and SASP relays, whose hosts acknowledge data by TCP. Both run on
// the same machine in one run.
func BenchmarkDecisionToAcknowledged(b *testing.B) {
	for _, n := range []int{460, 5000} {
		for i, protocol := range []string{"sasp", "http"} {
			b.Run(fmt.Sprintf("%s/%d", protocol, n), func(b *testing.B) {
				config := testConfig(200, n, 14884)
				config.Site.Limits.MinRoundInterval = 0
				config.SASP = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 14885)
				program, s, base := listen(b, config)
				for k := range n {
					if i == 0 {
						go runRelay(config.SASP.String(), fmt.Sprint("p", k))
					} else {
						go runPollingProxy(strings.TrimPrefix(base, "http://"), fmt.Sprint("p", k))
					}
				}
				upToDate := func() (count int) { s.Do(func(float64) { count = program.Fleet.UpToDate() }); return count }
				awaitAll := func() {
					for end := time.Now().Add(5 * time.Second); upToDate() < n; time.Sleep(200 * time.Microsecond) {
						if time.Now().After(end) {
							b.Fatalf("%d of %d proxies are up to date", upToDate(), n)
						}
					}
				}
				awaitAll()
				next := 0
				for b.Loop() {
					next++
					s.Do(func(now float64) {
						program.Fleet.Registry.SetDrain(now, serverName(next%199), true)
						program.TimerFired(now, 0)
					})
					awaitAll()
				}
			})
		}
	}
}

func runRelay(address, uid string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	messages := sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, ID: 1, UID: []byte(uid), Flags: sasp.Push | sasp.Trust | sasp.NoChange})
	_, _ = conn.Write(sasp.Append(messages, &sasp.Message{Kind: sasp.Registration, ID: 2, LB: 1,
		Groups: []sasp.Group{{UID: []byte(uid), Name: []byte("search")}}}))
	_, _ = io.Copy(io.Discard, conn)
}

func runPollingProxy(address, uid string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	reader := bufio.NewReaderSize(conn, 1024)
	version := ""
	for {
		if _, err := fmt.Fprintf(conn, "GET /v1/proxies/%s/tables?wait=50%s HTTP/1.1\r\nHost: x\r\nAccept: application/cbor\r\n\r\n", uid, version); err != nil {
			return
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		var polled delta.Tables
		if resp.StatusCode == 200 && delta.Decode(body, delta.CBOR, &polled) == nil {
			version = fmt.Sprintf("&epoch=%s&version=%d", polled.Epoch, polled.Version)
		}
	}
}
