package platform

import (
	"bytes"
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
)

// life is the built program as it runs.
type life struct {
	*exec.Cmd
	listen string
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
	bin, path := build(t), filepath.Join(t.TempDir(), "config.json")
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &life{listen: free.Addr().String(), ended: make(chan error, 1)}
	_ = free.Close()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"hub":{"address":%q},"seed":"8c1f30d27a5be964","limits":{"cores":0.5,
"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`, l.listen, disc.Addr(), hub.Addr(), list, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	l.Cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s platform", descriptors, bin))
	l.Env = append(os.Environ(), "PROXY_CONFIG="+path)
	l.Stderr, l.Stdout = l, l
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { l.ended <- l.Wait() }()
	t.Cleanup(func() { _ = l.Process.Kill() })
	within(t, "no sign of life", l.answers)
	return l
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
	l := live(t, 256, discovery(t), relay(t))
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
	l := live(t, 24, discovery(t), relay(t))
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

// SIGTERM while the loop is held up: the process ends in time all the same.
func TestLeavingDoesNotWaitForALoopThatIsHeldUp(t *testing.T) {
	free := make(chan struct{})
	defer close(free)
	at := time.Now()
	leave(func() { <-free })
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
		if _, _, place, err := read(path); err != nil || place.Known != nil || place.KnownWrong == nil {
			t.Errorf("%s: %v, %+v", known, err, place.Known)
		}
	}
}
