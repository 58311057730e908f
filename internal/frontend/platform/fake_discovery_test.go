package platform

import (
	"encoding/json"
	"fmt"
	"strings"

	"snowquay/internal/env"
	"snowquay/internal/wire/discovery"
)

// discoveryHeartbeat is the interval between heartbeats of discovery, in seconds.
const discoveryHeartbeat = 2

// streamHead is the response head of a watch.
const streamHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// fakeDiscovery is a discovery service in the simulated network.
type fakeDiscovery struct {
	idleProgram
	list     discovery.List
	watchers map[env.Conn]bool
	requests map[env.Conn]string // incomplete requests

	firstLine string // first line of a watch; empty for the full list
	truncated bool   // whether responses with the full list lack their second half
	silent    bool   // whether to send nothing

	fullLists     int      // number of requests for the full list
	watchRequests []string // received requests for a watch
}

func (d *fakeDiscovery) Start(now float64, io env.IO) {
	d.io = io
	d.watchers = map[env.Conn]bool{}
	d.requests = map[env.Conn]string{}
	io.SetTimer(now+discoveryHeartbeat, 0)
}

func (d *fakeDiscovery) TimerFired(now float64, _ int) {
	d.sendToWatchers("\n")
	d.io.SetTimer(now+discoveryHeartbeat, 0)
}

func (d *fakeDiscovery) Closed(_ float64, conn env.Conn) { delete(d.watchers, conn) }

func (d *fakeDiscovery) Receive(_ float64, conn env.Conn, b []byte) {
	d.requests[conn] += string(b)
	request := d.requests[conn]
	if !strings.HasSuffix(request, "\r\n\r\n") {
		return
	}
	d.requests[conn] = ""
	switch {
	case strings.HasPrefix(request, "GET /registry/instances HTTP/1.1\r\n"):
		d.fullLists++
		d.sendFullList(conn)
	case strings.HasPrefix(request, "GET /registry/instances?stream=1&index="):
		d.watchRequests = append(d.watchRequests, request)
		d.watchers[conn] = true
		d.startStream(conn)
	default:
		panic(request)
	}
}

func (d *fakeDiscovery) sendFullList(conn env.Conn) {
	if d.silent {
		return
	}
	body := encodeList(d.list.Version, true, d.list.Servers...)
	if d.truncated {
		body = body[:len(body)/2]
	}
	d.io.Send(conn, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

func (d *fakeDiscovery) startStream(conn env.Conn) {
	if d.silent {
		return
	}
	d.io.Send(conn, []byte(streamHead))
	first := d.firstLine
	if first == "" {
		first = encodeList(d.list.Version, true, d.list.Servers...)
	}
	d.sendChunk(conn, first+"\n")
}

func (d *fakeDiscovery) sendChunk(conn env.Conn, text string) {
	if !d.silent {
		d.io.Send(conn, []byte(encodeChunk(text)))
	}
}

func (d *fakeDiscovery) sendToWatchers(text string) {
	for conn := range d.watchers {
		d.sendChunk(conn, text)
	}
}

// publish sends the next version of the list, in two chunks because a line may span chunks.
func (d *fakeDiscovery) publish(full bool, servers ...discovery.Server) {
	d.list.Version++
	text := encodeList(d.list.Version, full, servers...)
	for conn := range d.watchers {
		d.sendChunk(conn, text[:len(text)/2])
		d.sendChunk(conn, text[len(text)/2:]+"\n")
	}
	if full {
		d.list.Servers = servers
	}
}

// lastWatchRequest returns the newest request for a watch.
func (d *fakeDiscovery) lastWatchRequest() string { return d.watchRequests[len(d.watchRequests)-1] }

func server(id string, state discovery.State) discovery.Server {
	return discovery.Server{ID: id, Address: "10.1.0.18:8000", Zone: "a", Kind: "m", State: state, Weight: 1}
}

func encodeList(version int64, full bool, servers ...discovery.Server) string {
	list := discovery.List{Version: version, Full: full, Servers: append([]discovery.Server{}, servers...)}
	text, _ := json.Marshal(list) // encoding a list cannot fail
	return string(text)
}

func encodeChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
