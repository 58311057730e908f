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

// countingStorage counts the saves and the saved bytes.
type countingStorage struct {
	*FileStorage
	saves int
	bytes int
}

func (c *countingStorage) Save(state PersistentState) error {
	c.saves++
	for _, entry := range state.Entries {
		c.bytes += proto.Size(entry)
	}
	if state.Snapshot != nil {
		c.bytes += proto.Size(state.Snapshot)
	}
	if state.HardState != nil {
		c.bytes += proto.Size(state.HardState)
	}
	return c.FileStorage.Save(state)
}

func benchmarkRecords(n int) (records []registry.Record) {
	for i := range n {
		records = append(records, registry.Record{
			ServerConfig: registry.ServerConfig{
				Server:        balancer.Server(fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250)),
				Weight:        1,
				FailureDomain: balancer.FailureDomain(i / 10),
			},
			Phase:   balancer.Ready,
			Started: 1.7e9 + float64(i),
		})
	}
	return records
}

// BenchmarkRecovery measures how much a group without faults writes, and how long a restart takes, for several numbers of servers.
func BenchmarkRecovery(b *testing.B) {
	for _, servers := range []int{300, 1000, 5000} {
		b.Run(fmt.Sprint(servers, "-servers"), func(b *testing.B) { benchmarkRecovery(b, servers) })
	}
}

func benchmarkRecovery(b *testing.B, servers int) {
	const idleSeconds = 600
	const idleStep = 0.05
	node := newCluster(b, 1, 3).nodes[1]
	path := filepath.Join(b.TempDir(), "log.db")
	storage := &countingStorage{FileStorage: openTestStorage(b, path)}
	group := newTestGroup(b, node, storage, DefaultConfig)
	tick(b, node, group, 200, stepSeconds)
	group.StoreRecords(node.clock(), benchmarkRecords(servers))
	storage.saves = 0
	storage.bytes = 0
	tick(b, node, group, idleSeconds/idleStep, idleStep)
	snapshot, err := group.State.Snapshot()
	if err != nil || len(group.State.Records) != servers {
		b.Fatal(err, len(group.State.Records))
	}
	megabytesPerDay := float64(storage.bytes) / idleSeconds * 86400 / 1e6
	savesPerSecond := float64(storage.saves) / idleSeconds
	for b.Loop() {
		closeTestStorage(b, storage.FileStorage)
		storage = &countingStorage{FileStorage: openTestStorage(b, path)}
		group = newTestGroup(b, node, storage, DefaultConfig)
		if len(group.State.Records) != servers {
			b.Fatal("the records were not recovered")
		}
	}
	b.ReportMetric(megabytesPerDay, "MB/day")
	b.ReportMetric(savesPerSecond, "saves/s")
	b.ReportMetric(float64(len(snapshot))/1e3, "snapshot-KB")
	if info, err := os.Stat(path); err == nil {
		b.ReportMetric(float64(info.Size())/1e3, "file-KB")
	}
	closeTestStorage(b, storage.FileStorage)
}

func BenchmarkSnapshot(b *testing.B) {
	for _, servers := range []int{300, 1000, 5000} {
		b.Run(fmt.Sprint(servers, "-servers"), func(b *testing.B) {
			state := &membership.State{}
			if _, err := state.Apply(membership.Command{Kind: membership.StoreRecords, Records: benchmarkRecords(servers)}); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := state.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
