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
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"snowquay/internal/testaddress"
	"snowquay/internal/wire/resp"
)

var (
	readinessCheck = resp.Append(nil, "hb")
	readyAnswer    = string(resp.Append(nil, "hb_ok"))
)

// process is a running process of the built program.
type process struct {
	*exec.Cmd
	address string
	binary  string
	config  string // path of its configuration file
	ended   chan error

	mu     sync.Mutex
	output bytes.Buffer
}

// build compiles the program.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "snowquay")
	if output, err := exec.Command("go", "build", "-o", binary, "snowquay/cmd/snowquay").CombinedOutput(); err != nil {
		t.Fatalf("building the program: %v: %s", err, output)
	}
	return binary
}

// startProcess builds the program, starts it with a limit on file descriptors and waits until it is ready.
func startProcess(t *testing.T, descriptors int, discovery, relay *fakePeer) *process {
	t.Helper()
	return startBinary(t, build(t), testaddress.Next().String(), descriptors, discovery, relay)
}

func startBinary(t *testing.T, binary, address string, descriptors int, discovery, relay *fakePeer) *process {
	t.Helper()
	p := &process{
		address: address,
		binary:  binary,
		config:  filepath.Join(t.TempDir(), "config.json"),
		ended:   make(chan error, 1),
	}
	p.configure(t, discovery, relay)
	p.Cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s platform", descriptors, binary))
	p.Env = append(os.Environ(), configVariable+"="+p.config)
	p.Stderr = p
	p.Stdout = p
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.Wait() }()
	t.Cleanup(func() { _ = p.Process.Kill() })
	if !becomesTrue(p.isReady) {
		t.Fatalf("the program is not ready, log: %s", p.logged())
	}
	return p
}

// configure writes the configuration file, which the program reads at startup and on SIGHUP.
func (p *process) configure(t *testing.T, discovery, relay *fakePeer) {
	t.Helper()
	writeConfig(t, p.config, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"hub":{"address":%q},"seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`, p.address, discovery.listener.Addr(), relay.listener.Addr(),
		serverList, settings))
}

// Write records the log output of the program.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(b)
}

// logged returns the log output of the program so far.
func (p *process) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// isReady reports whether the program responds to a readiness check within a second.
func (p *process) isReady() bool {
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write(readinessCheck)
	answer := make([]byte, 64)
	count, _ := conn.Read(answer)
	return string(answer[:count]) == readyAnswer
}

// flood connects clients that send nothing. The program is stopped meanwhile, so that it finds all connections at once
// when it continues.
func (p *process) flood(t *testing.T, clients int) {
	t.Helper()
	to := netip.MustParseAddrPort(p.address)
	address := &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}
	_ = p.Process.Signal(syscall.SIGSTOP)
	for range clients {
		socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = unix.Close(socket) })
		if err := unix.Connect(socket, address); err != nil && err != unix.EINPROGRESS {
			t.Fatal(err)
		}
	}
	_ = p.Process.Signal(syscall.SIGCONT)
}

// awaitExit waits until the program exits. It fails the test if the program exits with an error or later than allowed
// after since.
func (p *process) awaitExit(t *testing.T, since time.Time, allowed time.Duration) {
	t.Helper()
	select {
	case err := <-p.ended:
		if took := time.Since(since); err != nil || took > allowed {
			t.Errorf("the program exited after %v with error %v, want no error and an exit in time; log: %s", took, err, p.logged())
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the program did not exit within 5 s")
	}
}

// eventually waits until a condition holds and fails the test with the given message if it does not hold within 10 s.
func eventually(t *testing.T, failure string, holds func() bool) {
	t.Helper()
	if !becomesTrue(holds) {
		t.Fatal(failure)
	}
}

// becomesTrue waits until a condition holds. It returns false if it does not hold within 10 s.
func becomesTrue(holds func() bool) bool {
	end := time.Now().Add(10 * time.Second)
	for time.Now().Before(end) {
		if holds() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// readToEOF reads from a connection until EOF.
func readToEOF(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, err := io.Copy(io.Discard, conn)
	return err
}
