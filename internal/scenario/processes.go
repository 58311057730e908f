package scenario

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"snowquay/internal/core/membership"
	"snowquay/internal/settings"
)

// processGroupKey authenticates the group protocol between coordinators that run as processes.
const processGroupKey = "a key for rehearsals only"

// Processes describes how to run coordinators as separate processes.
type Processes struct {
	Executable string    // path of a program that has the command serve
	Env        []string  // environment variables, in addition to those of this process
	Folder     string    // directory for the settings and stores of the processes
	Log        io.Writer // receives the standard error of the processes
}

// processHost is the process of a coordinator.
type processHost struct {
	cmd *exec.Cmd
	run *run
}

func (h *processHost) Kill() {
	_ = h.cmd.Process.Kill() // fails if the process has ended already
	_ = h.cmd.Wait()         // reports that the process was killed
}

// Freeze suspends the process for the given number of seconds.
func (h *processHost) Freeze(seconds float64) {
	_ = h.cmd.Process.Signal(syscall.SIGSTOP)                                  // fails if the process has ended already
	h.run.after(seconds, func() { _ = h.cmd.Process.Signal(syscall.SIGCONT) }) // fails if the process has ended already
}

func (h *processHost) DisturbDatagrams(bool, float64) {}

// startProcess starts a coordinator as a separate process.
func (r *run) startProcess(i int) (host, error) {
	processes := r.options.Processes
	file := func(extension string) string {
		return filepath.Join(processes.Folder, fmt.Sprintf("%d.%s", i+1, extension))
	}
	text, err := r.scenario.Settings(r.groupMember(i, file("db"), file("group")))
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(file("xml"), text, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(processes.Executable, "serve", "--log-level", "info", file("xml"))
	cmd.Env = append(os.Environ(), processes.Env...)
	cmd.Stderr = processes.Log
	// The kernel kills the process when this process ends for any reason.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &processHost{cmd: cmd, run: r}, nil
}

// groupMember returns the settings of a coordinator that shares the fleet.
func (r *run) groupMember(i int, storePath, groupStorePath string) settings.GroupMember {
	config := r.scenario.Coordinator
	member := settings.GroupMember{
		Number:       membership.MemberID(i + 1),
		SASP:         r.coordinatorAddr(i, config.SASP),
		Measurements: r.coordinatorAddr(i, config.Measurements),
		Store:        storePath,
		GroupStore:   groupStorePath,
		Key:          processGroupKey,
		Peers:        map[membership.MemberID]netip.AddrPort{},
	}
	if config.HTTP.IsValid() {
		member.HTTP = r.coordinatorAddr(i, config.HTTP)
	}
	for peer := range r.options.Coordinators {
		address := r.coordinatorAddr(peer, config.SASP).Addr()
		member.Peers[membership.MemberID(peer+1)] = netip.AddrPortFrom(address, groupPort)
	}
	return member
}
