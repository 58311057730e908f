// Package resp reads and writes messages in RESP2 that are arrays of bulk strings.
//
// The package does no I/O and reads no clock. A length that a peer announces allocates no memory until its bytes
// have been received.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits are the upper limits of a message. Next returns ErrTooLong for a message that exceeds them.
type Limits struct {
	Bytes    int // maximum bytes of one message, including its framing
	Elements int // maximum elements of one array
}

// Errors of Reader.Next. After either of them, the connection cannot be read any further.
var (
	ErrFraming = errors.New("message is not a RESP array of bulk strings")
	ErrTooLong = errors.New("message exceeds the limits or has no elements")
)

const (
	arrayMark = '*'
	bulkMark  = '$'
	lineEnd   = "\r\n"

	maxLengthDigits = 10 // maximum digits of an array or string length; lengths within the limits have fewer digits
	maxLengthLine   = 1 + maxLengthDigits + len(lineEnd)
)

// Reader splits a byte stream, received in fragments of any size, into messages. The zero value is ready to use.
type Reader struct {
	buffer   []byte
	start    int       // offset of the current message in the buffer
	parsed   int       // offset of the first byte not parsed yet
	inArray  bool      // the array length of the current message has been parsed
	left     int       // number of elements of the current message still to be parsed
	elements []section // parsed elements of the current message
	err      error     // returned by every further call of Next
}

// section is a range of offsets in the buffer; to is exclusive.
type section struct{ from, to int }

const sectionBytes = 16 // bytes of memory of a section

// Feed appends a copy of b to the buffer. It invalidates the elements returned by earlier calls of Next.
func (r *Reader) Feed(b []byte) {
	if r.err != nil {
		return
	}
	if r.start > 0 {
		r.discardParsed()
	}
	r.buffer = append(r.buffer, b...)
}

// discardParsed drops the messages before the current one and moves it to the start of the buffer.
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

// Buffered returns the number of received bytes of the current message.
func (r *Reader) Buffered() int { return len(r.buffer) - r.start }

// Memory returns the bytes of memory that the reader takes.
func (r *Reader) Memory() int { return cap(r.buffer) + cap(r.elements)*sectionBytes }

// Next appends the elements of the next message to elements; their bytes are valid until the next Feed. ok is
// false if more bytes are needed. The error is ErrFraming or ErrTooLong; all later calls return it again.
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
		if r.Buffered() == 0 { // do not retain memory for an idle connection
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

// parse resumes parsing the current message and reports whether it is complete.
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

// parseElement parses a bulk string. ok is false if more bytes are needed.
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

// parseLength parses a line that consists of a type mark and a length. ok is false if more bytes are needed.
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

// checkIncompleteLength returns ErrFraming if b cannot be the beginning of a valid length line.
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

// Append appends a message, an array of the given bulk strings, to b.
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
