package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"
)

// Times of case "stale".
const (
	settleFor    = 6 * time.Second
	updateWithin = 20 * time.Second
	silentFor    = 4 * time.Second // how long the connection is silent
	drainAfter   = 500 * time.Millisecond
	staleWatched = 12 * time.Second // after the drain's deadline
)

// link stands between the coordinator and the relay. Once armed, it notes the next call that changes the weight of a server. If silence
// is set, the connection with that call falls silent from it on, and its bytes are delivered later.
type link struct {
	rec     *record
	relay   string
	address string

	mu       sync.Mutex
	armed    bool
	silence  bool
	server   chan string   // the server whose weight that call changes
	released chan struct{} // closed when the bytes have been delivered
}

func newLink(rec *record, relay string) (*link, error) {
	l := &link{rec: rec, relay: relay, server: make(chan string, 1), released: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return l, nil
}

func (l *link) arm(silence bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.armed = true
	l.silence = silence
}

// falls reports whether the connection falls silent with this line.
func (l *link) falls(line []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var call relayCall
	if !l.armed || json.Unmarshal(line, &call) != nil {
		return false
	}
	for _, order := range call.Params.Changes {
		if order.Do == "share" && order.Share > 0 {
			l.armed = false
			l.server <- order.Host
			return l.silence
		}
	}
	return false
}

// carry carries one connection's bytes both ways, in order.
func (l *link) carry(near net.Conn) {
	far, err := net.Dial("tcp", l.relay)
	if err != nil {
		_ = near.Close()
		return
	}
	var mute sync.Mutex // held while the connection is silent
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := far.Read(buffer)
			mute.Lock()
			_, writeErr := near.Write(buffer[:n])
			mute.Unlock()
			if err != nil || writeErr != nil {
				_ = near.Close()
				return
			}
		}
	}()
	reader := bufio.NewReaderSize(near, 1<<20)
	for {
		line, err := reader.ReadBytes('\n')
		if l.falls(line) {
			l.rec.say("the connection from %s falls silent; the call on it is under way: %s", near.RemoteAddr(), bytes.TrimSpace(line))
			mute.Lock()
			time.Sleep(silentFor)
			l.rec.say("after %v its bytes arrive at the relay", silentFor)
			_, _ = far.Write(line)
			mute.Unlock()
			close(l.released)
			line = nil
		}
		_, writeErr := far.Write(line)
		if err != nil || writeErr != nil {
			if err == io.EOF {
				_ = far.(*net.TCPConn).CloseWrite()
				time.Sleep(time.Second)
			}
			_ = far.Close()
			return
		}
	}
}

func init() { cases["stale"] = stale }

// stale: a connection to the relay falls silent with a call on it, and its bytes arrive later. Meanwhile a server drains.
func stale(e *env) int {
	zones := []string{"a", "b"}
	var servers []backend
	var standing []string
	for i, name := range []string{"s-1", "s-2", "s-3", "s-4", "s-5"} {
		servers = append(servers, server(name, zones[i%2], i%2))
		standing = append(standing, name)
	}
	d, err := newDiscovery(e.rec, servers)
	if err != nil {
		e.rec.say("%v", err)
		return couldNot
	}
	r, err := newRelay(e.rec, d, []string{"look", "write"})
	if err != nil {
		e.rec.say("%v", err)
		return couldNot
	}
	network, err := newLink(e.rec, r.address)
	if err != nil {
		e.rec.say("%v", err)
		return couldNot
	}
	coordinator, address, err := e.startCoordinator(d, network.address, settings(zones, false, 4))
	if err != nil {
		e.rec.say("%v", err)
		return couldNot
	}
	defer coordinator.stop()
	stop := make(chan struct{})
	defer close(stop)
	t := newTraffic(e.rec, r, d)
	sends := &drainWatch{rec: e.rec}
	t.sent = sends.add
	for number := range 4 {
		r.attach(&sidecar{number: number, zone: zones[number%2], standing: standing[:3]})
	}
	go t.play(stop)
	for _, name := range zones {
		go t.report(address, name, stop)
	}
	time.Sleep(settleFor)
	network.arm(e.trouble)
	var chosen string
	select {
	case chosen = <-network.server: // an ordinary update of weights is under way
	case <-time.After(updateWithin):
		e.rec.say("no weight changed")
		return couldNot
	}
	sends.watch(chosen)
	time.Sleep(drainAfter)
	draining, _ := d.get(chosen)
	draining.State = "draining"
	e.rec.say("%s, whose weight the call changes, drains", chosen)
	d.set(draining)
	if !eventually(2*time.Second, func() bool { return !r.holds(chosen) }) {
		e.rec.say("the tables still hold the draining server after 2 s")
	}
	toldAt, _ := d.toldAt(chosen)
	from := toldAt
	if e.trouble {
		if !eventually(2*silentFor, func() bool { return closed(network.released) }) {
			e.rec.say("the connection was not released")
			return couldNot
		}
		from = time.Now() // the time limits are counted from the end of the disruption on
	}
	deadline := from.Add(time.Duration((drainGrace + socketSlack + silentSlack) * float64(time.Second)))
	time.Sleep(time.Until(deadline) + staleWatched)
	if coordinator.ended() {
		e.rec.say("the coordinator has ended")
		return couldNot
	}
	return sends.judge(toldAt, deadline, r)
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// holds reports whether a table of the proxies has a line for the server.
func (r *relay) holds(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, table := range r.tables {
		if table[server] > 0 {
			return true
		}
	}
	return false
}

// drainWatch notes when requests are sent to one server.
type drainWatch struct {
	rec    *record
	mu     sync.Mutex
	server string
	times  []time.Time
	total  int
}

func (w *drainWatch) watch(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server = server
}

func (w *drainWatch) add(p *sidecar, class, server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.total++
	if server == w.server {
		w.times = append(w.times, time.Now())
		w.rec.printf("proxy %d sends a request of class %s to %s", p.number, class, server)
	}
}

func (w *drainWatch) judge(toldAt, deadline time.Time, r *relay) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := 0
	before := 0
	last := 0.0
	for _, at := range w.times {
		if at.Before(toldAt) {
			before++
		}
		if at.After(deadline) {
			late++
			last = at.Sub(toldAt).Seconds()
		}
	}
	w.rec.say("%d requests were sent, %d of them to %s, %d before the coordinator was told that it drains", w.total, len(w.times), w.server, before)
	w.rec.say("%d requests were sent to %s after the deadline, %.2f s after the coordinator was told; the last one after %.2f s; a table still holds it: %t",
		late, w.server, deadline.Sub(toldAt).Seconds(), last, r.holds(w.server))
	switch {
	case late > 0:
		return broken
	case before == 0:
		w.rec.say("the server got no request before it drained")
		return couldNot
	}
	return held
}
