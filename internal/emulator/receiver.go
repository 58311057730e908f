package emulator

import (
	"bytes"
	"net/netip"

	"snowquay/internal/env"
	"snowquay/internal/wire/graphite"
)

// GraphiteSink takes figures in Graphite's plaintext form and keeps one value for each path and time, as Graphite does. What it has read
// outlives its process; what its host has taken and it has not read does not.
type GraphiteSink struct {
	Values     map[string]map[int64]float64
	Lines      int // that came, again ones among them
	Duplicates int // with a path and a time that were there already
	Malformed  int
	unparsed      map[env.Conn][]byte
}

// NewGraphiteSink makes a receiver.
func NewGraphiteSink() *GraphiteSink { return &GraphiteSink{Values: map[string]map[int64]float64{}} }

// Start of env.Program.
func (r *GraphiteSink) Start(float64, env.IO) { r.unparsed = map[env.Conn][]byte{} }

// Receive of env.Program.
func (r *GraphiteSink) Receive(_ float64, c env.Conn, b []byte) {
	b = append(r.unparsed[c], b...)
	for {
		line, rest, whole := bytes.Cut(b, []byte("\n"))
		if !whole {
			break
		}
		b = rest
		l, err := graphite.Parse(line)
		if err != nil {
			r.Malformed++
			continue
		}
		r.Lines++
		if r.Values[l.Path] == nil {
			r.Values[l.Path] = map[int64]float64{}
		}
		if _, ok := r.Values[l.Path][l.At]; ok {
			r.Duplicates++
		}
		r.Values[l.Path][l.At] = l.Value
	}
	r.unparsed[c] = bytes.Clone(b)
}

// Opened of env.Program.
func (r *GraphiteSink) Opened(float64, env.Conn, netip.Addr, uint16) {}

// Connected of env.Program.
func (r *GraphiteSink) Connected(float64, env.Conn, bool) {}

// Closed of env.Program: a line that was cut off is none.
func (r *GraphiteSink) Closed(_ float64, c env.Conn) { delete(r.unparsed, c) }

// Delivered of env.Program.
func (r *GraphiteSink) Delivered(float64, env.Conn, uint64) {}

// Datagram of env.Program.
func (r *GraphiteSink) Datagram(float64, []byte) {}

// TimerFired of env.Program.
func (r *GraphiteSink) TimerFired(float64, int) {}
