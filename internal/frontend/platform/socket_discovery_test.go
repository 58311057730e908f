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

// socketDiscovery is a discovery.
type socketDiscovery struct {
	net.Listener
	mu        sync.Mutex
	fullList  string   // the whole list
	firstLine string   // of the lines of a watch; empty: the whole list
	requested []string // paths
	watchers  []net.Conn
}

func openSocketDiscovery(t *testing.T, whole, first string) *socketDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &socketDiscovery{Listener: l, fullList: whole, firstLine: first}
	stop := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		_ = l.Close()
	})
	go func() { // signs of life, as an agent gives them
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				o.publish("\n")
			}
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go o.serve(c)
		}
	}()
	return o
}

func (o *socketDiscovery) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	path := ""
	for r := bufio.NewReader(c); ; {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if f := strings.Fields(text); len(f) == 3 && f[0] == "GET" {
			path = f[1]
		}
		if text != "\r\n" {
			continue
		}
		o.mu.Lock()
		if o.requested = append(o.requested, path); path == discovery.ListPath {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(o.fullList), o.fullList)
		} else {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			if o.firstLine != "" {
				writeChunk(c, o.firstLine+"\n")
			} else {
				writeChunk(c, o.fullList+"\n")
			}
			o.watchers = append(o.watchers, c)
		}
		o.mu.Unlock()
	}
}

func writeChunk(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func (o *socketDiscovery) publish(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.watchers {
		writeChunk(c, text)
	}
}

func (o *socketDiscovery) paths() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.requested)
}
