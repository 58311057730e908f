package platform

import (
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"snowquay/internal/wire/discovery"
)

// soakEvent is a fault of a run, or a signal.
type soakEvent struct {
	at   time.Duration // since the start of the faults
	kind string
	pick int           // what the event chooses by
	last time.Duration // how long it lasts
}

// soakKinds are drawn alike. Signals come in series: a run has several of them within a second.
var soakKinds = []string{
	"hup", "hup malformed", "hup moved", "hup series", "hup series", "hup series", "drain", "drain", "replace", "back in one line",
	"relay silent", "relay mute", "relay late", "relay in parts", "relay breaks", "discovery silent", "discovery breaks",
	"discovery in parts", "half a line", "full list", "crowd", "proxies join", "proxies leave", "term", "term after hup", "term twice", "term at start",
	"hup at start", "kill",
}

// drawSoak draws the faults of a run from its seed.
func drawSoak(random *rand.Rand) (events []soakEvent) {
	for at := 0.3; at < soakSeconds; at += 0.05 + 0.45*random.Float64() {
		events = append(events, soakEvent{
			at:   time.Duration(at * float64(time.Second)),
			kind: soakKinds[random.IntN(len(soakKinds))],
			pick: random.IntN(1 << 20),
			last: time.Duration((0.2 + 1.3*random.Float64()) * float64(time.Second)),
		})
	}
	return events
}

// inject does what an event says.
func (n *soakNode) inject(event soakEvent) {
	n.note("%s (%d, %.2f s)", event.kind, event.pick, event.last.Seconds())
	relay := n.relays[n.used]
	source := n.discovery[n.used]
	switch event.kind {
	case "hup", "hup malformed", "hup moved":
		n.reload(event.kind, event.pick)
	case "hup series":
		n.reloadInSeries(event.pick)
	case "relay silent":
		n.setRelayMode(relay, linkMode{silent: true}, event.last)
	case "relay mute":
		n.setRelayMode(relay, linkMode{mute: true}, event.last)
	case "relay late":
		n.setRelayMode(relay, linkMode{late: 45 * time.Millisecond}, event.last)
	case "relay in parts":
		n.setRelayMode(relay, linkMode{inParts: true}, event.last)
	case "relay breaks":
		relay.breakAll()
	case "discovery silent":
		source.setMode(linkMode{silent: true})
		n.forATime(event.last, func() { source.setMode(linkMode{}) })
	case "discovery in parts":
		source.setMode(linkMode{inParts: true})
		n.forATime(event.last, func() { source.setMode(linkMode{}) })
	case "discovery breaks":
		source.breakAll()
	case "crowd":
		n.clients.crowd(200 + event.pick%200)
	case "proxies join":
		relay.join(soakProxies, soakProxies+event.pick%soakCrowdProxies)
	case "proxies leave":
		relay.leave(soakProxies/2, soakProxies+event.pick%soakCrowdProxies)
	case "term":
		n.terminate(syscall.SIGTERM)
	case "term after hup":
		n.terminate(syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM)
	case "term twice":
		n.terminate(syscall.SIGTERM, syscall.SIGTERM)
	case "hup at start":
		n.kill()
		n.launchAndSignal(syscall.SIGHUP, event.pick)
		n.awaitReady()
	case "term at start":
		n.kill()
		n.launchAndSignal(syscall.SIGTERM, event.pick)
		n.awaitEndAtStart()
		n.start()
	case "kill":
		n.kill()
		n.restarts++
		n.start()
	default:
		n.changeServers(event, source)
	}
}

// reload sends SIGHUP with the same configuration, a malformed one, or one with the other addresses.
func (n *soakNode) reload(kind string, pick int) {
	switch kind {
	case "hup malformed":
		text, _ := os.ReadFile(n.config)
		writeConfig(n.t, n.config, string(text[:pick%len(text)]))
		n.signal(syscall.SIGHUP)
		time.Sleep(20 * time.Millisecond) // it reads the file meanwhile, or the next one
		n.configure(n.used)
		return
	case "hup moved":
		n.configure(1 - n.used)
	}
	n.signal(syscall.SIGHUP)
}

// reloadInSeries sends two to five SIGHUP within a second.
func (n *soakNode) reloadInSeries(pick int) {
	kinds := []string{"hup", "hup moved", "hup malformed", "hup moved"}
	for i := range 2 + pick%4 {
		digit := pick >> (3 * i)
		n.note("series: %s", kinds[digit%len(kinds)])
		n.reload(kinds[digit%len(kinds)], pick)
		time.Sleep(time.Duration(digit%8) * 25 * time.Millisecond)
	}
}

func (n *soakNode) setRelayMode(relay *soakRelay, mode linkMode, last time.Duration) {
	relay.setMode(mode)
	n.forATime(last, func() {
		relay.setMode(linkMode{})
		if mode.silent {
			relay.breakAll() // the network resets what was open when it is back
		}
	})
}

// changeServers plays the events of discovery's list.
func (n *soakNode) changeServers(event soakEvent, source *soakDiscovery) {
	switch event.kind {
	case "drain":
		source.send(n.servers.change(func() []discovery.Server { return n.setState(event.pick, discovery.Draining) }) + "\n")
	case "replace":
		source.send(n.servers.change(func() []discovery.Server {
			return append(n.setState(event.pick, discovery.Removed), n.servers.add())
		}) + "\n")
	case "back in one line":
		source.send(n.servers.change(func() []discovery.Server { return n.goneAndBack(event.pick) }) + "\n")
	case "half a line":
		source.sendHalfLine(n.servers.change(func() []discovery.Server { return n.setState(event.pick, discovery.Draining) }))
		n.forATime(event.last, source.breakAll)
	case "full list":
		source.send(n.servers.fullList() + "\n")
	}
}

// setState gives one of the ready servers another state, unless few are left.
func (n *soakNode) setState(pick int, state discovery.State) []discovery.Server {
	ready := n.servers.names(discovery.Ready)
	if len(ready) <= 3 {
		return []discovery.Server{n.servers.add()}
	}
	server := n.servers.servers[ready[pick%len(ready)]]
	server.State = state
	n.servers.servers[server.ID] = server
	if state == discovery.Removed {
		delete(n.servers.servers, server.ID)
	}
	return []discovery.Server{server}
}

// goneAndBack names one of the ready servers as gone and as started again.
func (n *soakNode) goneAndBack(pick int) []discovery.Server {
	ready := n.servers.names(discovery.Ready)
	back := n.servers.servers[ready[pick%len(ready)]]
	gone := back
	gone.State = discovery.Removed
	back.StartedMS = float64(time.Now().UnixMilli())
	n.servers.servers[back.ID] = back
	return []discovery.Server{gone, back}
}
