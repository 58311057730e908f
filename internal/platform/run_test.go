package platform

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"snowquay/internal/wire/resp"
)

// The built program runs with a configuration, an unreadable one by SIGHUP, a new one by SIGHUP, and ends by
// SIGTERM.
func TestRunFromStartToEnd(t *testing.T) {
	discovery := serveDiscovery(t)
	relay := serveRelay(t)
	newDiscovery := serveDiscovery(t)
	newRelay := serveRelay(t)
	p := startProcess(t, 256, discovery, relay)
	eventually(t, "no proxy was assigned a table", func() bool { return relay.hasReceived(assignment) })
	eventually(t, "discovery is not watched", func() bool { return discovery.hasReceived("stream=1&index=1") })
	writeConfig(t, p.config, `{"listen":7`)
	_ = p.Process.Signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	p.configure(t, newDiscovery, newRelay)
	_ = p.Process.Signal(syscall.SIGHUP)
	eventually(t, "the new addresses are not used", func() bool {
		return newRelay.hasReceived("relay.watch") && newDiscovery.hasReceived("stream=1")
	})
	stoppedAt := time.Now()
	_ = p.Process.Signal(syscall.SIGTERM)
	p.awaitEnd(t, stoppedAt, 500*time.Millisecond)
	if count := strings.Count(p.logged(), "configuration not reloaded"); count != 1 {
		t.Errorf("an unreadable configuration was logged %d times: %s", count, p.logged())
	}
}

// More clients wait at once than there are descriptors: the oldest silent ones make room for others.
func TestFloodBeyondTheDescriptorsIsSurvived(t *testing.T) {
	p := startProcess(t, 256, serveDiscovery(t), serveRelay(t))
	p.flood(t, 1000)
	eventually(t, "no client is answered after the flood", p.isReady)
	select {
	case err := <-p.ended:
		t.Errorf("it has ended: %v, %s", err, p.logged())
	default:
	}
}

// With too few descriptors the program ends and says why, so that it is started anew, rather than go on without
// a listener.
func TestProgramThatCannotAcceptEnds(t *testing.T) {
	p := startProcess(t, 24, serveDiscovery(t), serveRelay(t))
	p.flood(t, 100)
	select {
	case err := <-p.ended:
		if err == nil || !strings.Contains(p.logged(), "no descriptor was left") {
			t.Errorf("it ended with %v: %s", err, p.logged())
		}
	case <-time.After(10 * time.Second):
		if !p.isReady() {
			t.Error("it runs, and no client is answered")
		}
	}
}

// Two SIGTERM come with a call in flight, half a message read, silent clients, and others that connect in the
// last moments: the program ends without an error and in time, and no client is left on an open connection.
func TestShutdownDuringActivity(t *testing.T) {
	relay := serveDeafRelay(t)
	p := startProcess(t, 256, serveDiscovery(t), relay)
	eventually(t, "no call is in flight", func() bool { return relay.hasReceived("relay.apply") })
	half, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(half, "*3\r\n$9\r\ntele")
	p.flood(t, 50)
	stop := make(chan struct{})
	late := make(chan error)
	go func() { late <- connectUntil(p.address, stop) }()
	stoppedAt := time.Now()
	_ = p.Process.Signal(syscall.SIGTERM)
	_ = p.Process.Signal(syscall.SIGTERM)
	p.awaitEnd(t, stoppedAt, 700*time.Millisecond)
	close(stop)
	if err := <-late; err != nil {
		t.Errorf("a late client waits for nothing: %v", err)
	}
	if err := drain(half); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the client that had sent half a message: %v", err)
	}
}

// connectUntil makes readiness checks, each on a new connection, until stop is closed. It returns an error if
// one of them gets neither an answer nor the end of its connection.
func connectUntil(address string, stop <-chan struct{}) error {
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue // refused: the program has ended
		}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, _ = conn.Write(readinessCheck)
		_, err = conn.Read(make([]byte, 64))
		_ = conn.Close()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return err
		}
	}
}

// After SIGKILL with clients connected and a call in flight, the program starts at the same address: it is
// ready at once, and sends everything that the relay may not have.
func TestRestartAfterKill(t *testing.T) {
	discovery := serveDiscovery(t)
	relay := serveRelay(t)
	p := startProcess(t, 256, discovery, relay)
	eventually(t, "no proxy was assigned a table", func() bool { return relay.hasReceived(assignment) })
	p.flood(t, 50)
	_ = p.Process.Kill()
	if err := <-p.ended; err == nil {
		t.Error("a killed process ended without an error")
	}
	relay.forget()
	startedAt := time.Now()
	startBinary(t, p.binary, p.address, 256, discovery, relay)
	if took := time.Since(startedAt); took > 5*time.Second {
		t.Errorf("ready after %v", took)
	}
	eventually(t, "the proxy is not assigned a table again", func() bool {
		return relay.hasReceived(assignment) && relay.hasReceived(`"do":"share"`)
	})
}

// An event loop that is held up does not keep the process from ending in time.
func TestShutDownDoesNotWaitForABlockedLoop(t *testing.T) {
	blocked := make(chan struct{})
	defer close(blocked)
	startedAt := time.Now()
	shutDown(func() { <-blocked })
	if took := time.Since(startedAt); took > 650*time.Millisecond {
		t.Errorf("it returned after %v", took)
	}
}

// A collector that requests readiness checks for ever and reads no answers is cut off, so that unread answers
// do not fill the memory, and others are served.
func TestCollectorThatReadsNothingIsCutOff(t *testing.T) {
	p := startProcess(t, 256, serveDiscovery(t), serveRelay(t))
	written, err := writeWithoutReading(t, p.address)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after %d bytes of requests whose answers are not read: %v", written, err)
	}
	other, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	answer := make([]byte, len(readyAnswer))
	if _, err = other.Write(readinessCheck); err == nil {
		_ = other.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = io.ReadFull(other, answer)
	}
	if err != nil || string(answer) != readyAnswer {
		t.Errorf("another client is answered %q, %v", answer, err)
	}
}

// writeWithoutReading writes 60 MB of readiness checks, which have 75 MB of answers, as a collector. It returns
// how many bytes were written, and the error that ended that.
func writeWithoutReading(t *testing.T, address string) (written int, err error) {
	t.Helper()
	dialer := net.Dialer{Control: limitReceiveBuffer}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write(resp.Append(nil, "telemetry", "az", "a")); err != nil {
		t.Fatal(err)
	}
	checks := bytes.Repeat(readinessCheck, 1000)
	for range 5000 {
		if err := conn.SetWriteDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		count, err := conn.Write(checks)
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// limitReceiveBuffer gives a socket a receive buffer of 4 KiB before it connects. Done afterwards, it would shrink
// a window that the peer may have filled already: the kernel then drops the peer's acknowledgements with its
// data, and the connection only retransmits.
func limitReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	var setErr error
	err := socket.Control(func(descriptor uintptr) {
		setErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
	return errors.Join(err, setErr)
}
