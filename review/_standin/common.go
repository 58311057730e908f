// Command standin plays everything around the project's programs in the review cases: clients, servers, relay and
// discovery. Each subcommand is one case. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	stopAfter = 2 * time.Second // between SIGTERM and SIGKILL of a program
)

// record is the record of a run, with times in seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// env is what each case gets.
type env struct {
	root    string // root of the repository
	folder  string // temporary folder of the run
	trouble bool
	rec     *record
}

// process is a program that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// start starts a program from the root of the repository. Its log goes into the temporary folder.
func (e *env) start(name, command string, environ ...string) (*process, error) {
	log, err := os.Create(filepath.Join(e.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{})}
	p.cmd.Dir = e.root
	p.cmd.Env = append(os.Environ(), environ...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	e.rec.printf("started %s: %s (process %d)", name, command, p.cmd.Process.Pid)
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop ends the process.
func (p *process) stop() {
	if p == nil || p.ended() {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopAfter):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// runCommand returns the value of run in the deploy file.
func (e *env) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(e.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("the deploy file has no run")
	}
	return string(match[1]), nil
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func portOf(address string) uint16 { return netip.MustParseAddrPort(address).Port() }

// eventually waits until a condition holds.
func eventually(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// cases holds the cases by name. Each file adds its own.
var cases = map[string]func(*env) int{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-standin CASE ROOT FOLDER")
		return couldNot
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer func() { _ = os.RemoveAll(folder) }()
	e := &env{root: os.Args[2], folder: folder, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	rec.printf("case %s, disruption: %t", os.Args[1], e.trouble)
	result := cases[os.Args[1]](e)
	rec.say("result: %s", map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN", couldNot: "the case could not run"}[result])
	return result
}
