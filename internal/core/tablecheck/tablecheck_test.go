package tablecheck

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		panic(err)
	}
	testseed.Main(m)
}

func serverName(i int) balancer.Server { return balancer.Server(fmt.Sprint("s", i)) }

// drawSnapshot generates a site with 2 to 6 servers in three zones, and with 1 to 4 proxies of 1 to 3 tables each.
func drawSnapshot(r *rapid.T) *Snapshot {
	s := &Snapshot{Servers: map[balancer.Server]Server{}, WarmupFraction: 0.25, CheckZoneLoss: rapid.Bool().Draw(r, "lose")}
	servers := rapid.IntRange(2, 6).Draw(r, "servers")
	for i := range servers {
		s.Servers[serverName(i)] = drawServer(r, i)
	}
	for i := range rapid.IntRange(1, 4).Draw(r, "proxies") {
		proxy := Proxy{UID: fmt.Sprint("p", i), Demand: float64(rapid.IntRange(0, 20).Draw(r, "demand"))}
		for k := range rapid.IntRange(1, 3).Draw(r, "tables") {
			proxy.Tables = append(proxy.Tables, drawTable(r, s, servers, k == 0))
		}
		s.Proxies = append(s.Proxies, proxy)
	}
	return s
}

func drawServer(r *rapid.T, i int) Server {
	pools := []string{"a", "b", ""}
	phases := []balancer.Phase{balancer.Ready, balancer.Ready, balancer.Ready, balancer.Ready, balancer.Draining, balancer.Removed}
	return Server{
		Zone:      balancer.Zone(i % 3),
		Pool:      pools[rapid.IntRange(0, 2).Draw(r, "pool")],
		Phase:     phases[rapid.IntRange(0, 5).Draw(r, "phase")],
		WarmingUp: rapid.IntRange(0, 4).Draw(r, "warming up") == 0,
		Capacity:  float64(rapid.IntRange(0, 200).Draw(r, "capacity")),
	}
}

// drawTable generates a table. A proposed table rarely contains servers that are not ready; any table rarely contains an
// unknown server.
func drawTable(r *rapid.T, s *Snapshot, servers int, proposed bool) *Table {
	table := &Table{Weights: map[balancer.Server]float64{}}
	for i := range servers + 1 {
		if i == servers && rapid.IntRange(0, 40).Draw(r, "unknown") > 0 {
			continue
		}
		allowed := s.Servers[serverName(i)].Phase == balancer.Ready || !proposed || rapid.IntRange(0, 9).Draw(r, "wrong") == 0
		if weight := rapid.IntRange(-1, 5).Draw(r, "weight"); weight > 0 && allowed {
			table.Weights[serverName(i)] = float64(weight)
		}
	}
	return table
}

// For a thousand generated sites, Check finds the same kinds of violations as a brute force over all combinations of
// tables: it rejects each harmful site for the right reason, and no other site.
func TestCheckAgreesWithBruteForce(t *testing.T) {
	counts := map[Violation]int{}
	harmless := 0
	rapid.Check(t, func(r *rapid.T) {
		s := drawSnapshot(r)
		got := violations{}
		for _, finding := range s.Check() {
			got[finding.Violation] = true
			if strings.Contains(finding.String(), "%!") {
				r.Fatal(finding.String())
			}
		}
		want := bruteForce(s)
		for violation := EmptyTable; violation <= UnknownServer; violation++ {
			if got[violation] != want[violation] {
				r.Fatalf("violation %d: Check finds %t, brute force finds %t\n%+v\n%v", violation, got[violation], want[violation], s, s.Check())
			}
			if want[violation] {
				counts[violation]++
			}
		}
		if len(want) == 0 {
			harmless++
		}
	})
	if harmless < 5 || counts[EmptyTable] < 5 || counts[DrainingServer] < 5 || counts[Overload] < 5 || counts[UnknownServer] < 2 {
		t.Errorf("too few generated sites of some kind: %v by violation, %d harmless", counts, harmless)
	}
}

// The findings state the violations and their figures, most severe first.
func TestFindings(t *testing.T) {
	s := &Snapshot{
		Servers: map[balancer.Server]Server{
			"a": {Zone: 0, Pool: "x", Capacity: 10},
			"b": {Zone: 1, Pool: "x", Capacity: 10},
			"c": {Zone: 1, Pool: "y", Capacity: 5, WarmingUp: true},
		},
		WarmupFraction: 0.2,
		Proxies: []Proxy{{UID: "p", Demand: 12, Tables: []*Table{
			{Weights: map[balancer.Server]float64{"a": 1, "b": 1}},
			{Weights: map[balancer.Server]float64{"a": 1, "c": 1}},
		}}},
	}
	findings := s.Check() // with its old table, the proxy sends 6 per second to a warming-up server with a capacity of 1
	if len(findings) != 1 || findings[0].Violation != Overload || findings[0].Pool != "y" || findings[0].Load != 6 || findings[0].Capacity != 1 {
		t.Fatalf("%v", findings)
	}
	s.Proxies[0].Tables = s.Proxies[0].Tables[:1]
	if findings := s.Check(); len(findings) != 0 {
		t.Fatalf("%v", findings)
	}
	s.CheckZoneLoss = true // the remaining server must then carry the whole load
	findings = s.Check()
	if len(findings) != 2 || findings[0].Violation != Overload || findings[0].LostZone != 0 || findings[1].LostZone != 1 {
		t.Fatalf("%v", findings)
	}
	s.Servers["a"] = Server{Zone: 0, Pool: "x", Capacity: 10, Phase: balancer.Draining}
	findings = s.Check()
	if len(findings) != 1 || findings[0].Violation != DrainingServer || !strings.Contains(findings[0].String(), "which is draining or removed") {
		t.Fatalf("%v", findings)
	}
}

func BenchmarkCheck(b *testing.B) {
	for _, proxies := range []int{10, 100, 460} {
		b.Run(fmt.Sprint(proxies, "-proxies-300-servers"), func(b *testing.B) {
			s := &Snapshot{Servers: map[balancer.Server]Server{}, WarmupFraction: 0.2, CheckZoneLoss: true}
			table := &Table{Weights: map[balancer.Server]float64{}}
			for i := range 300 {
				s.Servers[serverName(i)] = Server{Zone: balancer.Zone(i % 3), Pool: fmt.Sprint(i % 5), Capacity: 100}
				table.Weights[serverName(i)] = 1
			}
			for i := range proxies {
				s.Proxies = append(s.Proxies, Proxy{UID: fmt.Sprint(i), Demand: 1, Tables: []*Table{table, table}})
			}
			for b.Loop() {
				s.Check()
			}
		})
	}
}
