package platform

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"snowquay/internal/wire/resp"
)

const (
	resetWait     = 50 * time.Millisecond // wait for a reset after the end of a connection
	answerTimeout = 5 * time.Second
	floodDuration = 3 * time.Second
)

// rejection is the message that a rejected client receives.
var rejection = string(resp.Append(nil, "reject"))

// soakClients are collectors and other clients that connect to a coordinator's address during the whole run.
type soakClients struct {
	address string
	stop    chan struct{}
	done    sync.WaitGroup
	answers atomic.Int64

	mu         sync.Mutex
	violations []clientViolation
	kills      []interval // from SIGKILL to the exit of the process
	floods     []interval // times with more clients than descriptors
}

type interval struct{ from, to time.Time }

func (i interval) overlaps(other interval) bool {
	return !i.to.Before(other.from) && !other.to.Before(i.from)
}

// clientViolation is a violation that a client has observed during an interval.
type clientViolation struct {
	interval
	text     string
	rejected bool // the client received a rejection
}

func startClients(address string) *soakClients {
	c := &soakClients{address: address, stop: make(chan struct{})}
	for range 4 {
		c.run(c.runCollector)
	}
	for range 2 {
		c.run(c.checkOnce)
	}
	c.run(c.sendPartialMessage)
	return c
}

// run repeats the work of a client until the clients are stopped.
func (c *soakClients) run(work func()) {
	c.done.Go(func() {
		for !c.stopped() {
			work()
		}
	})
}

func (c *soakClients) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// finish stops the clients and returns the violations that they have observed. It excludes those that are allowed: a process that
// is being killed need not read or respond any more, and in a flood of more clients than descriptors the oldest client whose data
// has not been read is rejected.
func (c *soakClients) finish() (texts []string) {
	close(c.stop)
	c.done.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, violation := range c.violations {
		allowed := slices.ContainsFunc(c.kills, violation.overlaps) || violation.rejected && slices.ContainsFunc(c.floods, violation.overlaps)
		if !allowed {
			texts = append(texts, fmt.Sprintf("%s at %s", violation.text, violation.to.Format("05.000")))
		}
	}
	return texts
}

// recordKill records the interval in which a process was killed, from SIGKILL until now.
func (c *soakClients) recordKill(from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kills = append(c.kills, interval{from: from, to: time.Now()})
}

func (c *soakClients) addViolation(from time.Time, format string, arguments ...any) {
	c.record(clientViolation{interval: interval{from: from, to: time.Now()}, text: fmt.Sprintf(format, arguments...)})
}

func (c *soakClients) record(violation clientViolation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, violation)
}

func (c *soakClients) dial() (net.Conn, bool) {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		time.Sleep(5 * time.Millisecond) // the process is not running
		return nil, false
	}
	return conn, true
}

// runCollector is a collector that uses one connection until it ends.
func (c *soakClients) runCollector() {
	conn, ok := c.dial()
	if !ok {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(resp.Append(nil, "telemetry", "az", "a")); err != nil {
		return
	}
	for count := 0; !c.stopped(); count++ {
		if count%10 == 0 {
			report := resp.Append(nil, "client_stats", "sidecar", "1", "kind", "lookup", "n", "19", "bad", "0", "window", "500.0")
			if _, err := conn.Write(report); err != nil {
				return
			}
		}
		if !c.checkReadiness(conn) {
			return
		}
		time.Sleep(time.Duration(count%3) * time.Millisecond)
	}
}

// checkOnce sends one readiness check on a new connection.
func (c *soakClients) checkOnce() {
	conn, ok := c.dial()
	if !ok {
		return
	}
	c.checkReadiness(conn)
	_ = conn.Close()
	time.Sleep(3 * time.Millisecond)
}

// sendPartialMessage sends half a message and waits for the end of the connection.
func (c *soakClients) sendPartialMessage() {
	conn, ok := c.dial()
	if !ok {
		return
	}
	from := time.Now()
	_, _ = conn.Write(readinessCheck[:len(readinessCheck)/2])
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	_, err := io.Copy(io.Discard, conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.addViolation(from, "the connection of a partial message was not closed within %v", answerTimeout)
	}
	_ = conn.Close()
}

// checkReadiness sends a readiness check and reports whether the connection can still be used. The coordinator has to respond to a
// check that it has read. If the connection ends with a reset, the check was not read: the kernel sends a reset if a socket is
// closed with unread data.
func (c *soakClients) checkReadiness(conn net.Conn) bool {
	from := time.Now()
	if _, err := conn.Write(readinessCheck); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	answer := make([]byte, len(readyAnswer))
	count, err := io.ReadFull(conn, answer)
	switch {
	case err == nil && string(answer) == readyAnswer:
		c.answers.Add(1)
		return true
	case err == nil:
		c.record(clientViolation{
			interval: interval{from: from, to: time.Now()},
			text:     fmt.Sprintf("the response to a readiness check was %q", answer),
			rejected: strings.HasPrefix(rejection, string(answer)),
		})
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.addViolation(from, "a readiness check got no response within %v, and its connection is still open", answerTimeout)
	case count > 0:
		c.addViolation(from, "a readiness check got a partial response %q and error %v", answer[:count], err)
	case errors.Is(err, io.EOF) && !wasReset(conn):
		c.addViolation(from, "a readiness check was read but got no response")
	}
	return false
}

// wasReset reports whether the end of a connection was followed by a reset.
func wasReset(conn net.Conn) bool {
	time.Sleep(resetWait)
	_, err := conn.Write([]byte("\r\n"))
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// flood connects clients that send nothing. They stay connected until the coordinator closes their connections, and at most for
// floodDuration.
func (c *soakClients) flood(clients int) {
	c.mu.Lock()
	c.floods = append(c.floods, interval{from: time.Now(), to: time.Now().Add(floodDuration)})
	c.mu.Unlock()
	for range clients {
		c.done.Go(func() {
			conn, ok := c.dial()
			if !ok {
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetReadDeadline(time.Now().Add(floodDuration))
			_, _ = io.Copy(io.Discard, conn)
		})
	}
}
