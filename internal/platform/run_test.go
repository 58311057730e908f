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

// The built program starts, receives SIGHUP with a malformed configuration file, then SIGHUP with new addresses, and
// exits on SIGTERM.
func TestRunFromStartToEnd(t *testing.T) {
	discovery := serveDiscovery(t)
	relay := serveRelay(t)
	newDiscovery := serveDiscovery(t)
	newRelay := serveRelay(t)
	p := startProcess(t, 256, discovery, relay)
	eventually(t, "the proxy was not assigned a table", func() bool { return relay.hasReceived(assignment) })
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
	p.awaitExit(t, stoppedAt, 500*time.Millisecond)
	if count := strings.Count(p.logged(), "configuration not reloaded"); count != 1 {
		t.Errorf("the malformed configuration was logged %d times, want once; log: %s", count, p.logged())
	}
}

// If more clients connect at once than there are descriptors, the oldest silent connections are closed to accept new
// ones.
func TestFloodBeyondTheDescriptorsIsSurvived(t *testing.T) {
	p := startProcess(t, 256, serveDiscovery(t), serveRelay(t))
	p.flood(t, 1000)
	eventually(t, "the program does not respond to readiness checks after the flood", p.isReady)
	select {
	case err := <-p.ended:
		t.Errorf("the program exited with error %v, log: %s", err, p.logged())
	default:
	}
}

// A program with too few descriptors to accept connections logs the reason and exits with an error, so that it is
// restarted instead of running without a listener. A program that is still running after 10 s must respond to readiness
// checks.
func TestProgramThatCannotAcceptEnds(t *testing.T) {
	p := startProcess(t, 24, serveDiscovery(t), serveRelay(t))
	p.flood(t, 100)
	select {
	case err := <-p.ended:
		if err == nil || !strings.Contains(p.logged(), "no descriptor was left") {
			t.Errorf("the program exited with error %v, want one, and \"no descriptor was left\" in the log: %s", err, p.logged())
		}
	case <-time.After(10 * time.Second):
		if !p.isReady() {
			t.Error("the program is running but does not respond to readiness checks")
		}
	}
}

// The program receives SIGTERM twice while a call is in flight, a message is partially received, silent clients are
// connected and other clients keep connecting. It exits without an error and in time, and leaves no connection open.
func TestShutdownDuringActivity(t *testing.T) {
	relay := serveUnresponsiveRelay(t)
	p := startProcess(t, 256, serveDiscovery(t), relay)
	eventually(t, "no call is in flight", func() bool { return relay.hasReceived("relay.apply") })
	partial, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(partial, "*3\r\n$9\r\ntele")
	p.flood(t, 50)
	stop := make(chan struct{})
	late := make(chan error)
	go func() { late <- connectUntil(p.address, stop) }()
	stoppedAt := time.Now()
	_ = p.Process.Signal(syscall.SIGTERM)
	_ = p.Process.Signal(syscall.SIGTERM)
	p.awaitExit(t, stoppedAt, 700*time.Millisecond)
	close(stop)
	if err := <-late; err != nil {
		t.Errorf("a client that connected during the shutdown got neither a response nor the end of its connection: %v", err)
	}
	if err := readToEOF(partial); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("connection of a client that had sent a partial message: error %v, want it closed", err)
	}
}

// connectUntil sends readiness checks, each on a new connection, until stop is closed. It returns an error if one of
// them gets neither a response nor the end of its connection.
func connectUntil(address string, stop <-chan struct{}) error {
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue // connection refused: the program has exited
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

// After SIGKILL with clients connected and a call in flight, the program is restarted at the same address. It is ready
// within 5 s and sends all state that the relay may lack.
func TestRestartAfterKill(t *testing.T) {
	discovery := serveDiscovery(t)
	relay := serveRelay(t)
	p := startProcess(t, 256, discovery, relay)
	eventually(t, "the proxy was not assigned a table", func() bool { return relay.hasReceived(assignment) })
	p.flood(t, 50)
	_ = p.Process.Kill()
	if err := <-p.ended; err == nil {
		t.Error("a killed process exited without an error")
	}
	relay.clearReceived()
	startedAt := time.Now()
	startBinary(t, p.binary, p.address, 256, discovery, relay)
	if took := time.Since(startedAt); took > 5*time.Second {
		t.Errorf("the program was ready only after %v, want 5 s at most", took)
	}
	eventually(t, "the proxy was not assigned a table with weights again", func() bool {
		return relay.hasReceived(assignment) && relay.hasReceived(`"do":"share"`)
	})
}

// A blocked event loop does not delay the exit of the process beyond the shutdown timeout.
func TestShutDownDoesNotWaitForABlockedLoop(t *testing.T) {
	blocked := make(chan struct{})
	defer close(blocked)
	startedAt := time.Now()
	shutDown(func() { <-blocked })
	if took := time.Since(startedAt); took > 650*time.Millisecond {
		t.Errorf("shutDown returned after %v, want 650 ms at most", took)
	}
}

// A collector that sends readiness checks without end and reads no responses is disconnected, so that unread responses
// do not fill the memory, and other clients are served.
func TestCollectorThatReadsNothingIsCutOff(t *testing.T) {
	p := startProcess(t, 256, serveDiscovery(t), serveRelay(t))
	written, err := writeWithoutReading(t, p.address)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after %d bytes of requests without reading a response: error %v, want a closed connection", written, err)
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
		t.Errorf("response to another client is %q, error %v; want hb_ok", answer, err)
	}
}

// writeWithoutReading writes 60 MB of readiness checks, which have 75 MB of responses, as a collector. It returns the
// number of bytes written and the first error.
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

// limitReceiveBuffer sets the receive buffer of a socket to 4 KiB before it connects. Setting it afterwards would shrink
// a receive window that the peer may have filled already: the kernel would then drop the peer's acknowledgements
// together with its data, and the connection would only retransmit.
func limitReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	var setErr error
	err := socket.Control(func(descriptor uintptr) {
		setErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
	return errors.Join(err, setErr)
}
