package http1

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	maxChunkLine       = 256 // bytes of a chunk's size and extensions, without the end of the line
	maxChunkSizeDigits = 8
)

// chunkState is the part of a chunked body (RFC 9112, section 7.1) that comes next.
type chunkState int

const (
	atChunkSize chunkState = iota
	atChunkData
	atChunkEnd // the CRLF after the data
	atTrailers
	chunksEnded
)

// chunkDecoder decodes a chunked body that comes in any pieces. Trailers are skipped.
type chunkDecoder struct {
	maxBody     int // bytes of data
	maxTrailers int // bytes

	state    chunkState
	left     int    // bytes of the chunk's data to come
	total    int    // bytes of all chunks so far, as their sizes say
	line     []byte // of the size, chunk end or trailers, while it is incomplete
	trailers int    // bytes so far
}

// decode calls take with the parts of the chunks' data, and returns how many bytes belong to the body: all
// until it has ended.
func (d *chunkDecoder) decode(data []byte, take func([]byte)) (int, error) {
	rest := data
	for len(rest) > 0 && d.state != chunksEnded {
		var count int
		var err error
		switch d.state {
		case atChunkSize:
			count, err = d.readSize(rest)
		case atChunkData:
			count = min(len(rest), d.left)
			take(rest[:count])
			d.left -= count
			if d.left == 0 {
				d.state = atChunkEnd
			}
		case atChunkEnd:
			count, err = d.readChunkEnd(rest)
		case atTrailers:
			count, err = d.readTrailer(rest)
		}
		if err != nil {
			return 0, err
		}
		rest = rest[count:]
	}
	return len(data) - len(rest), nil
}

// readSize reads the line with a chunk's size.
func (d *chunkDecoder) readSize(b []byte) (int, error) {
	count, ended := d.extendLine(b)
	text, terminated := bytes.CutSuffix(d.line, []byte("\r\n"))
	if !terminated {
		text = bytes.TrimSuffix(text, []byte("\n"))
	}
	switch {
	case len(text) > maxChunkLine:
		return 0, errorf(statusBadRequest, "a chunk's line of over %d bytes", maxChunkLine)
	case !ended:
		return count, nil
	case !terminated:
		return 0, errorf(statusBadRequest, "a bare LF between chunks")
	}
	size, err := parseChunkSize(string(text))
	if err != nil {
		return 0, err
	}
	if size > d.maxBody-d.total {
		return 0, errorf(statusContentTooLarge, "a body of over %d bytes", d.maxBody)
	}
	d.total += size
	d.left = size
	d.line = d.line[:0]
	d.state = atChunkData
	if size == 0 {
		d.state = atTrailers
	}
	return count, nil
}

func (d *chunkDecoder) readChunkEnd(b []byte) (int, error) {
	const length = len("\r\n")
	count := min(len(b), length-len(d.line))
	d.line = append(d.line, b[:count]...)
	if len(d.line) < length {
		return count, nil
	}
	if string(d.line) != "\r\n" {
		return 0, errorf(statusBadRequest, "a chunk that does not end where it says")
	}
	d.line = d.line[:0]
	d.state = atChunkSize
	return count, nil
}

// readTrailer reads a line of the trailers. An empty one ends the body.
func (d *chunkDecoder) readTrailer(b []byte) (int, error) {
	count, _ := d.extendLine(b)
	d.trailers += count
	text, terminated := bytes.CutSuffix(d.line, []byte("\r\n"))
	last := terminated && len(text) == 0
	length := d.trailers
	if last {
		length -= len("\r\n")
	}
	if length > d.maxTrailers {
		return 0, errorf(statusHeadTooLarge, "trailers of over %d bytes", d.maxTrailers)
	}
	if !terminated {
		return count, nil
	}
	if last {
		d.state = chunksEnded
	}
	d.line = d.line[:0]
	return count, nil
}

// extendLine appends b up to its first LF to the line, and reports whether there was one.
func (d *chunkDecoder) extendLine(b []byte) (count int, ended bool) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		d.line = append(d.line, b...)
		return len(b), false
	}
	d.line = append(d.line, b[:end+1]...)
	return end + 1, true
}

// parseChunkSize reads a chunk's size from its line, without the end of the line. Extensions are ignored.
func parseChunkSize(line string) (int, error) {
	digits, _, _ := strings.Cut(line, ";")
	if digits == "" || len(digits) > maxChunkSizeDigits || strings.Trim(digits, "0123456789abcdefABCDEF") != "" {
		return 0, errorf(statusBadRequest, "no chunk: %.20q", digits)
	}
	size, err := strconv.ParseUint(digits, 16, 32)
	if err != nil {
		return 0, errorf(statusBadRequest, "no chunk: %.20q", digits)
	}
	return int(size), nil
}
