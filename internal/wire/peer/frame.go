// Package peer encodes the frames that coordinators of one group exchange. A frame carries its sender and receiver, and an authentication
// code computed with the group's key (HMAC-SHA-256, RFC 2104).
//
// The package performs no I/O. Receiving a frame twice is harmless: its content is a consensus message, which may be lost and duplicated.
// Integers are big-endian; the sizes in parentheses are in bytes:
//
//	magic (4) | frame length (4) | from (8) | data directory ID (8) | commit index (8) | to (8) | kind (1) | message | authentication code (32)
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
)

// Offsets and lengths of a frame's fields, in bytes.
const (
	lengthOffset    = 4
	fromOffset      = 8
	dataDirIDOffset = 16
	commitOffset    = 24
	toOffset        = 32
	kindOffset      = 40
	messageOffset   = 41
	codeBytes       = sha256.Size
	maxFrameBytes   = 8 << 20 // twice the size of a snapshot of 16,000 servers
)

// magic starts every frame. Each version of the format has a different value.
const magic = 0x53515032 // "SQP2"

var (
	// ErrFrame reports that a stream does not consist of peer frames, or uses another version of the format.
	ErrFrame = errors.New("invalid peer frame")
	// ErrAuthentication reports that the sender does not have the group's key.
	ErrAuthentication = errors.New("peer frame with an invalid authentication code")
)

// Kind is the type of a frame's message. Its values are part of the wire format.
type Kind uint8

// Message types.
const (
	Consensus      Kind = iota + 1 // a message of the raft library
	Command                        // a membership command to propose: a registration, or an operator's order
	StatusRequest                  // a request for the group's status
	StatusResponse                 // the response to a StatusRequest
	Rejection                      // the reason why the sender rejects the receiver's frames, as text
	Hello                          // identifies the sender; carries no message
)

// Frame is one message with its sender and receiver.
type Frame struct {
	From      uint64 // number of the sending coordinator; 0 is an operator's tool
	To        uint64 // number of the receiving coordinator; 0 is any
	DataDirID uint64 // ID of the sender's data directory
	Commit    uint64 // index up to which the sender durably knows that log entries are committed
	Kind      Kind
	Message   []byte
}

// Append appends an encoded frame to b.
func Append(b, key []byte, frame Frame) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, magic)
	b = binary.BigEndian.AppendUint32(b, uint32(messageOffset+len(frame.Message)+codeBytes))
	b = binary.BigEndian.AppendUint64(b, frame.From)
	b = binary.BigEndian.AppendUint64(b, frame.DataDirID)
	b = binary.BigEndian.AppendUint64(b, frame.Commit)
	b = binary.BigEndian.AppendUint64(b, frame.To)
	b = append(b, byte(frame.Kind))
	b = append(b, frame.Message...)
	return append(b, authenticationCode(key, b[start:])...)
}

// Next decodes the first frame in b and returns its length, or 0 if more bytes are needed. The frame's Message is a slice of b. An error
// wraps ErrFrame or ErrAuthentication and is final for the stream: no part of the frame may be used.
func Next(b, key []byte) (frame Frame, length int, err error) { return next(b, key, maxFrameBytes) }

func next(b, key []byte, maxBytes int) (frame Frame, length int, err error) {
	length, err = frameLength(b, maxBytes)
	if err != nil || length == 0 || len(b) < length {
		return Frame{}, 0, err
	}
	end := length - codeBytes
	if !hmac.Equal(authenticationCode(key, b[:end]), b[end:length]) {
		return Frame{}, 0, ErrAuthentication
	}
	frame = Frame{
		From:      binary.BigEndian.Uint64(b[fromOffset:]),
		To:        binary.BigEndian.Uint64(b[toOffset:]),
		DataDirID: binary.BigEndian.Uint64(b[dataDirIDOffset:]),
		Commit:    binary.BigEndian.Uint64(b[commitOffset:]),
		Kind:      Kind(b[kindOffset]),
		Message:   b[messageOffset:end],
	}
	if frame.Kind < Consensus || frame.Kind > Hello {
		return Frame{}, 0, fmt.Errorf("%w: unknown kind %d", ErrFrame, frame.Kind)
	}
	return frame, length, nil
}

// frameLength returns the length of the frame that b starts with, or 0 if b is too short to contain the length field.
func frameLength(b []byte, maxBytes int) (int, error) {
	if len(b) >= lengthOffset {
		if start := binary.BigEndian.Uint32(b); start != magic {
			return 0, fmt.Errorf("%w: it starts with %#08x, this version's with %#08x", ErrFrame, start, uint32(magic))
		}
	}
	if len(b) < fromOffset {
		return 0, nil
	}
	length := binary.BigEndian.Uint32(b[lengthOffset:])
	if length < messageOffset+codeBytes || uint64(length) > uint64(maxBytes) {
		return 0, fmt.Errorf("%w: invalid length of %d bytes", ErrFrame, length)
	}
	return int(length), nil
}

func authenticationCode(key, frame []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(frame) // hash.Hash.Write never returns an error
	return mac.Sum(nil)
}
