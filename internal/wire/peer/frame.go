// Package peer encodes the frames that coordinators of one group exchange, with the sender, the receiver, and a code that authenticates
// them by the group's key (HMAC-SHA-256, RFC 2104).
//
// It is pure. A frame that is received twice does no harm: its content is a message of consensus, which may be lost and duplicated. The
// numbers are big-endian; the lengths are bytes:
//
//	magic (4) | length of all (4) | from (8) | data directory ID (8) | commit index (8) | to (8) | kind (1) | message | code (32)
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
)

// Offsets and lengths of the parts of a frame, in bytes.
const (
	lengthOffset    = 4
	fromOffset      = 8
	dataDirIDOffset = 16
	commitOffset    = 24
	toOffset        = 32
	kindOffset      = 40
	messageOffset   = 41
	codeBytes       = sha256.Size
	maxFrameBytes   = 8 << 20 // a snapshot of 16,000 servers takes half of that
)

// magic starts every frame. Another version of the format has another one.
const magic = 0x53515032 // "SQP2"

var (
	// ErrFrame says that a stream is not one of frames, or is of another version.
	ErrFrame = errors.New("not a peer's frame")
	// ErrAuthentication says that the sender does not have the group's key.
	ErrAuthentication = errors.New("a peer's frame with a wrong code")
)

// Kind is the kind of a frame's message. Frames carry these numbers.
type Kind uint8

// Kinds of messages.
const (
	Consensus      Kind = iota + 1 // a message of the raft library
	Command                        // a membership command to be proposed: a registration, or an operator's order
	StatusRequest                  // a request for the group's status
	StatusResponse                 // the answer to it
	Rejection                      // why the sender rejects the receiver's frames, as text
	Hello                          // nothing but who the sender is
)

// Frame is one message with its sender and receiver.
type Frame struct {
	From      uint64 // number of the sending coordinator; 0: an operator's tool
	To        uint64 // number of the receiving coordinator; 0: any
	DataDirID uint64 // ID of the sender's data directory
	Commit    uint64 // index up to which the sender knows, durably, that log entries are committed
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

// Next decodes the first frame in b and returns its length, which is 0 where more bytes are needed. The frame's Message points into b. An
// error wraps ErrFrame or ErrAuthentication and is final for the stream: nothing of the frame may be used.
func Next(b, key []byte) (frame Frame, length int, err error) {
	length, err = frameLength(b)
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
		return Frame{}, 0, fmt.Errorf("%w: of kind %d", ErrFrame, frame.Kind)
	}
	return frame, length, nil
}

// frameLength returns the length of the frame that b starts with, or 0 where more bytes are needed to know it.
func frameLength(b []byte) (int, error) {
	if len(b) >= lengthOffset {
		if start := binary.BigEndian.Uint32(b); start != magic {
			return 0, fmt.Errorf("%w: it starts with %#08x, this version's with %#08x", ErrFrame, start, uint32(magic))
		}
	}
	if len(b) < fromOffset {
		return 0, nil
	}
	length := binary.BigEndian.Uint32(b[lengthOffset:])
	if length < messageOffset+codeBytes || length > maxFrameBytes {
		return 0, fmt.Errorf("%w: of %d bytes", ErrFrame, length)
	}
	return int(length), nil
}

func authenticationCode(key, frame []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(frame) // a Hash's writes never fail
	return mac.Sum(nil)
}
