// Package resp reads and writes messages in RESP2 that are arrays of bulk strings.
//
// The package is pure: it keeps no connection and no clock. A length that a peer claims allocates nothing
// before its bytes have come.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits bound a message; a larger one is an error.
type Limits struct {
	Bytes    int // including the framing
	Elements int
}

// The errors of a Reader are final for the connection.
var (
	ErrFraming = errors.New("no array of bulk strings")
	ErrTooLong = errors.New("a message beyond the limit")
)

const (
	arrayMark = '*'
	bulkMark  = '$'
	lineEnd   = "\r\n"

	maxLengthDigits = 10 // of a length: more than any length within a limit has
	maxLengthLine   = 1 + maxLengthDigits + len(lineEnd)
)

// Reader finds messages in bytes that come in any pieces. The zero value is ready.
type Reader struct {
	buffer   []byte
	start    int // of the current message
	parsed   int // end of what has been parsed
	inArray  bool
	left     int       // elements of the current message that are to come
	elements []section // of the current message
	err      error
}

// section is a part of the buffer.
type section struct{ from, to int }

// Feed adds bytes, which are copied. It invalidates the elements that Next has returned.
func (r *Reader) Feed(b []byte) {
	if r.err != nil {
		return
	}
	if r.start > 0 {
		r.discardParsed()
	}
	r.buffer = append(r.buffer, b...)
}

// discardParsed moves the current message to the start of the buffer.
func (r *Reader) discardParsed() {
	length := copy(r.buffer, r.buffer[r.start:])
	r.buffer = r.buffer[:length]
	for i := range r.elements {
		r.elements[i].from -= r.start
		r.elements[i].to -= r.start
	}
	r.parsed -= r.start
	r.start = 0
}

// Buffered returns the number of bytes of the current message that have come.
func (r *Reader) Buffered() int { return len(r.buffer) - r.start }

// Next appends the elements of the next message to elements; their bytes are valid until the next Feed. ok is
// false if more bytes are needed. The error is ErrFraming or ErrTooLong, and final.
func (r *Reader) Next(elements [][]byte, limits Limits) (_ [][]byte, ok bool, err error) {
	if r.err != nil {
		return elements, false, r.err
	}
	complete, err := r.parse(limits)
	if err != nil {
		r.err = err
		r.buffer = nil
		r.elements = nil
		return elements, false, err
	}
	if !complete {
		if r.Buffered() == 0 { // an idle connection keeps no memory
			r.buffer = nil
			r.start = 0
			r.parsed = 0
		}
		return elements, false, nil
	}
	for _, element := range r.elements {
		elements = append(elements, r.buffer[element.from:element.to])
	}
	r.start = r.parsed
	r.inArray = false
	r.elements = r.elements[:0]
	return elements, true, nil
}

// parse goes on with the current message and reports whether it is complete.
func (r *Reader) parse(limits Limits) (bool, error) {
	if !r.inArray {
		count, ok, err := r.parseLength(arrayMark)
		if !ok || err != nil {
			return false, err
		}
		if count < 1 || count > limits.Elements {
			return false, ErrTooLong
		}
		r.inArray = true
		r.left = count
	}
	for r.left > 0 {
		ok, err := r.parseElement(limits)
		if !ok || err != nil {
			return false, err
		}
		r.left--
	}
	return true, nil
}

// parseElement reads a bulk string; ok is false if more bytes are needed.
func (r *Reader) parseElement(limits Limits) (ok bool, err error) {
	start := r.parsed
	length, ok, err := r.parseLength(bulkMark)
	if !ok || err != nil {
		return false, err
	}
	end := r.parsed + length
	if end+len(lineEnd)-r.start > limits.Bytes {
		return false, ErrTooLong
	}
	if len(r.buffer) < end+len(lineEnd) {
		r.parsed = start
		return false, nil
	}
	if string(r.buffer[end:end+len(lineEnd)]) != lineEnd {
		return false, ErrFraming
	}
	r.elements = append(r.elements, section{from: r.parsed, to: end})
	r.parsed = end + len(lineEnd)
	return true, nil
}

// parseLength reads a line with a mark and a number; ok is false if more bytes are needed.
func (r *Reader) parseLength(mark byte) (length int, ok bool, err error) {
	b := r.buffer[r.parsed:]
	if len(b) == 0 {
		return 0, false, nil
	}
	if b[0] != mark {
		return 0, false, ErrFraming
	}
	end := bytes.IndexByte(b[:min(len(b), maxLengthLine)], '\n')
	if end < 0 {
		return 0, false, checkIncompleteLength(b)
	}
	if end < len("*0\r") || b[end-1] != '\r' {
		return 0, false, ErrFraming
	}
	for _, c := range b[1 : end-1] {
		if !isDigit(c) {
			return 0, false, ErrFraming
		}
		length = length*10 + int(c-'0')
	}
	r.parsed += end + 1
	return length, true, nil
}

// checkIncompleteLength returns ErrFraming if no further bytes can make b the line of a length.
func checkIncompleteLength(b []byte) error {
	if len(b) >= maxLengthLine {
		return ErrFraming
	}
	for _, c := range b[1:] {
		if !isDigit(c) && c != '\r' {
			return ErrFraming
		}
	}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// Append appends a message.
func Append(b []byte, elements ...string) []byte {
	b = appendLength(b, arrayMark, len(elements))
	for _, element := range elements {
		b = appendLength(b, bulkMark, len(element))
		b = append(b, element...)
		b = append(b, lineEnd...)
	}
	return b
}

func appendLength(b []byte, mark byte, length int) []byte {
	b = append(b, mark)
	b = strconv.AppendInt(b, int64(length), 10)
	return append(b, lineEnd...)
}
