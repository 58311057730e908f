// Package graphite sends figures to a receiver in Graphite's plaintext form. What is kept while the receiver is away, and what is sent
// when, is decided by core/spool; here are names, bytes and the connection.
package graphite

import (
	"net/netip"
	"strings"

	"snowquay/internal/core/spool"
	"snowquay/internal/env"
	"snowquay/internal/wire/graphite"
)

// Config of a sender.
type Config struct {
	To        netip.AddrPort
	Prefix    string  // of all paths, with dots
	Interval  float64 // seconds between two samples
	MaxSeries int     // paths that are known at most; further ones are left out and counted
	Spool     spool.Config
}

// DefaultMaxSeries are those of 1,000 servers with 20 classes.
const DefaultMaxSeries = 1 << 15

// Sender is part of a env.Program, which hands it what is its own. Use New.
type Sender struct {
	*spool.Sender
	setup         Config
	io            env.IO
	conn          env.Conn
	ids           map[string]spool.ID
	names         []string
	nextAt        float64
	values        []spool.Value
	bytes         []byte
	SeriesDropped int // figures that were left out, since there are too many series
}

// New makes a sender. chance draws evenly from 0 to 1.
func New(now float64, s Config, chance func() float64) *Sender {
	return &Sender{Sender: spool.NewSender(now, s.Spool, chance), setup: s, ids: map[string]spool.ID{}, nextAt: now + s.Interval}
}

// Start says where it may dial.
func (s *Sender) Start(io env.IO) { s.io = io }

// Add a figure to the sample that is being made.
func (s *Sender) Add(grows bool, value float64, path ...string) {
	var b strings.Builder
	b.WriteString(s.setup.Prefix)
	for _, p := range path {
		b.WriteByte('.')
		b.WriteString(graphite.PathElement(p))
	}
	name := b.String()
	id, known := s.ids[name]
	if !known {
		if len(s.names) >= s.setup.MaxSeries {
			s.SeriesDropped++
			return
		}
		id = spool.ID(len(s.names))
		s.ids[name] = id
		s.names = append(s.names, name)
	}
	kind := spool.Gauge
	if grows {
		kind = spool.Counter
	}
	s.values = append(s.values, spool.Value{ID: id, Kind: kind, Mean: value, Min: value, Max: value})
}

// Tick makes a sample when it is due, by calling figures, and sends what may be sent.
func (s *Sender) Tick(now float64, figures func()) {
	if now >= s.nextAt {
		s.nextAt = max(s.nextAt+s.setup.Interval, now) // a clock that was paused makes one sample, not all that it missed
		s.values = s.values[:0]
		figures()
		s.Sender.Add(now, sorted(s.values))
	}
	switch s.Sender.Tick(now) {
	case spool.Dial:
		s.conn = s.io.Dial(s.setup.To)
	case spool.CloseConnection:
		s.io.Close(s.conn)
		s.conn = 0
	}
	s.send(now)
}

// sorted by ID; of a path that two figures have, the later one counts.
func sorted(values []spool.Value) []spool.Value {
	for i := 1; i < len(values); i++ { // nearly sorted: paths come in the same order each time
		for k := i; k > 0 && values[k].ID < values[k-1].ID; k-- {
			values[k], values[k-1] = values[k-1], values[k]
		}
	}
	out := values[:0]
	for _, v := range values {
		if n := len(out); n > 0 && out[n-1].ID == v.ID {
			out[n-1] = v
			continue
		}
		out = append(out, v)
	}
	return out
}

func (s *Sender) send(now float64) {
	for {
		x, ok := s.Next(now)
		if !ok {
			return
		}
		s.bytes = s.bytes[:0]
		for _, v := range x.Values {
			name := s.names[v.ID]
			s.bytes = graphite.Append(s.bytes, name, v.Mean, x.At)
			if v.Kind == spool.Gauge && v.Min != v.Max {
				s.bytes = graphite.Append(s.bytes, name+".least", v.Min, x.At)
				s.bytes = graphite.Append(s.bytes, name+".most", v.Max, x.At)
			}
		}
		s.RecordWrite(now, len(s.bytes))
		if len(s.bytes) > 0 {
			s.io.Send(s.conn, s.bytes)
		}
	}
}

// Connected takes the end of a dial; false: it is not this sender's.
func (s *Sender) Connected(now float64, c env.Conn, ok bool) bool {
	if s.conn == 0 || c != s.conn {
		return false
	}
	if ok {
		s.ConnectionEstablished(now)
		s.send(now)
	} else {
		s.conn = 0
		s.ConnectionLost(now)
	}
	return true
}

// Closed takes the end of a connection, likewise.
func (s *Sender) Closed(now float64, c env.Conn) bool {
	if s.conn == 0 || c != s.conn {
		return false
	}
	s.conn = 0
	s.ConnectionLost(now)
	return true
}

// Delivered takes the kernel's word, likewise.
func (s *Sender) Delivered(now float64, c env.Conn, total uint64) bool {
	if s.conn == 0 || c != s.conn {
		return false
	}
	s.Sender.Delivered(now, total)
	s.send(now)
	return true
}

// Receive takes what a receiver says: nothing of it is wanted.
func (s *Sender) Receive(c env.Conn) bool { return s.conn != 0 && c == s.conn }
