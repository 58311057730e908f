package scenario

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"

	"snowquay/internal/core/membership"
	"snowquay/internal/settings"
)

// Processes are coordinators that run as processes of their own, each with its own folder.
type Processes struct {
	Exe    string   // the program, which has a command serve
	Env    []string // added to ours
	Folder string   // of their settings and stores
	Log    io.Writer
}

const (
	firstKillSeconds          = 5.0                         // seconds until the first kill: the coordinators have found each other
	afterLastKillSeconds      = 10.0                        // seconds after the last one
	otherFaultIntervalSeconds = 9.0                         // seconds between two troubles of another kind, on average
	processKey                = "a key for rehearsals only" // of the group
	pausesOneIn               = 4                           // kills, one is a pause instead
)

// AddTakeovers makes of a day one on which three coordinators are killed again and again, every so many seconds on average,
// each for up to a little longer than that; one in four times one is stopped for a while instead. Other troubles go on
// beside that, unless the day is calm.
func AddTakeovers(d *settings.Scenario, kills int, every float64, seed uint64, calm bool) {
	c := rand.New(rand.NewPCG(seed, 0x7a4e))
	d.Seed, d.Faults = seed, nil
	d.Seconds = firstKillSeconds + float64(kills)*every + afterLastKillSeconds
	at := firstKillSeconds
	for range kills {
		t := settings.Fault{Kind: "coordinator_restart", Server: c.IntN(3), Relay: -1, FailureDomain: -1, Zone: -1, Factor: 1,
			At: at, For: 0.2 + 1.2*every*c.Float64()}
		d.Faults = append(d.Faults, t)
		if c.IntN(pausesOneIn) == 0 {
			t.Kind, t.At, t.For, t.Server = "coordinator_pause", at+every*c.Float64(), 0.5+7*c.Float64(), c.IntN(3)
			d.Faults = append(d.Faults, t)
		}
		at += every * (0.5 + c.Float64())
	}
	d.Seconds = max(d.Seconds, at+afterLastKillSeconds)
	if calm {
		return
	}
	site := &d.Coordinator.Site
	kinds := []string{"drain", "drain", "crash", "mass_restart", "reconnect", "balancer_restart", "slow"}
	for at := firstKillSeconds; at < d.Seconds-afterLastKillSeconds; at += otherFaultIntervalSeconds * (0.5 + c.Float64()) {
		i := c.IntN(len(site.Servers))
		t := settings.Fault{Kind: kinds[c.IntN(len(kinds))], Server: i, Relay: c.IntN(len(site.Proxies)),
			FailureDomain: int(site.Servers[i].FailureDomain), Zone: site.Servers[i].Zone, At: at, For: 0.5 + 5*c.Float64(), Factor: 3}
		if t.Kind == "drain" {
			t.For += 4
		}
		d.Faults = append(d.Faults, t)
	}
}

// processHost is a coordinator's process.
type processHost struct {
	cmd *exec.Cmd
	run *run
}

func (h *processHost) Kill() {
	_ = h.cmd.Process.Kill() // it has ended by itself
	_ = h.cmd.Wait()         // killed, as it was to be
}

// Freeze stops the process for a while, wherever it is.
func (h *processHost) Freeze(seconds float64) {
	_ = h.cmd.Process.Signal(syscall.SIGSTOP)
	h.run.network.At(h.run.network.Now()+seconds, func() { _ = h.cmd.Process.Signal(syscall.SIGCONT) })
}
func (h *processHost) DisturbDatagrams(bool, float64) {}

// startProcess starts a coordinator as a process of its own.
func (p *run) startProcess(i int) (host, error) {
	x, c, n := p.options.Processes, p.scenario.Coordinator, p.options.Coordinators
	file := func(what string) string { return filepath.Join(x.Folder, fmt.Sprintf("%d.%s", i+1, what)) }
	m := settings.GroupMember{Number: membership.MemberID(i + 1), SASP: p.coordinatorAddr(i, c.SASP), Measurements: p.coordinatorAddr(i, c.Measurements),
		Store: file("db"), GroupStore: file("group"), Key: processKey, Peers: map[membership.MemberID]netip.AddrPort{}}
	if c.HTTP.IsValid() {
		m.HTTP = p.coordinatorAddr(i, c.HTTP)
	}
	for k := range n {
		m.Peers[membership.MemberID(k+1)] = netip.AddrPortFrom(p.coordinatorAddr(k, c.SASP).Addr(), groupPort)
	}
	text, err := p.scenario.Settings(m)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(file("xml"), text, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(x.Exe, "serve", "--log-level", "info", file("xml"))
	cmd.Env = append(os.Environ(), x.Env...)
	cmd.Stderr = x.Log
	// They end with us, whatever ends us.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &processHost{cmd, p}, nil
}

// takeover measures from a coordinator's death until every relay is led again, and until every relay has been told its
// table by whoever leads it.
type takeover struct {
	stoppedAt    float64
	led, updated bool
}

const resetDetectionSeconds = 0.12 // seconds in which relays notice that their connection was reset

func (p *run) checkTakeovers(now float64) {
	led, told := p.checker.AllRelaysLed()
	if p.options.OnLedCheck != nil {
		p.options.OnLedCheck(now, led)
	}
	for i := range p.takeovers {
		d := &p.takeovers[i]
		if now-d.stoppedAt < resetDetectionSeconds {
			continue
		}
		if led && !d.led {
			d.led = true
			p.result.LedAfter = append(p.result.LedAfter, now-d.stoppedAt)
		}
		if told && !d.updated {
			d.updated = true
			p.result.UpdatedAfter = append(p.result.UpdatedAfter, now-d.stoppedAt)
		}
	}
	p.takeovers = slices.DeleteFunc(p.takeovers, func(d takeover) bool { return d.led && d.updated })
}

// quantile of a sorted list of times; NaN-free: 0 where it is empty.
func quantile(of []float64, share float64) float64 {
	if len(of) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(of))
	return s[min(int(share*float64(len(s))), len(s)-1)]
}
