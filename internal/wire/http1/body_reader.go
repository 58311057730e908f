package http1

import "math"

// BodyReader reads a body that comes in any pieces, as its head has framed it.
type BodyReader struct {
	framing framing
	left    int // bytes to come, if the framing is byLength
	chunks  chunkDecoder
}

// newBodyReader returns a reader of a body that may have any length.
func newBodyReader(body framing, limits Limits) BodyReader {
	return BodyReader{
		framing: body,
		left:    body.length,
		chunks:  chunkDecoder{maxBody: math.MaxInt, maxTrailers: limits.Head},
	}
}

// Read calls take with the parts of the body that are in b, which are valid until take returns, and reports
// whether the body has ended. What follows its end in b is dropped. Errors are of type *Error and final.
func (r *BodyReader) Read(b []byte, take func([]byte)) (ended bool, err error) {
	switch r.framing.kind {
	case chunked:
		_, err := r.chunks.decode(b, take)
		return err == nil && r.chunks.state == chunksEnded, err
	case byLength:
		count := min(len(b), r.left)
		if count > 0 {
			take(b[:count])
		}
		r.left -= count
		return r.left == 0, nil
	}
	if len(b) > 0 {
		take(b)
	}
	return false, nil
}
