package platform

import (
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"snowquay/internal/wire/discovery"
)

// soakEvent is a fault or a signal of a run.
type soakEvent struct {
	at       time.Duration // since the start of the faults
	kind     string
	choice   int           // random number that selects the target or variant of the event
	duration time.Duration // how long the fault lasts
}

// soakEventKinds are drawn with equal probability. Signals also come in series, so that a run has several of them within a
// second.
var soakEventKinds = []string{
	"hup", "hup malformed", "hup moved", "hup series", "hup series", "hup series", "drain", "drain", "replace", "restart in one line",
	"relay silent", "relay without responses", "relay delayed", "relay fragmented", "relay reset", "discovery silent", "discovery reset",
	"discovery fragmented", "partial line", "full list", "client flood", "proxies join", "proxies leave", "streams reset", "streams reset", "term", "term after hup", "term twice", "term at start",
	"hup at start", "kill",
}

// drawEvents draws the events of a run from its random source.
func drawEvents(random *rand.Rand) (events []soakEvent) {
	for at := 0.3; at < soakSeconds; at += 0.05 + 0.45*random.Float64() {
		events = append(events, soakEvent{
			at:       time.Duration(at * float64(time.Second)),
			kind:     soakEventKinds[random.IntN(len(soakEventKinds))],
			choice:   random.IntN(1 << 20),
			duration: time.Duration((0.2 + 1.3*random.Float64()) * float64(time.Second)),
		})
	}
	return events
}

// inject executes an event.
func (n *soakNode) inject(event soakEvent) {
	n.logf("%s (%d, %.2f s)", event.kind, event.choice, event.duration.Seconds())
	relay := n.relays[n.active]
	source := n.discovery[n.active]
	switch event.kind {
	case "hup", "hup malformed", "hup moved":
		n.reload(event.kind, event.choice)
	case "hup series":
		n.reloadInSeries(event.choice)
	case "relay silent":
		n.setRelayMode(relay, faultMode{silent: true}, event.duration)
	case "relay without responses":
		n.setRelayMode(relay, faultMode{noResponses: true}, event.duration)
	case "relay delayed":
		n.setRelayMode(relay, faultMode{delay: 45 * time.Millisecond}, event.duration)
	case "relay fragmented":
		n.setRelayMode(relay, faultMode{fragmented: true}, event.duration)
	case "relay reset":
		relay.resetConnections()
	case "discovery silent":
		source.setMode(faultMode{silent: true})
		n.runAfter(event.duration, func() { source.setMode(faultMode{}) })
	case "discovery fragmented":
		source.setMode(faultMode{fragmented: true})
		n.runAfter(event.duration, func() { source.setMode(faultMode{}) })
	case "discovery reset":
		source.resetConnections()
	case "client flood":
		n.clients.flood(200 + event.choice%200)
	case "proxies join":
		n.changeProxies(func() string { return n.state.join(soakProxies, soakProxies+event.choice%soakExtraProxies) })
	case "proxies leave":
		n.changeProxies(func() string { return n.state.leave(soakProxies/2, soakProxies+event.choice%soakExtraProxies) })
	case "streams reset":
		n.resetStreams(event.choice)
	case "term":
		n.terminate(syscall.SIGTERM)
	case "term after hup":
		n.terminate(syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM)
	case "term twice":
		n.terminate(syscall.SIGTERM, syscall.SIGTERM)
	case "hup at start":
		n.kill()
		n.launchAndSignal(syscall.SIGHUP, event.choice)
		n.awaitReady()
	case "term at start":
		n.kill()
		n.launchAndSignal(syscall.SIGTERM, event.choice)
		n.awaitExitAtStart()
		n.start()
	case "kill":
		n.kill()
		n.restarts++
		n.start()
	default:
		n.changeServers(event, source)
	}
}

// reload sends SIGHUP after writing the same configuration, a malformed one or one with the other addresses.
func (n *soakNode) reload(kind string, choice int) {
	switch kind {
	case "hup malformed":
		text, _ := os.ReadFile(n.config)
		writeConfig(n.t, n.config, string(text[:choice%len(text)]))
		n.signal(syscall.SIGHUP)
		time.Sleep(20 * time.Millisecond) // the program reads this file meanwhile, or the next one
		n.configure(n.active)
		return
	case "hup moved":
		n.configure(1 - n.active)
	}
	n.signal(syscall.SIGHUP)
}

// reloadInSeries sends SIGHUP two to five times within a second.
func (n *soakNode) reloadInSeries(choice int) {
	kinds := []string{"hup", "hup moved", "hup malformed", "hup moved"}
	for i := range 2 + choice%4 {
		digit := choice >> (3 * i)
		n.logf("series: %s", kinds[digit%len(kinds)])
		n.reload(kinds[digit%len(kinds)], choice)
		time.Sleep(time.Duration(digit%8) * 25 * time.Millisecond)
	}
}

// changeProxies lets proxies join or leave, and notifies the connections to both addresses of the relay.
func (n *soakNode) changeProxies(change func() (events string)) {
	n.state.events.Lock()
	defer n.state.events.Unlock()
	text := change()
	for _, relay := range n.relays {
		relay.notify(text)
	}
}

// resetStreams resets all connections to the relay and, at once, the streams of three in four proxies. They join again
// one after the other.
func (n *soakNode) resetStreams(choice int) {
	const earliestRedial = 110 * time.Millisecond
	const latestRedial = 2400 * time.Millisecond
	for _, relay := range n.relays {
		relay.resetConnections()
	}
	for proxy := range soakProxies {
		if (proxy+choice)%4 == 0 {
			continue
		}
		n.changeProxies(func() string { return n.state.leave(proxy, proxy+1) })
		redialAfter := earliestRedial + time.Duration(proxy)*(latestRedial-earliestRedial)/soakProxies
		n.runAfter(redialAfter, func() { n.changeProxies(func() string { return n.state.join(proxy, proxy+1) }) })
	}
}

func (n *soakNode) setRelayMode(relay *soakRelay, mode faultMode, duration time.Duration) {
	relay.setMode(mode)
	n.runAfter(duration, func() {
		relay.setMode(faultMode{})
		if mode.silent {
			relay.resetConnections() // connections are reset when the network recovers
		}
	})
}

// changeServers executes the events that change the server list of discovery.
func (n *soakNode) changeServers(event soakEvent, source *soakDiscovery) {
	switch event.kind {
	case "drain":
		source.send(n.servers.change(func() []discovery.Server { return n.setState(event.choice, discovery.Draining) }) + "\n")
	case "replace":
		source.send(n.servers.change(func() []discovery.Server {
			return append(n.setState(event.choice, discovery.Removed), n.servers.add())
		}) + "\n")
	case "restart in one line":
		source.send(n.servers.change(func() []discovery.Server { return n.restartServer(event.choice) }) + "\n")
	case "partial line":
		source.sendHalfLine(n.servers.change(func() []discovery.Server { return n.setState(event.choice, discovery.Draining) }))
		n.runAfter(event.duration, source.resetConnections)
	case "full list":
		source.send(n.servers.fullList() + "\n")
	}
}

// setState changes the state of one of the ready servers. If only three or fewer are left, it adds a server instead.
func (n *soakNode) setState(choice int, state discovery.State) []discovery.Server {
	ready := n.servers.names(discovery.Ready)
	if len(ready) <= 3 {
		return []discovery.Server{n.servers.add()}
	}
	server := n.servers.servers[ready[choice%len(ready)]]
	server.State = state
	n.servers.servers[server.ID] = server
	if state == discovery.Removed {
		delete(n.servers.servers, server.ID)
	}
	return []discovery.Server{server}
}

// restartServer returns two entries for one of the ready servers: that it was removed, and that it has started again.
func (n *soakNode) restartServer(choice int) []discovery.Server {
	ready := n.servers.names(discovery.Ready)
	restarted := n.servers.servers[ready[choice%len(ready)]]
	removed := restarted
	removed.State = discovery.Removed
	restarted.StartedMS = float64(time.Now().UnixMilli())
	n.servers.servers[restarted.ID] = restarted
	return []discovery.Server{removed, restarted}
}
