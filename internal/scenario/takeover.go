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
	killFrom    = 5.0                         // seconds until the first kill: the coordinators have found each other
	killAfter   = 10.0                        // seconds after the last one
	otherEvery  = 9.0                         // seconds between two troubles of another kind, on average
	processKey  = "a key for rehearsals only" // of the group
	pausesOneIn = 4                           // kills, one is a pause instead
)

// AddTakeovers makes of a day one on which three coordinators are killed again and again, every so many seconds on average,
// each for up to a little longer than that; one in four times one is stopped for a while instead. Other troubles go on
// beside that, unless the day is calm.
func AddTakeovers(d *settings.Scenario, kills int, every float64, seed uint64, calm bool) {
	c := rand.New(rand.NewPCG(seed, 0x7a4e))
	d.Seed, d.Faults = seed, nil
	d.Seconds = killFrom + float64(kills)*every + killAfter
	at := killFrom
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
	d.Seconds = max(d.Seconds, at+killAfter)
	if calm {
		return
	}
	site := &d.Coordinator.Site
	kinds := []string{"drain", "drain", "crash", "mass_restart", "reconnect", "balancer_restart", "slow"}
	for at := killFrom; at < d.Seconds-killAfter; at += otherEvery * (0.5 + c.Float64()) {
		i := c.IntN(len(site.Servers))
		t := settings.Fault{Kind: kinds[c.IntN(len(kinds))], Server: i, Relay: c.IntN(len(site.Proxies)),
			FailureDomain: int(site.Servers[i].FailureDomain), Zone: site.Servers[i].Zone, At: at, For: 0.5 + 5*c.Float64(), Factor: 3}
		if t.Kind == "drain" {
			t.For += 4
		}
		d.Faults = append(d.Faults, t)
	}
}

// procHost is a coordinator's process.
type procHost struct {
	cmd  *exec.Cmd
	play *play
}

func (h *procHost) Kill() {
	_ = h.cmd.Process.Kill() // it has ended by itself
	_ = h.cmd.Wait()         // killed, as it was to be
}

// Freeze stops the process for a while, wherever it is.
func (h *procHost) Freeze(seconds float64) {
	_ = h.cmd.Process.Signal(syscall.SIGSTOP)
	h.play.stage.At(h.play.stage.Now()+seconds, func() { _ = h.cmd.Process.Signal(syscall.SIGCONT) })
}
func (h *procHost) DisturbDatagrams(bool, float64) {}

// startProcess starts a coordinator as a process of its own.
func (p *play) startProcess(i int) (host, error) {
	x, c, n := p.opts.Processes, p.day.Coordinator, p.opts.Coordinators
	file := func(what string) string { return filepath.Join(x.Folder, fmt.Sprintf("%d.%s", i+1, what)) }
	m := settings.GroupMember{Number: membership.MemberID(i + 1), SASP: p.at(i, c.SASP), Measurements: p.at(i, c.Measurements),
		Store: file("db"), GroupStore: file("group"), Key: processKey, Peers: map[membership.MemberID]netip.AddrPort{}}
	if c.HTTP.IsValid() {
		m.HTTP = p.at(i, c.HTTP)
	}
	for k := range n {
		m.Peers[membership.MemberID(k+1)] = netip.AddrPortFrom(p.at(k, c.SASP).Addr(), peerPort)
	}
	text, err := p.day.Settings(m)
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
	return &procHost{cmd, p}, nil
}

// takeover measures from a coordinator's death until every relay is led again, and until every relay has been told its
// table by whoever leads it.
type takeover struct {
	at        float64
	led, told bool
}

const noticedBy = 0.12 // seconds in which relays notice that their connection was reset

func (p *play) takeovers(now float64) {
	led, told := p.ref.AllRelaysLed()
	if p.opts.Led != nil {
		p.opts.Led(now, led)
	}
	for i := range p.deaths {
		d := &p.deaths[i]
		if now-d.at < noticedBy {
			continue
		}
		if led && !d.led {
			d.led = true
			p.result.Led = append(p.result.Led, now-d.at)
		}
		if told && !d.told {
			d.told = true
			p.result.Told = append(p.result.Told, now-d.at)
		}
	}
	p.deaths = slices.DeleteFunc(p.deaths, func(d takeover) bool { return d.led && d.told })
}

// part of a sorted list of times; NaN-free: 0 where it is empty.
func part(of []float64, share float64) float64 {
	if len(of) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(of))
	return s[min(int(share*float64(len(s))), len(s)-1)]
}
