package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"snowquay/internal/env"
	"snowquay/internal/wire/lines"
)

// fakeRelay is a relay: what its proxies were told, by call.
type fakeRelay struct {
	idleProgram
	readers      map[env.Conn]*lines.Reader
	subscribers  map[env.Conn]bool
	zones        map[int]string // by proxy, its zone
	assignedAt   map[int]float64
	weights      map[string]float64
	tables       map[int]map[string]float64
	tableOf      map[int]int                                          // the table of each proxy
	respond      func(id uint64, orders int) (text string, done bool) // nil: all is well
	calls        int
	opened       int
	unreachable  bool         // out of reach: it takes what comes, and says nothing
	delay        func(func()) // where an answer is to come later
	acknowledges bool         // proxies answer marks at once
	largestCall  int          // bytes of the largest call
}

func newFakeRelay() *fakeRelay {
	return &fakeRelay{readers: map[env.Conn]*lines.Reader{}, subscribers: map[env.Conn]bool{}, zones: map[int]string{}, assignedAt: map[int]float64{},
		weights: map[string]float64{}, tables: map[int]map[string]float64{}, tableOf: map[int]int{}}
}

func (d *fakeRelay) Start(now float64, io env.IO) { d.io = io; io.SetTimer(now+1, 0) }

func (d *fakeRelay) TimerFired(now float64, _ int) {
	for c := range d.subscribers {
		if !d.unreachable {
			d.io.Send(c, []byte(`{"jsonrpc":"2.0","method":"ping","params":{}}`+"\n"))
		}
	}
	d.io.SetTimer(now+1, 0)
}

func (d *fakeRelay) Opened(_ float64, c env.Conn, _ netip.Addr, _ uint16) {
	d.readers[c] = &lines.Reader{}
	d.opened++
}

func (d *fakeRelay) Closed(_ float64, c env.Conn) { delete(d.readers, c); delete(d.subscribers, c) }

func (d *fakeRelay) sendJoin(c env.Conn, p int) {
	d.io.Send(c, fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"attach","params":{"sidecar":%d,"az":%q,"share":5,"standing":true}}`+"\n", p, d.zones[p]))
}

func (d *fakeRelay) join(p int, zone string) {
	d.zones[p] = zone
	for c := range d.subscribers {
		d.sendJoin(c, p)
	}
}

func (d *fakeRelay) Receive(now float64, c env.Conn, b []byte) {
	_ = d.readers[c].Read(b, 1<<20, func(line []byte) {
		var m struct {
			ID     uint64 `json:"id"`
			Method string `json:"method"`
			Params struct {
				Changes []map[string]any `json:"changes"`
			} `json:"params"`
		}
		if json.Unmarshal(line, &m) != nil {
			panic(string(line))
		}
		if m.Method == "relay.watch" && d.unreachable {
			return
		}
		if m.Method == "relay.watch" {
			d.subscribers[c] = true
			d.io.Send(c, fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"result":true}`+"\n", m.ID))
			for _, p := range slices.Sorted(maps.Keys(d.zones)) {
				if d.zones[p] != "" {
					d.sendJoin(c, p)
				}
			}
			return
		}
		d.calls++
		d.largestCall = max(d.largestCall, len(line))
		text, done := fmt.Sprintf(`"result":{"accepted":%d}`, len(m.Params.Changes)), true
		if d.respond != nil {
			text, done = d.respond(m.ID, len(m.Params.Changes))
		}
		for _, o := range m.Params.Changes {
			switch {
			case !done:
			case o["do"] == "share":
				if d.weights[o["host"].(string)] = o["share"].(float64); o["share"] == 0.0 {
					delete(d.weights, o["host"].(string))
				}
				g := int(o["group"].(float64))
				if d.tables[g] == nil {
					d.tables[g] = map[string]float64{}
				}
				if d.tables[g][o["host"].(string)] = o["share"].(float64); o["share"] == 0.0 {
					delete(d.tables[g], o["host"].(string))
				}
			case o["do"] == "bind":
				d.tableOf[int(o["sidecar"].(float64))] = int(o["group"].(float64))
				d.assignedAt[int(o["sidecar"].(float64))] = now
			}
		}
		if d.unreachable {
			return
		}
		if done && d.acknowledges {
			d.acknowledge(m.Params.Changes)
		}
		switch text {
		case "":
		case "reset":
			d.io.Close(c)
			d.Closed(now, c)
		default:
			send := func() { d.io.Send(c, fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,%s}`+"\n", m.ID, text)) }
			if d.delay == nil {
				send()
			} else {
				d.delay(send)
			}
		}
	})
}

// acknowledge has all whom a call concerns answer its mark.
func (d *fakeRelay) acknowledge(changes []map[string]any) {
	proxies, groups, stamp := map[int]bool{}, map[int]bool{}, 0.0
	for _, o := range changes {
		switch o["do"] {
		case "mark":
			stamp = o["stamp"].(float64)
		case "bind":
			proxies[int(o["sidecar"].(float64))] = true
		default:
			groups[int(o["group"].(float64))] = true
		}
	}
	for _, p := range slices.Sorted(maps.Keys(d.tableOf)) {
		if stamp > 0 && d.zones[p] != "" && (proxies[p] || groups[d.tableOf[p]]) {
			for c := range d.subscribers {
				d.io.Send(c, fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"done","params":{"sidecar":%d,"version":%.0f,"lag_ms":100}}`+"\n", p, stamp))
			}
		}
	}
}
