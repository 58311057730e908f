// Package lines takes a stream apart into lines. It is pure.
package lines

import (
	"bytes"
	"errors"
)

// ErrTooLong is a line beyond the limit; nothing after it can be read.
var ErrTooLong = errors.New("a line beyond the limit")

// Reader holds what has come of a line. The zero value is ready.
type Reader struct{ held []byte }

// Read calls take with each whole line, without its end, which may be LF or CRLF. A line is valid until take returns.
func (r *Reader) Read(b []byte, most int, take func(line []byte)) error {
	for {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			if len(r.held)+len(b) > most {
				return ErrTooLong
			}
			r.held = append(r.held, b...)
			return nil
		}
		line := b[:end]
		if len(r.held) > 0 {
			line = append(r.held, line...)
			r.held = nil
		}
		if len(line) > most {
			return ErrTooLong
		}
		take(bytes.TrimSuffix(line, []byte("\r")))
		b = b[end+1:]
	}
}
