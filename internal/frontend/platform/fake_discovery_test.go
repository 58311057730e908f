package platform

import (
	"encoding/json"
	"fmt"
	"strings"

	"snowquay/internal/env"
	"snowquay/internal/wire/discovery"
)

// fakeDiscovery is discovery.
type fakeDiscovery struct {
	idleProgram
	watchers map[env.Conn]bool
	list     discovery.List
	requests map[env.Conn]string
	silent   bool

	firstLine     string   // of a watch's lines, where it is not the whole list
	truncated     bool     // the whole list is cut short
	fullLists     int      // times that the whole list was asked for
	watchRequests []string // requests for a watch
}

func (a *fakeDiscovery) Start(now float64, io env.IO) {
	a.io, a.watchers, a.requests = io, map[env.Conn]bool{}, map[env.Conn]string{}
	io.SetTimer(now+2, 0)
}

func (a *fakeDiscovery) sendChunk(c env.Conn, text string) {
	if !a.silent {
		a.io.Send(c, fmt.Appendf(nil, "%x\r\n%s\r\n", len(text), text))
	}
}

func (a *fakeDiscovery) TimerFired(now float64, _ int) {
	for c := range a.watchers {
		a.sendChunk(c, "\n")
	}
	a.io.SetTimer(now+2, 0)
}

func (a *fakeDiscovery) Closed(_ float64, c env.Conn) { delete(a.watchers, c) }

func (a *fakeDiscovery) publish(full bool, servers ...discovery.Server) {
	a.list.Version++
	b, _ := json.Marshal(discovery.List{Version: a.list.Version, Full: full, Servers: servers})
	for c := range a.watchers { // in two chunks: a line need not end where a chunk does
		a.sendChunk(c, string(b[:len(b)/2]))
		a.sendChunk(c, string(b[len(b)/2:])+"\n")
	}
	if full {
		a.list.Servers = servers
	}
}

func (a *fakeDiscovery) Receive(_ float64, c env.Conn, b []byte) {
	if a.requests[c] += string(b); !strings.HasSuffix(a.requests[c], "\r\n\r\n") {
		return
	}
	asked := a.requests[c]
	if a.requests[c] = ""; strings.HasPrefix(asked, "GET /registry/instances HTTP/1.1\r\n") {
		a.fullLists++
		if full, _ := json.Marshal(discovery.List{Version: a.list.Version, Full: true, Servers: a.list.Servers}); !a.silent {
			if a.truncated {
				full = full[:len(full)/2]
			}
			a.io.Send(c, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(full), full))
		}
		return
	}
	if !strings.HasPrefix(asked, "GET /registry/instances?stream=1&index=") {
		panic(asked)
	}
	a.watchRequests = append(a.watchRequests, asked)
	a.watchers[c] = true
	if !a.silent {
		a.io.Send(c, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		first, _ := json.Marshal(discovery.List{Version: a.list.Version, Full: true, Servers: a.list.Servers})
		if a.firstLine != "" {
			first = []byte(a.firstLine)
		}
		a.sendChunk(c, string(first)+"\n")
	}
}

func server(id string, state discovery.State) discovery.Server {
	return discovery.Server{ID: id, Address: "10.1.0.18:8000", Zone: "a", Kind: "m", State: state, Weight: 1}
}

func encodeList(version int64, full bool, servers ...discovery.Server) string {
	b, _ := json.Marshal(discovery.List{Version: version, Full: full, Servers: append([]discovery.Server{}, servers...)})
	return string(b)
}
