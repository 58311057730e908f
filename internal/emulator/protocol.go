// Package emulator models the environment of a coordinator: servers, relays with their clients, and agents that order
// drains. An invariant checker checks the guarantees against the events that these programs observe on their sockets. All
// results are those of models for tests and scenarios, not measurements of real machines.
package emulator

import (
	"encoding/binary"
	"math"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// Class describes a request class to the emulated programs.
type Class struct {
	Name        string
	Request     balancer.RequestClass
	Share       float64 // fraction of all requests, 0 to 1
	MeanWork    float64 // mean processing time in seconds on a core of speed 1
	RetryPolicy balancer.RetryPolicy
}

// Encoding of the requests between emulated relays and servers. A request holds an ID, a class, a key and its work; a
// response holds the ID and the outcome.
const (
	requestBytes   = 24
	responseBytes  = 9
	classOffset    = 8
	keyOffset      = 12
	workOffset     = 16
	outcomeOffset  = 8
	cancelledClass = 1<<32 - 1 // value of the class field that cancels the request with this ID
)

// outcome is the result of a request, encoded as a byte in the response.
type outcome byte

const (
	answered outcome = iota
	failed           // executed, but without success
	rejected         // certainly not executed
)

func appendRequest(b []byte, id uint64, class int, key uint32, work float64) []byte {
	b = binary.BigEndian.AppendUint64(b, id)
	b = binary.BigEndian.AppendUint32(b, uint32(class))
	b = binary.BigEndian.AppendUint32(b, key)
	return binary.BigEndian.AppendUint64(b, math.Float64bits(work))
}

func appendResponse(b []byte, id uint64, result outcome) []byte {
	return append(binary.BigEndian.AppendUint64(b, id), byte(result))
}

// saspSession is the emulated program's side of a SASP session with a coordinator. It decodes received messages and numbers
// sent ones.
type saspSession struct {
	buf      []byte
	lastID   uint32
	incoming sasp.Message
}

// read adds received data and calls handle for each complete message. It returns false if the stream is malformed.
func (s *saspSession) read(b []byte, handle func(*sasp.Message)) bool {
	s.buf = append(s.buf, b...)
	for {
		size, err := sasp.Frame(s.buf, sasp.MaxMessageBytes)
		if err != nil {
			return false
		}
		if size == 0 {
			return true
		}
		if sasp.Decode(s.buf[:size], &s.incoming) != nil {
			return false
		}
		handle(&s.incoming)
		s.buf = append(s.buf[:0], s.buf[size:]...)
	}
}

// write assigns the next message ID and encodes the message.
func (s *saspSession) write(message *sasp.Message) []byte {
	s.lastID++
	message.ID = s.lastID
	return sasp.Append(nil, message)
}
