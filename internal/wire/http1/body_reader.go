package http1

import "math"

// BodyReader reads a body, received in fragments of any size, by the framing that its head specifies.
type BodyReader struct {
	framing framing
	left    int // bytes still to be received, if the framing is byLength
	chunks  chunkDecoder
	content []byte // data of the chunks of the current call of Read; its memory is reused
}

// newBodyReader returns a reader for a body of unlimited length.
func newBodyReader(body framing, limits Limits) BodyReader {
	return BodyReader{
		framing: body,
		left:    body.length,
		chunks:  chunkDecoder{maxBody: math.MaxInt, maxTrailers: limits.Head},
	}
}

// Read calls handle with the part of the body in b, which is valid until handle returns, and reports whether the body
// has ended. Bytes in b after its end are discarded. Errors are of type *Error; the body cannot be read any
// further after one.
func (r *BodyReader) Read(b []byte, handle func([]byte)) (ended bool, err error) {
	switch r.framing.kind {
	case chunked:
		r.content, _, err = r.chunks.decode(b, r.content[:0])
		if len(r.content) > 0 {
			handle(r.content)
		}
		return err == nil && r.chunks.state == chunksEnded, err
	case byLength:
		count := min(len(b), r.left)
		if count > 0 {
			handle(b[:count])
		}
		r.left -= count
		return r.left == 0, nil
	}
	if len(b) > 0 {
		handle(b)
	}
	return false, nil
}
