package abusetest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// holdingClients is the number of connections of a case with many clients.
const holdingClients = 600

// abuse is a group of clients. It returns when ctx has ended.
type abuse func(ctx context.Context, t *testing.T)

// hold returns clients that each write a beginning at once, and then a further piece of it every tenth of a second.
func hold(address string, beginning, piece []byte) abuse {
	return holdEach(address, func(int) []byte { return beginning }, piece)
}

// holdEach is hold with a beginning that depends on the number of the client.
func holdEach(address string, beginning func(client int) []byte, piece []byte) abuse {
	return func(ctx context.Context, _ *testing.T) {
		var clients sync.WaitGroup
		for i := range clientCount(ctx) {
			clients.Go(func() { holdOne(ctx, address, beginning(i), piece) })
		}
		clients.Wait()
	}
}

// clientCountKey is the key of the number of connections of a group in a context.
type clientCountKey struct{}

// withClientCount returns clients like others, of which each group that holds its connections has a given number of them.
func withClientCount(count int, clients abuse) abuse {
	return func(ctx context.Context, t *testing.T) { clients(context.WithValue(ctx, clientCountKey{}, count), t) }
}

func clientCount(ctx context.Context) int {
	if count, ok := ctx.Value(clientCountKey{}).(int); ok {
		return count
	}
	return holdingClients
}

func holdOne(ctx context.Context, address string, beginning, piece []byte) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	for data := beginning; ; data = piece {
		if _, err := conn.Write(data); err != nil {
			<-ctx.Done() // the program has closed the connection
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// flood returns a client that writes messages on one connection as fast as it can, and dials again when it is closed. It
// reads the answers unless unread is set. message returns the text of a message by its number.
func flood(address string, unread bool, beginning []byte, message func(i int) []byte) abuse {
	return func(ctx context.Context, _ *testing.T) {
		for i := 0; ctx.Err() == nil; {
			i = floodOnce(ctx, address, unread, beginning, message, i)
		}
	}
}

func floodOnce(ctx context.Context, address string, unread bool, beginning []byte, message func(i int) []byte, i int) int {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		time.Sleep(time.Millisecond)
		return i
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	if !unread {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	batch := bytes.Clone(beginning)
	for {
		for len(batch) < 32<<10 {
			batch = append(batch, message(i)...)
			i++
		}
		if _, err := conn.Write(batch); err != nil {
			return i
		}
		batch = batch[:0]
	}
}

// several returns n groups of clients at once.
func several(n int, clients abuse) abuse {
	return func(ctx context.Context, t *testing.T) {
		var group sync.WaitGroup
		for range n {
			group.Go(func() { clients(ctx, t) })
		}
		group.Wait()
	}
}

// constant returns a message that is always the same.
func constant(text string) func(int) []byte {
	return func(int) []byte { return []byte(text) }
}

// inOrder runs a subtest for each case, in the order of their names.
func inOrder[Case any](t *testing.T, cases map[string]Case, run func(t *testing.T, name string, clients Case)) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		t.Run(name, func(t *testing.T) { run(t, name, cases[name]) })
	}
}

// probe sends a request and reads its answer.
type probe func() error

// runAbuse runs clients against a program while a probe measures the answers to another client. It checks the process's
// memory and the longest time until an answer.
func runAbuse(t *testing.T, p *process, other probe, clients abuse) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(*abuseSeconds*float64(time.Second)))
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		clients(ctx, t)
	}()
	longest := time.Duration(0)
	answers := 0
	for running := true; running; {
		begin := time.Now()
		err := other()
		longest = max(longest, time.Since(begin))
		if err != nil {
			t.Errorf("another client is not answered: %v", err)
			break
		}
		answers++
		select {
		case <-ended:
			running = false
		case <-time.After(probeInterval):
		}
	}
	cancel()
	<-ended
	resident := p.peakResidentMB(t)
	t.Logf("resident memory %d MB, %d answers to another client, the latest after %v", resident, answers, longest.Round(time.Millisecond))
	if resident > maxResidentMB {
		t.Errorf("resident memory rose to %d MB, want at most %d", resident, maxResidentMB)
	}
	if longest > maxAnswerTime {
		t.Errorf("another client waited %v for an answer, want at most %v", longest, maxAnswerTime)
	}
}

// bothProbes returns a probe that runs two.
func bothProbes(first, second probe) probe {
	return func() error {
		if err := first(); err != nil {
			return err
		}
		return second()
	}
}

// connected returns a probe that sends a request on the same connection each time and reads as many bytes as the answer has.
func connected(t *testing.T, address string, beginning, request, answer []byte) probe {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write(beginning); err != nil {
		t.Fatal(err)
	}
	return func() error {
		_ = conn.SetDeadline(time.Now().Add(probeTimeout))
		if _, err := conn.Write(request); err != nil {
			return err
		}
		got := make([]byte, len(answer))
		if _, err := io.ReadFull(conn, got); err != nil {
			return fmt.Errorf("on the connection that was open before: %w", err)
		}
		if !bytes.Equal(got, answer) {
			return fmt.Errorf("answer %.80q", got)
		}
		return nil
	}
}

// connectedHTTP returns a probe that sends a GET request on the same connection each time and expects a status.
func connectedHTTP(t *testing.T, address, path string, status int) probe {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	reader := bufio.NewReader(conn)
	return func() error {
		_ = conn.SetDeadline(time.Now().Add(probeTimeout))
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path); err != nil {
			return err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return fmt.Errorf("on the connection that was open before: %w", err)
		}
		_, err = io.Copy(io.Discard, response.Body)
		if response.StatusCode != status {
			return fmt.Errorf("status %d, want %d", response.StatusCode, status)
		}
		return err
	}
}

// newHTTP returns a probe that sends a GET request on a new connection each time and expects one of some statuses.
func newHTTP(address, path string, statuses ...int) probe {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return func() error {
		response, err := client.Get("http://" + address + path)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		if !slices.Contains(statuses, response.StatusCode) {
			return fmt.Errorf("status %d, want one of %d", response.StatusCode, statuses)
		}
		return err
	}
}

// shortFields returns the beginning of a request whose head consists of very many short fields and does not end.
func shortFields(size int) []byte {
	head := []byte("GET / HTTP/1.1\r\nHost: x\r\n")
	return append(head, bytes.Repeat([]byte("a:b\r\n"), (size-len(head))/5)...)
}

// halfBody returns the beginning of a POST request with the first half of its body.
func halfBody(path, fields string, size int) []byte {
	head := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n", path, fields, size)
	return append(head, bytes.Repeat([]byte("x"), size/2)...)
}
