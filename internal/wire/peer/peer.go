// Package peer frames what coordinators that share a fleet say to each other: who speaks to whom, and a code that shows
// that the speaker has the group's key (HMAC-SHA-256, RFC 2104). It is pure. A frame that is heard twice does no harm: what
// is inside is a message of consensus, which is made to be lost and doubled.
//
//	magic (4) | length of all (4) | from (8) | to (8) | message | code (32)
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
)

const (
	magic     = 0x53515031 // SQP1: another version has another one
	headSize  = 24
	codeSize  = sha256.Size
	mostFrame = 8 << 20 // bytes; a snapshot of 16,000 servers takes four
)

var (
	// ErrFrame says that the stream can't be followed: it is no peer, or one of another version.
	ErrFrame = errors.New("not a peer's frame")
	// ErrCode says that the speaker does not have the group's key.
	ErrCode = errors.New("a peer's frame with a wrong code")
)

// Append writes a frame behind b.
func Append(b, key []byte, from, to uint64, message []byte) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, magic)
	b = binary.BigEndian.AppendUint32(b, uint32(headSize+len(message)+codeSize))
	b = binary.BigEndian.AppendUint64(b, from)
	b = binary.BigEndian.AppendUint64(b, to)
	b = append(b, message...)
	return append(b, code(key, b[at:])...)
}

func code(key, b []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write(b)
	return h.Sum(nil)
}

// Next is the first frame in b and its length; 0 where more bytes are needed. The message points into b. An error is final
// for the stream: nothing of the frame is to be used.
func Next(b, key []byte) (from, to uint64, message []byte, n int, err error) {
	if len(b) >= 4 && binary.BigEndian.Uint32(b) != magic {
		return 0, 0, nil, 0, fmt.Errorf("%w: it starts with %#08x", ErrFrame, binary.BigEndian.Uint32(b))
	}
	if len(b) < 8 {
		return 0, 0, nil, 0, nil
	}
	size := binary.BigEndian.Uint32(b[4:])
	if size < headSize+codeSize || size > mostFrame {
		return 0, 0, nil, 0, fmt.Errorf("%w: of %d bytes", ErrFrame, size)
	}
	if uint64(len(b)) < uint64(size) {
		return 0, 0, nil, 0, nil
	}
	end := int(size) - codeSize
	if !hmac.Equal(code(key, b[:end]), b[end:size]) {
		return 0, 0, nil, 0, ErrCode
	}
	return binary.BigEndian.Uint64(b[8:]), binary.BigEndian.Uint64(b[16:]), b[headSize:end], int(size), nil
}
