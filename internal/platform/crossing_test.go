package platform

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"snowquay/internal/wire/resp"
)

// life is the built program as it runs.
type life struct {
	*exec.Cmd
	listen string
	bin    string
	path   string // of its configuration
	ended  chan error
	mu     sync.Mutex
	out    bytes.Buffer
}

func (l *life) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(b)
}

func (l *life) said() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.String()
}

// live starts the program with at most so many descriptors, and waits until it answers.
func live(t *testing.T, descriptors int, disc, hub *party) *life {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := free.Addr().String()
	_ = free.Close()
	return start(t, build(t), at, descriptors, disc, hub)
}

func start(t *testing.T, bin, listen string, descriptors int, disc, hub *party) *life {
	t.Helper()
	l := &life{listen: listen, bin: bin, path: filepath.Join(t.TempDir(), "config.json"), ended: make(chan error, 1)}
	l.configure(t, disc, hub)
	l.Cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s platform", descriptors, bin))
	l.Env = append(os.Environ(), "PROXY_CONFIG="+l.path)
	l.Stderr, l.Stdout = l, l
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { l.ended <- l.Wait() }()
	t.Cleanup(func() { _ = l.Process.Kill() })
	within(t, "no sign of life", l.answers)
	return l
}

// configure writes the file that it reads at its start and at SIGHUP.
func (l *life) configure(t *testing.T, disc, hub *party) {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"hub":{"address":%q},"seed":"8c1f30d27a5be964","limits":{"cores":0.5,
"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`, l.listen, disc.Addr(), hub.Addr(), list, settings)
	if err := os.WriteFile(l.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (l *life) answers() bool {
	c, err := net.Dial("tcp", l.listen)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	b := make([]byte, 64)
	_, _ = io.WriteString(c, "*1\r\n$2\r\nhb\r\n")
	n, _ := c.Read(b)
	return string(b[:n]) == "*1\r\n$5\r\nhb_ok\r\n"
}

// rush has callers connect that say nothing while the program is stopped, so that it finds all of them at once.
func (l *life) rush(t *testing.T, callers int) {
	t.Helper()
	to := netip.MustParseAddrPort(l.listen)
	_ = l.Process.Signal(syscall.SIGSTOP)
	for range callers {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = unix.Close(fd) })
		if err := unix.Connect(fd, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}); err != nil && err != unix.EINPROGRESS {
			t.Fatal(err)
		}
	}
	_ = l.Process.Signal(syscall.SIGCONT)
}

// More callers wait at once than there are descriptors: the oldest that say nothing make room for those who do.
func TestARushBeyondTheDescriptorsIsSurvived(t *testing.T) {
	l := live(t, 256, serveDiscovery(t), relay(t))
	l.rush(t, 1000)
	within(t, "after a rush nobody is answered", l.answers)
	select {
	case err := <-l.ended:
		t.Errorf("it has ended: %v, %s", err, l.said())
	default:
	}
}

// With fewer descriptors than it can do with it ends and says why, so that it is started anew; it does not stay without an ear.
func TestAProgramThatCannotBeDialledEnds(t *testing.T) {
	l := live(t, 24, serveDiscovery(t), relay(t))
	l.rush(t, 100)
	select {
	case err := <-l.ended:
		if err == nil || !strings.Contains(l.said(), "no descriptor was left") {
			t.Errorf("it ended with %v: %s", err, l.said())
		}
	case <-time.After(10 * time.Second):
		if !l.answers() {
			t.Error("it runs, and nobody is answered")
		}
	}
}

// SIGTERM, twice, with a call out, a message half read, silent callers, and others that connect in the last moments: the program
// ends well and in time, and nobody is left on an open connection.
func TestItEndsInTimeWhateverIsGoingOn(t *testing.T) {
	deaf := serve(t, func(line string) string { // it takes calls and answers none
		if !strings.Contains(line, "relay.watch") {
			return ""
		}
		return `{"id":1,"result":true}` + "\n" + `{"method":"attach","params":{"sidecar":1,"az":"a","share":2,"standing":true}}` + "\n"
	})
	l := live(t, 256, serveDiscovery(t), deaf)
	within(t, "no call is out", func() bool { return deaf.saw("relay.apply") })
	half, err := net.Dial("tcp", l.listen)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(half, "*3\r\n$9\r\ntele")
	l.rush(t, 50)
	late := make(chan error)
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				late <- nil
				return
			default:
			}
			c, err := net.DialTimeout("tcp", l.listen, time.Second)
			if err != nil {
				continue // refused: it has ended
			}
			_ = c.SetDeadline(time.Now().Add(3 * time.Second))
			_, _ = io.WriteString(c, "*1\r\n$2\r\nhb\r\n")
			_, err = c.Read(make([]byte, 64))
			_ = c.Close()
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				late <- err
				return
			}
		}
	}()
	at := time.Now()
	_ = l.Process.Signal(syscall.SIGTERM)
	_ = l.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-l.ended:
		if took := time.Since(at); err != nil || took > 700*time.Millisecond {
			t.Errorf("it ended after %v: %v, %s", took, err, l.said())
		}
	case <-time.After(5 * time.Second):
		t.Fatal("it does not end")
	}
	close(stop)
	if err := <-late; err != nil {
		t.Errorf("a late caller waits for nothing: %v", err)
	}
	_ = half.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.Copy(io.Discard, half); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("who had sent half a message: %v", err)
	}
}

// SIGKILL while callers are connected and a call is out, and a new start at the same address: it is ready at once, and orders all
// that the relay may not have.
func TestANewStartAfterAKill(t *testing.T) {
	disc, hub := serveDiscovery(t), relay(t)
	l := live(t, 256, disc, hub)
	within(t, "no proxy was bound", func() bool { return hub.saw(`"do":"bind","sidecar":1`) })
	l.rush(t, 50)
	_ = l.Process.Kill()
	if err := <-l.ended; err == nil {
		t.Error("a killed process ended without an error")
	}
	hub.mu.Lock()
	hub.said = ""
	hub.mu.Unlock()
	at := time.Now()
	start(t, l.bin, l.listen, 256, disc, hub)
	if took := time.Since(at); took > 5*time.Second {
		t.Errorf("ready after %v", took)
	}
	within(t, "the proxy is not bound again", func() bool { return hub.saw(`"do":"bind","sidecar":1`) && hub.saw(`"do":"share"`) })
}

// SIGTERM while the loop is held up: the process ends in time all the same.
func TestLeavingDoesNotWaitForALoopThatIsHeldUp(t *testing.T) {
	free := make(chan struct{})
	defer close(free)
	at := time.Now()
	shutDown(func() { <-free })
	if took := time.Since(at); took > 650*time.Millisecond {
		t.Errorf("it left after %v", took)
	}
}

// A list of servers in the configuration that can't be read holds up nobody: discovery tells all.
func TestAWrongListInTheConfigurationIsNotUsed(t *testing.T) {
	for _, known := range []string{`null`, `{}`, `7`, `{"version":1,"servers":{}}`} {
		path := filepath.Join(t.TempDir(), "config.json")
		text := fmt.Sprintf(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","hub":{"address":"127.0.0.1:1"},"seed":"1","limits":{"memory_mb":64,
"sockets":256},"known":%s,"settings":%s}`, known, settings)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if c, err := readConfig(path); err != nil || c.program.CachedList != nil || c.program.CachedListErr == nil {
			t.Errorf("%s: %v, %+v", known, err, c)
		}
	}
}

// Guards against memory that grows by answers that nobody reads: a collector that asks for signs of life for ever and reads none is cut
// off, and the others are served.
func TestACollectorThatReadsNothingIsCutOff(t *testing.T) {
	disc, hub := serveDiscovery(t), relay(t)
	l := live(t, 256, disc, hub)
	c, err := net.Dial("tcp", l.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(resp.Append(nil, "telemetry", "az", "a")); err != nil {
		t.Fatal(err)
	}
	many := bytes.Repeat(resp.Append(nil, "hb"), 1000)
	written := 0
	for range 5000 { // 60 MB of requests, 75 MB of answers
		if err = c.SetWriteDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		var n int
		n, err = c.Write(many)
		if written += n; err != nil {
			break
		}
	}
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after %d bytes of requests whose answers are not read: %v", written, err)
	}
	other, err := net.Dial("tcp", l.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	answer := make([]byte, len(resp.Append(nil, "hb_ok")))
	if _, err = other.Write(resp.Append(nil, "hb")); err == nil {
		_ = other.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = io.ReadFull(other, answer)
	}
	if err != nil || string(answer) != string(resp.Append(nil, "hb_ok")) {
		t.Errorf("another caller is answered %q, %v", answer, err)
	}
}
