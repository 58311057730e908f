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

// dialMany dials as n proxies, which read and count the bytes that they are sent.
func dialMany(b testing.TB, at string, n int) (conns []net.Conn, bytes *atomic.Int64) {
	bytes = &atomic.Int64{}
	for i := range n {
		c := dial(b, at, fmt.Sprintf("r%d", i))
		conns = append(conns, c)
		go func() {
			buf := make([]byte, 4096)
			for {
				n, err := c.Read(buf)
				bytes.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
	}
	return conns, bytes
}

// BenchmarkDecisionToLastRelay measures the time from the decision of a drain until the last proxy has read it; and, for comparison,
// that of writing the same bytes to as many sockets by one goroutine.
func BenchmarkDecisionToLastRelay(b *testing.B) {
	for _, n := range []int{460, 5000} {
		servers := 200
		least := func() int64 {
			m := sasp.Message{Kind: sasp.SendWeights, Groups: []sasp.Group{{UID: []byte("r1"), Name: []byte("search"), To: 1}},
				Rows: make([]sasp.Row, 1)}
			return int64(n) * int64(len(sasp.Append(nil, &m)))
		}()
		b.Run(fmt.Sprintf("coordinator/%d", n), func(b *testing.B) {
			set := setup(servers, n)
			set.Site.Limits.MinRoundInterval = 0
			program, s, at := listen(b, set, 14862)
			conns, bytes := dialMany(b, at, n)
			defer closeAll(conns)
			holding := func() (h int) { s.Do(func(float64) { h = program.Fleet.UpToDate() }); return h }
			until(b, "all joined", func() bool { return holding() == n })
			next := 0
			for b.Loop() {
				b.StopTimer()
				until(b, "all hold the tables", func() bool { return holding() == n })
				if next++; next >= servers-1 {
					b.Fatal("no server is left to drain")
				}
				before := bytes.Load()
				b.StartTimer()
				s.Do(func(now float64) {
					program.Fleet.Registry.SetDrain(now, program.Fleet.Registry.Servers()[next], true)
					program.TimerFired(now, 0)
				})
				for bytes.Load() < before+least {
					time.Sleep(50 * time.Microsecond)
				}
			}
		})
		b.Run(fmt.Sprintf("raw/%d", n), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:14863")
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			accepted := make(chan net.Conn, n)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					accepted <- c
				}
			}()
			conns, bytes := dialMany(b, l.Addr().String(), n)
			defer closeAll(conns)
			var ends []net.Conn
			for range n {
				ends = append(ends, <-accepted)
			}
			defer closeAll(ends)
			part := make([]byte, least/int64(n))
			for b.Loop() {
				before := bytes.Load()
				for _, c := range ends {
					if _, err := c.Write(part); err != nil {
						b.Fatal(err)
					}
				}
				for bytes.Load() < before+least {
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

// BenchmarkIdleRelayMemory measures the memory of an idle proxy at the coordinator, without that of the kernel.
func BenchmarkIdleRelayMemory(b *testing.B) {
	const n = 2000
	program, s, at := listen(b, setup(300, n), 14864)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conns := make([]net.Conn, n)
	for i := range conns {
		conns[i] = dial(b, at, fmt.Sprintf("r%d", i)) // it reads nothing: tables of 300 lines fit into its host's buffer
	}
	defer closeAll(conns)
	until(b, "all hold the tables", func() bool { h := 0; s.Do(func(float64) { h = program.Fleet.UpToDate() }); return h == n })
	for b.Loop() {
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/n, "B/relay")
}
