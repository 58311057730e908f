// Package lines splits a stream into lines.
//
// The package is pure: it keeps no connection and no clock.
package lines

import (
	"bytes"
	"errors"
)

// ErrTooLong reports a line beyond the limit; nothing after it can be read.
var ErrTooLong = errors.New("a line beyond the limit")

// Reader finds lines in bytes that come in any pieces. The zero value is ready.
type Reader struct{ partial []byte }

// Read calls take with each complete line, without its end, which may be LF or CRLF. A line is valid until take
// returns. Read returns ErrTooLong for a line of more than limit bytes.
func (r *Reader) Read(b []byte, limit int, take func(line []byte)) error {
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
		take(bytes.TrimSuffix(line, []byte("\r")))
		b = b[end+1:]
	}
}
