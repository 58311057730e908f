package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"snowquay/internal/wire/sasp"
)

// Figures of case "twice".
const (
	turnedAway    = 0.15            // share of the attempts that a full server turns away, all the time
	resetsFor     = 6 * time.Second // how long connections are reset under requests
	resetShare    = 0.1             // share of the requests in that time whose connection is reset
	clientCount   = 8
	clientPause   = 80 * time.Millisecond
	clientRepeats = 3 // most repeats of one query by its client
	beforeTrouble = 4 * time.Second
	afterTrouble  = 3 * time.Second
)

// fleet is what all servers run.
type fleet struct {
	rec        *record
	mu         sync.Mutex
	resetting  bool
	resets     int
	refusals   int
	executions map[string][]string // by query: the servers that ran it
}

// matchServer is a server that speaks HTTP to the proxy and registers with the coordinator.
type matchServer struct {
	address string
	name    string
	fleet   *fleet
}

// ServeHTTP turns a query away unseen, and says so, or runs it. While connections are reset, some are reset after the query has run.
func (s *matchServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Path
	if rand.Float64() < turnedAway {
		s.fleet.mu.Lock()
		s.fleet.refusals++
		s.fleet.mu.Unlock()
		s.fleet.rec.printf("%s turns %s away, it does not run", s.name, query)
		w.Header().Set("Snowquay-Ran", "no")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(5 * time.Millisecond) // the work
	s.fleet.mu.Lock()
	s.fleet.executions[query] = append(s.fleet.executions[query], s.name)
	reset := s.fleet.resetting && rand.Float64() < resetShare
	if reset {
		s.fleet.resets++
	}
	s.fleet.mu.Unlock()
	s.fleet.rec.printf("%s runs %s, connection reset: %t", s.name, query, reset)
	if reset {
		hijacker, ok := w.(http.Hijacker)
		if ok {
			conn, _, err := hijacker.Hijack()
			if err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
				return
			}
		}
	}
	fmt.Fprintf(w, "run by %s", s.name)
}

// register registers the server with the coordinator under the fleet's UID, and keeps the connection.
func (s *matchServer) register(coordinator string) error {
	conn, err := net.Dial("tcp", coordinator)
	if err != nil {
		return err
	}
	message := &sasp.Message{
		Kind:   sasp.Registration,
		ID:     1,
		Groups: []sasp.Group{{UID: []byte("fleet"), Name: []byte("command"), From: 0, To: 1}},
		Rows:   []sasp.Row{{Address: sasp.AddressOf(netip.MustParseAddrPort(s.address))}},
	}
	if _, err := conn.Write(sasp.Append(nil, message)); err != nil {
		return err
	}
	buffer := make([]byte, 4096)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, err := conn.Read(buffer)
	if err != nil {
		return err
	}
	var reply sasp.Message
	if err := sasp.Decode(buffer[:n], &reply); err != nil {
		return err
	}
	if reply.Code != sasp.OK {
		return fmt.Errorf("registration of %s: %v", s.name, reply.Code)
	}
	s.fleet.rec.printf("%s (%s) registered with the coordinator", s.name, s.address)
	_ = conn.SetReadDeadline(time.Time{})
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	return nil
}

const coordinatorSettings = `<coordinator seed="7">
  <listen sasp="SASP" http="POLL" measurements="MEASURE" metrics="CMETRICS"/>
  <zone name="east"/>
  <class name="command" benefit="5" goal-time="1" client-timeout="3" effect="single-shot" repeats="proof" writes="true"/>
  <fleet relays="1" standing="3" eject-after="8" least-connections="200"/>
  <channel lines-per-second="1600" message-lines="3" most-waiting="1600" mean-way="0.2" longest-way="0.5"/>
  <rules drain-within="3" bare-within="2.1" cold-share="0.2" cold-for="5" fall-multiple="3" fall-within="1.5"/>
  <reports period="0.5"/>
  <servers uid="fleet" register="listed">
SERVERS  </servers>
  <relays><relay uid="relay-1" zone="east" usual="80"/></relays>
</coordinator>
`

const proxySettings = `<proxy uid="relay-1" pick="even">
  <listen clients="CLIENTS" metrics="PMETRICS"/>
  <coordinators speak="http" reports="UDPPORT" period="0.5"><coordinator address="POLL"/></coordinators>
  <zone name="east"/>
  <route path="/command" class="command"/>
  <class name="command" benefit="5" goal-time="1" client-timeout="3" effect="single-shot" repeats="proof" writes="true"/>
SERVERS</proxy>
`

func init() { cases["twice"] = twice }

// twice: connections between the proxy and the servers are reset under requests, while servers now and then turn requests away.
func twice(e *env) int {
	servers := &fleet{rec: e.rec, executions: map[string][]string{}}
	var machines []*matchServer
	list := ""
	for i := range 4 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			e.rec.say("%v", err)
			return couldNot
		}
		m := &matchServer{address: listener.Addr().String(), name: fmt.Sprintf("server-%d", i+1), fleet: servers}
		machines = append(machines, m)
		list += fmt.Sprintf("    <server address=%q zone=\"east\" pod=\"%d\"/>\n", m.address, i%2)
		server := &http.Server{Handler: m}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
	}
	poll, clients, measure, saspAddress := freeAddress(), freeAddress(), freeAddress(), freeAddress()
	replace := strings.NewReplacer("SERVERS", list, "CMETRICS", freeAddress(), "PMETRICS", freeAddress(), "SASP", saspAddress, "POLL", poll,
		"MEASURE", measure, "CLIENTS", clients, "UDPPORT", fmt.Sprint(portOf(measure)))
	for name, text := range map[string]string{"coordinator.xml": coordinatorSettings, "proxy.xml": proxySettings} {
		if err := os.WriteFile(filepath.Join(e.folder, name), []byte(replace.Replace(text)), 0o600); err != nil {
			e.rec.say("%v", err)
			return couldNot
		}
	}
	coordinator, err := e.start("coordinator", "exec bin/snowquay serve "+filepath.Join(e.folder, "coordinator.xml"))
	if err != nil {
		e.rec.say("%v", err)
		return couldNot
	}
	defer coordinator.stop()
	if !eventually(10*time.Second, func() bool { return canDial(saspAddress) }) {
		e.rec.say("the coordinator does not listen")
		return couldNot
	}
	for _, m := range machines {
		if err := m.register(saspAddress); err != nil {
			e.rec.say("%v", err)
			return couldNot
		}
	}
	proxy, err := e.start("proxy", "exec bin/snowquay proxy "+filepath.Join(e.folder, "proxy.xml"))
	if err != nil {
		e.rec.say("%v", err)
		return couldNot
	}
	defer proxy.stop()
	if !eventually(10*time.Second, func() bool { return canDial(clients) }) {
		e.rec.say("the proxy does not listen")
		return couldNot
	}
	time.Sleep(7 * time.Second) // until all servers are warm
	stop := make(chan struct{})
	var group sync.WaitGroup
	outcomes := &tally{counts: map[string]int{}}
	for number := range clientCount {
		group.Go(func() { sendCommands(e.rec, clients, number, stop, outcomes) })
	}
	time.Sleep(beforeTrouble)
	if e.trouble {
		e.rec.say("from now on, for %v, %.0f%% of the queries have their connection reset after they have run", resetsFor, 100*resetShare)
	}
	servers.setResetting(e.trouble)
	time.Sleep(resetsFor)
	servers.setResetting(false)
	e.rec.say("no connection is reset any more")
	time.Sleep(afterTrouble)
	close(stop)
	group.Wait()
	if coordinator.ended() || proxy.ended() {
		e.rec.say("a program has ended")
		return couldNot
	}
	return servers.judge(outcomes)
}

func canDial(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (f *fleet) setResetting(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resetting = on
}

// judge counts the queries that ran more than once. Their class must never run twice.
func (f *fleet) judge(outcomes *tally) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	duplicates := 0
	for query, runs := range f.executions {
		if len(runs) > 1 {
			duplicates++
			f.rec.say("%s ran %d times: %v", query, len(runs), runs)
		}
	}
	text, _ := json.Marshal(outcomes.counts)
	f.rec.say("%d queries ran, %d attempts were turned away, %d connections were reset; clients: %s", len(f.executions), f.refusals, f.resets, text)
	f.rec.say("%d queries ran more than once (allowed: none)", duplicates)
	switch {
	case duplicates > 0:
		return broken
	case len(f.executions) < 300 || f.refusals == 0:
		f.rec.say("too few queries ran")
		return couldNot
	}
	return held
}

// tally counts outcomes.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[outcome]++
}

// sendCommands sends queries one after the other. The client repeats a query only after a refusal: an answer that promises that it
// did not run. After any other failure it gives the query up.
func sendCommands(rec *record, proxy string, number int, stop chan struct{}, outcomes *tally) {
	c := &commandClient{proxy: proxy}
	for count := 0; ; count++ {
		query := fmt.Sprintf("/command/%d-%d", number, count)
		for try := 0; try <= clientRepeats; try++ {
			select {
			case <-stop:
				return
			case <-time.After(clientPause):
			}
			rec.printf("client %d sends %s, try %d", number, query, try+1)
			status, ran, err := c.send(query)
			if err != nil {
				outcomes.add("no answer")
				rec.printf("client %d: %s: %v", number, query, err)
				break
			}
			rec.printf("client %d: %s is answered with %d, Snowquay-Ran %q", number, query, status, ran)
			refused := status == http.StatusServiceUnavailable && strings.EqualFold(ran, "no")
			if !refused {
				outcomes.add(fmt.Sprint(status))
				break
			}
			outcomes.add("refused")
		}
	}
}

// commandClient is a client's connection to the proxy.
type commandClient struct {
	proxy  string
	conn   net.Conn
	reader *bufio.Reader
}

func (c *commandClient) send(query string) (status int, ran string, err error) {
	if c.conn == nil {
		c.conn, err = net.Dial("tcp", c.proxy)
		if err != nil {
			c.conn = nil
			return 0, "", err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	status, ran, err = c.exchange(query)
	if err != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	return status, ran, err
}

func (c *commandClient) exchange(query string) (status int, ran string, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(8 * time.Second))
	if _, err := io.WriteString(c.conn, "POST "+query+" HTTP/1.1\r\nHost: match\r\nContent-Length: 2\r\n\r\nhi"); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Snowquay-Ran"), errors.Join(err, response.Body.Close())
}
