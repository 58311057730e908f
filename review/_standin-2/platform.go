package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a backend as discovery lists it. Requests to it are simulated: it answers after a fixed time.
type server struct {
	id      string
	zone    string
	state   string // ready, draining, gone
	started float64
	told    time.Time // when discovery had written that it drains or is gone; zero: it is ready
	bornAt  time.Time
}

// relayProxy is a proxy whose stream ends at the relay. It holds what the delivered messages have set.
type relayProxy struct {
	number   int
	zone     string
	rate     float64
	joinedAt time.Time
	bound    map[string]int                // class -> table, as the relay has it
	view     map[string]map[string]float64 // class -> host -> share, as the proxy has it
	credit   float64
	queued   []time.Time // when messages were written to it
	standing bool        // it holds no table that was ordered

	generation int // of its stream
}

// message waits in the channel of the coordinator.
type message struct {
	proxy *relayProxy
	lines float64
	view  map[string]map[string]float64
	mark  int // 0: none
	at    time.Time

	generation int
}

// platform is a stand-in of the platform round one coordinator: discovery, relay, proxies, collectors and backends.
type platform struct {
	mu       sync.Mutex
	rec      *recorder
	settings *platformSettings
	random   *rand.Rand

	discovery net.Listener
	hub       net.Listener
	coord     string // the coordinator's address

	version  int
	history  map[string]int // version in which an entry changed last
	servers  map[string]*server
	watchers map[chan listChange]bool

	tables  map[int]map[string]float64
	proxies []*relayProxy
	news    map[chan string]bool

	channel    []message
	waiting    float64
	mostQueued float64

	ready       time.Time // when the coordinator first answered hb
	sums        map[[2]string]*sum
	demand      map[string]float64 // "proxy class" -> requests
	unserved    map[string]float64
	extraReport string // one more report to send with the next sums
	bareSince   map[string]time.Time

	sends     int
	sentTo    map[string]int // since the last line of the record
	nowhere   int
	lateSends map[string]*lateSend
	bare      map[string]float64
	over      int // messages above the limit of messages
	calls     int
	malformed int

	callFaults func() callFault // decides what goes wrong with a call; nil: nothing
	slow       float64          // factor of the channel's pace; 0: 1
	hubConns   map[net.Conn]bool
}

// callFault says what goes wrong with a call.
type callFault struct {
	lost   bool   // it is not carried out
	answer string // empty: the answer comes; "none": none comes; "break": the connection breaks; else this comes in its place
}

type sum struct{ n, bad, ms float64 }

type lateSend struct {
	count int
	after float64 // seconds after the news that the server drains
}

// platformSettings are the figures of the deployment.
type platformSettings struct {
	Zones       []string
	Classes     []string
	Proxies     int
	Egress      float64
	PendingMax  float64
	PerMessage  float64
	Propagation float64
	Messages    int
	Window      float64
	Period      float64
	Grace       float64
	Unserved    float64
	Cold        float64
	JSON        map[string]any
}

func newPlatform(rec *recorder, settings *platformSettings) *platform {
	p := &platform{
		rec: rec, settings: settings, random: rand.New(rand.NewSource(1)),
		history: map[string]int{}, servers: map[string]*server{}, watchers: map[chan listChange]bool{},
		tables: map[int]map[string]float64{}, news: map[chan string]bool{},
		sums: map[[2]string]*sum{}, demand: map[string]float64{}, unserved: map[string]float64{},
		bareSince: map[string]time.Time{}, hubConns: map[net.Conn]bool{}, lateSends: map[string]*lateSend{}, bare: map[string]float64{}, sentTo: map[string]int{},
	}
	p.discovery = listen()
	p.hub = listen()
	p.coord = freeAddress()
	go p.serveDiscovery()
	go p.serveRelay()
	return p
}

// addServer lists a ready backend. started is the Unix time in seconds, 0 for long ago.
func (p *platform) addServer(id, zone string, started float64) *server {
	s := &server{id: id, zone: zone, state: "ready", started: started, bornAt: time.Now()}
	p.servers[id] = s
	return s
}

func (p *platform) entry(s *server) map[string]any {
	return map[string]any{"id": s.id, "addr": "127.0.0.1:9", "zone": s.zone, "kind": "m1", "cell": 0, "state": s.state,
		"weight": 1.0, "started_ms": math.Floor(s.started * 1000)}
}

// list returns a list of the entries that changed after a version, or all. p.mu is held.
func (p *platform) list(after int, full bool) string {
	entries := []any{}
	var ids []string
	for id := range p.servers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		s := p.servers[id]
		if full && s.state == "gone" || !full && p.history[id] <= after {
			continue
		}
		entries = append(entries, p.entry(s))
	}
	text, _ := json.Marshal(map[string]any{"version": p.version, "full": full, "servers": entries})
	return string(text)
}

// listChange is a line of the watch with the entries that it tells.
type listChange struct {
	line string
	ids  []string
}

// change bumps the version of the list, and gives the watchers what has changed.
func (p *platform) change(ids ...string) {
	p.mu.Lock()
	p.version++
	for _, id := range ids {
		p.history[id] = p.version
	}
	line := p.list(p.version-1, false)
	for w := range p.watchers {
		w <- listChange{line: line, ids: ids}
	}
	p.rec.printf("list %d: %s", p.version, line)
	p.mu.Unlock()
}

// tell records that discovery has written changes of the list to the coordinator.
func (p *platform) tell(ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		if s := p.servers[id]; s.state != "ready" && s.told.IsZero() {
			s.told = now
		}
	}
}

func (p *platform) serveDiscovery() {
	for {
		c, err := p.discovery.Accept()
		if err != nil {
			return
		}
		go p.serveDiscoveryConn(c)
	}
}

func (p *platform) serveDiscoveryConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if request.URL.Query().Get("stream") == "" {
			p.mu.Lock()
			body := p.list(0, true)
			p.mu.Unlock()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		index, _ := strconv.Atoi(request.URL.Query().Get("index"))
		lines := make(chan listChange, 1000)
		p.mu.Lock()
		first := p.list(index, index == 0 || index > p.version)
		p.watchers[lines] = true
		p.mu.Unlock()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
		next := listChange{line: first}
		for {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(next.line)+1, next.line); err != nil {
				break
			}
			p.tell(next.ids)
			select {
			case next = <-lines:
			case <-time.After(2 * time.Second):
				next = listChange{}
			}
		}
		p.mu.Lock()
		delete(p.watchers, lines)
		p.mu.Unlock()
		return
	}
}

func (p *platform) serveRelay() {
	for {
		c, err := p.hub.Accept()
		if err != nil {
			return
		}
		go p.serveRelayConn(c)
	}
}

// serveRelayConn answers the calls of one connection of the coordinator.
func (p *platform) serveRelayConn(c net.Conn) {
	defer c.Close()
	p.mu.Lock()
	p.hubConns[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.hubConns, c)
		p.mu.Unlock()
	}()
	out := make(chan string, 100000)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case line := <-out:
				if _, err := c.Write([]byte(line + "\n")); err != nil {
					return
				}
			case <-done:
				return
			}
		}
	}()
	defer func() {
		p.mu.Lock()
		delete(p.news, out)
		p.mu.Unlock()
	}()
	lines := bufio.NewScanner(c)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var call struct {
			ID     json.RawMessage `json:"id"`
			Method string          `json:"method"`
			Params struct {
				Changes []change `json:"changes"`
			} `json:"params"`
		}
		err := json.Unmarshal(lines.Bytes(), &call)
		switch {
		case err == nil && call.Method == "relay.watch":
			p.mu.Lock()
			out <- fmt.Sprintf(`{"jsonrpc":"2.0","id":%s,"result":true}`, call.ID)
			for _, x := range p.proxies {
				if !x.joinedAt.IsZero() {
					out <- attachLine(x)
				}
			}
			p.news[out] = true
			p.mu.Unlock()
			go func() {
				for {
					select {
					case <-time.After(time.Second):
						out <- `{"jsonrpc":"2.0","method":"ping"}`
					case <-done:
						return
					}
				}
			}()
		case err == nil && call.Method == "relay.apply" && len(lines.Bytes()) <= 60200:
			p.mu.Lock()
			p.calls++
			fault := callFault{}
			if p.callFaults != nil {
				fault = p.callFaults()
			}
			accepted := 0
			if !fault.lost {
				accepted = p.apply(call.Params.Changes)
			}
			if fault.answer == "" {
				out <- fmt.Sprintf(`{"jsonrpc":"2.0","id":%s,"result":{"accepted":%d}}`, call.ID, accepted)
			} else if fault.answer != "none" && fault.answer != "break" {
				out <- fault.answer
			}
			p.mu.Unlock()
			if fault.answer != "" {
				p.rec.printf("call fault: lost %v, answer %q", fault.lost, fault.answer)
			}
			if fault.answer == "break" {
				return
			}
		default:
			p.mu.Lock()
			p.malformed++
			n := p.malformed
			p.mu.Unlock()
			id := string(call.ID)
			if id == "" {
				id = callID(lines.Text())
			}
			if n <= 5 {
				p.rec.printf("relay: malformed call %.300s", lines.Text())
			}
			out <- fmt.Sprintf(`{"jsonrpc":"2.0","id":%s,"error":{"code":-32600,"message":"malformed"}}`, id)
		}
	}
}

// callID finds the id of a call that isn't JSON.
func callID(text string) string {
	_, rest, ok := strings.Cut(text, `"id":`)
	end := strings.IndexAny(rest, ",}")
	if !ok || end < 1 {
		return "null"
	}
	return rest[:end]
}

func attachLine(x *relayProxy) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","method":"attach","params":{"sidecar":%d,"az":%q,"share":%.1f,"standing":%v}}`, x.number, x.zone, x.rate, x.standing)
}

// change is one order of a call.
type change struct {
	Do      string   `json:"do"`
	Group   *int     `json:"group"`
	Host    string   `json:"host"`
	Share   *float64 `json:"share"`
	Sidecar *int     `json:"sidecar"`
	For     []string `json:"for"`
	Gate    *float64 `json:"gate"`
	Stamp   *int     `json:"stamp"`
	Yes     int      `json:"yes"`
}

// apply carries out a call and returns how many orders were taken. Each proxy concerned is sent one message. p.mu is held.
func (p *platform) apply(changes []change) int {
	lines := map[*relayProxy]float64{}
	mark := 0
	markAll := false
	accepted := 0
	for _, x := range changes {
		ok := p.applyOne(x, lines)
		if x.Do == "mark" && x.Stamp != nil {
			mark, markAll, ok = *x.Stamp, x.Yes == 1, true
		}
		if !ok {
			break
		}
		accepted++
	}
	now := time.Now()
	p.rec.printf("call: %s", callText(changes))
	for _, x := range p.proxies {
		size, concerned := lines[x]
		if x.joinedAt.IsZero() || !concerned && !markAll {
			continue
		}
		if mark != 0 {
			size++
		}
		size += p.settings.PerMessage
		x.standing = false
		p.waiting += size
		p.mostQueued = max(p.mostQueued, p.waiting)
		p.channel = append(p.channel, message{proxy: x, lines: size, view: p.viewOf(x), mark: mark, at: now, generation: x.generation})
		p.countMessage(x, now)
	}
	return accepted
}

// callText describes the orders of a call in short.
func callText(changes []change) string {
	var removed, set []string
	binds := 0
	for _, x := range changes {
		switch {
		case x.Do == "share" && x.Share != nil && *x.Share == 0:
			removed = append(removed, x.Host)
		case x.Do == "share":
			set = append(set, x.Host)
		case x.Do == "bind":
			binds++
		}
	}
	return fmt.Sprintf("%d orders; removes %v; sets %v; binds %d", len(changes), removed, set, binds)
}

func (p *platform) countMessage(x *relayProxy, now time.Time) {
	if p.settings.Messages == 0 {
		return
	}
	x.queued = append(x.queued, now)
	for len(x.queued) > 0 && now.Sub(x.queued[0]).Seconds() > p.settings.Window {
		x.queued = x.queued[1:]
	}
	if len(x.queued) > p.settings.Messages {
		p.over++
	}
}

func (p *platform) applyOne(x change, lines map[*relayProxy]float64) bool {
	switch x.Do {
	case "share":
		if x.Group == nil || x.Share == nil || *x.Share < 0 || p.servers[x.Host] == nil {
			return false
		}
		if p.tables[*x.Group] == nil {
			p.tables[*x.Group] = map[string]float64{}
		}
		if *x.Share == 0 {
			delete(p.tables[*x.Group], x.Host)
		} else {
			p.tables[*x.Group][x.Host] = *x.Share
		}
		p.concern(*x.Group, lines)
	case "clear":
		if x.Group == nil {
			return false
		}
		p.tables[*x.Group] = map[string]float64{}
		p.concern(*x.Group, lines)
	case "bind":
		if x.Group == nil || x.Sidecar == nil || *x.Sidecar < 0 || *x.Sidecar >= len(p.proxies) || p.proxies[*x.Sidecar].joinedAt.IsZero() {
			return false
		}
		classes := x.For
		if len(classes) == 0 {
			classes = p.settings.Classes
		}
		for _, class := range classes {
			p.proxies[*x.Sidecar].bound[class] = *x.Group
		}
		lines[p.proxies[*x.Sidecar]] += 1 + float64(len(p.tables[*x.Group]))
	case "admit":
		if x.Group == nil || x.Gate == nil || *x.Gate < 0 {
			return false
		}
		p.concern(*x.Group, lines)
	case "mark":
	default:
		return false
	}
	return true
}

func (p *platform) concern(table int, lines map[*relayProxy]float64) {
	for _, x := range p.proxies {
		for _, bound := range x.bound {
			if bound == table {
				lines[x]++
				break
			}
		}
	}
}

// viewOf returns what a proxy holds once it has applied everything that was written so far.
func (p *platform) viewOf(x *relayProxy) map[string]map[string]float64 {
	view := map[string]map[string]float64{}
	for _, class := range p.settings.Classes {
		table, ok := x.bound[class]
		if !ok {
			view[class] = x.view[class]
			continue
		}
		lines := map[string]float64{}
		for host, share := range p.tables[table] {
			lines[host] = share
		}
		view[class] = lines
	}
	return view
}

// runChannel sends what waits in the channel at its pace.
func (p *platform) runChannel(stop <-chan struct{}) {
	free := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		p.mu.Lock()
		now := time.Now()
		for len(p.channel) > 0 {
			m := p.channel[0]
			took := time.Duration(m.lines / (p.settings.Egress * p.pace()) * float64(time.Second))
			if free.Before(m.at) {
				free = m.at
			}
			if free.Add(took).After(now) {
				break
			}
			free = free.Add(took)
			p.channel = p.channel[1:]
			p.waiting -= m.lines
			time.AfterFunc(time.Duration(p.settings.Propagation*float64(time.Second)), func() { p.deliver(m) })
		}
		p.mu.Unlock()
	}
}

// pace is the factor of the channel's pace.
func (p *platform) pace() float64 {
	if p.slow == 0 {
		return 1
	}
	return p.slow
}

func (p *platform) deliver(m message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.generation != m.proxy.generation { // the stream that it was on has broken
		return
	}
	m.proxy.view = m.view
	if m.mark != 0 {
		line := fmt.Sprintf(`{"jsonrpc":"2.0","method":"done","params":{"sidecar":%d,"version":%d,"lag_ms":%.1f}}`,
			m.proxy.number, m.mark, time.Since(m.at).Seconds()*1000)
		for out := range p.news {
			out <- line
		}
	}
}

// join joins all proxies, each with a standing table of up to six listed servers of its zone.
func (p *platform) join() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.proxies {
		var ids []string
		for id, s := range p.servers {
			if s.state == "ready" && s.zone == x.zone {
				ids = append(ids, id)
			}
		}
		sort.Strings(ids)
		x.view = map[string]map[string]float64{}
		for _, class := range p.settings.Classes {
			x.view[class] = map[string]float64{}
			for _, i := range p.random.Perm(len(ids))[:min(6, len(ids))] {
				x.view[class][ids[i]] = 1
			}
		}
		x.joinedAt = time.Now()
		x.standing = true
		for out := range p.news {
			out <- attachLine(x)
		}
	}
}

// leave breaks the stream of a proxy. What waited for it in the channel is lost. p.mu is held.
func (p *platform) leave(x *relayProxy) {
	x.joinedAt = time.Time{}
	x.generation++
	x.bound = map[string]int{}
	x.queued = nil
	kept := p.channel[:0]
	for _, m := range p.channel {
		if m.proxy == x {
			p.waiting -= m.lines
			continue
		}
		kept = append(kept, m)
	}
	p.channel = kept
	for out := range p.news {
		out <- fmt.Sprintf(`{"jsonrpc":"2.0","method":"detach","params":{"sidecar":%d}}`, x.number)
	}
}

// rejoin opens a new stream of a proxy, which keeps the tables that it holds. p.mu is held.
func (p *platform) rejoin(x *relayProxy) {
	x.joinedAt = time.Now()
	x.standing = false
	for _, class := range p.settings.Classes {
		delete(p.bareSince, fmt.Sprintf("%d %s", x.number, class))
	}
	for out := range p.news {
		out <- attachLine(x)
	}
}

// runTraffic lets each proxy send its requests by its table. A request that goes to a server later than the rule on drains
// allows is recorded, and so is the time for which a proxy has no line.
func (p *platform) runTraffic(stop <-chan struct{}) {
	const step = 5 * time.Millisecond
	last := time.Now()
	recorded := last
	for {
		select {
		case <-stop:
			return
		case <-time.After(step):
		}
		p.mu.Lock()
		now := time.Now()
		if now.Sub(recorded) >= time.Second {
			recorded = now
			p.recordSends()
		}
		elapsed := now.Sub(last).Seconds()
		last = now
		for _, x := range p.proxies {
			if x.joinedAt.IsZero() {
				continue
			}
			p.checkBare(now, x)
			x.credit += x.rate * elapsed
			for ; x.credit >= 1; x.credit-- {
				p.send(now, x, p.settings.Classes[p.random.Intn(len(p.settings.Classes))])
			}
		}
		p.mu.Unlock()
	}
}

// recordSends writes how many requests each server was sent since the last call.
func (p *platform) recordSends() {
	var hosts []string
	for host := range p.sentTo {
		hosts = append(hosts, host)
	}
	sort.Strings(hosts)
	var b strings.Builder
	for _, host := range hosts {
		fmt.Fprintf(&b, " %s:%d", host, p.sentTo[host])
	}
	p.rec.printf("sent and answered in the last second:%s; without a server: %d", b.String(), p.nowhere)
	p.sentTo = map[string]int{}
	p.nowhere = 0
}

func (p *platform) send(now time.Time, x *relayProxy, class string) {
	key := fmt.Sprintf("%d %s", x.number, class)
	p.demand[key]++
	host := p.pick(x.view[class])
	if host == "" {
		p.unserved[key]++
		p.nowhere++
		return
	}
	p.sends++
	p.sentTo[host]++
	s := p.servers[host]
	sums := p.sums[[2]string{x.zone, host}]
	if sums == nil {
		sums = &sum{}
		p.sums[[2]string{x.zone, host}] = sums
	}
	sums.n++
	sums.ms += 140 + 40*p.random.Float64()
	if s.told.IsZero() {
		return
	}
	limit := s.told
	for _, at := range []time.Time{x.joinedAt, p.ready.Add(time.Second)} {
		if at.After(limit) {
			limit = at
		}
	}
	after := now.Sub(limit).Seconds()
	if after > p.settings.Grace+0.3 {
		late := p.lateSends[host]
		if late == nil {
			late = &lateSend{}
			p.lateSends[host] = late
		}
		p.rec.printf("proxy %d sends a request of %s to %s %.2f s after the news that it drains", x.number, class, host, after)
		late.count++
		late.after = max(late.after, after)
	}
}

func (p *platform) pick(lines map[string]float64) string {
	total := 0.0
	var hosts []string
	for host, share := range lines {
		total += share
		hosts = append(hosts, host)
	}
	sort.Strings(hosts)
	at := p.random.Float64() * total
	for _, host := range hosts {
		at -= lines[host]
		if at < 0 {
			return host
		}
	}
	return ""
}

// checkBare records for how long a proxy has no line of a class while a warm server is ready.
func (p *platform) checkBare(now time.Time, x *relayProxy) {
	warm := false
	for _, s := range p.servers {
		warm = warm || s.state == "ready" && (s.started == 0 || float64(now.UnixNano())/1e9-s.started >= p.settings.Cold)
	}
	for _, class := range p.settings.Classes {
		key := fmt.Sprintf("%d %s", x.number, class)
		if len(x.view[class]) > 0 || !warm {
			delete(p.bareSince, key)
			continue
		}
		since, ok := p.bareSince[key]
		if !ok {
			p.bareSince[key] = now
			continue
		}
		if seconds := now.Sub(since).Seconds(); seconds > p.settings.Unserved+0.3 {
			if p.bare[key] == 0 {
				p.rec.printf("proxy %s has had no line for %.2f s", key, seconds)
			}
			p.bare[key] = seconds
		}
	}
}

// runCollectors sends the sums of each zone, late as the page says.
func (p *platform) runCollectors(stop <-chan struct{}) {
	conns := map[string]net.Conn{}
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	period := time.Duration(p.settings.Period * float64(time.Second))
	for {
		select {
		case <-stop:
			return
		case <-time.After(period):
		}
		p.mu.Lock()
		byZone := map[string][]string{}
		for key, s := range p.sums {
			avg := 0.0
			if s.n > s.bad {
				avg = s.ms / (s.n - s.bad)
			}
			byZone[key[0]] = append(byZone[key[0]], respMessage("upstream_stats", "az", key[0], "host", key[1],
				"n", fmt.Sprint(s.n), "bad", fmt.Sprint(s.bad), "avg", fmt.Sprintf("%.1f", avg), "window", fmt.Sprintf("%.1f", p.settings.Period*1000)))
		}
		first := p.settings.Zones[0]
		for key, n := range p.demand {
			number, class, _ := strings.Cut(key, " ")
			byZone[first] = append(byZone[first], respMessage("client_stats", "sidecar", number, "kind", class,
				"n", fmt.Sprint(n), "bad", fmt.Sprint(p.unserved[key]), "window", fmt.Sprintf("%.1f", p.settings.Period*1000)))
		}
		if p.extraReport != "" {
			byZone[first] = append(byZone[first], p.extraReport)
			p.extraReport = ""
		}
		p.sums = map[[2]string]*sum{}
		p.demand = map[string]float64{}
		p.unserved = map[string]float64{}
		p.mu.Unlock()
		time.AfterFunc(400*time.Millisecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			reports := 0
			for _, messages := range byZone {
				reports += len(messages)
			}
			p.rec.printf("collectors send %d reports", reports)
			for zone, messages := range byZone {
				if conns[zone] == nil {
					c, err := net.DialTimeout("tcp", p.coord, time.Second)
					if err != nil {
						continue
					}
					conns[zone] = c
					fmt.Fprint(c, respMessage("telemetry", "az", zone))
				}
				if _, err := conns[zone].Write([]byte(strings.Join(messages, ""))); err != nil {
					conns[zone].Close()
					delete(conns, zone)
				}
			}
		})
	}
}

func respMessage(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.String()
}

// awaitReady asks the coordinator for a sign of life until it answers.
func (p *platform) awaitReady(within time.Duration) bool {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		c, err := net.DialTimeout("tcp", p.coord, 200*time.Millisecond)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprint(c, respMessage("hb"))
		answer := make([]byte, 64)
		n, err := c.Read(answer)
		c.Close()
		if err == nil && strings.Contains(string(answer[:n]), "hb_ok") {
			p.mu.Lock()
			p.ready = time.Now()
			p.mu.Unlock()
			return true
		}
	}
	return false
}

// config returns the configuration of the coordinator.
func (p *platform) config() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, _ := json.MarshalIndent(map[string]any{
		"name": "n1", "listen": p.coord, "discovery": p.discovery.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"hub":      map[string]any{"address": p.hub.Addr().String()},
		"known":    json.RawMessage(p.list(0, true)),
		"settings": p.settings.JSON,
	}, "", " ")
	return text
}
