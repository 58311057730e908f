package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"snowquay/internal/wire/discovery"
)

// socketDiscovery is a discovery service on a loopback socket.
type socketDiscovery struct {
	listener net.Listener

	mu        sync.Mutex
	fullList  string
	firstLine string   // first line of a watch; empty for the full list
	requested []string // paths of all requests
	watchers  []net.Conn
	conns     []net.Conn
}

// openSocketDiscovery starts a discovery service that is stopped at the end of the test.
func openSocketDiscovery(t *testing.T, fullList, firstLine string) *socketDiscovery {
	t.Helper()
	d := &socketDiscovery{listener: listen(t), fullList: fullList, firstLine: firstLine}
	stop := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		_ = d.listener.Close()
		d.closeAll()
	})
	go callEvery(time.Second, stop, func() { d.publish("\n") })
	go acceptAll(d.listener, d.serve)
	return d
}

func (d *socketDiscovery) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	d.mu.Lock()
	d.conns = append(d.conns, conn)
	d.mu.Unlock()
	path := ""
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if words := strings.Fields(line); len(words) == 3 && words[0] == "GET" {
			path = words[1]
		}
		if line == "\r\n" {
			d.respond(conn, path)
		}
	}
}

func (d *socketDiscovery) respond(conn net.Conn, path string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requested = append(d.requested, path)
	if path == discovery.ListPath {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(d.fullList), d.fullList)
		return
	}
	first := d.firstLine
	if first == "" {
		first = d.fullList
	}
	_, _ = io.WriteString(conn, streamHead)
	_, _ = io.WriteString(conn, encodeChunk(first+"\n"))
	d.watchers = append(d.watchers, conn)
}

// publish writes text to all watchers.
func (d *socketDiscovery) publish(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.watchers {
		_, _ = io.WriteString(conn, encodeChunk(text))
	}
}

func (d *socketDiscovery) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns {
		_ = conn.Close()
	}
}

// setFirstLine sets the first line of future watches.
func (d *socketDiscovery) setFirstLine(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.firstLine = line
}

// paths returns the paths of all requests.
func (d *socketDiscovery) paths() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.requested)
}
