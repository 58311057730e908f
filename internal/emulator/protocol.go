// Package emulator models what a coordinator works with: servers, relays with their clients, agents that order drains,
// and an invariant checker that judges the guarantees by what these see on their sockets. They are models for tests and
// scenarios, not measurements of real machines.
package emulator

import (
	"encoding/binary"
	"math"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// Class is what the emulated programs need to know of a request class.
type Class struct {
	Name        string
	Request     balancer.RequestClass
	Share       float64 // of all requests, 0 to 1
	MeanWork    float64 // seconds on a core of speed 1
	RetryPolicy balancer.RetryPolicy
}

// A request between an emulated relay and an emulated server has an id, a class, a key and its work; a response has the
// id and the outcome.
const (
	requestBytes   = 24
	responseBytes  = 9
	classOffset    = 8
	keyOffset      = 12
	workOffset     = 16
	outcomeOffset  = 8
	cancelledClass = 1<<32 - 1 // in the place of the class: the request with this id is cancelled
)

// outcome of a request, as a response carries it.
type outcome byte

const (
	answered outcome = iota
	failed           // it was executed, without a good answer
	rejected         // it was certainly never executed
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

// saspSession is the peer of a coordinator's SASP session: it frames what arrives, and numbers what is sent.
type saspSession struct {
	buf      []byte
	lastID   uint32
	incoming sasp.Message
}

// read hands each whole message to handle. It returns false if the stream is malformed.
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

// write numbers and encodes a message.
func (s *saspSession) write(message *sasp.Message) []byte {
	s.lastID++
	message.ID = s.lastID
	return sasp.Append(nil, message)
}
