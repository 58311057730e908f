package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"time"
)

func init() { cases["explore"] = explore }

// explore plays a random mix of disruptions with the seed of the environment, to look for broken rules. It is no case.
func explore(r *run) int {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	random := rand.New(rand.NewSource(int64(seed)))
	settings := nodeSettings(40)
	if seed%2 == 1 {
		settings = bookingSettings(40)
	}
	p, stop := startPlatform(r, settings, 30, 190)
	if p == nil {
		return couldNot
	}
	defer close(stop)
	time.Sleep(6 * time.Second)
	p.mu.Lock()
	loss := []float64{0, 0.1, 0.3}[random.Intn(3)]
	p.callFaults = func() callFault {
		if random.Float64() >= loss {
			return callFault{}
		}
		return callFault{lost: random.Intn(2) == 0, answer: []string{"none", "break", `{"jsonrpc":"2.0","id":`, `{"jsonrpc":"2.0","id":3,"result":{"accepted":-1}}`}[random.Intn(4)]}
	}
	if seed%4 >= 2 {
		p.slow = 0.3
	}
	p.mu.Unlock()
	r.printf("loss %v, slow %v", loss, p.slow)
	next := 0
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(random.Intn(2500)) * time.Millisecond) {
		p.mu.Lock()
		what := random.Intn(6)
		switch what {
		case 0: // streams break
			r.printf("streams break")
			for _, x := range p.proxies {
				if !x.joinedAt.IsZero() && random.Intn(10) < 6 {
					p.leave(x)
					time.AfterFunc(time.Duration(100+random.Intn(2300))*time.Millisecond, func() {
						p.mu.Lock()
						p.rejoin(x)
						p.mu.Unlock()
					})
				}
			}
			p.mu.Unlock()
		case 1: // relay connections break
			for c := range p.hubConns {
				c.Close()
				if random.Intn(2) == 0 {
					break
				}
			}
			r.printf("relay connections break")
			p.mu.Unlock()
		case 2, 3: // a server is replaced
			p.mu.Unlock()
			n := 1 + random.Intn(3)
			for range n {
				if next >= 25 {
					continue
				}
				p.mu.Lock()
				id := fmt.Sprintf("s-%04d", next)
				added := fmt.Sprintf("n-%04d", next)
				next++
				p.servers[id].state = []string{"draining", "gone"}[random.Intn(2)]
				p.addServer(added, p.servers[id].zone, float64(time.Now().UnixMilli())/1000)
				p.mu.Unlock()
				p.change(id, added)
			}
		default:
			p.mu.Unlock()
		}
	}
	time.Sleep(8 * time.Second)
	r.copyLog("coordinator.log")
	return p.judge(r, allRules)
}
