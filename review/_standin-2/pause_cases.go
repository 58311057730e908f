package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["pauses"] = pauses }

// nodeSettings are the figures of the deployment sunworks-main.
func nodeSettings(proxies int) *platformSettings {
	s := bookingSettings(proxies)
	s.Zones = []string{"room-a", "room-b"}
	s.Classes = []string{"history", "command"}
	s.Egress, s.PendingMax, s.PerMessage, s.Propagation, s.Messages, s.Window = 5000, 10000, 10, 0.3, 0, 10
	s.Cold = 17
	info := s.JSON["family-info"].(map[string]any)
	info["class-own-zone"] = []bool{false, false}
	info["class-writes"] = []bool{false, true}
	info["egress-per-s"], info["pending-max"], info["per-message"], info["propagation"] = s.Egress, s.PendingMax, s.PerMessage, s.Propagation
	info["late-most"], info["reloads-max"], info["outlier-after"] = 0.6, 0, 8
	grades := s.JSON["grades"].([]any)
	s.JSON["grades"] = []any{grades[0], grades[2]}
	for i, grade := range s.JSON["grades"].([]any) {
		grade.(map[string]any)["name"] = s.Classes[i]
	}
	s.JSON["zones"] = s.Zones
	guarantees := s.JSON["guarantees"].(map[string]any)
	guarantees["cold"], guarantees["cold-from"], guarantees["fall"], guarantees["fall-multiple"] = 17.0, 0.23, 2.0, 2.5
	return s
}

// pauses stops the coordinator for 2 s again and again for 30 s, and drains a server at the begin of some of these pauses.
func pauses(r *run) int {
	p, stop := startPlatform(r, nodeSettings(8), 12, 100)
	if p == nil {
		return couldNot
	}
	defer close(stop)
	time.Sleep(12 * time.Second)
	if !p.settled() {
		return couldNot
	}
	coordinator := r.children[0].Process
	for i := range 10 {
		if r.trouble {
			_ = coordinator.Signal(syscall.SIGSTOP)
			r.printf("stopped")
		}
		if i%2 == 1 {
			id := fmt.Sprintf("s-%04d", i)
			p.mu.Lock()
			p.servers[id].state = "draining"
			p.mu.Unlock()
			p.change(id)
		}
		time.Sleep(2 * time.Second)
		_ = coordinator.Signal(syscall.SIGCONT)
		r.printf("continued")
		time.Sleep(time.Second)
	}
	time.Sleep(8 * time.Second)
	r.copyLog("coordinator.log")
	return p.judge(r, allRules)
}
