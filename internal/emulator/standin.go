// Package emulator has small stand-ins for what a coordinator works with: match servers, relays with their clients,
// agents that order drains, and a referee that judges the rules by what these see on their sockets. They are models
// for tests and rehearsals, not measurements of real machines.
package emulator

import (
	"encoding/binary"
	"math"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// Class is what stand-ins need to know of a query class.
type Class struct {
	Name    string
	Request   balancer.RequestClass
	Share   float64 // of all queries
	MeanWork    float64 // mean seconds on a core of speed 1
	RetryPolicy balancer.RetryPolicy
}

// A query between stand-ins: 24 bytes there, 9 back.
const (
	requestBytes  = 24
	responseBytes = 9
	cancelledClass    = 1<<32 - 1 // in the place of a query's class: nobody waits for it any longer
)

type outcome byte

const (
	answered outcome = iota
	failed          // it ran, without a good answer
	rejected            // it surely never ran
)

func appendRequest(b []byte, id uint64, class int, key uint32, work float64) []byte {
	b = binary.BigEndian.AppendUint64(b, id)
	b = binary.BigEndian.AppendUint32(b, uint32(class))
	b = binary.BigEndian.AppendUint32(b, key)
	return binary.BigEndian.AppendUint64(b, math.Float64bits(work))
}

func appendResponse(b []byte, id uint64, a outcome) []byte {
	return append(binary.BigEndian.AppendUint64(b, id), byte(a))
}

// saspSession is the manager's other side: it frames what comes, and numbers what goes.
type saspSession struct {
	buf []byte
	lastID  uint32
	incoming  sasp.Message
}

// read hands each message of the bytes to take; false: the stream can't be followed.
func (s *saspSession) read(b []byte, take func(*sasp.Message)) bool {
	s.buf = append(s.buf, b...)
	for {
		n, err := sasp.Frame(s.buf, sasp.MaxMessageBytes)
		if err != nil {
			return false
		}
		if n == 0 {
			return true
		}
		if sasp.Decode(s.buf[:n], &s.incoming) != nil {
			return false
		}
		take(&s.incoming)
		s.buf = append(s.buf[:0], s.buf[n:]...)
	}
}

func (s *saspSession) write(m *sasp.Message) []byte {
	s.lastID++
	m.ID = s.lastID
	return sasp.Append(nil, m)
}
