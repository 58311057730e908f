package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// receivedCall is one that the program makes, until the test answers it.
type receivedCall struct {
	conn     net.Conn
	id       uint64
	commands []map[string]any
}

func (c receivedCall) accept(t *testing.T) {
	t.Helper()
	c.respond(t, `{"jsonrpc":"2.0","id":%d,"result":{"accepted":%d}}`, c.id, len(c.commands))
}

func (c receivedCall) respond(t *testing.T, format string, args ...any) {
	t.Helper()
	if _, err := fmt.Fprintf(c.conn, format+"\n", args...); err != nil {
		t.Errorf("the link of call %d: %v", c.id, err)
	}
}

func (c receivedCall) weights() map[string]float64 {
	w := map[string]float64{}
	for _, o := range c.commands {
		if o["do"] == "share" {
			w[o["host"].(string)] = o["share"].(float64)
		}
	}
	return w
}

func (c receivedCall) assignedProxies() (list []int) {
	for _, o := range c.commands {
		if o["do"] == "bind" {
			list = append(list, int(o["sidecar"].(float64)))
		}
	}
	return list
}

// socketRelay is a relay whose calls the test answers. It answers watches by itself, and gives a sign of life four times a second.
type socketRelay struct {
	net.Listener
	calls       chan receivedCall
	mu          sync.Mutex
	joined      []int
	subscribers []net.Conn // with news
	silent      bool       // it takes connections and says nothing
	opened      int
}

func openSocketRelay(t *testing.T, joined ...int) *socketRelay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &socketRelay{Listener: l, calls: make(chan receivedCall, 100), joined: joined, silent: len(joined) == 0}
	stop := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		_ = l.Close()
		h.closeSubscribers()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
				h.broadcast(`{"jsonrpc":"2.0","method":"ping"}`)
			}
		}
	}()
	return h
}

func (h *socketRelay) serve(c net.Conn) {
	h.mu.Lock()
	h.opened++
	h.mu.Unlock()
	defer func() {
		_ = c.Close()
		h.mu.Lock()
		h.subscribers = slices.DeleteFunc(h.subscribers, func(o net.Conn) bool { return o == c })
		h.mu.Unlock()
	}()
	for r := bufio.NewReader(c); ; {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		var m struct {
			ID     uint64 `json:"id"`
			Method string `json:"method"`
			Params struct {
				Changes []map[string]any `json:"changes"`
			} `json:"params"`
		}
		if json.Unmarshal([]byte(text), &m) != nil {
			return
		}
		if m.Method == "relay.apply" {
			h.calls <- receivedCall{c, m.ID, m.Params.Changes}
			continue
		}
		h.mu.Lock()
		if !h.silent {
			_, _ = fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"result":true}`+"\n", m.ID)
			for _, p := range h.joined {
				_, _ = fmt.Fprintln(c, joinLine(p))
			}
			h.subscribers = append(h.subscribers, c)
		}
		h.mu.Unlock()
	}
}

func joinLine(p int) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","method":"attach","params":{"sidecar":%d,"az":"a","share":5,"standing":true}}`, p)
}

// broadcast writes news to all links.
func (h *socketRelay) broadcast(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.subscribers {
		_, _ = fmt.Fprintln(c, text)
	}
}

func (h *socketRelay) join(p int) {
	h.mu.Lock()
	h.joined = append(h.joined, p)
	h.mu.Unlock()
	h.broadcast(joinLine(p))
}

// closeSubscribers ends all links in one moment, but those named.
func (h *socketRelay) closeSubscribers(but ...net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.subscribers {
		if !slices.Contains(but, c) {
			_ = c.Close()
		}
	}
}

func (h *socketRelay) subscriberCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.subscribers)
}

// nextCall is the next call.
func (h *socketRelay) nextCall(t *testing.T) receivedCall {
	t.Helper()
	select {
	case c := <-h.calls:
		return c
	case <-time.After(waitLimit):
		t.Fatal("no call came")
		return receivedCall{}
	}
}

// expectNoCall of the calls that come for a while orders what is told.
func (h *socketRelay) expectNoCall(t *testing.T, what string, is func(receivedCall) bool) {
	t.Helper()
	for end := time.After(300 * time.Millisecond); ; {
		select {
		case c := <-h.calls:
			if c.accept(t); is(c) {
				t.Errorf("%s: %v", what, c.commands)
			}
		case <-end:
			return
		}
	}
}

// awaitCall answers calls until one is as told; that one the test answers.
func (h *socketRelay) awaitCall(t *testing.T, what string, is func(receivedCall) bool) receivedCall {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		select {
		case c := <-h.calls:
			if is(c) {
				return c
			}
			c.accept(t)
		case <-time.After(10 * time.Millisecond):
		}
	}
	t.Fatalf("no call came that %s", what)
	return receivedCall{}
}
