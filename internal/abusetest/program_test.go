package abusetest

import (
	"bytes"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// abuseSeconds is how long the clients of a case keep on.
var abuseSeconds = flag.Float64("abuse.seconds", 1, "seconds for which the clients of each case keep on")

const (
	maxResidentMB = 192                     // the memory limit of the process
	maxAnswerTime = 1500 * time.Millisecond // longest time until another client has its answer: the goal-time of the settings
	probeInterval = 25 * time.Millisecond   // time between two requests of the other client
	startTimeout  = 10 * time.Second        // time until a program answers
	descriptors   = 1024                    // the process's limit on file descriptors
	probeTimeout  = 10 * time.Second        // time after which a request of the other client counts as not answered
	settleTime    = 300 * time.Millisecond  // time for a program to read what was sent to it
)

var programPath string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

// runTests builds the program, unless SNOWQUAY_BINARY names one, and runs the tests.
func runTests(m *testing.M) int {
	programPath = os.Getenv("SNOWQUAY_BINARY")
	if programPath != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "snowquay")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programPath = filepath.Join(dir, "snowquay")
	output, err := exec.Command("go", "build", "-o", programPath, "snowquay/cmd/snowquay").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "building the program: %v: %s\n", err, output)
		return 1
	}
	return m.Run()
}

// process is a running process of the program.
type process struct {
	command *exec.Cmd
	ended   chan struct{}

	mu     sync.Mutex
	output bytes.Buffer
}

// startProcess starts the program and waits until ready returns no error.
func startProcess(t *testing.T, environment []string, ready func() error, arguments ...string) *process {
	t.Helper()
	return startLimited(t, descriptors, environment, ready, arguments...)
}

// startLimited is startProcess with a limit on file descriptors.
func startLimited(t *testing.T, descriptors int, environment []string, ready func() error, arguments ...string) *process {
	t.Helper()
	p := &process{ended: make(chan struct{})}
	shell := fmt.Sprintf("ulimit -n %d && exec %s %s", descriptors, programPath, strings.Join(arguments, " "))
	p.command = exec.Command("sh", "-c", shell)
	p.command.Env = append(os.Environ(), environment...)
	p.command.Dir = t.TempDir()
	p.command.Stdout = p
	p.command.Stderr = p
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	var err error
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if err = ready(); err == nil {
			return p
		}
	}
	t.Fatalf("the program is not ready: %v; log: %s", err, p.logged())
	return nil
}

// Write records the log of the program.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.output.Len() < 1<<20 {
		p.output.Write(b)
	}
	return len(b), nil
}

func (p *process) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// peakResidentMB returns the greatest resident memory that the process has had.
func (p *process) peakResidentMB(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		t.Fatalf("the process has ended: %v; log: %.2000s", err, p.logged())
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatalf("the process has ended; log: %.2000s", p.logged())
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes >> 10
}

// acceptEach accepts loopback connections until the end of the test, and handles each of them on a goroutine of its own. It returns
// its address.
func acceptEach(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// allReady returns a function for startProcess that waits for the answers of several fronts. They do not start to listen at the same
// time, and a test may use each of them at once.
func allReady(fronts ...probe) func() error {
	return func() error {
		for _, front := range fronts {
			if err := front(); err != nil {
				return err
			}
		}
		return nil
	}
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
