package consensus

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
)

// counting is a disk that counts what is saved.
type counting struct {
	Storage
	saves, bytes int
}

func (c *counting) Save(s PersistentState) error {
	c.saves++
	for _, e := range s.Entries {
		c.bytes += proto.Size(e)
	}
	if s.Snapshot != nil {
		c.bytes += proto.Size(s.Snapshot)
	}
	if s.HardState != nil {
		c.bytes += proto.Size(s.HardState)
	}
	return c.Storage.Save(s)
}

func records(n int) (all []registry.Record) {
	for i := range n {
		all = append(all, registry.Record{ServerConfig: registry.ServerConfig{Server: balancer.Server(fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250)), Weight: 1,
			FailureDomain: balancer.FailureDomain(i / 10)}, Phase: balancer.Ready, Started: 1.7e9 + float64(i)})
	}
	return all
}

// How much a calm group writes, and what a restart takes with so many servers on the roll.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{300, 1000, 5000} {
		b.Run(fmt.Sprint(n, "-servers"), func(b *testing.B) {
			w := found(b, 1, 3)
			p, path := w.peers[1], filepath.Join(b.TempDir(), "log.db")
			open := func() *counting {
				f, err := OpenFileStorage(path, 1)
				if err != nil {
					b.Fatal(err)
				}
				return &counting{Storage: f}
			}
			start := func(d Storage) *Group {
				g, err := NewGroup(p.clock(), GroupConfig{ID: 1, Registration: p.seat(), Weight: 1, Members: []ID{1}, Seed: 5, Lease: membership.DefaultLeaseConfig,
					Consensus: DefaultConfig}, d, p)
				if err != nil {
					b.Fatal(err)
				}
				return g
			}
			d := open()
			g := start(d)
			for range 200 {
				w.now += step
				if err := g.Tick(p.clock()); err != nil {
					b.Fatal(err)
				}
			}
			g.StoreRecords(p.clock(), records(n))
			const calm = 600 // seconds
			d.saves, d.bytes = 0, 0
			for range int(calm / 0.05) {
				w.now += 0.05
				if err := g.Tick(p.clock()); err != nil {
					b.Fatal(err)
				}
			}
			image, err := g.State.Snapshot()
			if err != nil || len(g.State.Records) != n {
				b.Fatal(err, len(g.State.Records))
			}
			perDay, perSecond := float64(d.bytes)/calm*86400/1e6, float64(d.saves)/calm
			for b.Loop() {
				if err := d.Storage.(*FileStorage).Close(); err != nil {
					b.Fatal(err)
				}
				d = open()
				if g = start(d); len(g.State.Records) != n {
					b.Fatal("it has not recovered")
				}
			}
			b.ReportMetric(perDay, "MB/day")
			b.ReportMetric(perSecond, "saves/s")
			b.ReportMetric(float64(len(image))/1e3, "snapshot-KB")
			if info, err := os.Stat(path); err == nil {
				b.ReportMetric(float64(info.Size())/1e3, "file-KB")
			}
			_ = d.Storage.(*FileStorage).Close()
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{300, 1000, 5000} {
		b.Run(fmt.Sprint(n, "-servers"), func(b *testing.B) {
			s := &membership.State{}
			if _, err := s.Apply(membership.Command{Kind: membership.StoreRecords, Records: records(n)}); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := s.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
