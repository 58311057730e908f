package http1

import "bytes"

const (
	maxChunkLine       = 256 // bytes of a chunk-size line with its extensions, without the line ending
	maxChunkSizeDigits = 8   // hexadecimal digits of a chunk size
)

// chunkState is the part of a chunked body (RFC 9112, section 7.1) that the decoder expects next.
type chunkState int

const (
	atChunkSize chunkState = iota
	atChunkData
	atChunkEnd // the CRLF after the data
	atTrailers
	chunksEnded
)

// chunkDecoder decodes a chunked body that is received in fragments of any size. Trailers are discarded.
type chunkDecoder struct {
	maxBody     int // limit of the data in bytes
	maxTrailers int // limit of the trailers in bytes

	state    chunkState
	left     int    // bytes of the current chunk still to be received
	total    int    // sum of the announced sizes of all chunks so far, in bytes
	line     []byte // incomplete line of a chunk size, chunk end or trailer
	trailers int    // bytes of trailers so far
}

// decode appends the data of the chunks to content, and returns the number of bytes in data that belong to the body: all of them
// unless the body ends in data.
func (d *chunkDecoder) decode(data, content []byte) (extended []byte, length int, err error) {
	rest := data
	for len(rest) > 0 && d.state != chunksEnded {
		var count int
		switch d.state {
		case atChunkSize:
			content, count = d.readWholeChunks(rest, content)
			if count == 0 {
				count, err = d.readSize(rest)
			}
		case atChunkData:
			count = min(len(rest), d.left)
			content = append(content, rest[:count]...)
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
			return content, 0, err
		}
		rest = rest[count:]
	}
	return content, len(data) - len(rest), nil
}

// readWholeChunks reads the chunks without extensions that are whole in b, appends their data to content and returns their length. It
// stops before any other chunk, which the other functions read. It keeps bodies of very many small chunks as cheap as others.
func (d *chunkDecoder) readWholeChunks(b, content []byte) (extended []byte, length int) {
	if len(d.line) > 0 {
		return content, 0 // a part of the line was received before
	}
	for {
		start, end := wholeChunk(b[length:])
		size := end - start
		if size == 0 || size > d.maxBody-d.total {
			return content, length
		}
		content = append(content, b[length+start:length+end]...)
		d.total += size
		length += end + len("\r\n")
	}
}

// wholeChunk returns where the data of the first chunk in b begins and ends. Both are 0 if the chunk is not whole, has extensions or
// is not valid.
func wholeChunk(b []byte) (start, end int) {
	size := 0
	digits := 0
	for ; digits < min(len(b), maxChunkSizeDigits); digits++ {
		value, ok := hexadecimalValue(b[digits])
		if !ok {
			break
		}
		size = size<<4 | value
	}
	start = digits + len("\r\n")
	end = start + size
	if digits == 0 || len(b) < end+len("\r\n") || b[digits] != '\r' || b[digits+1] != '\n' || b[end] != '\r' || b[end+1] != '\n' {
		return 0, 0
	}
	return start, end
}

// readSize reads a chunk-size line.
func (d *chunkDecoder) readSize(b []byte) (int, error) {
	line, count, ended := d.nextLine(b)
	text, terminated := bytes.CutSuffix(line, []byte("\r\n"))
	if !terminated {
		text = bytes.TrimSuffix(text, []byte("\n"))
	}
	switch {
	case len(text) > maxChunkLine:
		return 0, errorf(statusBadRequest, "chunk-size line exceeds %d bytes", maxChunkLine)
	case !ended:
		return count, nil
	case !terminated:
		return 0, errorf(statusBadRequest, "bare LF after a chunk size")
	}
	size, err := parseChunkSize(text)
	if err != nil {
		return 0, err
	}
	if size > d.maxBody-d.total {
		return 0, errorf(statusContentTooLarge, "body exceeds %d bytes", d.maxBody)
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
	if len(d.line) == 0 && len(b) >= length && b[0] == '\r' && b[1] == '\n' {
		d.state = atChunkSize
		return length, nil
	}
	count := min(len(b), length-len(d.line))
	d.line = append(d.line, b[:count]...)
	if len(d.line) < length {
		return count, nil
	}
	if string(d.line) != "\r\n" {
		return 0, errorf(statusBadRequest, "chunk data is not followed by CRLF")
	}
	d.line = d.line[:0]
	d.state = atChunkSize
	return count, nil
}

// readTrailer reads a line of the trailer section. An empty line ends the body.
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
		return 0, errorf(statusHeadTooLarge, "trailers exceed %d bytes", d.maxTrailers)
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

// nextLine returns the line up to and including the first LF of b, or as much of it as has been received, and the number of bytes
// that it takes of b. The line is copied only if it began before b or does not end in b.
func (d *chunkDecoder) nextLine(b []byte) (line []byte, count int, ended bool) {
	if len(d.line) == 0 {
		end := bytes.IndexByte(b[:min(len(b), maxChunkLine)], '\n')
		if end >= 0 {
			return b[:end+1], end + 1, true
		}
	}
	count, ended = d.extendLine(b)
	return d.line, count, ended
}

// extendLine appends the bytes of b up to and including its first LF to the line, or all of b if it has none, and
// reports whether the line has ended.
func (d *chunkDecoder) extendLine(b []byte) (count int, ended bool) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		d.line = append(d.line, b...)
		return len(b), false
	}
	d.line = append(d.line, b[:end+1]...)
	return end + 1, true
}

// parseChunkSize parses a chunk-size line without its line ending. Chunk extensions are ignored.
func parseChunkSize(line []byte) (int, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits {
		return 0, errorf(statusBadRequest, "invalid chunk size %.20q", digits)
	}
	size := 0
	for _, digit := range digits {
		value, ok := hexadecimalValue(digit)
		if !ok {
			return 0, errorf(statusBadRequest, "invalid chunk size %.20q", digits)
		}
		size = size<<4 | value
	}
	return size, nil
}

func hexadecimalValue(digit byte) (value int, ok bool) {
	switch {
	case digit >= '0' && digit <= '9':
		return int(digit - '0'), true
	case digit >= 'a' && digit <= 'f':
		return int(digit-'a') + 10, true
	case digit >= 'A' && digit <= 'F':
		return int(digit-'A') + 10, true
	}
	return 0, false
}
