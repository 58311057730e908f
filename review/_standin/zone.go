package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Times of case "zone".
const (
	zoneLostFor  = 5 * time.Second // in all, of which a part before the coordinator is ready
	zoneJoinedBy = 500 * time.Millisecond
	zonePlayed   = 25 * time.Second // after the return
)

func init() { cases["zone"] = zone }

// zone: the coordinator starts while a zone is lost. The zone returns, cold, and its proxies join. A class keeps to the proxy's zone.
func zone(e *env) int {
	zones := []string{"a", "b", "c"}
	var servers, lost []backend
	zoneOf := map[string]string{}
	for i, name := range zones {
		for n := 1; n <= 3; n++ {
			s := server(fmt.Sprintf("s-%s%d", name, n), name, i)
			zoneOf[s.ID] = name
			if e.trouble && name == "c" {
				lost = append(lost, s)
				continue
			}
			servers = append(servers, s)
		}
	}
	lostAt := time.Now()
	if e.trouble {
		e.rec.say("zone c is lost: its servers have left the list, its proxies have no stream")
	}
	d, err := newDiscovery(e.rec, servers)
	if err != nil {
		e.rec.say("%v", err)
		return couldNot
	}
	r, err := newRelay(e.rec, d, []string{"look", "write"})
	if err != nil {
		e.rec.say("%v", err)
		return couldNot
	}
	var proxies []*sidecar
	for number := range 6 {
		name := zones[number%3]
		proxies = append(proxies, &sidecar{number: number, zone: name,
			standing: []string{"s-" + name + "1", "s-" + name + "2", "s-" + name + "3"}})
	}
	coordinator, address, err := e.startCoordinator(d, r.address, settings(zones, true, len(proxies)))
	if err != nil {
		e.rec.say("%v", err)
		return couldNot
	}
	defer coordinator.stop()
	readyAt := time.Now()
	stop := make(chan struct{})
	defer close(stop)
	t := newTraffic(e.rec, r, d)
	t.ownZone["write"] = true
	t.zoneOf = zoneOf
	watch := &bareWatch{env: e, discovery: d, readyAt: readyAt, since: map[string]time.Time{}, worst: map[string]time.Duration{}}
	t.sent = func(p *sidecar, class, _ string) { watch.picked(p, class) }
	t.bare = watch.found
	for _, p := range proxies {
		if !e.trouble || p.zone != "c" {
			r.attach(p)
		}
	}
	go t.play(stop)
	for _, name := range zones {
		go t.report(address, name, stop)
	}
	time.Sleep(time.Until(lostAt.Add(zoneLostFor)))
	if e.trouble {
		e.rec.say("zone c is back after %.1f s: its servers are ready and cold, its proxies join", time.Since(lostAt).Seconds())
		for i := range lost {
			lost[i].Started = float64(time.Now().UnixMilli())
		}
		d.set(lost...)
		time.Sleep(zoneJoinedBy)
		for _, p := range proxies {
			if p.zone == "c" {
				r.attach(p)
			}
		}
	}
	time.Sleep(zonePlayed)
	if coordinator.ended() {
		e.rec.say("the coordinator has ended")
		return couldNot
	}
	return watch.judge(r, proxies)
}

// bareWatch measures how long a joined proxy has no line to pick for a class while an open, warm server is listed.
type bareWatch struct {
	env       *env
	discovery *discovery
	readyAt   time.Time
	mu        sync.Mutex
	since     map[string]time.Time
	worst     map[string]time.Duration
	requests  int
	refused   int
}

func (b *bareWatch) picked(p *sidecar, class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	delete(b.since, fmt.Sprintf("proxy %d, class %s", p.number, class))
}

// found notes that a proxy has no line that is open to the class.
func (b *bareWatch) found(p *sidecar, class string, lines []line) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	b.refused++
	key := fmt.Sprintf("proxy %d, class %s", p.number, class)
	where := ""
	if class == "write" {
		where = p.zone
	}
	warm := b.discovery.warmIn(where)
	if len(warm) == 0 || time.Since(b.readyAt) < time.Second { // the rule does not bind yet
		delete(b.since, key)
		return
	}
	if b.since[key].IsZero() {
		b.since[key] = time.Now()
		var held []string
		for _, l := range lines {
			held = append(held, fmt.Sprintf("%s (%g)", l.server, l.weight))
		}
		b.env.rec.printf("%s of zone %s has no line to pick; its table: %s; open and warm: %v", key, p.zone, strings.Join(held, ", "), warm)
	}
	b.worst[key] = max(b.worst[key], time.Since(b.since[key]))
}

func (b *bareWatch) judge(r *relay, proxies []*sidecar) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := time.Duration((unservedMost + socketSlack) * float64(time.Second))
	result := held
	for key, worst := range b.worst {
		b.env.rec.say("%s: no line to pick for %.2f s (limit %.2f s)", key, worst.Seconds(), limit.Seconds())
		if worst > limit {
			result = broken
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range proxies {
		b.env.rec.printf("at the end, proxy %d of zone %s: tables %v, lines for write %v", p.number, p.zone, p.bound, r.lines(p, "write"))
		if len(p.bound) == 0 && result == held {
			b.env.rec.say("proxy %d was given no table", p.number)
			return couldNot
		}
	}
	b.env.rec.say("%d requests came to the proxies, %d of them had no line to pick; the relay carried out %d calls", b.requests, b.refused, r.calls)
	return result
}
