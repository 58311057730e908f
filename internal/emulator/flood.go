package emulator

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"

	"snowquay/internal/core/loadreport"
	"snowquay/internal/env"
	"snowquay/internal/feed/collectd"
	"snowquay/internal/wire/sasp"
)

// FloodGenerator emulates a faulty or malicious machine of a tenant. It repeatedly opens connections, registers and requests
// weights at a high rate, sends measurements that are malformed, duplicated or in the name of other tenants, and uses the
// UIDs, groups and users of other tenants' relays.
type FloodGenerator struct {
	ignoredEvents
	SASP         netip.AddrPort // address of the SASP listener
	HTTP         netip.AddrPort // address of the long-poll API
	Measurements netip.AddrPort // address of the collector
	UID          string         // UID of a relay of its own tenant
	OtherUID     string         // UID of a relay of another tenant
	User         string         // user that measurements are sent as
	Key          string         // key that signs the measurements
	OtherUser    string         // user of another tenant
	Class        string
	Rate         float64        // actions per second
	Server       netip.AddrPort // server that registrations and measurements name
	Seed         uint64

	io        env.IO
	random    randomSource
	conns     []env.Conn
	httpConns map[env.Conn]bool
	sessions  map[env.Conn]*saspSession
}

const (
	maxFloodConnections  = 40 // maximum number of open connections
	floodIntervalSeconds = 0.01
	floodGarbageBytes    = 200
	floodReports         = 20 // contradictory reports in one batch
)

// Start implements env.Program.
func (f *FloodGenerator) Start(now float64, io env.IO) {
	f.io = io
	f.random = newRandomSource(f.Seed)
	f.httpConns = map[env.Conn]bool{}
	f.sessions = map[env.Conn]*saspSession{}
	io.SetTimer(now, 0)
}

// TimerFired implements env.Program.
func (f *FloodGenerator) TimerFired(now float64, _ int) {
	for range int(f.Rate * floodIntervalSeconds) {
		f.performRandomAction(now)
	}
	f.io.SetTimer(now+floodIntervalSeconds, 0)
}

// performRandomAction performs one randomly chosen action.
func (f *FloodGenerator) performRandomAction(now float64) {
	draw := f.random.uniform()
	switch {
	case draw < 0.15 && len(f.conns) < maxFloodConnections:
		f.conns = append(f.conns, f.io.Dial(f.SASP))
	case draw < 0.2 && len(f.conns) < maxFloodConnections:
		conn := f.io.Dial(f.HTTP)
		f.httpConns[conn] = true
		f.conns = append(f.conns, conn)
	case draw < 0.25:
		f.sendGarbage()
	case draw < 0.5:
		f.sendReports(now)
	case len(f.conns) > 0:
		f.sendMessage(f.conns[f.random.IntN(len(f.conns))])
	}
}

func (f *FloodGenerator) sendGarbage() {
	b := make([]byte, floodGarbageBytes)
	for i := range b {
		b[i] = byte(f.random.IntN(256))
	}
	f.io.Datagram(f.Measurements, b)
}

// sendReports sends a batch of contradictory measurements. Half of the batches are in the name of another tenant.
func (f *FloodGenerator) sendReports(now float64) {
	user := f.User
	host := f.UID
	if f.random.uniform() < 0.5 {
		user = f.OtherUser
		host = f.OtherUID
	}
	packets := collectd.NewPacketWriter(now, host, user, f.Key, func(b []byte) { f.io.Datagram(f.Measurements, b) })
	for i := range floodReports {
		packets.Traffic(f.Server.String(), loadreport.Totals{Attempts: float64(i * 1000), Failed: float64(i * 900), LatencySum: 1e6})
	}
	packets.Flush()
}

// sendMessage sends a long poll, an identity or a registration. 30 % of the messages name another tenant's relay.
func (f *FloodGenerator) sendMessage(conn env.Conn) {
	uid := f.UID
	if f.random.uniform() < 0.3 {
		uid = f.OtherUID
	}
	if f.httpConns[conn] {
		f.io.Send(conn, fmt.Appendf(nil, "GET /v1/proxies/%s/tables?wait=0 HTTP/1.1\r\nHost: x\r\n\r\n", url.PathEscape(uid)))
		return
	}
	session := f.sessions[conn]
	if session == nil {
		session = &saspSession{}
		f.sessions[conn] = session
	}
	if f.random.uniform() < 0.5 {
		f.io.Send(conn, session.write(&sasp.Message{Kind: sasp.SetBalancer, UID: []byte(uid), Flags: sasp.Push | sasp.Trust}))
		return
	}
	f.io.Send(conn, session.write(&sasp.Message{
		Kind:   sasp.Registration,
		LB:     sasp.FromBalancer,
		Groups: []sasp.Group{{UID: []byte(uid), Name: []byte(f.Class), To: 1}},
		Rows:   []sasp.Row{{Address: sasp.AddressOf(f.Server)}},
	}))
}

// Connected implements env.Program.
func (f *FloodGenerator) Connected(now float64, conn env.Conn, ok bool) {
	if !ok {
		f.Closed(now, conn)
		return
	}
	f.sendMessage(conn)
}

// Closed implements env.Program.
func (f *FloodGenerator) Closed(_ float64, conn env.Conn) {
	if i := slices.Index(f.conns, conn); i >= 0 {
		f.conns = slices.Delete(f.conns, i, i+1)
	}
	delete(f.httpConns, conn)
	delete(f.sessions, conn)
}
