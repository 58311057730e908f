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

// FloodGenerator is a faulty or malicious host of a tenant: it opens connections again and again, registers and requests
// weights as fast as it can, sends measurements that are malformed, duplicated or of other tenants, and names other
// tenants' relays, groups and users.
type FloodGenerator struct {
	ignoredEvents
	SASP         netip.AddrPort // SASP
	HTTP         netip.AddrPort // long-poll API
	Measurements netip.AddrPort // measurements
	UID          string         // its own relay
	OtherUID     string         // another tenant's relay
	User         string
	Key          string
	OtherUser    string
	Class        string
	Rate         float64 // actions a second
	Server       netip.AddrPort
	Seed         uint64

	io        env.IO
	random    randomSource
	conns     []env.Conn
	httpConns map[env.Conn]bool
	sessions  map[env.Conn]*saspSession
}

const (
	maxFloodConnections  = 40 // open at once
	floodIntervalSeconds = 0.01
	floodGarbageBytes    = 200
	floodReports         = 20 // contradicting reports in a datagram
)

// Start of env.Program.
func (f *FloodGenerator) Start(now float64, io env.IO) {
	f.io = io
	f.random = newRandomSource(f.Seed)
	f.httpConns = map[env.Conn]bool{}
	f.sessions = map[env.Conn]*saspSession{}
	io.SetTimer(now, 0)
}

// TimerFired of env.Program.
func (f *FloodGenerator) TimerFired(now float64, _ int) {
	for range int(f.Rate * floodIntervalSeconds) {
		f.act(now)
	}
	f.io.SetTimer(now+floodIntervalSeconds, 0)
}

// act does one thing that is drawn at random.
func (f *FloodGenerator) act(now float64) {
	position := f.random.uniform()
	switch {
	case position < 0.15 && len(f.conns) < maxFloodConnections:
		f.conns = append(f.conns, f.io.Dial(f.SASP))
	case position < 0.2 && len(f.conns) < maxFloodConnections:
		conn := f.io.Dial(f.HTTP)
		f.httpConns[conn] = true
		f.conns = append(f.conns, conn)
	case position < 0.25:
		f.sendGarbage()
	case position < 0.5:
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

// sendReports sends measurements that contradict each other, half of them in another tenant's name.
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

// sendMessage sends a poll, a greeting or a registration, some of them for another tenant's relay.
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

// Connected of env.Program.
func (f *FloodGenerator) Connected(now float64, conn env.Conn, ok bool) {
	if !ok {
		f.Closed(now, conn)
		return
	}
	f.sendMessage(conn)
}

// Closed of env.Program.
func (f *FloodGenerator) Closed(_ float64, conn env.Conn) {
	if i := slices.Index(f.conns, conn); i >= 0 {
		f.conns = slices.Delete(f.conns, i, i+1)
	}
	delete(f.httpConns, conn)
	delete(f.sessions, conn)
}
