// Package graphite writes and reads figures in Graphite's plaintext form: a line "path value timestamp" for each, ended by a line feed,
// with times in whole seconds since 1970. Paths are parts with dots between them; tags follow as ";name=value" (Graphite 1.1). It is
// pure.
package graphite

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// MaxLineBytes that is read, in bytes.
const MaxLineBytes = 4096

// ErrInvalidLine says that a line is none of a figure; the next one can still be read.
var ErrInvalidLine = errors.New("not a line of a figure")

// PathElement makes a text one part of a path: what would end the part, or the line, becomes "_". An empty text is "_" too.
func PathElement(text string) string {
	b := []byte(text)
	for i, c := range b {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			b[i] = '_'
		}
	}
	if len(b) == 0 {
		return "_"
	}
	return string(b)
}

// Append a line.
func Append(b []byte, path string, value, at float64) []byte {
	b = append(append(b, path...), ' ')
	if value == math.Trunc(value) && math.Abs(value) < 1e15 {
		b = strconv.AppendInt(b, int64(value), 10)
	} else {
		b = strconv.AppendFloat(b, value, 'g', 10, 64)
	}
	b = append(b, ' ')
	return append(strconv.AppendInt(b, int64(math.Floor(at)), 10), '\n')
}

// Line of a figure.
type Line struct {
	Path  string
	Value float64
	At    int64
}

// Parse a line without its end.
func Parse(line []byte) (l Line, err error) {
	if len(line) > MaxLineBytes {
		return l, fmt.Errorf("%w: %d bytes", ErrInvalidLine, len(line))
	}
	parts := bytes.Fields(line)
	if len(parts) != 3 {
		return l, fmt.Errorf("%w: %d words", ErrInvalidLine, len(parts))
	}
	l.Path = string(parts[0])
	if l.Value, err = strconv.ParseFloat(string(parts[1]), 64); err != nil || math.IsNaN(l.Value) || math.IsInf(l.Value, 0) {
		return l, fmt.Errorf("%w: value %q", ErrInvalidLine, parts[1])
	}
	if l.At, err = strconv.ParseInt(string(parts[2]), 10, 64); err != nil {
		return l, fmt.Errorf("%w: time %q", ErrInvalidLine, parts[2])
	}
	return l, nil
}
