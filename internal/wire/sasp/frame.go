package sasp

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Errors of framing and decoding.
var (
	// ErrFrame reports bytes that are not SASP. It is final for the stream.
	ErrFrame = errors.New("not a SASP message")
	// ErrTooLarge reports a message over the limit. It is final for the stream.
	ErrTooLarge = errors.New("SASP message over the limit")
	// ErrBody reports a malformed message; the next message of the stream can still be read.
	ErrBody = errors.New("SASP message not understood")
)

const version = 1 // of the protocol

// Offsets in the header.
const (
	headerSizeOffset    = 2
	headerVersionOffset = 4
	headerLengthOffset  = 5
	headerIDOffset      = 9
)

// Frame returns the length of the first message in data, or 0 if more bytes are needed to tell or to hold it. An error
// (ErrFrame, ErrTooLarge) is final for the stream. It guards against false lengths: a message over maxBytes is refused by
// its header, before anything is buffered for it.
func Frame(data []byte, maxBytes int) (int, error) {
	if len(data) >= headerSizeOffset && binary.BigEndian.Uint16(data) != header {
		return 0, fmt.Errorf("%w: it starts with component %#04x", ErrFrame, binary.BigEndian.Uint16(data))
	}
	if len(data) >= headerVersionOffset && binary.BigEndian.Uint16(data[headerSizeOffset:]) != HeaderSize {
		return 0, fmt.Errorf("%w: a header of %d bytes", ErrFrame, binary.BigEndian.Uint16(data[headerSizeOffset:]))
	}
	if len(data) >= headerLengthOffset && data[headerVersionOffset] != version {
		return 0, fmt.Errorf("%w: version %d", ErrFrame, data[headerVersionOffset])
	}
	if len(data) < HeaderSize {
		return 0, nil
	}
	length := binary.BigEndian.Uint32(data[headerLengthOffset:])
	if length < HeaderSize+componentHeaderSize {
		return 0, fmt.Errorf("%w: a message of %d bytes", ErrFrame, length)
	}
	if uint64(length) > uint64(maxBytes) {
		return 0, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, length, maxBytes)
	}
	if uint64(len(data)) < uint64(length) {
		return 0, nil
	}
	return int(length), nil
}

// Head returns kind and ID of a framed message, also of one that cannot be decoded.
func Head(frame []byte) (Kind, uint32) {
	return Kind(binary.BigEndian.Uint16(frame[HeaderSize:])), binary.BigEndian.Uint32(frame[headerIDOffset:])
}

// ParseIdentity returns the UID that the first message of a connection names: the balancer's own, or that of the first
// group in it. need says that more bytes are needed. An error says that the message is malformed or names no balancer.
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
