package sasp

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Errors of framing and decoding.
var (
	// ErrFrame reports bytes that are not SASP. The rest of the stream cannot be read.
	ErrFrame = errors.New("not a SASP message")
	// ErrTooLarge reports a message that exceeds the size limit. The rest of the stream cannot be read.
	ErrTooLarge = errors.New("SASP message exceeds the size limit")
	// ErrBody reports a malformed message. The next message of the stream can still be read.
	ErrBody = errors.New("malformed SASP message")
)

const version = 1 // protocol version

// Offsets of the fields in the header.
const (
	headerSizeOffset    = 2
	headerVersionOffset = 4
	headerLengthOffset  = 5
	headerIDOffset      = 9
)

// Frame returns the length of the first message in data, or 0 if data does not yet contain the whole message. After an
// error, which wraps ErrFrame or ErrTooLarge, the rest of the stream cannot be read. As a protection against false
// lengths, a message over maxBytes is rejected as soon as its header has arrived, before its body is buffered.
func Frame(data []byte, maxBytes int) (int, error) {
	if len(data) >= headerSizeOffset && binary.BigEndian.Uint16(data) != header {
		return 0, fmt.Errorf("%w: the first component is %#04x", ErrFrame, binary.BigEndian.Uint16(data))
	}
	if len(data) >= headerVersionOffset && binary.BigEndian.Uint16(data[headerSizeOffset:]) != HeaderSize {
		return 0, fmt.Errorf("%w: invalid header length of %d bytes", ErrFrame, binary.BigEndian.Uint16(data[headerSizeOffset:]))
	}
	if len(data) >= headerLengthOffset && data[headerVersionOffset] != version {
		return 0, fmt.Errorf("%w: unsupported version %d", ErrFrame, data[headerVersionOffset])
	}
	if len(data) < HeaderSize {
		return 0, nil
	}
	length := binary.BigEndian.Uint32(data[headerLengthOffset:])
	if length < HeaderSize+componentHeaderSize {
		return 0, fmt.Errorf("%w: message length of %d bytes is too short", ErrFrame, length)
	}
	if uint64(length) > uint64(maxBytes) {
		return 0, fmt.Errorf("%w: %d bytes, the limit is %d", ErrTooLarge, length, maxBytes)
	}
	if uint64(len(data)) < uint64(length) {
		return 0, nil
	}
	return int(length), nil
}

// Head returns the kind and the ID of a framed message. The message need not be well-formed.
func Head(frame []byte) (Kind, uint32) {
	return Kind(binary.BigEndian.Uint16(frame[HeaderSize:])), binary.BigEndian.Uint32(frame[headerIDOffset:])
}

// ParseIdentity returns the UID in the first message of a connection: the UID of the balancer that sends it, or that of
// the first group in it. need reports that data does not yet contain the whole message. An error means that the message
// is malformed or names no balancer.
func ParseIdentity(data []byte, maxBytes int) (uid string, need bool, err error) {
	size, err := Frame(data, maxBytes)
	if err != nil || size == 0 {
		return "", size == 0, err
	}
	var message Message
	if err := Decode(data[:size], &message); err != nil {
		return "", false, err
	}
	switch {
	case message.Kind == SetBalancer:
		return string(message.UID), false, nil
	case len(message.Groups) > 0:
		return string(message.Groups[0].UID), false, nil
	}
	return "", false, fmt.Errorf("%w: the first message names no balancer", ErrBody)
}
