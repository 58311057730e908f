package platform

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"snowquay/internal/testaddress"
)

var (
	soakSeeds     = flag.Int("soak-seeds", 12, "number of soak test runs")
	soakFirstSeed = flag.Uint64("soak-first", 1, "seed of the first soak test run")
	soakParallel  = flag.Int("soak-parallel", 4, "number of soak test runs in parallel")
)

const (
	soakSeconds      = 9.0 // length of the fault phase
	soakProxies      = 20
	soakExtraProxies = 300
	soakDescriptors  = 384
	soakMemoryMB     = 64

	exitAfterTERM      = 500 * time.Millisecond
	killAfterTERM      = 700 * time.Millisecond // the platform sends SIGKILL at this time at the earliest
	readyTimeout       = 10 * time.Second
	convergenceTimeout = 12 * time.Second // after the last fault; the drain deadline is 3 s, and a list counts as delivered after 6 s
)

const soakSettings = `{"balancers":2,"zones":["a"],"host-types":["m"],"family-info":{"data-plane-size":400,"egress-per-s":4000,"pending-max":4000,
"per-message":3,"period":0.5,"propagation":0.02,"late-most":0.3,"unserved-max":3},"grades":[{"name":"lookup","aim":1.5,"deadline":5,"effect":"free",
"points":3}],"guarantees":{"cold":5,"stop-sending-within":3},"report":{}}`

// soakNode is a coordinator with its fake relays and discoveries, each at two addresses.
type soakNode struct {
	t           *testing.T
	commandLine string // shell command that starts the program
	address     string
	config      string // path of the configuration file
	state       *relayState
	servers     *serverSet
	relays      [2]*soakRelay
	discovery   [2]*soakDiscovery
	clients     *soakClients
	startedAt   time.Time

	mu           sync.Mutex
	log          strings.Builder
	violations   []string
	active       int // index of the addresses in the current configuration
	process      *soakProcess
	restarts     int
	activeFaults sync.WaitGroup // faults that have not ended yet
}

// soakProcess is a coordinator process.
type soakProcess struct {
	*exec.Cmd
	ended    chan struct{}
	err      error // result of Wait, valid once ended is closed
	signaled bool  // whether SIGTERM or SIGKILL was sent
	output   strings.Builder
}

func newSoakNode(t *testing.T, commandLine string) *soakNode {
	t.Helper()
	n := &soakNode{t: t, commandLine: commandLine, state: newRelayState(soakProxies), servers: newServerSet(8), startedAt: time.Now()}
	for i := range n.relays {
		n.relays[i] = startSoakRelay(t, n.state)
		n.discovery[i] = startSoakDiscovery(t, n.servers)
	}
	n.address = testaddress.Next().String()
	n.config = filepath.Join(t.TempDir(), "config.json")
	n.configure(0)
	return n
}

// logf adds a line with the current time to the log of the run.
func (n *soakNode) logf(format string, arguments ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	fmt.Fprintf(&n.log, "%7.3f %s %s\n", now.Sub(n.startedAt).Seconds(), now.Format("05.000"), fmt.Sprintf(format, arguments...))
}

func (n *soakNode) addViolation(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	n.logf("VIOLATION: %s", text)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.violations = append(n.violations, text)
}

// configure writes a configuration with the relay and discovery addresses of the given index.
func (n *soakNode) configure(active int) {
	n.active = active
	writeConfig(n.t, n.config, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"hub":{"address":%q},"seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`, n.address, n.discovery[active].address(), n.relays[active].address(),
		soakMemoryMB, soakDescriptors, n.servers.fullList(), soakSettings))
}

// start starts a process and waits until it is ready.
func (n *soakNode) start() {
	n.launch()
	n.awaitReady()
}

// launch starts a process with the command of the deploy file.
func (n *soakNode) launch() {
	n.state.reset()
	p := &soakProcess{ended: make(chan struct{})}
	p.Cmd = exec.Command("/bin/sh", "-c", n.commandLine)
	p.Env = append(os.Environ(), configVariable+"="+n.config)
	p.Stdout = &p.output
	p.Stderr = &p.output
	if err := p.Start(); err != nil {
		n.t.Error(err)
		return
	}
	n.process = p
	n.logf("started process %d", p.Process.Pid)
	go n.awaitExit(p)
}

// launchAndSignal starts a process and sends it a signal a few milliseconds after the shell has executed the program.
func (n *soakNode) launchAndSignal(signal syscall.Signal, choice int) {
	n.launch()
	comm := fmt.Sprintf("/proc/%d/comm", n.process.Process.Pid)
	for name := ""; name != "snowquay\n"; {
		text, err := os.ReadFile(comm)
		if err != nil {
			return // the process has exited
		}
		name = string(text)
	}
	time.Sleep(time.Duration(choice%12) * time.Millisecond)
	n.signal(signal)
}

func (n *soakNode) awaitReady() {
	startedAt := time.Now()
	for !isReadyAt(n.address) {
		if time.Since(startedAt) > readyTimeout {
			n.addViolation("not ready within %v", readyTimeout)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	n.logf("ready after %.3f s", time.Since(startedAt).Seconds())
}

// awaitExit waits until a process exits, and adds a violation if neither SIGTERM nor SIGKILL was sent to it.
func (n *soakNode) awaitExit(p *soakProcess) {
	p.err = p.Wait()
	n.mu.Lock()
	signaled := p.signaled
	n.mu.Unlock()
	close(p.ended)
	if !signaled {
		n.addViolation("the process exited without a signal: %v\n%s", p.err, p.output.String())
	}
}

// isReadyAt reports whether a readiness check at an address gets a response within a second.
func isReadyAt(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write(readinessCheck)
	answer := make([]byte, len(readyAnswer))
	count, _ := conn.Read(answer)
	return string(answer[:count]) == readyAnswer
}

// signal sends a signal to the process. It has no effect if the process has exited.
func (n *soakNode) signal(signal syscall.Signal) {
	n.mu.Lock()
	n.process.signaled = n.process.signaled || signal != syscall.SIGHUP
	n.mu.Unlock()
	_ = n.process.Process.Signal(signal)
}

// terminate sends the given signals, then SIGKILL if the process has not exited at the earliest time that the platform allows. It
// restarts the process at the same address immediately.
func (n *soakNode) terminate(signals ...syscall.Signal) {
	p := n.process
	sentAt := time.Now()
	for _, signal := range signals {
		n.signal(signal)
	}
	select {
	case <-p.ended:
		took := time.Since(sentAt)
		n.logf("exited after %.3f s: %v", took.Seconds(), p.err)
		if p.err != nil || took > exitAfterTERM {
			n.addViolation("the process exited %v after SIGTERM, want 500 ms at most and no error: %v\n%s", took, p.err, p.output.String())
		}
	case <-time.After(killAfterTERM):
		n.addViolation("the process is still running %v after SIGTERM", killAfterTERM)
		n.kill()
	}
	n.restarts++
	n.start()
}

// awaitExitAtStart waits until a process exits that received SIGTERM possibly before it was listening. It may have been terminated by
// the signal itself, before it handled signals.
func (n *soakNode) awaitExitAtStart() {
	select {
	case <-n.process.ended:
		n.logf("exited at its start: %v", n.process.err)
	case <-time.After(exitAfterTERM):
		n.addViolation("the process is still running %v after a SIGTERM at its start", exitAfterTERM)
		n.kill()
	}
}

func (n *soakNode) kill() {
	from := time.Now()
	n.signal(syscall.SIGKILL)
	<-n.process.ended
	n.clients.recordKill(from)
}

// runAfter runs a function that ends a fault after the given duration.
func (n *soakNode) runAfter(duration time.Duration, end func()) {
	n.activeFaults.Go(func() {
		time.Sleep(duration)
		end()
	})
}

// resources contains the resource usage of a process.
type resources struct{ descriptors, threads, residentKB int }

func (n *soakNode) resources() resources {
	folder := fmt.Sprintf("/proc/%d/", n.process.Process.Pid)
	descriptors, _ := os.ReadDir(folder + "fd")
	status, _ := os.ReadFile(folder + "status")
	return resources{descriptors: len(descriptors), threads: statusValue(string(status), "Threads:"), residentKB: statusValue(string(status), "VmRSS:")}
}

func statusValue(status, key string) int {
	_, rest, _ := strings.Cut(status, key)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	value, _ := strconv.Atoi(fields[0])
	return value
}

// awaitConvergence waits until all faults have ended and all proxies have correct tables. It adds a violation if that takes longer
// than convergenceTimeout.
func (n *soakNode) awaitConvergence() {
	n.activeFaults.Wait()
	end := time.Now().Add(convergenceTimeout)
	tableFault := n.state.tableFault(n.servers.ready())
	for tableFault != "" && time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		tableFault = n.state.tableFault(n.servers.ready())
	}
	if tableFault != "" {
		n.addViolation("%v after the last fault: %s\n%s", convergenceTimeout, tableFault, n.process.output.String())
		return
	}
	n.logf("tables have converged")
}

// run executes a whole run of one coordinator.
func (n *soakNode) run(events []soakEvent) {
	n.start()
	n.awaitConvergence()
	before := n.resources()
	n.clients = startClients(n.address)
	faultsAt := time.Now()
	for _, event := range events {
		time.Sleep(time.Until(faultsAt.Add(event.at)))
		n.inject(event)
	}
	n.awaitConvergence()
	for _, text := range n.clients.finish() {
		n.addViolation("%s", text)
	}
	n.logf("%d responses to readiness checks, %d restarts", n.clients.answers.Load(), n.restarts)
	time.Sleep(1500 * time.Millisecond) // the coordinator closes the connections that the clients have left open
	after := n.resources()
	n.logf("resources: %+v before the faults, %+v after", before, after)
	if after.descriptors > before.descriptors+2 || after.threads > before.threads+4 || after.residentKB > soakMemoryMB<<10 {
		n.addViolation("resource usage was %+v before the faults and is %+v after; want 2 more descriptors and 4 more threads at most, and 64 MB", before, after)
	}
	n.signal(syscall.SIGTERM)
	select {
	case <-n.process.ended:
	case <-time.After(killAfterTERM):
		n.addViolation("the process is still running %v after the last SIGTERM", killAfterTERM)
		n.kill()
	}
}

// TestSoak runs several coordinators of the built program at once through series of signals and through faults of relays, discovery
// and clients, and observes them from outside. A process must exit only on a signal, and then in time. It must respond to every
// readiness check that it has read. Afterwards all proxies must have tables of ready servers, and the process must not use more
// resources than before.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in real time")
	}
	commandLine := deployCommand(t)
	limit := make(chan struct{}, *soakParallel)
	for i := range *soakSeeds {
		seed := *soakFirstSeed + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			limit <- struct{}{}
			defer func() { <-limit }()
			runSoak(t, commandLine, seed)
		})
	}
}

func runSoak(t *testing.T, commandLine string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0x50a))
	var nodes []*soakNode
	var runs sync.WaitGroup
	for range 2 {
		node := newSoakNode(t, commandLine)
		nodes = append(nodes, node)
		events := drawEvents(random)
		runs.Go(func() { node.run(events) })
	}
	runs.Wait()
	for i, node := range nodes {
		if len(node.violations) > 0 {
			t.Errorf("seed %d, coordinator %d: %d violations, log:\n%s", seed, i, len(node.violations), node.log.String())
		} else if testing.Verbose() {
			t.Logf("coordinator %d:\n%s", i, node.log.String())
		}
	}
}

// deployCommand builds the program as for a deployment, and returns the run command of the deploy file with the path of the built
// program.
func deployCommand(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "snowquay")
	command := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", binary, "snowquay/cmd/snowquay")
	command.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("building the program: %v: %s", err, output)
	}
	file, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(file), "\nrun = \"")
	commandLine, _, found := strings.Cut(rest, "\"")
	if !found || !strings.Contains(commandLine, "bin/snowquay") {
		t.Fatalf("the run command of the deploy file is %q, want one with bin/snowquay", commandLine)
	}
	return strings.Replace(commandLine, "bin/snowquay", binary, 1)
}
