// Package graphite writes and reads metrics in Graphite's plaintext protocol. Each line is "path value
// timestamp" and ends with a line feed; the timestamp is in whole seconds since 1970. A path consists of
// elements that are separated by dots; tags follow as ";name=value" (Graphite 1.1). The package does no
// I/O.
package graphite

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
)

const (
	// MaxLineBytes is the maximum length of a line that is read.
	MaxLineBytes = 4096
	// fieldsPerLine is the number of fields of a line: path, value and timestamp.
	fieldsPerLine = 3
	// maxExactInteger is the exclusive upper bound of the whole numbers that are written in full.
	maxExactInteger = 1e15
	// significantDigits is the precision of all other numbers.
	significantDigits = 10
)

// ErrInvalidLine is returned for a line that is not valid. The next line can still be read.
var ErrInvalidLine = errors.New("not a line of a figure")

// PathElement returns a text as one element of a path: each byte that could end the element or the line
// becomes "_". An empty text becomes "_" too.
func PathElement(text string) string {
	if text == "" {
		return "_"
	}
	element := []byte(text)
	for i, c := range element {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			element[i] = '_'
		}
	}
	return string(element)
}

// Append appends a line to b and returns the extended buffer. The time is in seconds since 1970.
func Append(b []byte, path string, value, at float64) []byte {
	b = append(b, path...)
	b = append(b, ' ')
	if value == math.Trunc(value) && math.Abs(value) < maxExactInteger {
		b = strconv.AppendInt(b, int64(value), 10)
	} else {
		b = strconv.AppendFloat(b, value, 'g', significantDigits, 64)
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(math.Floor(at)), 10)
	return append(b, '\n')
}

// Line is the value of a metric at a time.
type Line struct {
	Path  string
	Value float64
	At    int64 // seconds since 1970
}

// Parse reads a line without its line feed. Errors wrap ErrInvalidLine.
func Parse(text []byte) (Line, error) {
	if len(text) > MaxLineBytes {
		return Line{}, fmt.Errorf("%w: %d bytes", ErrInvalidLine, len(text))
	}
	fields := bytes.Fields(text)
	if len(fields) != fieldsPerLine {
		return Line{}, fmt.Errorf("%w: %d words", ErrInvalidLine, len(fields))
	}
	value, err := strconv.ParseFloat(string(fields[1]), 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return Line{}, fmt.Errorf("%w: value %q", ErrInvalidLine, fields[1])
	}
	at, err := strconv.ParseInt(string(fields[2]), 10, 64)
	if err != nil {
		return Line{}, fmt.Errorf("%w: time %q", ErrInvalidLine, fields[2])
	}
	return Line{Path: string(fields[0]), Value: value, At: at}, nil
}
