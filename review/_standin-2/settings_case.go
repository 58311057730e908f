package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["removed-from-settings"] = removedFromSettings }

const drainWithin = 3.0 // seconds, of the settings

// coordinatorSettings writes settings of a coordinator with standing servers, and returns its address for SASP.
func coordinatorSettings(path, api, store string, servers []*matchServer) (sasp string, err error) {
	sasp = freeAddress()
	var b strings.Builder
	fmt.Fprintf(&b, `<?xml version="1.0" encoding="UTF-8"?>
<coordinator seed="1">
  <listen sasp="%s" http="%s" measurements="%s" store="%s"/>
  <zone name="north"/>
  <zone name="south"/>
  <class name="search" benefit="3" late-benefit="0.2" goal-time="1.5" client-timeout="5" effect="free" repeats="failure"/>
  <fleet relays="12" standing="5" eject-after="8" least-connections="200"/>
  <channel lines-per-second="1600" message-lines="3" most-waiting="1600" mean-way="0.2" longest-way="0.5"/>
  <rules drain-within="%g" bare-within="2.1" cold-share="0.17" cold-for="18" fall-multiple="3" fall-within="1.5"/>
  <reports period="0.5"/>
  <servers uid="fleet" register="members" agents="own-host" hold="2.5">
`, sasp, api, freeAddress(), store, drainWithin)
	for i, s := range servers {
		fmt.Fprintf(&b, "    <server address=\"%s\" zone=\"%s\" pod=\"%d\" standing=\"true\"/>\n", s.listener.Addr(), []string{"north", "south"}[i%2], i%2)
	}
	b.WriteString(`  </servers>
  <relays strangers="false">
    <relay uid="relay-1" zone="north" usual="20"/>
  </relays>
  <limits servers="100"/>
</coordinator>
`)
	return sasp, os.WriteFile(path, []byte(b.String()), 0o600)
}

// pollingProxy writes settings of a small proxy that polls a coordinator, and starts it.
func pollingProxy(r *run, api string, servers []*matchServer) (address string, ok bool) {
	address = freeAddress()
	var b strings.Builder
	fmt.Fprintf(&b, `<?xml version="1.0" encoding="UTF-8"?>
<proxy uid="relay-1" pick="even">
  <listen clients="%s"/>
  <coordinators speak="http">
    <coordinator address="%s"/>
  </coordinators>
  <zone name="north"/>
  <zone name="south"/>
  <route path="/search" class="search"/>
  <class name="search" benefit="3" goal-time="1.5" client-timeout="5" effect="free" repeats="failure"/>
`, address, api)
	for i, s := range servers {
		fmt.Fprintf(&b, "  <server address=\"%s\" zone=\"%s\" pod=\"%d\"%s/>\n", s.listener.Addr(), []string{"north", "south"}[i%2], i%2,
			[]string{` standing="true"`, ""}[min(i, 1)])
	}
	b.WriteString("  <repeats part=\"0.2\" burst=\"10\"/>\n  <avoid after=\"8\" for=\"4\" most=\"30\"/>\n</proxy>\n")
	path := filepath.Join(r.folder, "proxy.xml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return "", false
	}
	if _, err := r.start("proxy.log", nil, "exec bin/snowquay proxy "+path); err != nil {
		return "", false
	}
	return address, awaitListening(address)
}

func awaitListening(address string) bool {
	for range 200 {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			c.Close()
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// removedFromSettings takes a server out of the settings and restarts the coordinator, as changed settings are applied.
func removedFromSettings(r *run) int {
	fleet := newMatchFleet(r)
	var mu sync.Mutex
	arrivals := map[*matchServer][]time.Time{}
	fleet.answer = func(s *matchServer, c net.Conn, _ *http.Request) {
		mu.Lock()
		arrivals[s] = append(arrivals[s], time.Now())
		mu.Unlock()
		r.printf("runs at %s", s.listener.Addr())
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	}
	var servers []*matchServer
	for i := range 6 {
		servers = append(servers, fleet.add(i%2, 0))
	}
	removed := servers[5]
	api, path, store := freeAddress(), filepath.Join(r.folder, "coordinator.xml"), filepath.Join(r.folder, "servers.db")
	first := servers
	if !r.trouble { // the coordinator has the changed settings from its first start
		first = servers[:5]
	}
	_, err := coordinatorSettings(path, api, store, first)
	if err != nil {
		r.printf("%v", err)
		return couldNot
	}
	coordinator, err := r.start("coordinator.log", nil, "exec bin/snowquay serve "+path)
	if err != nil || !awaitListening(api) {
		r.copyLog("coordinator.log")
		return couldNot
	}
	address, ok := pollingProxy(r, api, servers)
	if !ok {
		r.copyLog("proxy.log")
		return couldNot
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	sent, failed := 0, 0
	wait.Go(func() {
		client := &http.Client{Timeout: 5 * time.Second}
		for {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			response, err := client.Get("http://" + address + "/search?q=7")
			sent++
			if err != nil {
				r.printf("request %d: %v", sent, err)
				failed++
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			r.printf("request %d is answered: %d", sent, response.StatusCode)
			if response.StatusCode != http.StatusOK {
				failed++
			}
		}
	})
	time.Sleep(8 * time.Second)
	told := time.Now()
	if r.trouble {
		mu.Lock()
		before := len(arrivals[removed])
		mu.Unlock()
		if before == 0 {
			r.printf("the server got no request before the change")
			return couldNot
		}
		if _, err := coordinatorSettings(path, api, store, servers[:5]); err != nil {
			return couldNot
		}
		_ = coordinator.Process.Signal(syscall.SIGTERM)
		_ = coordinator.Wait()
		r.printf("the coordinator has ended; its settings no longer list %s", removed.listener.Addr())
		if _, err := r.start("coordinator-2.log", nil, "exec bin/snowquay serve "+path); err != nil || !awaitListening(api) {
			r.copyLog("coordinator-2.log")
			return couldNot
		}
		told = time.Now()
		r.printf("the coordinator has started again")
	}
	time.Sleep(20 * time.Second)
	close(stop)
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	last := 0.0
	for _, at := range arrivals[removed] {
		after := at.Sub(told).Seconds()
		if after > 2+drainWithin+0.3 { // 2 s for the proxy to join again
			late++
			last = after
		}
	}
	for i, s := range servers {
		r.printf("server %d, %s: %d requests", i, s.listener.Addr(), len(arrivals[s]))
	}
	r.printf("%d requests sent, %d failed; %d reached the removed server later than %.1f s after the restart, the last after %.1f s", sent, failed, late, 2+drainWithin+0.3, last)
	r.copyLog("coordinator-2.log")
	r.copyLog("proxy.log")
	if late > 0 {
		return broken
	}
	return held
}
