package emulator

import (
	"bytes"

	"snowquay/internal/env"
	"snowquay/internal/wire/graphite"
)

// GraphiteSink takes samples in Graphite's plaintext protocol and keeps one value for each path and time, as Graphite
// does. What it has read survives a restart of its program; what its host has received and it has not read does not.
type GraphiteSink struct {
	ignoredEvents
	Values     map[string]map[int64]float64 // by path, then by Unix time in seconds
	Lines      int                          // received, duplicates included
	Duplicates int                          // lines whose path and time were known already
	Malformed  int                          // lines
	unparsed   map[env.Conn][]byte
}

// NewGraphiteSink returns an empty sink.
func NewGraphiteSink() *GraphiteSink { return &GraphiteSink{Values: map[string]map[int64]float64{}} }

// Start of env.Program.
func (s *GraphiteSink) Start(float64, env.IO) { s.unparsed = map[env.Conn][]byte{} }

// Receive of env.Program.
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

// Closed of env.Program. A line that was cut off is dropped.
func (s *GraphiteSink) Closed(_ float64, conn env.Conn) { delete(s.unparsed, conn) }
