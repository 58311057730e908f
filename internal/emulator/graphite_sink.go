package emulator

import (
	"bytes"

	"snowquay/internal/env"
	"snowquay/internal/wire/graphite"
)

// GraphiteSink receives samples in Graphite's plaintext protocol and stores one value per path and time, as Graphite does.
// Stored samples survive a restart of the program. Data that its host has received but the program has not read does not.
type GraphiteSink struct {
	ignoredEvents
	Values     map[string]map[int64]float64 // by path, then by Unix time in seconds
	Lines      int                          // number of well-formed lines, including duplicates
	Duplicates int                          // number of lines with the path and time of an earlier line
	Malformed  int                          // number of malformed lines
	unparsed   map[env.Conn][]byte          // start of a line whose end has not arrived
}

// NewGraphiteSink returns an empty sink.
func NewGraphiteSink() *GraphiteSink { return &GraphiteSink{Values: map[string]map[int64]float64{}} }

// Start implements env.Program.
func (s *GraphiteSink) Start(float64, env.IO) { s.unparsed = map[env.Conn][]byte{} }

// Receive implements env.Program.
func (s *GraphiteSink) Receive(_ float64, conn env.Conn, b []byte) {
	b = append(s.unparsed[conn], b...)
	for {
		line, rest, whole := bytes.Cut(b, []byte("\n"))
		if !whole {
			break
		}
		b = rest
		s.record(line)
	}
	s.unparsed[conn] = bytes.Clone(b)
}

func (s *GraphiteSink) record(line []byte) {
	sample, err := graphite.Parse(line)
	if err != nil {
		s.Malformed++
		return
	}
	s.Lines++
	values := s.Values[sample.Path]
	if values == nil {
		values = map[int64]float64{}
		s.Values[sample.Path] = values
	}
	if _, known := values[sample.At]; known {
		s.Duplicates++
	}
	values[sample.At] = sample.Value
}

// Closed implements env.Program. It discards an incomplete line.
func (s *GraphiteSink) Closed(_ float64, conn env.Conn) { delete(s.unparsed, conn) }
