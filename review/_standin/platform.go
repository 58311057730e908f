package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the platform's stand-ins. The settings say the same where they say it.
const (
	way           = 120 * time.Millisecond // of a message from the relay to a proxy
	reportEvery   = 500 * time.Millisecond
	requestEvery  = 50 * time.Millisecond // between two requests of one class at one proxy
	drainGrace    = 2.0                   // stop-sending-within
	unservedMost  = 2.1                   // unserved-max
	coldFor       = 8.0                   // cold
	socketSlack   = 0.3                   // "the rules' time limits are 300 ms longer"
	readinessWait = 10 * time.Second
)

// backend is a server in discovery's list.
type backend struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
}

// warm reports whether the server is listed as ready and is no longer cold.
func (b backend) warm() bool {
	age := float64(time.Now().UnixMilli()) - b.Started
	return b.State == "ready" && age >= 1000*coldFor
}

// change is a version of the list: the entries that changed with it.
type change struct {
	version int
	entries []backend
}

// discovery is the agent with the list of servers.
type discovery struct {
	rec     *record
	mu      sync.Mutex
	version int
	listed  map[string]backend // without those that are gone
	ever    map[string]bool
	changes []change
	told    map[string]time.Time // by server: when its newest state was written to the coordinator
	wake    chan struct{}        // closed and replaced at each change
	address string
}

func newDiscovery(rec *record, servers []backend) (*discovery, error) {
	d := &discovery{rec: rec, version: 1, listed: map[string]backend{}, ever: map[string]bool{}, told: map[string]time.Time{},
		wake: make(chan struct{})}
	for _, server := range servers {
		d.listed[server.ID] = server
		d.ever[server.ID] = true
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = listener.Addr().String()
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(listener) }()
	return d, nil
}

// set changes entries of the list.
func (d *discovery) set(entries ...backend) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, entry := range entries {
		d.ever[entry.ID] = true
		if entry.State == "gone" {
			delete(d.listed, entry.ID)
		} else {
			d.listed[entry.ID] = entry
		}
		d.rec.printf("discovery: %s in zone %s is %s", entry.ID, entry.Zone, entry.State)
	}
	d.changes = append(d.changes, change{version: d.version, entries: entries})
	close(d.wake)
	d.wake = make(chan struct{})
}

// full returns the whole list.
func (d *discovery) full() []byte {
	entries := make([]backend, 0, len(d.listed))
	for _, entry := range d.listed {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b backend) int { return strings.Compare(a.ID, b.ID) })
	return list(d.version, true, entries)
}

func list(version int, full bool, entries []backend) []byte {
	text, _ := json.Marshal(map[string]any{"version": version, "full": full, "servers": entries})
	return text
}

// get returns a listed server.
func (d *discovery) get(id string) (backend, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, ok := d.listed[id]
	return entry, ok
}

func (d *discovery) everListed(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ever[id]
}

// toldAt returns when the newest state of a server was written to the coordinator.
func (d *discovery) toldAt(id string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.told[id]
	return at, ok
}

// warmIn returns the warm servers that are listed in a zone, or in any zone if it is empty.
func (d *discovery) warmIn(zone string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []string
	for _, entry := range d.listed {
		if entry.warm() && (zone == "" || entry.Zone == zone) {
			found = append(found, entry.ID)
		}
	}
	return found
}

// ServeHTTP answers with the whole list, or with a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("stream") == "" {
		d.mu.Lock()
		text := d.full()
		d.mu.Unlock()
		_, _ = w.Write(text)
		return
	}
	known, _ := strconv.Atoi(r.URL.Query().Get("index"))
	first := true
	for {
		d.mu.Lock()
		var lines [][]byte
		var written []backend
		switch {
		case first && (known < 1 || known > d.version):
			lines = append(lines, d.full())
			for _, entry := range d.listed {
				written = append(written, entry)
			}
		case first && known == d.version:
			lines = append(lines, list(d.version, false, []backend{}))
		default:
			for _, c := range d.changes {
				if c.version > known {
					lines = append(lines, list(c.version, false, c.entries))
					written = append(written, c.entries...)
				}
			}
		}
		known = d.version
		first = false
		wake := d.wake
		d.mu.Unlock()
		for _, line := range lines {
			if _, err := w.Write(append(line, '\n')); err != nil {
				return
			}
		}
		w.(http.Flusher).Flush()
		d.mu.Lock()
		for _, entry := range written {
			d.told[entry.ID] = time.Now()
		}
		d.mu.Unlock()
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}
}

// sidecar is a proxy: it holds the relay's tables, late by the way of a message.
type sidecar struct {
	number   int
	zone     string
	standing []string // servers of its standing table
	joined   bool
	joinedAt time.Time
	stream   int               // number of its stream to the coordinator
	bound    map[string]int    // by class: the table that it was given on this stream
	kept     map[string][]line // by class: what it held when its last stream broke
}

// line is a table entry.
type line struct {
	server string
	weight float64
}

// relay carries orders to the proxies. Its orders are applied in the order of their arrival.
type relay struct {
	rec       *record
	discovery *discovery
	classes   []string
	address   string

	mu       sync.Mutex
	proxies  map[int]*sidecar
	tables   map[int]map[string]float64 // as the proxies hold them
	watchers map[net.Conn]bool
	orders   chan func() // applied after the way of a message
	calls    int
}

func newRelay(rec *record, d *discovery, classes []string) (*relay, error) {
	r := &relay{rec: rec, discovery: d, classes: classes, proxies: map[int]*sidecar{}, tables: map[int]map[string]float64{},
		watchers: map[net.Conn]bool{}, orders: make(chan func(), 10000)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	go func() {
		for order := range r.orders {
			order()
		}
	}()
	go func() {
		for range time.Tick(time.Second) {
			r.mu.Lock()
			r.tell("ping", map[string]any{})
			r.mu.Unlock()
		}
	}()
	return r, nil
}

// tell sends a notification to all connections that watch.
func (r *relay) tell(method string, params map[string]any) {
	text, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "method": method, "params": params})
	for conn := range r.watchers {
		_, _ = conn.Write(append(text, '\n'))
	}
}

func attachment(p *sidecar) map[string]any {
	return map[string]any{"sidecar": p.number, "az": p.zone, "share": 20.0, "standing": len(p.bound)+len(p.kept) == 0}
}

// attach lets a proxy join. It goes on with what it holds.
func (r *relay) attach(p *sidecar) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.bound = map[string]int{}
	p.joined = true
	p.stream++
	p.joinedAt = time.Now()
	r.proxies[p.number] = p
	r.rec.printf("relay: proxy %d of zone %s joins", p.number, p.zone)
	r.tell("attach", attachment(p))
}

// detach breaks a proxy's stream. Its tables end with the stream, and it goes on with their last state.
func (r *relay) detach(p *sidecar) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := map[string][]line{}
	for _, class := range r.classes {
		if lines := r.lines(p, class); len(p.bound)+len(p.kept) > 0 {
			kept[class] = lines
		}
	}
	p.kept = kept
	p.bound = map[string]int{}
	p.joined = false
	r.rec.printf("relay: the stream of proxy %d breaks", p.number)
	r.tell("detach", map[string]any{"sidecar": p.number})
}

type relayOrder struct {
	Do      string   `json:"do"`
	Group   *int     `json:"group"`
	Host    string   `json:"host"`
	Share   float64  `json:"share"`
	Sidecar int      `json:"sidecar"`
	For     []string `json:"for"`
	Stamp   int      `json:"stamp"`

	stream int // of a bind: the stream on which the order travels
}

type relayCall struct {
	ID     json.RawMessage `json:"id"`
	Method string          `json:"method"`
	Params struct {
		Changes []relayOrder `json:"changes"`
	} `json:"params"`
}

func (r *relay) serve(conn net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.watchers, conn)
		r.mu.Unlock()
		_ = conn.Close()
	}()
	lines := bufio.NewScanner(conn)
	lines.Buffer(make([]byte, 1<<20), 1<<20)
	for lines.Scan() {
		var call relayCall
		if err := json.Unmarshal(lines.Bytes(), &call); err != nil {
			_, _ = io.WriteString(conn, `{"jsonrpc":"2.0","id":null,"error":"malformed"}`+"\n")
			continue
		}
		r.mu.Lock()
		switch call.Method {
		case "relay.watch":
			fmt.Fprintf(conn, `{"jsonrpc":"2.0","id":%s,"result":true}`+"\n", call.ID)
			for _, p := range r.proxies {
				if !p.joined {
					continue
				}
				text, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "method": "attach", "params": attachment(p)})
				_, _ = conn.Write(append(text, '\n'))
			}
			r.watchers[conn] = true
		case "relay.apply":
			r.calls++
			r.rec.printf("relay: carries out call %s of %s: %s", call.ID, conn.RemoteAddr(), summary(call.Params.Changes))
			accepted := r.apply(call.Params.Changes)
			fmt.Fprintf(conn, `{"jsonrpc":"2.0","id":%s,"result":{"accepted":%d}}`+"\n", call.ID, accepted)
		}
		r.mu.Unlock()
	}
}

func summary(changes []relayOrder) string {
	var parts []string
	for _, c := range changes {
		switch c.Do {
		case "share":
			parts = append(parts, fmt.Sprintf("%s in %d to %g", c.Host, *c.Group, c.Share))
		case "bind":
			parts = append(parts, fmt.Sprintf("proxy %d to %d for %v", c.Sidecar, *c.Group, c.For))
		case "mark":
			parts = append(parts, fmt.Sprintf("mark %d", c.Stamp))
		default:
			parts = append(parts, c.Do)
		}
	}
	return strings.Join(parts, "; ")
}

// apply takes orders until one that it can't use, and returns how many it took.
func (r *relay) apply(changes []relayOrder) int {
	var taken []relayOrder
	for _, c := range changes {
		p := r.proxies[c.Sidecar]
		if c.Do == "bind" && (p == nil || !p.joined) || c.Do == "share" && (c.Share < 0 || !r.discovery.everListed(c.Host)) {
			r.rec.printf("relay: stops at %+v", c)
			break
		}
		if c.Do == "bind" {
			c.stream = p.stream
		}
		taken = append(taken, c)
	}
	due := time.Now().Add(way)
	r.orders <- func() {
		time.Sleep(time.Until(due))
		r.mu.Lock()
		defer r.mu.Unlock()
		r.takeEffect(taken)
	}
	return len(taken)
}

// takeEffect lets the proxies apply orders, and answer the marks.
func (r *relay) takeEffect(changes []relayOrder) {
	concerned := map[int]bool{}
	for _, c := range changes {
		if c.Do == "bind" {
			p := r.proxies[c.Sidecar]
			if !p.joined || p.stream != c.stream { // what travels is lost with the stream
				continue
			}
			concerned[c.Sidecar] = true
			classes := c.For
			if len(classes) == 0 {
				classes = r.classes
			}
			for _, class := range classes {
				p.bound[class] = *c.Group
			}
			continue
		}
		if c.Group == nil || c.Do != "share" && c.Do != "clear" && c.Do != "admit" {
			continue
		}
		table := r.tables[*c.Group]
		if table == nil {
			table = map[string]float64{}
			r.tables[*c.Group] = table
		}
		switch {
		case c.Do == "clear":
			clear(table)
		case c.Do == "share" && c.Share > 0:
			table[c.Host] = c.Share
		case c.Do == "share":
			delete(table, c.Host)
		}
		for number, p := range r.proxies {
			for _, bound := range p.bound {
				concerned[number] = concerned[number] || bound == *c.Group
			}
		}
	}
	for _, c := range changes {
		if c.Do != "mark" {
			continue
		}
		for number, ok := range concerned {
			if ok && r.proxies[number].joined {
				r.tell("done", map[string]any{"sidecar": number, "version": c.Stamp, "lag_ms": float64(way.Milliseconds())})
			}
		}
	}
}

// lines returns what a proxy holds for a class, sorted by server: the table that it was given, or what it kept, or its standing table.
func (r *relay) lines(p *sidecar, class string) []line {
	var found []line
	if table, ok := p.bound[class]; ok {
		for server, weight := range r.tables[table] {
			found = append(found, line{server, weight})
		}
	} else if kept, ok := p.kept[class]; ok {
		found = slices.Clone(kept)
	} else {
		for _, server := range p.standing {
			found = append(found, line{server, 1})
		}
	}
	slices.SortFunc(found, func(a, b line) int { return strings.Compare(a.server, b.server) })
	return found
}

// traffic lets the proxies send requests by their tables, and collectors report what they met.
type traffic struct {
	rec       *record
	relay     *relay
	discovery *discovery
	ownZone   map[string]bool // classes that keep to the proxy's zone
	zoneOf    map[string]string

	mu     sync.Mutex
	tries  map[[2]string]int // by zone of the proxy and server
	asked  map[string]int    // by proxy and class
	failed map[string]int
	sent   func(p *sidecar, class, server string) // called with each request
	bare   func(p *sidecar, class string, lines []line)
}

// play sends requests until stop is closed.
func (t *traffic) play(stop chan struct{}) {
	ticker := time.NewTicker(requestEvery)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		t.relay.mu.Lock()
		t.mu.Lock()
		for _, p := range t.relay.proxies {
			for _, class := range t.relay.classes {
				t.request(p, class)
			}
		}
		t.mu.Unlock()
		t.relay.mu.Unlock()
	}
}

// request lets a proxy pick a line at random by weight, among those that are open to the class.
func (t *traffic) request(p *sidecar, class string) {
	lines := t.relay.lines(p, class)
	open := lines
	if t.ownZone[class] {
		open = slices.DeleteFunc(slices.Clone(lines), func(l line) bool { return t.zoneOf[l.server] != p.zone })
	}
	key := fmt.Sprintf("%d %s", p.number, class)
	t.asked[key]++
	if len(open) == 0 {
		t.failed[key]++
		t.bare(p, class, lines)
		return
	}
	total := 0.0
	for _, l := range open {
		total += l.weight
	}
	point := rand.Float64() * total
	chosen := open[len(open)-1].server
	for _, l := range open {
		if point < l.weight {
			chosen = l.server
			break
		}
		point -= l.weight
	}
	t.tries[[2]string{p.zone, chosen}]++
	t.sent(p, class, chosen)
}

func newTraffic(rec *record, r *relay, d *discovery) *traffic {
	return &traffic{rec: rec, relay: r, discovery: d, ownZone: map[string]bool{}, zoneOf: map[string]string{},
		tries: map[[2]string]int{}, asked: map[string]int{}, failed: map[string]int{},
		sent: func(*sidecar, string, string) {}, bare: func(*sidecar, string, []line) {}}
}

// report connects as the collector of a zone and passes on what its proxies met, and the proxies' usage.
func (t *traffic) report(coordinator, zone string, stop chan struct{}) {
	conn, err := net.Dial("tcp", coordinator)
	if err != nil {
		t.rec.printf("collector of %s: %v", zone, err)
		return
	}
	defer func() { _ = conn.Close() }()
	send(conn, "telemetry", "az", zone)
	for {
		select {
		case <-stop:
			return
		case <-time.After(reportEvery):
		}
		window := fmt.Sprint(reportEvery.Milliseconds())
		t.relay.mu.Lock()
		t.mu.Lock()
		for key, n := range t.tries {
			if key[0] != zone {
				continue
			}
			delete(t.tries, key)
			send(conn, "upstream_stats", "az", zone, "host", key[1], "n", fmt.Sprint(n), "bad", "0", "avg",
				fmt.Sprint(35+rand.IntN(10)), "window", window, "report", "queue:0,latency_ms:40")
		}
		for key, n := range t.asked {
			number, class, _ := strings.Cut(key, " ")
			id, _ := strconv.Atoi(number)
			if t.relay.proxies[id].zone != zone {
				continue
			}
			send(conn, "client_stats", "sidecar", number, "kind", class, "n", fmt.Sprint(n), "bad", fmt.Sprint(t.failed[key]), "window", window)
			delete(t.asked, key)
			delete(t.failed, key)
		}
		t.mu.Unlock()
		t.relay.mu.Unlock()
	}
}

func send(conn net.Conn, words ...string) {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	_, _ = io.WriteString(conn, text.String())
}

// ready asks a coordinator for a sign of life.
func ready(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	send(conn, "hb")
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	answer := make([]byte, 64)
	n, _ := conn.Read(answer)
	return strings.Contains(string(answer[:n]), "hb_ok")
}

// settings returns the settings of a small deployment.
func settings(zones []string, ownZone bool, proxies int) map[string]any {
	class := func(name, effect string, points float64) map[string]any {
		return map[string]any{"aim": 1.5, "deadline": 5.0, "effect": effect, "group": "cell", "late-worth": 0.2, "name": name,
			"points": points, "window": 5.0}
	}
	return map[string]any{
		"balancers": 1, "discovery": "pushed", "family": "control",
		"family-info": map[string]any{"class-own-zone": []bool{false, ownZone}, "class-writes": []bool{false, true},
			"data-plane-size": proxies, "default-retry": 1, "egress-per-s": 1500.0, "homed-by-zone": false, "in-flight-max": 5.0,
			"initial-set": 3, "keeps-writing": 2.5, "late-most": 0.45, "level-kind": "fraction", "one-owner": false, "outlier-after": 8,
			"park": 0.3, "pending-max": 1500.0, "per-message": 3.0, "period": reportEvery.Seconds(), "pick": "random",
			"propagation": way.Seconds(), "push-price": 0.04, "reassign-price": 0.01, "reloads-max": 0, "reports-per-s": 150.0,
			"slices": 0, "smallest-conn-table": 240.0, "try-aims": 0.8, "unserved-max": unservedMost, "update-window": 10.0},
		"grades":        []any{class("look", "free", 3), class("write", "guarded", 9)},
		"guarantees":    map[string]any{"ask-within": 10.0, "cold": coldFor, "cold-from": 0.2, "fall": 1.5, "fall-multiple": 3.0, "stop-sending-within": drainGrace},
		"host-types":    []string{"m1"},
		"ordinal":       0,
		"policy-limits": map[string]any{"conn-idle": 15.0, "connect-timeout": 0.4, "cpu-us-per-s": 800000, "may-probe": false, "peer-messages": false, "streams-per-conn": 100},
		"prices":        map[string]any{"connection": 0.02, "probe": 0.02},
		"report":        map[string]any{"how": "piggyback", "names": []string{"q", "lat_ms"}},
		"tick":          0.002, "weight-source": "rough", "worth-by": "request", "zone": 0, "zones": zones,
	}
}

// startCoordinator starts a coordinator by the run command of the deploy file and waits until it is ready.
func (e *env) startCoordinator(d *discovery, relayAddress string, settings map[string]any) (p *process, address string, err error) {
	address = freeAddress()
	d.mu.Lock()
	known := d.full()
	d.mu.Unlock()
	text, err := json.MarshalIndent(map[string]any{"name": "n1", "listen": address, "discovery": d.address, "seed": "5b1c77aa90e3d264",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512}, "hub": map[string]any{"address": relayAddress},
		"known": json.RawMessage(known), "settings": settings}, "", " ")
	if err != nil {
		return nil, "", err
	}
	path := filepath.Join(e.folder, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, "", err
	}
	run, err := e.runCommand()
	if err != nil {
		return nil, "", err
	}
	p, err = e.start("coordinator", run, "PROXY_CONFIG="+path, "PROXY_NAME=n1", "PROXY_LISTEN="+address, "PROXY_DISCOVERY="+d.address)
	if err != nil {
		return nil, "", err
	}
	if !eventually(readinessWait, func() bool { return ready(address) }) {
		p.stop()
		return nil, "", fmt.Errorf("the coordinator is not ready")
	}
	e.rec.printf("the coordinator answers with hb_ok")
	return p, address, nil
}

func server(id, zone string, cell int) backend {
	return backend{ID: id, Addr: freeAddress(), Zone: zone, Kind: "m1", Cell: cell, State: "ready", Weight: 1}
}
