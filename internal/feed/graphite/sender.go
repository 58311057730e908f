// Package graphite sends metrics to a receiver in Graphite's plaintext protocol. Package core/spool decides
// which samples are buffered while the receiver is unreachable, and when samples are sent. This package
// implements the names of the series, the encoding and the connection.
package graphite

import (
	"net/netip"
	"strings"

	"snowquay/internal/core/spool"
	"snowquay/internal/env"
	"snowquay/internal/wire/graphite"
)

// DefaultMaxSeries is the default of Config.MaxSeries. It is enough for 1,000 servers with 20 classes.
const DefaultMaxSeries = 1 << 15

const (
	// minimumSuffix and maximumSuffix are appended to the path of a gauge for the minimum and the maximum of
	// a merged sample.
	minimumSuffix = ".least"
	maximumSuffix = ".most"
)

// Config is the configuration of a Sender.
type Config struct {
	Address   netip.AddrPort
	Prefix    string  // prefix of all paths, without a trailing dot
	Interval  float64 // seconds between two samples
	MaxSeries int     // maximum number of paths; the values of further ones are dropped and counted
	Spool     spool.Config
}

// Sender takes samples of metrics and sends them. It is part of an env.Program, which passes the events of its
// connections to the sender. The methods that handle these events return false if the connection is not the
// sender's. Use New to create a sender.
type Sender struct {
	*spool.Sender
	SeriesDropped int // values that were dropped because there were too many series

	config       Config
	io           env.IO
	conn         env.Conn // 0 if there is no connection
	ids          map[string]spool.ID
	paths        []string      // indexed by ID
	nextSampleAt float64       // time of the next sample in seconds
	values       []spool.Value // values of the sample that is being taken
	buffer       []byte
}

// New returns a sender without a connection. The function random returns uniform numbers from 0 to 1.
func New(now float64, config Config, random func() float64) *Sender {
	return &Sender{
		Sender:       spool.NewSender(now, config.Spool, random),
		config:       config,
		ids:          map[string]spool.ID{},
		nextSampleAt: now + config.Interval,
	}
}

// Start sets the I/O interface through which the sender connects. It must be called before Tick.
func (s *Sender) Start(io env.IO) { s.io = io }

// Add adds a value to the sample that is being taken. The flag isCounter means that the series never decreases.
// Add must be called only by the function that is passed to Tick.
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

// seriesID returns the ID of the series with a path, and creates the series if necessary. It returns false if
// there are too many series.
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

// Tick takes a sample when it is due, with the values that collect adds, and sends the samples that the spool
// releases.
func (s *Sender) Tick(now float64, collect func()) {
	if now >= s.nextSampleAt {
		// After a pause, one sample replaces all that were missed.
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

// sortValues sorts values by ID in place. Of several values of a series, it keeps the last one. It uses
// insertion sort, since values are nearly sorted: they are collected in the same order each time.
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

// encode replaces the content of the buffer by a sample in the plaintext protocol.
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

// owns reports whether a connection is the sender's current one.
func (s *Sender) owns(conn env.Conn) bool { return s.conn != 0 && conn == s.conn }

// Connected handles the end of an attempt to connect. The flag established means that it succeeded.
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

// Closed handles the end of a connection.
func (s *Sender) Closed(now float64, conn env.Conn) bool {
	if !s.owns(conn) {
		return false
	}
	s.conn = 0
	s.ConnectionLost(now)
	return true
}

// Delivered handles an update of the number of bytes that have reached the receiver's host on a connection.
func (s *Sender) Delivered(now float64, conn env.Conn, total uint64) bool {
	if !s.owns(conn) {
		return false
	}
	s.Sender.Delivered(now, total)
	s.send(now)
	return true
}

// Receive handles bytes from the receiver, which are ignored.
func (s *Sender) Receive(conn env.Conn) bool { return s.owns(conn) }
