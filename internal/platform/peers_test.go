package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
)

// serverList is the list that the fake discovery sends.
const serverList = `{"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:9","zone":"a","kind":"m","state":"ready","weight":1}]}`

// assignment is the part of a command that assigns a table to the only proxy.
const assignment = `"do":"bind","sidecar":1`

// fakePeer is a fake relay or discovery on a loopback socket. It responds to each line and records the lines that it
// receives.
type fakePeer struct {
	listener net.Listener
	respond  func(line string) string

	mu       sync.Mutex
	received string
}

// serve starts a peer that runs until the end of the test.
func serve(t *testing.T, respond func(line string) string) *fakePeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &fakePeer{listener: listener, respond: respond}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go peer.handle(conn)
		}
	}()
	return peer
}

func (p *fakePeer) handle(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		p.mu.Lock()
		p.received += line
		p.mu.Unlock()
		_, _ = io.WriteString(conn, p.respond(line))
	}
}

// hasReceived reports whether the received lines contain text.
func (p *fakePeer) hasReceived(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Contains(p.received, text)
}

// clearReceived discards the received lines.
func (p *fakePeer) clearReceived() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received = ""
}

// serveRelay starts a fake relay that has one proxy and accepts every command.
func serveRelay(t *testing.T) *fakePeer {
	t.Helper()
	return serve(t, func(line string) string {
		var call struct {
			ID     int    `json:"id"`
			Method string `json:"method"`
			Params struct {
				Commands []any `json:"changes"`
			} `json:"params"`
		}
		_ = json.Unmarshal([]byte(line), &call)
		if call.Method == "relay.watch" {
			return subscription(call.ID)
		}
		return fmt.Sprintf(`{"id":%d,"result":{"accepted":%d}}`+"\n", call.ID, len(call.Params.Commands))
	})
}

// serveUnresponsiveRelay starts a fake relay that has one proxy and responds only to subscriptions.
func serveUnresponsiveRelay(t *testing.T) *fakePeer {
	t.Helper()
	return serve(t, func(line string) string {
		if !strings.Contains(line, "relay.watch") {
			return ""
		}
		return subscription(1)
	})
}

// subscription returns the response to a subscription, followed by the event that a proxy has joined.
func subscription(id int) string {
	return fmt.Sprintf(`{"id":%d,"result":true}`+"\n"+`{"method":"attach","params":{"sidecar":1,"az":"a","share":2,"standing":true}}`+"\n", id)
}

// serveDiscovery starts a fake discovery with one server.
func serveDiscovery(t *testing.T) *fakePeer {
	t.Helper()
	var fullList bool // whether the current request is for the full list; there is one connection at a time
	return serve(t, func(line string) string {
		if strings.HasPrefix(line, "GET ") {
			fullList = !strings.Contains(line, "stream=1")
		}
		switch {
		case line != "\r\n":
			return ""
		case fullList:
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(serverList), serverList)
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(serverList)+1, serverList)
	})
}
