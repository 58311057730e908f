// Package peer frames what coordinators that share a fleet say to each other: who speaks to whom, and a code that shows
// that the speaker has the group's key (HMAC-SHA-256, RFC 2104). It is pure. A frame that is heard twice does no harm: what
// is inside is a message of consensus, which is made to be lost and doubled.
//
//	magic (4) | length of all (4) | from (8) | mark (8) | commit (8) | to (8) | kind (1) | message | code (32)
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
)

const (
	magic     = 0x53515032 // SQP2: another version has another one
	headSize  = 41
	codeSize  = sha256.Size
	mostFrame = 8 << 20 // bytes; a snapshot of 16,000 servers takes four
)

var (
	// ErrFrame says that the stream can't be followed: it is no peer, or one of another version.
	ErrFrame = errors.New("not a peer's frame")
	// ErrCode says that the speaker does not have the group's key.
	ErrCode = errors.New("a peer's frame with a wrong code")
)

// Kind of what is in a frame.
type Kind uint8

const (
	Consensus Kind = iota + 1 // a message of consensus
	Command                   // to be proposed: a newcomer's seat, or an operator's order
	Ask                       // how the group is
	Tell                      // the answer
	Refusal                   // why the other side is not heard, in words
	Hello                     // nothing but who speaks
)

// Frame is what is said. Message points into the bytes that it was read from.
type Frame struct {
	From, To uint64 // numbers of coordinators; 0: an operator's tool, or whoever hears it
	Mark     uint64 // of the speaker's folder
	Commit   uint64 // up to which the speaker knows that entries are agreed on
	Kind     Kind
	Message  []byte
}

// Append writes a frame behind b.
func Append(b, key []byte, f Frame) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, magic)
	b = binary.BigEndian.AppendUint32(b, uint32(headSize+len(f.Message)+codeSize))
	for _, v := range [...]uint64{f.From, f.Mark, f.Commit, f.To} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(b, byte(f.Kind))
	b = append(b, f.Message...)
	return append(b, code(key, b[at:])...)
}

func code(key, b []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write(b)
	return h.Sum(nil)
}

// Next is the first frame in b and its length; 0 where more bytes are needed. The message points into b. An error is final
// for the stream: nothing of the frame is to be used.
func Next(b, key []byte) (f Frame, n int, err error) {
	if len(b) >= 4 && binary.BigEndian.Uint32(b) != magic {
		return f, 0, fmt.Errorf("%w: it starts with %#08x, this version's with %#08x", ErrFrame, binary.BigEndian.Uint32(b), magic)
	}
	if len(b) < 8 {
		return f, 0, nil
	}
	size := binary.BigEndian.Uint32(b[4:])
	if size < headSize+codeSize || size > mostFrame {
		return f, 0, fmt.Errorf("%w: of %d bytes", ErrFrame, size)
	}
	if uint64(len(b)) < uint64(size) {
		return f, 0, nil
	}
	end := int(size) - codeSize
	if !hmac.Equal(code(key, b[:end]), b[end:size]) {
		return f, 0, ErrCode
	}
	f = Frame{From: binary.BigEndian.Uint64(b[8:]), Mark: binary.BigEndian.Uint64(b[16:]), Commit: binary.BigEndian.Uint64(b[24:]),
		To: binary.BigEndian.Uint64(b[32:]), Kind: Kind(b[40]), Message: b[headSize:end]}
	if f.Kind < Consensus || f.Kind > Hello {
		return Frame{}, 0, fmt.Errorf("%w: of kind %d", ErrFrame, f.Kind)
	}
	return f, int(size), nil
}
