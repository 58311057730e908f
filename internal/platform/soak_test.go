package platform

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var (
	soakSeeds = flag.Int("soak-seeds", 12, "runs of the soak")
	soakFirst = flag.Uint64("soak-first", 1, "first seed of the soak")
	soakSide  = flag.Int("soak-parallel", 4, "runs of the soak at once")
)

const (
	soakSeconds      = 9.0 // of faults
	soakProxies      = 20
	soakCrowdProxies = 300
	soakDescriptors  = 384
	soakMemoryMB     = 64

	endAfterTERM    = 500 * time.Millisecond
	killAfterTERM   = 700 * time.Millisecond // the earliest that the protocol allows
	readyAfterStart = 10 * time.Second
	settledWithin   = 12 * time.Second // after the last fault; the drain deadline is 3 s, a list counts as told after 6 s
)

const soakSettings = `{"balancers":2,"zones":["a"],"host-types":["m"],"family-info":{"data-plane-size":400,"egress-per-s":4000,"pending-max":4000,
"per-message":3,"period":0.5,"propagation":0.02,"late-most":0.3,"unserved-max":3},"grades":[{"name":"lookup","aim":1.5,"deadline":5,"effect":"free",
"points":3}],"guarantees":{"cold":5,"stop-sending-within":3},"report":{}}`

// soakNode is one coordinator with its stand-ins, each at two addresses.
type soakNode struct {
	t         *testing.T
	run       string // the command line, by the shell
	address   string
	config    string // path of the configuration file
	state     *relayState
	servers   *serverSet
	relays    [2]*soakRelay
	discovery [2]*soakDiscovery
	clients   *soakClients
	startedAt time.Time

	mu         sync.Mutex
	log        strings.Builder
	violations []string
	used       int // which of the two addresses the configuration names
	process    *soakProcess
	restarts   int
	mayRestore sync.WaitGroup // faults that have not ended
}

// soakProcess is one process of a coordinator.
type soakProcess struct {
	*exec.Cmd
	ended    chan struct{}
	err      error // once ended is closed
	signaled bool  // SIGTERM or SIGKILL was sent
	output   strings.Builder
}

func newSoakNode(t *testing.T, run string) *soakNode {
	t.Helper()
	n := &soakNode{t: t, run: run, state: newRelayState(soakProxies), servers: newServerSet(8), startedAt: time.Now()}
	for i := range n.relays {
		n.relays[i] = startSoakRelay(t, n.state)
		n.discovery[i] = startSoakDiscovery(t, n.servers)
	}
	n.address = ownAddress()
	n.config = filepath.Join(t.TempDir(), "config.json")
	n.configure(0)
	return n
}

// soakAddresses counts the addresses that were given to coordinators.
var soakAddresses atomic.Uint32

// ownAddress returns a loopback address that nothing else in this process dials from or listens on, so that a coordinator that
// starts anew finds its port free. Another run of the tests has other addresses.
func ownAddress() string {
	number := soakAddresses.Add(1)
	address := netip.AddrFrom4([4]byte{127, byte(64 + os.Getpid()%128), byte(number / 250), byte(1 + number%250)})
	return netip.AddrPortFrom(address, 8000).String()
}

// note writes an event with its time to the log of the run.
func (n *soakNode) note(format string, arguments ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	fmt.Fprintf(&n.log, "%7.3f %s %s\n", now.Sub(n.startedAt).Seconds(), now.Format("05.000"), fmt.Sprintf(format, arguments...))
}

func (n *soakNode) violation(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	n.note("VIOLATION: %s", text)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.violations = append(n.violations, text)
}

// configure writes a configuration that names one of the two addresses of relay and discovery.
func (n *soakNode) configure(used int) {
	n.used = used
	writeConfig(n.t, n.config, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"hub":{"address":%q},"seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`, n.address, n.discovery[used].address(), n.relays[used].address(),
		soakMemoryMB, soakDescriptors, n.servers.fullList(), soakSettings))
}

// start starts a process and waits until it is ready.
func (n *soakNode) start() {
	n.launch()
	n.awaitReady()
}

// launch starts a process as the deploy file does.
func (n *soakNode) launch() {
	n.state.reset()
	p := &soakProcess{ended: make(chan struct{})}
	p.Cmd = exec.Command("/bin/sh", "-c", n.run)
	p.Env = append(os.Environ(), configVariable+"="+n.config)
	p.Stdout = &p.output
	p.Stderr = &p.output
	if err := p.Start(); err != nil {
		n.t.Error(err)
		return
	}
	n.process = p
	n.note("started process %d", p.Process.Pid)
	go n.awaitEnd(p)
}

// launchAndSignal starts a process, and sends it a signal a few milliseconds after the shell has become the program.
func (n *soakNode) launchAndSignal(signal syscall.Signal, pick int) {
	n.launch()
	comm := fmt.Sprintf("/proc/%d/comm", n.process.Process.Pid)
	for name := ""; name != "snowquay\n"; {
		text, err := os.ReadFile(comm)
		if err != nil {
			return // it has ended
		}
		name = string(text)
	}
	time.Sleep(time.Duration(pick%12) * time.Millisecond)
	n.signal(signal)
}

func (n *soakNode) awaitReady() {
	startedAt := time.Now()
	for !isReadyAt(n.address) {
		if time.Since(startedAt) > readyAfterStart {
			n.violation("not ready within %v", readyAfterStart)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	n.note("ready after %.3f s", time.Since(startedAt).Seconds())
}

// awaitEnd notices the end of a process that nobody has ended.
func (n *soakNode) awaitEnd(p *soakProcess) {
	p.err = p.Wait()
	n.mu.Lock()
	signaled := p.signaled
	n.mu.Unlock()
	close(p.ended)
	if !signaled {
		n.violation("it ended by itself: %v\n%s", p.err, p.output.String())
	}
}

// isReadyAt reports whether a readiness check is answered within a second.
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

// signal sends a signal, unless the process has ended.
func (n *soakNode) signal(signal syscall.Signal) {
	n.mu.Lock()
	n.process.signaled = n.process.signaled || signal != syscall.SIGHUP
	n.mu.Unlock()
	_ = n.process.Process.Signal(signal)
}

// terminate sends signals that end the process, SIGKILL at the earliest, and starts it at the same address at once.
func (n *soakNode) terminate(signals ...syscall.Signal) {
	p := n.process
	sentAt := time.Now()
	for _, signal := range signals {
		n.signal(signal)
	}
	select {
	case <-p.ended:
		took := time.Since(sentAt)
		n.note("ended after %.3f s: %v", took.Seconds(), p.err)
		if p.err != nil || took > endAfterTERM {
			n.violation("after SIGTERM it ended after %v: %v\n%s", took, p.err, p.output.String())
		}
	case <-time.After(killAfterTERM):
		n.violation("it runs %v after SIGTERM", killAfterTERM)
		n.kill()
	}
	n.restarts++
	n.start()
}

// awaitEndAtStart waits for the end of a process that was told to end before it may have listened. The signal itself may have ended it.
func (n *soakNode) awaitEndAtStart() {
	select {
	case <-n.process.ended:
		n.note("ended at its start: %v", n.process.err)
	case <-time.After(endAfterTERM):
		n.violation("it runs %v after a SIGTERM at its start", endAfterTERM)
		n.kill()
	}
}

func (n *soakNode) kill() {
	from := time.Now()
	n.signal(syscall.SIGKILL)
	<-n.process.ended
	n.clients.killed(from)
}

// for a time lets a fault last.
func (n *soakNode) forATime(last time.Duration, end func()) {
	n.mayRestore.Go(func() {
		time.Sleep(last)
		end()
	})
}

// resources are what a process holds.
type resources struct{ descriptors, threads, residentKB int }

func (n *soakNode) resources() resources {
	folder := fmt.Sprintf("/proc/%d/", n.process.Process.Pid)
	descriptors, _ := os.ReadDir(folder + "fd")
	status, _ := os.ReadFile(folder + "status")
	return resources{descriptors: len(descriptors), threads: statusFigure(string(status), "Threads:"), residentKB: statusFigure(string(status), "VmRSS:")}
}

func statusFigure(status, key string) int {
	_, rest, _ := strings.Cut(status, key)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	figure, _ := strconv.Atoi(fields[0])
	return figure
}

// settle waits until the proxies have the tables that they are to have, and reports what is wrong if that takes too long.
func (n *soakNode) settle() {
	n.mayRestore.Wait()
	end := time.Now().Add(settledWithin)
	fault := n.state.fault(n.servers.ready())
	for fault != "" && time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		fault = n.state.fault(n.servers.ready())
	}
	if fault != "" {
		n.violation("%v after the last fault: %s\n%s", settledWithin, fault, n.process.output.String())
		return
	}
	n.note("settled")
}

// play plays a whole run of one coordinator.
func (n *soakNode) play(events []soakEvent) {
	n.start()
	n.settle()
	before := n.resources()
	n.clients = startClients(n.address)
	faultsAt := time.Now()
	for _, event := range events {
		time.Sleep(time.Until(faultsAt.Add(event.at)))
		n.inject(event)
	}
	n.settle()
	for _, text := range n.clients.end() {
		n.violation("%s", text)
	}
	n.note("%d readiness checks answered, %d restarts", n.clients.answers.Load(), n.restarts)
	time.Sleep(1500 * time.Millisecond) // what clients have left behind is closed
	after := n.resources()
	n.note("held %+v before the faults, %+v after", before, after)
	if after.descriptors > before.descriptors+2 || after.threads > before.threads+4 || after.residentKB > soakMemoryMB<<10 {
		n.violation("it held %+v before the faults, and holds %+v", before, after)
	}
	n.signal(syscall.SIGTERM)
	select {
	case <-n.process.ended:
	case <-time.After(killAfterTERM):
		n.violation("it runs %v after the last SIGTERM", killAfterTERM)
		n.kill()
	}
}

// The built program, several coordinators at once, through signals in series and faults of everybody around them, judged from
// outside: it ends only when it is told to, and then in time; checks that it has read are answered; afterwards all proxies have
// tables of ready servers, and the process holds no more than before.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	run := deployed(t)
	limit := make(chan struct{}, *soakSide)
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			limit <- struct{}{}
			defer func() { <-limit }()
			soak(t, run, seed)
		})
	}
}

func soak(t *testing.T, run string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0x50a))
	var nodes []*soakNode
	var runs sync.WaitGroup
	for range 2 {
		node := newSoakNode(t, run)
		nodes = append(nodes, node)
		events := drawSoak(random)
		runs.Go(func() { node.play(events) })
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

// deployed builds the program as the deploy file does, and returns the file's command line for what was built.
func deployed(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "snowquay")
	command := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", binary, "snowquay/cmd/snowquay")
	command.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	file, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(file), "\nrun = \"")
	run, _, found := strings.Cut(rest, "\"")
	if !found || !strings.Contains(run, "bin/snowquay") {
		t.Fatalf("the deploy file runs %q", run)
	}
	return strings.Replace(run, "bin/snowquay", binary, 1)
}
