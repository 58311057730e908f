package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"time"
)

func init() { cases["silent-crowd"] = silentCrowd }

// silentCrowd opens more connections that say nothing than the coordinator has descriptors, and closes them again.
func silentCrowd(r *run) int {
	const descriptors, crowd, patience = 256, 300, 30 * time.Second
	fleet := newMatchFleet(r)
	var servers []*matchServer
	for i := range 6 {
		servers = append(servers, fleet.add(i%2, 0))
	}
	api, path := freeAddress(), filepath.Join(r.folder, "coordinator.xml")
	sasp, err := coordinatorSettings(path, api, filepath.Join(r.folder, "servers.db"), servers)
	if err != nil {
		r.printf("%v", err)
		return couldNot
	}
	coordinator, err := r.start("coordinator.log", nil, fmt.Sprintf("ulimit -n %d; exec bin/snowquay serve %s", descriptors, path))
	if err != nil || !awaitListening(api) {
		r.copyLog("coordinator.log")
		return couldNot
	}
	if answer, err := pollTables(api); err != nil {
		r.printf("before: %s %v", answer, err)
		r.copyLog("coordinator.log")
		return couldNot
	}
	if r.trouble {
		var conns []net.Conn
		for range crowd {
			c, err := net.DialTimeout("tcp", sasp, time.Second)
			if err != nil {
				break
			}
			conns = append(conns, c)
		}
		r.printf("%d connections are open and say nothing", len(conns))
		time.Sleep(3 * time.Second)
		for _, c := range conns {
			c.Close()
		}
		r.printf("they are closed")
	}
	ended := make(chan error, 1)
	go func() { ended <- coordinator.Wait() }()
	answered := false
	last := ""
	for deadline := time.Now().Add(patience); time.Now().Before(deadline) && !answered; time.Sleep(500 * time.Millisecond) {
		answer, err := pollTables(api)
		answered = err == nil
		if text := fmt.Sprintf("%s %v", answer, err); text != last {
			last = text
			r.printf("a proxy polls: %s", text)
		}
		select {
		case err := <-ended:
			r.printf("the coordinator has ended: %v", err)
			r.copyLog("coordinator.log")
			return broken
		default:
		}
	}
	r.copyLog("coordinator.log")
	if !answered {
		r.printf("the process runs on and has answered nobody for %v", patience)
		return broken
	}
	return held
}

// pollTables polls as a proxy that joins.
func pollTables(api string) (string, error) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + api + "/v1/proxies/relay-1/tables?wait=1")
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return fmt.Sprintf("%d, %d bytes", response.StatusCode, len(text)), err
}
