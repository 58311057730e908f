package eventloop

import (
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"snowquay/internal/wire/sasp"
)

// dialMany connects n proxies, which read all data and count the bytes.
func dialMany(b testing.TB, address string, n int) (conns []net.Conn, bytes *atomic.Int64) {
	bytes = &atomic.Int64{}
	for i := range n {
		conn := dial(b, address, fmt.Sprintf("r%d", i))
		conns = append(conns, conn)
		go func() {
			buffer := make([]byte, 4096)
			for {
				n, err := conn.Read(buffer)
				bytes.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
	}
	return conns, bytes
}

// BenchmarkDecisionToLastRelay measures the time from the decision on a drain until the last proxy has read it. For comparison, it
// also measures the time in which one goroutine writes the same bytes to as many sockets.
func BenchmarkDecisionToLastRelay(b *testing.B) {
	for _, n := range []int{460, 5000} {
		servers := 200
		minBytes := func() int64 {
			m := sasp.Message{Kind: sasp.SendWeights, Groups: []sasp.Group{{UID: []byte("r1"), Name: []byte("search"), To: 1}},
				Rows: make([]sasp.Row, 1)}
			return int64(n) * int64(len(sasp.Append(nil, &m)))
		}()
		b.Run(fmt.Sprintf("coordinator/%d", n), func(b *testing.B) {
			config := testConfig(servers, n)
			config.Site.Limits.MinRoundInterval = 0
			program, s, address := listen(b, config, 14862)
			conns, bytes := dialMany(b, address, n)
			defer closeAll(conns)
			upToDate := func() (count int) { s.Do(func(float64) { count = program.Fleet.UpToDate() }); return count }
			waitFor(b, "all proxies to join", func() bool { return upToDate() == n })
			next := 0
			for b.Loop() {
				b.StopTimer()
				waitFor(b, "all proxies to be up to date", func() bool { return upToDate() == n })
				if next++; next >= servers-1 {
					b.Fatal("there is no further server to drain")
				}
				before := bytes.Load()
				b.StartTimer()
				s.Do(func(now float64) {
					program.Fleet.Registry.SetDrain(now, program.Fleet.Registry.Servers()[next], true)
					program.TimerFired(now, 0)
				})
				for bytes.Load() < before+minBytes {
					time.Sleep(50 * time.Microsecond)
				}
			}
		})
		b.Run(fmt.Sprintf("raw/%d", n), func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:14863")
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			accepted := make(chan net.Conn, n)
			go func() {
				for {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					accepted <- c
				}
			}()
			conns, bytes := dialMany(b, listener.Addr().String(), n)
			defer closeAll(conns)
			var ends []net.Conn
			for range n {
				ends = append(ends, <-accepted)
			}
			defer closeAll(ends)
			message := make([]byte, minBytes/int64(n))
			for b.Loop() {
				before := bytes.Load()
				for _, c := range ends {
					if _, err := c.Write(message); err != nil {
						b.Fatal(err)
					}
				}
				for bytes.Load() < before+minBytes {
					time.Sleep(50 * time.Microsecond)
				}
			}
		})
	}
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// BenchmarkIdleRelayMemory measures the memory that an idle proxy takes in the coordinator's process, without kernel memory.
func BenchmarkIdleRelayMemory(b *testing.B) {
	const n = 2000
	program, s, address := listen(b, testConfig(300, n), 14864)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conns := make([]net.Conn, n)
	for i := range conns {
		conns[i] = dial(b, address, fmt.Sprintf("r%d", i)) // the proxy reads nothing: tables of 300 entries fit into the receive buffer of its host
	}
	defer closeAll(conns)
	waitFor(b, "all proxies to be up to date", func() bool { count := 0; s.Do(func(float64) { count = program.Fleet.UpToDate() }); return count == n })
	for b.Loop() {
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/n, "B/relay")
}
