package proxy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
	"snowquay/internal/wire/delta"
	"snowquay/internal/wire/http1"
)

// countingServer is a server that counts, and fails now and then after it has run a query.
type countingServer struct {
	noProgram
	buf        map[env.Conn][]byte
	executions map[string]int // by key, over all servers of its pod
	chance     *rand.Rand
	at         balancer.Server
	town       *trafficRecord
}

// trafficRecord is what an hour is judged by.
type trafficRecord struct {
	sent      map[balancer.Server]int // since the latest table
	removedAt map[balancer.Server]float64
	violation string
	total     int
}

func (s *countingServer) Receive(now float64, c env.Conn, b []byte) {
	s.buf[c] = append(s.buf[c], b...)
	var m http1.Message
	n, err := http1.ParseRequest(s.buf[c], http1.DefaultLimits, &m)
	if err != nil {
		panic(err)
	}
	if n == 0 {
		return
	}
	s.buf[c] = append([]byte(nil), s.buf[c][n:]...)
	if at, ok := s.town.removedAt[s.at]; ok && now-at > 3 {
		s.town.violation = fmt.Sprintf("%s was sent a query %.2f s after its line was taken away", s.at, now-at)
	}
	switch v := s.chance.Float64(); {
	case v < 0.01 && s.executions[m.Get(idempotencyKeyField)] == 0: // it runs, and its answer is lost
		s.executions[m.Get(idempotencyKeyField)]++
		s.io.Close(c)
	case v < 0.02:
		s.io.Send(c, []byte("HTTP/1.1 503 Busy\r\nSnowquay-Ran: no\r\nContent-Length: 0\r\n\r\n"))
	default:
		if s.executions[m.Get(idempotencyKeyField)] == 0 || m.Target == "/once" { // its pod drops repeats of guarded queries
			s.executions[m.Get(idempotencyKeyField)]++
		}
		s.io.Send(c, []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

// recordingObserver counts first tries and their servers.
type recordingObserver struct{ town *trafficRecord }

func (w *recordingObserver) Joined(float64)                    {}
func (w *recordingObserver) Left(float64)                      {}
func (w *recordingObserver) TableChanged(float64, int, []bool) {}
func (w *recordingObserver) AttemptSent(_ float64, s balancer.Server) {
	w.town.sent[s]++
	w.town.total++
}

// An hour of traffic with a new table each minute: choices match the weights within two percent of all at every table, no
// query goes to a server whose line was taken away, and no effect happens twice though answers get lost.
func TestHourOfTraffic(t *testing.T) {
	const servers, rate, minutes = 8, 30.0, 60
	net, chance := simnet.New(4, 1000), rand.New(rand.NewPCG(4, 4))
	net.Faults.SplitProbability = 0.05
	all, pods := &trafficRecord{sent: map[balancer.Server]int{}, removedAt: map[balancer.Server]float64{}}, make([]map[string]int, servers/2)
	s := testConfig(servers)
	at := netip.MustParseAddrPort("10.0.3.1:3000")
	s.Coordinators, s.Observer = []netip.AddrPort{at}, &recordingObserver{all}
	for i := range servers {
		if i%2 == 0 {
			pods[i/2] = map[string]int{}
		}
		name := balancer.Server(serverAt(i).String())
		x := &countingServer{noProgram: noProgram{net: net}, buf: map[env.Conn][]byte{}, executions: pods[i/2], chance: chance, at: name, town: all}
		net.Add(serverAt(i).Addr(), 0, false).Start(x)
	}
	s.Forwarding.Classes[1].DedupScope = balancer.SameFailureDomain
	s.Forwarding.Locations = testLocations(servers)
	d := &testCoordinator{}
	net.Add(at.Addr(), 0, false).Start(d)
	p := New(net.Now(), s)
	net.Add(proxyAt.Addr(), 0, false).Start(p)
	net.Run(net.Now() + 3)
	key := 0
	var ask func()
	ask = func() { // each on a connection of its own, so that none waits for another
		key++
		u := &testClient{noProgram: noProgram{net: net}, proxy: proxyAt, send: post([]string{"/search", "/introduce", "/once"}[key%3], fmt.Sprint("k", key), "")}
		u.closeAfter = 8
		a := netip.AddrFrom4([4]byte{10, 1, byte(key >> 8), byte(key)})
		net.Add(a, 0, true).Start(u)
		net.At(net.Now()-math.Log(1-chance.Float64())/rate, ask)
	}
	ask()
	for version := uint64(1); version <= minutes; version++ {
		table, sum, weights := testTables(version, 0), 0.0, map[balancer.Server]float64{}
		for i := range servers {
			name := balancer.Server(serverAt(i).String())
			if chance.Float64() < 0.25 && i > 1 {
				if _, ok := all.removedAt[name]; !ok {
					all.removedAt[name] = net.Now()
				}
				continue
			}
			delete(all.removedAt, name)
			w := 1 + math.Floor(chance.Float64()*20)
			weights[name], sum = w, sum+w
			for k := range table.Classes {
				table.Classes[k].Entries = append(table.Classes[k].Entries, delta.Entry{Server: string(name), Weight: w})
			}
		}
		d.sendTables(table)
		net.Run(net.Now() + 0.2)
		clear(all.sent)
		all.total = 0
		net.Run(net.Now() + 59.8)
		for name, w := range weights {
			if got, want := float64(all.sent[name])/float64(all.total), w/sum; math.Abs(got-want) > 0.02 {
				t.Errorf("table %d: %s got %.3f of %d tries, its part is %.3f", version, name, got, all.total, want)
			}
		}
	}
	doubled, ran := 0, 0
	seen := map[string]int{}
	for _, pod := range pods {
		for k, n := range pod {
			seen[k] += n
		}
	}
	for k, n := range seen {
		var i int
		_, _ = fmt.Sscanf(k, "k%d", &i)
		if ran++; n > 1 && i%3 != 0 { // of the two classes that may not run twice
			doubled++
		}
	}
	if all.violation != "" || doubled > 0 || ran < 50000 || p.Core.Stats.Retries < 500 {
		t.Errorf("%s; %d doubled of %d; %d repeats", all.violation, doubled, ran, p.Core.Stats.Retries)
	}
}
