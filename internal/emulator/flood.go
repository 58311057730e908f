package emulator

import (
	"fmt"
	"net/netip"
	"net/url"

	"snowquay/internal/core/loadreport"
	"snowquay/internal/env"
	"snowquay/internal/feed/collectd"
	"snowquay/internal/wire/sasp"
)

// FloodGenerator is a tenant's host that has gone wrong, or means ill: it opens connections again and again, registers and asks for weights
// as fast as it can, sends measurements that are garbled, doubled, or of others, and names other tenants' relays, groups and users.
type FloodGenerator struct {
	To, HTTP, Collect netip.AddrPort
	UID, OtherUID       string // its own relay, and another tenant's
	User, Key         string
	OtherUser         string
	Class             string
	Rate              float64 // of what it does, a second
	Server            netip.AddrPort
	Seed              uint64
	io                env.IO
	random            randomSource
	conns             []env.Conn
	httpConns               map[env.Conn]bool
	sessions             map[env.Conn]*saspSession
}

const maxFloodConnections = 40 // connections at once

// Start of env.Program.
func (f *FloodGenerator) Start(now float64, io env.IO) {
	f.io, f.random, f.httpConns, f.sessions = io, newRandomSource(f.Seed), map[env.Conn]bool{}, map[env.Conn]*saspSession{}
	io.SetTimer(now, 0)
}

const floodIntervalSeconds = 0.01 // seconds between two bursts

// TimerFired of env.Program.
func (f *FloodGenerator) TimerFired(now float64, _ int) {
	for range int(f.Rate * floodIntervalSeconds) {
		f.act(now)
	}
	f.io.SetTimer(now+floodIntervalSeconds, 0)
}

func (f *FloodGenerator) act(now float64) {
	switch v := f.random.uniform(); {
	case v < 0.15 && len(f.conns) < maxFloodConnections:
		c := f.io.Dial(f.To)
		f.conns = append(f.conns, c)
	case v < 0.2 && len(f.conns) < maxFloodConnections:
		c := f.io.Dial(f.HTTP)
		f.httpConns[c] = true
		f.conns = append(f.conns, c)
	case v < 0.25:
		b := make([]byte, 200)
		for i := range b {
			b[i] = byte(f.random.IntN(256))
		}
		f.io.Datagram(f.Collect, b)
	case v < 0.5:
		user, key, host := f.User, f.Key, f.UID
		if f.random.uniform() < 0.5 {
			user, host = f.OtherUser, f.OtherUID
		}
		p := collectd.NewPacketWriter(now, host, user, key, func(b []byte) { f.io.Datagram(f.Collect, b) })
		for i := range 20 {
			p.Traffic(f.Server.String(), loadreport.Totals{Attempts: float64(i * 1000), Failed: float64(i * 900), Seconds: 1e6})
		}
		p.Flush()
	case len(f.conns) > 0:
		f.sendMessage(f.conns[f.random.IntN(len(f.conns))])
	}
}

func (f *FloodGenerator) sendMessage(c env.Conn) {
	uid := f.UID
	if f.random.uniform() < 0.3 {
		uid = f.OtherUID
	}
	if f.httpConns[c] {
		f.io.Send(c, fmt.Appendf(nil, "GET /v1/proxies/%s/tables?wait=0 HTTP/1.1\r\nHost: x\r\n\r\n", url.PathEscape(uid)))
		return
	}
	s := f.sessions[c]
	if s == nil {
		s = &saspSession{}
		f.sessions[c] = s
	}
	if f.random.uniform() < 0.5 {
		f.io.Send(c, s.write(&sasp.Message{Kind: sasp.SetBalancer, UID: []byte(uid), Flags: sasp.Push | sasp.Trust}))
		return
	}
	f.io.Send(c, s.write(&sasp.Message{Kind: sasp.Registration, LB: sasp.FromBalancer, Groups: []sasp.Group{{UID: []byte(uid), Name: []byte(f.Class), To: 1}},
		Rows: []sasp.Row{{Address: sasp.AddressOf(f.Server)}}}))
}

// Opened of env.Program.
func (f *FloodGenerator) Opened(float64, env.Conn, netip.Addr, uint16) {}

// Connected of env.Program.
func (f *FloodGenerator) Connected(now float64, c env.Conn, ok bool) {
	if !ok {
		f.Closed(now, c)
		return
	}
	f.sendMessage(c)
}

// Receive of env.Program.
func (f *FloodGenerator) Receive(float64, env.Conn, []byte) {}

// Closed of env.Program.
func (f *FloodGenerator) Closed(_ float64, c env.Conn) {
	for i, o := range f.conns {
		if o == c {
			f.conns = append(f.conns[:i], f.conns[i+1:]...)
			break
		}
	}
	delete(f.httpConns, c)
	delete(f.sessions, c)
}

// Delivered of env.Program.
func (f *FloodGenerator) Delivered(float64, env.Conn, uint64) {}

// Datagram of env.Program.
func (f *FloodGenerator) Datagram(float64, []byte) {}
