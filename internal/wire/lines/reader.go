// Package lines splits a byte stream into lines.
//
// The package does no I/O and reads no clock.
package lines

import (
	"bytes"
	"errors"
)

// ErrTooLong reports a line that exceeds the limit. The rest of the stream cannot be read.
var ErrTooLong = errors.New("line exceeds the length limit")

// Reader splits a byte stream, received in fragments of any size, into lines. The zero value is ready to use.
type Reader struct{ partial []byte }

// Read calls handle with each complete line, without its LF or CRLF. A line is valid until handle returns. Read
// returns ErrTooLong for a line of more than limit bytes.
func (r *Reader) Read(b []byte, limit int, handle func(line []byte)) error {
	for {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			if len(r.partial)+len(b) > limit {
				return ErrTooLong
			}
			r.partial = append(r.partial, b...)
			return nil
		}
		line := b[:end]
		if len(r.partial) > 0 {
			line = append(r.partial, line...)
			r.partial = nil
		}
		if len(line) > limit {
			return ErrTooLong
		}
		handle(bytes.TrimSuffix(line, []byte("\r")))
		b = b[end+1:]
	}
}
