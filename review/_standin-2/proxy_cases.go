package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["early-give-up"] = earlyGiveUp
	cases["half-answer"] = halfAnswer
}

// matchServer is a stand-in of a match server behind the small proxy. The servers of a pod drop a repeat of a key.
type matchServer struct {
	listener net.Listener
	pod      int
	work     time.Duration
	fleet    *matchFleet

	mu    sync.Mutex
	conns map[*net.TCPConn]bool
}

// die ends the server as the death of its process does: its connections are reset, and new ones are refused.
func (s *matchServer) die() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.SetLinger(0) // the close is a reset
		_ = c.Close()
	}
}

// matchFleet counts effects by key.
type matchFleet struct {
	mu      sync.Mutex
	r       *run
	window  time.Duration
	effects map[string][]string          // key -> what ran
	known   map[int]map[string]time.Time // pod -> key -> when it was met first
	answer  func(*matchServer, net.Conn, *http.Request)
}

func newMatchFleet(r *run) *matchFleet {
	return &matchFleet{r: r, window: 5 * time.Second, effects: map[string][]string{}, known: map[int]map[string]time.Time{}}
}

func (f *matchFleet) add(pod int, work time.Duration) *matchServer {
	s := &matchServer{listener: listen(), pod: pod, work: work, fleet: f, conns: map[*net.TCPConn]bool{}}
	if f.known[pod] == nil {
		f.known[pod] = map[string]time.Time{}
	}
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *matchServer) serve(c net.Conn) {
	tcp := c.(*net.TCPConn)
	s.mu.Lock()
	s.conns[tcp] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, tcp)
		_ = tcp.Close()
	}()
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if s.fleet.answer != nil {
			s.fleet.answer(s, c, request)
			continue
		}
		key := request.Header.Get("Idempotency-Key")
		text := "done"
		if !s.fleet.begin(s, key) {
			text = "repeat"
		} else {
			time.Sleep(s.work) // running work goes on when its client has gone
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
			return
		}
	}
}

// begin records the effect of a request, unless a server of the pod has met its key within the window.
func (f *matchFleet) begin(s *matchServer, key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if key == "" {
		return true
	}
	if at, ok := f.known[s.pod][key]; ok && time.Since(at) < f.window {
		f.r.printf("%s: repeat dropped at %s of pod %d", key, s.listener.Addr(), s.pod)
		return false
	}
	f.known[s.pod][key] = time.Now()
	f.effects[key] = append(f.effects[key], fmt.Sprintf("%s of pod %d", s.listener.Addr(), s.pod))
	f.r.printf("%s: runs at %s of pod %d", key, s.listener.Addr(), s.pod)
	return true
}

// startProxy starts the small proxy before the servers, which stand in its table with equal weights.
func startProxy(r *run, servers []*matchServer, repeats string) (address string, ok bool) {
	address = freeAddress()
	var b strings.Builder
	fmt.Fprintf(&b, `<?xml version="1.0" encoding="UTF-8"?>
<proxy uid="relay-1" pick="even">
  <listen clients="%s"/>
  <zone name="north"/>
  <zone name="south"/>
  <route path="/search" class="search"/>
  <route path="/introduce" class="introduce"/>
  <class name="search" benefit="3" goal-time="1.5" client-timeout="5" effect="free" repeats="%s"/>
  <class name="introduce" benefit="9" goal-time="1.5" client-timeout="5" effect="guarded" same="pod" window="5" repeats="%s" writes="true"/>
`, address, repeats, repeats)
	for _, s := range servers {
		fmt.Fprintf(&b, "  <server address=\"%s\" zone=\"north\" pod=\"%d\" standing=\"true\"/>\n", s.listener.Addr(), s.pod)
	}
	b.WriteString("  <repeats part=\"0.2\" burst=\"10\"/>\n  <avoid after=\"8\" for=\"4\" most=\"30\"/>\n  <limits clients=\"20000\"/>\n</proxy>\n")
	path := filepath.Join(r.folder, "proxy.xml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return "", false
	}
	if _, err := r.start("proxy.log", nil, "exec bin/snowquay proxy "+path); err != nil {
		return "", false
	}
	for range 200 {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			c.Close()
			return address, true
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.copyLog("proxy.log")
	return "", false
}

// introduce sends a request with a key on a connection of its own, and gives up after some time.
func introduce(address, key string, giveUp time.Duration) (string, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(giveUp))
	body := "to=member-7"
	fmt.Fprintf(c, "POST /introduce HTTP/1.1\r\nHost: proxy\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response.Body)
	return fmt.Sprintf("%d %s", response.StatusCode, text), err
}

// earlyGiveUp lets clients give up after 40% of their timeout and come again with the same key, while one in five servers is slow.
func earlyGiveUp(r *run) int {
	random := rand.New(rand.NewSource(1))
	fleet := newMatchFleet(r)
	var servers []*matchServer
	for i := range 10 {
		work := 400 * time.Millisecond
		if i < 2 {
			work = 2800 * time.Millisecond // 7 times slower
		}
		servers = append(servers, fleet.add(i%2, work))
	}
	address, ok := startProxy(r, servers, "proof")
	if !ok {
		return couldNot
	}
	giveUp := 5 * time.Second
	if r.trouble {
		giveUp = 2 * time.Second
	}
	var wait sync.WaitGroup
	for i := range 100 {
		key := fmt.Sprintf("intro-%03d", i)
		backoff := time.Duration(75+random.Intn(525)) * time.Millisecond
		wait.Go(func() {
			for try := range 4 {
				answer, err := introduce(address, key, giveUp)
				r.printf("%s: try %d of the client: %s %v", key, try+1, answer, err)
				if err == nil {
					return
				}
				time.Sleep(backoff)
			}
		})
		time.Sleep(125 * time.Millisecond)
	}
	wait.Wait()
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	twice := 0
	for key, ran := range fleet.effects {
		if len(ran) > 1 {
			twice++
			r.printf("%s ran %d times: %s", key, len(ran), strings.Join(ran, ", "))
		}
	}
	r.printf("%d keys, %d of them ran more than once", len(fleet.effects), twice)
	r.copyLog("proxy.log")
	if twice > 0 {
		return broken
	}
	return held
}

// halfAnswer lets two of ten servers die at once, while answers whose end is that of the connection are under way.
func halfAnswer(r *run) int {
	const clients = 30
	fleet := newMatchFleet(r)
	whole := strings.Repeat("profile\n", 2000) + "end\n"
	fleet.answer = func(_ *matchServer, c net.Conn, _ *http.Request) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n")
		half := len(whole) / 2
		fmt.Fprint(c, whole[:half])
		time.Sleep(250 * time.Millisecond)
		fmt.Fprint(c, whole[half:])
		c.Close()
	}
	var servers []*matchServer
	for i := range 10 {
		servers = append(servers, fleet.add(i%2, 0))
	}
	address, ok := startProxy(r, servers, "proof")
	if !ok {
		return couldNot
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	answers, wrong, failed := 0, 0, 0
	var wait sync.WaitGroup
	for client := range clients {
		wait.Go(func() {
			caller := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for number := 1; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				response, err := caller.Get("http://" + address + "/search?q=7")
				text := []byte(nil)
				status := 0
				length := int64(0)
				if err == nil {
					status, length = response.StatusCode, response.ContentLength
					text, err = io.ReadAll(response.Body)
					response.Body.Close()
				}
				mu.Lock()
				answers++
				switch {
				case err != nil || status != http.StatusOK:
					failed++
					r.printf("client %d, request %d: %d %v", client, number, status, err)
				case string(text) == whole:
					r.printf("client %d, request %d: %d, whole", client, number, status)
				default:
					wrong++
					r.printf("client %d, request %d: %d with %d of %d bytes, Content-Length %d", client, number, status, len(text), len(whole), length)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	if r.trouble {
		servers[0].die()
		servers[1].die()
		r.printf("two servers have died")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wait.Wait()
	r.printf("%d answers, %d failed, %d with status 200 held only a part", answers, failed, wrong)
	r.copyLog("proxy.log")
	if wrong > 0 {
		return broken
	}
	return held
}
