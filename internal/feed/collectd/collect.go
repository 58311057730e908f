// Package collectd reads measurements in collectd's binary network protocol and hands them to a fleet. What it reads:
//
//	host = relay UID,  plugin snowquay, plugin instance = server address, type snowquay_traffic:
//	    derive tries, derive lost, derive microseconds that the good ones took together
//	host = relay UID,  plugin snowquay, plugin instance = class,          type snowquay_demand:
//	    derive queries, derive lost
//	host = server address, plugin uptime, type uptime: gauge seconds
//
// Where measurements need not be signed, the same may come as lines of collectd's plain text protocol (PUTVAL), in datagrams.
//
// All else is passed over, as a network that carries other measurements wants. It does no I/O.
package collectd

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"collectd.org/api"
	"collectd.org/network"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/loadreport"
)

const (
	plugin      = "snowquay"
	trafficType = "snowquay_traffic"
	demandType  = "snowquay_demand"
	uptimeType  = "uptime"
	microsecond = 1e-6

	// MaxPacketBytes is the largest packet that is read, in bytes: what collectd itself reads at most.
	MaxPacketBytes = 65535
)

// ErrInvalidPacket says that a packet was not read; nothing in it was taken.
var ErrInvalidPacket = errors.New("measurement packet not read")

// Collector hands packets to a fleet.
type Collector struct {
	fleet *controlplane.Fleet
	opts  network.ParseOpts

	Packets, Malformed, Foreign int
}

type password struct{ user, key string }

func (p password) Password(user string) (string, error) {
	if user != p.user {
		return "", fmt.Errorf("no key for user %q", user)
	}
	return p.key, nil
}

// New makes a collector. With a key only packets signed by that user with that key are taken (HMAC-SHA-256).
func New(f *controlplane.Fleet, user, key string) *Collector {
	c := &Collector{fleet: f}
	if key != "" {
		c.opts = network.ParseOpts{PasswordLookup: password{user, key}, SecurityLevel: network.Sign}
	}
	return c
}

const (
	signPart = 0x0200 // collectd's binary protocol: the part that signs all that follow
	lastPart = 0x02   // first byte of a part's type, at most
	signHead = 4 + 32 // its type and length, and an HMAC-SHA-256
)

// PacketUser is who signed a packet, as the packet itself says: its key alone proves it.
func PacketUser(b []byte) (user string, ok bool) {
	if len(b) < signHead || binary.BigEndian.Uint16(b) != signPart {
		return "", false
	}
	n := int(binary.BigEndian.Uint16(b[2:]))
	if n <= signHead || n > len(b) {
		return "", false
	}
	return string(b[signHead:n]), true
}

// Packet takes one datagram. It is read whole before anything of it is handed on, so that a garbled packet changes
// nothing. With a key, values that are not signed are not even parsed.
func (c *Collector) Packet(now float64, b []byte) (err error) {
	c.Packets++
	defer func() { // the parser is given whatever a network brings
		if r := recover(); r != nil {
			c.Malformed++
			err = fmt.Errorf("%w: the parser failed: %v", ErrInvalidPacket, r)
		}
	}()
	if len(b) > 0 && b[0] > lastPart && len(b) <= MaxPacketBytes { // no part of the binary protocol starts so
		if c.opts.PasswordLookup != nil { // text can't be signed
			c.Malformed++
			return fmt.Errorf("%w: text is not taken where measurements are signed", ErrInvalidPacket)
		}
		return c.text(now, b)
	}
	lists, err := network.Parse(b, c.opts)
	if err != nil {
		c.Malformed++
		return fmt.Errorf("%w: %w", ErrInvalidPacket, err)
	}
	if len(b) > MaxPacketBytes {
		c.Malformed++
		return fmt.Errorf("%w: %d bytes, %d at most", ErrInvalidPacket, len(b), MaxPacketBytes)
	}
	for _, l := range lists {
		c.take(now, l)
	}
	return nil
}

func (c *Collector) take(now float64, l *api.ValueList) {
	at := float64(l.Time.UnixNano()) / 1e9
	switch {
	case l.Plugin == plugin && l.Type == trafficType && len(l.Values) == 3:
		if v, ok := derives(l.Values); ok {
			c.fleet.ReportUpstream(now, at, l.Host, balancer.Server(l.PluginInstance),
				loadreport.Totals{Attempts: v[0], Failed: v[1], Seconds: v[2] * microsecond})
			return
		}
	case l.Plugin == plugin && l.Type == demandType && len(l.Values) == 2:
		if v, ok := derives(l.Values); ok {
			c.fleet.ReportDemand(now, at, l.Host, l.PluginInstance, loadreport.Totals{Attempts: v[0], Failed: v[1]})
			return
		}
	case l.Type == uptimeType && len(l.Values) == 1:
		if v, ok := l.Values[0].(api.Gauge); ok {
			c.fleet.ObserveUptime(now, balancer.Server(l.Host), float64(v))
			return
		}
	}
	c.Foreign++
}

func derives(values []api.Value) (out [3]float64, ok bool) {
	for i, v := range values {
		d, ok := v.(api.Derive)
		if !ok {
			return out, false
		}
		out[i] = float64(d)
	}
	return out, true
}

// PacketWriter puts measurements into packets, for those who report.
type PacketWriter struct {
	host, user, key string
	at              time.Time
	buf             *network.Buffer
	send            func([]byte)
}

// NewPacketWriter reports as a host at a clock time, in seconds; with a key packets are signed. send takes each full packet.
func NewPacketWriter(now float64, host, user, key string, send func([]byte)) *PacketWriter {
	p := &PacketWriter{host: host, user: user, key: key, at: time.Unix(0, int64(now*1e9)), send: send}
	p.fresh()
	return p
}

func (p *PacketWriter) fresh() {
	if p.buf = network.NewBuffer(0); p.key != "" {
		p.buf.Sign(p.user, p.key)
	}
}

func (p *PacketWriter) add(plugin, instance, kind string, values ...api.Value) {
	l := &api.ValueList{Identifier: api.Identifier{Host: p.host, Plugin: plugin, PluginInstance: instance, Type: kind},
		Time: p.at, Interval: time.Second, Values: values}
	if err := p.buf.Write(context.Background(), l); errors.Is(err, network.ErrNotEnoughSpace) {
		p.Flush()
		_ = p.buf.Write(context.Background(), l) // one value list fits into an empty packet
	}
}

// Traffic adds a relay's totals at a server.
func (p *PacketWriter) Traffic(server string, t loadreport.Totals) {
	p.add(plugin, server, trafficType, api.Derive(t.Attempts), api.Derive(t.Failed), api.Derive(t.Seconds/microsecond))
}

// Demand adds a relay's totals of a class.
func (p *PacketWriter) Demand(class string, t loadreport.Totals) {
	p.add(plugin, class, demandType, api.Derive(t.Attempts), api.Derive(t.Failed))
}

// Uptime adds a server's seconds since its start.
func (p *PacketWriter) Uptime(seconds float64) {
	p.add(uptimeType, "", uptimeType, api.Gauge(seconds))
}

// Flush sends what is left.
func (p *PacketWriter) Flush() {
	b, err := p.buf.Bytes()
	if err == nil && len(b) > 0 {
		p.send(b)
	}
	p.fresh()
}
