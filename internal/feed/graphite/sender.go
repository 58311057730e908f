// Package graphite sends metrics to a receiver in Graphite's plaintext protocol. Package core/spool decides
// what is buffered while the receiver is unreachable and what is sent when; this package adds the names of
// the series, the encoding and the connection.
package graphite

import (
	"net/netip"
	"strings"

	"snowquay/internal/core/spool"
	"snowquay/internal/env"
	"snowquay/internal/wire/graphite"
)

// DefaultMaxSeries is enough for 1,000 servers with 20 classes.
const DefaultMaxSeries = 1 << 15

const (
	// minimumSuffix and maximumSuffix are appended to the path of a gauge for the extremes of a merged
	// sample.
	minimumSuffix = ".least"
	maximumSuffix = ".most"
)

// Config is the configuration of a Sender.
type Config struct {
	Address   netip.AddrPort
	Prefix    string  // of all paths, without a dot at the end
	Interval  float64 // seconds between two samples
	MaxSeries int     // maximum number of paths; further ones are left out and counted
	Spool     spool.Config
}

// Sender makes samples and sends them. It is part of an env.Program, which passes on the events of the
// connections; a method returns false for the event of a connection that is not the sender's. Use New.
type Sender struct {
	*spool.Sender
	SeriesDropped int // values that were left out because there were too many series

	config       Config
	io           env.IO
	conn         env.Conn // 0: there is none
	ids          map[string]spool.ID
	paths        []string      // by ID
	nextSampleAt float64       // time of the next sample in seconds
	values       []spool.Value // of the sample that is being made
	buffer       []byte
}

// New returns a sender. The function random returns uniform numbers from 0 to 1.
func New(now float64, config Config, random func() float64) *Sender {
	return &Sender{
		Sender:       spool.NewSender(now, config.Spool, random),
		config:       config,
		ids:          map[string]spool.ID{},
		nextSampleAt: now + config.Interval,
	}
}

// Start sets the I/O with which the sender connects. It must be called before Tick.
func (s *Sender) Start(io env.IO) { s.io = io }

// Add adds a value to the sample that is being made; isCounter tells whether the series only grows. It is
// called by the function that Tick is given.
func (s *Sender) Add(isCounter bool, value float64, path ...string) {
	id, ok := s.seriesID(path)
	if !ok {
		s.SeriesDropped++
		return
	}
	kind := spool.Gauge
	if isCounter {
		kind = spool.Counter
	}
	s.values = append(s.values, spool.Value{ID: id, Kind: kind, Mean: value, Min: value, Max: value})
}

// seriesID returns the ID of a path, or false if there are too many series.
func (s *Sender) seriesID(path []string) (spool.ID, bool) {
	var b strings.Builder
	b.WriteString(s.config.Prefix)
	for _, element := range path {
		b.WriteByte('.')
		b.WriteString(graphite.PathElement(element))
	}
	name := b.String()
	if id, ok := s.ids[name]; ok {
		return id, true
	}
	if len(s.paths) >= s.config.MaxSeries {
		return 0, false
	}
	id := spool.ID(len(s.paths))
	s.ids[name] = id
	s.paths = append(s.paths, name)
	return id, true
}

// Tick makes a sample when it is due, with the values that collect adds, and sends what may be sent.
func (s *Sender) Tick(now float64, collect func()) {
	if now >= s.nextSampleAt {
		// After a pause, one sample is made for all that were missed.
		s.nextSampleAt = max(s.nextSampleAt+s.config.Interval, now)
		s.values = s.values[:0]
		collect()
		s.Sender.Add(now, sortValues(s.values))
	}
	switch s.Sender.Tick(now) {
	case spool.Dial:
		s.conn = s.io.Dial(s.config.Address)
	case spool.CloseConnection:
		s.io.Close(s.conn)
		s.conn = 0
	}
	s.send(now)
}

// sortValues sorts values by ID in place. The last of several values of a series is kept. It uses insertion
// sort, since values are nearly sorted: they are collected in the same order each time.
func sortValues(values []spool.Value) []spool.Value {
	for i := 1; i < len(values); i++ {
		for k := i; k > 0 && values[k].ID < values[k-1].ID; k-- {
			values[k], values[k-1] = values[k-1], values[k]
		}
	}
	unique := values[:0]
	for _, value := range values {
		last := len(unique) - 1
		if last >= 0 && unique[last].ID == value.ID {
			unique[last] = value
			continue
		}
		unique = append(unique, value)
	}
	return unique
}

// send sends the samples that the spool releases.
func (s *Sender) send(now float64) {
	for {
		sample, ok := s.Next(now)
		if !ok {
			return
		}
		s.encode(sample)
		s.RecordWrite(now, len(s.buffer))
		if len(s.buffer) > 0 {
			s.io.Send(s.conn, s.buffer)
		}
	}
}

// encode writes a sample to the buffer.
func (s *Sender) encode(sample *spool.Sample) {
	s.buffer = s.buffer[:0]
	for _, value := range sample.Values {
		path := s.paths[value.ID]
		s.buffer = graphite.Append(s.buffer, path, value.Mean, sample.At)
		if value.Kind == spool.Gauge && value.Min != value.Max {
			s.buffer = graphite.Append(s.buffer, path+minimumSuffix, value.Min, sample.At)
			s.buffer = graphite.Append(s.buffer, path+maximumSuffix, value.Max, sample.At)
		}
	}
}

// owns reports whether a connection is the sender's.
func (s *Sender) owns(conn env.Conn) bool { return s.conn != 0 && conn == s.conn }

// Connected reports the end of an attempt to connect; established tells whether it succeeded.
func (s *Sender) Connected(now float64, conn env.Conn, established bool) bool {
	if !s.owns(conn) {
		return false
	}
	if !established {
		s.conn = 0
		s.ConnectionLost(now)
		return true
	}
	s.ConnectionEstablished(now)
	s.send(now)
	return true
}

// Closed reports the end of a connection.
func (s *Sender) Closed(now float64, conn env.Conn) bool {
	if !s.owns(conn) {
		return false
	}
	s.conn = 0
	s.ConnectionLost(now)
	return true
}

// Delivered reports the number of bytes of a connection that the receiver's host has.
func (s *Sender) Delivered(now float64, conn env.Conn, total uint64) bool {
	if !s.owns(conn) {
		return false
	}
	s.Sender.Delivered(now, total)
	s.send(now)
	return true
}

// Receive reports bytes from the receiver, which are ignored.
func (s *Sender) Receive(conn env.Conn) bool { return s.owns(conn) }
