// Command standin-2 holds the stand-ins and the checks of the cases in review/6 to review/10. It plays one case: it starts the
// program as the deploy file says, on loopback, plays clients, servers and the platform, and writes what it saw to a record.
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// recorder writes the record of a run.
type recorder struct {
	mu     sync.Mutex
	file   *os.File
	folder string // temporary; it is left out of the record
	start  time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), r.folder, "FOLDER")
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), text)
}

// run is what a case gets.
type run struct {
	*recorder
	root     string // of the repository
	trouble  bool
	children []*exec.Cmd
}

var cases = map[string]func(*run) int{}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the root of the repository")
	record := flag.String("record", "record.txt", "the file for the record")
	flag.Parse()
	os.Exit(play(*name, *root, *record))
}

func play(name, root, record string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer os.RemoveAll(folder)
	r := &run{recorder: &recorder{file: file, folder: folder, start: time.Now()}, root: root, trouble: os.Getenv("TROUBLE") != "0"}
	f := cases[name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return couldNot
	}
	r.printf("case %s, trouble %v", name, r.trouble)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if reason := recover(); reason != nil {
				r.printf("the case ended with a panic: %v", reason)
				result <- couldNot
			}
		}()
		result <- f(r)
	}()
	code := couldNot
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stopped:
		r.printf("stopped by a signal")
	case code = <-result:
	case <-time.After(110 * time.Second):
		r.printf("the case took too long")
	}
	r.endChildren()
	r.printf("%s", map[int]string{held: "the rule held", broken: "the rule was broken", couldNot: "the case couldn't run"}[code])
	return code
}

// start starts a command in the root of the repository, in a process group of its own, with its log in the temporary folder.
func (r *run) start(log string, environment []string, command string) (*exec.Cmd, error) {
	out, err := os.Create(filepath.Join(r.folder, log))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = r.root
	cmd.Env = append(os.Environ(), environment...)
	cmd.Env = append(cmd.Env, "TMPDIR="+r.folder)
	cmd.Stdout = out
	cmd.Stderr = out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r.children = append(r.children, cmd)
	r.printf("started %q", command)
	return cmd, nil
}

func (r *run) endChildren() {
	for _, cmd := range r.children {
		_ = cmd.Process.Kill() // an error means that it has ended
		_ = cmd.Wait()
	}
}

// copyLog writes the log of a process to the record, at most 60 lines.
func (r *run) copyLog(log string) {
	text, err := os.ReadFile(filepath.Join(r.folder, log))
	if err != nil {
		return
	}
	if len(text) > 12000 {
		text = append(append(text[:6000:6000], "\n[...]\n"...), text[len(text)-6000:]...)
	}
	r.printf("log %s:\n%s", log, text)
}

var errNoRun = errors.New("the deploy file has no run")

// deployRun returns the command of the deploy file that starts a coordinator on the platform.
func (r *run) deployRun() (string, error) {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if found == nil {
		return "", errNoRun
	}
	return string(found[1]), nil
}

// listen listens on a free port of loopback.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

func freeAddress() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}
