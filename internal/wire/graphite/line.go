// Package graphite encodes and parses metrics in Graphite's plaintext protocol. Each line has the form "path
// value timestamp" and ends with a line feed. The timestamp is in whole seconds since 1970. A path consists
// of elements separated by dots, and may be followed by tags of the form ";name=value" (Graphite 1.1). The
// package does no I/O.
package graphite

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
)

const (
	// MaxLineBytes is the maximum length of a line that Parse accepts.
	MaxLineBytes = 4096
	// fieldsPerLine is the number of fields of a line: path, value and timestamp.
	fieldsPerLine = 3
	// maxExactInteger is the exclusive upper bound on the magnitude of integers that are written with all digits.
	maxExactInteger = 1e15
	// significantDigits is the number of significant digits of all other numbers.
	significantDigits = 10
)

// ErrInvalidLine is returned for an invalid line. Later lines of the stream can still be parsed.
var ErrInvalidLine = errors.New("invalid Graphite line")

// PathElement converts a text to one element of a path. Each byte other than an ASCII letter, a digit, "-" and
// "_" is replaced by "_", since it could end the element or the line. An empty text is also replaced by "_".
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

// Append appends a line to b and returns the extended buffer. The time at is in seconds since 1970.
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

// Line is a parsed line: the value of a metric at a point in time.
type Line struct {
	Path  string
	Value float64
	At    int64 // seconds since 1970
}

// Parse parses a line without its line feed. Its errors wrap ErrInvalidLine.
func Parse(text []byte) (Line, error) {
	if len(text) > MaxLineBytes {
		return Line{}, fmt.Errorf("%w: length of %d bytes", ErrInvalidLine, len(text))
	}
	fields := bytes.Fields(text)
	if len(fields) != fieldsPerLine {
		return Line{}, fmt.Errorf("%w: %d fields", ErrInvalidLine, len(fields))
	}
	value, err := strconv.ParseFloat(string(fields[1]), 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return Line{}, fmt.Errorf("%w: value %q", ErrInvalidLine, fields[1])
	}
	at, err := strconv.ParseInt(string(fields[2]), 10, 64)
	if err != nil {
		return Line{}, fmt.Errorf("%w: timestamp %q", ErrInvalidLine, fields[2])
	}
	return Line{Path: string(fields[0]), Value: value, At: at}, nil
}
