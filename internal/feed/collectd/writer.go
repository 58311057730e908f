package collectd

import (
	"context"
	"errors"
	"time"

	"collectd.org/api"
	"collectd.org/network"

	"snowquay/internal/core/loadreport"
)

// PacketWriter encodes load reports into packets of the binary protocol and passes these to a function. Flush
// must be called after the last report.
type PacketWriter struct {
	host   string
	user   string
	key    string
	at     time.Time
	buffer *network.Buffer
	send   func([]byte)
}

// NewPacketWriter returns a writer of the reports of a host at a time in seconds since 1970. If the key is not
// empty, packets are signed. The writer calls the function send with each packet.
func NewPacketWriter(now float64, host, user, key string, send func([]byte)) *PacketWriter {
	w := &PacketWriter{
		host: host,
		user: user,
		key:  key,
		at:   time.Unix(0, int64(now*nanosecondsPerSecond)),
		send: send,
	}
	w.reset()
	return w
}

// Traffic adds the totals of the host, which is a proxy, for a server.
func (w *PacketWriter) Traffic(server string, totals loadreport.Totals) {
	w.add(pluginName, server, trafficType, api.Derive(totals.Attempts), api.Derive(totals.Failed),
		api.Derive(totals.LatencySum/secondsPerMicrosecond))
}

// Demand adds the totals of the host, which is a proxy, for a request class.
func (w *PacketWriter) Demand(class string, totals loadreport.Totals) {
	w.add(pluginName, class, demandType, api.Derive(totals.Attempts), api.Derive(totals.Failed))
}

// Uptime adds the time in seconds since the host, which is a server, started.
func (w *PacketWriter) Uptime(seconds float64) {
	w.add(uptimeType, "", uptimeType, api.Gauge(seconds))
}

// Flush sends the current packet if it has any values, and starts a new one.
func (w *PacketWriter) Flush() {
	packet, err := w.buffer.Bytes()
	if err == nil && len(packet) > 0 {
		w.send(packet)
	}
	w.reset()
}

// reset starts a new packet.
func (w *PacketWriter) reset() {
	w.buffer = network.NewBuffer(0)
	if w.key != "" {
		w.buffer.Sign(w.user, w.key)
	}
}

// add adds a value list to the current packet. If it does not fit, add sends the packet and starts a new one.
func (w *PacketWriter) add(plugin, instance, valueType string, values ...api.Value) {
	list := &api.ValueList{
		Identifier: api.Identifier{Host: w.host, Plugin: plugin, PluginInstance: instance, Type: valueType},
		Time:       w.at,
		Interval:   time.Second,
		Values:     values,
	}
	err := w.buffer.Write(context.Background(), list)
	if errors.Is(err, network.ErrNotEnoughSpace) {
		w.Flush()
		_ = w.buffer.Write(context.Background(), list) // a single value list fits into an empty packet
	}
}
