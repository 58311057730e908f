package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func init() {
	cases["drains-in-steps"] = drainsInSteps
	cases["spoilt-window"] = spoiltWindow
}

// bookingSettings are the figures of the deployment scot-journeys: two data centres, 12 messages to a dispatcher in 10 s, a grace of 3 s.
func bookingSettings(proxies int) *platformSettings {
	s := &platformSettings{
		Zones: []string{"glasgow-dc", "dundee-dc"}, Classes: []string{"availability", "journey-update", "confirm-booking"},
		Proxies: proxies, Egress: 4500, PendingMax: 6750, PerMessage: 3, Propagation: 0.2, Messages: 12, Window: 10, Period: 2,
		Grace: 3, Unserved: 2.1, Cold: 15,
	}
	class := func(name string, aim, deadline, points float64, effect string) map[string]any {
		return map[string]any{"name": name, "aim": aim, "deadline": deadline, "points": points, "effect": effect, "group": "all",
			"late-worth": 0.1, "window": 5.0}
	}
	s.JSON = map[string]any{
		"balancers": 1, "discovery": "pushed", "family": "control",
		"family-info": map[string]any{
			"class-own-zone": []bool{false, false, false}, "class-writes": []bool{false, false, true}, "data-plane-size": proxies,
			"default-retry": 1, "egress-per-s": s.Egress, "homed-by-zone": false, "in-flight-max": 5.02, "initial-set": 6,
			"keeps-writing": 2.5, "late-most": 0.4, "level-kind": "silent", "one-owner": false, "outlier-after": 0, "park": 0.3,
			"pending-max": s.PendingMax, "per-message": s.PerMessage, "period": s.Period, "pick": "random", "propagation": s.Propagation,
			"push-price": 0.02, "reassign-price": 0.01, "reloads-max": s.Messages, "reports-per-s": 400.0, "slices": 0,
			"smallest-conn-table": 240.0, "try-aims": 1.0, "unserved-max": s.Unserved, "update-window": s.Window, "warm-keys": true,
		},
		"grades": []any{class("availability", 1, 2.5, 1, "free"), class("journey-update", 1.2, 3, 3, "free"),
			class("confirm-booking", 0.8, 2, 3, "single_shot")},
		"guarantees": map[string]any{"ask-within": 10.0, "cold": s.Cold, "cold-from": 0.24, "fall": 1.5, "fall-multiple": 4.0,
			"stop-sending-within": s.Grace},
		"host-types": []string{"m1"}, "ordinal": 0,
		"policy-limits": map[string]any{"conn-idle": 15.0, "connect-timeout": 0.4, "cpu-us-per-s": 800000, "may-probe": false,
			"peer-messages": false, "streams-per-conn": 100},
		"prices": map[string]any{"probe": 0.02}, "report": map[string]any{"how": "piggyback", "names": []string{"busy", "rif", "lat_ms"}},
		"score-parts": map[string]any{"whole": 1.0}, "tick": 0.002, "weight-source": "nominal", "worth-by": "request", "zone": 0,
		"zones": s.Zones,
	}
	return s
}

// startPlatform starts a platform with servers and proxies, and one coordinator on it, and joins the proxies. It returns nil if
// the coordinator did not start.
func startPlatform(r *run, settings *platformSettings, servers int, perSecond float64) (p *platform, stop chan struct{}) {
	p = newPlatform(r.recorder, settings)
	for i := range servers {
		p.addServer(fmt.Sprintf("s-%04d", i), settings.Zones[i%len(settings.Zones)], 0)
	}
	p.version = 41
	for i := range settings.Proxies {
		p.proxies = append(p.proxies, &relayProxy{number: i, zone: settings.Zones[i%len(settings.Zones)],
			rate: perSecond / float64(settings.Proxies), bound: map[string]int{}})
	}
	path := filepath.Join(r.folder, "config.json")
	if err := os.WriteFile(path, p.config(), 0o600); err != nil {
		r.printf("%v", err)
		return nil, nil
	}
	command, err := r.deployRun()
	if err == nil {
		_, err = r.start("coordinator.log", []string{"PROXY_NAME=n1", "PROXY_LISTEN=" + p.coord,
			"PROXY_DISCOVERY=" + p.discovery.Addr().String(), "PROXY_CONFIG=" + path}, command)
	}
	if err != nil || !p.awaitReady(30*time.Second) {
		r.printf("the coordinator did not start: %v", err)
		return nil, nil
	}
	stop = make(chan struct{})
	go p.runChannel(stop)
	go p.runTraffic(stop)
	go p.runCollectors(stop)
	p.join()
	r.printf("ready, %d proxies joined, %d servers", len(p.proxies), servers)
	return p, stop
}

// settled reports whether every proxy holds an ordered table.
func (p *platform) settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.proxies {
		if len(x.bound) == 0 {
			return false
		}
	}
	return true
}

// Rules that judge may check.
const (
	emptyTables = 1 << iota
	drains
	messages
	queue
	allRules = emptyTables | drains | messages | queue
)

// judge writes what was seen, and returns whether the given rules held.
func (p *platform) judge(r *run, rules int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.printf("%d requests sent by proxies, %d calls, %d malformed calls; most lines queued %.0f of %.0f; messages above the limit %d",
		p.sends, p.calls, p.malformed, p.mostQueued, p.settings.PendingMax, p.over)
	code := held
	for host, late := range p.lateSends {
		r.printf("drains: %d requests to %s after the grace of %.1f s and 0.3 s, the last %.2f s after the news", late.count, host, p.settings.Grace, late.after)
		if rules&drains != 0 {
			code = broken
		}
	}
	for key, seconds := range p.bare {
		r.printf("empty tables: proxy and class %s had no line for %.2f s", key, seconds)
		if rules&emptyTables != 0 {
			code = broken
		}
	}
	if rules&messages != 0 && p.over > 0 || rules&queue != 0 && p.mostQueued > p.settings.PendingMax {
		code = broken
	}
	return code
}

// drainsInSteps replaces six in ten servers within 7 s, one after the other.
func drainsInSteps(r *run) int {
	const servers, replaced, proxies = 66, 39, 101
	p, stop := startPlatform(r, bookingSettings(proxies), servers, 500)
	if p == nil {
		return couldNot
	}
	defer close(stop)
	time.Sleep(15 * time.Second)
	if !p.settled() {
		r.printf("not every proxy has a table")
		return couldNot
	}
	if r.trouble {
		begin := time.Now()
		for i := range replaced {
			time.Sleep(time.Until(begin.Add(time.Duration(i) * 7 * time.Second / replaced)))
			id := fmt.Sprintf("s-%04d", i)
			added := fmt.Sprintf("n-%04d", i)
			p.mu.Lock()
			p.servers[id].state = "draining"
			p.addServer(added, p.servers[id].zone, float64(time.Now().UnixMilli())/1000)
			p.mu.Unlock()
			p.change(id, added)
		}
	}
	time.Sleep(14 * time.Second)
	r.copyLog("coordinator.log")
	return p.judge(r, drains|messages)
}

// spoiltWindow sends one report whose window is out of range among good ones.
func spoiltWindow(r *run) int {
	p, stop := startPlatform(r, bookingSettings(14), 14, 90)
	if p == nil {
		return couldNot
	}
	defer close(stop)
	time.Sleep(10 * time.Second)
	if !p.settled() {
		r.printf("not every proxy has a table")
		return couldNot
	}
	window := "2000.0"
	if r.trouble {
		window = "2.2250738585072014e-308" // the smallest normal number of 64 bits
	}
	p.mu.Lock()
	p.extraReport = respMessage("client_stats", "sidecar", "3", "kind", "availability", "n", "19", "bad", "0", "window", window)
	p.mu.Unlock()
	r.printf("one report with a window of %s ms goes with the next sums", window)
	time.Sleep(16 * time.Second)
	r.copyLog("coordinator.log")
	return p.judge(r, emptyTables)
}
