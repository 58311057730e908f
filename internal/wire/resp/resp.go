// Package resp reads and writes messages that are arrays of bulk strings in RESP2, out of bytes that come in any pieces.
// It is pure. Nothing is allocated by a length that was only claimed.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits of a message.
type Limits struct {
	Bytes    int // with its framing
	Elements int
}

const longest = 10 // digits of a length: more than any that fits a message

// Errors that no further byte can mend.
var (
	ErrFraming = errors.New("no array of bulk strings")
	ErrTooLong = errors.New("a message beyond the limit")
)

// Reader takes a connection apart into messages. The zero value is ready.
type Reader struct {
	buf   []byte
	from  int // where the message at hand begins
	at    int // up to where it was read
	left  int // words that are still to come
	open  bool
	words [][2]int // of the message at hand, in buf
	err   error
}

// Feed takes bytes; they are copied.
func (r *Reader) Feed(b []byte) {
	if r.err != nil {
		return
	}
	if r.from > 0 {
		n := copy(r.buf, r.buf[r.from:])
		r.buf = r.buf[:n]
		for i := range r.words {
			r.words[i][0] -= r.from
			r.words[i][1] -= r.from
		}
		r.at -= r.from
		r.from = 0
	}
	r.buf = append(r.buf, b...)
}

// Buffered is how many bytes wait for the rest of their message.
func (r *Reader) Buffered() int { return len(r.buf) - r.from }

// Next is the next whole message, appended to words; its bytes stay until the next Feed. Without ok more bytes are needed. An
// error is final.
func (r *Reader) Next(words [][]byte, l Limits) (_ [][]byte, ok bool, err error) {
	if r.err != nil {
		return words, false, r.err
	}
	if ok, r.err = r.next(l); r.err != nil {
		r.buf, r.words = nil, nil
		return words, false, r.err
	}
	if !ok {
		if len(r.buf) == r.from { // nothing waits: a connection at rest keeps no memory
			r.buf, r.from, r.at = nil, 0, 0
		}
		return words, false, nil
	}
	for _, w := range r.words {
		words = append(words, r.buf[w[0]:w[1]])
	}
	r.from, r.open, r.words = r.at, false, r.words[:0]
	return words, true, nil
}

func (r *Reader) next(l Limits) (bool, error) {
	if !r.open {
		n, ok, err := r.length('*')
		if !ok || err != nil {
			return false, err
		}
		if n < 1 || n > l.Elements {
			return false, ErrTooLong
		}
		r.open, r.left = true, n
	}
	for r.left > 0 {
		start := r.at
		n, ok, err := r.length('$')
		if !ok || err != nil {
			return false, err
		}
		if r.at-r.from+n+2 > l.Bytes {
			return false, ErrTooLong
		}
		if len(r.buf) < r.at+n+2 {
			r.at = start
			return false, nil
		}
		if r.buf[r.at+n] != '\r' || r.buf[r.at+n+1] != '\n' {
			return false, ErrFraming
		}
		r.words = append(r.words, [2]int{r.at, r.at + n})
		r.at += n + 2
		r.left--
	}
	return true, nil
}

// length reads a line of a mark and a number.
func (r *Reader) length(mark byte) (n int, ok bool, err error) {
	b := r.buf[r.at:]
	if len(b) == 0 {
		return 0, false, nil
	}
	if b[0] != mark {
		return 0, false, ErrFraming
	}
	end := bytes.IndexByte(b[:min(len(b), longest+3)], '\n')
	if end < 0 {
		if len(b) >= longest+3 {
			return 0, false, ErrFraming
		}
		for _, c := range b[1:] {
			if (c < '0' || c > '9') && c != '\r' {
				return 0, false, ErrFraming
			}
		}
		return 0, false, nil
	}
	if end < 3 || b[end-1] != '\r' {
		return 0, false, ErrFraming
	}
	for _, c := range b[1 : end-1] {
		if c < '0' || c > '9' {
			return 0, false, ErrFraming
		}
		n = n*10 + int(c-'0')
	}
	r.at += end + 1
	return n, true, nil
}

// Append writes a message.
func Append(b []byte, words ...string) []byte {
	b = append(b, '*')
	b = strconv.AppendInt(b, int64(len(words)), 10)
	b = append(b, '\r', '\n')
	for _, w := range words {
		b = append(b, '$')
		b = strconv.AppendInt(b, int64(len(w)), 10)
		b = append(b, '\r', '\n')
		b = append(b, w...)
		b = append(b, '\r', '\n')
	}
	return b
}
