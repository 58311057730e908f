package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const settings = `{"balancers":1,"zones":["a"],"host-types":["m"],"family-info":{"data-plane-size":2,"egress-per-s":1600,"pending-max":1600,
"per-message":3,"period":0.5},"grades":[{"name":"lookup","aim":1.5,"deadline":5,"effect":"free","points":3}],"guarantees":{"cold":18},"report":{}}`

const list = `{"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:9","zone":"a","kind":"m","state":"ready","weight":1}]}`

func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "snowquay")
	if out, err := exec.Command("go", "build", "-o", bin, "snowquay/cmd/snowquay").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

// party is a relay or discovery on loopback, and how often it was dialled.
type party struct {
	net.Listener
	mu   sync.Mutex
	said string
}

func (p *party) saw(what string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Contains(p.said, what)
}

func serve(t *testing.T, answer func(line string) string) *party {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &party{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					p.mu.Lock()
					p.said += line
					p.mu.Unlock()
					_, _ = io.WriteString(c, answer(line))
				}
			}()
		}
	}()
	return p
}

func relay(t *testing.T) *party {
	return serve(t, func(line string) string {
		var m struct {
			ID     int    `json:"id"`
			Method string `json:"method"`
			Params struct {
				Changes []any `json:"changes"`
			} `json:"params"`
		}
		_ = json.Unmarshal([]byte(line), &m)
		if m.Method == "relay.watch" {
			return fmt.Sprintf(`{"id":%d,"result":true}`+"\n"+`{"method":"attach","params":{"sidecar":1,"az":"a","share":2,"standing":true}}`+"\n", m.ID)
		}
		return fmt.Sprintf(`{"id":%d,"result":{"accepted":%d}}`+"\n", m.ID, len(m.Params.Changes))
	})
}

func serveDiscovery(t *testing.T) *party {
	var whole bool // what was asked for last; one connection at a time
	return serve(t, func(line string) string {
		if strings.HasPrefix(line, "GET ") {
			whole = !strings.Contains(line, "stream=1")
		}
		if line != "\r\n" {
			return ""
		}
		if whole {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
	})
}

func within(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal(what)
}

// As tried by a new user: the built program with a configuration, a new one by SIGHUP, a wrong one, SIGTERM.
func TestTheProgramFromStartToEnd(t *testing.T) {
	disc, hub, disc2, hub2 := serveDiscovery(t), relay(t), serveDiscovery(t), relay(t)
	l := live(t, 256, disc, hub)
	within(t, "no proxy was bound", func() bool { return hub.saw(`"do":"bind","sidecar":1`) })
	within(t, "discovery is not watched", func() bool { return disc.saw("stream=1&index=1") })
	if err := os.WriteFile(l.path, []byte(`{"listen":7`), 0o600); err != nil {
		t.Fatal(err)
	}
	_ = l.Process.Signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	l.configure(t, disc2, hub2)
	_ = l.Process.Signal(syscall.SIGHUP)
	within(t, "the new addresses are not used", func() bool { return hub2.saw("relay.watch") && disc2.saw("stream=1") })
	at := time.Now()
	_ = l.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-l.ended:
		if took := time.Since(at); err != nil || took > 500*time.Millisecond {
			t.Errorf("it ended after %v: %v", took, err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("it does not end")
	}
	if n := strings.Count(l.said(), "configuration not reloaded"); n != 1 {
		t.Errorf("a wrong configuration was told %d times: %s", n, l.said())
	}
}

func TestAWrongConfigurationIsToldByFileAndKey(t *testing.T) {
	for text, want := range map[string]string{"": "unexpected end", "[]": "cannot unmarshal", "{}": "no address and port",
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","hub":{"address":"127.0.0.1:1"}}`:                                                                  "limits",
		`{"listen":"x","discovery":"127.0.0.1:1","hub":{"address":"127.0.0.1:1"}}`:                                                                            "listen",
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","hub":{"address":"127.0.0.1:1"},"limits":{"memory_mb":64,"sockets":256}}`:                          "seed",
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","hub":{"address":"127.0.0.1:1"},"limits":{"memory_mb":64,"sockets":256},"seed":"1","settings":{}}`: "grades",
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := readConfig(path); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path) {
			t.Errorf("%.60q: %v, want %q and the file", text, err, want)
		}
	}
}
